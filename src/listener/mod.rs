//! TCP listeners: how they are opened, and what is known of the connections in their accept queues.
//!
//! The kernel completes handshakes by itself and queues the connections until they are accepted. A client whose connection
//! is in that queue believes that it is served: its time runs. [`Listener::accept`] therefore says of each connection since
//! when its first bytes may have waited.

mod queue;

use crate::tcp_info::{listen_drops, TcpInfo};
use mio::event::Source;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use nix::sys::socket::{setsockopt, sockopt};
use queue::AcceptQueue;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::Once;
use std::time::{Duration, Instant};

pub use queue::QueueFigures;

/// Connections that may wait to be accepted. More than that many handshakes of one moment are dropped by the kernel, and their
/// clients try again after 0.2 s, 0.4 s, 1 s. Linux gives no more than `net.core.somaxconn`, which is 4096 unless changed.
pub const ACCEPT_BACKLOG: u32 = 4096;
/// How long an address may still be another's at the start, and how often it is tried.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_PAUSE: Duration = Duration::from_millis(10);
/// How soon connections are looked for again where the system lacks what they take.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Connections in a row that may have failed before they were accepted, until the others wait for the next turn.
const MAX_FAILED_ACCEPTS: usize = 64;

/// A connection that was accepted.
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// When what its client has sent so far came, at the earliest; the moment of its acceptance where nothing had come.
    pub received: Instant,
    /// Something of it waits to be read.
    pub has_sent: bool,
}

/// What [`Listener::accept`] found.
pub enum Pending {
    /// A connection.
    Connection(Accepted),
    /// None is left.
    Empty,
    /// The system lacks what a connection takes: descriptors, buffers, memory. The queue is as it was.
    Failed(std::io::Error),
}

/// When connections are to be looked for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NextAccept {
    Now,
    At(Instant),
    WhenReady,
}

/// A listener, with what is known of its accept queue.
pub struct Listener {
    socket: TcpListener,
    queue: AcceptQueue,
    /// When connections are to be looked for.
    next_accept: NextAccept,
}

impl Listener {
    /// Listens at an address. Guards against a restart that comes while the process before still lets the last clients
    /// in: the address is free again soon.
    ///
    /// # Errors
    ///
    /// The address can't be bound, or is still taken after two seconds.
    pub fn open(address: SocketAddr) -> std::io::Result<Listener> {
        let start = Instant::now();
        loop {
            match bind(address, Locality::Local) {
                Err(error) if error.kind() == ErrorKind::AddrInUse && start.elapsed() < BIND_TIMEOUT => {
                    std::thread::sleep(BIND_PAUSE);
                }
                other => return Ok(Listener::adopt(TcpListener::from_std(other?), Some(start))),
            }
        }
    }

    /// Takes a listener that exists, also one that another process opened with a shorter queue; nothing can have come to it
    /// before `since`, where that is known.
    pub fn adopt(socket: TcpListener, since: Option<Instant>) -> Listener {
        if let Err(error) = SockRef::from(&socket).listen(ACCEPT_BACKLOG as i32) {
            tracing::warn!("the accept queue stays as long as it was: {error}");
        }
        warn_if_short(&socket);
        Listener { socket, queue: AcceptQueue::new(since), next_accept: NextAccept::Now }
    }

    /// The socket itself, for another process.
    pub fn socket(&self) -> &TcpListener {
        &self.socket
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The system does not say.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Watches it.
    ///
    /// # Errors
    ///
    /// The system does not let it be watched.
    pub fn register(&mut self, token: Token, registry: &Registry) -> std::io::Result<()> {
        self.socket.register(registry, token, Interest::READABLE)
    }

    /// Watches it no more.
    ///
    /// # Errors
    ///
    /// It was not watched.
    pub fn deregister(&mut self, registry: &Registry) -> std::io::Result<()> {
        self.socket.deregister(registry)
    }

    /// Connections may be pending, for as long as since then.
    pub fn ready(&mut self, since: Instant) {
        self.queue.ready(since);
        self.next_accept = NextAccept::Now;
    }

    /// When [`Listener::accept`] may find a connection. Readiness is notified once, so that it is looked again after a
    /// failure: connections that came before it would wait until the next one comes.
    pub fn accept_at(&self, now: Instant) -> Option<Instant> {
        match self.next_accept {
            NextAccept::Now => Some(now),
            NextAccept::At(at) => Some(at),
            NextAccept::WhenReady => None,
        }
    }

    /// Whether connections are to be looked for now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.accept_at(now).is_some_and(|at| at <= now)
    }

    /// Others have emptied the queue up to now, or nobody has: it is not known how long what is in it has waited.
    pub fn forget_age(&mut self) {
        self.queue.forget_age();
    }

    /// Looks at the queue, before its connections are accepted.
    pub fn inspect(&mut self, now: Instant) {
        if let Some(info) = TcpInfo::of(self.socket.as_fd()) {
            self.queue.inspected(now, &info, listen_drops(self.socket.as_fd()));
        }
    }

    /// What is known of the queue.
    pub fn figures(&self) -> QueueFigures {
        let info = TcpInfo::of(self.socket.as_fd());
        self.queue.figures(info.map_or(0, |info| info.accept_queue_length()))
    }

    /// The next connection of the queue. One that broke while it was there is passed over.
    pub fn accept(&mut self) -> Pending {
        for _ in 0..MAX_FAILED_ACCEPTS {
            match self.socket.accept() {
                Ok((stream, _)) => {
                    let now = Instant::now();
                    let info = TcpInfo::of(stream.as_fd());
                    let (received, has_sent) = self.queue.arrival(now, info.as_ref());
                    return Pending::Connection(Accepted { stream, received, has_sent });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.queue.emptied();
                    self.next_accept = NextAccept::WhenReady;
                    return Pending::Empty;
                }
                Err(error) if is_resource_shortage(&error) => {
                    self.next_accept = NextAccept::At(Instant::now() + RETRY_PAUSE);
                    return Pending::Failed(error);
                }
                // accept(2): errors of the network that are pending on the new connection are told here.
                Err(error) => tracing::debug!("a connection broke before it was accepted: {error}"),
            }
        }
        Pending::Failed(ErrorKind::Interrupted.into())
    }
}

/// Whether a listener's address has to be one of this machine's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// It has to be.
    Local,
    /// It may come later: one that moves between machines.
    Any,
}

/// A listening socket that does not block.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddr, locality: Locality) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Guards against connections of an earlier process, or turn as Active, that are still in TIME-WAIT.
    socket.set_reuse_address(true)?;
    if locality == Locality::Any {
        if address.is_ipv4() {
            setsockopt(&socket, sockopt::IpFreebind, &true)?;
        } else {
            socket.set_only_v6(true)?;
            socket.set_freebind_v6(true)?;
        }
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG as i32)?;
    Ok(socket.into())
}

/// Says once if the system gives less than is asked for.
fn warn_if_short(socket: &TcpListener) {
    static WARNED: Once = Once::new();
    let Some(limit) = TcpInfo::of(socket.as_fd()).map(|info| info.accept_queue_limit()) else { return };
    if limit < ACCEPT_BACKLOG {
        WARNED.call_once(|| {
            tracing::warn!(
                limit,
                wanted = ACCEPT_BACKLOG,
                "accept queues are short: raise net.core.somaxconn"
            );
        });
    }
}

/// Whether it is this machine that lacks something, so that the connection is still in the queue.
fn is_resource_shortage(error: &std::io::Error) -> bool {
    use nix::libc::{EINVAL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    error.raw_os_error().is_some_and(|code| [EMFILE, ENFILE, ENOBUFS, ENOMEM, EINVAL].contains(&code))
}

#[cfg(test)]
mod tests;

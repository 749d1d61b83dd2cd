//! TCP listeners: how they are opened, and statistics of their accept queues.
//!
//! The kernel completes handshakes by itself and queues the connections until they are accepted. A client whose
//! connection is queued believes itself connected, and its timeout runs. [`Listener::accept`] therefore returns with
//! each connection since when its first bytes may have waited.

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

pub use queue::QueueStats;

/// Requested length of accept queues. The kernel drops handshakes beyond it, and their clients retry after 0.2 s, 0.4 s
/// and 1 s. Linux limits it to `net.core.somaxconn`, which is 4096 by default.
pub const ACCEPT_BACKLOG: u32 = 4096;
/// How long to retry an address that is still in use at the start, and the pause between tries.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_PAUSE: Duration = Duration::from_millis(10);
/// Pause before accepting again after the system was out of descriptors or memory.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Most connections in a row that may have failed before they were accepted; the rest wait for the next iteration.
const MAX_FAILED_ACCEPTS: usize = 64;

/// An accepted connection.
pub struct Accepted {
    /// Its socket.
    pub stream: TcpStream,
    /// Earliest time at which its data so far may have arrived; the time of acceptance if there is none.
    pub received: Instant,
    /// Data is waiting to be read.
    pub has_sent: bool,
}

/// The result of [`Listener::accept`].
pub enum Pending {
    /// A connection.
    Connection(Accepted),
    /// The queue is empty.
    Empty,
    /// The system is out of descriptors, buffers or memory. The queue is unchanged.
    Failed(std::io::Error),
}

/// When to accept next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NextAccept {
    Now,
    At(Instant),
    WhenReady,
}

/// A listener with statistics of its accept queue.
pub struct Listener {
    socket: TcpListener,
    queue: AcceptQueue,
    /// When to accept next.
    next_accept: NextAccept,
}

impl Listener {
    /// Listens at an address. Retries while the address is in use, since after a restart the previous process may still
    /// hold it for a short time.
    ///
    /// # Errors
    ///
    /// The address can't be bound, or is still in use after two seconds.
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

    /// Adopts an existing listener, also one that another process opened with a shorter queue, and requests the full
    /// queue length. If `since` is known, no connection can have arrived before it.
    pub fn adopt(socket: TcpListener, since: Option<Instant>) -> Listener {
        if let Err(error) = SockRef::from(&socket).listen(ACCEPT_BACKLOG as i32) {
            tracing::warn!("the length of the accept queue can't be changed: {error}");
        }
        warn_if_short(&socket);
        Listener { socket, queue: AcceptQueue::new(since), next_accept: NextAccept::Now }
    }

    /// The socket itself, to pass to another process.
    pub fn socket(&self) -> &TcpListener {
        &self.socket
    }

    /// The address where it listens.
    ///
    /// # Errors
    ///
    /// The system does not provide it.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Registers it with the event loop.
    ///
    /// # Errors
    ///
    /// The system refuses the registration.
    pub fn register(&mut self, token: Token, registry: &Registry) -> std::io::Result<()> {
        self.socket.register(registry, token, Interest::READABLE)
    }

    /// Removes it from the event loop.
    ///
    /// # Errors
    ///
    /// It was not registered.
    pub fn deregister(&mut self, registry: &Registry) -> std::io::Result<()> {
        self.socket.deregister(registry)
    }

    /// The listener became readable: connections may have been pending since `since`.
    pub fn ready(&mut self, since: Instant) {
        self.queue.ready(since);
        self.next_accept = NextAccept::Now;
    }

    /// When [`Listener::accept`] may find a connection. Readiness is notified only once, so accept again after a
    /// failure; otherwise pending connections would wait until another one arrives.
    pub fn accept_at(&self, now: Instant) -> Option<Instant> {
        match self.next_accept {
            NextAccept::Now => Some(now),
            NextAccept::At(at) => Some(at),
            NextAccept::WhenReady => None,
        }
    }

    /// Whether to accept now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.accept_at(now).is_some_and(|at| at <= now)
    }

    /// Another process may have accepted from the queue until now, or none: how long its connections have waited is
    /// unknown.
    pub fn forget_age(&mut self) {
        self.queue.forget_age();
    }

    /// Updates the statistics of the queue, before its connections are accepted.
    pub fn inspect(&mut self, now: Instant) {
        if let Some(info) = TcpInfo::of(self.socket.as_fd()) {
            self.queue.update(now, &info, listen_drops(self.socket.as_fd()));
        }
    }

    /// Statistics of the queue.
    pub fn stats(&self) -> QueueStats {
        let info = TcpInfo::of(self.socket.as_fd());
        self.queue.stats(info.map_or(0, |info| info.accept_queue_length()))
    }

    /// Accepts the next connection. Connections that failed while they were queued are skipped.
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
                // accept(2): pending network errors of the new connection are returned here.
                Err(error) => tracing::debug!("a connection failed before it was accepted: {error}"),
            }
        }
        Pending::Failed(ErrorKind::Interrupted.into())
    }
}

/// Whether a listener's address has to be assigned to this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// It has to be assigned.
    Local,
    /// It may be assigned later; for addresses that move between machines.
    Any,
}

/// Opens a non-blocking listening socket.
///
/// # Errors
///
/// The address can't be bound.
pub fn bind(address: SocketAddr, locality: Locality) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections of an earlier process, or of an earlier period as Active, may still be in TIME-WAIT.
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

/// Warns once if the system's queue limit is below the requested length.
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

/// Whether this machine is out of a resource, so that the connection is still queued.
fn is_resource_shortage(error: &std::io::Error) -> bool {
    use nix::libc::{EINVAL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    error.raw_os_error().is_some_and(|code| [EMFILE, ENFILE, ENOBUFS, ENOMEM, EINVAL].contains(&code))
}

#[cfg(test)]
mod tests;

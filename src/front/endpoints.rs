//! The addresses that a front listens at, and how newcomers are let in there.

use super::client::Client;
use super::protocol::Protocol;
use super::Front;
use crate::conn::Conn;
use crate::interface::RequestId;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Connections that the kernel may have let in before they are accepted.
const MOST_WAITING: usize = 1024;
/// Connections accepted at one endpoint in one turn of the loop.
const MOST_ACCEPTED: usize = 64;
/// How soon a newcomer is looked for again where there is no room.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// How long an address may still be another's at the start, and how often it is tried.
const BIND_PATIENCE: Duration = Duration::from_secs(2);
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Listens at an address. Guards against a restart that comes while the process before still lets the last clients
/// in: the address is free again soon.
///
/// # Errors
///
/// The address can't be bound, or is still taken after two seconds.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && start.elapsed() < BIND_PATIENCE => {
                std::thread::sleep(BIND_PAUSE);
            }
            other => return other,
        }
    }
}

/// One address that clients come in by. The first is the machine's own; others belong to addresses that move
/// between machines.
pub(super) struct Endpoint {
    /// None while the address is not here.
    pub listener: Option<TcpListener>,
    /// The address is another machine's: its clients here are answered what they have open, and nothing is taken.
    pub retired: bool,
}

impl<P: Protocol> Front<P> {
    /// Where it listens at the machine's own address: the port may have been left to the system.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoints[0].listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Adds an endpoint for an address that is not here yet; returns its number.
    pub fn add_endpoint(&mut self) -> usize {
        self.endpoints.push(Endpoint { listener: None, retired: true });
        self.endpoints.len() - 1
    }

    /// The address of an endpoint is here: clients are let in, and those who stayed are served again.
    ///
    /// # Errors
    ///
    /// The system does not let the listener be watched.
    pub fn open_endpoint(
        &mut self,
        endpoint: usize,
        listener: std::net::TcpListener,
        token: Token,
        registry: &Registry,
        now: Instant,
    ) -> std::io::Result<()> {
        let mut listener = TcpListener::from_std(listener);
        registry.register(&mut listener, token, Interest::READABLE)?;
        self.endpoints[endpoint] = Endpoint { listener: Some(listener), retired: false };
        self.knock(now);
        Ok(())
    }

    /// The address of an endpoint goes to another machine. Whoever asks for more is told to come again, and so finds the
    /// other one; what is open is answered.
    pub fn retire_endpoint(
        &mut self,
        endpoint: usize,
        registry: &Registry,
        mut next: impl FnMut() -> Token,
        now: Instant,
    ) {
        // Guards whoever the kernel has let in already: closing the listener would end them without an answer.
        for _ in 0..MOST_WAITING {
            // The descriptors of attempts that are out are not theirs.
            if self.clients.len() >= self.room.clients + self.room.crowd && !self.close_an_idle_one(now, true)
            {
                break;
            }
            let accepted = self.endpoints[endpoint].listener.as_ref().map(TcpListener::accept);
            let Some(Ok((stream, _))) = accepted else { break };
            self.admit(now, stream, endpoint, true, next(), registry);
        }
        self.endpoints[endpoint] = Endpoint { listener: None, retired: true };
    }

    /// Requests open that came in by an endpoint.
    pub fn open_at(&self, endpoint: usize) -> impl Iterator<Item = RequestId> + '_ {
        let here = self.clients.values().filter(move |client| client.endpoint == endpoint);
        here.flat_map(|client| self.protocol.open(&client.session))
    }

    /// The machine's own listener, for another process.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.endpoints[0].listener.as_ref()
    }

    /// Lets newcomers in at the machine's own address, or leaves them to another process that has the same listener.
    pub fn accept_newcomers(&mut self, yes: bool, token: Token, registry: &Registry, now: Instant) {
        let Some(listener) = &mut self.endpoints[0].listener else { return };
        let changed = match yes {
            true => registry.register(listener, token, Interest::READABLE),
            false => registry.deregister(listener),
        };
        if let Err(error) = changed {
            tracing::warn!("the listener: {error}");
        }
        (self.accepts, self.accept_at) = (yes, yes.then_some(now));
    }

    /// Newcomers wait.
    pub fn knock(&mut self, now: Instant) {
        self.accept_at = Some(now);
    }

    /// Takes new connections. Guards against running out of descriptors: past the limit the client that was silent
    /// or idle for longest makes room; with none idle newcomers are let in only to be declined at once, since a
    /// request left in the kernel would get no answer at all.
    pub(super) fn accept(&mut self, now: Instant, registry: &Registry, mut next: impl FnMut() -> Token) {
        if self.accept_at.is_none_or(|at| at > now) {
            return;
        }
        // Guards the endpoints from one another: each has its part of a turn.
        let mut more = false;
        for endpoint in 0..self.endpoints.len() {
            let mut left = MOST_ACCEPTED;
            while left > 0 {
                left -= 1;
                while self.clients.len() >= self.room.clients && self.close_an_idle_one(now, true) {}
                if self.clients.len() >= self.room.clients + self.room.crowd {
                    self.accept_at = Some(now + ROOM_PAUSE);
                    return;
                }
                let accepted =
                    self.endpoints[endpoint].listener.as_ref().filter(|_| self.accepts || endpoint > 0);
                match accepted.map(TcpListener::accept) {
                    Some(Ok((stream, _))) => {
                        let crowded = self.clients.len() >= self.room.clients;
                        self.admit(now, stream, endpoint, crowded, next(), registry);
                    }
                    Some(Err(error)) if error.kind() != ErrorKind::WouldBlock => {
                        tracing::warn!("accept: {error}");
                        self.accept_at = Some(now + ROOM_PAUSE);
                        return;
                    }
                    _ => break,
                }
                more |= left == 0;
            }
        }
        self.accept_at = more.then_some(now);
    }

    /// Takes a connection for a new client. One that has broken by now is let go of.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        stream: TcpStream,
        endpoint: usize,
        crowded: bool,
        token: Token,
        registry: &Registry,
    ) {
        // Without it answers still go out, only later.
        let _ = stream.set_nodelay(true);
        if let Ok(conn) = Conn::new(stream, token, registry) {
            let mut client = Client::new(conn, self.protocol.session(), endpoint, crowded, now);
            // What it has said may have come with it.
            client.arrivals.told(self.came);
            self.clients.insert(token.0, client);
        }
    }
}

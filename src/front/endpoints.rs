//! The addresses that a front listens at, and how newcomers are let in there.

use super::client::Client;
use super::protocol::Protocol;
use super::room::Admission;
use super::Front;
use crate::conn::Conn;
use crate::core::Core;
use crate::interface::RequestId;
use crate::listener::{Accepted, Listener, Pending, QueueStats};
use mio::net::TcpStream;
use mio::{Registry, Token};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Connections that the kernel may have let in before they are accepted.
const MOST_WAITING: usize = 1024;
/// How long newcomers are let in at one endpoint in one turn of the loop.
const ACCEPT_SLICE: Duration = Duration::from_millis(5);

/// One address that clients come in by. The first is the machine's own; others belong to addresses that move
/// between machines.
pub(super) struct Endpoint {
    /// None while the address is not here.
    pub listener: Option<Listener>,
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
        let mut listener = Listener::adopt(mio::net::TcpListener::from_std(listener), Some(now));
        listener.register(token, registry)?;
        self.endpoints[endpoint] = Endpoint { listener: Some(listener), retired: false };
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
            let listener = self.endpoints[endpoint].listener.as_mut();
            let Some(Pending::Connection(accepted)) = listener.map(Listener::accept) else { break };
            self.admit(now, (accepted.stream, Some(accepted.received)), endpoint, true, next(), registry);
        }
        self.endpoints[endpoint] = Endpoint { listener: None, retired: true };
    }

    /// Requests open that came in by an endpoint.
    pub fn open_at(&self, endpoint: usize) -> impl Iterator<Item = RequestId> + '_ {
        let here = self.clients.values().filter(move |client| client.endpoint == endpoint);
        here.flat_map(|client| self.protocol.open(&client.session))
    }

    /// The machine's own listener, for another process.
    pub fn listener(&self) -> Option<&mio::net::TcpListener> {
        self.endpoints[0].listener.as_ref().map(Listener::socket)
    }

    /// The accept queue of the machine's own listener.
    pub fn accept_queue(&self) -> QueueStats {
        self.endpoints[0].listener.as_ref().map(Listener::stats).unwrap_or_default()
    }

    /// Lets newcomers in at the machine's own address, or leaves them to another process that has the same listener.
    pub fn accept_newcomers(&mut self, yes: bool, token: Token, registry: &Registry, now: Instant) {
        let Some(listener) = &mut self.endpoints[0].listener else { return };
        let changed = match yes {
            true => listener.register(token, registry),
            false => listener.deregister(registry),
        };
        if let Err(error) = changed {
            tracing::warn!("the listener: {error}");
        }
        // The other process may have left some there.
        listener.forget_age();
        listener.ready(now);
        self.accepts = yes;
    }

    /// Newcomers wait.
    pub fn connections_pending(&mut self) {
        let came = self.came;
        self.endpoints.iter_mut().filter_map(|it| it.listener.as_mut()).for_each(|it| it.ready(came));
    }

    /// When newcomers are to be looked for.
    pub(super) fn accept_at(&self, now: Instant) -> Option<Instant> {
        let others = self.endpoints.iter().skip(usize::from(!self.accepts));
        others.filter_map(|endpoint| endpoint.listener.as_ref()?.accept_at(now)).min()
    }

    /// Takes new connections, as fast as the processor lets it. Guards those that wait to be accepted: their clients' time
    /// runs, so that whoever can't be served is told to come again or is closed, and keeps nobody behind it waiting.
    pub(super) fn accept(
        &mut self,
        now: Instant,
        registry: &Registry,
        mut next: impl FnMut() -> Token,
        core: &mut Core,
    ) {
        // Guards the endpoints from one another: each has its part of a turn.
        for endpoint in usize::from(!self.accepts)..self.endpoints.len() {
            self.accept_at_endpoint(now, endpoint, registry, &mut next, core);
        }
    }

    /// Takes new connections at one endpoint. Some may be left for the next turn.
    fn accept_at_endpoint(
        &mut self,
        now: Instant,
        endpoint: usize,
        registry: &Registry,
        next: &mut impl FnMut() -> Token,
        core: &mut Core,
    ) {
        let listener = self.endpoints[endpoint].listener.as_mut();
        let Some(listener) = listener.filter(|it| it.is_due(now)) else { return };
        listener.inspect(now);
        let begun = Instant::now();
        while begun.elapsed() < ACCEPT_SLICE && !self.defers_newcomers() {
            match self.endpoints[endpoint].listener.as_mut().map(Listener::accept) {
                Some(Pending::Connection(accepted)) => {
                    self.take_newcomer(now, accepted, endpoint, registry, next, core);
                }
                Some(Pending::Failed(error)) => return tracing::warn!("accept: {error}"),
                Some(Pending::Empty) | None => return,
            }
        }
    }

    /// Serves a newcomer, lets it in to be told to come again, or closes it unread.
    fn take_newcomer(
        &mut self,
        now: Instant,
        Accepted { stream, received, has_sent }: Accepted,
        endpoint: usize,
        registry: &Registry,
        next: &mut impl FnMut() -> Token,
        core: &mut Core,
    ) {
        let crowded = match self.admission(now) {
            Admission::Served => false,
            Admission::Declined => true,
            Admission::Shut => {
                core.counters.clients_shut_unread += 1;
                return;
            }
        };
        let token = next();
        self.admit(now, (stream, has_sent.then_some(received)), endpoint, crowded, token, registry);
        if has_sent {
            self.queue(token.0);
        }
    }

    /// Takes a connection for a new client, and when what it has sent came, if it has sent anything. One that has broken by now is let
    /// go of.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        (stream, came): (TcpStream, Option<Instant>),
        endpoint: usize,
        crowded: bool,
        token: Token,
        registry: &Registry,
    ) {
        // Without it answers still go out, only later.
        let _ = stream.set_nodelay(true);
        if let Ok(conn) = Conn::new(stream, token, registry) {
            let mut client = Client::new(conn, self.protocol.session(), endpoint, crowded, now);
            if let Some(came) = came {
                client.arrivals.ready(came);
            }
            self.crowded += usize::from(crowded);
            self.clients.insert(token.0, client);
            self.note_idle(token.0);
        }
    }
}

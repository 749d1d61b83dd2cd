//! The addresses that a front listens at, and the accepting of connections there.

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

/// Connections that the kernel may have completed before they are accepted.
const MAX_PENDING_CONNECTIONS: usize = 1024;
/// Time spent on accepting at one endpoint in one iteration of the loop.
const ACCEPT_TIME_SLICE: Duration = Duration::from_millis(5);

/// An address that clients connect to. The first one is the machine's own; the others belong to addresses that
/// move between machines.
pub(super) struct Endpoint {
    /// `None` while this machine does not hold the address.
    pub listener: Option<Listener>,
    /// Another machine holds the address: open requests of its clients are answered, new ones are declined.
    pub retired: bool,
}

impl<P: Protocol> Front<P> {
    /// The address it listens at on the machine's own endpoint; the system may have chosen the port.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoints[0].listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Adds an endpoint for an address that this machine does not hold yet; returns its index.
    pub fn add_endpoint(&mut self) -> usize {
        self.endpoints.push(Endpoint { listener: None, retired: true });
        self.endpoints.len() - 1
    }

    /// Opens an endpoint whose address this machine now holds: connections are accepted, and clients that
    /// stayed connected are served again.
    ///
    /// # Errors
    ///
    /// The listener cannot be registered for events.
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

    /// Closes an endpoint whose address moves to another machine. Open requests are answered; further ones are
    /// declined with a short retry delay, so that the client connects to the other machine.
    pub fn retire_endpoint(
        &mut self,
        endpoint: usize,
        registry: &Registry,
        mut next_token: impl FnMut() -> Token,
        now: Instant,
    ) {
        // Accept what the kernel has completed already: closing the listener would reset these connections.
        for _ in 0..MAX_PENDING_CONNECTIONS {
            // Descriptors reserved for attempts in flight are not available to clients.
            if self.clients.len() >= self.limits.clients + self.limits.overflow
                && !self.evict_idle_client(now, true)
            {
                break;
            }
            let listener = self.endpoints[endpoint].listener.as_mut();
            let Some(Pending::Connection(accepted)) = listener.map(Listener::accept) else { break };
            self.add_client(
                now,
                (accepted.stream, Some(accepted.received)),
                endpoint,
                true,
                next_token(),
                registry,
            );
        }
        self.endpoints[endpoint] = Endpoint { listener: None, retired: true };
    }

    /// Open requests that arrived through an endpoint.
    pub fn open_requests_at(&self, endpoint: usize) -> impl Iterator<Item = RequestId> + '_ {
        let clients = self.clients.values().filter(move |client| client.endpoint == endpoint);
        clients.flat_map(|client| self.protocol.open_requests(&client.session))
    }

    /// The listener at the machine's own address, to pass it to another process.
    pub fn listener(&self) -> Option<&mio::net::TcpListener> {
        self.endpoints[0].listener.as_ref().map(Listener::socket)
    }

    /// Figures of the accept queue at the machine's own address.
    pub fn accept_queue(&self) -> QueueStats {
        self.endpoints[0].listener.as_ref().map(Listener::stats).unwrap_or_default()
    }

    /// Starts or stops accepting at the machine's own address. While it is stopped, another process that shares
    /// the listener accepts.
    pub fn set_accepting(&mut self, accept: bool, token: Token, registry: &Registry, now: Instant) {
        let Some(listener) = &mut self.endpoints[0].listener else { return };
        let result = match accept {
            true => listener.register(token, registry),
            false => listener.deregister(registry),
        };
        if let Err(error) = result {
            tracing::warn!("cannot change the registration of the listener: {error}");
        }
        // The other process may have left connections in the queue.
        listener.forget_age();
        listener.ready(now);
        self.accepting = accept;
    }

    /// Connections may be pending at any endpoint.
    pub fn connections_pending(&mut self) {
        let earliest_arrival = self.earliest_arrival;
        self.endpoints
            .iter_mut()
            .filter_map(|it| it.listener.as_mut())
            .for_each(|it| it.ready(earliest_arrival));
    }

    /// When an endpoint is to be checked for connections next.
    pub(super) fn next_accept_at(&self, now: Instant) -> Option<Instant> {
        let endpoints = self.endpoints.iter().skip(usize::from(!self.accepting));
        endpoints.filter_map(|endpoint| endpoint.listener.as_ref()?.accept_at(now)).min()
    }

    /// Accepts connections as fast as the processor allows: the deadlines of their requests are running, so a
    /// client that cannot be served is declined or closed early and does not hold up those queued behind it.
    pub(super) fn accept_connections(
        &mut self,
        now: Instant,
        registry: &Registry,
        mut next_token: impl FnMut() -> Token,
        core: &mut Core,
    ) {
        // Each endpoint gets its own time slice, so that none starves another.
        for endpoint in usize::from(!self.accepting)..self.endpoints.len() {
            self.accept_at_endpoint(now, endpoint, registry, &mut next_token, core);
        }
    }

    /// Accepts connections at one endpoint. Some may be left for the next iteration.
    fn accept_at_endpoint(
        &mut self,
        now: Instant,
        endpoint: usize,
        registry: &Registry,
        next_token: &mut impl FnMut() -> Token,
        core: &mut Core,
    ) {
        let listener = self.endpoints[endpoint].listener.as_mut();
        let Some(listener) = listener.filter(|it| it.is_due(now)) else { return };
        listener.inspect(now);
        let started = Instant::now();
        while started.elapsed() < ACCEPT_TIME_SLICE && !self.defers_accept() {
            match self.endpoints[endpoint].listener.as_mut().map(Listener::accept) {
                Some(Pending::Connection(accepted)) => {
                    self.admit_or_close(now, accepted, endpoint, registry, next_token, core);
                }
                Some(Pending::Failed(error)) => return tracing::warn!("accept failed: {error}"),
                Some(Pending::Empty) | None => return,
            }
        }
    }

    /// Serves a new connection, keeps it only to be declined, or closes it unread.
    fn admit_or_close(
        &mut self,
        now: Instant,
        Accepted { stream, received, has_sent }: Accepted,
        endpoint: usize,
        registry: &Registry,
        next_token: &mut impl FnMut() -> Token,
        core: &mut Core,
    ) {
        let is_overflow = match self.decide_admission(now) {
            Admission::Serve => false,
            Admission::Decline => true,
            Admission::Close => {
                core.counters.clients_shut_unread += 1;
                return;
            }
        };
        let token = next_token();
        self.add_client(now, (stream, has_sent.then_some(received)), endpoint, is_overflow, token, registry);
        if has_sent {
            self.enqueue(token.0);
        }
    }

    /// Adds a client for a connection; `arrival` is when its first input arrived, if any has. A connection that
    /// has already failed is dropped.
    pub(super) fn add_client(
        &mut self,
        now: Instant,
        (stream, arrival): (TcpStream, Option<Instant>),
        endpoint: usize,
        is_overflow: bool,
        token: Token,
        registry: &Registry,
    ) {
        // Without it answers are still sent, only later.
        let _ = stream.set_nodelay(true);
        if let Ok(conn) = Conn::new(stream, token, registry) {
            let mut client =
                Client::new(conn, self.protocol.new_session(), endpoint, is_overflow, &self.budget, now);
            if let Some(arrival) = arrival {
                client.arrivals.mark_pending(arrival);
            }
            self.overflow_count += usize::from(is_overflow);
            self.clients.insert(token.0, client);
            self.update_idle_position(token.0);
        }
    }
}

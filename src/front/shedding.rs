//! How clients are treated while service narrows: in a drain, in a hot upgrade, and at the end of the process.
//!
//! A command that was begun is read to its end and answered, whatever arrives between its parts. Commands that a client
//! begins later are left to the process that takes the connection over; without one they are read and declined, since
//! the parts of earlier commands stand between them. A connection is closed once it is idle and nothing has arrived on
//! it. A client that keeps sending is read on for a limited time.

use super::arrivals::{ArrivalTimes, BufferedInput};
use super::client::Client;
use super::protocol::{Abandoned, Protocol};
use super::sweep::{SILENCE_TIMEOUT, TIMEOUT_CHECK_INTERVAL};
use super::Front;
use crate::conn::ReadEnd;
use crate::core::Core;
use crate::service::ClientPolicy;
use mio::net::TcpStream;
use mio::{Registry, Token};
use std::time::{Duration, Instant};

/// How long idle connections are still served once load is shed. The check that closes them runs within this time.
const LAST_COMMANDS_GRACE: Duration = TIMEOUT_CHECK_INTERVAL.saturating_mul(2);

/// What happens to a command that a client begins now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NewCommands {
    /// It is submitted.
    Accept,
    /// It is declined with a retry delay if it arrived at this time or later.
    DeclineFrom(Instant),
    /// It stays unread, for the process that takes the connection over.
    Leave,
}

impl<P: Protocol> Front<P> {
    /// Applies a new client policy. After SIGTERM idle clients are kept: new connections go to another process,
    /// and those that stay open are still used.
    pub fn set_client_policy(&mut self, client_policy: ClientPolicy) {
        self.client_policy = client_policy;
        if client_policy.shed_from.is_none() {
            let endpoints = &self.endpoints;
            let served =
                self.clients.values_mut().filter(|it| !it.is_overflow && !endpoints[it.endpoint].retired);
            served.for_each(|client| client.declined_since = None);
        }
        if !client_policy.hand_over {
            // Clients whose input was left for the successor are served here again.
            let paused: Vec<usize> =
                self.clients.iter().filter(|(_, client)| client.paused).map(|(id, _)| *id).collect();
            paused.into_iter().for_each(|id| self.enqueue(id));
        }
    }

    /// Since when load is shed, if it is.
    pub(super) fn shedding_since(&self, now: Instant) -> Option<Instant> {
        let shed_from = self.client_policy.shed_from.filter(|from| *from <= now);
        [shed_from, self.ending_since].into_iter().flatten().min()
    }

    /// Whether connections are closed as soon as they are idle.
    pub(super) fn is_shedding(&self, now: Instant) -> bool {
        !self.client_policy.hand_over && self.shedding_since(now).is_some()
    }

    /// What happens to the commands that a client begins in this turn. An idle client that has not sent a request yet is
    /// served once: it may have connected before the address was known to be out of service.
    pub(super) fn new_commands(&self, now: Instant, client: &Client<P::Session>) -> NewCommands {
        let Some(since) = self.shedding_since(now) else { return NewCommands::Accept };
        let idle = self.protocol.is_idle(&client.session);
        if self.client_policy.hand_over {
            // One that is paused waits for the hand-over.
            return if idle && !client.paused { NewCommands::Accept } else { NewCommands::Leave };
        }
        let is_first = !self.protocol.has_sent_request(&client.session);
        if idle && (is_first || now < since + LAST_COMMANDS_GRACE) {
            NewCommands::Accept
        } else {
            NewCommands::DeclineFrom(since)
        }
    }

    /// Whether a client is owed nothing and has been told to go elsewhere for so long that it is not read any more.
    pub(super) fn is_read_no_more(protocol: &P, now: Instant, client: &Client<P::Session>) -> bool {
        client.declined_since.is_some_and(|since| now.saturating_duration_since(since) > SILENCE_TIMEOUT)
            && !protocol.has_unanswered(&client.session)
    }

    /// Closes a connection, unless input has arrived on it, which is handled first.
    pub(super) fn close_unless_readable(&mut self, now: Instant, id: usize) {
        if self.read_unnoticed_input(now, id) {
            self.enqueue(id);
        } else {
            self.close_gracefully(now, id);
        }
    }

    /// Reads what has arrived without an event; returns whether there is any.
    fn read_unnoticed_input(&mut self, now: Instant, id: usize) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let (limit, _) = Self::input_limit(&self.protocol, &self.budget, client);
        let before = client.conn.input.len();
        let end = client.conn.read(limit);
        let count = client.conn.input.len() - before;
        client.arrivals.record_read(count, now, end == ReadEnd::Blocked);
        count > 0 && !end.is_over()
    }

    /// Hands idle clients over to another process, with their incomplete input. `give` is called with `None` to
    /// ask whether that process takes another client.
    pub fn hand_over_idle_clients(
        &mut self,
        registry: &Registry,
        mut give: impl FnMut(Option<(TcpStream, BufferedInput)>) -> bool,
    ) {
        let idle = |client: &Client<P::Session>| {
            let done = client.conn.unwritten() == 0 && client.closing_since.is_none() && !client.is_overflow;
            done && self.protocol.is_idle(&client.session)
        };
        let idle: Vec<usize> = self.clients.iter().filter(|(_, it)| idle(it)).map(|(id, _)| *id).collect();
        for id in idle {
            if !give(None) {
                return;
            }
            let Some(client) = self.remove(id) else { continue };
            let arrivals = client.arrivals.save(self.clock);
            if let Ok((stream, bytes)) = client.conn.into_parts(registry) {
                give(Some((stream, BufferedInput { bytes, arrivals })));
            }
        }
    }

    /// Takes over a client from the previous process, with its incomplete input.
    pub fn adopt_client(
        &mut self,
        now: Instant,
        (stream, input): (TcpStream, BufferedInput),
        token: Token,
        registry: &Registry,
        core: &mut Core,
    ) {
        let is_overflow = self.served_count() >= self.limits.clients;
        self.add_client(now, (stream, None), 0, is_overflow, token, registry);
        if let Some(client) = self.clients.get_mut(&token.0) {
            // An earlier version does not say when the input arrived; the kernel knows of the last of it.
            let times = (now, client.conn.arrived_by(now, now));
            client.arrivals = ArrivalTimes::restore(&input.arrivals, input.bytes.len(), times, self.clock);
            client.conn.input = input.bytes;
            self.process(now, token.0, core);
        }
    }

    /// Stops listening and closes clients as they become idle; true once no connection is left. With `answer_all`, nothing
    /// more is begun, and commands that are not whole are answered too.
    pub fn shut_down(&mut self, now: Instant, answer_all: bool, core: &mut Core) -> bool {
        self.endpoints.iter_mut().for_each(|endpoint| endpoint.listener = None);
        if answer_all {
            self.ending_since.get_or_insert(now);
        }
        let ids: Vec<usize> = self.clients.keys().copied().collect();
        for id in ids {
            // Input that has arrived is handled before the connection is closed.
            self.process_input(now, id, core);
            self.close_at_the_end(now, id, answer_all);
            self.flush(now, id, core);
        }
        self.clients.is_empty() && self.lingering.is_empty()
    }

    /// Reads no more from a client that is idle and has no more input to be handled, unless it can be handed over. With
    /// `answer_all`, no command is received to its end.
    fn close_at_the_end(&mut self, now: Instant, id: usize, answer_all: bool) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let idle = self.protocol.is_idle(&client.session) && !client.queued;
        // The rest of a body can't be told from the next command.
        let within_body = answer_all && self.protocol.is_receiving_body(&client.session);
        if idle && !self.client_policy.hand_over || within_body {
            client.closing_since.get_or_insert(now);
            client.partial_since = None;
        }
        if answer_all {
            self.abandon_unfinished(id, Abandoned::Ending);
        }
    }
}

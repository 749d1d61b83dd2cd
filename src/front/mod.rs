//! Client-facing side of the process: accepts connections, reads requests, submits them to the core and writes
//! the answers.
//!
//! A [`Front`] owns listeners and their connections, enforces limits on clients, closes idle connections and
//! sheds load. It is the same for every protocol; parsing and encoding are up to a [`Protocol`], one per
//! submodule ([`resp`], [`iscsi`]). The event loop calls it with readiness events and timers, and with the
//! answers of the core.

mod answers;
mod arrivals;
mod client;
mod endpoints;
mod idle;
pub mod iscsi;
mod leaving;
mod protocol;
mod reading;
pub mod resp;
mod room;
mod shedding;
mod sweep;

use crate::clock::Clock;
use crate::conn::ReadEnd;
use crate::core::Core;
use crate::listener::Listener;
use crate::memory::{Budget, Purpose};
use crate::service::ClientPolicy;
use client::Client;
use endpoints::Endpoint;
use idle::IdleOrder;
use leaving::LingeringConns;
use mio::{Registry, Token};
use rustc_hash::FxHashMap;
use shedding::NewCommands;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use sweep::TIMEOUT_CHECK_INTERVAL;

pub use arrivals::{BufferedInput, SavedArrivals};
pub use client::StreamMemory;
pub use protocol::{Abandoned, CloseConnection, Declined, Intake, Protocol, StallLimits, UnfinishedAnswer};
pub use room::ClientLimits;

/// Unsent bytes of answers on a connection; above it nothing more is read from the client.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Unparsed input of a connection: the largest command that is read whole, and some reserve.
const MAX_INPUT_BYTES: usize = 80 * 1024;
/// Commands that are read from a client while it has as many open as it may.
const READ_AHEAD_BYTES: usize = 1024 * 1024;
/// Input that every connection may have buffered, however little memory there is: the head of any usual command.
const MIN_INPUT_BYTES: usize = 2 * 1024;
/// Commands taken from one connection in one iteration of the loop.
const MAX_COMMANDS_PER_ITERATION: usize = 32;
/// Clients processed in one iteration of the loop. Answers of nodes and the next attempts wait for at least one
/// iteration; the limit keeps them from waiting behind all input that accumulated while the process was not
/// scheduled.
const MAX_CLIENTS_PER_ITERATION: usize = 64;
/// Time within which the body of a command must arrive completely; bounds clients that send it byte by byte forever.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Retry delay for a client whose address is moving to another machine, which answers there by about that time.
pub const MOVED_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Listeners and the clients connected through them.
pub struct Front<P: Protocol> {
    protocol: P,
    endpoints: Vec<Endpoint>,
    clients: FxHashMap<usize, Client<P::Session>>,
    clock: Clock,
    limits: ClientLimits,
    /// How the service state (ready, draining, shutting down) affects clients.
    client_policy: ClientPolicy,
    /// Since when the process ends and nothing more is begun.
    ending_since: Option<Instant>,
    /// Whether new connections are accepted at the machine's own address.
    accepting: bool,
    /// Number of clients over the limit, which are connected only to be declined with a retry delay.
    overflow_count: usize,
    /// Clients that may be evicted, by kind and last activity.
    idle_order: IdleOrder,
    /// When a new connection last found no free slot.
    last_full_at: Option<Instant>,
    /// Clients with input that is not processed yet, or not completely, in the order of its arrival.
    backlog: VecDeque<usize>,
    /// Clients processed in this iteration, not counting the backlog.
    processed_clients: usize,
    /// Earliest time at which the input that is ready in this iteration may have arrived.
    earliest_arrival: Instant,
    /// Whether input may be older than that, so that the kernel is asked for its age.
    verifies_arrivals: bool,
    next_timeout_check: Instant,
    /// Memory for what clients make this process hold, and how much of it they use.
    budget: Budget,
    buffered_bytes: usize,
    /// Clients that are not read on because there is no memory for their input.
    waiting_for_memory: Vec<usize>,
    /// Connections that were closed from this side and whose clients have not closed yet.
    lingering: LingeringConns,
}

impl<P: Protocol> Front<P> {
    /// The protocol of this front, to change its settings.
    pub fn protocol_mut(&mut self) -> &mut P {
        &mut self.protocol
    }

    /// Creates a front with one listener, at the machine's own address.
    ///
    /// # Errors
    ///
    /// The listener cannot be registered for events.
    pub fn new(
        protocol: P,
        mut listener: Listener,
        token: Token,
        registry: &Registry,
        clock: Clock,
        limits: ClientLimits,
        budget: Budget,
    ) -> std::io::Result<Self> {
        listener.register(token, registry)?;
        let (clients, backlog) = (FxHashMap::default(), VecDeque::new());
        let endpoints = vec![Endpoint { listener: Some(listener), retired: false }];
        let client_policy = ClientPolicy { ready: true, keep_idle: false, shed_from: None, hand_over: false };
        let (accepting, next_timeout_check) = (true, Instant::now());
        Ok(Front {
            protocol,
            endpoints,
            clients,
            clock,
            limits,
            client_policy,
            ending_since: None,
            accepting,
            overflow_count: 0,
            idle_order: IdleOrder::default(),
            last_full_at: None,
            backlog,
            processed_clients: 0,
            earliest_arrival: next_timeout_check,
            verifies_arrivals: false,
            next_timeout_check,
            budget,
            buffered_bytes: 0,
            waiting_for_memory: Vec::new(),
            lingering: LingeringConns::default(),
        })
    }

    /// Number of connections, including those that are lingering after their close.
    pub fn connection_count(&self) -> usize {
        self.clients.len() + self.lingering.len()
    }

    /// Bytes buffered for clients: incomplete commands and unsent answers, less what is granted to long ones.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Starts an iteration of the loop. Input that is ready in it arrived at `earliest_arrival` or later, or
    /// earlier if the process may have been stopped without noticing.
    pub fn begin_iteration(&mut self, earliest_arrival: Instant, may_have_been_stopped: bool) {
        (self.earliest_arrival, self.verifies_arrivals) = (earliest_arrival, may_have_been_stopped);
    }

    /// When [`Front::run_iteration`] has work to do.
    pub fn next_timer(&self, now: Instant) -> Instant {
        if !self.backlog.is_empty() || self.may_read_on() {
            return now;
        }
        let next =
            self.next_accept_at(now).map_or(self.next_timeout_check, |at| at.min(self.next_timeout_check));
        self.lingering.next_timer(now).map_or(next, |at| at.min(next))
    }

    /// Runs one iteration: processes the backlog, accepts connections and closes clients whose timeouts
    /// expired.
    pub fn run_iteration(
        &mut self,
        now: Instant,
        registry: &Registry,
        next_token: impl FnMut() -> Token,
        core: &mut Core,
    ) {
        if self.may_read_on() {
            for id in std::mem::take(&mut self.waiting_for_memory) {
                self.clients.get_mut(&id).into_iter().for_each(|client| client.waits_for_memory = false);
                self.enqueue(id);
            }
        }
        for _ in 0..self.backlog.len().min(MAX_CLIENTS_PER_ITERATION - self.processed_clients) {
            let Some(id) = self.backlog.pop_front() else { break };
            self.clients.get_mut(&id).into_iter().for_each(|client| client.queued = false);
            self.process(now, id, core);
        }
        self.processed_clients = 0;
        self.lingering.run_iteration(now);
        self.accept_connections(now, registry, next_token, core);
        if self.next_timeout_check <= now {
            self.next_timeout_check = now + TIMEOUT_CHECK_INTERVAL;
            self.close_timed_out(now, core);
        }
    }

    /// Whether there is memory again for clients that wait for it.
    fn may_read_on(&self) -> bool {
        !self.waiting_for_memory.is_empty() && self.budget.available(Purpose::Input) >= MAX_INPUT_BYTES
    }

    /// How many bytes of input a client may have buffered, and whether it is memory that limits that.
    fn input_limit(protocol: &P, budget: &Budget, client: &Client<P::Session>) -> (usize, bool) {
        let (held, available) = (client.input_memory.bytes(), budget.available(Purpose::Input));
        if protocol.is_blocked(&client.session) && !protocol.is_receiving_body(&client.session) {
            // The end of a connection is seen behind the commands that precede it. It leaves memory to others.
            return (READ_AHEAD_BYTES.min(held + available / 2).max(MIN_INPUT_BYTES), false);
        }
        let usable = protocol.max_input(&client.session);
        let granted = protocol.granted_input(&client.session);
        let affordable = (held + available).max(granted + MIN_INPUT_BYTES);
        (usable.min(affordable), affordable < usable)
    }

    /// Closes a connection from this side with a lingering close: input that crosses the close is neither read
    /// as a request nor makes the kernel reset the connection, which would lose answers that were already
    /// written.
    fn close_gracefully(&mut self, now: Instant, id: usize) -> bool {
        let Some(client) = self.remove(id) else { return false };
        self.lingering.add(now, id, client.conn, self.limits.lingering);
        true
    }

    /// Stops reading from a client, answers its open requests now and closes it once the output is sent.
    /// Otherwise the error reply to input that cannot be parsed would wait for the answers before it.
    fn finish_and_close(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.closing_since.get_or_insert(now);
        client.partial_since = None;
        client.conn.consume(client.conn.input.len());
        self.protocol.open_requests(&client.session).into_iter().for_each(|request| core.terminate(request));
        self.abandon_unfinished(id, Abandoned::ByClient);
    }

    /// A client's connection is writable and has nothing to read. Ignored unless there is something to write or
    /// a paused client to resume: a silent client must not enter the backlog, where it would count as one that
    /// has sent a command and could not be evicted for a new connection.
    pub fn writable(&mut self, now: Instant, id: usize, core: &mut Core) {
        let has_pending_work = |client: &Client<P::Session>| client.paused || !client.all_written();
        if self.clients.get(&id).is_none_or(has_pending_work) {
            self.on_event(now, id, self.earliest_arrival, core);
        }
    }

    /// A client's connection is readable.
    pub fn readable(&mut self, now: Instant, id: usize, core: &mut Core) {
        let client = self.clients.get(&id).filter(|_| self.verifies_arrivals);
        let arrival =
            client.map_or(self.earliest_arrival, |client| client.conn.arrived_by(now, self.earliest_arrival));
        self.on_event(now, id, arrival, core);
    }

    /// The client has shut down its sending side, or the connection broke. Both count as gone, even if input is
    /// unread or the client is in the backlog: a half-close cannot be told from a close. No further attempt is
    /// started for its requests.
    pub fn peer_closed(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return self.lingering.on_event(id) };
        if client.closing_since.is_some() && client.conn.flush().is_ok() && client.conn.unwritten() == 0 {
            self.close_gracefully(now, id);
        }
        self.drop_client(id, core);
    }

    /// Handles an event on a client's connection whose input arrived at `arrival`: processes the client now, or
    /// queues it once the limit of the iteration is reached.
    fn on_event(&mut self, now: Instant, id: usize, arrival: Instant, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return self.lingering.on_event(id) };
        client.arrivals.mark_pending(arrival);
        client.last_active = now;
        if self.processed_clients < MAX_CLIENTS_PER_ITERATION && !client.queued {
            self.processed_clients += 1;
            return self.process(now, id, core);
        }
        self.enqueue(id);
    }

    fn enqueue(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !std::mem::replace(&mut client.queued, true) {
            self.backlog.push_back(id);
        }
        self.update_idle_position(id);
    }

    /// Reads and handles a client's input and writes what is ready.
    pub fn process(&mut self, now: Instant, id: usize, core: &mut Core) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.last_active = now;
            self.process_input(now, id, core);
            self.flush(now, id, core);
        }
    }

    fn process_input(&mut self, now: Instant, id: usize, core: &mut Core) {
        self.promote_overflow_client(id);
        let full = self.budget.available(Purpose::Request) == 0;
        let Some(client) = self.clients.get(&id) else { return };
        let retired = self.endpoints[client.endpoint].retired;
        let decline = match (retired, full || client.is_overflow) {
            (true, _) => Some(Declined::AddressMoved),
            (false, full) => full.then_some(Declined::AtCapacity),
        };
        let ready = self.client_policy.ready;
        let new_commands = self.new_commands(now, client);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let unix = self.clock.unix(now);
        // One client that sends more than all others together must not starve them.
        let mut left = MAX_COMMANDS_PER_ITERATION;
        while client.closing_since.is_none() {
            // Bounds the answers of a client that sends commands without reading.
            client.paused = client.conn.flush().is_ok() && client.conn.unwritten() > MAX_UNSENT_BYTES;
            // Lets a hand-over finish although a client always has a request open.
            let leaves = |protocol: &P, session: &P::Session| {
                new_commands == NewCommands::Leave && !protocol.is_receiving_body(session)
            };
            client.paused |= leaves(&self.protocol, &client.session);
            if client.paused {
                // The pause is ours: a command that stays incomplete is not the client's stall.
                client.partial_since = None;
                return;
            }
            let before = client.conn.input.len();
            let (input_limit, short_of_memory) = Self::input_limit(&self.protocol, &self.budget, client);
            let last_input = Self::is_read_no_more(&self.protocol, now, client);
            let end = client.conn.read(if last_input { 0 } else { input_limit });
            if end.is_over() {
                return self.drop_client(id, core);
            }
            client.arrivals.record_read(client.conn.input.len() - before, now, end == ReadEnd::Blocked);
            let (mut offset, mut closing) = (0, false);
            let (clock, arrivals) = (self.clock, &client.arrivals);
            let drained = end == ReadEnd::Blocked;
            let mut intake = Intake {
                core: &mut *core,
                conn: id,
                now: unix,
                arrivals,
                clock,
                offset,
                decline,
                new_commands,
                drained,
                ready,
            };
            while !closing
                && left > 0
                && client.conn.unwritten() <= MAX_UNSENT_BYTES
                && !leaves(&self.protocol, &client.session)
            {
                let mut output = Vec::new();
                let input = &client.conn.input[offset..];
                intake.offset = offset;
                match self.protocol.handle_command(&mut client.session, input, &mut output, &mut intake) {
                    Ok(0) => break,
                    Ok(length) => (offset, left) = (offset + length, left - 1),
                    Err(CloseConnection) => closing = true,
                }
                client.conn.push(&output);
            }
            client.conn.consume(offset);
            client.arrivals.consume(offset);
            if closing {
                return self.finish_and_close(now, id, core);
            }
            // A body that is still being received counts as an incomplete command.
            let incomplete =
                !client.conn.input.is_empty() || self.protocol.is_receiving_body(&client.session);
            let not_stalled = !incomplete || self.protocol.is_blocked(&client.session) || left == 0;
            client.partial_since =
                client.partial_since.filter(|_| offset == 0).or(Some(now)).filter(|_| !not_stalled);
            if client.is_overflow && offset > 0 && left > 0 && drained {
                // The client was told to retry later, and has sent nothing more: free its descriptor for the next one.
                client.closing_since = Some(now);
            }
            let declining =
                retired || client.is_overflow || matches!(new_commands, NewCommands::DeclineFrom(_));
            client.declined_since =
                client.declined_since.or((offset > 0).then_some(now)).filter(|_| declining);
            if left == 0 {
                return self.enqueue(id);
            }
            if offset == 0 && last_input {
                // What was read is answered; the rest is not a whole command.
                client.closing_since = Some(now);
                return;
            }
            if offset == 0 {
                // The session is at its limit; it resumes when an answer frees capacity.
                client.paused = end == ReadEnd::Paused || !client.conn.input.is_empty();
                let waits = short_of_memory && end == ReadEnd::Paused;
                if waits && !std::mem::replace(&mut client.waits_for_memory, true) {
                    self.waiting_for_memory.push(id);
                }
                return;
            }
            if end == ReadEnd::Blocked && client.conn.unwritten() <= MAX_UNSENT_BYTES {
                client.paused = !client.conn.input.is_empty();
                return;
            }
        }
    }

    fn remove(&mut self, id: usize) -> Option<Client<P::Session>> {
        let client = self.clients.remove(&id)?;
        self.overflow_count -= usize::from(client.is_overflow);
        self.idle_order.move_to(id, client.idle_position, None);
        self.buffered_bytes -= client.buffered_bytes();
        Some(client)
    }

    /// Removes a client that has gone and withdraws its open requests.
    fn drop_client(&mut self, id: usize, core: &mut Core) {
        if let Some(client) = self.remove(id) {
            self.protocol.open_requests(&client.session).into_iter().for_each(|id| core.client_gone(id));
        }
    }
}

#[cfg(test)]
mod tests;

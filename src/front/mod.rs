//! Where clients come in: a listener and its connections, the same for every wire; what is spoken on a
//! connection is a [`Protocol`] of its own module.

mod answers;
mod arrivals;
mod client;
mod endpoints;
mod idle;
pub mod iscsi;
mod leaving;
mod protocol;
pub mod resp;
mod room;
mod sweep;

use crate::clock::Clock;
use crate::conn::ReadEnd;
use crate::core::Core;
use crate::listener::Listener;
use crate::service::Standing;
use client::Client;
use endpoints::Endpoint;
use idle::IdleOrder;
use leaving::Leaving;
use mio::net::TcpStream;
use mio::{Registry, Token};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

pub use protocol::{Closing, Declined, Intake, Protocol};
pub use room::Room;

/// Answers that a client has not read yet; beyond it nothing more is read from it.
const MOST_UNREAD: usize = 64 * 1024;
/// Unparsed input of a connection: a command of the largest size and some more.
const MOST_INPUT: usize = 80 * 1024;
/// Commands taken from one connection in one turn of the loop.
const MOST_TAKEN: usize = 32;
/// Clients heard in one turn. Guards what nodes have answered, and the next attempts, against waiting behind all that
/// has come in while this process was kept from its work: a turn is what a node waits for at least.
const MOST_HEARD: usize = 64;
/// How often the clients are looked through.
const SWEEP: Duration = Duration::from_millis(100);
/// When a client is to come again whose address went to another machine: that one answers about now.
pub const ELSEWHERE_AFTER: Duration = Duration::from_millis(20);

/// Listeners and their clients.
pub struct Front<P: Protocol> {
    protocol: P,
    endpoints: Vec<Endpoint>,
    clients: FxHashMap<usize, Client<P::Session>>,
    clock: Clock,
    room: Room,
    /// What the state of service means for clients.
    standing: Standing,
    /// Newcomers at the machine's own address are let in here.
    accepts: bool,
    /// How many of the clients are only connected to be told to come again.
    crowded: usize,
    /// Those of the clients that could be closed.
    idle: IdleOrder,
    /// When a newcomer last found all places taken.
    full_at: Option<Instant>,
    /// Clients that have said something, in the order they did: those that were not heard yet, or not to the end.
    backlog: VecDeque<usize>,
    /// Clients heard in this turn.
    heard: usize,
    /// When what is ready in this turn came, at the earliest.
    came: Instant,
    /// It may be older, which the kernel is asked.
    verifies_arrivals: bool,
    next_sweep: Instant,
    /// Bytes kept for clients: commands that are not whole, answers that were not read.
    kept: usize,
    /// Connections that are ended from this side, until the far side has seen it.
    leaving: Leaving,
}

impl<P: Protocol> Front<P> {
    /// What is spoken here, to change its settings.
    pub fn protocol_mut(&mut self) -> &mut P {
        &mut self.protocol
    }

    /// A front with one listener, the machine's own.
    ///
    /// # Errors
    ///
    /// The system does not let the listener be watched.
    pub fn new(
        protocol: P,
        mut listener: Listener,
        token: Token,
        registry: &Registry,
        clock: Clock,
        room: Room,
    ) -> std::io::Result<Self> {
        listener.register(token, registry)?;
        let (clients, backlog) = (FxHashMap::default(), VecDeque::new());
        let endpoints = vec![Endpoint { listener: Some(listener), retired: false }];
        let standing = Standing { yes: true, keeps_idle: false, shed_from: None, hands_over: false };
        let (accepts, next_sweep, kept) = (true, Instant::now(), 0);
        Ok(Front {
            protocol,
            endpoints,
            clients,
            clock,
            room,
            standing,
            accepts,
            crowded: 0,
            idle: IdleOrder::default(),
            full_at: None,
            backlog,
            heard: 0,
            came: next_sweep,
            verifies_arrivals: false,
            next_sweep,
            kept,
            leaving: Leaving::default(),
        })
    }

    /// Clients connected.
    pub fn len(&self) -> usize {
        self.clients.len() + self.leaving.len()
    }

    /// Bytes kept for them.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// A turn of the loop begins: what is ready in it has waited since `came` at the longest, or for longer where the process
    /// may have been stopped unnoticed.
    pub fn begin_turn(&mut self, came: Instant, may_have_been_stopped: bool) {
        (self.came, self.verifies_arrivals) = (came, may_have_been_stopped);
    }

    /// When [`Front::turn`] has something to do.
    pub fn next_timer(&self, now: Instant) -> Instant {
        if !self.backlog.is_empty() {
            return now;
        }
        let next = self.accept_at(now).map_or(self.next_sweep, |at| at.min(self.next_sweep));
        self.leaving.next_timer(now).map_or(next, |at| at.min(next))
    }

    /// The state of service has changed. After SIGTERM idle clients are kept, since new connections come to another
    /// process, and those that stay open are still used.
    pub fn follow_service_state(&mut self, standing: Standing) {
        self.standing = standing;
        if standing.shed_from.is_none() {
            // Whoever was asked for no more, and is still here.
            let paused: Vec<usize> =
                self.clients.iter().filter(|(_, client)| client.paused).map(|(id, _)| *id).collect();
            paused.into_iter().for_each(|id| self.queue(id));
        }
    }

    /// Gives idle clients to another process, with what they have begun to say. `give` is asked with none whether it
    /// takes another one.
    pub fn hand_over(
        &mut self,
        registry: &Registry,
        mut give: impl FnMut(Option<(TcpStream, Vec<u8>)>) -> bool,
    ) {
        let idle = |client: &Client<P::Session>| {
            let done = client.conn.unwritten() == 0 && client.closing.is_none() && !client.crowded;
            done && self.protocol.is_idle(&client.session)
        };
        let idle: Vec<usize> = self.clients.iter().filter(|(_, it)| idle(it)).map(|(id, _)| *id).collect();
        for id in idle {
            if !give(None) {
                return;
            }
            let Some(client) = self.remove(id) else { continue };
            if let Ok(parts) = client.conn.into_parts(registry) {
                give(Some(parts));
            }
        }
    }

    /// Takes a client from the process before, with what it had begun to say.
    pub fn take_over(
        &mut self,
        now: Instant,
        (stream, input): (TcpStream, Vec<u8>),
        token: Token,
        registry: &Registry,
        core: &mut Core,
    ) {
        let crowded = self.in_service() >= self.room.clients;
        self.admit(now, (stream, Some(now)), 0, crowded, token, registry);
        if let Some(client) = self.clients.get_mut(&token.0) {
            client.conn.input = input;
            self.ready(now, token.0, core);
        }
    }

    /// One turn of the loop: goes on with those that had more to say, lets newcomers in, closes who is silent.
    pub fn turn(&mut self, now: Instant, registry: &Registry, next: impl FnMut() -> Token, core: &mut Core) {
        for _ in 0..self.backlog.len().min(MOST_HEARD - self.heard) {
            let Some(id) = self.backlog.pop_front() else { break };
            self.clients.get_mut(&id).into_iter().for_each(|client| client.queued = false);
            self.ready(now, id, core);
        }
        self.heard = 0;
        self.leaving.turn(now);
        self.accept(now, registry, next, core);
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP;
            self.sweep(now, core);
        }
    }

    /// Ends a connection from this side, in order: whatever crosses the end is neither read as a request nor resets what
    /// was written.
    fn close_in_order(&mut self, now: Instant, id: usize) -> bool {
        let Some(client) = self.remove(id) else { return false };
        self.leaving.add(now, id, client.conn, self.room.leaving);
        true
    }

    /// Nothing more is read of a client; what it has open is answered now, and then it is closed. Guards against
    /// what cannot be read waiting behind what can.
    fn end(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.closing.get_or_insert(now);
        client.partial = None;
        client.conn.consume(client.conn.input.len());
        self.protocol.open(&client.session).into_iter().for_each(|request| core.terminate(request));
    }

    /// A client's connection takes more output, and has nothing to read. Guards newcomers against silent clients: one that is
    /// heard without having said anything would be taken for one that asks.
    pub fn writable(&mut self, now: Instant, id: usize, core: &mut Core) {
        let waits = |client: &Client<P::Session>| client.paused || client.conn.unwritten() > 0;
        if self.clients.get(&id).is_none_or(waits) {
            self.hear(now, id, self.came, core);
        }
    }

    /// A client's connection has something to read.
    pub fn readable(&mut self, now: Instant, id: usize, core: &mut Core) {
        let client = self.clients.get(&id).filter(|_| self.verifies_arrivals);
        let came = client.map_or(self.came, |client| client.conn.arrived_by(now, self.came));
        self.hear(now, id, came, core);
    }

    /// A client has ended its sending, or its connection broke. It has gone, whatever of it was not read yet, and whether or
    /// not its turn to be heard has come: whoever ends only its sending cannot be told from it. Nothing that it asked for is
    /// to begin any more.
    pub fn ended(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return self.leaving.ready(id) };
        if client.closing.is_some() && client.conn.flush().is_ok() && client.conn.unwritten() == 0 {
            self.close_in_order(now, id);
        }
        self.drop_client(id, core);
    }

    /// Something happened on a client's connection, which came at some moment. It is heard at once, or in its turn where many
    /// others are.
    fn hear(&mut self, now: Instant, id: usize, came: Instant, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return self.leaving.ready(id) };
        client.arrivals.ready(came);
        client.used = now;
        if self.heard < MOST_HEARD && !client.queued {
            self.heard += 1;
            return self.ready(now, id, core);
        }
        self.queue(id);
    }

    fn queue(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !std::mem::replace(&mut client.queued, true) {
            self.backlog.push_back(id);
        }
        self.note_idle(id);
    }

    /// Goes on with a client's connection.
    pub fn ready(&mut self, now: Instant, id: usize, core: &mut Core) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.used = now;
            self.take_input(now, id, core);
            self.write(now, id, core);
        }
    }

    fn take_input(&mut self, now: Instant, id: usize, core: &mut Core) {
        self.serve_if_there_is_a_place(id);
        let full = core.body_bytes() + self.kept > self.room.bytes;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let retired = self.endpoints[client.endpoint].retired;
        let declines = match (retired, full || client.crowded) {
            (true, _) => Some(Declined::Elsewhere),
            (false, full) => full.then_some(Declined::Full),
        };
        let sheds = self.standing.shed_from.is_some_and(|from| from <= now);
        let yes = self.standing.yes;
        let unix = self.clock.unix(now);
        // Guards against a client that says more than all others together.
        let mut left = MOST_TAKEN;
        while client.closing.is_none() {
            // Guards against a client that asks without reading: its answers stay bounded.
            client.paused = client.conn.flush().is_ok() && client.conn.unwritten() > MOST_UNREAD;
            // Guards a drain against clients that always have something open: what follows goes to another process.
            let more = self.protocol.is_receiving(&client.session) || self.protocol.is_idle(&client.session);
            client.paused |= sheds && !more;
            if client.paused {
                // It is not the one that does not go on.
                client.partial = None;
                return;
            }
            let before = client.conn.input.len();
            let end = client.conn.read(MOST_INPUT);
            if end.is_over() {
                return self.drop_client(id, core);
            }
            client.arrivals.read(client.conn.input.len() - before, now, end == ReadEnd::Blocked);
            let (mut at, mut closing) = (0, false);
            let (clock, arrivals) = (self.clock, &client.arrivals);
            let mut intake =
                Intake { core: &mut *core, conn: id, now: unix, arrivals, clock, at, declines, yes };
            while !closing && left > 0 && client.conn.unwritten() <= MOST_UNREAD {
                let mut output = Vec::new();
                let input = &client.conn.input[at..];
                intake.at = at;
                match self.protocol.take(&mut client.session, input, &mut output, &mut intake) {
                    Ok(0) => break,
                    Ok(length) => (at, left) = (at + length, left - 1),
                    Err(Closing) => closing = true,
                }
                client.conn.push(&output);
            }
            client.conn.consume(at);
            client.arrivals.take(at);
            if closing {
                return self.end(now, id, core);
            }
            // A body that is still to come is waited for like the rest of a command.
            let rest = !client.conn.input.is_empty() || self.protocol.is_receiving(&client.session);
            let waits = !rest || self.protocol.is_full(&client.session) || left == 0;
            client.partial = client.partial.filter(|_| at == 0).or(Some(now)).filter(|_| !waits);
            if client.crowded && at > 0 {
                // Whoever was told to come again leaves the descriptor to the next.
                client.closing = Some(now);
            }
            client.sent_away = client.sent_away.or((at > 0).then_some(now)).filter(|_| retired);
            if left == 0 {
                return self.queue(id);
            }
            if at == 0 {
                // The session is at its limit, and goes on when an answer makes room.
                client.paused = end == ReadEnd::Paused || !client.conn.input.is_empty();
                return;
            }
            if end == ReadEnd::Blocked && client.conn.unwritten() <= MOST_UNREAD {
                client.paused = !client.conn.input.is_empty();
                return;
            }
        }
    }

    fn remove(&mut self, id: usize) -> Option<Client<P::Session>> {
        let client = self.clients.remove(&id)?;
        self.crowded -= usize::from(client.crowded);
        self.idle.move_to(id, client.idle, None);
        self.kept -= client.kept;
        Some(client)
    }

    /// A client has gone away with all that it asked for.
    fn drop_client(&mut self, id: usize, core: &mut Core) {
        if let Some(client) = self.remove(id) {
            self.protocol.open(&client.session).into_iter().for_each(|id| core.client_gone(id));
        }
    }

    /// Ends listening and closes clients as they become idle; true once none is left.
    pub fn shut_down(&mut self, now: Instant, core: &mut Core) -> bool {
        self.endpoints.iter_mut().for_each(|endpoint| endpoint.listener = None);
        let ids: Vec<usize> = self.clients.keys().copied().collect();
        for id in ids {
            // What has come is taken before the connection is closed.
            self.take_input(now, id, core);
            if let Some(client) = self.clients.get_mut(&id) {
                if self.protocol.is_idle(&client.session) {
                    client.closing.get_or_insert(now);
                }
            }
            self.write(now, id, core);
        }
        self.clients.is_empty() && self.leaving.is_empty()
    }
}

#[cfg(test)]
mod tests;

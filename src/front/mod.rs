//! Where clients come in: a listener and its connections, the same for every wire; what is spoken on a
//! connection is a [`Protocol`] of its own module.

pub mod iscsi;
mod leaving;
pub mod resp;

use crate::clock::Clock;
use crate::conn::{Conn, ReadEnd};
use crate::core::{Answer, Content, Core, Origin};
use crate::flow::{Grant, WINDOW};
use crate::interface::{NewRequest, RequestId};
use crate::service::Standing;
use leaving::Leaving;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Answers that a client has not read yet; beyond it nothing more is read from it.
const MOST_UNREAD: usize = 64 * 1024;
/// Unparsed input of a connection: a command of the largest size and some more.
const MOST_INPUT: usize = 80 * 1024;
/// Commands taken from one connection, and connections accepted, in one turn of the loop.
const MOST_TAKEN: usize = 32;
/// Clients heard in one turn. Guards what nodes have answered, and the next attempts, against waiting behind all that
/// has come in while this process was kept from its work: a turn is what a node waits for at least.
const MOST_HEARD: usize = 64;
/// Connections that the kernel may have let in before they are accepted.
const MOST_WAITING: usize = 1024;
const MOST_ACCEPTED: usize = 64;
/// How often the clients are looked through.
const SWEEP: Duration = Duration::from_millis(100);
/// A client that has not asked for anything by then, or whose command has not come any further for as long, is closed.
/// A head may take two seconds.
const SILENCE: Duration = Duration::from_millis(2600);
/// A connection that is to be ended waits this long for its client to read what was written.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// A client that does not read what it was sent is closed after this.
const UNREAD: Duration = Duration::from_secs(10);
/// An idle connection is closed after this; the platform lets it be closed after two seconds. Guards against
/// clients that keep what they have used once, until there is nothing left for others.
const IDLE: Duration = Duration::from_millis(2100);
/// How soon a newcomer is looked for again where there is no room.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// When a client is to come again whose address went to another machine: that one answers about now.
pub const ELSEWHERE_AFTER: Duration = Duration::from_millis(20);
/// How long an address may still be another's at the start, and how often it is tried.
const BIND_PATIENCE: Duration = Duration::from_secs(2);
const BIND_PAUSE: Duration = Duration::from_millis(10);
/// A client makes room once it was idle for this long; one that never asked for anything, for less. What was
/// accepted a moment ago may only not be read yet.
const IDLE_BEFORE_ROOM: Duration = Duration::from_millis(250);
const SILENT_BEFORE_ROOM: Duration = Duration::from_millis(50);
/// One that has begun to ask, and of whom nothing has come for this long.
const STALLED_BEFORE_ROOM: Duration = Duration::from_millis(600);
/// While clients are sent away, one that never asked for anything is given this long to do so.
const SILENT_BEFORE_SHED: Duration = Duration::from_millis(1000);
/// The answer goes out this long before the client stops waiting. Guards against a busy machine on either side.
const MARGIN: Duration = Duration::from_millis(10);

/// What is spoken on a client's connection. It does no I/O.
pub trait Protocol {
    /// What is remembered of one connection.
    type Session;

    fn session(&self) -> Self::Session;

    /// Takes one command off the input and writes what can be answered now: the bytes it took up, or 0 while it
    /// is not whole or the session takes nothing more for now. An error ends what the client has open and closes
    /// the connection once what was written is out.
    fn take(
        &self,
        session: &mut Self::Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, Closing>;

    /// Writes the final answer of the command at a place.
    fn answer(&self, session: &mut Self::Session, place: u64, answer: Answer, output: &mut Vec<u8>);

    /// Begins a long answer of so many bytes.
    fn begin(&self, _: &mut Self::Session, _place: u64, _length: usize, _output: &mut Vec<u8>) {}

    /// Goes on with it.
    fn piece(&self, _: &mut Self::Session, _place: u64, _piece: &[u8], _output: &mut Vec<u8>) {}

    /// Ends it.
    fn finish(&self, _: &mut Self::Session, _place: u64, _output: &mut Vec<u8>) {}

    /// Bytes of answers that wait for those before them.
    fn kept_back(&self, _: &Self::Session) -> usize {
        0
    }

    /// Whether a command has come of which the rest is still to come.
    fn is_receiving(&self, _: &Self::Session) -> bool {
        false
    }

    /// Commands that wait for their answers.
    fn open(&self, session: &Self::Session) -> Vec<RequestId>;

    /// Whether the client has ever said what it came for.
    fn has_asked(&self, session: &Self::Session) -> bool;

    /// Whether the client has ever made a request: others only look whether this process is there.
    fn has_requested(&self, session: &Self::Session) -> bool {
        self.has_asked(session)
    }

    /// Whether the session waits for answers before it takes more.
    fn is_full(&self, _: &Self::Session) -> bool {
        false
    }

    /// Whether the connection may be closed without anything being lost.
    fn is_idle(&self, session: &Self::Session) -> bool;

    /// Whether an idle connection may have to make room for a new one.
    fn makes_room(&self, session: &Self::Session) -> bool {
        self.is_idle(session)
    }
}

/// The connection is to be closed once what was written is out.
pub struct Closing;

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Declined {
    /// There is no room; it may come again.
    Full,
    /// The address is another machine's; there it may come at once.
    Elsewhere,
    /// Its id is that of an open request.
    IdInUse,
}

/// Takes requests into the core for one connection.
pub struct Intake<'a> {
    pub core: &'a mut Core,
    conn: usize,
    now: Duration,
    /// Why nothing is taken now: bodies held are at their limit, the connection is one too many, or the address
    /// that it came by is another machine's.
    declines: Option<Declined>,
    /// Whether this process takes clients, for those that ask.
    pub yes: bool,
}

impl Intake<'_> {
    /// Takes a request whose client waits for `patience` from now on. Guards against running out of memory and of
    /// descriptors: it is declined while what is held for clients, or their number, takes up its part.
    pub fn take(
        &mut self,
        place: u64,
        mut new: NewRequest,
        patience: Duration,
        content: Content,
    ) -> Result<RequestId, Declined> {
        if let Some(why) = self.declines {
            return Err(why);
        }
        let patience = patience.saturating_sub(MARGIN).max(Duration::from_millis(1));
        new.deadline = self.now + patience;
        let origin = Origin { conn: self.conn, place };
        self.core.take(origin, new, content).ok_or(Declined::IdInUse)
    }

    /// The last byte of a request's body has come, and its client waits for `patience` from now on.
    pub fn body_came(&mut self, request: RequestId, patience: Duration) {
        self.core.body_came(request, self.now + patience.saturating_sub(MARGIN));
    }
}

struct Client<S> {
    conn: Conn,
    session: S,
    /// Since when it is connected, when something last happened, and when it last read or had nothing to read.
    since: Instant,
    used: Instant,
    read: Instant,
    /// Since when a command is begun that has not come any further.
    partial: Option<Instant>,
    /// Bytes kept for it, as counted last, less what was granted for long answers.
    kept: usize,
    /// Long answers that go on, and what was granted for those not read yet.
    streams: usize,
    grants: Vec<Grant>,
    /// It came when there was no room: what it asks for is declined.
    crowded: bool,
    /// The door that it came in by.
    door: usize,
    /// Since when it is told to come again because its door is retired.
    sent_away: Option<Instant>,
    /// More input may wait in the kernel.
    paused: bool,
    /// It waits in the backlog.
    queued: bool,
    /// Since when nothing more is read; it is closed once all is written.
    closing: Option<Instant>,
}

/// Listens at an address. Guards against a restart that comes while the process before still lets the last clients
/// in: the address is free again soon.
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

/// How much the clients of a front may take up.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Clients connected together without any having to go.
    pub easy: usize,
    /// Clients connected together and served.
    pub clients: usize,
    /// Clients beyond these that are connected only to be told to come again.
    pub crowd: usize,
    /// Connections beyond these that are ended, and wait for their far side to see it.
    pub leaving: usize,
    /// Bytes of the bodies of open requests, and of what is kept for clients besides.
    pub bytes: usize,
}

/// One address that clients come in by. The first is the machine's own; others belong to addresses that move
/// between machines.
struct Door {
    listener: Option<TcpListener>,
    /// The address is another machine's: its clients here are answered what they have open, and nothing is taken.
    retired: bool,
}

/// Listeners and their clients.
pub struct Front<P: Protocol> {
    protocol: P,
    doors: Vec<Door>,
    clients: FxHashMap<usize, Client<P::Session>>,
    clock: Clock,
    room: Room,
    /// What the state of service means for clients.
    standing: Standing,
    /// Newcomers at the machine's own address are let in here.
    accepts: bool,
    /// When newcomers are to be looked for; none are known of otherwise.
    accept_at: Option<Instant>,
    /// Clients that have said something, in the order they did: those that were not heard yet, or not to the end.
    backlog: VecDeque<usize>,
    /// Clients heard in this turn.
    heard: usize,
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

    pub fn new(
        protocol: P,
        mut listener: TcpListener,
        token: Token,
        registry: &Registry,
        clock: Clock,
        room: Room,
    ) -> std::io::Result<Self> {
        registry.register(&mut listener, token, Interest::READABLE)?;
        let (clients, backlog) = (FxHashMap::default(), VecDeque::new());
        let doors = vec![Door { listener: Some(listener), retired: false }];
        let standing = Standing { yes: true, keeps_idle: false, shed_from: None, hands_over: false };
        let (accepts, accept_at, next_sweep, kept) = (true, None, Instant::now(), 0);
        Ok(Front {
            protocol,
            doors,
            clients,
            clock,
            room,
            standing,
            accepts,
            accept_at,
            backlog,
            heard: 0,
            next_sweep,
            kept,
            leaving: Leaving::default(),
        })
    }

    /// Where it listens at the machine's own address: the port may have been left to the system.
    pub fn address(&self) -> Option<SocketAddr> {
        self.doors[0].listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Adds a door for an address that is not here yet; returns its number.
    pub fn add_door(&mut self) -> usize {
        self.doors.push(Door { listener: None, retired: true });
        self.doors.len() - 1
    }

    /// The address of a door is here: clients are let in, and those who stayed are served again.
    pub fn open_door(
        &mut self,
        door: usize,
        listener: std::net::TcpListener,
        token: Token,
        registry: &Registry,
        now: Instant,
    ) -> std::io::Result<()> {
        let mut listener = TcpListener::from_std(listener);
        registry.register(&mut listener, token, Interest::READABLE)?;
        self.doors[door] = Door { listener: Some(listener), retired: false };
        self.knock(now);
        Ok(())
    }

    /// The address of a door goes to another machine. Whoever asks for more is told to come again, and so finds the
    /// other one; what is open is answered.
    pub fn retire_door(
        &mut self,
        door: usize,
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
            let accepted = self.doors[door].listener.as_ref().map(TcpListener::accept);
            let Some(Ok((stream, _))) = accepted else { break };
            self.admit(now, stream, door, true, next(), registry);
        }
        self.doors[door] = Door { listener: None, retired: true };
    }

    /// Requests open that came in by a door.
    pub fn open_behind(&self, door: usize) -> impl Iterator<Item = RequestId> + '_ {
        let behind = self.clients.values().filter(move |client| client.door == door);
        behind.flat_map(|client| self.protocol.open(&client.session))
    }

    /// Clients connected.
    pub fn len(&self) -> usize {
        self.clients.len() + self.leaving.len()
    }

    /// Whether newcomers are only let in to be told to come again.
    pub fn is_crowded(&self) -> bool {
        self.clients.len() >= self.room.clients
    }

    /// Bytes kept for them.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// When [`Front::turn`] has something to do.
    pub fn next_timer(&self, now: Instant) -> Instant {
        if !self.backlog.is_empty() {
            return now;
        }
        let next = self.accept_at.map_or(self.next_sweep, |at| at.min(self.next_sweep));
        self.leaving.next_timer(now).map_or(next, |at| at.min(next))
    }

    /// The state of service has changed. After SIGTERM idle clients are kept, since new connections come to another
    /// process, and those that stay open are still used.
    pub fn stand(&mut self, standing: Standing) {
        self.standing = standing;
        if standing.shed_from.is_none() {
            // Whoever was asked for no more, and is still here.
            let paused: Vec<usize> =
                self.clients.iter().filter(|(_, client)| client.paused).map(|(id, _)| *id).collect();
            paused.into_iter().for_each(|id| self.queue(id));
        }
    }

    /// The machine's own listener, for another process.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.doors[0].listener.as_ref()
    }

    /// Lets newcomers in at the machine's own address, or leaves them to another process that has the same listener.
    pub fn accept_newcomers(&mut self, yes: bool, token: Token, registry: &Registry, now: Instant) {
        let Some(listener) = &mut self.doors[0].listener else { return };
        let changed = match yes {
            true => registry.register(listener, token, Interest::READABLE),
            false => registry.deregister(listener),
        };
        if let Err(error) = changed {
            tracing::warn!("the listener: {error}");
        }
        (self.accepts, self.accept_at) = (yes, yes.then_some(now));
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
        self.admit(now, stream, 0, self.clients.len() >= self.room.clients, token, registry);
        if let Some(client) = self.clients.get_mut(&token.0) {
            client.conn.input = input;
            self.ready(now, token.0, core);
        }
    }

    /// What clients may take up from now on.
    pub fn set_room(&mut self, room: Room) {
        self.room = room;
    }

    /// Whether connections are closed as they become idle.
    fn sheds(&self, now: Instant) -> bool {
        !self.standing.hands_over && self.standing.shed_from.is_some_and(|from| from <= now)
    }

    /// Newcomers wait.
    pub fn knock(&mut self, now: Instant) {
        self.accept_at = Some(now);
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
        self.accept(now, registry, next);
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP;
            self.sweep(now, core);
        }
    }

    /// Takes new connections. Guards against running out of descriptors: past the limit the client that was silent
    /// or idle for longest makes room; with none idle newcomers are let in only to be declined at once, since a
    /// request left in the kernel would get no answer at all.
    fn accept(&mut self, now: Instant, registry: &Registry, mut next: impl FnMut() -> Token) {
        if self.accept_at.is_none_or(|at| at > now) {
            return;
        }
        // Guards the doors from one another: each has its part of a turn.
        let mut more = false;
        for door in 0..self.doors.len() {
            let mut left = MOST_ACCEPTED;
            while left > 0 {
                left -= 1;
                while self.clients.len() >= self.room.clients && self.close_an_idle_one(now, true) {}
                if self.clients.len() >= self.room.clients + self.room.crowd {
                    self.accept_at = Some(now + ROOM_PAUSE);
                    return;
                }
                let accepted = self.doors[door].listener.as_ref().filter(|_| self.accepts || door > 0);
                match accepted.map(TcpListener::accept) {
                    Some(Ok((stream, _))) => {
                        let crowded = self.clients.len() >= self.room.clients;
                        self.admit(now, stream, door, crowded, next(), registry);
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

    fn admit(
        &mut self,
        now: Instant,
        stream: TcpStream,
        door: usize,
        crowded: bool,
        token: Token,
        registry: &Registry,
    ) {
        // Without it answers still go out, only later.
        let _ = stream.set_nodelay(true);
        if let Ok(conn) = Conn::new(stream, token, registry) {
            let session = self.protocol.session();
            let (partial, kept, paused, queued, closing) = (None, 0, false, false, None);
            let (since, used, read) = (now, now, now);
            let client = Client {
                conn,
                session,
                since,
                used,
                read,
                partial,
                kept,
                streams: 0,
                grants: Vec::new(),
                crowded,
                door,
                sent_away: None,
                paused,
                queued,
                closing,
            };
            self.clients.insert(token.0, client);
        }
    }

    /// Closes the client that makes room most easily, if any has to: first who has asked and is idle, and can come again
    /// at no cost; then, where there is no room at all, who never said anything; then who has begun to and does not go
    /// on. Guards those who take their time against those who never finish.
    fn close_an_idle_one(&mut self, now: Instant, no_room: bool) -> bool {
        let idle = self.clients.iter().filter_map(|(id, client)| {
            let (asked, begun) = (self.protocol.has_asked(&client.session), client.partial.is_some());
            let (rank, pause) = match (asked, begun) {
                (_, true) => (2, STALLED_BEFORE_ROOM),
                (true, _) => (0, IDLE_BEFORE_ROOM),
                (false, _) => (1, SILENT_BEFORE_ROOM),
            };
            // Whoever cannot come again stays: after SIGTERM only others knock.
            let stays = self.standing.keeps_idle && rank == 0 && self.protocol.has_requested(&client.session);
            let waits =
                now - client.used < pause || client.conn.unwritten() > 0 || (rank > 0 && !no_room) || stays;
            // What it has said is not read yet.
            let waits = waits || client.queued;
            (!waits && self.protocol.makes_room(&client.session)).then_some((rank, client.used, *id))
        });
        let first = idle.min();
        first.is_some_and(|(_, _, id)| self.part(now, id))
    }

    /// Ends a connection from this side, in order: whatever crosses the end is neither read as a request nor resets what
    /// was written.
    fn part(&mut self, now: Instant, id: usize) -> bool {
        let Some(client) = self.remove(id) else { return false };
        self.leaving.add(now, id, client.conn, self.room.leaving);
        true
    }

    /// Closes clients that are silent, do not go on, do not read or were idle for long. Guards against
    /// connections that are opened and kept by the hundred.
    fn sweep(&mut self, now: Instant, core: &mut Core) {
        let (mut dropped, mut ended, mut parted) = (Vec::new(), Vec::new(), Vec::new());
        let sheds = self.sheds(now);
        for (id, client) in &self.clients {
            let (protocol, session) = (&self.protocol, &client.session);
            // Whoever has begun to ask is not idle, however slowly it goes on.
            let idle = protocol.is_idle(session) && client.partial.is_none() && !client.queued;
            let written = client.conn.unwritten() == 0;
            let silent = idle && !protocol.has_asked(session) && now - client.since > SILENCE;
            let unread = !written && now - client.read > UNREAD;
            // Whoever was sent away may still have a command on its way, which is to be answered.
            let away = client.sent_away.is_some() && now - client.used > SILENT_BEFORE_ROOM;
            let last_words = client.closing.is_some_and(|since| now - since > LAST_WORDS);
            if silent || unread || last_words {
                core.counters.clients_silent += 1;
                if written && idle { &mut parted } else { &mut dropped }.push(*id);
            } else if client.partial.is_some_and(|since| now - since > SILENCE) {
                core.counters.clients_silent += 1;
                ended.push(*id);
            } else if idle
                && written
                && (away
                    || (sheds && (protocol.has_asked(session) || client.since + SILENT_BEFORE_SHED < now))
                    || (!self.standing.keeps_idle
                        && protocol.has_asked(session)
                        && protocol.makes_room(session)
                        && now - client.used > IDLE))
            {
                parted.push(*id);
            }
        }
        dropped.into_iter().for_each(|id| self.drop_client(id, core));
        for id in parted {
            self.part(now, id);
        }
        // Guards against clients that each keep a connection and may hold only so many: the next request would find
        // none. Whoever is idle comes back on a new one.
        while !self.standing.keeps_idle
            && self.clients.len() > self.room.easy
            && self.close_an_idle_one(now, false)
        {}
        for id in ended {
            self.end(now, id, core);
            self.write(now, id, core);
        }
    }

    /// Nothing more is read of a client; what it has open is answered now, and then it is closed. Guards against
    /// what cannot be read waiting behind what can.
    fn end(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.closing.get_or_insert(now);
        client.partial = None;
        client.conn.consume(client.conn.input.len());
        self.protocol.open(&client.session).into_iter().for_each(|request| core.end(request));
    }

    /// Something happened on a client's connection, and whether it has ended its sending. It is heard at once, or in its
    /// turn where many others are.
    pub fn told(&mut self, now: Instant, id: usize, ends: bool, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return self.leaving.told(id) };
        if ends {
            // It has gone, whatever of it was not read yet, and whether or not its turn to be heard has come: whoever
            // ends only its sending cannot be told from it. Nothing that it asked for is to begin any more.
            if client.closing.is_some() && client.conn.flush().is_ok() && client.conn.unwritten() == 0 {
                self.part(now, id);
            }
            return self.drop_client(id, core);
        }
        client.conn.told(ends);
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
        let too_many = self.clients.len() > self.room.clients;
        let full = core.held_bytes() + self.kept > self.room.bytes;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.crowded &= too_many;
        let retired = self.doors[client.door].retired;
        let declines = match (retired, full || client.crowded) {
            (true, _) => Some(Declined::Elsewhere),
            (false, full) => full.then_some(Declined::Full),
        };
        let sheds = self.standing.shed_from.is_some_and(|from| from <= now);
        let yes = self.standing.yes;
        let mut intake = Intake { core, conn: id, now: self.clock.unix(now), declines, yes };
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
            let end = client.conn.read(MOST_INPUT);
            if end.is_over() {
                return self.drop_client(id, core);
            }
            let (mut at, mut closing) = (0, false);
            while !closing && left > 0 && client.conn.unwritten() <= MOST_UNREAD {
                let mut output = Vec::new();
                let input = &client.conn.input[at..];
                match self.protocol.take(&mut client.session, input, &mut output, &mut intake) {
                    Ok(0) => break,
                    Ok(length) => (at, left) = (at + length, left - 1),
                    Err(Closing) => closing = true,
                }
                client.conn.push(&output);
            }
            client.conn.consume(at);
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

    /// Gives a final answer to its client.
    pub fn answer(&mut self, now: Instant, origin: Origin, answer: Answer, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let mut output = Vec::new();
        self.protocol.answer(&mut client.session, origin.place, answer, &mut output);
        client.conn.push(&output);
        client.used = now;
        self.go_on(now, origin.conn, core);
        self.write(now, origin.conn, core);
    }

    /// A long answer of so many bytes begins; a grant holds it whole.
    pub fn begin(
        &mut self,
        now: Instant,
        origin: Origin,
        length: usize,
        grant: Option<Grant>,
        core: &mut Core,
    ) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streams += 1;
        client.grants.extend(grant);
        self.pass(now, origin, core, |protocol, session, output| {
            protocol.begin(session, origin.place, length, output);
        });
    }

    /// A long answer goes on.
    pub fn piece(&mut self, now: Instant, origin: Origin, piece: &[u8], core: &mut Core) {
        self.pass(now, origin, core, |protocol, session, output| {
            protocol.piece(session, origin.place, piece, output);
        });
    }

    /// A long answer has come to its end. One that is not whole ends the connection: its client can tell by that alone.
    pub fn finish(&mut self, now: Instant, origin: Origin, whole: bool, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streams -= 1;
        if !whole {
            core.counters.answers_cut += 1;
            return self.drop_client(origin.conn, core);
        }
        self.pass(now, origin, core, |protocol, session, output| {
            protocol.finish(session, origin.place, output)
        });
        self.go_on(now, origin.conn, core);
    }

    fn pass(
        &mut self,
        now: Instant,
        origin: Origin,
        core: &mut Core,
        write: impl FnOnce(&P, &mut P::Session, &mut Vec<u8>),
    ) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let mut output = Vec::new();
        write(&self.protocol, &mut client.session, &mut output);
        client.conn.push(&output);
        client.used = now;
        self.write(now, origin.conn, core);
    }

    /// How much more of a long answer a client's connection takes now.
    pub fn room(&self, origin: Origin) -> usize {
        let Some(client) = self.clients.get(&origin.conn) else { return 0 };
        WINDOW.saturating_sub(client.conn.unwritten() + self.protocol.kept_back(&client.session))
    }

    /// Goes on with a client that waited for room.
    pub fn go_on(&mut self, now: Instant, id: usize, core: &mut Core) {
        // Who is sent away is asked for no more than what it has begun.
        let leaves = self.standing.shed_from.is_some_and(|from| from <= now);
        let Some(client) = self.clients.get(&id) else { return };
        if client.paused && (!leaves || self.protocol.is_receiving(&client.session)) {
            self.take_input(now, id, core);
            self.write(now, id, core);
        }
    }

    /// Writes what goes; closes where that is due.
    fn write(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let before = client.conn.unwritten();
        if client.conn.flush().is_err() {
            return self.drop_client(id, core);
        }
        let unwritten = client.conn.unwritten();
        if unwritten == 0 || unwritten < before {
            client.read = now;
        }
        if unwritten == 0 && client.streams == 0 {
            client.grants.clear();
        }
        let granted: usize = client.grants.iter().map(Grant::bytes).sum();
        let answers = unwritten + self.protocol.kept_back(&client.session);
        let kept = answers.saturating_sub(granted) + client.conn.input.len();
        self.kept = self.kept + kept - std::mem::replace(&mut client.kept, kept);
        // Guards against a client that goes on asking where it is only sent away.
        let shed = !self.standing.hands_over && self.standing.shed_from.is_some_and(|from| from <= now);
        let shed = shed && client.conn.input.is_empty() && self.protocol.has_asked(&client.session);
        let asks_on = client.sent_away.is_some_and(|since| now - since > SILENCE);
        if (client.closing.is_some() || asks_on || shed)
            && unwritten == 0
            && self.protocol.is_idle(&client.session)
        {
            self.part(now, id);
        }
    }

    fn remove(&mut self, id: usize) -> Option<Client<P::Session>> {
        let client = self.clients.remove(&id)?;
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
        self.doors.iter_mut().for_each(|door| door.listener = None);
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

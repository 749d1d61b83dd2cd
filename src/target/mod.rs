//! The connections to storage nodes and the attempts on them. What is spoken on a connection is a [`Session`] of
//! its wire's module; everything else is the same for all wires.
//!
//! A connection carries one attempt at a time: a pipelined answer would wait behind those before it, and giving
//! one up by closing would take the others along.

pub mod iscsi;
pub mod resp;

use crate::conn::{Conn, Connecting, ReadEnd};
use crate::core::{AttemptId, Content, Ended};
use crate::flow::{Flow, WINDOW};
use crate::interface::{NodeId, Outcome};
use mio::{Registry, Token};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// More than the largest answer takes.
const LARGEST_ANSWER: usize = 80 * 1024;
/// An answer that has begun and does not go on for this long is not going to: its lengths do not fit.
const STALL: Duration = Duration::from_millis(150);
/// The same for a long one, and for what a node takes of a long command: peers may need seconds for a piece.
const LONG_STALL: Duration = Duration::from_secs(5);
/// How often long values are looked through for those that do not go on.
const LONG_LOOK: Duration = Duration::from_millis(500);
/// Part of the targets' idle time after which a connection is closed from this side. A request written to a
/// connection that the far side has just closed would end as a reset.
const IDLE_PART: f64 = 0.5;

/// What is spoken on one connection. It does no I/O.
pub trait Session {
    /// Begins the conversation; true if attempts may follow at once.
    fn open(&mut self, output: &mut Vec<u8>) -> bool;

    /// Begins an attempt; false if this wire has no words for it.
    fn start(&mut self, content: &Content, left: Duration, output: &mut Vec<u8>) -> bool;

    /// How long a connection rests after an answer, before the next attempt.
    fn rest(&self) -> Duration;

    /// Whether the attempt's last byte was put out.
    fn is_sent(&self) -> bool;

    /// Reads what has come. An error means that the far side does not keep to the wire.
    fn input(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Result<Step, String>;
}

/// Where a session stands after some input.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// More has to come.
    Waiting,
    /// Attempts may begin.
    Ready,
    /// A long value of so many bytes follows, in pieces.
    Begun(usize),
    /// Some of it.
    Piece(Vec<u8>),
    /// The attempt ended.
    Ended(Ended),
    /// The far side wants the connection to end.
    Leaving,
}

/// How a node is reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub wire: Wire,
}

/// What a node speaks.
#[derive(Clone, Debug, PartialEq)]
pub enum Wire {
    Resp,
    /// As the target of this name.
    Iscsi(String),
}

impl Wire {
    fn session(&self, number: usize) -> Box<dyn Session> {
        match self {
            Wire::Resp => Box::<resp::Session>::default(),
            Wire::Iscsi(name) => Box::new(iscsi::Session::new(name, number)),
        }
    }
}

/// What happens to a long value.
pub enum Flowing {
    /// An answer of so many bytes begins.
    Begun(usize),
    /// Some of it came.
    Piece(Vec<u8>),
    /// Some of a body went out.
    Moved,
    /// A body or an answer does not go through in one go.
    Slow,
}

/// An attempt to be made.
pub struct Start {
    pub attempt: AttemptId,
    pub node: NodeId,
    pub content: Rc<Content>,
    pub give_up_at: Instant,
    /// Its last byte goes out by then, or none does.
    pub begin_by: Instant,
}

struct Target {
    conn: Conn,
    session: Box<dyn Session>,
    node: NodeId,
    /// It was made to this.
    endpoint: Endpoint,
    /// The transport is up.
    connected: bool,
    attempt: Option<AttemptId>,
    /// The attempt's content, until it is begun.
    waiting: Option<(Rc<Content>, Instant)>,
    /// Until when the attempt may begin, which is when its last byte goes out.
    begin_by: Instant,
    /// Since when it is idle.
    idle_since: Instant,
    /// Since when an answer is begun that has not come any further.
    partial: Option<Instant>,
    /// A long body on its way out, and how much of it was put out.
    body: Option<(Flow, usize)>,
    /// When something of a long body or answer last went on.
    moved: Instant,
    /// When the attempt was begun, how long its body took to go out, and when its answer began that was not whole.
    begun: Instant,
    sending: Option<Duration>,
    answering: Option<Instant>,
    /// It was told that the attempt takes its time.
    slow: bool,
    /// Bytes of a long answer that may still be read, once it has begun.
    credit: Option<usize>,
}

impl Target {
    /// Whether the attempt's last byte has left.
    fn all_written(&self) -> bool {
        self.waiting.is_none() && self.body.is_none() && self.session.is_sent() && self.conn.unwritten() == 0
    }

    /// Whether no byte of the attempt has left.
    fn is_unsent(&self) -> bool {
        self.waiting.is_some() || (!self.conn.has_begun() && self.conn.unwritten() > 0)
    }

    /// Puts out of a long body what there is of it, a piece at a time; true if any of it went.
    fn write_body(&mut self, now: Instant) -> std::io::Result<bool> {
        let mut moved = false;
        while let Some((flow, at)) = &mut self.body {
            let before = self.conn.unwritten();
            self.conn.flush()?;
            moved |= self.conn.unwritten() < before;
            if self.conn.unwritten() > 0 {
                break;
            }
            let piece = flow.copy(*at, WINDOW);
            if piece.is_empty() {
                break;
            }
            *at += piece.len();
            flow.written(*at);
            self.conn.push(&piece);
            moved = true;
            if *at == flow.length() {
                self.conn.push(b"\r\n");
                self.body = None;
            }
        }
        self.conn.flush()?;
        if self.sending.is_none() && self.body.is_none() && self.conn.unwritten() == 0 {
            self.sending = Some(now - self.begun);
        }
        if moved {
            self.moved = now;
        }
        Ok(moved)
    }

    /// Begins the attempt that waits for the session to be ready; false if the wire has no words for it.
    fn begin(&mut self, now: Instant) -> bool {
        let Some((content, give_up_at)) = self.waiting.take() else { return true };
        let mut output = Vec::new();
        let begun = self.session.start(&content, give_up_at.saturating_duration_since(now), &mut output);
        self.conn.push(&output);
        self.body = content.flow.clone().map(|flow| (flow, 0));
        (self.begun, self.moved, self.slow) = (now, now, false);
        (self.sending, self.answering, self.credit) = (None, None, None);
        begun
    }
}

/// All connections to nodes.
pub struct Targets {
    conns: FxHashMap<usize, Target>,
    by_attempt: FxHashMap<AttemptId, usize>,
    /// Connections by node.
    by_node: FxHashMap<NodeId, FxHashSet<usize>>,
    /// Idle connections by node, that used last at the end; no list is empty.
    idle: FxHashMap<NodeId, Vec<usize>>,
    /// All idle connections, that used longest ago first.
    idle_order: BTreeSet<(Instant, usize)>,
    /// Attempts that have not begun, by when their connections time out or they may not begin any more.
    unbegun: BTreeSet<(Instant, usize)>,
    /// Connections with a part of an answer, by when that is to have gone on.
    answering: VecDeque<(Instant, usize)>,
    connect_timeout: Duration,
    idle_limit: Duration,
    next_sweep: Instant,
    next_look: Instant,
    most: usize,
    /// What has come of long answers, and bodies that went on, since last asked.
    pub flowing: VecDeque<(AttemptId, Flowing)>,
    /// Long attempts, to be looked at for those that do not go on.
    long: Vec<AttemptId>,
    /// Answers that could not be read.
    pub spoilt: u64,
    /// Attempts that ended since last asked.
    pub ended: Vec<(AttemptId, Ended)>,
}

impl Targets {
    /// `most` connections may be held together.
    pub fn new(connect_timeout: Duration, conn_idle: Duration, most: usize, now: Instant) -> Self {
        Targets {
            conns: FxHashMap::default(),
            by_attempt: FxHashMap::default(),
            by_node: FxHashMap::default(),
            idle: FxHashMap::default(),
            idle_order: BTreeSet::new(),
            unbegun: BTreeSet::new(),
            answering: VecDeque::new(),
            flowing: VecDeque::new(),
            long: Vec::new(),
            spoilt: 0,
            connect_timeout,
            idle_limit: conn_idle.mul_f64(IDLE_PART),
            next_sweep: now,
            next_look: now,
            most,
            ended: Vec::new(),
        }
    }

    /// Begins an attempt, on an idle connection if there is one.
    pub fn start(
        &mut self,
        now: Instant,
        start: Start,
        endpoint: &Endpoint,
        token: Token,
        registry: &Registry,
    ) {
        let Start { attempt, node, content, give_up_at, begin_by } = start;
        if content.flow.is_some() {
            self.long.push(attempt);
        }
        let waiting = Some((content, give_up_at));
        while let Some(id) = self.take_idle(now, node) {
            let Some(target) = self.conns.get_mut(&id) else { continue };
            // What was closed meanwhile, or says something unasked, is not used again.
            let fresh = target.endpoint == *endpoint
                && target.conn.read(LARGEST_ANSWER) == ReadEnd::Blocked
                && target.conn.input.is_empty();
            if !fresh {
                self.forget(id);
                continue;
            }
            (target.attempt, target.waiting, target.begin_by) = (Some(attempt), waiting, begin_by);
            self.by_attempt.insert(attempt, id);
            if !target.begin(now) {
                self.end(id, Outcome::NotSent);
            } else if target.conn.flush().is_err() {
                self.end(id, Outcome::Reset);
            } else {
                if !target.all_written() {
                    self.unbegun.insert((begin_by, id));
                }
                self.go_on(now, attempt);
            }
            return;
        }
        if self.conns.len() >= self.most {
            self.close_an_idle_one();
        }
        let opened = (self.conns.len() < self.most).then(|| Conn::connect(endpoint.address, token, registry));
        let Some(Ok(conn)) = opened else {
            return self.ended.push((attempt, Ended::bare(Outcome::NotConnected)));
        };
        let target = Target {
            conn,
            session: endpoint.wire.session(token.0),
            node,
            endpoint: endpoint.clone(),
            connected: false,
            attempt: Some(attempt),
            waiting,
            begin_by,
            idle_since: now,
            partial: None,
            body: None,
            moved: now,
            begun: now,
            sending: None,
            answering: None,
            slow: false,
            credit: None,
        };
        self.conns.insert(token.0, target);
        self.by_node.entry(node).or_default().insert(token.0);
        self.by_attempt.insert(attempt, token.0);
        self.unbegun.insert((begin_by.min(now + self.connect_timeout), token.0));
    }

    /// The connection to a node that was used last among those that have rested.
    fn take_idle(&mut self, now: Instant, node: NodeId) -> Option<usize> {
        let idle = self.idle.get(&node)?;
        let conns = &self.conns;
        let rested =
            |id: &usize| conns.get(id).is_none_or(|target| target.idle_since + target.session.rest() <= now);
        let id = *idle.iter().rfind(|id| rested(id))?;
        self.leave_idle(node, id);
        Some(id)
    }

    /// An idle connection is so no more.
    fn leave_idle(&mut self, node: NodeId, id: usize) {
        let Some(idle) = self.idle.get_mut(&node) else { return };
        idle.retain(|other| *other != id);
        if idle.is_empty() {
            self.idle.remove(&node);
        }
        if let Some(target) = self.conns.get(&id) {
            self.idle_order.remove(&(target.idle_since, id));
        }
    }

    /// How many there are of what is kept here, by name.
    pub fn sizes(&self) -> [(&'static str, usize); 3] {
        [
            ("node_connections", self.conns.len()),
            ("attempts_out", self.by_attempt.len()),
            ("idle_lists", self.idle.len()),
        ]
    }

    /// Stops waiting for an attempt; it ended as said, or never ran if it was not all written.
    pub fn stop(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        if outcome == Outcome::TimedOut {
            // The node may have vanished, and then its idle connections are as silent as this one. Those that it answered
            // on since are not: the fault is this connection's alone.
            let (node, begun) = (self.conns[&id].node, self.conns[&id].begun);
            let conns = &self.conns;
            let silent = |id: &usize| conns.get(id).is_none_or(|other| other.idle_since < begun);
            let idle = self.idle.get(&node).into_iter().flatten().copied().filter(silent);
            for id in idle.collect::<Vec<_>>() {
                self.forget(id);
            }
        }
        self.end(id, outcome);
    }

    /// Gives up an attempt whose last byte is not out: nobody waits for it any more.
    pub fn withdraw(&mut self, attempt: AttemptId) {
        if let Some(id) = self.by_attempt.get(&attempt).copied() {
            if self.conns.get(&id).is_some_and(|target| !target.all_written()) {
                self.end(id, Outcome::Cancelled);
            }
        }
    }

    /// Nothing that has put out no byte may begin at a node after that: guards a drain against connections that were
    /// being made when it was told, and come up late.
    pub fn close_at(&mut self, node: NodeId, closes: Instant) {
        for id in self.by_node.get(&node).into_iter().flatten() {
            let target = self.conns.get_mut(id);
            if let Some(target) = target.filter(|target| target.is_unsent() && target.begin_by > closes) {
                target.begin_by = closes;
                self.unbegun.insert((closes, *id));
            }
        }
    }

    /// Closes the idle connections of a node that is gone, and gives up what was not begun there: guards against a
    /// first byte that goes out long after that was told.
    pub fn leave(&mut self, node: NodeId) {
        self.close_idle(node);
        let here = self.by_node.get(&node).into_iter().flatten().copied();
        for id in here.filter(|id| self.conns[id].is_unsent()).collect::<Vec<_>>() {
            self.end(id, Outcome::NotConnected);
        }
    }

    /// How many connections may be held together from now on.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Closes all connections that are idle: another process needs the descriptors.
    pub fn close_all_idle(&mut self) {
        for (_, id) in std::mem::take(&mut self.idle_order) {
            self.forget(id);
        }
    }

    /// Whether attempts ended, or long values went on, that nobody has asked for yet.
    pub fn has_news(&self) -> bool {
        !self.ended.is_empty() || !self.flowing.is_empty()
    }

    /// Connections held.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    fn close_idle(&mut self, node: NodeId) {
        for id in self.idle.get(&node).cloned().unwrap_or_default() {
            self.forget(id);
        }
    }

    fn close_an_idle_one(&mut self) {
        // Whoever was used longest ago is the least likely to be used again.
        if let Some((_, id)) = self.idle_order.first().copied() {
            self.forget(id);
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Instant, id: usize) {
        let Some(target) = self.conns.get_mut(&id) else { return };
        if target.attempt.is_some() && target.begin_by <= now && !target.all_written() {
            // The connection comes up late, the node reads slowly, or this process was kept from its work since.
            return self.end(id, Outcome::NotConnected);
        }
        if !target.connected {
            match target.conn.connecting() {
                Connecting::Pending => return,
                Connecting::Failed => return self.end(id, Outcome::NotConnected),
                Connecting::Up => target.connected = true,
            }
            let mut output = Vec::new();
            let ready = target.session.open(&mut output);
            target.conn.push(&output);
            if ready && !target.begin(now) {
                return self.end(id, Outcome::NotSent);
            }
        }
        loop {
            let Some(target) = self.conns.get_mut(&id) else { return };
            if target.body.is_some() {
                match target.write_body(now) {
                    Ok(moved) => {
                        self.flowing.extend(target.attempt.filter(|_| moved).map(|it| (it, Flowing::Moved)))
                    }
                    Err(_) => return self.end(id, Outcome::Reset),
                }
                if target.sending.is_none() && !std::mem::replace(&mut target.slow, true) {
                    self.flowing.extend(target.attempt.map(|attempt| (attempt, Flowing::Slow)));
                }
            }
            if target.conn.flush().is_err() {
                return self.end(id, Outcome::Reset);
            }
            if target.credit == Some(0) {
                // Guards the memory against a client that is slower than its node.
                return;
            }
            let more = target
                .credit
                .map_or(LARGEST_ANSWER, |credit| target.conn.input.len() + credit.min(LARGEST_ANSWER));
            let read = target.conn.read(more);
            let mut output = Vec::new();
            let step = target.session.input(&mut target.conn.input, &mut output);
            target.conn.shed();
            target.conn.push(&output);
            match step {
                Ok(Step::Waiting) if read.is_over() => return self.end(id, Outcome::Reset),
                // A session that takes nothing off a full input never will.
                Ok(Step::Waiting) if target.conn.input.len() >= LARGEST_ANSWER => return self.spoil(id),
                Ok(Step::Begun(length)) => {
                    let Some(attempt) = target.attempt else { return self.forget(id) };
                    // An answer that comes before its command is out belongs to nothing.
                    if !target.all_written() {
                        return self.spoil(id);
                    }
                    target.answering.get_or_insert(now);
                    (target.credit, target.moved, target.partial) = (Some(WINDOW), now, None);
                    self.flowing.push_back((attempt, Flowing::Begun(length)));
                    self.long.push(attempt);
                }
                Ok(Step::Piece(piece)) => {
                    let Some(attempt) = target.attempt else { return self.forget(id) };
                    target.credit = target.credit.map(|credit| credit.saturating_sub(piece.len()));
                    target.moved = now;
                    self.flowing.push_back((attempt, Flowing::Piece(piece)));
                }
                // What is begun of a long answer is looked after with the long ones.
                Ok(Step::Waiting) if target.credit.is_some() && read == ReadEnd::Blocked => return,
                Ok(Step::Waiting) if output.is_empty() && read == ReadEnd::Blocked => {
                    let begun = (!target.conn.input.is_empty()).then_some(now);
                    if std::mem::replace(&mut target.partial, begun).is_none() && begun.is_some() {
                        self.answering.push_back((now + STALL, id));
                    }
                    target.answering = target.answering.or(begun);
                    if begun.is_some() && !std::mem::replace(&mut target.slow, true) {
                        self.flowing.extend(target.attempt.map(|attempt| (attempt, Flowing::Slow)));
                    }
                    return;
                }
                Ok(Step::Waiting) => {}
                Ok(Step::Ready) => {
                    if !target.begin(now) {
                        return self.end(id, Outcome::NotSent);
                    }
                }
                Ok(Step::Leaving) => return self.end(id, Outcome::Reset),
                Ok(Step::Ended(ended)) => {
                    self.answered(now, id, ended);
                    if read.is_over() {
                        self.forget(id);
                    }
                    return;
                }
                Err(why) => {
                    tracing::warn!("a node does not keep to its wire: {why}");
                    return self.spoil(id);
                }
            }
        }
    }

    /// What came cannot be read: the attempt may have run, and the connection is of no more use.
    fn spoil(&mut self, id: usize) {
        self.spoilt += u64::from(self.conns.get(&id).is_some_and(|target| target.attempt.is_some()));
        self.end(id, Outcome::Error);
    }

    /// Goes on with a long body of which more has come.
    pub fn go_on(&mut self, now: Instant, attempt: AttemptId) {
        if let Some(id) = self.by_attempt.get(&attempt).copied() {
            if self.conns.get(&id).is_some_and(|target| target.connected && target.body.is_some()) {
                self.ready(now, id);
            }
        }
    }

    /// Attempts whose long answers wait for their clients.
    pub fn held_up(&self) -> Vec<AttemptId> {
        let credit =
            |attempt: &&AttemptId| self.by_attempt.get(*attempt).and_then(|id| self.conns[id].credit);
        self.long.iter().filter(|attempt| credit(attempt) == Some(0)).copied().collect()
    }

    /// So many bytes of a long answer may be read now.
    pub fn credit(&mut self, now: Instant, attempt: AttemptId, bytes: usize) {
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        let Some(target) = self.conns.get_mut(&id) else { return };
        let waited = target.credit == Some(0);
        target.credit = Some(bytes);
        if waited && bytes > 0 {
            // It was its client that did not go on.
            target.moved = now;
            self.ready(now, id);
        }
    }

    /// An attempt has its answer; the connection is idle unless something is left over on it.
    fn answered(&mut self, now: Instant, id: usize, ended: Ended) {
        let Some(target) = self.conns.get_mut(&id) else { return };
        let clean = target.all_written() && target.conn.input.is_empty();
        (target.idle_since, target.partial, target.credit, target.body) = (now, None, None, None);
        let answering = target.answering.take().map_or(Duration::ZERO, |since| now - since);
        let ended = Ended { transfer: target.sending.take().unwrap_or_default() + answering, ..ended };
        // An answer that nothing was asked for leaves no attempt to end and no connection to trust.
        let Some(attempt) = target.attempt.take() else { return self.forget(id) };
        self.by_attempt.remove(&attempt);
        self.ended.push((attempt, ended));
        if clean {
            self.idle.entry(target.node).or_default().push(id);
            self.idle_order.insert((now, id));
        } else {
            self.forget(id);
        }
    }

    /// A connection is over; its attempt never ran if its last byte was not written.
    fn end(&mut self, id: usize, outcome: Outcome) {
        let Some(target) = self.conns.get(&id) else { return };
        let never_ran = !target.all_written() && outcome != Outcome::NotSent;
        let outcome = if never_ran { Outcome::NotConnected } else { outcome };
        if let Some(attempt) = target.attempt {
            self.by_attempt.remove(&attempt);
            self.ended.push((attempt, Ended::bare(outcome)));
        }
        self.forget(id);
    }

    fn forget(&mut self, id: usize) {
        let Some(node) = self.conns.get(&id).map(|target| target.node) else { return };
        self.leave_idle(node, id);
        self.conns.remove(&id);
        if let Some(here) = self.by_node.get_mut(&node) {
            here.remove(&id);
            if here.is_empty() {
                self.by_node.remove(&node);
            }
        }
    }

    /// When [`Targets::tick`] has something to do.
    pub fn next_timer(&self) -> Instant {
        let queues = [self.unbegun.first(), self.answering.front()];
        let first = if self.long.is_empty() { self.next_sweep } else { self.next_sweep.min(self.next_look) };
        queues.into_iter().flatten().fold(first, |next, (at, _)| next.min(*at))
    }

    /// Ends what was not ready in time and closes what was idle for long.
    pub fn tick(&mut self, now: Instant) {
        while self.unbegun.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.unbegun.pop_first() else { break };
            let Some(target) = self.conns.get(&id) else { continue };
            // Guards against a node that accepts and then says nothing, and against a command that is half out: an
            // attempt that has not begun has failed.
            if target.waiting.is_some() || (!target.all_written() && target.begin_by <= now) {
                self.end(id, Outcome::NotConnected);
            } else if !target.all_written() {
                self.unbegun.insert((target.begin_by, id));
            }
        }
        while let Some((_, id)) = self.answering.pop_front_if(|(at, _)| *at <= now) {
            let Some(target) = self.conns.get_mut(&id) else { continue };
            match target.partial.map(|since| since + STALL) {
                Some(end) if end <= now => {
                    tracing::warn!("a node does not go on with its answer");
                    self.spoil(id);
                }
                Some(end) => self.answering.push_back((end, id)),
                None => {}
            }
        }
        if self.next_look <= now {
            self.next_look = now + LONG_LOOK;
            let (conns, by_attempt) = (&self.conns, &self.by_attempt);
            self.long.retain(|attempt| by_attempt.contains_key(attempt));
            // A node that waits for its client, or for the rest of a body, is not the one that does not go on.
            let stalled = |target: &Target| {
                let waits = match &target.body {
                    Some((flow, at)) => target.conn.unwritten() == 0 && flow.came() == *at,
                    None => target.credit.is_none_or(|credit| credit == 0) && target.conn.unwritten() == 0,
                };
                !waits && now - target.moved > LONG_STALL
            };
            let ids = self.long.iter().filter_map(|attempt| by_attempt.get(attempt)).copied();
            let ids: Vec<usize> = ids.filter(|id| conns.get(id).is_some_and(stalled)).collect();
            for id in ids {
                tracing::warn!("a node does not go on with a long value");
                self.spoil(id);
            }
        }
        if self.next_sweep <= now {
            self.next_sweep = now + self.idle_limit / 4;
            let old = |target: &Target| target.attempt.is_none() && now - target.idle_since > self.idle_limit;
            let ids: Vec<usize> = self.conns.iter().filter(|(_, it)| old(it)).map(|(id, _)| *id).collect();
            ids.into_iter().for_each(|id| self.forget(id));
        }
    }
}

#[cfg(test)]
mod tests;

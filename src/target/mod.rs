//! The connections to storage nodes and the attempts on them. What is spoken on a connection is a [`Session`] of
//! its wire's module; everything else is the same for all wires.
//!
//! A connection carries one attempt at a time: a pipelined answer would wait behind those before it, and giving
//! one up by closing would take the others along.

pub mod iscsi;
pub mod resp;

use crate::conn::{Conn, Connecting, ReadEnd};
use crate::core::{AttemptId, Content, Ended};
use crate::interface::{NodeId, Outcome};
use mio::{Registry, Token};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// More than the largest answer takes.
const LARGEST_ANSWER: usize = 256 * 1024;
/// Part of the targets' idle time after which a connection is closed from this side. A request written to a
/// connection that the far side has just closed would end as a reset.
const IDLE_PART: f64 = 0.5;

/// What is spoken on one connection. It does no I/O.
pub trait Session {
    /// Begins the conversation; true if attempts may follow at once.
    fn open(&mut self, output: &mut Vec<u8>) -> bool;

    /// Begins an attempt; false if this wire has no words for it.
    fn start(&mut self, content: &Content, left: Duration, output: &mut Vec<u8>) -> bool;

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
            Wire::Resp => Box::new(resp::Session),
            Wire::Iscsi(name) => Box::new(iscsi::Session::new(name, number)),
        }
    }
}

/// An attempt to be made.
pub struct Start {
    pub attempt: AttemptId,
    pub node: NodeId,
    pub content: Rc<Content>,
    pub give_up_at: Instant,
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
    /// Since when it is idle.
    idle_since: Instant,
}

impl Target {
    /// Whether the attempt's last byte has left.
    fn all_written(&self) -> bool {
        self.waiting.is_none() && self.session.is_sent() && self.conn.unwritten() == 0
    }

    /// Begins the attempt that waits for the session to be ready; false if the wire has no words for it.
    fn begin(&mut self, now: Instant) -> bool {
        let Some((content, give_up_at)) = self.waiting.take() else { return true };
        let mut output = Vec::new();
        let begun = self.session.start(&content, give_up_at.saturating_duration_since(now), &mut output);
        self.conn.push(&output);
        begun
    }
}

/// All connections to nodes.
pub struct Targets {
    conns: HashMap<usize, Target>,
    by_attempt: HashMap<AttemptId, usize>,
    /// Idle connections by node, that used last at the end.
    idle: HashMap<NodeId, Vec<usize>>,
    /// Connections being made, in the order they time out.
    connecting: VecDeque<(Instant, usize)>,
    connect_timeout: Duration,
    idle_limit: Duration,
    next_sweep: Instant,
    most: usize,
    /// Attempts that ended since last asked.
    pub ended: Vec<(AttemptId, Ended)>,
}

impl Targets {
    /// `most` connections may be held together.
    pub fn new(connect_timeout: Duration, conn_idle: Duration, most: usize, now: Instant) -> Self {
        Targets {
            conns: HashMap::new(),
            by_attempt: HashMap::new(),
            idle: HashMap::new(),
            connecting: VecDeque::new(),
            connect_timeout,
            idle_limit: conn_idle.mul_f64(IDLE_PART),
            next_sweep: now,
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
        let Start { attempt, node, content, give_up_at } = start;
        let waiting = Some((content, give_up_at));
        while let Some(id) = self.idle.get_mut(&node).and_then(Vec::pop) {
            let Some(target) = self.conns.get_mut(&id) else { continue };
            // What was closed meanwhile, or says something unasked, is not used again.
            let fresh = target.endpoint == *endpoint
                && target.conn.read(LARGEST_ANSWER) == ReadEnd::Blocked
                && target.conn.input.is_empty();
            if !fresh {
                self.conns.remove(&id);
                continue;
            }
            (target.attempt, target.waiting) = (Some(attempt), waiting);
            self.by_attempt.insert(attempt, id);
            if !target.begin(now) {
                self.end(id, Outcome::Moot);
            } else if target.conn.flush().is_err() {
                self.end(id, Outcome::Reset);
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
            idle_since: now,
        };
        self.conns.insert(token.0, target);
        self.by_attempt.insert(attempt, token.0);
        self.connecting.push_back((now + self.connect_timeout, token.0));
    }

    /// Stops waiting for an attempt; it ended as said, or never ran if it was not all written.
    pub fn stop(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        if outcome == Outcome::TimedOut {
            // The node may have vanished, and then its idle connections are as silent as this one.
            let node = self.conns[&id].node;
            self.close_idle(node);
        }
        self.end(id, outcome);
    }

    /// Closes the idle connections of a node that is gone or leaves, and gives up what was not begun there:
    /// guards against a first byte that goes out long after the drain was told.
    pub fn leave(&mut self, node: NodeId) {
        self.close_idle(node);
        let unbegun = |target: &Target| {
            let unsent = !target.conn.has_begun() && target.conn.unwritten() > 0;
            target.node == node && (target.waiting.is_some() || unsent)
        };
        let ids: Vec<usize> = self.conns.iter().filter(|(_, it)| unbegun(it)).map(|(id, _)| *id).collect();
        for id in ids {
            self.end(id, Outcome::NotConnected);
        }
    }

    fn close_idle(&mut self, node: NodeId) {
        for id in self.idle.remove(&node).unwrap_or_default() {
            self.conns.remove(&id);
        }
    }

    fn close_an_idle_one(&mut self) {
        if let Some(id) = self.idle.values_mut().find_map(|idle| (!idle.is_empty()).then(|| idle.remove(0))) {
            self.conns.remove(&id);
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Instant, id: usize) {
        let Some(target) = self.conns.get_mut(&id) else { return };
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
                return self.end(id, Outcome::Moot);
            }
        }
        loop {
            let Some(target) = self.conns.get_mut(&id) else { return };
            if target.conn.flush().is_err() {
                return self.end(id, Outcome::Reset);
            }
            let read = target.conn.read(LARGEST_ANSWER);
            let mut output = Vec::new();
            let step = target.session.input(&mut target.conn.input, &mut output);
            target.conn.push(&output);
            match step {
                Ok(Step::Waiting) if read == ReadEnd::Closed => return self.end(id, Outcome::Reset),
                // A session that takes nothing off a full input never will.
                Ok(Step::Waiting) if target.conn.input.len() >= LARGEST_ANSWER => {
                    return self.end(id, Outcome::Error);
                }
                Ok(Step::Waiting) if output.is_empty() && read == ReadEnd::Blocked => return,
                Ok(Step::Waiting) => {}
                Ok(Step::Ready) => {
                    if !target.begin(now) {
                        return self.end(id, Outcome::Moot);
                    }
                }
                Ok(Step::Leaving) => return self.end(id, Outcome::Reset),
                Ok(Step::Ended(ended)) => {
                    self.answered(now, id, ended);
                    if read == ReadEnd::Closed {
                        self.forget(id);
                    }
                    return;
                }
                Err(why) => {
                    tracing::warn!("a node does not keep to its wire: {why}");
                    return self.end(id, Outcome::Error);
                }
            }
        }
    }

    /// An attempt has its answer; the connection is idle unless something is left over on it.
    fn answered(&mut self, now: Instant, id: usize, ended: Ended) {
        let Some(target) = self.conns.get_mut(&id) else { return };
        let clean = target.all_written() && target.conn.input.is_empty();
        target.idle_since = now;
        // An answer that nothing was asked for leaves no attempt to end and no connection to trust.
        let Some(attempt) = target.attempt.take() else { return self.forget(id) };
        self.by_attempt.remove(&attempt);
        self.ended.push((attempt, ended));
        if clean {
            self.idle.entry(target.node).or_default().push(id);
        } else {
            self.conns.remove(&id);
        }
    }

    /// A connection is over; its attempt never ran if its last byte was not written.
    fn end(&mut self, id: usize, outcome: Outcome) {
        let Some(target) = self.conns.get(&id) else { return };
        let never_ran = !target.all_written() && outcome != Outcome::Moot;
        let outcome = if never_ran { Outcome::NotConnected } else { outcome };
        if let Some(attempt) = target.attempt {
            self.by_attempt.remove(&attempt);
            self.ended.push((attempt, Ended::bare(outcome)));
        }
        self.forget(id);
    }

    fn forget(&mut self, id: usize) {
        if let Some(target) = self.conns.remove(&id) {
            if let Some(idle) = self.idle.get_mut(&target.node) {
                idle.retain(|other| *other != id);
            }
        }
    }

    /// When [`Targets::tick`] has something to do.
    pub fn next_timer(&self) -> Instant {
        self.connecting.front().map_or(self.next_sweep, |(at, _)| self.next_sweep.min(*at))
    }

    /// Ends what was not ready in time and closes what was idle for long.
    pub fn tick(&mut self, now: Instant) {
        while let Some((_, id)) = self.connecting.pop_front_if(|(at, _)| *at <= now) {
            // Guards against a node that accepts and then says nothing: an attempt not begun has failed.
            if self.conns.get(&id).is_some_and(|target| target.waiting.is_some()) {
                self.end(id, Outcome::NotConnected);
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

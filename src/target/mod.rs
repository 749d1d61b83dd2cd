//! Connections to storage nodes and the attempts on them. The protocol spoken on a connection is a [`Session`],
//! implemented once per protocol ([`resp`], [`iscsi`]); connection handling, timeouts and reuse are the same for all.
//!
//! A connection carries one attempt at a time: a pipelined answer would wait behind earlier answers, and cancelling
//! one attempt by closing the connection would cancel the others too.

mod connection;
mod idle;
pub mod iscsi;
pub mod resp;
mod session;

use crate::conn::{Conn, Connecting, ReadEnd};
use crate::core::{AttemptId, AttemptResult, Content};
use crate::interface::{NodeId, Outcome};
use crate::memory::{Budget, Purpose};
use connection::Connection;
use mio::{Registry, Token};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use session::{Session, Step};

/// Upper bound of a buffered answer; no valid short answer reaches it.
const MAX_ANSWER_BYTES: usize = 80 * 1024;
/// A partial answer that makes no progress for this long is treated as malformed: its lengths do not add up.
const ANSWER_STALL_TIMEOUT: Duration = Duration::from_millis(150);
/// The same for long answers and long request bodies: a node or client may need seconds between two pieces.
const TRANSFER_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How often long transfers are checked for a stall.
const TRANSFER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the nodes' own idle timeout after which an idle connection is closed from this side: a request written
/// to a connection that the node has just closed would end as a reset.
const IDLE_LIMIT_FRACTION: f64 = 0.5;

/// Address and protocol of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub wire: Wire,
}

/// Protocol that a node speaks.
#[derive(Clone, Debug, PartialEq)]
pub enum Wire {
    Resp,
    /// iSCSI, with the name of the target to log in to.
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

/// Progress of a long value.
pub enum TransferEvent {
    /// An answer of this many bytes starts.
    AnswerStarted(usize),
    /// The next bytes of the answer.
    AnswerData(Vec<u8>),
    /// More of a request body was written.
    BodyProgress,
    /// A body or an answer could not be transferred in one step.
    Slow,
}

/// An attempt to be started.
pub struct Start {
    pub attempt: AttemptId,
    pub node: NodeId,
    pub content: Rc<Content>,
    pub give_up_at: Instant,
    /// The last byte has to be sent by this time; otherwise the attempt is abandoned.
    pub begin_by: Instant,
}

/// All connections to nodes.
pub struct Targets {
    conns: FxHashMap<usize, Connection>,
    by_attempt: FxHashMap<AttemptId, usize>,
    /// Connections by node.
    by_node: FxHashMap<NodeId, FxHashSet<usize>>,
    /// Idle connections by node, most recently used last; no list is empty.
    idle: FxHashMap<NodeId, Vec<usize>>,
    /// All idle connections, least recently used first.
    idle_order: BTreeSet<(Instant, usize)>,
    /// Attempts that are not fully sent, by the end of their connect timeout or start deadline.
    unsent: BTreeSet<(Instant, usize)>,
    /// Connections with an incomplete answer, by the time at which it counts as stalled.
    partial_answers: VecDeque<(Instant, usize)>,
    connect_timeout: Duration,
    idle_limit: Duration,
    next_sweep: Instant,
    next_transfer_check: Instant,
    max_connections: usize,
    budget: Budget,
    /// Progress of long values since it was last taken.
    pub transfer_events: VecDeque<(AttemptId, TransferEvent)>,
    /// Attempts with long values, to be checked for a stall.
    long_attempts: Vec<AttemptId>,
    /// Number of answers that could not be read.
    pub unreadable: u64,
    /// Attempts that ended since they were last taken.
    pub ended: Vec<(AttemptId, AttemptResult)>,
}

impl Targets {
    /// At most `max_connections` are open at a time.
    pub fn new(
        connect_timeout: Duration,
        conn_idle: Duration,
        max_connections: usize,
        budget: Budget,
        now: Instant,
    ) -> Self {
        Targets {
            conns: FxHashMap::default(),
            by_attempt: FxHashMap::default(),
            by_node: FxHashMap::default(),
            idle: FxHashMap::default(),
            idle_order: BTreeSet::new(),
            unsent: BTreeSet::new(),
            partial_answers: VecDeque::new(),
            transfer_events: VecDeque::new(),
            long_attempts: Vec::new(),
            unreadable: 0,
            connect_timeout,
            idle_limit: conn_idle.mul_f64(IDLE_LIMIT_FRACTION),
            next_sweep: now,
            next_transfer_check: now,
            max_connections,
            budget,
            ended: Vec::new(),
        }
    }

    /// Starts an attempt, on an idle connection if there is one.
    pub fn start(
        &mut self,
        now: Instant,
        start: Start,
        endpoint: &Endpoint,
        token: Token,
        registry: &Registry,
    ) {
        let Start { attempt, node, content, give_up_at, begin_by } = start;
        if content.body_stream.is_some() {
            self.long_attempts.push(attempt);
        }
        let pending = Some((content, give_up_at));
        while let Some(id) = self.take_idle(now, node) {
            let Some(connection) = self.conns.get_mut(&id) else { continue };
            // A connection that was closed in the meantime, or has received unsolicited data, is not reused.
            let reusable = connection.endpoint == *endpoint
                && connection.conn.read(MAX_ANSWER_BYTES) == ReadEnd::Blocked
                && connection.conn.input.is_empty();
            if !reusable {
                self.close(id);
                continue;
            }
            (connection.attempt, connection.pending, connection.begin_by) =
                (Some(attempt), pending, begin_by);
            self.by_attempt.insert(attempt, id);
            if !connection.start_pending(now) {
                self.end(id, Outcome::NotSent);
            } else if connection.conn.flush().is_err() {
                self.end(id, Outcome::Reset);
            } else {
                if !connection.all_written() {
                    self.unsent.insert((begin_by, id));
                }
                connection.count_memory();
                self.continue_body(now, attempt);
            }
            return;
        }
        if self.conns.len() >= self.max_connections {
            self.close_least_recently_used();
        }
        let opened = (self.conns.len() < self.max_connections)
            .then(|| Conn::connect(endpoint.address, token, registry));
        let Some(Ok(conn)) = opened else {
            return self.ended.push((attempt, AttemptResult::without_reply(Outcome::NotConnected)));
        };
        let connection = Connection {
            conn,
            session: endpoint.wire.session(token.0),
            node,
            endpoint: endpoint.clone(),
            connected: false,
            attempt: Some(attempt),
            pending,
            begin_by,
            idle_since: now,
            partial_since: None,
            body: None,
            last_progress: now,
            started: now,
            send_time: None,
            answer_started: None,
            reported_slow: false,
            credit: None,
            memory: self.budget.hold(Purpose::Request, 0),
        };
        self.conns.insert(token.0, connection);
        self.by_node.entry(node).or_default().insert(token.0);
        self.by_attempt.insert(attempt, token.0);
        self.unsent.insert((begin_by.min(now + self.connect_timeout), token.0));
    }

    /// Sizes of the collections kept here, by metric name.
    pub fn sizes(&self) -> [(&'static str, usize); 3] {
        [
            ("node_connections", self.conns.len()),
            ("attempts_out", self.by_attempt.len()),
            ("idle_lists", self.idle.len()),
        ]
    }

    /// Stops waiting for an attempt. Its outcome is `outcome`, or "not connected" if its last byte was not sent.
    pub fn stop(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        if outcome == Outcome::TimedOut {
            // The node may have crashed; then its idle connections are dead too. Idle connections that the node
            // answered on since the attempt started prove that only this connection is at fault, and are kept.
            let (node, attempt_started) = (self.conns[&id].node, self.conns[&id].started);
            let conns = &self.conns;
            let silent = |id: &usize| conns.get(id).is_none_or(|other| other.idle_since < attempt_started);
            let idle = self.idle.get(&node).into_iter().flatten().copied().filter(silent);
            for id in idle.collect::<Vec<_>>() {
                self.close(id);
            }
        }
        self.end(id, outcome);
    }

    /// Cancels an attempt that is not fully sent: its client no longer waits for it.
    pub fn cancel_unsent(&mut self, attempt: AttemptId) {
        if let Some(id) = self.by_attempt.get(&attempt).copied() {
            if self.conns.get(&id).is_some_and(|connection| !connection.all_written()) {
                self.end(id, Outcome::Cancelled);
            }
        }
    }

    /// From `closes` on, no attempt may start at the node on a connection that has sent nothing yet. Guards a drain
    /// against connections that were being established when it was announced and come up late.
    pub fn forbid_start_after(&mut self, node: NodeId, closes: Instant) {
        for id in self.by_node.get(&node).into_iter().flatten() {
            let connection = self.conns.get_mut(id);
            if let Some(connection) =
                connection.filter(|connection| connection.is_unsent() && connection.begin_by > closes)
            {
                connection.begin_by = closes;
                self.unsent.insert((closes, *id));
            }
        }
    }

    /// Closes the idle connections of a node that was removed, and cancels the attempts that have sent nothing there:
    /// guards against a first byte that is sent long after the removal was announced.
    pub fn remove_node(&mut self, node: NodeId) {
        self.close_idle(node);
        let on_node = self.by_node.get(&node).into_iter().flatten().copied();
        for id in on_node.filter(|id| self.conns[id].is_unsent()).collect::<Vec<_>>() {
            self.end(id, Outcome::NotConnected);
        }
    }

    /// Sets how many connections may be open at a time.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Whether ended attempts or progress of long values wait to be taken.
    pub fn has_results(&self) -> bool {
        !self.ended.is_empty() || !self.transfer_events.is_empty()
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether an attempt has not ended.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        self.by_attempt.contains_key(&attempt)
    }

    /// Handles readiness of a connection.
    pub fn ready(&mut self, now: Instant, id: usize) {
        self.advance(now, id);
        self.conns.get_mut(&id).into_iter().for_each(Connection::count_memory);
    }

    /// Writes and reads as much as the connection permits.
    fn advance(&mut self, now: Instant, id: usize) {
        let Some(connection) = self.conns.get_mut(&id) else { return };
        if connection.attempt.is_some() && connection.begin_by <= now && !connection.all_written() {
            // The connection came up late, the node reads slowly, or this process was suspended.
            return self.end(id, Outcome::NotConnected);
        }
        if !connection.connected {
            match connection.conn.connecting() {
                Connecting::Pending => return,
                Connecting::Failed => return self.end(id, Outcome::NotConnected),
                Connecting::Up => connection.connected = true,
            }
            let mut output = Vec::new();
            let ready = connection.session.open(&mut output);
            connection.conn.push(&output);
            if ready && !connection.start_pending(now) {
                return self.end(id, Outcome::NotSent);
            }
        }
        loop {
            let Some(connection) = self.conns.get_mut(&id) else { return };
            if connection.body.is_some() {
                match connection.write_body(now) {
                    Ok(moved) => self.transfer_events.extend(
                        connection
                            .attempt
                            .filter(|_| moved)
                            .map(|attempt| (attempt, TransferEvent::BodyProgress)),
                    ),
                    Err(_) => return self.end(id, Outcome::Reset),
                }
                if connection.send_time.is_none() && !std::mem::replace(&mut connection.reported_slow, true) {
                    self.transfer_events
                        .extend(connection.attempt.map(|attempt| (attempt, TransferEvent::Slow)));
                }
            }
            if connection.conn.flush().is_err() {
                return self.end(id, Outcome::Reset);
            }
            if connection.credit == Some(0) {
                // Guards the memory against a client that reads more slowly than its node sends.
                return;
            }
            let more = connection.credit.map_or(MAX_ANSWER_BYTES, |credit| {
                connection.conn.input.len() + credit.min(MAX_ANSWER_BYTES)
            });
            let read = connection.conn.read(more);
            let mut output = Vec::new();
            let step = connection.session.input(&mut connection.conn.input, &mut output);
            connection.conn.free_empty_input();
            connection.conn.push(&output);
            match step {
                Ok(Step::Incomplete) if read.is_over() => return self.end(id, Outcome::Reset),
                // A session that consumes nothing of a full input buffer never will.
                Ok(Step::Incomplete) if connection.conn.input.len() >= MAX_ANSWER_BYTES => {
                    return self.fail_unreadable(id)
                }
                Ok(Step::LongAnswer(length)) => {
                    let Some(attempt) = connection.attempt else { return self.close(id) };
                    // An answer that starts before its command is fully sent cannot belong to it.
                    if !connection.all_written() {
                        return self.fail_unreadable(id);
                    }
                    connection.answer_started.get_or_insert(now);
                    (connection.credit, connection.last_progress, connection.partial_since) =
                        (Some(0), now, None);
                    self.transfer_events.push_back((attempt, TransferEvent::AnswerStarted(length)));
                    self.long_attempts.push(attempt);
                }
                Ok(Step::Data(piece)) => {
                    let Some(attempt) = connection.attempt else { return self.close(id) };
                    connection.credit = connection.credit.map(|credit| credit.saturating_sub(piece.len()));
                    connection.last_progress = now;
                    self.transfer_events.push_back((attempt, TransferEvent::AnswerData(piece)));
                }
                // Stalls of a long answer are detected by the transfer check.
                Ok(Step::Incomplete) if connection.credit.is_some() && read == ReadEnd::Blocked => return,
                Ok(Step::Incomplete) if output.is_empty() && read == ReadEnd::Blocked => {
                    let partial_at = (!connection.conn.input.is_empty()).then_some(now);
                    if std::mem::replace(&mut connection.partial_since, partial_at).is_none()
                        && partial_at.is_some()
                    {
                        self.partial_answers.push_back((now + ANSWER_STALL_TIMEOUT, id));
                    }
                    connection.answer_started = connection.answer_started.or(partial_at);
                    if partial_at.is_some() && !std::mem::replace(&mut connection.reported_slow, true) {
                        self.transfer_events
                            .extend(connection.attempt.map(|attempt| (attempt, TransferEvent::Slow)));
                    }
                    return;
                }
                Ok(Step::Incomplete) => {}
                Ok(Step::Ready) => {
                    if !connection.start_pending(now) {
                        return self.end(id, Outcome::NotSent);
                    }
                }
                Ok(Step::Closing) => return self.end(id, Outcome::Reset),
                // A node can't serve a write of which it has not got all.
                Ok(Step::Ended(ended)) if ended.outcome == Outcome::Served && connection.body.is_some() => {
                    return self.fail_unreadable(id)
                }
                Ok(Step::Ended(ended)) => {
                    self.finish_answer(now, id, ended);
                    if read.is_over() {
                        self.close(id);
                    }
                    return;
                }
                Err(why) => {
                    tracing::warn!("a node violates its protocol: {why}");
                    return self.fail_unreadable(id);
                }
            }
        }
    }

    /// Ends an attempt whose answer cannot be read. It may have run, and the connection cannot be used again.
    fn fail_unreadable(&mut self, id: usize) {
        self.unreadable +=
            u64::from(self.conns.get(&id).is_some_and(|connection| connection.attempt.is_some()));
        self.end(id, Outcome::Error);
    }

    /// Continues sending a long body after more of it has arrived.
    pub fn continue_body(&mut self, now: Instant, attempt: AttemptId) {
        if let Some(id) = self.by_attempt.get(&attempt).copied() {
            if self.conns.get(&id).is_some_and(|connection| connection.connected && connection.body.is_some())
            {
                self.ready(now, id);
            }
        }
    }

    /// Attempts whose long answers are paused because their clients have to read first.
    pub fn blocked_on_client(&self) -> Vec<AttemptId> {
        let credit =
            |attempt: &&AttemptId| self.by_attempt.get(*attempt).and_then(|id| self.conns[id].credit);
        self.long_attempts.iter().filter(|attempt| credit(attempt) == Some(0)).copied().collect()
    }

    /// Allows this many more bytes of a long answer to be read.
    pub fn grant_credit(&mut self, now: Instant, attempt: AttemptId, bytes: usize) {
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        let Some(connection) = self.conns.get_mut(&id) else { return };
        let waited = connection.credit == Some(0);
        connection.credit = Some(bytes);
        if waited && bytes > 0 {
            // The pause was the client's, so it does not count as a stall of the node.
            connection.last_progress = now;
            self.ready(now, id);
        }
    }

    /// Ends an attempt that has its answer. The connection becomes idle, unless unread or unsent bytes remain on it.
    fn finish_answer(&mut self, now: Instant, id: usize, ended: AttemptResult) {
        let Some(connection) = self.conns.get_mut(&id) else { return };
        let clean = connection.all_written() && connection.conn.input.is_empty();
        (connection.idle_since, connection.partial_since, connection.credit, connection.body) =
            (now, None, None, None);
        let answering = connection.answer_started.take().map_or(Duration::ZERO, |since| now - since);
        let ended =
            AttemptResult { transfer: connection.send_time.take().unwrap_or_default() + answering, ..ended };
        // An unsolicited answer ends no attempt, and its connection cannot be trusted.
        let Some(attempt) = connection.attempt.take() else { return self.close(id) };
        self.by_attempt.remove(&attempt);
        self.ended.push((attempt, ended));
        if clean {
            self.idle.entry(connection.node).or_default().push(id);
            self.idle_order.insert((now, id));
        } else {
            self.close(id);
        }
    }

    /// Closes a connection. Its attempt never ran if its last byte was not sent.
    fn end(&mut self, id: usize, outcome: Outcome) {
        let Some(connection) = self.conns.get(&id) else { return };
        let never_ran = !connection.all_written() && outcome != Outcome::NotSent;
        let outcome = if never_ran { Outcome::NotConnected } else { outcome };
        if let Some(attempt) = connection.attempt {
            self.by_attempt.remove(&attempt);
            self.ended.push((attempt, AttemptResult::without_reply(outcome)));
        }
        self.close(id);
    }

    fn close(&mut self, id: usize) {
        let Some(node) = self.conns.get(&id).map(|connection| connection.node) else { return };
        self.remove_idle(node, id);
        self.conns.remove(&id);
        if let Some(on_node) = self.by_node.get_mut(&node) {
            on_node.remove(&id);
            if on_node.is_empty() {
                self.by_node.remove(&node);
            }
        }
    }

    /// When [`Targets::tick`] is due next.
    pub fn next_timer(&self) -> Instant {
        let deadlines = [self.unsent.first(), self.partial_answers.front()];
        let first = if self.long_attempts.is_empty() {
            self.next_sweep
        } else {
            self.next_sweep.min(self.next_transfer_check)
        };
        deadlines.into_iter().flatten().fold(first, |next, (at, _)| next.min(*at))
    }

    /// Ends attempts that are past their deadlines and closes connections that were idle for too long.
    pub fn tick(&mut self, now: Instant) {
        while self.unsent.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.unsent.pop_first() else { break };
            let Some(connection) = self.conns.get(&id) else { continue };
            // Guards against a node that accepts and then stays silent, and against a command that is only partly
            // sent: an attempt that is not fully sent has failed.
            if connection.pending.is_some() || (!connection.all_written() && connection.begin_by <= now) {
                self.end(id, Outcome::NotConnected);
            } else if !connection.all_written() {
                self.unsent.insert((connection.begin_by, id));
            }
        }
        while let Some((_, id)) = self.partial_answers.pop_front_if(|(at, _)| *at <= now) {
            let Some(connection) = self.conns.get_mut(&id) else { continue };
            match connection.partial_since.map(|since| since + ANSWER_STALL_TIMEOUT) {
                Some(end) if end <= now => {
                    tracing::warn!("a node stalled in the middle of an answer");
                    self.fail_unreadable(id);
                }
                Some(end) => self.partial_answers.push_back((end, id)),
                None => {}
            }
        }
        if self.next_transfer_check <= now {
            self.next_transfer_check = now + TRANSFER_CHECK_INTERVAL;
            let (conns, by_attempt) = (&self.conns, &self.by_attempt);
            self.long_attempts.retain(|attempt| by_attempt.contains_key(attempt));
            // A node that waits for its client, or for the rest of a body, has not stalled.
            let stalled = |connection: &Connection| {
                let waits = match &connection.body {
                    Some((flow, at)) => connection.conn.unwritten() == 0 && flow.received() == *at,
                    None => {
                        connection.credit.is_none_or(|credit| credit == 0) && connection.conn.unwritten() == 0
                    }
                };
                !waits && now - connection.last_progress > TRANSFER_STALL_TIMEOUT
            };
            let ids = self.long_attempts.iter().filter_map(|attempt| by_attempt.get(attempt)).copied();
            let ids: Vec<usize> = ids.filter(|id| conns.get(id).is_some_and(stalled)).collect();
            for id in ids {
                tracing::warn!("a node stalled in the middle of a long value");
                self.fail_unreadable(id);
            }
        }
        if self.next_sweep <= now {
            self.next_sweep = now + self.idle_limit / 4;
            let expired = |connection: &Connection| {
                connection.attempt.is_none() && now - connection.idle_since > self.idle_limit
            };
            let ids: Vec<usize> =
                self.conns.iter().filter(|(_, connection)| expired(connection)).map(|(id, _)| *id).collect();
            ids.into_iter().for_each(|id| self.close(id));
        }
    }
}

#[cfg(test)]
mod tests;

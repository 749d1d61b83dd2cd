//! Lingering close: connections that were closed from this side and wait for the client to close as well.
//!
//! Nothing more is written, and what still arrives is read and discarded: closing a socket with unread input
//! would reset the connection, and the client could lose the answer that was written before. Time, bytes and
//! number of connections are bounded.

use crate::conn::{Conn, ReadEnd};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long the client may take to close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are read and discarded, in total and in one iteration; bounds clients that never stop sending.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
const MAX_BYTES_PER_ITERATION: usize = 256 * 1024;
const READ_CHUNK_BYTES: usize = 64 * 1024;

struct LingeringConn {
    conn: Conn,
    discarded: usize,
}

#[derive(Default)]
pub(super) struct LingeringConns {
    conns: FxHashMap<usize, LingeringConn>,
    /// Connections in the order of their close, with the time at which they are dropped at the latest. Entries
    /// may have been dropped already.
    deadlines: VecDeque<(Instant, usize)>,
    /// Connections that may have input.
    readable: VecDeque<usize>,
}

impl LingeringConns {
    /// Shuts down the sending side of a connection whose output is all written. If there are `max` connections
    /// already, the oldest is dropped.
    pub fn add(&mut self, now: Instant, id: usize, conn: Conn, max: usize) {
        if conn.shutdown_write().is_err() {
            // The client is already gone.
            return;
        }
        while self.conns.len() >= max.max(1) {
            let Some((_, first)) = self.deadlines.pop_front() else { break };
            self.conns.remove(&first);
        }
        self.conns.insert(id, LingeringConn { conn, discarded: 0 });
        self.deadlines.push_back((now + LINGER_TIMEOUT, id));
        // Input that has already arrived causes no further event.
        self.readable.push_back(id);
    }

    /// Handles an event on a connection, which may not be one of these.
    pub fn on_event(&mut self, id: usize) {
        if self.conns.contains_key(&id) {
            self.readable.push_back(id);
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// When [`LingeringConns::run_iteration`] has work to do.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        if !self.readable.is_empty() {
            return Some(now);
        }
        self.deadlines.front().map(|(at, _)| *at)
    }

    /// Discards input, and drops connections that the client has closed, that are over their limits or timed
    /// out.
    pub fn run_iteration(&mut self, now: Instant) {
        for _ in 0..self.readable.len() {
            let Some(id) = self.readable.pop_front() else { break };
            let Some(lingering) = self.conns.get_mut(&id) else { continue };
            let (mut remaining, mut end) = (MAX_BYTES_PER_ITERATION, ReadEnd::Paused);
            while remaining > 0 && end == ReadEnd::Paused {
                end = lingering.conn.read(READ_CHUNK_BYTES);
                let count = lingering.conn.input.len();
                lingering.conn.consume(count);
                (lingering.discarded, remaining) =
                    (lingering.discarded + count, remaining.saturating_sub(count.max(1)));
            }
            if end.is_over() || lingering.discarded > MAX_DISCARDED_BYTES {
                self.conns.remove(&id);
            } else if end == ReadEnd::Paused {
                self.readable.push_back(id);
            }
        }
        while self.deadlines.front().is_some_and(|(at, id)| *at <= now || !self.conns.contains_key(id)) {
            self.deadlines.pop_front().map(|(_, id)| self.conns.remove(&id));
        }
    }
}

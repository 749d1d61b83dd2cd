//! Lingering close: connections that were closed from this side and wait for the client to close as well.
//!
//! Nothing more is written, and what still arrives is read and discarded: closing a socket with unread input
//! would reset the connection, and the client could lose the answer that was written before. Time, bytes and
//! number of connections are bounded. A client that is still reading its answer is given time as long as it goes on.

use super::reading::ReadProgress;
use crate::conn::{Conn, ReadEnd};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long the client may take to close once it has received everything, and the interval at which one that has not is
/// checked.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that are looked at for one that may be dropped, if there are too many.
const MAX_INSPECTED: usize = 8;
/// Bytes that are read and discarded, in total and in one iteration; bounds clients that never stop sending.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
const MAX_BYTES_PER_ITERATION: usize = 256 * 1024;
const READ_CHUNK_BYTES: usize = 64 * 1024;

struct LingeringConn {
    conn: Conn,
    discarded: usize,
    reading: ReadProgress,
}

#[derive(Default)]
pub(super) struct LingeringConns {
    conns: FxHashMap<usize, LingeringConn>,
    /// Connections in the order in which they are due, with the time at which they are dropped unless their client is
    /// still reading. Entries may have been dropped already.
    deadlines: VecDeque<(Instant, usize)>,
    /// Connections that may have input.
    readable: VecDeque<usize>,
}

impl LingeringConns {
    /// Shuts down the sending side of a connection whose output is all written. If there are `max` connections
    /// already, the oldest is dropped, if possible one whose client has received everything.
    pub fn add(&mut self, now: Instant, id: usize, conn: Conn, max: usize) {
        if conn.shutdown_write().is_err() {
            // The client is already gone.
            return;
        }
        while self.conns.len() >= max.max(1) {
            let Some(at) = self.least_needed() else { break };
            self.deadlines.remove(at).map(|(_, dropped)| self.conns.remove(&dropped));
        }
        self.conns.insert(id, LingeringConn { conn, discarded: 0, reading: ReadProgress::new(now) });
        self.deadlines.push_back((now + LINGER_TIMEOUT, id));
        // Input that has already arrived causes no further event.
        self.readable.push_back(id);
    }

    /// Position among the deadlines of the connection that is dropped first.
    fn least_needed(&self) -> Option<usize> {
        let is_read = |id| self.conns.get(id).is_none_or(|lingering| lingering.conn.undelivered() == 0);
        let oldest = self.deadlines.iter().take(MAX_INSPECTED);
        oldest.map(|(_, id)| id).position(is_read).or_else(|| (!self.deadlines.is_empty()).then_some(0))
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
        while let Some((_, id)) =
            self.deadlines.pop_front_if(|(at, id)| *at <= now || !self.conns.contains_key(id))
        {
            let Some(lingering) = self.conns.get_mut(&id) else { continue };
            if lingering.reading.is_in_progress(now, &lingering.conn) {
                self.deadlines.push_back((now + LINGER_TIMEOUT, id));
            } else {
                self.conns.remove(&id);
            }
        }
    }
}

#[cfg(test)]
mod tests;

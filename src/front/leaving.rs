//! Connections that are ended from this side. Nothing more is written, and what still comes is read and let go of until
//! the far side ends as well: a close over bytes that were not read would reset the connection, and the answer before
//! them would be lost with it. How long that may take, how much is read and how many there are is bounded.

use crate::conn::{Conn, ReadEnd};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long the far side may take to end.
const PATIENCE: Duration = Duration::from_secs(1);
/// How much is read and let go of, in all and in one turn. Guards against whoever sends on and on.
const MOST_BYTES: usize = 4 * 1024 * 1024;
const TURN_BYTES: usize = 256 * 1024;
const READ_BYTES: usize = 64 * 1024;

struct One {
    conn: Conn,
    bytes: usize,
}

#[derive(Default)]
pub(super) struct Leaving {
    conns: FxHashMap<usize, One>,
    /// In the order they were ended, and when they are closed at the latest. Some are closed by now.
    order: VecDeque<(Instant, usize)>,
    /// Those of which more may have come.
    unread: VecDeque<usize>,
}

impl Leaving {
    /// Ends a connection of which all is written. Where there are too many, the one that was ended first is closed.
    pub fn add(&mut self, now: Instant, id: usize, conn: Conn, most: usize) {
        if conn.shutdown_write().is_err() {
            // The far side has gone.
            return;
        }
        while self.conns.len() >= most.max(1) {
            let Some((_, first)) = self.order.pop_front() else { break };
            self.conns.remove(&first);
        }
        self.conns.insert(id, One { conn, bytes: 0 });
        self.order.push_back((now + PATIENCE, id));
        // What has come by now is told of no more.
        self.unread.push_back(id);
    }

    /// Something happened on a connection; it may be none of these.
    pub fn ready(&mut self, id: usize) {
        if self.conns.contains_key(&id) {
            self.unread.push_back(id);
        }
    }

    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// When [`Leaving::turn`] has something to do.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        if !self.unread.is_empty() {
            return Some(now);
        }
        self.order.front().map(|(at, _)| *at)
    }

    /// Reads on, and closes whoever has ended or takes too long.
    pub fn turn(&mut self, now: Instant) {
        for _ in 0..self.unread.len() {
            let Some(id) = self.unread.pop_front() else { break };
            let Some(one) = self.conns.get_mut(&id) else { continue };
            let (mut left, mut end) = (TURN_BYTES, ReadEnd::Paused);
            while left > 0 && end == ReadEnd::Paused {
                end = one.conn.read(READ_BYTES);
                let count = one.conn.input.len();
                one.conn.consume(count);
                (one.bytes, left) = (one.bytes + count, left.saturating_sub(count.max(1)));
            }
            if end.is_over() || one.bytes > MOST_BYTES {
                self.conns.remove(&id);
            } else if end == ReadEnd::Paused {
                self.unread.push_back(id);
            }
        }
        while self.order.front().is_some_and(|(at, id)| *at <= now || !self.conns.contains_key(id)) {
            self.order.pop_front().map(|(_, id)| self.conns.remove(&id));
        }
    }
}

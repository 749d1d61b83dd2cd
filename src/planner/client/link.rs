//! One connection to a planner, made again after a pause whenever it ends.

use super::super::frame::{self, ToPlanner, SCHEMA};
use crate::backoff::Backoff;
use crate::conn::Conn;
use crate::shares::deal;
use mio::Token;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A connection that is not up by then, or says nothing for as long, is given up.
pub(super) const SILENCE: Duration = Duration::from_millis(1000);
/// The first and the longest pause before the next try.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1600));
/// Bytes that wait for a planner that does not read; reports beyond are left out, and the next says it all.
const MOST_UNREAD: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    Down { retry: Instant },
    Connecting { until: Instant },
    Up { heard: Instant },
}

pub(super) struct Link {
    pub address: SocketAddr,
    pub token: Token,
    pub conn: Option<Conn>,
    pub state: State,
    /// Partitions that it says it leads.
    pub leads: Vec<u16>,
    pub backoff: Backoff,
}

impl Link {
    /// Connects at once.
    pub fn new(address: SocketAddr, token: Token, seed: u64, now: Instant) -> Self {
        Link {
            address,
            token,
            conn: None,
            state: State::Down { retry: now },
            leads: Vec::new(),
            // Each draws pauses of its own.
            backoff: Backoff::new(PAUSES.0, PAUSES.1, seed ^ deal::hash(&address.to_string())),
        }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    /// When something is due.
    pub fn next_timer(&self) -> Instant {
        match self.state {
            State::Down { retry } => retry,
            State::Connecting { until } => until,
            State::Up { heard } => heard + SILENCE,
        }
    }

    /// The connection is made: greets the planner.
    pub fn greet(&mut self, now: Instant, initiator: &str) {
        self.state = State::Up { heard: now };
        self.queue(&ToPlanner::Hello { schema: SCHEMA, forwarder: initiator.to_string() });
    }

    /// Adds a message to what is written next.
    pub fn queue(&mut self, message: &ToPlanner) {
        let Some(conn) = &mut self.conn else { return };
        let mut output = Vec::new();
        frame::encode(message, &mut output);
        conn.push(&output);
    }

    /// Sends a message that must not be left out while the connection lasts.
    pub fn send(&mut self, message: &ToPlanner) {
        self.queue(message);
        if let Some(conn) = &mut self.conn {
            // A broken connection shows at the next read as well.
            let _ = conn.flush();
        }
    }

    /// Sends a message that the next of its kind makes up for, unless the planner does not read.
    pub fn send_if_read(&mut self, message: &ToPlanner) {
        if self.conn.as_ref().is_some_and(|conn| conn.unwritten() < MOST_UNREAD) {
            self.send(message);
        }
    }

    /// The connection has ended.
    pub fn lose(&mut self, now: Instant, why: &str) {
        if self.is_up() {
            tracing::warn!(planner = %self.address, "planner lost: {why}");
        }
        // Guards a planner that comes back from a thousand forwarders at once.
        let pause = self.backoff.pause();
        self.conn = None;
        self.leads.clear();
        self.state = State::Down { retry: now + pause };
    }
}

//! One connection to a planner, reopened after a pause whenever it ends.

use super::super::frame::{self, ToPlanner, SCHEMA};
use crate::backoff::Backoff;
use crate::conn::Conn;
use crate::shares::deal;
use mio::Token;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout for connecting, and for the next message on an established connection.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The first and the longest pause before the next attempt to connect.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1600));
/// Bytes that may be queued for a planner that does not read; further reports are skipped, since the next one has the
/// full state.
const MAX_UNSENT_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum State {
    Down { retry: Instant },
    Connecting { deadline: Instant },
    Up { last_received: Instant },
}

pub(super) struct Link {
    pub address: SocketAddr,
    pub token: Token,
    pub conn: Option<Conn>,
    pub state: State,
    /// Partitions that the planner says it leads.
    pub leads: Vec<u16>,
    pub backoff: Backoff,
}

impl Link {
    /// A link that is due to connect at once.
    pub fn new(address: SocketAddr, token: Token, seed: u64, now: Instant) -> Self {
        Link {
            address,
            token,
            conn: None,
            state: State::Down { retry: now },
            leads: Vec::new(),
            // Each link has its own sequence of random pauses.
            backoff: Backoff::new(RETRY_PAUSES.0, RETRY_PAUSES.1, seed ^ deal::hash(&address.to_string())),
        }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    /// When the next retry or timeout is due.
    pub fn next_timer(&self) -> Instant {
        match self.state {
            State::Down { retry } => retry,
            State::Connecting { deadline } => deadline,
            State::Up { last_received } => last_received + SILENCE_TIMEOUT,
        }
    }

    /// Marks the connection as established and queues the greeting.
    pub fn send_hello(&mut self, now: Instant, initiator: &str) {
        self.state = State::Up { last_received: now };
        self.queue(&ToPlanner::Hello { schema: SCHEMA, forwarder: initiator.to_string() });
    }

    /// Queues a message.
    pub fn queue(&mut self, message: &ToPlanner) {
        let Some(conn) = &mut self.conn else { return };
        let mut output = Vec::new();
        frame::encode(message, &mut output);
        conn.push(&output);
    }

    /// Sends a message that must not be skipped while the connection lasts.
    pub fn send(&mut self, message: &ToPlanner) {
        self.queue(message);
        if let Some(conn) = &mut self.conn {
            // A broken connection is also detected by the next read.
            let _ = conn.flush();
        }
    }

    /// Sends a message unless too many bytes are queued; the next one of its kind makes up for it.
    pub fn send_if_accepted(&mut self, message: &ToPlanner) {
        if self.conn.as_ref().is_some_and(|conn| conn.unwritten() < MAX_UNSENT_BYTES) {
            self.send(message);
        }
    }

    /// Drops the connection and schedules the next attempt.
    pub fn disconnect(&mut self, now: Instant, why: &str) {
        if self.is_up() {
            tracing::warn!(planner = %self.address, "disconnected from planner: {why}");
        }
        // Random pauses, so that a planner that restarts does not get a thousand connections at once.
        let pause = self.backoff.pause();
        self.conn = None;
        self.leads.clear();
        self.state = State::Down { retry: now + pause };
    }
}

//! A connection that somebody has made to a planner: a newcomer until it has said what it is.

use super::frame::{self, ToPlanner, LENGTH_BYTES, MAX_MESSAGE_BYTES};
use crate::conn::{Conn, ReadEnd};
use crate::revisions::agreement::{self, VoterId};
use serde::Serialize;
use std::time::{Duration, Instant};

/// A connection without a complete message for this time is closed.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that may be queued for a client that does not read. Beyond that, plans are skipped until it has read, since
/// the next plan makes up for them; a message that must not be skipped ends the connection instead.
pub(super) const MAX_UNSENT_BYTES: usize = 256 * 1024;
/// The longest first message: a greeting, or an operator's command with a document.
const MAX_GREETING_BYTES: usize = 256 * 1024;
/// The longest message of another planner: one of the agreement and its framing.
const MAX_PEER_MESSAGE_BYTES: usize = agreement::MAX_MESSAGE_BYTES + 64;

/// What kind of client a connection belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Role {
    /// No first message has been received yet.
    Unidentified,
    /// An initiator, with its name.
    Initiator(String),
    /// Another planner.
    Peer(VoterId),
    /// An operator's command that waits for its answer.
    Operator,
    /// The final message is queued; the client is expected to close.
    Answered,
}

/// One connection.
pub(super) struct Connection {
    conn: Conn,
    /// What kind of client it is.
    pub role: Role,
    /// When the last message was received.
    pub last_received: Instant,
}

impl Connection {
    /// Wraps a new connection of an unidentified client.
    pub fn new(conn: Conn, now: Instant) -> Self {
        Connection { conn, role: Role::Unidentified, last_received: now }
    }

    /// Reads what is available, up to the longest message that this client may send.
    pub fn read(&mut self) -> ReadEnd {
        self.conn.read(self.max_message_bytes() + LENGTH_BYTES)
    }

    /// The next message, once it is complete. Fails if it is malformed or too long.
    pub fn next_message(&mut self) -> Result<Option<ToPlanner>, String> {
        if matches!(self.role, Role::Operator | Role::Answered) {
            // Closing with unread input would reset the connection, and the client could lose the answer.
            self.conn.consume(self.conn.input.len());
            return Ok(None);
        }
        let max_message_bytes = self.max_message_bytes();
        let message = frame::decode_bounded(&mut self.conn.input, max_message_bytes);
        self.conn.free_empty_input();
        message
    }

    /// Whether the queue of unsent bytes is below its limit.
    pub fn accepts_output(&self) -> bool {
        self.conn.unwritten() < MAX_UNSENT_BYTES
    }

    /// Queues a message.
    pub fn send(&mut self, message: &impl Serialize) {
        let mut output = Vec::new();
        frame::encode(message, &mut output);
        self.conn.push(&output);
    }

    /// Queues the final message; the client is expected to close after reading it.
    pub fn send_final(&mut self, now: Instant, message: &impl Serialize) {
        self.send(message);
        self.role = Role::Answered;
        self.last_received = now;
    }

    /// Writes as much as the socket takes. Fails if the connection is broken.
    pub fn flush(&mut self) -> std::io::Result<()> {
        self.conn.flush()?;
        if self.role == Role::Answered && self.conn.unwritten() == 0 {
            self.conn.shutdown_write()?;
        }
        Ok(())
    }

    /// Whether nothing was received for too long. An operator's command waits for the planner, so it is never silent.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.role != Role::Operator && now.saturating_duration_since(self.last_received) > SILENCE_TIMEOUT
    }

    fn max_message_bytes(&self) -> usize {
        match self.role {
            Role::Unidentified => MAX_GREETING_BYTES,
            Role::Initiator(_) => MAX_MESSAGE_BYTES,
            Role::Peer(_) => MAX_PEER_MESSAGE_BYTES,
            Role::Operator | Role::Answered => DISCARD_BYTES,
        }
    }
}

/// Bytes read at once of input that is discarded.
const DISCARD_BYTES: usize = 4 * 1024;

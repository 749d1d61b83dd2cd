//! A connection that somebody has made to a planner: a newcomer until it has said what it is.

use super::frame::{self, ToPlanner, LENGTH_BYTES, MAX_MESSAGE_BYTES};
use crate::conn::{Conn, ReadEnd};
use crate::revisions::agreement::{VoterId, LONGEST_MESSAGE};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Whoever says nothing for so long, or does not go on with a message, is closed.
pub(super) const SILENCE: Duration = Duration::from_secs(3);
/// Bytes that wait for a far side that does not read. Of plans it gets none until it has, and then the newest; what may not
/// be left out ends the connection instead.
pub(super) const MOST_UNREAD: usize = 256 * 1024;
/// The longest first message: a greeting, or an operator's command with a document in it.
const LONGEST_GREETING: usize = 256 * 1024;
/// The longest message of another planner: one of the agreement, with what goes round it.
const LONGEST_OF_PEER: usize = LONGEST_MESSAGE + 64;

/// What the far side is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Role {
    /// It has not said so yet.
    Newcomer,
    /// An initiator, with its name.
    Initiator(String),
    /// Another planner.
    Peer(VoterId),
    /// An operator's command, which waits for its answer.
    Operator,
    /// It has got its last answer, and is to close.
    Answered,
}

/// One connection.
pub(super) struct Connection {
    conn: Conn,
    /// What the far side is.
    pub role: Role,
    /// When it was last heard.
    pub heard: Instant,
}

impl Connection {
    /// Of somebody unknown.
    pub fn new(conn: Conn, now: Instant) -> Self {
        Connection { conn, role: Role::Newcomer, heard: now }
    }

    /// Reads what is there, as far as the longest message that may come.
    pub fn read(&mut self) -> ReadEnd {
        self.conn.read(self.longest() + LENGTH_BYTES)
    }

    /// The next message, once it is whole.
    pub fn next(&mut self) -> Result<Option<ToPlanner>, String> {
        if matches!(self.role, Role::Operator | Role::Answered) {
            // Guards the answer: what comes after the command would reset the connection if it was left unread.
            self.conn.consume(self.conn.input.len());
            return Ok(None);
        }
        let longest = self.longest();
        let message = frame::decode_bounded(&mut self.conn.input, longest);
        self.conn.shed();
        message
    }

    /// Whether the far side reads what it is sent.
    pub fn reads(&self) -> bool {
        self.conn.unwritten() < MOST_UNREAD
    }

    /// Adds a message to what is to be written.
    pub fn say(&mut self, message: &impl Serialize) {
        let mut output = Vec::new();
        frame::encode(message, &mut output);
        self.conn.push(&output);
    }

    /// Adds the last message: the far side is to close when it has read it.
    pub fn say_last(&mut self, now: Instant, message: &impl Serialize) {
        self.say(message);
        self.role = Role::Answered;
        self.heard = now;
    }

    /// Writes as much as goes; an error means that the connection broke.
    pub fn flush(&mut self) -> std::io::Result<()> {
        self.conn.flush()?;
        if self.role == Role::Answered && self.conn.unwritten() == 0 {
            self.conn.end_sending()?;
        }
        Ok(())
    }

    /// Whether it has been silent for too long. An operator's command waits for the planner, not the planner for it.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.role != Role::Operator && now.saturating_duration_since(self.heard) > SILENCE
    }

    fn longest(&self) -> usize {
        match self.role {
            Role::Newcomer => LONGEST_GREETING,
            Role::Initiator(_) => MAX_MESSAGE_BYTES,
            Role::Peer(_) => LONGEST_OF_PEER,
            Role::Operator | Role::Answered => READ_AWAY,
        }
    }
}

/// Bytes that are read at once of what is not taken.
const READ_AWAY: usize = 4 * 1024;

//! What a protocol does on one connection to a node.

use crate::core::{AttemptResult, Content};
use std::time::Duration;

/// The protocol state of one connection. It does no I/O.
pub trait Session {
    /// Starts the session; true if attempts may follow immediately, without a login.
    fn open(&mut self, output: &mut Vec<u8>) -> bool;

    /// Encodes the start of an attempt; false if this protocol cannot express it.
    fn start(&mut self, content: &Content, time_left: Duration, output: &mut Vec<u8>) -> bool;

    /// How long a connection stays unused after an answer, before the next attempt.
    fn reuse_delay(&self) -> Duration;

    /// Whether the session has written the last byte of the attempt to its output.
    fn is_sent(&self) -> bool;

    /// Bytes that are kept for the attempt.
    fn buffered_bytes(&self) -> usize {
        0
    }

    /// Reads received bytes. Returns an error if the peer violates the protocol.
    fn input(&mut self, input: &mut Vec<u8>, output: &mut Vec<u8>) -> Result<Step, String>;
}

/// Result of reading some input.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// The message is incomplete; more input is needed.
    Incomplete,
    /// The session is ready for attempts.
    Ready,
    /// A long value of this many bytes follows in pieces.
    LongAnswer(usize),
    /// The next bytes of the long value.
    Data(Vec<u8>),
    /// The attempt ended.
    Ended(AttemptResult),
    /// The peer asks to close the connection.
    Closing,
}

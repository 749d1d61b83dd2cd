//! What fronts and targets exchange with the core.

use crate::flow::BodyStream;
use crate::interface::{NodeId, Outcome, RequestId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where the answer of a request goes: a connection of a front, and the command's sequence number on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    pub conn: usize,
    pub sequence: u64,
}

/// Whether a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Read,
    Write,
}

/// What a target sends for a request. The core does not interpret it.
#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    pub operation: Operation,
    /// The object's key, as 16 hex digits.
    pub object: String,
    /// The request id that the client chose.
    pub id: String,
    /// Further attributes as sent by the client, without the deadline: `c=read,t=gold,...`.
    pub attributes: String,
    pub body: Vec<u8>,
    /// A long body that is streamed; `body` is empty then.
    pub body_stream: Option<BodyStream>,
    /// The blocks it covers on block storage; without it only object nodes can serve the request.
    pub extent: Option<Extent>,
}

impl Content {
    /// Bytes that its client sent, without a body that is streamed.
    pub(super) fn bytes(&self) -> usize {
        self.object.len() + self.id.len() + self.attributes.len() + self.body.len()
    }
}

/// A contiguous range of blocks of a logical unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    pub lun: u16,
    pub block: u64,
    pub blocks: u32,
    pub block_bytes: u32,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u32,
}

/// The result of an attempt, with the values from the node's reply.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub used: Option<f64>,
    pub elsewhere: f64,
    /// The value that was served, unless it was long and streamed.
    pub value: Vec<u8>,
    /// Time spent sending the body and receiving the reply. It is not counted as latency: how fast peers read and write
    /// says nothing about the node's load.
    pub transfer: Duration,
}

impl AttemptResult {
    /// The result of an attempt whose node sent no reply with values.
    pub fn without_reply(outcome: Outcome) -> Self {
        AttemptResult { outcome, used: None, elsewhere: 0.0, value: Vec::new(), transfer: Duration::ZERO }
    }
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused { retry_after: Duration },
    Failed,
}

/// A command to fronts and targets.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt to a node.
    Start {
        attempt: AttemptId,
        node: NodeId,
        content: Rc<Content>,
        give_up_at: Instant,
        /// The last byte has to be sent by then; otherwise the attempt does not start.
        begin_by: Instant,
    },
    /// The client has disconnected: drop the attempt unless its last byte was sent.
    CancelUnsent { attempt: AttemptId },
    /// Stop waiting for an attempt. The target reports its end with `outcome`, or that it never ran.
    Stop { attempt: AttemptId, outcome: Outcome },
    /// Send the final answer to the client.
    Answer { origin: Origin, answer: Answer },
    /// More bytes of an attempt's request body are available.
    BodyAvailable { attempt: AttemptId },
    /// A streamed answer ended; `complete` is false if it was cut short.
    EndStream { origin: Origin, complete: bool },
    /// A streamed answer of which nothing was passed on is given up: its request gets another answer.
    DiscardStream { origin: Origin },
    /// The deadline of a request has come whose streamed answer may be held back until it is whole: pass on what there
    /// is of it.
    ReleaseStream { origin: Origin },
}

/// Whether an attempt with this outcome may have been executed by the node.
pub fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Rejected | Outcome::NotConnected | Outcome::NotSent)
}

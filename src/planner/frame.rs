//! Wire format between planners and their peers (forwarders, other planners, operators' commands): a four-byte
//! big-endian length, then the message encoded with postcard.
//!
//! A forwarder begins with [`ToPlanner::Hello`], whose bytes up to and including the schema number are the same in
//! every schema; a planner that does not support that schema answers with a refusal and closes the connection. Then,
//! for each partition that the planner leads, reports go one way and plans the other.

use crate::revisions::agreement::{Proposal, ProposalError};
use crate::revisions::distribution::InitiatorStatus;
use crate::revisions::{Acknowledgement, Revision, RevisionId, RevisionNumber, Update};
use crate::shares::{Plan, Report};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The schema of the messages in this build.
pub const SCHEMA: u16 = 2;
/// The longest message that is accepted.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of the length that precedes each message.
pub const LENGTH_BYTES: usize = 4;

/// A message to a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPlanner {
    /// The first message of a forwarder.
    Hello {
        /// The schema that the forwarder uses.
        schema: u16,
        /// The forwarder's name, shown to operators.
        forwarder: String,
    },
    /// The forwarder's demand and the plan it holds, for one partition. Answered with a plan.
    Report {
        /// The partition.
        partition: u16,
        /// The report.
        report: Report,
    },
    /// Heartbeat, also sent where there is nothing to report to this planner.
    Alive,
    /// Requests revisions on this connection; sent to one planner at a time.
    Subscribe {
        /// The revision in force at the subscriber.
        current: RevisionId,
    },
    /// Ends the subscription of this connection.
    Unsubscribe,
    /// Whether a revision is in force or refused; sent to all planners, at the beginning of a connection and after each
    /// update.
    Acknowledge(Acknowledgement),
    /// The first message of another planner, in place of [`ToPlanner::Hello`]. Its agreement messages follow; none are
    /// sent back on this connection.
    PeerHello {
        /// The schema that it uses.
        schema: u16,
        /// The planner's name.
        planner: String,
    },
    /// A message of the agreement among planners, as [`crate::revisions::agreement::Action::Send`] gave it.
    Agreement(Vec<u8>),
    /// The first message of an operator's command, in place of [`ToPlanner::Hello`]; answered with
    /// [`FromPlanner::OperatorReply`].
    Operator {
        /// The schema that it uses.
        schema: u16,
        /// The operator's request.
        request: OperatorRequest,
    },
}

/// A request of an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Proposes a document as the next revision.
    Submit(Box<Proposal>),
    /// Asks for an accepted revision; `None` means the newest.
    Show(Option<RevisionNumber>),
    /// Asks which revisions the initiators have in force.
    Status,
}

/// A planner's answer to an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The proposal was accepted as this revision.
    Accepted(RevisionId),
    /// The proposal was not accepted.
    Refused(ProposalError),
    /// The requested revision; `None` if it is not kept, or if there is no revision yet.
    Revision(Option<Box<Revision>>),
    /// The planner's status.
    Status(PlannerStatus),
    /// Live configuration is disabled at this planner.
    Disabled,
}

/// One planner's view of the live configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannerStatus {
    /// The planner's name.
    pub planner: String,
    /// Whether a majority of the planners is in contact.
    pub quorum: bool,
    /// The name of the planner that leads the agreement, where one is known.
    pub leader: Option<String>,
    /// The newest revision that it knows to be accepted.
    pub newest: RevisionId,
    /// The initiators that are connected to it, or were within the last day.
    pub initiators: Vec<InitiatorStatus>,
}

/// A message from a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPlanner {
    /// The schema is supported; volumes and nodes are hashed to this number of partitions.
    Welcome {
        /// The number of partitions.
        partitions: u16,
    },
    /// The reason why the planner ends the connection, for example an unsupported schema.
    Refused(String),
    /// The partitions that this planner leads from now on.
    Leads(Vec<u16>),
    /// Answers a report.
    Plan {
        /// The partition.
        partition: u16,
        /// The plan.
        plan: Plan,
    },
    /// A revision, or its difference from an earlier one; sent to subscribers.
    Update(Update),
    /// Whether this planner is in contact with a majority of the planners; sent at the beginning and at each change.
    /// While it is not, a subscriber may prefer another planner, and the age of its configuration grows.
    Quorum(bool),
    /// Answers an operator's command.
    OperatorReply(OperatorReply),
}

/// Appends an encoded message to `output`.
pub fn encode(message: &impl Serialize, output: &mut Vec<u8>) {
    // Postcard fails only on sequences and maps of unknown length, and no message has any.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    output.extend_from_slice(&(body.len() as u32).to_be_bytes());
    output.extend_from_slice(&body);
}

/// Removes the first message from `input`, once it is complete; `None` until then. Fails if the bytes are no such
/// message or the message is too long.
pub fn decode<M: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<M>, String> {
    decode_bounded(input, MAX_MESSAGE_BYTES)
}

/// Like [`decode`], for messages of at most `limit` bytes.
pub fn decode_bounded<M: DeserializeOwned>(input: &mut Vec<u8>, limit: usize) -> Result<Option<M>, String> {
    let Some(length_bytes) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length_bytes) as usize;
    if length > limit {
        return Err(format!("a message of {length} bytes, at most {limit} are allowed"));
    }
    let Some(body) = input.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
    let message = postcard::from_bytes(body).map_err(|error| error.to_string())?;
    input.drain(..LENGTH_BYTES + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;

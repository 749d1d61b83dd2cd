//! What forwarders and planners say to each other: a four-byte length, then the message in postcard's form.
//!
//! A forwarder begins with [`ToPlanner::Hello`], which is the same in every schema up to the number of it; a planner that
//! does not know the number says so and closes. Then reports go one way and plans the other, for each partition that the
//! planner leads.

use crate::revisions::agreement::{Proposal, ProposalError};
use crate::revisions::distribution::InitiatorStatus;
use crate::revisions::{Acknowledgement, Revision, RevisionId, RevisionNumber, Update};
use crate::shares::{Plan, Report};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The schema that is spoken here.
pub const SCHEMA: u16 = 2;
/// A longer message is none of these.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of the length.
pub const LENGTH_BYTES: usize = 4;

/// From a forwarder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPlanner {
    /// First of all.
    Hello {
        /// The schema that the forwarder speaks.
        schema: u16,
        /// Its name, for people.
        forwarder: String,
    },
    /// What it wants, and what it holds, of one partition. Answered with a plan.
    Report {
        /// The partition.
        partition: u16,
        /// The report.
        report: Report,
    },
    /// It is there, also where it has nothing to report to this planner.
    Alive,
    /// It wants revisions on this connection; said to one planner at a time.
    Subscribe {
        /// The revision in force there.
        current: RevisionId,
    },
    /// It wants none on this connection any more.
    Unsubscribe,
    /// What became of a revision; said to all planners, at the beginning of a connection and after each update.
    Acknowledge(Acknowledgement),
    /// First of all from another planner, in place of [`ToPlanner::Hello`]. Its messages follow; none go the other way.
    PeerHello {
        /// The schema that it speaks.
        schema: u16,
        /// Its name.
        planner: String,
    },
    /// A message of the agreement among planners, as [`crate::revisions::agreement::Action::Send`] gave it.
    Agreement(Vec<u8>),
    /// First of all from an operator's command, in place of [`ToPlanner::Hello`]; answered with
    /// [`FromPlanner::OperatorReply`].
    Operator {
        /// The schema that it speaks.
        schema: u16,
        /// What it asks for.
        request: OperatorRequest,
    },
}

/// What an operator's command asks a planner for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Accept a document as the next revision.
    Submit(Box<Proposal>),
    /// An accepted revision; none: the newest.
    Show(Option<RevisionNumber>),
    /// What the initiators hold.
    Status,
}

/// What a planner answers to an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorReply {
    /// The proposal became this revision.
    Accepted(RevisionId),
    /// It became none.
    Refused(ProposalError),
    /// The revision that was asked for; none: it is not kept, or there is none yet.
    Revision(Option<Box<Revision>>),
    /// What the planner knows.
    Status(PlannerStatus),
    /// Live configuration is not switched on at this planner.
    Disabled,
}

/// What one planner knows of the live configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannerStatus {
    /// Its name.
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

/// From a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPlanner {
    /// The schema is spoken here, and things are dealt to so many partitions.
    Welcome {
        /// How many.
        partitions: u16,
    },
    /// It is not, or something else is wrong; the connection ends.
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
    /// A revision, or what changed up to it; to a subscriber.
    Update(Update),
    /// Whether this planner is in contact with a majority of the planners: at the beginning and at each change. While it is
    /// not, a subscriber may do better with another planner, and the age of what it holds grows.
    Quorum(bool),
    /// Answers an operator's command.
    OperatorReply(OperatorReply),
}

/// Adds a message to an output.
pub fn encode(message: &impl Serialize, output: &mut Vec<u8>) {
    // Only a message with maps of unknown length cannot be put in this form, and there is none.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    output.extend_from_slice(&(body.len() as u32).to_be_bytes());
    output.extend_from_slice(&body);
}

/// Takes a message off an input, once it is whole. An error means that the far side says something else.
pub fn decode<M: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<M>, String> {
    decode_bounded(input, MAX_MESSAGE_BYTES)
}

/// The same, where no longer message than so many bytes is awaited.
pub fn decode_bounded<M: DeserializeOwned>(input: &mut Vec<u8>, most: usize) -> Result<Option<M>, String> {
    let Some(head) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > most {
        return Err(format!("a message of {length} bytes, at most {most} are allowed"));
    }
    let Some(body) = input.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
    let message = postcard::from_bytes(body).map_err(|error| error.to_string())?;
    input.drain(..LENGTH_BYTES + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;

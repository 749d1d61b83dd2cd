//! Live configuration: numbered revisions of the settings that may change while initiators run.
//!
//! Operators submit a [`document::Document`] to a planner. The planners agree on it through Raft ([`agreement`]), with
//! a log on disk ([`store`]), and it becomes the revision with the next number. Planners distribute revisions to the
//! initiators connected to them ([`distribution`]). An initiator checks each revision against its own settings and
//! applies it as a whole or refuses it ([`follower`]).
//!
//! Only [`store`] does I/O, and no code here reads a clock: the caller passes the time.

pub mod agreement;
pub mod delta;
pub mod distribution;
pub mod document;
pub mod follower;
pub mod store;

use delta::Delta;
use document::Document;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The sequence number of an accepted revision. The first is 1; 0 means that only the settings files apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// Returns the number of the following revision.
    pub fn next(self) -> Self {
        RevisionNumber(self.0 + 1)
    }
}

impl fmt::Display for RevisionNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// SHA-256 (FIPS 180-4) of a document's canonical encoding.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 32]);

impl fmt::Display for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{self}")
    }
}

/// A revision's number and the hash of its content. Two revisions with the same id have the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RevisionId {
    /// The revision's number.
    pub number: RevisionNumber,
    /// The hash of the revision's document.
    pub hash: ContentHash,
}

impl RevisionId {
    /// The id in force before the first revision: number 0 with an empty document, which overrides nothing.
    pub fn none() -> Self {
        RevisionId { number: RevisionNumber(0), hash: Document::default().hash() }
    }
}

impl fmt::Display for RevisionId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let hash = self.hash.to_string();
        write!(formatter, "{} ({})", self.number, &hash[..12])
    }
}

/// An accepted revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// The number and the content's hash.
    pub id: RevisionId,
    /// The author's name as given with the proposal; it is not authenticated.
    pub author: String,
    /// Time of submission, in milliseconds of Unix time by the clock of the planner that received it.
    pub submitted_ms: u64,
    /// The content.
    pub document: Document,
}

/// A revision as a planner sends it to an initiator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The revision that the initiator has after applying the update.
    pub id: RevisionId,
    /// The full document, or the changes to an earlier one.
    pub content: UpdateContent,
}

/// The content of an [`Update`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpdateContent {
    /// The full document: sent after a restart or where the initiator missed revisions.
    Full(Document),
    /// The changes since the revision that the initiator has.
    Changes {
        /// The revision that the changes apply to.
        base: RevisionId,
        /// The changes.
        delta: Delta,
    },
}

/// An initiator's answer to an [`Update`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The revision of the update, or at the start of a connection the revision in force at the initiator.
    pub id: RevisionId,
    /// Whether that revision is in force or refused.
    pub outcome: AcknowledgementOutcome,
}

/// Whether a revision is in force at an initiator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AcknowledgementOutcome {
    /// The revision is in force.
    InForce,
    /// The initiator can't apply the revision, for this reason, and keeps the one that is in force.
    Refused(String),
}

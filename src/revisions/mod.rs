//! Live configuration: numbered revisions of what may change while initiators run.
//!
//! Operators submit a [`document::Document`] to a planner. The planners agree on it ([`agreement`], Raft over a store on
//! disk, [`store`]), and it becomes the revision with the next number. Planners hand revisions on to the initiators that
//! are connected to them ([`distribution`]); an initiator checks each against its own settings and takes it over as a
//! whole or not at all ([`follower`]).
//!
//! Nothing in this module does I/O apart from [`store`], and nothing reads a clock: times are handed in.

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

/// The position of a revision among all that were accepted. Zero is the state before the first: the files alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    /// The number of the revision that follows this one.
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

/// A revision's number and the hash of its content: two revisions with the same id have the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RevisionId {
    /// Its number.
    pub number: RevisionNumber,
    /// The hash of its document.
    pub hash: ContentHash,
}

impl RevisionId {
    /// What is in force before the first revision: an empty document, which changes nothing.
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

/// A revision as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// Its number and hash.
    pub id: RevisionId,
    /// Who submitted it, as they said.
    pub author: String,
    /// When it was submitted, in milliseconds of Unix time by the clock of the planner that was asked.
    pub submitted_ms: u64,
    /// Its content.
    pub document: Document,
}

/// A revision on its way to an initiator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// What the initiator holds once it has taken this over.
    pub id: RevisionId,
    /// How it gets there from what it has.
    pub content: UpdateContent,
}

/// The content of an [`Update`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum UpdateContent {
    /// The whole document, after a restart or a gap.
    Full(Document),
    /// What changed since the revision that the initiator holds.
    Changes {
        /// The revision that the changes are made to.
        base: RevisionId,
        /// The changes.
        delta: Delta,
    },
}

/// What an initiator answers to an [`Update`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The revision that it was sent, or at the beginning of a connection the one that it holds.
    pub id: RevisionId,
    /// What became of it.
    pub outcome: AcknowledgementOutcome,
}

/// Whether a revision is in force at an initiator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AcknowledgementOutcome {
    /// It is in force.
    InForce,
    /// The initiator can't take it, for this reason, and goes on with what it has.
    Refused(String),
}

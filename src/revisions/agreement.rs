//! Agreement among planners on the sequence of revisions: the Raft consensus algorithm (Ongaro and Ousterhout, "In Search
//! of an Understandable Consensus Algorithm", 2014) by the `raft` crate, without I/O and without a clock of its own.
//!
//! An entry of the log is a [`Proposal`]. It becomes a revision where it was made against the revision in force at its
//! place in the log, and is refused otherwise; all replicas decide the same, so no number ever has two contents.

use super::document::Document;
use super::store::{ReplicaStore, StoreError};
use super::{Revision, RevisionId, RevisionNumber};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A voter, 1 to 5: the position of its name among the planners' names in sorted order, plus one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

/// Names one proposal over all planners and restarts, so that its maker knows it again in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId(pub u128);

/// A document that somebody wants to be the next revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Its id.
    pub id: ProposalId,
    /// The revision that its author saw: it is accepted only if that is still the newest.
    pub expected: RevisionId,
    /// Who submitted it.
    pub author: String,
    /// When, in milliseconds of Unix time.
    pub submitted_ms: u64,
    /// What it says.
    pub document: Document,
}

/// Why a proposal became no revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalError {
    /// Another revision is in force than its author saw.
    Conflict {
        /// The one in force.
        newest: RevisionId,
    },
    /// No majority of the planners is in contact; it was not passed on.
    NoQuorum,
    /// It was passed on, and whether it was accepted is not known: it may still be.
    Unknown,
    /// It is no document that can be accepted.
    Invalid(String),
}

/// What happens to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message of another voter has come, as [`Action::Send`] gave it there.
    Message(Vec<u8>),
    /// Somebody submits a document here.
    Propose(Proposal),
    /// A timer is due.
    Tick,
}

/// What the owner of a replica is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to another voter. It may be lost.
    Send {
        /// To whom.
        to: VoterId,
        /// The message, in the encoding of the `raft` crate.
        message: Vec<u8>,
    },
    /// A proposal that was made here is decided.
    Decided {
        /// Which.
        id: ProposalId,
        /// The revision that it became, or why it became none.
        outcome: Result<RevisionId, ProposalError>,
    },
    /// A revision is accepted, and held on disk by a majority. Numbers come in order; after a snapshot some are left out.
    Accepted(Revision),
    /// Whether a majority of the planners is in contact has changed. It is not at the start.
    QuorumChanged(bool),
}

/// How a replica is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct Parameters {
    /// Its id.
    pub id: VoterId,
    /// All voters, this one included; an odd number, 1 to 5.
    pub voters: Vec<VoterId>,
    /// The time between two ticks of the protocol; elections take ten to twenty of them without a leader.
    pub tick: Duration,
    /// How long a proposal made here waits for its decision.
    pub proposal_timeout: Duration,
}

/// Revisions that are kept to show, compare and go back to.
pub const KEPT_REVISIONS: usize = 64;

/// One replica of the agreement.
pub struct Replica<S: ReplicaStore> {
    parameters: Parameters,
    store: S,
}

impl<S: ReplicaStore> Replica<S> {
    /// Goes on from what the store holds.
    ///
    /// # Errors
    ///
    /// The store can't be read, or holds another voter's or another group's state.
    pub fn start(_parameters: Parameters, _store: S, _now: Duration) -> Result<Self, StoreError> {
        todo!()
    }

    /// Takes one event at a time that only grows. What it says in actions is on disk before it returns.
    ///
    /// # Errors
    ///
    /// The store failed. The replica can't go on then: its owner ends the process, which starts again from the disk.
    pub fn handle(
        &mut self,
        _now: Duration,
        _event: Event,
        _actions: &mut Vec<Action>,
    ) -> Result<(), StoreError> {
        todo!()
    }

    /// When [`Event::Tick`] is due.
    pub fn next_timer(&self) -> Duration {
        todo!()
    }

    /// The newest accepted revision known here; none before the first.
    pub fn newest(&self) -> Option<&Revision> {
        todo!()
    }

    /// An accepted revision by its number, where it is still kept.
    pub fn revision(&self, _number: RevisionNumber) -> Option<&Revision> {
        todo!()
    }

    /// Whether a majority is in contact, as far as this replica knows.
    pub fn has_quorum(&self) -> bool {
        todo!()
    }

    /// The voter that leads, where one is known.
    pub fn leader(&self) -> Option<VoterId> {
        todo!()
    }
}

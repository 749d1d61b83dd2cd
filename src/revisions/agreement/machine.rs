//! The state that all replicas come to by the same log: the newest revisions, and what became of the latest proposals.

use super::{Proposal, ProposalError, ProposalId, KEPT_REVISIONS, MAX_AUTHOR_BYTES};
use crate::revisions::{Revision, RevisionId, RevisionNumber};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Proposals whose outcome is remembered, so that one that is submitted again is answered and not tried again. An older
/// one that was accepted can't be accepted again either: what its author saw is no longer the newest, and it is answered so.
pub const KEPT_OUTCOMES: usize = 1024;

/// What became of a proposal.
pub(super) type Outcome = Result<RevisionId, ProposalError>;

/// The state, as it is also kept in snapshots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StateMachine {
    newest: RevisionId,
    revisions: VecDeque<Revision>,
    outcomes: VecDeque<(ProposalId, Outcome)>,
}

/// What an entry of the log came to.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Applied {
    /// The proposal.
    pub id: ProposalId,
    /// What became of it, now or when it was first applied.
    pub outcome: Outcome,
    /// The revision that it became, where it did so now.
    pub accepted: Option<Revision>,
}

impl StateMachine {
    /// The state before the first proposal.
    pub fn new() -> Self {
        StateMachine { newest: RevisionId::none(), revisions: VecDeque::new(), outcomes: VecDeque::new() }
    }

    /// Reads a state from a snapshot; nothing where it does not fit together.
    pub fn decode(bytes: &[u8]) -> Option<StateMachine> {
        let machine: StateMachine = postcard::from_bytes(bytes).ok()?;
        machine.fits_together().then_some(machine)
    }

    fn fits_together(&self) -> bool {
        let numbers = self.revisions.iter().map(|revision| revision.id.number);
        let follow = numbers.clone().zip(numbers.skip(1)).all(|(number, next)| number.next() == next);
        let hashes = self.revisions.iter().all(|revision| revision.document.hash() == revision.id.hash);
        let newest = self.revisions.back().map_or_else(RevisionId::none, |revision| revision.id);
        let bounded = self.revisions.len() <= KEPT_REVISIONS && self.outcomes.len() <= KEPT_OUTCOMES;
        follow && hashes && bounded && newest == self.newest
    }

    /// The state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The newest revision.
    pub fn newest(&self) -> Option<&Revision> {
        self.revisions.back()
    }

    /// A revision by its number, where it is kept.
    pub fn revision(&self, number: RevisionNumber) -> Option<&Revision> {
        let first = self.revisions.front()?.id.number;
        let position = number.0.checked_sub(first.0)?;
        self.revisions.get(usize::try_from(position).ok()?)
    }

    /// The revisions after a number that are kept, in their order.
    pub fn after(&self, number: RevisionNumber) -> impl Iterator<Item = &Revision> {
        self.revisions.iter().filter(move |revision| revision.id.number > number)
    }

    /// The number of the newest revision.
    pub fn number(&self) -> RevisionNumber {
        self.newest.number
    }

    /// What became of a proposal, where that is remembered.
    pub fn outcome(&self, id: ProposalId) -> Option<&Outcome> {
        self.outcomes.iter().rev().find(|(known, _)| *known == id).map(|(_, outcome)| outcome)
    }

    /// Applies a proposal at its place in the log.
    pub fn apply(&mut self, proposal: Proposal) -> Applied {
        let id = proposal.id;
        if let Some(outcome) = self.outcome(id) {
            return Applied { id, outcome: outcome.clone(), accepted: None };
        }
        let outcome = self.decide(&proposal);
        let accepted = outcome.as_ref().ok().map(|id| Revision {
            id: *id,
            author: proposal.author,
            submitted_ms: proposal.submitted_ms,
            document: proposal.document,
        });
        if let Some(revision) = &accepted {
            self.newest = revision.id;
            push_bounded(&mut self.revisions, revision.clone(), KEPT_REVISIONS);
        }
        push_bounded(&mut self.outcomes, (id, outcome.clone()), KEPT_OUTCOMES);
        Applied { id, outcome, accepted }
    }

    fn decide(&self, proposal: &Proposal) -> Outcome {
        check(proposal).map_err(ProposalError::Invalid)?;
        if proposal.expected != self.newest {
            return Err(ProposalError::Conflict { newest: self.newest });
        }
        Ok(RevisionId { number: self.newest.number.next(), hash: proposal.document.hash() })
    }
}

/// Checks what a proposal is refused for whatever the newest revision is.
pub(super) fn check(proposal: &Proposal) -> Result<(), String> {
    if proposal.author.len() > MAX_AUTHOR_BYTES {
        return Err(format!("author: {} bytes, {MAX_AUTHOR_BYTES} are allowed", proposal.author.len()));
    }
    proposal.document.check().map_err(|error| error.0)
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, most: usize) {
    queue.push_back(item);
    if queue.len() > most {
        queue.pop_front();
    }
}

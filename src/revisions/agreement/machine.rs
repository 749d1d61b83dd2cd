//! The replicated state machine: the newest revisions and the outcomes of the latest proposals. Replicas that apply the
//! same log have the same state.

use super::{Proposal, ProposalError, ProposalId, KEPT_REVISIONS, MAX_AUTHOR_BYTES};
use crate::revisions::{Revision, RevisionId, RevisionNumber};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The number of proposals whose outcome is kept, so that a repeated submission is answered with the first outcome. An
/// older proposal that was accepted can't be accepted twice either: its expected revision is no longer the newest, so
/// the answer is a conflict.
pub const KEPT_OUTCOMES: usize = 1024;

/// The outcome of a proposal: the revision that it became, or why it did not become one.
pub(super) type Outcome = Result<RevisionId, ProposalError>;

/// The replicated state, which snapshots contain in postcard encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StateMachine {
    newest: RevisionId,
    revisions: VecDeque<Revision>,
    outcomes: VecDeque<(ProposalId, Outcome)>,
}

/// The result of applying a log entry.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Applied {
    /// The proposal's id.
    pub id: ProposalId,
    /// The outcome, from this entry or from an earlier one with the same proposal.
    pub outcome: Outcome,
    /// The new revision, if this entry created one.
    pub accepted: Option<Revision>,
}

impl StateMachine {
    /// Creates the state before the first proposal.
    pub fn new() -> Self {
        StateMachine { newest: RevisionId::none(), revisions: VecDeque::new(), outcomes: VecDeque::new() }
    }

    /// Decodes the state from a snapshot. Returns `None` if it can't be decoded or is inconsistent.
    pub fn decode(bytes: &[u8]) -> Option<StateMachine> {
        let state: StateMachine = postcard::from_bytes(bytes).ok()?;
        state.is_consistent().then_some(state)
    }

    fn is_consistent(&self) -> bool {
        let numbers = self.revisions.iter().map(|revision| revision.id.number);
        let consecutive = numbers.clone().zip(numbers.skip(1)).all(|(number, next)| number.next() == next);
        let hashes_match = self.revisions.iter().all(|revision| revision.document.hash() == revision.id.hash);
        let newest = self.revisions.back().map_or_else(RevisionId::none, |revision| revision.id);
        let bounded = self.revisions.len() <= KEPT_REVISIONS && self.outcomes.len() <= KEPT_OUTCOMES;
        consecutive && hashes_match && bounded && newest == self.newest
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The newest revision, if there is one.
    pub fn newest(&self) -> Option<&Revision> {
        self.revisions.back()
    }

    /// A revision by its number, if it is still kept.
    pub fn revision(&self, number: RevisionNumber) -> Option<&Revision> {
        let first = self.revisions.front()?.id.number;
        let position = number.0.checked_sub(first.0)?;
        self.revisions.get(usize::try_from(position).ok()?)
    }

    /// The kept revisions with higher numbers, in ascending order.
    pub fn after(&self, number: RevisionNumber) -> impl Iterator<Item = &Revision> {
        self.revisions.iter().filter(move |revision| revision.id.number > number)
    }

    /// The number of the newest revision; 0 before the first.
    pub fn number(&self) -> RevisionNumber {
        self.newest.number
    }

    /// The outcome of a proposal, if it is still kept.
    pub fn outcome(&self, id: ProposalId) -> Option<&Outcome> {
        self.outcomes.iter().rev().find(|(recorded, _)| *recorded == id).map(|(_, outcome)| outcome)
    }

    /// Applies the proposal of the next log entry. A proposal that was applied before only returns its outcome.
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

/// Checks the parts of a proposal that don't depend on the newest revision: the author's length and the document.
pub(super) fn check(proposal: &Proposal) -> Result<(), String> {
    if proposal.author.len() > MAX_AUTHOR_BYTES {
        return Err(format!("author: {} bytes, {MAX_AUTHOR_BYTES} are allowed", proposal.author.len()));
    }
    proposal.document.check().map_err(|error| error.0)
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, max: usize) {
    queue.push_back(item);
    if queue.len() > max {
        queue.pop_front();
    }
}

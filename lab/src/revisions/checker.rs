//! Checks the rules on everything that replicas and clients were told. It uses proposals, revisions and outcomes, and
//! nothing of the agreement protocol. Each proposal has a unique author, whose name identifies it here.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazpath::revisions::agreement::{Proposal, ProposalError};
use topazpath::revisions::document::Document;
use topazpath::revisions::{Revision, RevisionId, RevisionNumber};

/// Number of violations by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Two contents with the same number.
    pub two_contents: usize,
    /// Missing numbers.
    pub gaps: usize,
    /// Revisions that were not proposed, or differ in content from their proposal.
    pub unproposed: usize,
    /// Revisions whose author expected another predecessor.
    pub wrong_base: usize,
    /// Proposals that became two revisions.
    pub accepted_twice: usize,
    /// Accepted revisions, as told to a client or reported by a replica, that are missing later.
    pub lost: usize,
    /// Proposals that were told to be refused and were accepted, or were told two different outcomes.
    pub two_outcomes: usize,
    /// Conflicts with the revision that the author expected, or with one that does not exist.
    pub false_conflict: usize,
    /// Proposals without an outcome, at a replica that kept running.
    pub untold: usize,
    /// Schedules after which the replicas do not agree on the newest revision, or accept no new one.
    pub unsettled: usize,
    /// Panics of replicas.
    pub panics: usize,
}

impl Breaches {
    /// Returns the kinds in the order of the fields, with their counts.
    pub fn kinds(&self) -> [(&'static str, usize); 11] {
        [
            ("two_contents", self.two_contents),
            ("gaps", self.gaps),
            ("unproposed", self.unproposed),
            ("wrong_base", self.wrong_base),
            ("accepted_twice", self.accepted_twice),
            ("lost", self.lost),
            ("two_outcomes", self.two_outcomes),
            ("false_conflict", self.false_conflict),
            ("untold", self.untold),
            ("unsettled", self.unsettled),
            ("panics", self.panics),
        ]
    }

    pub fn sum(&self) -> usize {
        self.kinds().iter().map(|(_, count)| count).sum()
    }

    pub fn add(&mut self, other: &Breaches) {
        self.two_contents += other.two_contents;
        self.gaps += other.gaps;
        self.unproposed += other.unproposed;
        self.wrong_base += other.wrong_base;
        self.accepted_twice += other.accepted_twice;
        self.lost += other.lost;
        self.two_outcomes += other.two_outcomes;
        self.false_conflict += other.false_conflict;
        self.untold += other.untold;
        self.unsettled += other.unsettled;
        self.panics += other.panics;
    }
}

/// A proposal of a client, with the outcomes it was told.
struct SubmittedProposal {
    expected: RevisionId,
    document: Document,
    times: usize,
    outcomes: Vec<Result<RevisionId, ProposalError>>,
}

/// Everything that was recorded.
#[derive(Default)]
pub struct Checker {
    proposals: BTreeMap<String, SubmittedProposal>,
    history: BTreeMap<RevisionNumber, Revision>,
    /// The number of each accepted proposal, by author.
    numbers: BTreeMap<String, RevisionNumber>,
    /// The highest number that each replica has reported.
    highest_reported: BTreeMap<usize, RevisionNumber>,
    /// Proposals without an outcome, by replica, process and author, and until when one is due.
    waiting: BTreeMap<(usize, u64, String), Duration>,
    pub breaches: Breaches,
}

impl Checker {
    /// Records that a client submits a proposal to a process, which has to answer until `answer_by`.
    pub fn submitted(&mut self, replica: usize, process: u64, proposal: &Proposal, answer_by: Duration) {
        let author = proposal.author.clone();
        let submitted = self.proposals.entry(author.clone()).or_insert_with(|| SubmittedProposal {
            expected: proposal.expected,
            document: proposal.document.clone(),
            times: 0,
            outcomes: Vec::new(),
        });
        submitted.times += 1;
        self.waiting.entry((replica, process, author)).or_insert(answer_by);
    }

    /// Records the outcome that a process told.
    pub fn decided(
        &mut self,
        replica: usize,
        process: u64,
        author: &str,
        outcome: Result<RevisionId, ProposalError>,
    ) {
        self.waiting.remove(&(replica, process, author.to_string()));
        if let Some(submitted) = self.proposals.get_mut(author) {
            submitted.outcomes.push(outcome);
        }
    }

    /// Records the end of a process, which owes no answers any more.
    pub fn process_ended(&mut self, replica: usize, process: u64) {
        self.waiting.retain(|(at, of, _), _| (*at, *of) != (replica, process));
    }

    /// Records and checks a revision that a replica reports as accepted.
    pub fn revision_reported(&mut self, replica: usize, revision: &Revision) {
        let number = revision.id.number;
        let highest = self.highest_reported.entry(replica).or_default();
        *highest = number.max(*highest);
        match self.history.get(&number) {
            Some(known) if known == revision => return,
            Some(_) => self.breaches.two_contents += 1,
            None => drop(self.history.insert(number, revision.clone())),
        }
        match self.proposals.get(&revision.author) {
            Some(proposed) if proposed.document == revision.document => {}
            _ => self.breaches.unproposed += 1,
        }
        match self.numbers.insert(revision.author.clone(), number) {
            Some(other) if other != number => self.breaches.accepted_twice += 1,
            _ => {}
        }
    }

    /// Checks the newest number of a replica that has started.
    pub fn replica_started(&mut self, replica: usize, newest: RevisionNumber) {
        if self.highest_reported.get(&replica).is_some_and(|highest| *highest > newest) {
            self.breaches.lost += 1;
        }
    }

    /// Returns the revisions that clients were told are accepted.
    pub fn accepted(&self) -> Vec<RevisionId> {
        let outcomes = self.proposals.values().flat_map(|proposal| &proposal.outcomes);
        let ids: BTreeSet<_> =
            outcomes.filter_map(|it| it.as_ref().ok()).map(|id| (id.number, id.hash)).collect();
        ids.into_iter().map(|(number, hash)| RevisionId { number, hash }).collect()
    }

    /// Counts the outcomes told to clients that match.
    pub fn count(&self, of: fn(&Result<RevisionId, ProposalError>) -> bool) -> usize {
        self.proposals.values().flat_map(|proposal| &proposal.outcomes).filter(|outcome| of(outcome)).count()
    }

    /// Returns the highest number that was reported.
    pub fn newest(&self) -> RevisionNumber {
        self.history.keys().next_back().copied().unwrap_or_default()
    }

    /// Runs the checks that need the complete history.
    pub fn finish(&mut self, now: Duration) {
        self.check_history();
        let mut breaches = self.breaches;
        for (author, proposal) in &self.proposals {
            self.check_outcomes(author, proposal, &mut breaches);
        }
        breaches.untold += self.waiting.values().filter(|due| **due < now).count();
        self.breaches = breaches;
    }

    fn check_history(&mut self) {
        self.breaches.gaps += self.newest().0 as usize - self.history.len();
        let mut before = RevisionId::none();
        for revision in self.history.values() {
            let proposed = self.proposals.get(&revision.author);
            let follows = before.number.next() == revision.id.number;
            if follows && proposed.is_some_and(|proposed| proposed.expected != before) {
                self.breaches.wrong_base += 1;
            }
            before = revision.id;
        }
    }

    fn check_outcomes(&self, author: &str, proposal: &SubmittedProposal, breaches: &mut Breaches) {
        let became = self.numbers.get(author).map(|number| self.history[number].id);
        let mut accepted = false;
        let mut refused = false;
        for outcome in &proposal.outcomes {
            match outcome {
                Ok(id) => {
                    accepted = true;
                    breaches.lost += usize::from(became != Some(*id));
                }
                Err(ProposalError::Conflict { newest }) => {
                    refused = true;
                    let known = self.history.get(&newest.number).map_or_else(RevisionId::none, |it| it.id);
                    breaches.false_conflict += usize::from(known != *newest || *newest == proposal.expected);
                }
                Err(ProposalError::Invalid(_)) => refused = true,
                // This submission was not passed on, but another one of the same proposal may have been.
                Err(ProposalError::NoQuorum | ProposalError::Busy) => refused |= proposal.times == 1,
                Err(ProposalError::Unknown) => {}
            }
        }
        breaches.two_outcomes += usize::from(refused && (accepted || became.is_some()));
    }
}

//! What is held against all that replicas and clients were told. It knows proposals, revisions and answers, and nothing of
//! the protocol that leads from one to the other. A proposal's mark is the name of its author.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazpath::revisions::agreement::{Proposal, ProposalError};
use topazpath::revisions::document::Document;
use topazpath::revisions::{Revision, RevisionId, RevisionNumber};

/// What broke, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// One number has two contents.
    pub two_contents: usize,
    /// A number was left out.
    pub gaps: usize,
    /// A revision that nobody proposed, or with another content than was proposed.
    pub unproposed: usize,
    /// A revision whose author had seen another one than its predecessor.
    pub wrong_base: usize,
    /// A proposal became two revisions.
    pub accepted_twice: usize,
    /// A client was told that its proposal was accepted, or a replica had told a revision, and it is not there.
    pub lost: usize,
    /// A client was told that its proposal was refused, and it was accepted; or was told two different outcomes.
    pub two_outcomes: usize,
    /// A conflict was told with a revision that the author had seen, or that never was.
    pub false_conflict: usize,
    /// A replica that went on running never said what became of a proposal.
    pub untold: usize,
    /// Replicas that did not come to the same newest revision after all faults, or accept no more.
    pub unsettled: usize,
    /// A replica panicked.
    pub panics: usize,
}

impl Breaches {
    /// The kinds in the order of the fields, with their counts.
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

/// What a client proposed.
struct Submitted {
    expected: RevisionId,
    document: Document,
    times: usize,
    outcomes: Vec<Result<RevisionId, ProposalError>>,
}

/// All that was seen.
#[derive(Default)]
pub struct Checker {
    proposals: BTreeMap<String, Submitted>,
    history: BTreeMap<RevisionNumber, Revision>,
    /// Which number a proposal became.
    numbers: BTreeMap<String, RevisionNumber>,
    /// The highest number that each replica has told.
    told: BTreeMap<usize, RevisionNumber>,
    /// Proposals that a process has not answered yet, and until when it has to.
    waiting: BTreeMap<(usize, u64, String), Duration>,
    pub breaches: Breaches,
}

impl Checker {
    /// A client hands a proposal to a process, which has to answer by then.
    pub fn submitted(&mut self, who: usize, process: u64, proposal: &Proposal, answer_by: Duration) {
        let mark = proposal.author.clone();
        let submitted = self.proposals.entry(mark.clone()).or_insert_with(|| Submitted {
            expected: proposal.expected,
            document: proposal.document.clone(),
            times: 0,
            outcomes: Vec::new(),
        });
        submitted.times += 1;
        self.waiting.entry((who, process, mark)).or_insert(answer_by);
    }

    /// A process has answered.
    pub fn decided(
        &mut self,
        who: usize,
        process: u64,
        mark: &str,
        outcome: Result<RevisionId, ProposalError>,
    ) {
        self.waiting.remove(&(who, process, mark.to_string()));
        if let Some(submitted) = self.proposals.get_mut(mark) {
            submitted.outcomes.push(outcome);
        }
    }

    /// A process has ended: it answers nothing any more.
    pub fn ended(&mut self, who: usize, process: u64) {
        self.waiting.retain(|(at, of, _), _| (*at, *of) != (who, process));
    }

    /// A replica says that this revision is accepted.
    pub fn saw(&mut self, who: usize, revision: &Revision) {
        let number = revision.id.number;
        let told = self.told.entry(who).or_default();
        *told = number.max(*told);
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

    /// A replica has started, and its newest revision has this number.
    pub fn started(&mut self, who: usize, newest: RevisionNumber) {
        if self.told.get(&who).is_some_and(|told| *told > newest) {
            self.breaches.lost += 1;
        }
    }

    /// What clients were told is accepted.
    pub fn accepted(&self) -> Vec<RevisionId> {
        let outcomes = self.proposals.values().flat_map(|proposal| &proposal.outcomes);
        let ids: BTreeSet<_> =
            outcomes.filter_map(|it| it.as_ref().ok()).map(|id| (id.number, id.hash)).collect();
        ids.into_iter().map(|(number, hash)| RevisionId { number, hash }).collect()
    }

    /// How often clients were told what.
    pub fn count(&self, of: fn(&Result<RevisionId, ProposalError>) -> bool) -> usize {
        self.proposals.values().flat_map(|proposal| &proposal.outcomes).filter(|outcome| of(outcome)).count()
    }

    /// The newest number that was told.
    pub fn newest(&self) -> RevisionNumber {
        self.history.keys().next_back().copied().unwrap_or_default()
    }

    /// Looks through all that was seen, at the end.
    pub fn finish(&mut self, now: Duration) {
        self.check_history();
        let mut breaches = self.breaches;
        for (mark, proposal) in &self.proposals {
            self.check_outcomes(mark, proposal, &mut breaches);
        }
        breaches.untold += self.waiting.values().filter(|by| **by < now).count();
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

    fn check_outcomes(&self, mark: &str, proposal: &Submitted, breaches: &mut Breaches) {
        let became = self.numbers.get(mark).map(|number| self.history[number].id);
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
                // It was not passed on, but it may have been when it was submitted another time.
                Err(ProposalError::NoQuorum | ProposalError::Busy) => refused |= proposal.times == 1,
                Err(ProposalError::Unknown) => {}
            }
        }
        breaches.two_outcomes += usize::from(refused && (accepted || became.is_some()));
    }
}

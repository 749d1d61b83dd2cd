//! How a view is decided. A view is numbered, and the next one is chosen by most of its members: one decision of Paxos a
//! number, with the members of the view before as acceptors. What an acceptor has promised it keeps in memory alone,
//! which is enough: a process that starts again is another life, and is in no view before one has taken it in.

use super::life::Life;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Members that come and go from one view to the next: what one datagram holds.
pub const MOST_CHANGES: usize = 12;

/// Names a view. What is built on views says which one it acted in; a later founding goes before an earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ViewId {
    /// When and by whom the fleet was founded; 0: not yet.
    pub founded: u64,
    /// Counts the views from there.
    pub number: u64,
}

/// Bits of a founding that tell its founder; those above are the Unix time in milliseconds.
pub const FOUNDER_BITS: u32 = 10;

impl ViewId {
    /// When the fleet was founded, Unix time in milliseconds.
    pub fn founded_ms(self) -> u64 {
        self.founded >> FOUNDER_BITS
    }
}

/// A member of a view, with where it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its life.
    pub life: Life,
    /// Where it hears the others.
    pub address: SocketAddr,
}

/// A line of a view as it is fetched: a member, or the last life of a name that is in it no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// It is in the view.
    There(Line),
    /// It was in an earlier one.
    Over(String, Life),
}

/// A try to decide, higher than all before; the name tells apart who tries at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Which try.
    pub round: u32,
    /// Whose.
    pub by: String,
}

/// What a view changes against the one before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Change {
    /// Where it is the first of a fleet: when that was founded.
    pub founded: Option<u64>,
    /// Members that come, or come again in another life.
    pub joins: Vec<Line>,
    /// Members that go.
    pub leaves: Vec<String>,
}

impl Change {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.joins.is_empty() && self.leaves.is_empty()
    }
}

/// A numbered set of members.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct View {
    /// Its name.
    pub id: ViewId,
    /// Its members by name.
    pub members: BTreeMap<String, Line>,
    /// The last life of each name that was in an earlier view and is not in this one as that. Guards against word of it
    /// that comes late: what is over does not come again.
    pub over: BTreeMap<String, Life>,
}

/// Names whose last life is kept. The oldest are forgotten first: word is not late by that much.
const MOST_OVER: usize = 4096;

impl View {
    /// How many are most of it.
    pub fn most(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The one after it.
    pub fn after(&self, change: &Change) -> View {
        let (mut members, mut over) = (self.members.clone(), self.over.clone());
        if change.founded.is_some() {
            // Whoever may found votes for the first view, and is in it only if it was heard.
            members.clear();
        }
        for name in &change.leaves {
            over.extend(members.remove(name).map(|line| (line.name, line.life)));
        }
        for line in change.joins.iter().filter(|line| self.takes(&line.name, line.life)) {
            let before = members.insert(line.name.clone(), line.clone());
            over.extend(before.map(|line| (line.name, line.life)));
        }
        while over.len() > MOST_OVER {
            let oldest = over.iter().min_by_key(|(_, life)| **life).map(|(name, _)| name.clone());
            oldest.and_then(|name| over.remove(&name));
        }
        let id = ViewId { founded: change.founded.unwrap_or(self.id.founded), number: self.id.number + 1 };
        View { id, members, over }
    }

    /// Whether a life may come into the next view: none before it was later.
    pub fn takes(&self, name: &str, life: Life) -> bool {
        let later = |known: Option<Life>| known.is_none_or(|known| known < life);
        later(self.over.get(name).copied()) && later(self.members.get(name).map(|line| line.life))
    }

    /// All of it, as it is fetched.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let there = self.members.values().cloned().map(Entry::There);
        there.chain(self.over.iter().map(|(name, life)| Entry::Over(name.clone(), *life)))
    }

    /// One that was fetched.
    pub fn of(id: ViewId, entries: impl IntoIterator<Item = Entry>) -> View {
        let mut view = View { id, ..View::default() };
        for entry in entries {
            match entry {
                Entry::There(line) => drop(view.members.insert(line.name.clone(), line)),
                Entry::Over(name, life) => view.over.extend([(name, life)]),
            }
        }
        view
    }
}

/// What one member of a view has promised and accepted of the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<(Ballot, Change)>,
}

impl Acceptor {
    /// A vote for a ballot, unless a higher one has it: what was accepted before.
    pub fn prepare(&mut self, ballot: &Ballot) -> Option<Option<(Ballot, Change)>> {
        if *ballot < self.promised {
            return None;
        }
        self.promised = ballot.clone();
        Some(self.accepted.clone())
    }

    /// Accepts a change, unless a higher ballot has this vote.
    pub fn propose(&mut self, ballot: &Ballot, change: &Change) -> bool {
        if *ballot < self.promised {
            return false;
        }
        self.promised = ballot.clone();
        self.accepted = Some((ballot.clone(), change.clone()));
        true
    }

    /// The highest ballot that was seen.
    pub fn promised(&self) -> &Ballot {
        &self.promised
    }
}

/// A vote, as it comes back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Vote {
    accepted: Option<(Ballot, Change)>,
    objects: BTreeSet<String>,
}

/// One try of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Its ballot.
    pub ballot: Ballot,
    /// What it would change.
    wanted: Change,
    votes: BTreeMap<String, Vote>,
    /// What it proposed, once most had voted.
    pub proposed: Option<Change>,
    accepted: BTreeSet<String>,
}

impl Proposal {
    /// Begins one.
    pub fn new(ballot: Ballot, wanted: Change) -> Self {
        Proposal { ballot, wanted, votes: BTreeMap::new(), proposed: None, accepted: BTreeSet::new() }
    }

    /// Members that it would take out.
    pub fn leaves(&self) -> &[String] {
        &self.wanted.leaves
    }

    /// A vote came. What is to be proposed now, if most have voted: what was accepted at the highest ballot, else what
    /// is wanted, less the members for whose going not most of the view are. An empty change is proposed to nobody.
    pub fn vote(
        &mut self,
        view: &View,
        from: &str,
        accepted: Option<(Ballot, Change)>,
        objects: impl IntoIterator<Item = String>,
    ) -> Option<Change> {
        if self.proposed.is_some() || !view.members.contains_key(from) {
            return None;
        }
        self.votes.insert(from.to_string(), Vote { accepted, objects: objects.into_iter().collect() });
        if self.votes.len() < view.most() {
            return None;
        }
        let accepted = self.votes.values().filter_map(|vote| vote.accepted.as_ref());
        let change = match accepted.max_by(|a, b| a.0.cmp(&b.0)) {
            Some((_, change)) => change.clone(),
            None => {
                let agreed = |name: &String| {
                    self.votes.values().filter(|vote| !vote.objects.contains(name)).count() >= view.most()
                };
                let leaves = self.wanted.leaves.iter().filter(|name| agreed(name)).cloned().collect();
                Change { leaves, ..self.wanted.clone() }
            }
        };
        if change.is_empty() {
            return None;
        }
        self.proposed = Some(change.clone());
        Some(change)
    }

    /// It was accepted by a member: the change, once most of the view have.
    pub fn accepted(&mut self, view: &View, from: &str) -> Option<Change> {
        let change = self.proposed.as_ref().filter(|_| view.members.contains_key(from))?;
        self.accepted.insert(from.to_string());
        (self.accepted.len() >= view.most()).then(|| change.clone())
    }
}

#[cfg(test)]
mod tests;

//! Views, and the Paxos roles that decide them. Views are numbered; each is decided by one Paxos instance with the
//! members of the preceding view as acceptors. Acceptors keep their promises in memory only. That suffices, since a
//! restarted process is another generation and has no vote before a view has admitted it.
//!
//! The serialized names must not change: the schema of an upgrade (`upgrade::frame::SCHEMA`) is checked against them.

use super::update::Generation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of members that join and leave from one view to the next: what fits into one datagram.
pub const MAX_CHANGES: usize = 12;

/// Identifies a view; whatever depends on a view refers to it by this. Views are ordered by bootstrap, then by number: a
/// view of a later bootstrap supersedes all of an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ViewId {
    /// When and by which member the fleet was bootstrapped; 0 before that. See [`BOOTSTRAPPER_BITS`].
    #[serde(rename = "founded")]
    pub bootstrap: u64,
    /// Number of the view, counted from the bootstrap.
    pub number: u64,
}

/// Number of low bits of a bootstrap that identify the member; those above are the Unix time in milliseconds.
pub const BOOTSTRAPPER_BITS: u32 = 10;

impl ViewId {
    /// When the fleet was bootstrapped, as Unix time in milliseconds.
    pub fn bootstrapped_ms(self) -> u64 {
        self.bootstrap >> BOOTSTRAPPER_BITS
    }
}

/// A member of a view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewMember {
    /// Its name.
    pub name: String,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: Generation,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

/// An entry of a view in a fetched page: a member, or the last generation of a name that has been removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewEntry {
    /// A member of the view.
    #[serde(rename = "There")]
    Member(ViewMember),
    /// A name that was in an earlier view, with its last generation there.
    #[serde(rename = "Over")]
    Ended(String, Generation),
}

/// A Paxos proposal number, ordered by round; the name of the proposer breaks ties.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Incremented with each proposal.
    pub round: u32,
    /// The proposer.
    pub by: String,
}

/// The difference between a view and the preceding one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Change {
    /// Only for the first view of a fleet: its bootstrap, see [`ViewId::bootstrap`].
    #[serde(rename = "founded")]
    pub bootstrap: Option<u64>,
    /// Members that join, or join again as another generation.
    pub joins: Vec<ViewMember>,
    /// Names of the members that are removed.
    pub leaves: Vec<String>,
}

impl Change {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.joins.is_empty() && self.leaves.is_empty()
    }
}

/// A view: a numbered set of members.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct View {
    /// Its identifier.
    pub id: ViewId,
    /// Its members, by name.
    pub members: BTreeMap<String, ViewMember>,
    /// The last generation of each name that an earlier view had and this one has not. It keeps a delayed update from
    /// bringing back a generation that has ended.
    pub ended: BTreeMap<String, Generation>,
}

/// Maximum number of names whose last generation is kept. The oldest are forgotten first: no update is delayed by that
/// much.
const MAX_ENDED: usize = 4096;

impl View {
    /// Number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The view that follows this one by a change.
    pub fn after(&self, change: &Change) -> View {
        let (mut members, mut ended) = (self.members.clone(), self.ended.clone());
        if change.bootstrap.is_some() {
            // The seeds vote for the first view, but are members of it only if they join.
            members.clear();
        }
        for name in &change.leaves {
            ended.extend(members.remove(name).map(|listed| (listed.name, listed.generation)));
        }
        for listed in change.joins.iter().filter(|listed| self.admits(&listed.name, listed.generation)) {
            let before = members.insert(listed.name.clone(), listed.clone());
            ended.extend(before.map(|listed| (listed.name, listed.generation)));
        }
        while ended.len() > MAX_ENDED {
            let oldest =
                ended.iter().min_by_key(|(_, generation)| **generation).map(|(name, _)| name.clone());
            oldest.and_then(|name| ended.remove(&name));
        }
        let id =
            ViewId { bootstrap: change.bootstrap.unwrap_or(self.id.bootstrap), number: self.id.number + 1 };
        View { id, members, ended }
    }

    /// Whether a generation may join: it is later than the last one of its name in this view and in earlier ones.
    pub fn admits(&self, name: &str, generation: Generation) -> bool {
        let later = |known: Option<Generation>| known.is_none_or(|known| known < generation);
        later(self.ended.get(name).copied()) && later(self.members.get(name).map(|listed| listed.generation))
    }

    /// All entries, in the order in which they are fetched.
    pub fn entries(&self) -> impl Iterator<Item = ViewEntry> + '_ {
        let members = self.members.values().cloned().map(ViewEntry::Member);
        members.chain(self.ended.iter().map(|(name, generation)| ViewEntry::Ended(name.clone(), *generation)))
    }

    /// A view made of fetched entries.
    pub fn from_entries(id: ViewId, entries: impl IntoIterator<Item = ViewEntry>) -> View {
        let mut view = View { id, ..View::default() };
        for entry in entries {
            match entry {
                ViewEntry::Member(listed) => drop(view.members.insert(listed.name.clone(), listed)),
                ViewEntry::Ended(name, generation) => view.ended.extend([(name, generation)]),
            }
        }
        view
    }
}

/// The Paxos acceptor of one member: what it has promised and accepted for the next view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<(Ballot, Change)>,
}

impl Acceptor {
    /// Phase 1: promises a ballot and returns the change accepted before, if any; `None` if a higher one is promised.
    pub fn prepare(&mut self, ballot: &Ballot) -> Option<Option<(Ballot, Change)>> {
        if *ballot < self.promised {
            return None;
        }
        self.promised = ballot.clone();
        Some(self.accepted.clone())
    }

    /// Phase 2: accepts a change and returns true, unless a higher ballot is promised.
    pub fn accept(&mut self, ballot: &Ballot, change: &Change) -> bool {
        if *ballot < self.promised {
            return false;
        }
        self.promised = ballot.clone();
        self.accepted = Some((ballot.clone(), change.clone()));
        true
    }

    /// The highest ballot promised or accepted.
    pub fn promised(&self) -> &Ballot {
        &self.promised
    }
}

/// A promise received by the proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Vote {
    accepted: Option<(Ballot, Change)>,
    objections: BTreeSet<String>,
}

/// The Paxos proposer of one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// The ballot.
    pub ballot: Ballot,
    /// The change to propose unless an earlier proposal has to be completed.
    desired: Change,
    votes: BTreeMap<String, Vote>,
    /// The proposed change, once a majority has promised.
    pub proposed: Option<Change>,
    accepted: BTreeSet<String>,
}

impl Proposal {
    /// A proposal without votes.
    pub fn new(ballot: Ballot, desired: Change) -> Self {
        Proposal { ballot, desired, votes: BTreeMap::new(), proposed: None, accepted: BTreeSet::new() }
    }

    /// Names of the members that it would remove.
    pub fn leaves(&self) -> &[String] {
        &self.desired.leaves
    }

    /// Adds a promise. Returns the change to propose once a majority has promised: the one accepted at the highest
    /// ballot, else the desired one without the removals that no majority of the view agrees to. An empty change is not
    /// proposed.
    pub fn add_vote(
        &mut self,
        view: &View,
        from: &str,
        accepted: Option<(Ballot, Change)>,
        objections: impl IntoIterator<Item = String>,
    ) -> Option<Change> {
        if self.proposed.is_some() || !view.members.contains_key(from) {
            return None;
        }
        self.votes.insert(from.to_string(), Vote { accepted, objections: objections.into_iter().collect() });
        if self.votes.len() < view.majority() {
            return None;
        }
        let accepted = self.votes.values().filter_map(|vote| vote.accepted.as_ref());
        let change = match accepted.max_by(|a, b| a.0.cmp(&b.0)) {
            Some((_, change)) => change.clone(),
            None => {
                let agreed = |name: &String| {
                    self.votes.values().filter(|vote| !vote.objections.contains(name)).count()
                        >= view.majority()
                };
                let leaves = self.desired.leaves.iter().filter(|name| agreed(name)).cloned().collect();
                Change { leaves, ..self.desired.clone() }
            }
        };
        if change.is_empty() {
            return None;
        }
        self.proposed = Some(change.clone());
        Some(change)
    }

    /// Adds an acceptance by a member. Returns the decided change once a majority of the view has accepted it.
    pub fn add_accepted(&mut self, view: &View, from: &str) -> Option<Change> {
        let change = self.proposed.as_ref().filter(|_| view.members.contains_key(from))?;
        self.accepted.insert(from.to_string());
        (self.accepted.len() >= view.majority()).then(|| change.clone())
    }
}

#[cfg(test)]
mod tests;

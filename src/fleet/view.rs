//! How a view is decided. A view is numbered, and the next one is chosen by most of its members: one decision of Paxos
//! a number, with the members of the view before as acceptors. What an acceptor has promised it keeps in memory alone,
//! which is enough: a process that starts again is another generation, and is in no view before one has taken it in.
//!
//! Serialized names stay as they were introduced: the schema of an upgrade (`upgrade::frame::SCHEMA`) is checked by them.

use super::update::Generation;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Members that come and go from one view to the next: what one datagram holds.
pub const MAX_CHANGES: usize = 12;

/// Identifies a view. What is built on views names the one it acted in; a later bootstrap goes before an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ViewId {
    /// When and by whom the fleet was bootstrapped; 0: not yet.
    #[serde(rename = "founded")]
    pub bootstrap: u64,
    /// Counts the views from there.
    pub number: u64,
}

/// Low bits of a bootstrap, which identify its bootstrapper; those above are the Unix time in milliseconds.
pub const BOOTSTRAPPER_BITS: u32 = 10;

impl ViewId {
    /// When the fleet was bootstrapped, Unix time in milliseconds.
    pub fn bootstrapped_ms(self) -> u64 {
        self.bootstrap >> BOOTSTRAPPER_BITS
    }
}

/// A member of a view, with where it is.
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

/// An entry of a view as it is fetched: a member, or the last generation of a name that is in it no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewEntry {
    /// It is in the view.
    #[serde(rename = "There")]
    Member(ViewMember),
    /// It was in an earlier one.
    #[serde(rename = "Over")]
    Ended(String, Generation),
}

/// A proposal number of Paxos, higher than all before; the name distinguishes proposers of one round.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Grows with each proposal.
    pub round: u32,
    /// The proposer.
    pub by: String,
}

/// What a view changes against the one before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Change {
    /// Where it is the first of a fleet: when that was bootstrapped.
    #[serde(rename = "founded")]
    pub bootstrap: Option<u64>,
    /// Members that come, or come again in another generation.
    pub joins: Vec<ViewMember>,
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
    /// Its identity.
    pub id: ViewId,
    /// Its members by name.
    pub members: BTreeMap<String, ViewMember>,
    /// The last generation of each name that was in an earlier view and is not in this one as that. Guards against late
    /// updates: a generation that has ended does not come again.
    pub ended: BTreeMap<String, Generation>,
}

/// Names whose last generation is kept. The oldest are forgotten first: no update is late by that much.
const MAX_ENDED: usize = 4096;

impl View {
    /// How many members are a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The one after it.
    pub fn after(&self, change: &Change) -> View {
        let (mut members, mut ended) = (self.members.clone(), self.ended.clone());
        if change.bootstrap.is_some() {
            // Seeds vote for the first view, and are in it only if they were heard.
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

    /// Whether a generation may come into the next view: none before it was later.
    pub fn admits(&self, name: &str, generation: Generation) -> bool {
        let later = |known: Option<Generation>| known.is_none_or(|known| known < generation);
        later(self.ended.get(name).copied()) && later(self.members.get(name).map(|listed| listed.generation))
    }

    /// All of it, as it is fetched.
    pub fn entries(&self) -> impl Iterator<Item = ViewEntry> + '_ {
        let members = self.members.values().cloned().map(ViewEntry::Member);
        members.chain(self.ended.iter().map(|(name, generation)| ViewEntry::Ended(name.clone(), *generation)))
    }

    /// One that was fetched.
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
    pub fn accept(&mut self, ballot: &Ballot, change: &Change) -> bool {
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
    objections: BTreeSet<String>,
}

/// One ballot of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Its ballot.
    pub ballot: Ballot,
    /// What it would change.
    desired: Change,
    votes: BTreeMap<String, Vote>,
    /// What it proposed, once most had voted.
    pub proposed: Option<Change>,
    accepted: BTreeSet<String>,
}

impl Proposal {
    /// Begins one.
    pub fn new(ballot: Ballot, desired: Change) -> Self {
        Proposal { ballot, desired, votes: BTreeMap::new(), proposed: None, accepted: BTreeSet::new() }
    }

    /// Members that it would take out.
    pub fn leaves(&self) -> &[String] {
        &self.desired.leaves
    }

    /// A vote came. What is to be proposed now, if most have voted: what was accepted at the highest ballot, else what
    /// is wanted, less the members for whose going not most of the view are. An empty change is proposed to nobody.
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

    /// It was accepted by a member: the change, once most of the view have.
    pub fn add_accepted(&mut self, view: &View, from: &str) -> Option<Change> {
        let change = self.proposed.as_ref().filter(|_| view.members.contains_key(from))?;
        self.accepted.insert(from.to_string());
        (self.accepted.len() >= view.majority()).then(|| change.clone())
    }
}

#[cfg(test)]
mod tests;

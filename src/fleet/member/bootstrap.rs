//! The first view of a fleet: which members decide it, how it is identified, and when a view that can no longer decide
//! anything is given up for a new first one.

use super::{Action, Member, Phase};
use crate::fleet::frame::tag;
use crate::fleet::update::Generation;
use crate::fleet::view::{Acceptor, View, ViewId, ViewMember, BOOTSTRAPPER_BITS};
use std::net::SocketAddr;
use std::time::Duration;

impl Member {
    /// The view before the first one: the seeds, which are the acceptors for the first view.
    pub(super) fn seed_view(&self) -> View {
        let listed = |(name, address): (&String, &SocketAddr)| {
            (
                name.clone(),
                ViewMember { name: name.clone(), generation: Generation::default(), address: *address },
            )
        };
        View { members: self.own.seeds.iter().map(listed).collect(), ..View::default() }
    }

    /// The identifier of a bootstrap that begins now. Two bootstraps never share one: a proposer that does not know of
    /// an earlier fleet bootstraps at another time, and two of the same millisecond differ in the bits of their names.
    pub(super) fn bootstrap_stamp(&self, now: Duration) -> u64 {
        let millis = self.own.generation.0 + now.saturating_sub(self.created).as_millis() as u64;
        (millis << BOOTSTRAPPER_BITS) | (tag(&self.own.name) & ((1 << BOOTSTRAPPER_BITS) - 1))
    }

    /// Gives up a view in which no majority is left: a generation has no vote any more once a later one has replaced it
    /// under its name.
    pub(super) fn abandon_dead_view(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.view.id == ViewId::default() {
            return;
        }
        let has_later_generation = |name: &String, generation: Generation| match *name == self.own.name {
            true => self.generation > generation,
            false => self.peers.get(name).is_some_and(|peer| peer.update.generation > generation),
        };
        let ended = self
            .view
            .members
            .values()
            .filter(|listed| has_later_generation(&listed.name, listed.generation))
            .count();
        if self.view.members.len() - ended >= self.view.majority() {
            return;
        }
        self.abandoned_view = self.view.id;
        let before = self.seed_view();
        self.view = before;
        (self.acceptor, self.proposal, self.propose_at, self.fetch) = (Acceptor::default(), None, None, None);
        let generation = self.generation.0 + 1;
        if self.phase != Phase::Leaving {
            self.begin_generation(
                now,
                Generation(generation),
                "a majority of the generations of its view has ended",
                actions,
            );
        }
    }
}

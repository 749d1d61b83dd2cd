//! The first view of a fleet: who may decide it, what names it, and when a view that can decide nothing any more is
//! given up for another first one.

use super::{Action, Member, Phase};
use crate::fleet::frame::tag;
use crate::fleet::update::Generation;
use crate::fleet::view::{Acceptor, View, ViewId, ViewMember, BOOTSTRAPPER_BITS};
use std::net::SocketAddr;
use std::time::Duration;

impl Member {
    /// Before there is a view the seeds are the acceptors of the first one.
    pub(super) fn seed_view(&self) -> View {
        let listed = |(name, address): (&String, &SocketAddr)| {
            (
                name.clone(),
                ViewMember { name: name.clone(), generation: Generation::default(), address: *address },
            )
        };
        View { members: self.own.seeds.iter().map(listed).collect(), ..View::default() }
    }

    /// Identifies a bootstrap that begins now. Guards two of them against one identity: a bootstrapper that never heard
    /// of an earlier fleet comes at another time, and two of the same moment differ in the bits of their names.
    pub(super) fn bootstrap_stamp(&self, now: Duration) -> u64 {
        let millis = self.own.generation.0 + now.saturating_sub(self.created).as_millis() as u64;
        (millis << BOOTSTRAPPER_BITS) | (tag(&self.own.name) & ((1 << BOOTSTRAPPER_BITS) - 1))
    }

    /// Gives up a view that can decide nothing any more: a generation that a later one of its name replaced has no
    /// vote.
    pub(super) fn abandon_dead_view(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.view.id == ViewId::default() {
            return;
        }
        let later = |name: &String, generation: Generation| match *name == self.own.name {
            true => self.generation > generation,
            false => self.peers.get(name).is_some_and(|peer| peer.update.generation > generation),
        };
        let ended =
            self.view.members.values().filter(|listed| later(&listed.name, listed.generation)).count();
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
                "most generations of its view have ended",
                actions,
            );
        }
    }
}

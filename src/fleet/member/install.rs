//! Installing another view: the table of peers follows it, and the member finds its own place in it.

use super::{Action, Member, Peer, Phase};
use crate::fleet::update::{Generation, MemberState, Update};
use crate::fleet::view::{Acceptor, View, ViewId, ViewMember};
use std::time::Duration;

impl Member {
    /// Installs a view, unless it is not later than the present one.
    pub(super) fn install(&mut self, now: Duration, view: View, evidence: &str, actions: &mut Vec<Action>) {
        if view.id <= self.view.id.max(self.abandoned_view) {
            return;
        }
        let before = std::mem::replace(&mut self.view, view);
        (self.acceptor, self.proposal, self.propose_at) = (Acceptor::default(), None, None);
        self.fetch = self.fetch.take().filter(|fetch| fetch.id > self.view.id);
        self.counters.views += 1;
        (self.view_may_change, self.generations_changed) = (true, true);
        let (bootstrap, number) = (self.view.id.bootstrapped_ms(), self.view.id.number);
        let evidence = format!("{evidence}, {} members, bootstrapped {bootstrap}", self.view.members.len());
        actions.push(Action::Note { name: format!("view {number}"), what: "view", evidence });
        self.note_departures(&before, actions);
        self.update_peers(now, &before);
        self.update_own_phase(now, actions);
    }

    /// Notes each generation that was in the view before and is not in this one.
    fn note_departures(&self, before: &View, actions: &mut Vec<Action>) {
        if before.id == ViewId::default() {
            return;
        }
        let stays = |listed: &ViewMember| {
            self.view.members.get(&listed.name).is_some_and(|now| now.generation == listed.generation)
        };
        for (name, listed) in before.members.iter().filter(|(_, listed)| !stays(listed)) {
            let left = self.peers.get(name).is_some_and(|it| it.update.state == MemberState::Leaving);
            let what = if left { "left" } else { "gone" };
            let evidence =
                format!("generation {} is not in view {}", listed.generation.0, self.view.id.number);
            actions.push(Action::Note { name: name.clone(), what, evidence });
        }
    }

    /// Keeps the table of peers in step with the view.
    pub(super) fn update_peers(&mut self, now: Duration, before: &View) {
        let view = &self.view;
        // A generation that was removed is forgotten with all its updates.
        self.peers.retain(|name, peer| match (view.members.get(name), before.members.get(name)) {
            (Some(listed), _) => peer.update.generation >= listed.generation,
            (None, Some(listed)) => peer.update.generation > listed.generation,
            (None, None) => true,
        });
        // The view itself tells everybody who joined: that needs no updates.
        let in_view = |update: &Update| {
            let listed =
                view.members.get(&update.name).is_some_and(|listed| listed.generation == update.generation);
            listed
                && update.incarnation == 0
                && matches!(update.state, MemberState::Joining | MemberState::Alive)
        };
        self.gossip.retain(|update| !in_view(update));
        for listed in view.members.values().filter(|listed| listed.name != self.own.name) {
            let (name, address, generation) = (listed.name.clone(), listed.address, listed.generation);
            let update = Update { name, address, generation, incarnation: 0, state: MemberState::Alive };
            match self.peers.get_mut(&listed.name) {
                Some(peer) if update.replaces(&peer.update) => peer.update = update,
                Some(_) => {}
                None => {
                    self.peers.insert(listed.name.clone(), Peer::new(update, now));
                }
            }
        }
    }

    /// Finds its own place in a view that it entered.
    fn update_own_phase(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let own = self.view.members.get(&self.own.name).map(|listed| listed.generation);
        match (self.phase, own) {
            (Phase::Joining, Some(generation)) if generation == self.generation => {
                (self.next_probe, self.last_received) = (now, now);
                self.drop_suspicions();
                self.change_phase(now, Phase::Member, "taken in", actions);
            }
            (_, Some(generation)) if generation > self.generation => {
                self.resolve_name_conflict(now, generation, actions)
            }
            (Phase::Member, own) if own != Some(self.generation) => {
                // Most could not reach it for long. It comes again, as one that was never there.
                let generation = Generation(self.generation.0 + 1);
                self.begin_generation(now, generation, "taken out of the view", actions);
            }
            (Phase::Joining, None) => {
                // It was taken in and out again before it heard of either.
                if let Some(ended) =
                    self.view.ended.get(&self.own.name).filter(|generation| **generation >= self.generation)
                {
                    let generation = Generation(ended.0 + 1);
                    self.begin_generation(now, generation, "its generation had ended", actions);
                }
            }
            (Phase::Leaving, None) => self.change_phase(now, Phase::Left, "out of the view", actions),
            _ => {}
        }
    }
}

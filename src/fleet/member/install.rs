//! Installing a view: updates the table of peers and the member's own phase.

use super::{Action, Member, Peer, Phase};
use crate::fleet::update::{Generation, MemberState, Update};
use crate::fleet::view::{Acceptor, View, ViewId, ViewMember};
use std::time::Duration;

impl Member {
    /// Installs a view if it is later than the present one and than any view that was given up.
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

    /// Logs each generation of the preceding view that is not in the present one.
    fn note_departures(&self, before: &View, actions: &mut Vec<Action>) {
        if before.id == ViewId::default() {
            return;
        }
        let is_retained = |listed: &ViewMember| {
            self.view.members.get(&listed.name).is_some_and(|now| now.generation == listed.generation)
        };
        for (name, listed) in before.members.iter().filter(|(_, listed)| !is_retained(listed)) {
            let left = self.peers.get(name).is_some_and(|it| it.update.state == MemberState::Leaving);
            let what = if left { "left" } else { "gone" };
            let evidence =
                format!("generation {} is not in view {}", listed.generation.0, self.view.id.number);
            actions.push(Action::Note { name: name.clone(), what, evidence });
        }
    }

    /// Makes the table of peers follow the installed view.
    pub(super) fn update_peers(&mut self, now: Duration, before: &View) {
        let view = &self.view;
        // Forgets generations that the view has removed, with their updates.
        self.peers.retain(|name, peer| match (view.members.get(name), before.members.get(name)) {
            (Some(listed), _) => peer.update.generation >= listed.generation,
            (None, Some(listed)) => peer.update.generation > listed.generation,
            (None, None) => true,
        });
        // The view itself announces the joined members: no updates about them need to be disseminated.
        let in_view = |update: &Update| {
            let current =
                view.members.get(&update.name).is_some_and(|listed| listed.generation == update.generation);
            current
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

    /// Adapts the phase and generation of this member to whether the installed view has it.
    fn update_own_phase(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let own = self.view.members.get(&self.own.name).map(|listed| listed.generation);
        match (self.phase, own) {
            (Phase::Joining, Some(generation)) if generation == self.generation => {
                (self.next_probe, self.last_received) = (now, now);
                self.drop_suspicions();
                self.change_phase(now, Phase::Member, "admitted to the view", actions);
            }
            (_, Some(generation)) if generation > self.generation => {
                self.resolve_name_conflict(now, generation, actions)
            }
            (Phase::Member, own) if own != Some(self.generation) => {
                // A majority could not reach this member for the suspicion timeout. It joins again as a new generation.
                let generation = Generation(self.generation.0 + 1);
                self.begin_generation(now, generation, "removed from the view", actions);
            }
            (Phase::Joining, None) => {
                // It was admitted and removed again before it received either view.
                if let Some(ended) =
                    self.view.ended.get(&self.own.name).filter(|generation| **generation >= self.generation)
                {
                    let generation = Generation(ended.0 + 1);
                    self.begin_generation(now, generation, "its generation had ended", actions);
                }
            }
            (Phase::Leaving, None) => self.change_phase(now, Phase::Left, "no longer in the view", actions),
            _ => {}
        }
    }
}

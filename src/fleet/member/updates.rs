//! Incoming updates about other members and about this one.

use super::{Action, Member, Peer, Phase, MAX_MEMBERS};
use crate::fleet::frame::Message;
use crate::fleet::update::{MemberState, Update};
use std::time::Duration;

impl Member {
    /// Applies a received update.
    pub(super) fn receive_update(&mut self, now: Duration, update: Update, actions: &mut Vec<Action>) {
        if update.name == self.own.name {
            return self.receive_own_update(now, &update, actions);
        }
        let in_view =
            self.view.members.get(&update.name).is_some_and(|listed| listed.generation == update.generation);
        let suspected = matches!(update.state, MemberState::Suspect { .. });
        // Ignores updates of a generation that has ended, and suspicions of one that has not joined.
        if self.has_ended(&update) || (suspected && !in_view) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&update.name) else {
            return self.add_peer(now, update, actions);
        };
        if !in_view && update.generation >= peer.update.generation {
            // It still asks to join.
            peer.last_announced = now;
        }
        if update.replaces(&peer.update) {
            self.replace(now, update, actions);
        } else if suspected
            && update.generation == peer.update.generation
            && update.incarnation == peer.update.incarnation
        {
            self.suspect(now, &update, actions);
        }
    }

    /// Whether an update is of a generation that a view has removed, or that a later one has replaced in the view.
    fn has_ended(&self, update: &Update) -> bool {
        self.view.members.get(&update.name).is_some_and(|listed| listed.generation > update.generation)
            || self.view.ended.get(&update.name).is_some_and(|generation| *generation >= update.generation)
    }

    /// Adds a peer that was not known yet.
    fn add_peer(&mut self, now: Duration, update: Update, actions: &mut Vec<Action>) {
        if self.peers.len() >= MAX_MEMBERS {
            return;
        }
        self.peers.insert(update.name.clone(), Peer::new(update.clone(), now));
        self.view_may_change = true;
        self.enqueue(update.clone());
        if matches!(update.state, MemberState::Suspect { .. }) {
            self.suspect(now, &update, actions);
        }
    }

    /// Applies an update that overrides the known one.
    fn replace(&mut self, now: Duration, update: Update, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&update.name) else { return };
        let new_generation = update.generation != peer.update.generation;
        // Within a generation the address stays, so that a forged update cannot redirect a member's datagrams.
        let address = if new_generation { update.address } else { peer.update.address };
        let update = Update { address, ..update };
        if new_generation {
            (peer.last_received, peer.last_ack, peer.last_indirect_ack) = (None, None, None);
        }
        peer.update = update.clone();
        if matches!(update.state, MemberState::Suspect { .. }) {
            return self.suspect(now, &update, actions);
        }
        peer.faulty = false;
        if peer.suspicion.take().is_some() && !new_generation {
            let evidence = format!("incarnation {}", update.incarnation);
            actions.push(Action::Note { name: update.name.clone(), what: "refuted", evidence });
        }
        (self.view_may_change, self.generations_changed) = (true, self.generations_changed || new_generation);
        self.enqueue(update);
    }

    /// Handles an update about this member: refutes a suspicion, and detects another process with the same name by its
    /// later generation.
    fn receive_own_update(&mut self, now: Duration, update: &Update, actions: &mut Vec<Action>) {
        if update.generation > self.generation {
            return self.resolve_name_conflict(now, update.generation, actions);
        }
        let suspected = matches!(update.state, MemberState::Suspect { .. });
        if update.generation == self.generation
            && suspected
            && update.incarnation >= self.incarnation
            && self.phase == Phase::Member
        {
            self.refute(update.incarnation, actions);
        }
    }

    /// Refutes a suspicion of this incarnation with a higher one.
    fn refute(&mut self, incarnation: u32, actions: &mut Vec<Action>) {
        self.incarnation = incarnation + 1;
        self.counters.refuted += 1;
        let update = self.own_update();
        self.enqueue(update);
        // Sends it to a few members at once: a member of bad health probes rarely, and the refutation must not wait.
        for to in self.random_members(self.own.helpers) {
            self.send(to, Message::Ping(0), actions);
        }
    }
}

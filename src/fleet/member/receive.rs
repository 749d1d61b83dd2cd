//! Incoming datagrams: checks that one comes from its sender's address, and dispatches its message.

use super::{Action, Member, Phase};
use crate::fleet::frame::{Frame, Message};
use crate::fleet::update::{Generation, Update};
use crate::fleet::view::ViewId;
use std::net::SocketAddr;
use std::time::Duration;

/// The sender of a datagram.
#[derive(Clone, Copy)]
pub(super) struct Sender<'a> {
    pub(super) name: &'a str,
    pub(super) generation: Generation,
    /// The view that it has installed.
    pub(super) view: ViewId,
    /// The source address of the datagram.
    pub(super) address: SocketAddr,
}

impl Member {
    /// Handles a datagram: checks its sender, applies its updates, then handles its message.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        frame: Frame,
        source: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let Frame { from, generation, view, message, updates } = frame;
        if from == self.own.name {
            // Another process uses this name, or a datagram of this member was sent back.
            return self.resolve_name_conflict(now, generation, actions);
        }
        let sender = Sender { name: &from, generation, view, address: source };
        // Rejects datagrams that claim a member's name but come from another address.
        if self.known_address(sender, &updates) != Some(source) {
            self.counters.wrong_source += 1;
            return;
        }
        if self.phase == Phase::Superseded {
            return;
        }
        self.last_received = now;
        for update in updates {
            self.receive_update(now, update, actions);
        }
        if let Some(peer) = self.peers.get_mut(&from).filter(|peer| peer.update.generation == generation) {
            peer.last_received = Some(now);
        }
        if view > self.view.id.max(self.abandoned_view) {
            self.request_view(now, sender, actions);
        }
        self.dispatch(now, sender, message, actions);
    }

    /// The address that a sender must have: the known one of this generation or a later one, else the one in its own
    /// update, else the one in the view.
    fn known_address(&self, sender: Sender, updates: &[Update]) -> Option<SocketAddr> {
        let known = self.peers.get(sender.name).filter(|peer| peer.update.generation >= sender.generation);
        let introduces =
            updates.iter().find(|it| it.name == sender.name && it.generation == sender.generation);
        let listed = self.view.members.get(sender.name).map(|listed| listed.address);
        known.map(|peer| peer.update.address).or(introduces.map(|it| it.address)).or(listed)
    }

    /// Dispatches a message to its handler.
    fn dispatch(&mut self, now: Duration, sender: Sender, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Ping(number) => self.send(sender.address, Message::Ack(number), actions),
            Message::Ack(number) => self.receive_ack(now, number, sender.name, actions),
            Message::IndirectProbe { number, name: _, address } => {
                self.relay_probe(now, number, address, sender.address, actions);
            }
            Message::IndirectResult { number, reachable } => {
                self.receive_indirect_result(now, number, reachable, sender.name, actions)
            }
            Message::Join => self.answer_join(sender, actions),
            Message::NameTaken(theirs) if self.phase == Phase::Joining && theirs >= self.generation => {
                self.begin_generation(
                    now,
                    Generation(theirs.0 + 1),
                    "its name was used by another generation",
                    actions,
                );
            }
            Message::NameTaken(_) => {}
            Message::Fetch(page) => self.serve_page(page, sender.address, actions),
            Message::Page { page, pages, entries } => {
                self.receive_page(now, sender, (page, pages, entries), actions);
            }
            Message::Prepare { .. }
            | Message::Promise { .. }
            | Message::Propose { .. }
            | Message::Accepted(_) => {
                if self.can_vote(sender) {
                    self.receive_vote(now, sender, message, actions);
                }
            }
            Message::Decided { after, change } if after == self.view.id => {
                let next = self.view.after(&change);
                self.install(now, next, &format!("announced by {}", sender.name), actions);
            }
            Message::Decided { .. } => {}
        }
    }

    /// Answers a joining process: its name is in use, or an ack, whose header names the present view.
    fn answer_join(&mut self, sender: Sender, actions: &mut Vec<Action>) {
        let listed = self.view.members.get(sender.name);
        let taken = listed.filter(|listed| {
            listed.generation > sender.generation
                || (listed.generation == sender.generation && listed.address != sender.address)
        });
        let answer = match taken.map(|listed| listed.generation) {
            Some(generation) if self.view.id != ViewId::default() => Message::NameTaken(generation),
            _ => Message::Ack(0),
        };
        self.send(sender.address, answer, actions);
    }
}

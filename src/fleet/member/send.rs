//! Outgoing datagrams: a message to one address, with piggybacked updates.

use super::{Action, Member, Phase};
use crate::fleet::frame::{Frame, Message};
use crate::fleet::update::{MemberState, Update};
use std::net::SocketAddr;

impl Member {
    /// Sends a message; probe messages carry queued updates.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message, actions: &mut Vec<Action>) {
        let updates = match message {
            // The own update identifies the sender to a receiver that does not have this view yet.
            Message::Ping(_) => [vec![self.own_update()], self.gossip.next_batch()].concat(),
            Message::Ack(_) | Message::IndirectProbe { .. } | Message::IndirectResult { .. } => {
                self.gossip.next_batch()
            }
            Message::Join | Message::NameTaken(_) | Message::Fetch(_) => vec![self.own_update()],
            _ => Vec::new(),
        };
        let (from, generation, view) = (self.own.name.clone(), self.generation, self.view.id);
        actions.push(Action::Send(to, Frame { from, generation, view, message, updates }));
    }

    /// The update about this member.
    pub(super) fn own_update(&self) -> Update {
        let state = match self.phase {
            Phase::Member => MemberState::Alive,
            Phase::Leaving => MemberState::Leaving,
            _ => MemberState::Joining,
        };
        let (name, address) = (self.own.name.clone(), self.own.address);
        Update { name, address, generation: self.generation, incarnation: self.incarnation, state }
    }
}

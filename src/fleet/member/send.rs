//! What goes out: a word to one address, with the updates that go along.

use super::{Action, Member, Phase};
use crate::fleet::frame::{Frame, Word};
use crate::fleet::life::{Rumor, Standing};
use std::net::SocketAddr;

impl Member {
    /// Says something, with rumors where they fit.
    pub(super) fn say(&mut self, to: SocketAddr, word: Word, actions: &mut Vec<Action>) {
        let rumors = match word {
            // Who has not heard of this view yet learns whose word it is.
            Word::Ping(_) => [vec![self.rumor()], self.gossip.next_batch()].concat(),
            Word::Ack(_) | Word::Look { .. } | Word::Found { .. } => self.gossip.next_batch(),
            Word::Join | Word::Taken(_) | Word::Fetch(_) => vec![self.rumor()],
            _ => Vec::new(),
        };
        let (from, life, view) = (self.own.name.clone(), self.life, self.view.id);
        actions.push(Action::Send(to, Frame { from, life, view, word, rumors }));
    }

    /// What this member says of itself.
    pub(super) fn rumor(&self) -> Rumor {
        let standing = match self.phase {
            Phase::Member => Standing::Alive,
            Phase::Leaving => Standing::Leaving,
            _ => Standing::Joining,
        };
        let (name, address) = (self.own.name.clone(), self.own.address);
        Rumor { name, address, life: self.life, claim: self.claim, standing }
    }
}

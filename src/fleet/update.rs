//! What is disseminated about a member: its name, its generation, where it is, and its state. Later updates replace
//! earlier ones.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A name is not longer.
pub const MAX_NAME_BYTES: usize = 32;

/// One run of a process under a name. A process that starts again is another generation, and no generation ends twice:
/// whoever was taken out of a view and still runs joins as a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// The state of a member, as somebody states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It asks to be taken into the view.
    Joining,
    /// It is there.
    Alive,
    /// It gave no answer to this witness.
    Suspect {
        /// Whose suspicion it is.
        by: String,
    },
    /// It leaves, as it announced itself.
    Leaving,
}

/// One update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Its name.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Its generation.
    pub generation: Generation,
    /// Grows each time that it contradicts a suspicion.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

impl Update {
    /// Whether this is news to somebody who knows the other. Guards against old updates that come late or twice: within
    /// a generation a suspicion beats the incarnation it was raised against, a higher incarnation beats the suspicion,
    /// and leaving is final.
    pub fn replaces(&self, known: &Update) -> bool {
        let rank = |state: &MemberState| match state {
            MemberState::Joining => 0,
            MemberState::Alive => 1,
            MemberState::Suspect { .. } => 2,
            MemberState::Leaving => 3,
        };
        let leaves = |update: &Update| update.state == MemberState::Leaving;
        if self.generation != known.generation {
            return self.generation > known.generation;
        }
        match (leaves(self), leaves(known)) {
            (new, old) if new != old => new,
            _ => (self.incarnation, rank(&self.state)) > (known.incarnation, rank(&known.state)),
        }
    }

    /// Whether it can be one: bounds of what comes from outside.
    pub fn is_valid(&self) -> bool {
        let named = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let witness = match &self.state {
            MemberState::Suspect { by } => named(by),
            _ => true,
        };
        named(&self.name) && witness && self.address.port() != 0
    }
}

#[cfg(test)]
mod tests;

//! What is said of a member: its name, which of its lives, where it is, and how it stands. Later word replaces earlier.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A name is not longer.
pub const LONGEST_NAME: usize = 32;

/// One run of a process under a name. A process that starts again is another life, and no life ends twice: whoever was
/// taken out of a view and is still there comes again as a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Life(pub u64);

/// How a member stands, as somebody says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It asks to be taken into the view.
    Joining,
    /// It is there.
    Alive,
    /// It gave no answer to this witness.
    Suspect {
        /// Whose doubt it is.
        by: String,
    },
    /// It goes, by its own word.
    Leaving,
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumor {
    /// Its name.
    pub name: String,
    /// Where it hears the others.
    pub address: SocketAddr,
    /// Which of its lives.
    pub life: Life,
    /// Grows each time that it contradicts a doubt.
    pub claim: u32,
    /// How it stands.
    pub standing: Standing,
}

impl Rumor {
    /// Whether this is news to somebody who knows the other. Guards against old word that comes late or twice: of one
    /// life a doubt beats the claim it was raised against, a higher claim beats the doubt, and who leaves has left.
    pub fn replaces(&self, known: &Rumor) -> bool {
        let rank = |standing: &Standing| match standing {
            Standing::Joining => 0,
            Standing::Alive => 1,
            Standing::Suspect { .. } => 2,
            Standing::Leaving => 3,
        };
        let leaves = |rumor: &Rumor| rumor.standing == Standing::Leaving;
        if self.life != known.life {
            return self.life > known.life;
        }
        match (leaves(self), leaves(known)) {
            (new, old) if new != old => new,
            _ => (self.claim, rank(&self.standing)) > (known.claim, rank(&known.standing)),
        }
    }

    /// Whether it can be one: bounds of what comes from outside.
    pub fn is_sound(&self) -> bool {
        let named = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
        let witness = match &self.standing {
            Standing::Suspect { by } => named(by),
            _ => true,
        };
        named(&self.name) && witness && self.address.port() != 0
    }
}

#[cfg(test)]
mod tests;

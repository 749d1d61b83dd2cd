//! Updates: the name, generation, address and state of a member, as disseminated by piggybacking. A later update
//! replaces an earlier one.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 32;

/// Identifies one membership under a name; initially the Unix time in milliseconds when the process started. A
/// restarted process has a later generation, and so has a process that was removed from the view while still running
/// and joins again: a removed generation never comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// The state of a member, as an update claims it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It asks to be admitted to the view.
    Joining,
    /// It is in the view and not suspected.
    Alive,
    /// It did not answer a probe of the named member.
    Suspect {
        /// The witness: the member that raised this suspicion.
        by: String,
    },
    /// It has announced that it leaves.
    Leaving,
}

/// One update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member that the update is about.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Its generation.
    pub generation: Generation,
    /// Incremented by the member itself each time that it refutes a suspicion.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

impl Update {
    /// Whether this update overrides `known`, so that delayed and duplicated updates have no effect. A later generation
    /// overrides an earlier one. Within a generation a suspicion overrides the incarnation that it names, a higher
    /// incarnation overrides the suspicion, and leaving is final.
    pub fn replaces(&self, known: &Update) -> bool {
        let rank = |state: &MemberState| match state {
            MemberState::Joining => 0,
            MemberState::Alive => 1,
            MemberState::Suspect { .. } => 2,
            MemberState::Leaving => 3,
        };
        let is_leaving = |update: &Update| update.state == MemberState::Leaving;
        if self.generation != known.generation {
            return self.generation > known.generation;
        }
        match (is_leaving(self), is_leaving(known)) {
            (new, old) if new != old => new,
            _ => (self.incarnation, rank(&self.state)) > (known.incarnation, rank(&known.state)),
        }
    }

    /// Whether a received update is within bounds: names of 1 to [`MAX_NAME_BYTES`] bytes and a port.
    pub fn is_valid(&self) -> bool {
        let valid_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let witness = match &self.state {
            MemberState::Suspect { by } => valid_name(by),
            _ => true,
        };
        valid_name(&self.name) && witness && self.address.port() != 0
    }
}

#[cfg(test)]
mod tests;

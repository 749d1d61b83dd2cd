//! The log and the snapshot of a replica on disk: a `redb` database, one transaction a step, on disk before it returns.
//!
//! A replica writes a [`Batch`] before it says anything that rests on it, and reads all of it back once, at its start.
//! [`DiskStore`] keeps it on disk, [`MemoryStore`] in memory, for simulations. What was applied needs no index of its own:
//! it is the snapshot and the entries after it, up to the commit index of the hard state.

mod disk;
mod memory;
mod state;
#[cfg(test)]
mod tests;

pub use disk::{DiskStore, FILE_NAME};
pub use memory::{Failure, MemoryStore};
pub use raft::eraftpb::{Entry, HardState, Snapshot};
pub use state::StoredState;

use super::agreement::VoterId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// The store failed, or what it holds can't be used: one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(pub String);

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::error::Error for StoreError {}

/// Names one group of planners that agree with each other: messages and stores of another group are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupId(pub [u8; 16]);

impl GroupId {
    /// The group of these planners: the first half of the SHA-256 of their names in sorted order.
    pub fn from_names<'a>(names: impl IntoIterator<Item = &'a str>) -> GroupId {
        let mut names: Vec<&str> = names.into_iter().collect();
        names.sort_unstable();
        let mut hash = Sha256::new();
        for name in names {
            hash.update((name.len() as u64).to_le_bytes());
            hash.update(name);
        }
        let digest = hash.finalize();
        let mut id = [0; 16];
        id.copy_from_slice(&digest[..16]);
        GroupId(id)
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Whose store it is. It is written once, when the store is created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The group.
    pub group: GroupId,
    /// The voter whose votes and log it holds.
    pub voter: VoterId,
    /// All voters of the group, in ascending order.
    pub voters: Vec<VoterId>,
}

impl Identity {
    /// Checks that the voters are 1, 3 or 5, ascending, not zero, and that the voter is one of them.
    ///
    /// # Errors
    ///
    /// One line that says which of this does not hold.
    pub fn check(&self) -> Result<(), StoreError> {
        let refuse =
            |why: &str| Err(StoreError(format!("voter {} of {:?}: {why}", self.voter.0, self.ids())));
        if ![1, 3, 5].contains(&self.voters.len()) {
            return refuse("1, 3 or 5 voters are allowed");
        }
        if self.voters[0].0 == 0 || self.voters.windows(2).any(|pair| pair[0] >= pair[1]) {
            return refuse("the voters are to be ascending and above 0");
        }
        if !self.voters.contains(&self.voter) {
            return refuse("the voter is none of the voters");
        }
        Ok(())
    }

    /// The voters' numbers.
    pub fn ids(&self) -> Vec<u64> {
        self.voters.iter().map(|voter| voter.0).collect()
    }
}

/// A new snapshot, and what becomes of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotChange {
    /// It came from the leader and replaces the whole log.
    Installed(Snapshot),
    /// It was made here and replaces the entries up to its index; those after it stay.
    Compacted(Snapshot),
}

/// What one step changes. It is written as a whole or not at all, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// A new snapshot.
    pub snapshot: Option<SnapshotChange>,
    /// New entries of the log; what it has from the first one's index on is replaced.
    pub entries: Vec<Entry>,
    /// A new term, vote or commit index.
    pub hard_state: Option<HardState>,
}

impl Batch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// Where a replica keeps its log, its vote and its snapshot.
pub trait ReplicaStore {
    /// Whose store it is.
    fn identity(&self) -> &Identity;

    /// All that it holds.
    ///
    /// # Errors
    ///
    /// It can't be read, or what is read does not fit together.
    fn load(&self) -> Result<StoredState, StoreError>;

    /// Writes a batch. It is durable when this returns, and after a crash it is there as a whole or not at all.
    ///
    /// # Errors
    ///
    /// It could not be written. Whether it is there is known only after the next [`ReplicaStore::load`].
    fn write(&mut self, batch: &Batch) -> Result<(), StoreError>;
}

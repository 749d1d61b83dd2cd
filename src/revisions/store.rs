//! Durable state of a Raft replica: its log, snapshot and hard state (term, vote and commit index).
//!
//! A replica writes a [`Batch`] before it sends any message that depends on it, and reads everything back once, when it
//! starts. [`DiskStore`] keeps the state in a `redb` database, with one durable transaction per batch; [`MemoryStore`]
//! keeps it in memory, for simulations. No applied index is stored: the applied state is the snapshot and the entries
//! after it, up to the commit index of the hard state.

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

/// One line that says why a store failed or why its content can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError(pub String);

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::error::Error for StoreError {}

/// Identifies one group of planners that run Raft together: messages and stores of another group are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupId(pub [u8; 16]);

impl GroupId {
    /// Returns the id of the group of these planners: the first half of the SHA-256 of their names in sorted order,
    /// each after its length.
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

/// The voter and the group that a store belongs to. It is written once, when the store is created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The group.
    pub group: GroupId,
    /// The voter whose votes and log the store holds.
    pub voter: VoterId,
    /// All voters of the group, in ascending order.
    pub voters: Vec<VoterId>,
}

impl Identity {
    /// Checks that there are 1, 3 or 5 voters, that their ids are ascending and above zero, and that `voter` is one of
    /// them.
    ///
    /// # Errors
    ///
    /// One line that names the first condition that is not met.
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

    /// The voters' ids as the `raft` crate has them.
    pub fn ids(&self) -> Vec<u64> {
        self.voters.iter().map(|voter| voter.0).collect()
    }
}

/// A new snapshot, and how it changes the log.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotChange {
    /// A snapshot from the leader, which replaces the whole log.
    Installed(Snapshot),
    /// A snapshot made by this replica, which replaces the entries up to its index; later entries stay.
    Compacted(Snapshot),
}

/// The changes of one step, written atomically. They apply in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// A new snapshot.
    pub snapshot: Option<SnapshotChange>,
    /// New log entries; existing entries from the first one's index on are replaced.
    pub entries: Vec<Entry>,
    /// The new term, vote and commit index.
    pub hard_state: Option<HardState>,
}

impl Batch {
    /// Whether the batch changes nothing.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// Durable storage for a replica's log, hard state and snapshot.
pub trait ReplicaStore {
    /// The voter and the group that the store belongs to.
    fn identity(&self) -> &Identity;

    /// Reads the complete state.
    ///
    /// # Errors
    ///
    /// The state can't be read or is inconsistent.
    fn load(&self) -> Result<StoredState, StoreError>;

    /// Writes a batch. It is durable when this returns; after a crash either all of it is present or none.
    ///
    /// # Errors
    ///
    /// The write failed. Only the next [`ReplicaStore::load`] shows whether the batch was stored.
    fn write(&mut self, batch: &Batch) -> Result<(), StoreError>;
}

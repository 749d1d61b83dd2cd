//! The log as the `raft` crate reads it: from memory. What is written goes to the store first.

use crate::revisions::store::{Batch, Entry, HardState, ReplicaStore, Snapshot, StoreError, StoredState};
use raft::eraftpb::ConfState;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// A store and what it holds.
pub(super) struct Log<S> {
    store: S,
    stored: StoredState,
    voters: Vec<u64>,
}

impl<S: ReplicaStore> Log<S> {
    pub fn open(store: S) -> Result<Self, StoreError> {
        let stored = store.load()?;
        let voters = store.identity().ids();
        Ok(Log { store, stored, voters })
    }

    pub fn stored(&self) -> &StoredState {
        &self.stored
    }

    /// Writes a batch to the store; it is read back from here only where it is durable.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if batch.is_empty() {
            return Ok(());
        }
        self.store.write(batch)?;
        self.stored.apply(batch);
        Ok(())
    }

    /// Writes a higher commit index.
    pub fn write_commit(&mut self, commit: u64) -> Result<(), StoreError> {
        let hard_state = HardState { commit, ..self.stored.hard_state.clone() };
        self.write(&Batch { hard_state: Some(hard_state), ..Batch::default() })
    }

    pub fn conf_state(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), ..ConfState::default() }
    }

    /// The entries after one index up to another, both of which the log has.
    pub fn between(&self, after: u64, to: u64) -> Vec<Entry> {
        let first = (after - self.stored.snapshot_index()) as usize;
        let count = to.saturating_sub(after) as usize;
        self.stored.entries.iter().skip(first).take(count).cloned().collect()
    }
}

impl<S: ReplicaStore> Storage for Log<S> {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.stored.hard_state.clone(), self.conf_state()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.stored.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        if high > self.stored.last_index() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let mut entries = self.between(low - 1, high - 1);
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.stored.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        self.stored.term(index).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.stored.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.stored.last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let index = self.stored.snapshot_index();
        if index == 0 || index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.stored.snapshot.clone())
    }
}

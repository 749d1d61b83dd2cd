//! The `raft` crate's [`Storage`]: reads come from a copy in memory, writes go to the store first.

use crate::revisions::store::{Batch, Entry, HardState, ReplicaStore, Snapshot, StoreError, StoredState};
use raft::eraftpb::ConfState;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// A store with a copy of its state in memory.
pub(super) struct Log<S> {
    store: S,
    state: StoredState,
    voters: Vec<u64>,
}

impl<S: ReplicaStore> Log<S> {
    pub fn open(store: S) -> Result<Self, StoreError> {
        let state = store.load()?;
        let voters = store.identity().ids();
        Ok(Log { store, state, voters })
    }

    pub fn state(&self) -> &StoredState {
        &self.state
    }

    /// Writes a batch to the store, and updates the copy in memory once the batch is durable.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if batch.is_empty() {
            return Ok(());
        }
        self.store.write(batch)?;
        self.state.apply(batch);
        Ok(())
    }

    /// Writes a higher commit index.
    pub fn write_commit(&mut self, commit: u64) -> Result<(), StoreError> {
        let hard_state = HardState { commit, ..self.state.hard_state.clone() };
        self.write(&Batch { hard_state: Some(hard_state), ..Batch::default() })
    }

    pub fn conf_state(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), ..ConfState::default() }
    }

    /// The entries with indexes above `after`, up to and including `to`. The log must have both.
    pub fn entries_between(&self, after: u64, to: u64) -> Vec<Entry> {
        let first = (after - self.state.snapshot_index()) as usize;
        let count = to.saturating_sub(after) as usize;
        self.state.entries.iter().skip(first).take(count).cloned().collect()
    }
}

impl<S: ReplicaStore> Storage for Log<S> {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.state.hard_state.clone(), self.conf_state()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.state.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        if high > self.state.last_index() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let mut entries = self.entries_between(low - 1, high - 1);
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.state.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        self.state.term(index).ok_or_else(|| StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.state.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.state.last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        let index = self.state.snapshot_index();
        if index == 0 || index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.state.snapshot.clone())
    }
}

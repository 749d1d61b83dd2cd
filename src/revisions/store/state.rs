//! A replica's durable state, as held in memory.

use super::{Batch, Entry, HardState, Identity, Snapshot, SnapshotChange, StoreError};
use std::collections::VecDeque;

/// The durable state of a replica: a snapshot, the log after it, and the hard state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The state before the first entry of the log; its index is 0 until there is a snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot, without gaps.
    pub entries: VecDeque<Entry>,
}

impl StoredState {
    /// The index of the last entry that the snapshot covers; 0 without a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// The index of the last entry, or that of the snapshot if the log is empty.
    pub fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }

    /// The term of an entry, or of the last one that the snapshot covers. `None` for all others.
    pub fn term(&self, index: u64) -> Option<u64> {
        match index.checked_sub(self.snapshot_index())? {
            0 => Some(self.snapshot.get_metadata().term),
            after => self.entries.get(after as usize - 1).map(|entry| entry.term),
        }
    }

    /// Applies a batch.
    pub fn apply(&mut self, batch: &Batch) {
        match &batch.snapshot {
            Some(SnapshotChange::Installed(snapshot)) => {
                self.entries.clear();
                self.snapshot = snapshot.clone();
            }
            Some(SnapshotChange::Compacted(snapshot)) => {
                let covered = snapshot.get_metadata().index.saturating_sub(self.snapshot_index());
                self.entries.drain(..self.entries.len().min(covered as usize));
                self.snapshot = snapshot.clone();
            }
            None => {}
        }
        if let Some(first) = batch.entries.first() {
            let kept = first.index.saturating_sub(self.snapshot_index() + 1);
            self.entries.truncate(kept as usize);
            self.entries.extend(batch.entries.iter().cloned());
        }
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = hard_state.clone();
        }
    }

    /// Checks that voters, indexes and terms are consistent.
    ///
    /// # Errors
    ///
    /// One line that names the first inconsistency.
    pub fn check(&self, identity: &Identity) -> Result<(), StoreError> {
        let refuse = |why: String| Err(StoreError(format!("the store is inconsistent: {why}")));
        let ids = identity.ids();
        let vote = self.hard_state.vote;
        if vote != 0 && !ids.contains(&vote) {
            return refuse(format!("a vote for {vote}, which is not a voter"));
        }
        let metadata = self.snapshot.get_metadata();
        if metadata.index > 0 && metadata.get_conf_state().voters != ids {
            return refuse("a snapshot of other voters".into());
        }
        let mut term = metadata.term;
        for (position, entry) in self.entries.iter().enumerate() {
            let expected = metadata.index + 1 + position as u64;
            if entry.index != expected {
                return refuse(format!("entry {} in the place of {expected}", entry.index));
            }
            if entry.term < term {
                return refuse(format!("entry {expected} of an older term than the one before"));
            }
            term = entry.term;
        }
        if term > self.hard_state.term {
            return refuse(format!("an entry of term {term} in term {}", self.hard_state.term));
        }
        let commit = self.hard_state.commit;
        if commit < metadata.index || commit > self.last_index() {
            return refuse(format!("commit index {commit}, log {} to {}", metadata.index, self.last_index()));
        }
        Ok(())
    }
}

//! A store in memory, for simulations: it survives the crash of its replica, and can be made to fail.

use super::{Batch, Identity, ReplicaStore, StoreError, StoredState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// When a store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The write after so many more fails, and nothing of it is there.
    Before(u64),
    /// The write after so many more fails, but all of it is there: a crash after the write and before it is told.
    After(u64),
}

#[derive(Debug)]
struct Disk {
    identity: Identity,
    stored: StoredState,
    writes: u64,
    failure: Option<Failure>,
    failed: bool,
}

/// A store in memory. Clones share what was written: drop the replica and start another on a clone, and it finds what the
/// first one had written. Once it has failed it goes on failing until [`MemoryStore::restart`].
#[derive(Clone, Debug)]
pub struct MemoryStore {
    identity: Identity,
    disk: Arc<Mutex<Disk>>,
}

impl MemoryStore {
    /// An empty store.
    pub fn new(identity: Identity) -> Self {
        let disk = Disk {
            identity: identity.clone(),
            stored: StoredState::default(),
            writes: 0,
            failure: None,
            failed: false,
        };
        MemoryStore { identity, disk: Arc::new(Mutex::new(disk)) }
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Plans a failure, or takes a planned one back.
    pub fn inject_failure(&self, failure: Option<Failure>) {
        self.disk().failure = failure;
    }

    /// Works again after a failure, with what was written until then.
    pub fn restart(&self) {
        let mut disk = self.disk();
        disk.failed = false;
        disk.failure = None;
    }

    /// How many batches were written.
    pub fn writes(&self) -> u64 {
        self.disk().writes
    }

    /// Puts something else in place of what is stored: for faults of a disk.
    pub fn replace(&self, stored: StoredState) {
        self.disk().stored = stored;
    }
}

impl Disk {
    fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let broken = || Err(StoreError("the store in memory was made to fail".into()));
        if self.failed {
            return broken();
        }
        match &mut self.failure {
            Some(Failure::Before(0)) => {
                self.failed = true;
                return broken();
            }
            Some(Failure::After(0)) => {
                self.stored.apply(batch);
                self.writes += 1;
                self.failed = true;
                return broken();
            }
            Some(Failure::Before(left) | Failure::After(left)) => *left -= 1,
            None => {}
        }
        self.stored.apply(batch);
        self.writes += 1;
        Ok(())
    }
}

impl ReplicaStore for MemoryStore {
    fn identity(&self) -> &Identity {
        &self.identity
    }

    fn load(&self) -> Result<StoredState, StoreError> {
        let disk = self.disk();
        disk.stored.check(&disk.identity)?;
        Ok(disk.stored.clone())
    }

    fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.disk().write(batch)
    }
}

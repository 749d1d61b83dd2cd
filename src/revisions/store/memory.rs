//! A store in memory for simulations. It outlives its replica, as a disk outlives a process, and can inject write
//! failures.

use super::{Batch, Identity, ReplicaStore, StoreError, StoredState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An injected failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The write after this number of successful ones fails, and its batch is not stored.
    Before(u64),
    /// The write after this number of successful ones fails, but its batch is stored: a crash between the write and its
    /// return.
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

/// A store in memory. Clones share the stored state: to simulate a restart, drop the replica and start another one on a
/// clone. After a failure, all writes fail until [`MemoryStore::restart`].
#[derive(Clone, Debug)]
pub struct MemoryStore {
    identity: Identity,
    disk: Arc<Mutex<Disk>>,
}

impl MemoryStore {
    /// Creates an empty store.
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

    /// Plans a failure, or cancels the planned one.
    pub fn inject_failure(&self, failure: Option<Failure>) {
        self.disk().failure = failure;
    }

    /// Ends a failure: writes succeed again, and the state written so far stays.
    pub fn restart(&self) {
        let mut disk = self.disk();
        disk.failed = false;
        disk.failure = None;
    }

    /// The number of batches written.
    pub fn writes(&self) -> u64 {
        self.disk().writes
    }

    /// Replaces the stored state, to simulate faults of a disk.
    pub fn replace(&self, stored: StoredState) {
        self.disk().stored = stored;
    }
}

impl Disk {
    fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let injected_error = || Err(StoreError("injected failure of the store in memory".into()));
        if self.failed {
            return injected_error();
        }
        match &mut self.failure {
            Some(Failure::Before(0)) => {
                self.failed = true;
                return injected_error();
            }
            Some(Failure::After(0)) => {
                self.stored.apply(batch);
                self.writes += 1;
                self.failed = true;
                return injected_error();
            }
            Some(Failure::Before(remaining) | Failure::After(remaining)) => *remaining -= 1,
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

//! The log and the snapshot of a replica on disk: a `redb` database, one transaction a step, on disk before it returns.

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

/// Where a replica keeps its log, its vote and its snapshot.
pub trait ReplicaStore {}

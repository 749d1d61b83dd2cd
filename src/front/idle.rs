//! Connections that wait for their clients, ordered by last activity, so that finding one to evict costs the
//! same however many there are.

use std::collections::BTreeSet;
use std::time::Instant;

/// What a connection that may be evicted is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleKind {
    /// The first command.
    Silent,
    /// The first command, which will be declined with a retry delay: the client connected over the limit.
    Overflow,
    /// Another command: the client has only sent health checks or other commands that are not requests.
    Probed,
    /// The next request: the client has sent at least one.
    Served,
    /// The rest of an incomplete command.
    Partial,
}

const KINDS: usize = 5;

/// Position of a connection in the order: what it waits for, and since when.
pub(super) type IdlePosition = (IdleKind, Instant);

/// All connections that may be evicted.
#[derive(Debug, Default)]
pub(super) struct IdleOrder {
    by_use: [BTreeSet<(Instant, usize)>; KINDS],
}

impl IdleOrder {
    /// Moves a connection from one position to another; `None` stands for one that may not be evicted.
    pub fn move_to(&mut self, id: usize, from: Option<IdlePosition>, to: Option<IdlePosition>) {
        if from == to {
            return;
        }
        if let Some((kind, since)) = from {
            self.by_use[kind as usize].remove(&(since, id));
        }
        if let Some((kind, since)) = to {
            self.by_use[kind as usize].insert((since, id));
        }
    }

    /// Number of connections of a kind.
    pub fn len(&self, kind: IdleKind) -> usize {
        self.by_use[kind as usize].len()
    }

    /// The connection of a kind that has waited longest, with the time it has waited since.
    pub fn longest_waiting(&self, kind: IdleKind) -> Option<(Instant, usize)> {
        self.by_use[kind as usize].first().copied()
    }
}

#[cfg(test)]
mod tests;

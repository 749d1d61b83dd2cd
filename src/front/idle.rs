//! Connections that wait for their clients, in the order of their last use, so that finding one to close costs the same
//! however many there are.

use std::collections::BTreeSet;
use std::time::Instant;

/// What a connection that could be closed is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Idle {
    /// The client has not said anything yet.
    Silent,
    /// The client has not said anything yet, and will be told to come again.
    Crowded,
    /// The client has asked whether this process is there, and for nothing else.
    Probed,
    /// The client was served, and may come with its next request.
    Served,
    /// The rest of a command that was begun.
    Partial,
}

const KINDS: usize = 5;

/// A connection's place in the order: what it waits for, and since when.
pub(super) type Place = (Idle, Instant);

/// All connections that could be closed.
#[derive(Debug, Default)]
pub(super) struct IdleOrder {
    by_use: [BTreeSet<(Instant, usize)>; KINDS],
}

impl IdleOrder {
    /// A connection moves from one place to another; none where it could not be closed.
    pub fn move_to(&mut self, id: usize, from: Option<Place>, to: Option<Place>) {
        if from == to {
            return;
        }
        if let Some((idle, since)) = from {
            self.by_use[idle as usize].remove(&(since, id));
        }
        if let Some((idle, since)) = to {
            self.by_use[idle as usize].insert((since, id));
        }
    }

    /// How many wait for this.
    pub fn len(&self, idle: Idle) -> usize {
        self.by_use[idle as usize].len()
    }

    /// The one that has waited longest of those that wait for this, and since when.
    pub fn longest(&self, idle: Idle) -> Option<(Instant, usize)> {
        self.by_use[idle as usize].first().copied()
    }
}

#[cfg(test)]
mod tests;

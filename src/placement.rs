//! Where pieces lie, as nodes have shown by serving them. A client may name a shard that it has made up or that is out of
//! date; a node turns away what lies elsewhere, however little it has to do. Bounded, and no I/O.

use std::collections::{HashMap, VecDeque};

/// Pieces remembered, the last to be served.
const MAX_KEYS: usize = 16 * 1024;

/// Pieces by key, with the shard that holds them.
#[derive(Default)]
pub struct Placement {
    shards: HashMap<u64, u32>,
    /// Keys in the order they came in.
    order: VecDeque<u64>,
}

impl Placement {
    /// A node of a shard has served a piece; 0 names none.
    pub fn record(&mut self, key: u64, shard: u32) {
        if key == 0 {
            return;
        }
        if self.shards.insert(key, shard).is_none() {
            self.order.push_back(key);
        }
        // Guards the memory against a day on which pieces are always new.
        while self.order.len() > MAX_KEYS {
            self.order.pop_front().map(|oldest| self.shards.remove(&oldest));
        }
    }

    /// A node of a shard has turned a piece away: nothing is known of it any more that led there.
    pub fn invalidate(&mut self, key: u64, shard: u32) {
        if self.shards.get(&key) == Some(&shard) {
            self.shards.remove(&key);
            self.order.retain(|other| *other != key);
        }
    }

    /// The shard of a piece that a client says is on this one; new ones are on none.
    pub fn shard(&self, key: u64, named: Option<u32>) -> Option<u32> {
        named.map(|named| self.shards.get(&key).copied().unwrap_or(named))
    }

    /// Pieces remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }
}

#[cfg(test)]
mod tests;

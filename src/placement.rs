//! Which shard holds which object, learned from the nodes that served it. A client may name a shard that is made up or
//! out of date, and a node rejects objects of other shards even if it is idle. Bounded, no I/O.

use std::collections::{HashMap, VecDeque};

/// Most objects remembered; the oldest entry is dropped first.
const MAX_KEYS: usize = 16 * 1024;

/// Maps the keys of objects to the shards that hold them.
#[derive(Default)]
pub struct Placement {
    shards: HashMap<u64, u32>,
    /// Keys in order of insertion.
    order: VecDeque<u64>,
}

impl Placement {
    /// Records that a node of `shard` has served the object; key 0 means no object.
    pub fn record(&mut self, key: u64, shard: u32) {
        if key == 0 {
            return;
        }
        if self.shards.insert(key, shard).is_none() {
            self.order.push_back(key);
        }
        // Bounds the memory when requests are always for new objects.
        while self.order.len() > MAX_KEYS {
            self.order.pop_front().map(|oldest| self.shards.remove(&oldest));
        }
    }

    /// A node of `shard` has rejected the object: drops the entry if it names that shard.
    pub fn invalidate(&mut self, key: u64, shard: u32) {
        if self.shards.get(&key) == Some(&shard) {
            self.shards.remove(&key);
            self.order.retain(|other| *other != key);
        }
    }

    /// The shard to ask for an object. `named` is the shard that the client named; new objects have none.
    pub fn shard(&self, key: u64, named: Option<u32>) -> Option<u32> {
        named.map(|named| self.shards.get(&key).copied().unwrap_or(named))
    }

    /// Number of objects remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }
}

#[cfg(test)]
mod tests;

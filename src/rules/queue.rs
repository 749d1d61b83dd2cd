//! Queued requests, by the shard that they wait for.

use crate::interface::RequestId;
use std::collections::BTreeMap;

/// What a request waits for: a node of this shard, or with `None` (a new object) any node.
pub(super) type QueueKey = Option<u32>;

/// Queued requests by key, each key's in the order in which they were queued.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
#[serde(from = "BTreeMap<QueueKey, Vec<RequestId>>", into = "BTreeMap<QueueKey, Vec<RequestId>>")]
pub(super) struct Queue {
    /// Holds no empty lists.
    requests: BTreeMap<QueueKey, Vec<RequestId>>,
    count: usize,
}

impl From<BTreeMap<QueueKey, Vec<RequestId>>> for Queue {
    fn from(requests: BTreeMap<QueueKey, Vec<RequestId>>) -> Self {
        let count = requests.values().map(Vec::len).sum();
        Queue { requests, count }
    }
}

impl From<Queue> for BTreeMap<QueueKey, Vec<RequestId>> {
    fn from(queue: Queue) -> Self {
        queue.requests
    }
}

impl Queue {
    pub fn push(&mut self, key: QueueKey, id: RequestId) {
        self.requests.entry(key).or_default().push(id);
        self.count += 1;
    }

    /// Removes a request, if it is queued under this key.
    pub fn remove(&mut self, key: QueueKey, id: RequestId) {
        let Some(ids) = self.requests.get_mut(&key) else { return };
        let before = ids.len();
        ids.retain(|other| *other != id);
        self.count -= before - ids.len();
        if ids.is_empty() {
            self.requests.remove(&key);
        }
    }

    /// The requests queued under a key.
    pub fn requests_for(&self, key: QueueKey) -> &[RequestId] {
        self.requests.get(&key).map_or(&[], Vec::as_slice)
    }

    /// The keys that have queued requests, with these.
    pub fn by_key(&self) -> impl Iterator<Item = (QueueKey, &[RequestId])> {
        self.requests.iter().map(|(key, ids)| (*key, ids.as_slice()))
    }

    /// The shards that have queued requests.
    pub fn shards(&self) -> impl Iterator<Item = u32> + '_ {
        self.requests.keys().filter_map(|key| *key)
    }

    /// All queued requests, by key.
    pub fn iter(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.values().flatten().copied()
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn len(&self) -> usize {
        self.count
    }
}

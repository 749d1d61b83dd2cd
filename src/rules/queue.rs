//! Requests that wait for an attempt, by the shard that they wait for.

use crate::interface::RequestId;
use std::collections::BTreeMap;

/// What a request waits for: the nodes of a shard, or for a new object any node.
pub(super) type Lane = Option<u32>;

/// Queued requests, in the order they came into each lane.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
#[serde(from = "BTreeMap<Lane, Vec<RequestId>>", into = "BTreeMap<Lane, Vec<RequestId>>")]
pub(super) struct Queue {
    /// No lane is empty.
    lanes: BTreeMap<Lane, Vec<RequestId>>,
    count: usize,
}

impl From<BTreeMap<Lane, Vec<RequestId>>> for Queue {
    fn from(lanes: BTreeMap<Lane, Vec<RequestId>>) -> Self {
        let count = lanes.values().map(Vec::len).sum();
        Queue { lanes, count }
    }
}

impl From<Queue> for BTreeMap<Lane, Vec<RequestId>> {
    fn from(queue: Queue) -> Self {
        queue.lanes
    }
}

impl Queue {
    pub fn push(&mut self, lane: Lane, id: RequestId) {
        self.lanes.entry(lane).or_default().push(id);
        self.count += 1;
    }

    /// Takes a request out of its lane, if it is there.
    pub fn remove(&mut self, lane: Lane, id: RequestId) {
        let Some(requests) = self.lanes.get_mut(&lane) else { return };
        let before = requests.len();
        requests.retain(|other| *other != id);
        self.count -= before - requests.len();
        if requests.is_empty() {
            self.lanes.remove(&lane);
        }
    }

    /// Requests queued in a lane.
    pub fn lane(&self, lane: Lane) -> &[RequestId] {
        self.lanes.get(&lane).map_or(&[], Vec::as_slice)
    }

    /// The lanes with requests.
    pub fn lanes(&self) -> impl Iterator<Item = (Lane, &[RequestId])> {
        self.lanes.iter().map(|(lane, requests)| (*lane, requests.as_slice()))
    }

    /// The shards that requests wait for.
    pub fn shards(&self) -> impl Iterator<Item = u32> + '_ {
        self.lanes.keys().filter_map(|lane| *lane)
    }

    /// All queued requests, lane by lane.
    pub fn iter(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.lanes.values().flatten().copied()
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn len(&self) -> usize {
        self.count
    }
}

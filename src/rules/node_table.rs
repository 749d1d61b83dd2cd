//! The table of all nodes, with an index for each question that decisions ask. The cost of a look-up depends
//! on the size of a shard, that of a change on what it changes; neither grows with the fleet.
//!
//! The table owns its nodes. Fields that an index is built from are changed only by [`NodeTable::change`];
//! debug builds compare the indexes of small tables with a scan of all nodes.

use super::node::Node;
use crate::interface::{NodeId, NodeState};
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

/// Debug builds check tables up to this size after each call.
#[cfg(debug_assertions)]
const MAX_CHECKED_NODES: usize = 32;

/// A non-negative floating-point number. Ordered by its bits, which have the order of its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ordered(u64);

/// Expected wait of a request at a node, in seconds.
pub(super) type Wait = Ordered;

impl Ordered {
    pub fn of(value: f64) -> Self {
        Ordered(value.max(0.0).to_bits())
    }

    fn value(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// The keys of a usable node in the indexes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Keys {
    /// Expected wait of a request that is alone in its shard's queue.
    wait: Ordered,
    optimistic_latency: Duration,
    errors: Ordered,
}

/// The state that a node was last indexed by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Indexed {
    shard: u32,
    ready: bool,
    /// The end of its drain, while that is in the future.
    drain_end: Option<Duration>,
    busy: bool,
    /// `None` while it may get no requests.
    keys: Option<Keys>,
}

/// The nodes of one shard, in any state.
#[derive(Clone, Debug, Default)]
struct Shard {
    nodes: BTreeSet<NodeId>,
    ready: usize,
}

/// The nodes and the indexes over them.
#[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
#[serde(from = "BTreeMap<NodeId, Node>", into = "BTreeMap<NodeId, Node>")]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    indexed: FxHashMap<NodeId, Indexed>,
    shards: FxHashMap<u32, Shard>,
    /// Nodes that may get requests: ready ones, and draining ones within their grace if their shard has no
    /// ready node.
    usable: BTreeSet<NodeId>,
    by_wait: BTreeSet<(Ordered, NodeId)>,
    by_optimistic_latency: BTreeSet<(Duration, NodeId)>,
    by_errors: BTreeSet<(Ordered, NodeId)>,
    /// Nodes with attempts in flight.
    busy: BTreeSet<NodeId>,
    /// Ends of drains, those in the future.
    drains: BTreeSet<(Duration, NodeId)>,
    /// The tightest latency target: the assumed latency of a node that has not answered yet.
    latency_target: Duration,
    now: Duration,
    visits: Cell<u64>,
}

impl From<BTreeMap<NodeId, Node>> for NodeTable {
    fn from(nodes: BTreeMap<NodeId, Node>) -> Self {
        let mut table = NodeTable { nodes, ..NodeTable::default() };
        table.rebuild(Duration::ZERO, Duration::ZERO);
        table
    }
}

impl From<NodeTable> for BTreeMap<NodeId, Node> {
    fn from(table: NodeTable) -> Self {
        table.nodes
    }
}

impl NodeTable {
    /// An empty table, given the tightest latency target.
    pub fn new(latency_target: Duration) -> Self {
        NodeTable { latency_target, ..NodeTable::default() }
    }

    /// Rebuilds all indexes, for another latency target or deserialized nodes.
    pub fn rebuild(&mut self, latency_target: Duration, now: Duration) {
        let nodes = std::mem::take(&mut self.nodes);
        let visits = self.visits.clone();
        *self = NodeTable { latency_target, now, visits, ..NodeTable::default() };
        self.nodes = nodes;
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| self.index(id));
    }

    /// Advances the time to `now`: draining nodes whose grace is over stop being usable.
    pub fn advance(&mut self, now: Duration) {
        self.now = now;
        while let Some((_, id)) = self.drains.first().copied().filter(|(end, _)| *end <= now) {
            self.index(id);
        }
    }

    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// All nodes in the order of their ids. Scans the whole fleet: for periodic work only.
    pub fn iter(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().inspect(|_| self.visit())
    }

    /// Changes a node and updates the indexes.
    pub fn change<T>(&mut self, id: NodeId, change: impl FnOnce(&mut Node) -> T) -> Option<T> {
        let result = change(self.nodes.get_mut(&id)?);
        self.index(id);
        Some(result)
    }

    /// Changes a node, or adds the one given.
    pub fn change_or_add(&mut self, id: NodeId, new: impl FnOnce() -> Node, change: impl FnOnce(&mut Node)) {
        change(self.nodes.entry(id).or_insert_with(new));
        self.index(id);
    }

    /// Changes fields that no index is built from: demand, slots and the slow-start bucket.
    pub fn change_figures(&mut self, id: NodeId, change: impl FnOnce(&mut Node)) {
        self.visit();
        if let Some(node) = self.nodes.get_mut(&id) {
            change(node);
        }
    }

    /// The same for all nodes: for periodic work only.
    pub fn change_all_figures(&mut self, change: impl FnMut(&mut Node)) {
        self.visits.set(self.visits.get() + self.nodes.len() as u64);
        self.nodes.values_mut().for_each(change);
    }

    /// Drops nodes that were removed from the list and have nothing in flight.
    pub fn remove_gone(&mut self) {
        let is_unused = |node: &Node| node.entry.state == NodeState::Gone && node.in_flight.is_empty();
        let unused: Vec<NodeId> =
            self.iter().filter(|node| is_unused(node)).map(|node| node.entry.node).collect();
        for id in unused {
            self.nodes.remove(&id);
            self.index(id);
        }
    }

    /// Nodes that may get requests, in the order of their ids. Scans the whole fleet: for periodic work only.
    pub fn usable(&self) -> impl Iterator<Item = &Node> {
        self.usable.iter().map(|id| self.visited(id))
    }

    /// Nodes of a shard that may get requests, in the order of their ids.
    pub fn usable_of(&self, shard: u32) -> impl Iterator<Item = &Node> {
        let nodes = self.shards.get(&shard).into_iter().flat_map(|shard| &shard.nodes);
        nodes.filter(|id| self.usable.contains(id)).map(|id| self.visited(id))
    }

    /// Ids of a shard's nodes in any state.
    pub fn of_shard(&self, shard: u32) -> impl Iterator<Item = NodeId> + '_ {
        self.shards.get(&shard).into_iter().flat_map(|shard| shard.nodes.iter().copied())
    }

    /// The usable node with the lowest id.
    pub fn first_usable(&self) -> Option<&Node> {
        self.usable.first().map(|id| self.visited(id))
    }

    /// Nodes that may get requests, after the given position, by the expected wait of a request that is alone
    /// in its shard's queue, the shortest first.
    pub fn by_wait_after(
        &self,
        position: Option<(Wait, NodeId)>,
    ) -> impl Iterator<Item = (Wait, NodeId)> + '_ {
        let start = position.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_wait.range((start, Bound::Unbounded)).copied().inspect(|_| self.visit())
    }

    /// The lowest optimistic latency of all usable nodes.
    pub fn min_optimistic_latency(&self) -> Option<Duration> {
        self.by_optimistic_latency.first().map(|(answer, _)| *answer)
    }

    /// The lowest share of errors of all usable nodes.
    pub fn min_error_share(&self) -> Option<f64> {
        self.by_errors.first().map(|(errors, _)| errors.value())
    }

    /// Nodes with attempts in flight.
    pub fn busy(&self) -> impl Iterator<Item = &Node> {
        self.busy.iter().map(|id| self.visited(id))
    }

    /// Ids of the nodes with attempts in flight.
    pub fn busy_ids(&self) -> Vec<NodeId> {
        self.busy.iter().copied().collect()
    }

    /// Nodes visited so far: the cost of decisions, independent of the machine.
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    fn visit(&self) {
        self.visits.set(self.visits.get() + 1);
    }

    fn visited(&self, id: &NodeId) -> &Node {
        self.visit();
        &self.nodes[id]
    }

    /// Updates the indexes for a node, and for the others of its shard if the shard lost its last ready node
    /// or gained its first.
    fn index(&mut self, id: NodeId) {
        self.visit();
        let before = self.indexed.get(&id).copied();
        let mut touched = Vec::new();
        if let Some(before) = before {
            touched.extend(self.leave_shard(id, before));
        }
        if let Some((shard, ready)) = self.nodes.get(&id).map(|node| (node.entry.shard, node.is_ready())) {
            touched.extend(self.join_shard(id, shard, ready));
        }
        self.reindex(id);
        // Whether a draining node is usable depends on the ready nodes of its shard.
        touched.sort_unstable();
        touched.dedup();
        for shard in touched {
            let others: Vec<NodeId> = self.of_shard(shard).filter(|other| *other != id).collect();
            others.into_iter().for_each(|other| self.reindex(other));
        }
    }

    /// Removes a node from its shard; returns the shard if it has just lost its last ready node.
    fn leave_shard(&mut self, id: NodeId, before: Indexed) -> Option<u32> {
        let shard = self.shards.get_mut(&before.shard)?;
        shard.nodes.remove(&id);
        shard.ready -= usize::from(before.ready);
        let has_lost_all = before.ready && shard.ready == 0;
        if shard.nodes.is_empty() {
            self.shards.remove(&before.shard);
        }
        has_lost_all.then_some(before.shard)
    }

    /// Adds a node to its shard; returns the shard if this is its first ready node.
    fn join_shard(&mut self, id: NodeId, number: u32, ready: bool) -> Option<u32> {
        let shard = self.shards.entry(number).or_default();
        shard.nodes.insert(id);
        shard.ready += usize::from(ready);
        (ready && shard.ready == 1).then_some(number)
    }

    /// The state that a node has to be indexed by now.
    fn wanted(&self, node: &Node) -> Indexed {
        let drain_end =
            (node.entry.state == NodeState::Draining && self.now < node.drain_end).then_some(node.drain_end);
        let is_last =
            drain_end.is_some() && self.shards.get(&node.entry.shard).is_none_or(|shard| shard.ready == 0);
        let keys = (node.is_ready() || is_last).then(|| Keys {
            wait: Ordered::of(node.expected_wait(0, self.latency_target)),
            optimistic_latency: node.optimistic_latency(),
            errors: Ordered::of(node.error_share),
        });
        let (shard, ready) = (node.entry.shard, node.is_ready());
        Indexed { shard, ready, drain_end, busy: !node.in_flight.is_empty(), keys }
    }

    /// Updates a node in all indexes but that of shards.
    fn reindex(&mut self, id: NodeId) {
        let wanted = self.nodes.get(&id).map(|node| self.wanted(node));
        let before = self.indexed.get(&id).copied();
        if before == wanted {
            return;
        }
        if let Some(before) = before {
            self.remove_from_indexes(id, before);
        }
        match wanted {
            Some(wanted) => {
                self.insert_in_indexes(id, wanted);
                self.indexed.insert(id, wanted);
            }
            None => {
                self.indexed.remove(&id);
            }
        }
    }

    fn remove_from_indexes(&mut self, id: NodeId, before: Indexed) {
        if let Some(end) = before.drain_end {
            self.drains.remove(&(end, id));
        }
        if before.busy {
            self.busy.remove(&id);
        }
        if let Some(keys) = before.keys {
            self.usable.remove(&id);
            self.by_wait.remove(&(keys.wait, id));
            self.by_optimistic_latency.remove(&(keys.optimistic_latency, id));
            self.by_errors.remove(&(keys.errors, id));
        }
    }

    fn insert_in_indexes(&mut self, id: NodeId, wanted: Indexed) {
        if let Some(end) = wanted.drain_end {
            self.drains.insert((end, id));
        }
        if wanted.busy {
            self.busy.insert(id);
        }
        if let Some(keys) = wanted.keys {
            self.usable.insert(id);
            self.by_wait.insert((keys.wait, id));
            self.by_optimistic_latency.insert((keys.optimistic_latency, id));
            self.by_errors.insert((keys.errors, id));
        }
    }

    /// In debug builds, compares the indexes of a small table with a scan of all nodes.
    pub fn check(&self) {
        #[cfg(debug_assertions)]
        if self.nodes.len() <= MAX_CHECKED_NODES {
            self.check_all();
        }
    }

    /// # Panics
    ///
    /// Panics if an index differs from a scan of all nodes.
    #[cfg(any(debug_assertions, test))]
    fn check_all(&self) {
        let is_ready_of = |shard| self.nodes.values().any(|it| it.is_ready() && it.entry.shard == shard);
        let is_usable = |node: &&Node| {
            node.is_ready()
                || (node.entry.state == NodeState::Draining
                    && self.now < node.drain_end
                    && !is_ready_of(node.entry.shard))
        };
        let usable: Vec<&Node> = self.nodes.values().filter(is_usable).collect();
        let ids: Vec<NodeId> = usable.iter().map(|node| node.entry.node).collect();
        assert!(self.usable.iter().eq(&ids), "usable: {:?}, {ids:?} by a scan", self.usable);
        let min_latency = usable.iter().map(|node| node.optimistic_latency()).min();
        assert_eq!(self.min_optimistic_latency(), min_latency, "lowest optimistic latency");
        let min_errors = usable.iter().map(|node| node.error_share).reduce(f64::min);
        assert_eq!(self.min_error_share(), min_errors, "lowest share of errors");
        let mut waits: Vec<(Wait, NodeId)> = usable
            .iter()
            .map(|node| (Wait::of(node.expected_wait(0, self.latency_target)), node.entry.node))
            .collect();
        waits.sort_unstable();
        assert!(self.by_wait.iter().eq(&waits), "by wait: {:?}, {waits:?} by a scan", self.by_wait);
        let busy = self.nodes.iter().filter(|(_, node)| !node.in_flight.is_empty()).map(|(id, _)| id);
        assert!(self.busy.iter().eq(busy), "busy: {:?}", self.busy);
        for (id, node) in &self.nodes {
            assert!(self.of_shard(node.entry.shard).any(|other| other == *id), "{id:?} in its shard");
        }
        assert_eq!(self.shards.values().map(|shard| shard.nodes.len()).sum::<usize>(), self.nodes.len());
    }
}

#[cfg(test)]
mod tests;

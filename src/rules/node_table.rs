//! All nodes, with what decisions ask of them kept as indexes: a look-up costs what its shard costs, and a
//! change what it changes, whatever the size of the fleet.
//!
//! The table is the one owner of its nodes. What an index is made of is changed through [`NodeTable::change`]
//! alone; debug builds check the indexes of small tables against a walk over all nodes.

use super::node::Node;
use crate::interface::{NodeId, NodeState};
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

/// Tables up to this size are checked after each call in debug builds.
#[cfg(debug_assertions)]
const MAX_CHECKED_NODES: usize = 32;

/// A floating-point number not below zero: its bits are in the order of its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ordered(u64);

/// How long a request would wait at a node, in seconds.
pub(super) type Wait = Ordered;

impl Ordered {
    pub fn of(value: f64) -> Self {
        Ordered(value.max(0.0).to_bits())
    }

    fn value(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// Where a usable node stands in the indexes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Keys {
    /// How long a request would wait there that is alone in its shard's queue.
    wait: Ordered,
    optimistic_latency: Duration,
    errors: Ordered,
}

/// What a node was indexed by last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Indexed {
    shard: u32,
    ready: bool,
    /// The end of its drain, while that lies ahead.
    drain_end: Option<Duration>,
    busy: bool,
    /// None while it may get nothing.
    keys: Option<Keys>,
}

/// The nodes of one shard, in any state.
#[derive(Clone, Debug, Default)]
struct Shard {
    nodes: BTreeSet<NodeId>,
    ready: usize,
}

/// The nodes and their indexes.
#[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
#[serde(from = "BTreeMap<NodeId, Node>", into = "BTreeMap<NodeId, Node>")]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    indexed: FxHashMap<NodeId, Indexed>,
    shards: FxHashMap<u32, Shard>,
    /// Nodes that may get requests: ready ones, and the last of a shard in the grace of its drain.
    usable: BTreeSet<NodeId>,
    by_wait: BTreeSet<(Ordered, NodeId)>,
    by_optimistic_latency: BTreeSet<(Duration, NodeId)>,
    by_errors: BTreeSet<(Ordered, NodeId)>,
    /// Nodes with attempts in flight.
    busy: BTreeSet<NodeId>,
    /// Ends of drains that lie ahead.
    drains: BTreeSet<(Duration, NodeId)>,
    /// The tightest latency_target: what a node that never answered is taken to need.
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
    /// An empty table; `latency_target` is the tightest one.
    pub fn new(latency_target: Duration) -> Self {
        NodeTable { latency_target, ..NodeTable::default() }
    }

    /// Makes all indexes anew: for another latency_target, or nodes that came from elsewhere.
    pub fn rebuild(&mut self, latency_target: Duration, now: Duration) {
        let nodes = std::mem::take(&mut self.nodes);
        let visits = self.visits.clone();
        *self = NodeTable { latency_target, now, visits, ..NodeTable::default() };
        self.nodes = nodes;
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| self.index(id));
    }

    /// Time goes on to `now`: drains whose grace is over get nothing more.
    pub fn advance(&mut self, now: Duration) {
        self.now = now;
        while let Some((_, id)) = self.drains.first().copied().filter(|(end, _)| *end <= now) {
            self.index(id);
        }
    }

    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// All nodes in the order of their ids. A walk over the fleet: for periodic work alone.
    pub fn iter(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().inspect(|_| self.visit())
    }

    /// Changes a node and its place in the indexes.
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

    /// Changes what no index is made of: demand, slots and what slow start allows.
    pub fn change_figures(&mut self, id: NodeId, change: impl FnOnce(&mut Node)) {
        self.visit();
        if let Some(node) = self.nodes.get_mut(&id) {
            change(node);
        }
    }

    /// The same of all nodes: for periodic work alone.
    pub fn change_all_figures(&mut self, change: impl FnMut(&mut Node)) {
        self.visits.set(self.visits.get() + self.nodes.len() as u64);
        self.nodes.values_mut().for_each(change);
    }

    /// Removes the nodes that are gone and have nothing in flight.
    pub fn remove_gone(&mut self) {
        let is_over = |node: &Node| node.entry.state == NodeState::Gone && node.in_flight.is_empty();
        let over: Vec<NodeId> =
            self.iter().filter(|node| is_over(node)).map(|node| node.entry.node).collect();
        for id in over {
            self.nodes.remove(&id);
            self.index(id);
        }
    }

    /// Nodes that may get requests, in the order of their ids. A walk over the fleet: for periodic work
    /// alone.
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

    /// Nodes that may get requests beyond one that was reached, that with the shortest wait first: the wait
    /// of a request that is alone in its shard's queue.
    pub fn by_wait_after(
        &self,
        reached: Option<(Wait, NodeId)>,
    ) -> impl Iterator<Item = (Wait, NodeId)> + '_ {
        let start = reached.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_wait.range((start, Bound::Unbounded)).copied().inspect(|_| self.visit())
    }

    /// The quickest answer that any usable node is likely to give.
    pub fn min_optimistic_latency(&self) -> Option<Duration> {
        self.by_optimistic_latency.first().map(|(answer, _)| *answer)
    }

    /// The least share of errors of any usable node.
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

    /// Nodes looked at so far: what decisions cost, whatever machine they run on.
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

    /// Brings the indexes up to date with a node, and with the others of its shard where it was the last that
    /// was ready.
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
        // The drains of a shard depend on whether another node of it is ready.
        touched.sort_unstable();
        touched.dedup();
        for shard in touched {
            let others: Vec<NodeId> = self.of_shard(shard).filter(|other| *other != id).collect();
            others.into_iter().for_each(|other| self.reindex(other));
        }
    }

    /// Takes a node out of its shard; the shard if no node of it is ready any more.
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

    /// Adds a node to its shard; the shard if this is the first of it that is ready.
    fn join_shard(&mut self, id: NodeId, number: u32, ready: bool) -> Option<u32> {
        let shard = self.shards.entry(number).or_default();
        shard.nodes.insert(id);
        shard.ready += usize::from(ready);
        (ready && shard.ready == 1).then_some(number)
    }

    /// Where a node belongs now.
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

    /// Puts a node where it belongs in all indexes but its shard's.
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

    /// In debug builds: whether small tables' indexes are what a walk over all nodes finds.
    pub fn check(&self) {
        #[cfg(debug_assertions)]
        if self.nodes.len() <= MAX_CHECKED_NODES {
            self.check_all();
        }
    }

    /// # Panics
    ///
    /// An index differs from what a walk over all nodes finds.
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
        assert!(self.usable.iter().eq(&ids), "usable: {:?}, {ids:?} by a walk", self.usable);
        let quickest = usable.iter().map(|node| node.optimistic_latency()).min();
        assert_eq!(self.min_optimistic_latency(), quickest, "the quickest answer");
        let least = usable.iter().map(|node| node.error_share).reduce(f64::min);
        assert_eq!(self.min_error_share(), least, "the least share of errors");
        let mut waits: Vec<(Wait, NodeId)> = usable
            .iter()
            .map(|node| (Wait::of(node.expected_wait(0, self.latency_target)), node.entry.node))
            .collect();
        waits.sort_unstable();
        assert!(self.by_wait.iter().eq(&waits), "by wait: {:?}, {waits:?} by a walk", self.by_wait);
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

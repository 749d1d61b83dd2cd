//! The node list: the nodes that discovery and the second front's file name, without those that operators have taken
//! out of service at the admin endpoint or by the live configuration. A node is out of service while either of these
//! two says so. The scheduler sees only the resulting list. No I/O and no clock.
//!
//! Taking a node out of service is a drain with a clock of its own: it begins with the operator's command, and only an
//! operator's command ends it, whatever discovery reports meanwhile. A node that returns to service is taken to have
//! just started, unless discovery reports a later start: it may have been restarted meanwhile, and discovery may
//! report that late.

use crate::config::iscsi::Storage;
use crate::discovery::{ListUpdate, Status};
use crate::interface::{Event, ListKind, NodeEntry, NodeId, NodeState};
use crate::target::{Endpoint, Wire};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Most nodes that may be disabled at the admin endpoint at once.
const MAX_DISABLED: usize = 1024;
/// Most names that are remembered as listed at some time.
const MAX_NAMES: usize = 16 * 1024;

/// A listed node.
struct ListedNode {
    name: String,
    endpoint: Endpoint,
    /// Its entry according to discovery.
    entry: NodeEntry,
    /// When discovery reported it as draining.
    draining_since: Option<Instant>,
}

/// When a node was taken out of service by an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Removal {
    since: Instant,
    /// The same in Unix time, to compare with nodes' starts.
    unix: Duration,
}

/// The node list as one process passes it to the next. Ages are relative to the moment it is saved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedNodes {
    zones: Vec<String>,
    ids: Vec<(String, NodeId)>,
    next_id: u32,
    /// RESP2 nodes, with the ages of their drains.
    nodes: Vec<(SocketAddr, NodeEntry, Option<Duration>)>,
    /// Nodes disabled at the admin endpoint: name, age, and the Unix time when it was disabled.
    bans: Vec<(String, Duration, Duration)>,
    /// Names returned to service, and the Unix time of that.
    returned: Vec<(String, Duration)>,
    /// Hashes of the names listed at some time, in order of arrival.
    listed: Vec<u64>,
}

/// The nodes, by their names in discovery.
#[derive(Default)]
pub struct Nodes {
    ids: HashMap<String, NodeId>,
    next_id: u32,
    known: BTreeMap<NodeId, ListedNode>,
    /// Storage of the second front, which discovery does not list.
    iscsi_nodes: Vec<NodeEntry>,
    zones: Vec<String>,
    disabled: BTreeMap<String, Removal>,
    /// Taken out by the live configuration, whether or not they were ever listed.
    configured_out: BTreeMap<String, Removal>,
    /// Returned to service, with the time of that, until discovery reports a later start.
    returned: BTreeMap<String, Duration>,
    /// Hashes of the names listed at some time, and their order of arrival.
    listed: HashSet<u64>,
    listed_order: VecDeque<u64>,
}

impl Nodes {
    /// An empty list. A zone's number is its position in `zones`.
    pub fn new(zones: Vec<String>) -> Self {
        Nodes { zones, ..Nodes::default() }
    }

    fn id(&mut self, name: &str) -> NodeId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        // Ids are not reused, even if a name returns after it was forgotten.
        self.next_id += 1;
        self.ids.insert(name.to_string(), NodeId(self.next_id));
        NodeId(self.next_id)
    }

    /// Adds storage of the second front. It is listed for the lifetime of the process.
    pub fn add_iscsi(&mut self, storage: &Storage) {
        let name = format!("iscsi {}", storage.name);
        let node = self.id(&name);
        let endpoint = Endpoint { address: storage.address, wire: Wire::Iscsi(storage.name.clone()) };
        let entry = NodeEntry { node, shard: storage.shard, no_new_objects: true, ..NodeEntry::default() };
        self.known.insert(node, ListedNode { name, endpoint, entry: entry.clone(), draining_since: None });
        self.iscsi_nodes.push(entry);
    }

    /// Storage of the second front.
    pub fn iscsi_nodes(&self) -> &[NodeEntry] {
        &self.iscsi_nodes
    }

    /// Applies an update from discovery. Returns the event for the scheduler, and the nodes that are gone. A drain
    /// that may have begun earlier (in a first list, or after a new watch) counts as gone: how much of its grace is
    /// left is unknown.
    pub fn apply(&mut self, update: ListUpdate, kind: ListKind) -> (Event, Vec<NodeId>) {
        let ListUpdate { message, contiguous, received: now } = update;
        let mut entries = Vec::new();
        for reported in message.endpoints {
            let mut started = reported.started();
            self.remember(&reported.name);
            let node = self.id(&reported.name);
            let state = match reported.status {
                Status::Active => NodeState::Ready,
                Status::Leaving if contiguous || self.draining_since(node).is_some() => NodeState::Draining,
                Status::Leaving => NodeState::Gone,
                Status::Left => NodeState::Gone,
            };
            if let Some(returned_at) = self.returned.get(&reported.name) {
                if started.is_some_and(|started| started > *returned_at) {
                    self.returned.remove(&reported.name);
                } else {
                    started = Some(*returned_at);
                }
            }
            let zone = self.zones.iter().position(|zone| *zone == reported.zone).unwrap_or(0) as u32;
            let entry =
                NodeEntry { node, shard: reported.group, zone, started, state, no_new_objects: false };
            let since = self.draining_since(node).unwrap_or(now);
            let draining_since = (state == NodeState::Draining).then_some(since);
            let endpoint = Endpoint { address: reported.address, wire: Wire::Resp };
            let removed = self.is_removed(&reported.name) && state != NodeState::Gone;
            self.known.insert(
                node,
                ListedNode { name: reported.name, endpoint, entry: entry.clone(), draining_since },
            );
            entries.push(if removed { drained(&entry) } else { entry });
        }
        let mut gone: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        if kind != ListKind::Delta {
            entries.extend(self.iscsi_nodes.iter().map(|entry| self.effective_entry(entry)));
            gone = self.drop_unlisted(&entries);
        }
        gone.retain(|node| self.is_gone(*node));
        gone.iter().for_each(|node| self.forget(*node));
        let (ids, disabled) = (&self.ids, &self.disabled);
        self.returned.retain(|name, _| ids.contains_key(name) || disabled.contains_key(name));
        (Event::List { kind, entries }, gone.into_iter().collect())
    }

    /// Marks nodes missing from a full list as gone. Returns all nodes that were known.
    fn drop_unlisted(&mut self, entries: &[NodeEntry]) -> BTreeSet<NodeId> {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        for (_, known) in self.known.iter_mut().filter(|(node, _)| !listed.contains(node)) {
            known.entry.state = NodeState::Gone;
        }
        self.known.keys().copied().collect()
    }

    fn is_gone(&self, node: NodeId) -> bool {
        self.known.get(&node).is_some_and(|known| known.entry.state == NodeState::Gone)
    }

    /// Forgets a node that is gone, so that memory stays bounded when nodes are replaced frequently.
    fn forget(&mut self, node: NodeId) {
        if let Some(known) = self.known.remove(&node) {
            self.ids.remove(&known.name);
        }
    }

    /// Takes a node out of service until [`Nodes::enable`], whatever discovery reports. Repeated calls keep the first
    /// time. Returns the event for the scheduler.
    ///
    /// # Errors
    ///
    /// The node was never listed, or too many are disabled.
    pub fn disable(&mut self, now: Instant, unix: Duration, name: &str) -> Result<Option<Event>, String> {
        self.check_listed(name)?;
        if !self.disabled.contains_key(name) {
            if self.disabled.len() >= MAX_DISABLED {
                return Err(format!("{MAX_DISABLED} targets are out already"));
            }
            self.disabled.insert(name.to_string(), Removal { since: now, unix });
        }
        let known = self.ids.get(name).and_then(|id| self.known.get(id));
        Ok(known.map(|known| delta(drained(&known.entry))))
    }

    /// Returns a node to service, as one that has just started. Returns the event for the scheduler.
    ///
    /// # Errors
    ///
    /// The node was never listed.
    pub fn enable(&mut self, unix: Duration, name: &str) -> Result<Option<Event>, String> {
        self.check_listed(name)?;
        let Some(removal) = self.disabled.remove(name) else { return Ok(None) };
        Ok(self.reinstate(unix, name, removal).map(delta))
    }

    /// Sets the names that the live configuration takes out of service, replacing the earlier ones. A name that is not
    /// listed takes effect once it is. Returns the event for the scheduler.
    pub fn set_configured_out(
        &mut self,
        now: Instant,
        unix: Duration,
        names: &BTreeSet<String>,
    ) -> Option<Event> {
        let before = std::mem::take(&mut self.configured_out);
        let (stay, back): (Vec<_>, Vec<_>) = before.into_iter().partition(|(name, _)| names.contains(name));
        self.configured_out.extend(stay);
        let mut entries = Vec::new();
        for (name, removal) in back {
            entries.extend(self.reinstate(unix, &name, removal));
        }
        for name in names {
            if self.configured_out.contains_key(name) {
                continue;
            }
            self.configured_out.insert(name.clone(), Removal { since: now, unix });
            let known = self.ids.get(name).and_then(|id| self.known.get(id));
            entries.extend(known.map(|known| drained(&known.entry)));
        }
        (!entries.is_empty()).then_some(Event::List { kind: ListKind::Delta, entries })
    }

    /// Returns a node to service after one of its two removals ended. Returns its entry if it may serve now; it is
    /// taken to have just started.
    fn reinstate(&mut self, unix: Duration, name: &str, removal: Removal) -> Option<NodeEntry> {
        if self.is_removed(name) {
            return None;
        }
        let known = self.ids.get(name).and_then(|id| self.known.get_mut(id));
        let Some(known) = known else {
            // When it is listed again, discovery may not have noticed its restart either.
            self.returned.insert(name.to_string(), unix);
            return None;
        };
        // Discovery may report a restart late; treat the node as just started so that it gets a slow start.
        if known.entry.started.is_none_or(|started| started <= removal.unix) {
            known.entry.started = Some(unix);
            self.returned.insert(name.to_string(), unix);
        }
        Some(known.entry.clone())
    }

    fn is_removed(&self, name: &str) -> bool {
        self.disabled.contains_key(name) || self.configured_out.contains_key(name)
    }

    /// When a node was first taken out of service, by command or configuration.
    fn removed_since(&self, node: NodeId) -> Option<Instant> {
        let all = self.disabled.iter().chain(&self.configured_out);
        let here = all.filter(|(name, _)| self.ids.get(*name) == Some(&node));
        here.map(|(_, removal)| removal.since).min()
    }

    /// A node's entry as the scheduler sees it.
    fn effective_entry(&self, entry: &NodeEntry) -> NodeEntry {
        if self.removed_since(entry.node).is_some() {
            return drained(entry);
        }
        entry.clone()
    }

    fn check_listed(&self, name: &str) -> Result<(), String> {
        match self.listed.contains(&hash(name)) {
            true => Ok(()),
            false => Err("no target of this id was ever listed".into()),
        }
    }

    fn remember(&mut self, name: &str) {
        let hash = hash(name);
        if self.listed.insert(hash) {
            self.listed_order.push_back(hash);
        }
        // Bounds the memory when nodes are replaced frequently.
        if self.listed_order.len() > MAX_NAMES {
            self.listed_order.pop_front().map(|oldest| self.listed.remove(&oldest));
        }
    }

    /// Since when a node is draining according to discovery.
    pub fn draining_since(&self, node: NodeId) -> Option<Instant> {
        self.known.get(&node).and_then(|known| known.draining_since)
    }

    /// The state for the process that replaces this one.
    pub fn save(&self, now: Instant) -> SavedNodes {
        let age = |since: Instant| now.saturating_duration_since(since);
        let nodes = self.known.values().filter(|known| known.endpoint.wire == Wire::Resp);
        let node =
            |known: &ListedNode| (known.endpoint.address, known.entry.clone(), known.draining_since.map(age));
        SavedNodes {
            zones: self.zones.clone(),
            ids: self.ids.iter().map(|(name, id)| (name.clone(), *id)).collect(),
            next_id: self.next_id,
            nodes: nodes.map(node).collect(),
            bans: self
                .disabled
                .iter()
                .map(|(name, removal)| (name.clone(), age(removal.since), removal.unix))
                .collect(),
            returned: self.returned.iter().map(|(name, unix)| (name.clone(), *unix)).collect(),
            listed: self.listed_order.iter().copied().collect(),
        }
    }

    /// Restores the state of the previous process and returns the event for the scheduler. Nothing is restored if the
    /// zones differ.
    pub fn restore(&mut self, now: Instant, saved: SavedNodes) -> Option<Event> {
        if saved.zones != self.zones {
            return None;
        }
        let ago = |age: Duration| now.checked_sub(age).unwrap_or(now);
        self.next_id = self.next_id.max(saved.next_id);
        let names: HashMap<NodeId, String> = saved.ids.iter().map(|(name, id)| (*id, name.clone())).collect();
        self.ids.extend(saved.ids);
        for (address, entry, draining_since) in saved.nodes {
            let endpoint = Endpoint { address, wire: Wire::Resp };
            let name = names.get(&entry.node).cloned().unwrap_or_default();
            self.known.insert(
                entry.node,
                ListedNode { name, endpoint, entry, draining_since: draining_since.map(ago) },
            );
        }
        self.ids.retain(|_, node| self.known.contains_key(node));
        let bans = saved.bans.into_iter().take(MAX_DISABLED);
        self.disabled = bans.map(|(name, age, unix)| (name, Removal { since: ago(age), unix })).collect();
        self.returned = saved.returned.into_iter().take(MAX_NAMES).collect();
        self.listed_order = saved.listed.into_iter().take(MAX_NAMES).collect();
        self.listed = self.listed_order.iter().copied().collect();
        let entries = self.known.values().map(|known| self.effective_entry(&known.entry)).collect();
        Some(Event::List { kind: ListKind::Cached, entries })
    }

    /// A node's endpoint, if an attempt may begin there, and until when it may. This enforces the drain rule if the
    /// scheduler decided on an older list, or a connection is established late.
    pub fn endpoint(
        &self,
        now: Instant,
        node: NodeId,
        grace: Duration,
    ) -> Option<(&Endpoint, Option<Instant>)> {
        let known = self.known.get(&node)?;
        let closes = self.unavailable_since(node).map(|since| since + grace);
        closes.is_none_or(|closes| now < closes).then_some((&known.endpoint, closes))
    }

    /// The draining nodes in a list event, and when no more attempts may begin there.
    pub fn drain_deadlines(&self, message: &Event, grace: Duration) -> Vec<(NodeId, Instant)> {
        let Event::List { entries, .. } = message else { return Vec::new() };
        let draining = entries.iter().filter(|entry| entry.state == NodeState::Draining);
        draining.filter_map(|entry| Some((entry.node, self.unavailable_since(entry.node)? + grace))).collect()
    }

    /// Since when a node gets no new requests, by discovery or by operators, whichever was first.
    fn unavailable_since(&self, node: NodeId) -> Option<Instant> {
        [self.draining_since(node), self.removed_since(node)].into_iter().flatten().min()
    }

    /// The shard that a node holds.
    pub fn shard(&self, node: NodeId) -> Option<u32> {
        self.known.get(&node).map(|known| known.entry.shard)
    }

    /// Nodes that may be used.
    pub fn ready(&self) -> usize {
        let ready = self.known.iter().filter(|(_, known)| known.entry.state == NodeState::Ready);
        ready.filter(|(node, _)| self.removed_since(**node).is_none()).count()
    }

    /// Sizes of the collections kept here, by name.
    pub fn sizes(&self) -> [(&'static str, usize); 3] {
        [("nodes", self.known.len()), ("node_names", self.ids.len()), ("nodes_banned", self.disabled.len())]
    }
}

fn drained(entry: &NodeEntry) -> NodeEntry {
    NodeEntry { state: NodeState::Draining, ..entry.clone() }
}

fn delta(entry: NodeEntry) -> Event {
    Event::List { kind: ListKind::Delta, entries: vec![entry] }
}

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
pub(crate) mod tests;

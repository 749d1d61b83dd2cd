//! Which nodes there are: what discovery and the second front's file name, less what operators have taken out, at the
//! admin endpoint or by the live configuration. The scheduler sees only the list that comes of all. No I/O and no clock.
//! A node is out while either of the two says so.
//!
//! A ban is a drain with a clock of its own: it begins with the operator's call, and only an operator's call ends it,
//! whatever discovery says in between. Who is called back is taken to have started anew, unless discovery names a later
//! start: it was restarted meanwhile, and discovery may tell late.

use crate::config::iscsi::Storage;
use crate::discovery::{News, Status};
use crate::interface::{Event, ListKind, NodeEntry, NodeId, NodeState};
use crate::target::{Endpoint, Wire};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Targets that may be out at once.
const MOST_BANS: usize = 1024;
/// Ids that were listed at some time are remembered, so many.
const MOST_NAMES: usize = 16 * 1024;

/// A listed node.
struct Known {
    name: String,
    endpoint: Endpoint,
    /// As discovery has it.
    line: NodeEntry,
    /// When discovery told it to drain.
    drains: Option<Instant>,
}

/// A target that operators have taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Ban {
    since: Instant,
    /// The same on the scale of the nodes' starts.
    unix: Duration,
}

/// The list with its bans, as one process gives it to the next. Ages are of the moment it is given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Carried {
    zones: Vec<String>,
    ids: Vec<(String, NodeId)>,
    next_id: u32,
    /// RESP2 nodes with the age of their drains.
    nodes: Vec<(SocketAddr, NodeEntry, Option<Duration>)>,
    /// Names, ages and times of bans.
    bans: Vec<(String, Duration, Duration)>,
    returned: Vec<(String, Duration)>,
    listed: Vec<u64>,
}

/// The nodes, by the names that discovery gives them.
#[derive(Default)]
pub struct Nodes {
    ids: HashMap<String, NodeId>,
    next_id: u32,
    known: BTreeMap<NodeId, Known>,
    /// Those that no list of discovery has.
    own: Vec<NodeEntry>,
    zones: Vec<String>,
    bans: BTreeMap<String, Ban>,
    /// Taken out by the live configuration, whether they were ever listed or not.
    configured_out: BTreeMap<String, Ban>,
    /// Called back, with the time of the call, until discovery names a later start.
    returned: BTreeMap<String, Duration>,
    /// Hashes of names that were listed at some time, and the order they came in.
    listed: HashSet<u64>,
    listed_order: VecDeque<u64>,
}

impl Nodes {
    /// Knows no node yet; zones are named by position.
    pub fn new(zones: Vec<String>) -> Self {
        Nodes { zones, ..Nodes::default() }
    }

    fn id(&mut self, name: &str) -> NodeId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        // A number is given once, also where a name comes again after it was forgotten.
        self.next_id += 1;
        self.ids.insert(name.to_string(), NodeId(self.next_id));
        NodeId(self.next_id)
    }

    /// Adds storage of the second front; it is there from the start to the end.
    pub fn add_own(&mut self, storage: &Storage) {
        let name = format!("iscsi {}", storage.name);
        let node = self.id(&name);
        let endpoint = Endpoint { address: storage.address, wire: Wire::Iscsi(storage.name.clone()) };
        let entry = NodeEntry { node, shard: storage.shard, no_new_objects: true, ..NodeEntry::default() };
        self.known.insert(node, Known { name, endpoint, line: entry.clone(), drains: None });
        self.own.push(entry);
    }

    /// Storage of the second front.
    pub fn own(&self) -> &[NodeEntry] {
        &self.own
    }

    /// Turns a message of discovery into one for the scheduler; tells which nodes are gone. A drain that may have been
    /// told earlier (a first list, a watch begun anew) counts as gone: nobody knows how much of its grace is left.
    pub fn take(&mut self, news: News, kind: ListKind) -> (Event, Vec<NodeId>) {
        let News { message, fresh, came: now } = news;
        let mut entries = Vec::new();
        for line in message.endpoints {
            let mut started = line.started();
            self.remember(&line.name);
            let node = self.id(&line.name);
            let state = match line.status {
                Status::Active => NodeState::Ready,
                Status::Leaving if fresh || self.drains(node).is_some() => NodeState::Draining,
                Status::Leaving => NodeState::Gone,
                Status::Left => NodeState::Gone,
            };
            if let Some(called) = self.returned.get(&line.name) {
                if started.is_some_and(|started| started > *called) {
                    self.returned.remove(&line.name);
                } else {
                    started = Some(*called);
                }
            }
            let zone = self.zones.iter().position(|zone| *zone == line.zone).unwrap_or(0) as u32;
            let entry = NodeEntry { node, shard: line.group, zone, started, state, no_new_objects: false };
            let since = self.drains(node).unwrap_or(now);
            let drains = (state == NodeState::Draining).then_some(since);
            let endpoint = Endpoint { address: line.address, wire: Wire::Resp };
            let out = self.is_out(&line.name) && state != NodeState::Gone;
            self.known.insert(node, Known { name: line.name, endpoint, line: entry.clone(), drains });
            entries.push(if out { drained(&entry) } else { entry });
        }
        let mut gone: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        if kind != ListKind::Delta {
            entries.extend(self.own.iter().map(|line| self.shown(line)));
            gone = self.drop_unlisted(&entries);
        }
        gone.retain(|node| self.is_gone(*node));
        gone.iter().for_each(|node| self.forget(*node));
        let (ids, bans) = (&self.ids, &self.bans);
        self.returned.retain(|name, _| ids.contains_key(name) || bans.contains_key(name));
        (Event::List { kind, entries }, gone.into_iter().collect())
    }

    /// Whoever is not on a whole list is gone. All nodes that were known.
    fn drop_unlisted(&mut self, entries: &[NodeEntry]) -> BTreeSet<NodeId> {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        for (_, known) in self.known.iter_mut().filter(|(node, _)| !listed.contains(node)) {
            known.line.state = NodeState::Gone;
        }
        self.known.keys().copied().collect()
    }

    fn is_gone(&self, node: NodeId) -> bool {
        self.known.get(&node).is_some_and(|known| known.line.state == NodeState::Gone)
    }

    /// Guards against a day on which nodes are replaced over and over: who is gone is not remembered.
    fn forget(&mut self, node: NodeId) {
        if let Some(known) = self.known.remove(&node) {
            self.ids.remove(&known.name);
        }
    }

    /// Nothing more to a target, whatever discovery says, until it is called back. Calls may repeat: the first counts.
    pub fn ban(&mut self, now: Instant, unix: Duration, name: &str) -> Result<Option<Event>, String> {
        self.check_listed(name)?;
        if !self.bans.contains_key(name) {
            if self.bans.len() >= MOST_BANS {
                return Err(format!("{MOST_BANS} targets are out already"));
            }
            self.bans.insert(name.to_string(), Ban { since: now, unix });
        }
        let known = self.ids.get(name).and_then(|id| self.known.get(id));
        Ok(known.map(|known| delta(drained(&known.line))))
    }

    /// A target may serve again, as one that has just started.
    pub fn call_back(&mut self, unix: Duration, name: &str) -> Result<Option<Event>, String> {
        self.check_listed(name)?;
        let Some(ban) = self.bans.remove(name) else { return Ok(None) };
        Ok(self.begin_again(unix, name, ban).map(delta))
    }

    /// The names that the live configuration takes out from now on, in place of those that it took out before. A name
    /// counts from when it is listed. What to tell the scheduler.
    pub fn configure_out(&mut self, now: Instant, unix: Duration, names: &BTreeSet<String>) -> Option<Event> {
        let before = std::mem::take(&mut self.configured_out);
        let (stay, back): (Vec<_>, Vec<_>) = before.into_iter().partition(|(name, _)| names.contains(name));
        self.configured_out.extend(stay);
        let mut entries = Vec::new();
        for (name, ban) in back {
            entries.extend(self.begin_again(unix, &name, ban));
        }
        for name in names {
            if self.configured_out.contains_key(name) {
                continue;
            }
            self.configured_out.insert(name.clone(), Ban { since: now, unix });
            let known = self.ids.get(name).and_then(|id| self.known.get(id));
            entries.extend(known.map(|known| drained(&known.line)));
        }
        (!entries.is_empty()).then_some(Event::List { kind: ListKind::Delta, entries })
    }

    /// A target that one of the two took out and no longer does: its line, if it may serve. It is taken to have started
    /// anew.
    fn begin_again(&mut self, unix: Duration, name: &str, ban: Ban) -> Option<NodeEntry> {
        if self.is_out(name) {
            return None;
        }
        let known = self.ids.get(name).and_then(|id| self.known.get_mut(id));
        let Some(known) = known else {
            // It comes back into a list that may not know of its restart either.
            self.returned.insert(name.to_string(), unix);
            return None;
        };
        // Guards a cold node against being taken for a warm one while discovery is late.
        if known.line.started.is_none_or(|started| started <= ban.unix) {
            known.line.started = Some(unix);
            self.returned.insert(name.to_string(), unix);
        }
        Some(known.line.clone())
    }

    fn is_out(&self, name: &str) -> bool {
        self.bans.contains_key(name) || self.configured_out.contains_key(name)
    }

    /// When a node was taken out, whoever did so first.
    fn out_since(&self, node: NodeId) -> Option<Instant> {
        let all = self.bans.iter().chain(&self.configured_out);
        let here = all.filter(|(name, _)| self.ids.get(*name) == Some(&node));
        here.map(|(_, ban)| ban.since).min()
    }

    /// A node's line as the scheduler is to see it.
    fn shown(&self, line: &NodeEntry) -> NodeEntry {
        if self.out_since(line.node).is_some() {
            return drained(line);
        }
        line.clone()
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
        // Guards against a day on which nodes are replaced over and over.
        if self.listed_order.len() > MOST_NAMES {
            self.listed_order.pop_front().map(|oldest| self.listed.remove(&oldest));
        }
    }

    /// Since when a node is to get nothing new.
    pub fn drains(&self, node: NodeId) -> Option<Instant> {
        self.known.get(&node).and_then(|known| known.drains)
    }

    /// For the process that takes the place of this one.
    pub fn carry(&self, now: Instant) -> Carried {
        let age = |since: Instant| now.saturating_duration_since(since);
        let nodes = self.known.values().filter(|known| known.endpoint.wire == Wire::Resp);
        let node = |known: &Known| (known.endpoint.address, known.line.clone(), known.drains.map(age));
        Carried {
            zones: self.zones.clone(),
            ids: self.ids.iter().map(|(name, id)| (name.clone(), *id)).collect(),
            next_id: self.next_id,
            nodes: nodes.map(node).collect(),
            bans: self.bans.iter().map(|(name, ban)| (name.clone(), age(ban.since), ban.unix)).collect(),
            returned: self.returned.iter().map(|(name, unix)| (name.clone(), *unix)).collect(),
            listed: self.listed_order.iter().copied().collect(),
        }
    }

    /// Goes on from what the process before had; what to tell the scheduler. Nothing is taken where zones are others.
    pub fn load(&mut self, now: Instant, carried: Carried) -> Option<Event> {
        if carried.zones != self.zones {
            return None;
        }
        let ago = |age: Duration| now.checked_sub(age).unwrap_or(now);
        self.next_id = self.next_id.max(carried.next_id);
        let names: HashMap<NodeId, String> =
            carried.ids.iter().map(|(name, id)| (*id, name.clone())).collect();
        self.ids.extend(carried.ids);
        for (address, line, drains) in carried.nodes {
            let endpoint = Endpoint { address, wire: Wire::Resp };
            let name = names.get(&line.node).cloned().unwrap_or_default();
            self.known.insert(line.node, Known { name, endpoint, line, drains: drains.map(ago) });
        }
        self.ids.retain(|_, node| self.known.contains_key(node));
        let bans = carried.bans.into_iter().take(MOST_BANS);
        self.bans = bans.map(|(name, age, unix)| (name, Ban { since: ago(age), unix })).collect();
        self.returned = carried.returned.into_iter().take(MOST_NAMES).collect();
        self.listed_order = carried.listed.into_iter().take(MOST_NAMES).collect();
        self.listed = self.listed_order.iter().copied().collect();
        let entries = self.known.values().map(|known| self.shown(&known.line)).collect();
        Some(Event::List { kind: ListKind::Cached, entries })
    }

    /// Where a node is reached, if an attempt may begin there, and until when it may: guards the rule on drains where the
    /// scheduler decided on news that are older than this, or a connection comes up late.
    pub fn open(&self, now: Instant, node: NodeId, grace: Duration) -> Option<(&Endpoint, Option<Instant>)> {
        let known = self.known.get(&node)?;
        let closes = self.since(node).map(|since| since + grace);
        closes.is_none_or(|closes| now < closes).then_some((&known.endpoint, closes))
    }

    /// Of the nodes in a message of the list, those that drain, and when nothing more may begin there.
    pub fn closing(&self, message: &Event, grace: Duration) -> Vec<(NodeId, Instant)> {
        let Event::List { entries, .. } = message else { return Vec::new() };
        let draining = entries.iter().filter(|entry| entry.state == NodeState::Draining);
        draining.filter_map(|entry| Some((entry.node, self.since(entry.node)? + grace))).collect()
    }

    /// Since when a node is to get nothing new, whoever said so first.
    fn since(&self, node: NodeId) -> Option<Instant> {
        [self.drains(node), self.out_since(node)].into_iter().flatten().min()
    }

    /// The shard that a node holds.
    pub fn shard(&self, node: NodeId) -> Option<u32> {
        self.known.get(&node).map(|known| known.line.shard)
    }

    /// Nodes that may be used.
    pub fn ready(&self) -> usize {
        let ready = self.known.iter().filter(|(_, known)| known.line.state == NodeState::Ready);
        ready.filter(|(node, _)| self.out_since(**node).is_none()).count()
    }

    /// How many there are of what is kept, by name.
    pub fn sizes(&self) -> [(&'static str, usize); 3] {
        [("nodes", self.known.len()), ("node_names", self.ids.len()), ("nodes_banned", self.bans.len())]
    }
}

fn drained(line: &NodeEntry) -> NodeEntry {
    NodeEntry { state: NodeState::Draining, ..line.clone() }
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

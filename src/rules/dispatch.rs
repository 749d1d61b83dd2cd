//! Dispatch: which queued request goes to which node next.

use super::node::{InFlight, Node, EXCESS_ERRORS};
use super::node_table::Wait;
use super::{min_latency_target, Request, Scheduler};
use crate::interface::*;
use rustc_hash::FxHashSet;
use std::iter::Peekable;
use std::vec::IntoIter;

/// Maximum number of nodes that new objects are offered to in one call, the shortest expected wait first. It
/// bounds the cost of a call in a large fleet; a node passed over is considered again in the next call.
const MAX_OFFERED_NODES: usize = 256;

/// The nodes that queued requests may go to, by expected wait as of the beginning of a call, shortest first.
struct Offers {
    /// Nodes with requests queued for their own shard.
    of_shards: Peekable<IntoIter<(Wait, NodeId)>>,
    /// Position in the iteration over the other nodes, which new objects may go to.
    position: Option<(Wait, NodeId)>,
    /// Nodes that this iteration skips.
    visited: FxHashSet<NodeId>,
    /// Number of the other nodes that may still be visited.
    remaining: usize,
}

impl Scheduler {
    /// Sends queued requests to nodes, the one with the shortest expected wait first, so that no node waits
    /// behind a silent or slow one.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let min_errors = self.nodes.min_error_share().unwrap_or(1.0).min(1.0);
        let mut offers = self.offers();
        while let Some(id) = self.next_offer(&mut offers) {
            while let Some(request) = self.choose(id, min_errors) {
                self.send(request, id, actions);
            }
        }
    }

    /// The candidates of a call: nodes with requests queued for their shard, and the iteration over the
    /// others.
    fn offers(&self) -> Offers {
        let target = min_latency_target(&self.settings);
        let wait = |node: &Node| {
            let queued = self.queue.requests_for(Some(node.entry.shard)).len();
            (Wait::of(node.expected_wait(queued, target)), node.entry.node)
        };
        let of_shards = self.queue.shards().flat_map(|shard| self.nodes.usable_of(shard));
        let mut of_shards: Vec<(Wait, NodeId)> = of_shards.map(wait).collect();
        of_shards.sort_unstable();
        let visited = of_shards.iter().map(|(_, id)| *id).collect();
        Offers {
            of_shards: of_shards.into_iter().peekable(),
            position: None,
            visited,
            remaining: MAX_OFFERED_NODES,
        }
    }

    /// The node to send requests to next.
    fn next_offer(&self, offers: &mut Offers) -> Option<NodeId> {
        let other = self.next_for_new_objects(offers);
        let of_shard = offers.of_shards.peek().copied();
        match (of_shard, other) {
            (Some(of_shard), Some(other)) if other < of_shard => self.visit(offers, other),
            (Some(_), _) => offers.of_shards.next().map(|(_, id)| id),
            (None, Some(other)) => self.visit(offers, other),
            (None, None) => None,
        }
    }

    /// The next node without requests queued for its shard, while new objects are queued.
    fn next_for_new_objects(&self, offers: &Offers) -> Option<(Wait, NodeId)> {
        if offers.remaining == 0 || self.queue.requests_for(None).is_empty() {
            return None;
        }
        self.nodes.by_wait_after(offers.position).find(|(_, id)| !offers.visited.contains(id))
    }

    /// Marks a node as visited and returns its id.
    fn visit(&self, offers: &mut Offers, other: (Wait, NodeId)) -> Option<NodeId> {
        offers.remaining -= 1;
        offers.position = Some(other);
        // A node that was sent a request reappears later in the iteration, as its expected wait has grown.
        offers.visited.insert(other.1);
        Some(other.1)
    }

    /// The request to send to a node next: classes with free slots first (unused slots are lent to others),
    /// then the lowest cost.
    fn choose(&self, id: NodeId, min_errors: f64) -> Option<RequestId> {
        let node = self.nodes.get(id)?;
        if self.now < node.blocked_until || !self.has_capacity(node) {
            return None;
        }
        let max_cost = self.max_cost(node);
        let rank = |id: &RequestId| {
            let (request, cost) = (&self.requests[id], self.cost(&self.requests[id], node));
            let is_above_level = cost > max_cost && !(request.attempts > 0 && self.is_only_open_request());
            if is_above_level || !self.permitted(request, node) {
                return None;
            }
            let in_flight =
                node.in_flight.values().filter(|attempt| attempt.class == request.spec.class).count();
            Some((in_flight < node.slots[request.spec.class], -cost, *id))
        };
        // Draining nodes get no new objects, nor do nodes with many errors, however quickly they answer.
        let no_new_objects =
            node.entry.no_new_objects || !node.is_ready() || node.error_share > min_errors + EXCESS_ERRORS;
        let keys = [Some(node.entry.shard), None].into_iter().take(2 - usize::from(no_new_objects));
        let best = keys.flat_map(|key| self.queue.requests_for(key)).filter_map(rank);
        best.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2))).map(|best| best.2)
    }

    /// Whether a single request is queued and no attempt is in flight. Levels change only with answers: a
    /// request whose first answer was lost would otherwise wait until its deadline beside an idle node.
    fn is_only_open_request(&self) -> bool {
        self.queue.len() == 1 && self.nodes.busy().next().is_none()
    }

    /// Starts an attempt and accounts for it.
    fn send(&mut self, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        let Some(key) = self.requests.get(&id).map(Request::queue_key) else { return };
        let Some(node) = self.nodes.get(node_id) else { return };
        let slow_start_rate = self.slow_start_rate(node);
        self.queue.remove(key, id);
        let limit = self.limit_share(&self.requests[&id]);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let spec = &request.spec;
        let (class, may_have_run) = (&self.settings.classes[spec.class], request.may_have_run);
        let window = may_have_run
            .filter(|_| matches!(class.effect, Effect::Keyed(_)))
            .map(|may_have_run| may_have_run.2 + class.dedup_window);
        let begin_by = window.map_or(spec.deadline, |end| end.min(spec.deadline));
        if let (Some((rate, burst)), Some(volume)) = (limit, self.volumes.get_mut(&spec.volume)) {
            volume.limit.fill(self.now, rate, burst);
            volume.limit.level -= spec.units;
        }
        self.retry_times.extend((request.attempts > 0).then_some(self.now));
        self.key_queues.entry(spec.key).and_modify(|queue| queue.last_attempted = Some(id));
        let (now, rules) = (self.now, &self.settings.rules);
        self.nodes.change(node_id, |node| {
            if node.slow_start_end(rules) > now {
                node.slow_start.fill(now, slow_start_rate, 0.0);
                node.slow_start.level -= spec.units;
            }
            node.in_flight.insert(id, InFlight { sent: now, class: spec.class, units: spec.units });
            node.last_key = spec.key;
        });
        let give_up_at = spec.deadline;
        (request.attempts, request.streaming) = (request.attempts + 1, false);
        request.in_flight = Some((node_id, now));
        actions.push(Action::Send { id, node: node_id, give_up_at, begin_by });
    }
}

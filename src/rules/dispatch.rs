//! Which queued request goes to which node next.

use super::node::{InFlight, Node, EXCESS_ERROR_SHARE};
use super::node_table::Wait;
use super::{min_latency_target, Request, Scheduler};
use crate::interface::*;
use rustc_hash::FxHashSet;
use std::iter::Peekable;
use std::vec::IntoIter;

/// Nodes that new objects are offered to in one call, those with the shortest wait first. Bounds what a call
/// costs in a large fleet: whoever refuses here is asked again at the next call.
const MAX_OFFERED_NODES: usize = 256;

/// The nodes that queued requests may go to, the shortest wait first, as of the beginning of a call.
struct Offers {
    /// Nodes with requests queued for their own shard.
    of_shards: Peekable<IntoIter<(Wait, NodeId)>>,
    /// How far the others were gone through, for new objects.
    position: Option<(Wait, NodeId)>,
    /// Nodes that come up no more among the others.
    visited: FxHashSet<NodeId>,
    /// How many of the others may still be looked at.
    remaining: usize,
}

impl Scheduler {
    /// Fills nodes with work, the shortest wait first, so that none waits behind one that is silent or slow.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let least = self.nodes.min_error_share().unwrap_or(1.0).min(1.0);
        let mut offers = self.offers();
        while let Some(id) = self.next_offer(&mut offers) {
            while let Some(request) = self.choose(id, least) {
                self.send(request, id, actions);
            }
        }
    }

    fn offers(&self) -> Offers {
        let aim = min_latency_target(&self.settings);
        let wait = |node: &Node| {
            let queued = self.queue.requests_for(Some(node.entry.shard)).len();
            (Wait::of(node.expected_wait(queued, aim)), node.entry.node)
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

    /// The node to fill next.
    fn next_offer(&self, offers: &mut Offers) -> Option<NodeId> {
        let other = self.next_other(offers);
        let of_shard = offers.of_shards.peek().copied();
        match (of_shard, other) {
            (Some(of_shard), Some(other)) if other < of_shard => self.pass(offers, other),
            (Some(_), _) => offers.of_shards.next().map(|(_, id)| id),
            (None, Some(other)) => self.pass(offers, other),
            (None, None) => None,
        }
    }

    /// The next node that has no request queued for its shard, while new objects are queued.
    fn next_other(&self, offers: &Offers) -> Option<(Wait, NodeId)> {
        if offers.remaining == 0 || self.queue.requests_for(None).is_empty() {
            return None;
        }
        self.nodes.by_wait_after(offers.position).find(|(_, id)| !offers.visited.contains(id))
    }

    fn pass(&self, offers: &mut Offers, other: (Wait, NodeId)) -> Option<NodeId> {
        offers.remaining -= 1;
        offers.position = Some(other);
        // One that was sent a request comes up again further on.
        offers.visited.insert(other.1);
        Some(other.1)
    }

    /// The request to send to a node next: by need, classes below their bound first (unused slots are lent).
    fn choose(&self, id: NodeId, least: f64) -> Option<RequestId> {
        let node = self.nodes.get(id)?;
        if self.now < node.blocked_until || !self.has_capacity(node) {
            return None;
        }
        let level = self.max_cost(node);
        let rank = |id: &RequestId| {
            let (request, need) = (&self.requests[id], self.cost(&self.requests[id], node));
            let waits_for_level = need > level && !(request.attempts > 0 && self.is_only_open_request());
            if waits_for_level || !self.permitted(request, node) {
                return None;
            }
            let out = node.in_flight.values().filter(|out| out.class == request.spec.class).count();
            Some((out < node.slots[request.spec.class], -need, *id))
        };
        // A node that leaves gets no new objects, nor does one that answers with errors, however quickly.
        let fixed =
            node.entry.no_new_objects || !node.is_ready() || node.error_share > least + EXCESS_ERROR_SHARE;
        let lanes = [Some(node.entry.shard), None].into_iter().take(2 - usize::from(fixed));
        let best = lanes.flat_map(|lane| self.queue.requests_for(lane)).filter_map(rank);
        best.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2))).map(|best| best.2)
    }

    /// Whether no attempt is out and a single request is queued. Levels move with answers alone: one that was
    /// tried already, and whose answer was lost, would wait for all of its time beside an idle node.
    fn is_only_open_request(&self) -> bool {
        self.queue.len() == 1 && self.nodes.busy().next().is_none()
    }

    fn send(&mut self, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        let Some(lane) = self.requests.get(&id).map(Request::queue_key) else { return };
        let Some(node) = self.nodes.get(node_id) else { return };
        let slow_start_rate = self.slow_start_rate(node);
        self.queue.remove(lane, id);
        let limit = self.limit_share(&self.requests[&id]);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let new = &request.spec;
        let (class, ran) = (&self.settings.classes[new.class], request.may_have_run);
        let window =
            ran.filter(|_| matches!(class.effect, Effect::Keyed(_))).map(|ran| ran.2 + class.dedup_window);
        let begin_by = window.map_or(new.deadline, |end| end.min(new.deadline));
        if let (Some((rate, burst)), Some(volume)) = (limit, self.volumes.get_mut(&new.volume)) {
            volume.limit.fill(self.now, rate, burst);
            volume.limit.level -= new.units;
        }
        self.retry_times.extend((request.attempts > 0).then_some(self.now));
        self.key_queues.entry(new.key).and_modify(|line| line.last_attempted = Some(id));
        let (now, rules) = (self.now, &self.settings.rules);
        self.nodes.change(node_id, |node| {
            if node.slow_start_end(rules) > now {
                node.slow_start.fill(now, slow_start_rate, 0.0);
                node.slow_start.level -= new.units;
            }
            node.in_flight.insert(id, InFlight { sent: now, class: new.class, units: new.units });
            node.last_key = new.key;
        });
        let give_up_at = new.deadline;
        (request.attempts, request.streaming) = (request.attempts + 1, false);
        request.in_flight = Some((node_id, now));
        actions.push(Action::Send { id, node: node_id, give_up_at, begin_by });
    }
}

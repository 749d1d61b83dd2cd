//! Which queued request goes to which node next.

use super::node::{Node, Out, MORE_ERRORS};
use super::node_table::Wait;
use super::{tightest_aim, Request, Scheduler};
use crate::interface::*;
use rustc_hash::FxHashSet;
use std::iter::Peekable;
use std::vec::IntoIter;

/// Nodes that new objects are offered to in one call, those with the shortest wait first. Bounds what a call
/// costs in a large fleet: whoever refuses here is asked again at the next call.
const MOST_OFFERED: usize = 256;

/// The nodes that queued requests may go to, the shortest wait first, as of the beginning of a call.
struct Offers {
    /// Nodes with requests queued for their own shard.
    of_shards: Peekable<IntoIter<(Wait, NodeId)>>,
    /// How far the others were gone through, for new objects.
    reached: Option<(Wait, NodeId)>,
    /// Nodes that come up no more among the others.
    passed: FxHashSet<NodeId>,
    /// How many of the others may still be looked at.
    left: usize,
}

impl Scheduler {
    /// Fills nodes with work, the shortest wait first, so that none waits behind one that is silent or slow.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let least = self.nodes.least_errors().unwrap_or(1.0).min(1.0);
        let mut offers = self.offers();
        while let Some(id) = self.next_offer(&mut offers) {
            while let Some(request) = self.choose(id, least) {
                self.send(request, id, actions);
            }
        }
    }

    fn offers(&self) -> Offers {
        let aim = tightest_aim(&self.settings);
        let wait = |node: &Node| {
            let queued = self.held.lane(Some(node.entry.shard)).len();
            (Wait::of(node.expected_wait(queued, aim)), node.entry.node)
        };
        let of_shards = self.held.shards().flat_map(|shard| self.nodes.usable_of(shard));
        let mut of_shards: Vec<(Wait, NodeId)> = of_shards.map(wait).collect();
        of_shards.sort_unstable();
        let passed = of_shards.iter().map(|(_, id)| *id).collect();
        Offers { of_shards: of_shards.into_iter().peekable(), reached: None, passed, left: MOST_OFFERED }
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
        if offers.left == 0 || self.held.lane(None).is_empty() {
            return None;
        }
        self.nodes.by_wait_after(offers.reached).find(|(_, id)| !offers.passed.contains(id))
    }

    fn pass(&self, offers: &mut Offers, other: (Wait, NodeId)) -> Option<NodeId> {
        offers.left -= 1;
        offers.reached = Some(other);
        // One that was sent a request comes up again further on.
        offers.passed.insert(other.1);
        Some(other.1)
    }

    /// The request to send to a node next: by need, classes below their bound first (unused slots are lent).
    fn choose(&self, id: NodeId, least: f64) -> Option<RequestId> {
        let node = self.nodes.get(id)?;
        if self.now < node.blocked_until || !self.has_room(node) {
            return None;
        }
        let level = self.level_of(node);
        let rank = |id: &RequestId| {
            let (request, need) = (&self.requests[id], self.need(&self.requests[id], node));
            let waits_for_level = need > level && !(request.attempts > 0 && self.nothing_else_is_open());
            if waits_for_level || !self.permitted(request, node) {
                return None;
            }
            let out = node.out.values().filter(|out| out.class == request.new.class).count();
            Some((out < node.bounds[request.new.class], -need, *id))
        };
        // A node that leaves gets no new objects, nor does one that answers with errors, however quickly.
        let fixed = node.entry.no_new_objects || !node.is_ready() || node.errors > least + MORE_ERRORS;
        let lanes = [Some(node.entry.shard), None].into_iter().take(2 - usize::from(fixed));
        let best = lanes.flat_map(|lane| self.held.lane(lane)).filter_map(rank);
        best.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2))).map(|best| best.2)
    }

    /// Whether no attempt is out and a single request is queued. Levels move with answers alone: one that was
    /// tried already, and whose answer was lost, would wait for all of its time beside an idle node.
    fn nothing_else_is_open(&self) -> bool {
        self.held.len() == 1 && self.nodes.busy().next().is_none()
    }

    fn send(&mut self, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        let Some(lane) = self.requests.get(&id).map(Request::lane) else { return };
        let Some(node) = self.nodes.get(node_id) else { return };
        let cold_rate = self.cold_rate(node);
        self.held.remove(lane, id);
        let limit = self.limit_part(&self.requests[&id]);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let new = &request.new;
        let (class, ran) = (&self.settings.classes[new.class], request.may_have_run);
        let window =
            ran.filter(|_| matches!(class.effect, Effect::Keyed(_))).map(|ran| ran.2 + class.dedup_window);
        let begin_by = window.map_or(new.deadline, |end| end.min(new.deadline));
        if let (Some((rate, burst)), Some(volume)) = (limit, self.volumes.get_mut(&new.volume)) {
            volume.limit.fill(self.now, rate, burst);
            volume.limit.level -= new.units;
        }
        self.further.extend((request.attempts > 0).then_some(self.now));
        self.keys.entry(new.key).and_modify(|line| line.turn = Some(id));
        let (now, rules) = (self.now, &self.settings.rules);
        self.nodes.change(node_id, |node| {
            if node.cold_until(rules) > now {
                node.cold.fill(now, cold_rate, 0.0);
                node.cold.level -= new.units;
            }
            node.out.insert(id, Out { sent: now, class: new.class, units: new.units });
            node.last_key = new.key;
        });
        let give_up_at = new.deadline;
        (request.attempts, request.streaming) = (request.attempts + 1, false);
        request.out = Some((node_id, now));
        actions.push(Action::Send { id, node: node_id, give_up_at, begin_by });
    }
}

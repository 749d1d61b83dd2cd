//! Attempts that take longer than usual: how many a node may have in flight then, and which are withdrawn.

use super::node::{InFlight, Node, MAX_NODE_DEPTH};
use super::{min_latency_target, Scheduler};
use crate::interface::*;
use std::time::Duration;

/// Deviations beyond the smoothed latency that are still usual, as in TCP's retransmission time-out (RFC
/// 6298).
const USUAL_DEVIATIONS: u32 = 4;

impl Scheduler {
    /// Whether a node may be sent more: overtaken and streaming hold no slot, overdue slow it down (i8370b0).
    pub(super) fn has_capacity(&self, node: &Node) -> bool {
        let slow = |id: &RequestId| self.requests.get(id).is_some_and(|request| request.streaming);
        let (mut live, mut overdue, mut newest) = (0, 0, Duration::ZERO);
        for (_, out) in node.in_flight.iter().filter(|(id, out)| !slow(id) && !self.overtaken(node, out)) {
            match self.overdue(node, out) {
                true => (overdue, newest) = (overdue + 1, newest.max(out.sent)),
                false => live += 1,
            }
        }
        if node.failures > 1 || overdue == 0 {
            let most = if node.failures > 1 { 1.0 } else { node.depth.floor().max(1.0) };
            return f64::from(live + overdue) < most;
        }
        let pause = self.usual_latency(node).mul_f64(f64::powi(2.0, overdue - 1));
        live == 0 && self.now.saturating_sub(newest) > pause && f64::from(overdue) < MAX_NODE_DEPTH
    }

    /// How long an answer of a mean request usually takes at most.
    fn usual_latency(&self, node: &Node) -> Duration {
        let usual = |(mean, deviation): (Duration, Duration)| mean + (deviation * USUAL_DEVIATIONS).max(mean);
        node.latency.map_or(min_latency_target(&self.settings), usual)
    }

    /// An attempt is overdue when it has been out for longer than usual for its size.
    fn overdue(&self, node: &Node, out: &InFlight) -> bool {
        let size = (out.units / self.settings.units.mean.max(f64::MIN_POSITIVE)).max(1.0);
        self.now.saturating_sub(out.sent) > self.usual_latency(node).mul_f64(size) + self.loop_delay
    }

    /// It is overtaken when the node has also answered a later one: its answer is lost, or it is far heavier.
    fn overtaken(&self, node: &Node, out: &InFlight) -> bool {
        node.newest_answered > out.sent && self.overdue(node, out)
    }

    /// Withdraws first attempts that were overtaken, where another is allowed (answers that vanish, i8370b0).
    pub(super) fn cancel_overtaken(&mut self, actions: &mut Vec<Action>) {
        let cancel = self.settings.limits.allow_cancel;
        let over = |(node, (id, out)): (&Node, (&RequestId, &InFlight))| {
            let it = self.requests.get(id).filter(|_| cancel && self.overtaken(node, out))?;
            let first = it.attempts == 1 && !it.cancelled && !it.finished && !it.streaming;
            (first && self.repeatable(it, Some(out.sent)) && self.budget_permits(it)).then_some(*id)
        };
        let out = self.nodes.busy().flat_map(|node| node.in_flight.iter().map(move |out| (node, out)));
        for id in out.filter_map(over).collect::<Vec<_>>() {
            actions.push(Action::Cancel { id, attempt: 0 });
            self.requests.entry(id).and_modify(|it| it.cancelled = true);
        }
    }
}

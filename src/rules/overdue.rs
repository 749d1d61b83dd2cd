//! Attempts that take longer than usual: how they limit what else is sent to their node, and which of them
//! are cancelled.

use super::node::{InFlight, Node, MAX_NODE_DEPTH};
use super::{min_latency_target, Scheduler};
use crate::interface::*;
use std::time::Duration;

/// Deviations above the smoothed latency that count as usual, as in TCP's retransmission time-out (RFC 6298).
const USUAL_DEVIATIONS: u32 = 4;

impl Scheduler {
    /// Whether a node may be sent another request. Overtaken and streaming attempts take no slot; overdue
    /// ones reduce the rate (incident i8370b0).
    pub(super) fn has_capacity(&self, node: &Node) -> bool {
        let is_streaming = |id: &RequestId| self.requests.get(id).is_some_and(|request| request.streaming);
        let (mut live, mut overdue, mut newest) = (0, 0, Duration::ZERO);
        for (_, attempt) in
            node.in_flight.iter().filter(|(id, attempt)| !is_streaming(id) && !self.overtaken(node, attempt))
        {
            match self.overdue(node, attempt) {
                true => (overdue, newest) = (overdue + 1, newest.max(attempt.sent)),
                false => live += 1,
            }
        }
        if node.failures > 1 || overdue == 0 {
            let max_in_flight = if node.failures > 1 { 1.0 } else { node.depth.floor().max(1.0) };
            return f64::from(live + overdue) < max_in_flight;
        }
        let pause = self.usual_latency(node).mul_f64(f64::powi(2.0, overdue - 1));
        live == 0 && self.now.saturating_sub(newest) > pause && f64::from(overdue) < MAX_NODE_DEPTH
    }

    /// Upper bound of the usual latency of a mean request.
    fn usual_latency(&self, node: &Node) -> Duration {
        let usual = |(mean, deviation): (Duration, Duration)| mean + (deviation * USUAL_DEVIATIONS).max(mean);
        node.latency.map_or(min_latency_target(&self.settings), usual)
    }

    /// An attempt is overdue when it has been in flight for longer than usual for its size.
    fn overdue(&self, node: &Node, attempt: &InFlight) -> bool {
        let size = (attempt.units / self.settings.units.mean.max(f64::MIN_POSITIVE)).max(1.0);
        self.now.saturating_sub(attempt.sent) > self.usual_latency(node).mul_f64(size) + self.loop_delay
    }

    /// An overdue attempt is overtaken when the node has answered a later one: its answer is lost, or it
    /// takes far more work.
    fn overtaken(&self, node: &Node, attempt: &InFlight) -> bool {
        node.newest_answered > attempt.sent && self.overdue(node, attempt)
    }

    /// Cancels first attempts that were overtaken, where a retry is allowed (lost answers, incident i8370b0).
    pub(super) fn cancel_overtaken(&mut self, actions: &mut Vec<Action>) {
        let allow_cancel = self.settings.limits.allow_cancel;
        let to_cancel = |(node, (id, attempt)): (&Node, (&RequestId, &InFlight))| {
            let it = self.requests.get(id).filter(|_| allow_cancel && self.overtaken(node, attempt))?;
            let first = it.attempts == 1 && !it.cancelled && !it.finished && !it.streaming;
            (first && self.repeatable(it, Some(attempt.sent)) && self.budget_permits(it)).then_some(*id)
        };
        let attempts =
            self.nodes.busy().flat_map(|node| node.in_flight.iter().map(move |attempt| (node, attempt)));
        for id in attempts.filter_map(to_cancel).collect::<Vec<_>>() {
            actions.push(Action::Cancel { id, attempt: 0 });
            self.requests.entry(id).and_modify(|it| it.cancelled = true);
        }
    }
}

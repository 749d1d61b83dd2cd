//! Admission control: the cost of a queued request, and the highest cost that is admitted at a node (its
//! level). Levels follow the latencies of answers.

use super::node::{Node, EXCESS_ERRORS};
use super::{
    highest_worth, min_latency_target, rate_by_weight, top_level, Request, Scheduler, LEVEL_MEMORY, MIN_LEVEL,
};
use crate::interface::*;
use crate::quantity::Decaying;

/// Relative cost assumed for a request with the same key as the last one sent to the node: half, as the
/// actual saving is unknown.
const REPEAT_COST: f64 = 0.5;
/// Share of the tightest latency target that an answer may take before its node's level falls.
const ANSWER_SHARE: f64 = 1.0 / 3.0;
/// Weight of an answer in a level if it arrives the latency target or longer after the last one; sooner ones
/// weigh less.
const LEVEL_GAIN: f64 = 1.0 / 2.0;
/// Bounds of one answer's effect on a level (natural logarithm): levels fall quickly and rise slowly.
const LEVEL_STEP_BOUNDS: (f64, f64) = (-2.0, 0.25);

impl Scheduler {
    /// The cost of a request at a node: its relative depth in its volume's demand, divided by its worth.
    /// Requests are sent in order of their cost, the lowest first.
    pub(super) fn cost(&self, request: &Request, node: &Node) -> f64 {
        let units = &self.settings.units;
        let class = &self.settings.classes[request.spec.class];
        let is_late = self.is_past_target(request, node);
        let mut worth =
            class.worth / highest_worth(&self.settings) * if is_late { class.late_worth } else { 1.0 };
        if request.attempts == 0 && request.spec.key != 0 && request.spec.key == node.last_key {
            worth /= REPEAT_COST;
        }
        let Some(plan) = self.settings.plans.get(request.spec.plan) else { return 1.0 / worth };
        let demand = self.volumes[&request.spec.volume].demand(self.now, units.largest);
        // Without a stated base rate the volume's own demand is used.
        let base = units.base_rates.get(request.spec.plan).copied().filter(|base| *base > 0.0);
        // A request past its latency target ranks behind all that its volume's size covers in time.
        let depth = request.position * demand + if is_late { base.unwrap_or(demand) } else { 0.0 };
        worth *= plan.worth_factor;
        if depth <= plan.reserve {
            return depth / base.unwrap_or(demand) / worth;
        }
        let share = plan.weight * rate_by_weight(&self.settings);
        let size = if share > 0.0 { share } else { base.unwrap_or(demand) };
        depth / size.max(f64::MIN_POSITIVE) / (worth * units.share_worth)
    }

    /// The level of a node: the highest cost that is admitted there now.
    pub(super) fn max_cost(&self, node: &Node) -> f64 {
        (self.admission_level + node.level_offset.value_at(self.now, LEVEL_MEMORY)).max(MIN_LEVEL).exp()
    }

    /// Adjusts the levels to an attempt's latency, against overload by many initiators, by surges and at slow
    /// nodes (incidents iaf9229, i44241e, ifab359).
    pub(super) fn update_level(&mut self, node: NodeId, end: &AttemptEnd, units: f64) {
        let (top, target) = (top_level(&self.settings), min_latency_target(&self.settings));
        let step = match end.outcome {
            Outcome::Error if self.nodes.get(node).is_some_and(|it| it.error_share > EXCESS_ERRORS) => return,
            Outcome::Served | Outcome::Error => {
                let size = (units / self.settings.units.mean.max(f64::MIN_POSITIVE)).max(1.0);
                let ratio = target.div_duration_f64(end.latency) * ANSWER_SHARE * size;
                ratio.ln().clamp(LEVEL_STEP_BOUNDS.0, LEVEL_STEP_BOUNDS.1)
            }
            Outcome::Rejected if end.attempt > 0 => return,
            // The client is gone, which says nothing of the node.
            Outcome::Cancelled if end.finished => return,
            Outcome::Rejected | Outcome::TimedOut | Outcome::Cancelled => LEVEL_STEP_BOUNDS.0,
            _ => return,
        };
        let Some(level) = self.nodes.get(node).map(|node| node.level_offset) else { return };
        let gain =
            |last| LEVEL_GAIN * (1.0 - (-self.now.saturating_sub(last).div_duration_f64(target)).exp());
        let common =
            self.admission_level + gain(self.admission_level_at) * step.max(-4.0 * LEVEL_STEP_BOUNDS.1);
        (self.admission_level, self.admission_level_at) = (common.clamp(MIN_LEVEL, top), self.now);
        let own = level.value_at(self.now, LEVEL_MEMORY) + gain(level.updated_at) * step;
        let own = own.clamp(MIN_LEVEL - self.admission_level, top - MIN_LEVEL - self.admission_level);
        let level = Decaying { value: own, updated_at: self.now };
        self.nodes.change_figures(node, |node| node.level_offset = level);
    }

    /// Whether even a fast answer would miss the latency target of the request's class.
    fn is_past_target(&self, request: &Request, node: &Node) -> bool {
        self.now + node.optimistic_latency()
            > request.first_asked_at + self.settings.classes[request.spec.class].latency_target
    }
}

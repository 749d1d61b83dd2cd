//! How much a queued request is needed, and how needed it has to be: the levels follow the time that answers
//! take.

use super::node::{Node, EXCESS_ERROR_SHARE};
use super::{
    highest_worth, min_latency_target, rate_by_weight, top_level, Request, Scheduler, LEVEL_MEMORY, MIN_LEVEL,
};
use crate::interface::*;
use crate::quantity::Decaying;

/// What a request with the key sent last is taken to cost, against another: half, as the saving is unknown.
const REPEAT_COST: f64 = 0.5;
/// Part of the tightest aim that an answer may take before fewer requests are let through to its node.
const ANSWER_SHARE: f64 = 1.0 / 3.0;
/// Weight in the levels of an answer that comes an aim or longer after the last.
const LEVEL_GAIN: f64 = 1.0 / 2.0;
/// Bounds of one answer's say (natural logarithm): falls are quick, a rise is tried slowly.
const LEVEL_STEP_BOUNDS: (f64, f64) = (-2.0, 0.25);

impl Scheduler {
    /// How deep a request lies in its volume's demand, against what it is worth for its work.
    pub(super) fn cost(&self, request: &Request, node: &Node) -> f64 {
        let units = &self.settings.units;
        let class = &self.settings.classes[request.spec.class];
        let late = self.is_past_target(request, node);
        let mut worth =
            class.worth / highest_worth(&self.settings) * if late { class.late_worth } else { 1.0 };
        if request.attempts == 0 && request.spec.key != 0 && request.spec.key == node.last_key {
            worth /= REPEAT_COST;
        }
        let Some(plan) = self.settings.plans.get(request.spec.plan) else { return 1.0 / worth };
        let demand = self.volumes[&request.spec.volume].demand(self.now, units.largest);
        // Where no size is stated, a volume's own demand serves as it.
        let base = units.base_rates.get(request.spec.plan).copied().filter(|base| *base > 0.0);
        // A late one lies below all that its volume's size holds in time.
        let depth = request.position * demand + if late { base.unwrap_or(demand) } else { 0.0 };
        worth *= plan.worth_factor;
        if depth <= plan.reserve {
            return depth / base.unwrap_or(demand) / worth;
        }
        let share = plan.weight * rate_by_weight(&self.settings);
        let size = if share > 0.0 { share } else { base.unwrap_or(demand) };
        depth / size.max(f64::MIN_POSITIVE) / (worth * units.share_worth)
    }

    pub(super) fn max_cost(&self, node: &Node) -> f64 {
        (self.admission_level + node.level_offset.value_at(self.now, LEVEL_MEMORY)).max(MIN_LEVEL).exp()
    }

    /// Levels follow the time that answers take (many hosts, surges, slow nodes: iaf9229, i44241e, ifab359).
    pub(super) fn update_level(&mut self, node: NodeId, end: &AttemptEnd, units: f64) {
        let (top, aim) = (top_level(&self.settings), min_latency_target(&self.settings));
        let say = match end.outcome {
            Outcome::Error
                if self.nodes.get(node).is_some_and(|node| node.error_share > EXCESS_ERROR_SHARE) =>
            {
                return
            }
            Outcome::Served | Outcome::Error => {
                let size = (units / self.settings.units.mean.max(f64::MIN_POSITIVE)).max(1.0);
                let ratio = aim.div_duration_f64(end.latency) * ANSWER_SHARE * size;
                ratio.ln().clamp(LEVEL_STEP_BOUNDS.0, LEVEL_STEP_BOUNDS.1)
            }
            Outcome::Rejected if end.attempt > 0 => return,
            Outcome::Cancelled if end.finished => return, // Its client went: that tells nothing.
            Outcome::Rejected | Outcome::TimedOut | Outcome::Cancelled => LEVEL_STEP_BOUNDS.0,
            _ => return,
        };
        let Some(level) = self.nodes.get(node).map(|node| node.level_offset) else { return };
        let gain = |last| LEVEL_GAIN * (1.0 - (-self.now.saturating_sub(last).div_duration_f64(aim)).exp());
        let common =
            self.admission_level + gain(self.admission_level_at) * say.max(-4.0 * LEVEL_STEP_BOUNDS.1);
        (self.admission_level, self.admission_level_at) = (common.clamp(MIN_LEVEL, top), self.now);
        let own = level.value_at(self.now, LEVEL_MEMORY) + gain(level.updated_at) * say;
        let own = own.clamp(MIN_LEVEL - self.admission_level, top - MIN_LEVEL - self.admission_level);
        let level = Decaying { value: own, updated_at: self.now };
        self.nodes.change_figures(node, |node| node.level_offset = level);
    }

    fn is_past_target(&self, request: &Request, node: &Node) -> bool {
        self.now + node.optimistic_latency()
            > request.first_asked_at + self.settings.classes[request.spec.class].latency_target
    }
}

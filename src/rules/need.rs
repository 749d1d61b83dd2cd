//! How much a queued request is needed, and how needed it has to be: the levels follow the time that answers
//! take.

use super::node::{Node, MORE_ERRORS};
use super::{
    highest_worth, rate_by_weight, tightest_aim, top_level, Request, Scheduler, LEAST_LEVEL, LEVEL_MEMORY,
};
use crate::interface::*;
use crate::quantity::Fading;

/// What a request with the key sent last is taken to cost, against another: half, as the saving is unknown.
const REPEAT_COST: f64 = 0.5;
/// Part of the tightest aim that an answer may take before fewer requests are let through to its node.
const ANSWER_SHARE: f64 = 1.0 / 3.0;
/// Weight in the levels of an answer that comes an aim or longer after the last.
const LEVEL_GAIN: f64 = 1.0 / 2.0;
/// Bounds of one answer's say (natural logarithm): falls are quick, a rise is tried slowly.
const LEVEL_SAY: (f64, f64) = (-2.0, 0.25);

impl Scheduler {
    /// How deep a request lies in its volume's demand, against what it is worth for its work.
    pub(super) fn need(&self, request: &Request, node: &Node) -> f64 {
        let units = &self.settings.units;
        let class = &self.settings.classes[request.new.class];
        let late = self.is_late(request, node);
        let mut worth =
            class.worth / highest_worth(&self.settings) * if late { class.late_worth } else { 1.0 };
        if request.attempts == 0 && request.new.key != 0 && request.new.key == node.last_key {
            worth /= REPEAT_COST;
        }
        let Some(plan) = self.settings.plans.get(request.new.plan) else { return 1.0 / worth };
        let demand = self.volumes[&request.new.volume].demand(self.now, units.largest);
        // Where no size is stated, a volume's own demand serves as it.
        let base = units.base_rates.get(request.new.plan).copied().filter(|base| *base > 0.0);
        // A late one lies below all that its volume's size holds in time.
        let depth = request.place * demand + if late { base.unwrap_or(demand) } else { 0.0 };
        worth *= plan.worth_factor;
        if depth <= plan.reserve {
            return depth / base.unwrap_or(demand) / worth;
        }
        let share = plan.weight * rate_by_weight(&self.settings);
        let size = if share > 0.0 { share } else { base.unwrap_or(demand) };
        depth / size.max(f64::MIN_POSITIVE) / (worth * units.share_worth)
    }

    pub(super) fn level_of(&self, node: &Node) -> f64 {
        (self.level + node.level.now(self.now, LEVEL_MEMORY)).max(LEAST_LEVEL).exp()
    }

    /// Levels follow the time that answers take (many hosts, surges, slow nodes: iaf9229, i44241e, ifab359).
    pub(super) fn learn_level(&mut self, node: NodeId, end: &AttemptEnd, units: f64) {
        let (top, aim) = (top_level(&self.settings), tightest_aim(&self.settings));
        let say = match end.outcome {
            Outcome::Error if self.nodes.get(node).is_some_and(|node| node.errors > MORE_ERRORS) => return,
            Outcome::Served | Outcome::Error => {
                let size = (units / self.settings.units.mean.max(f64::MIN_POSITIVE)).max(1.0);
                let ratio = aim.div_duration_f64(end.latency) * ANSWER_SHARE * size;
                ratio.ln().clamp(LEVEL_SAY.0, LEVEL_SAY.1)
            }
            Outcome::Rejected if end.attempt > 0 => return,
            Outcome::Cancelled if end.finished => return, // Its client went: that tells nothing.
            Outcome::Rejected | Outcome::TimedOut | Outcome::Cancelled => LEVEL_SAY.0,
            _ => return,
        };
        let Some(level) = self.nodes.get(node).map(|node| node.level) else { return };
        let gain = |last| LEVEL_GAIN * (1.0 - (-self.now.saturating_sub(last).div_duration_f64(aim)).exp());
        let common = self.level + gain(self.level_at) * say.max(-4.0 * LEVEL_SAY.1);
        (self.level, self.level_at) = (common.clamp(LEAST_LEVEL, top), self.now);
        let own = level.now(self.now, LEVEL_MEMORY) + gain(level.at) * say;
        let own = own.clamp(LEAST_LEVEL - self.level, top - LEAST_LEVEL - self.level);
        let level = Fading { value: own, at: self.now };
        self.nodes.change_figures(node, |node| node.level = level);
    }

    fn is_late(&self, request: &Request, node: &Node) -> bool {
        self.now + node.quick_answer()
            > request.asked + self.settings.classes[request.new.class].latency_target
    }
}

//! The three layers of the design: a controller for each class, an arbiter between the classes, and the
//! allocation of slots to nodes. They run once an interval, over all nodes.

use super::{Scheduler, FIT_INTERVALS};
use std::collections::VecDeque;
use std::time::Duration;

/// Largest change of a class's normalized bound in one interval (the paper's l).
const BOUND_STEP: f64 = 0.05;
/// Steps of the arbiter's bisection; the result is finer than a slot.
const BISECTIONS: usize = 40;

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub(super) struct ClassControl {
    /// Normalized bound on the class's requests in flight, and the bound last requested.
    pub bound: f64,
    pub requested: f64,
    /// Performance (latency target divided by mean latency) and bound in slots, of past intervals.
    pub history: VecDeque<(f64, f64)>,
    /// Sum of latencies and number of answers in this interval.
    pub latency: (Duration, f64),
}

impl ClassControl {
    /// Model estimator: the slope β of performance over slots in the last intervals, by least squares.
    fn refit(&self) -> Option<f64> {
        let steps = self.history.iter().zip(self.history.iter().skip(1));
        let (xy, xx) = steps.fold((0.0, 0.0), |(xy, xx), (before, after)| {
            let (dy, du) = (after.0 - before.0, after.1 - before.1);
            (xy + dy * du, xx + du * du)
        });
        (xx > 0.0 && xy > 0.0).then(|| xy / xx)
    }

    /// Requirement estimator: requests the bound that meets the latency target, within one step of the
    /// present one. Without a slope or answers the last request stays.
    pub fn update_request(&mut self, total: f64, target: Duration) {
        let (sum, answers) = std::mem::take(&mut self.latency);
        if answers == 0.0 {
            return;
        }
        let performance = target.as_secs_f64() * answers / sum.as_secs_f64().max(f64::MIN_POSITIVE);
        self.history.push_back((performance, self.bound * total));
        self.history.drain(..self.history.len().saturating_sub(FIT_INTERVALS + 1));
        if let Some(slope) = self.refit() {
            let wanted = self.bound + (1.0 - performance) / (slope * total);
            self.requested = wanted.clamp(self.bound - BOUND_STEP, self.bound + BOUND_STEP).clamp(0.0, 1.0);
        }
    }

    /// The bound at which worth × (1 − performance) equals `error`, within one step of the present one.
    /// Without a slope, performance is taken to be proportional to the bound.
    fn bound_at(&self, error: f64, worth: f64, total: f64) -> f64 {
        let performance = self.history.back().map_or(1.0, |last| last.0);
        let slope = self.refit().map_or(performance / self.bound.max(BOUND_STEP), |slope| slope * total);
        let wanted = self.bound + (1.0 - error / worth - performance) / slope.max(f64::MIN_POSITIVE);
        wanted.clamp(self.bound - BOUND_STEP, self.bound + BOUND_STEP).max(0.0)
    }
}

impl Scheduler {
    /// Arbiter: grants the requested bounds if they fit, and distributes the rest by worth; otherwise
    /// equalizes the weighted errors of the classes.
    pub(super) fn arbitrate(&mut self, total: f64) {
        let worths: Vec<f64> = self.settings.classes.iter().map(|class| class.worth.max(1e-9)).collect();
        let requested: f64 = self.classes.iter().map(|class| class.requested).sum();
        if requested <= 1.0 {
            let all: f64 = worths.iter().sum();
            for (class, worth) in self.classes.iter_mut().zip(&worths) {
                class.bound = class.requested + (1.0 - requested) * worth / all;
            }
            return;
        }
        let target = self.classes.iter().map(|class| class.bound + BOUND_STEP).sum::<f64>().min(1.0);
        let bounds = |error: f64| -> Vec<f64> {
            let with_worth = self.classes.iter().zip(&worths);
            with_worth.map(|(class, worth)| class.bound_at(error, *worth, total)).collect()
        };
        let max_worth = worths.iter().copied().fold(1.0, f64::max);
        let max_performance =
            self.classes.iter().filter_map(|it| it.history.back()).map(|it| it.0).fold(1.0, f64::max);
        let range = max_worth * (1.0 + max_performance) * BISECTIONS as f64;
        let (mut low, mut high) = (-range, range);
        for _ in 0..BISECTIONS {
            let middle = (low + high) / 2.0;
            let too_large = bounds(middle).iter().sum::<f64>() > target;
            *(if too_large { &mut low } else { &mut high }) = middle;
        }
        for (class, bound) in bounds(high).into_iter().enumerate() {
            self.classes[class].bound = bound;
        }
    }

    /// Node allocator: distributes a class's bound over the nodes by its mean number of requests queued and
    /// in flight there, at least one slot each.
    pub(super) fn allocate_nodes(&mut self, total: f64) {
        let usable: Vec<_> = self.nodes.usable().map(|node| node.entry.node).collect();
        let equal_share = 1.0 / usable.len() as f64;
        for (class, control) in self.classes.iter().enumerate() {
            let demand: f64 =
                usable.iter().filter_map(|id| self.nodes.get(*id)).map(|node| node.demand[class]).sum();
            for id in &usable {
                self.nodes.change_figures(*id, |node| {
                    let share = if demand > 0.0 { node.demand[class] / demand } else { equal_share };
                    node.slots[class] = ((control.bound * total * share).ceil() as usize).max(1);
                });
            }
        }
        self.nodes.change_all_figures(|node| node.demand.fill(0.0));
    }
}

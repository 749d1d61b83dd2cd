//! The three layers of the design: a controller for each class, the arbiter between them, and the allocation
//! of slots to nodes. They run once an interval, over all nodes.

use super::{Scheduler, FIT_INTERVALS};
use std::collections::VecDeque;
use std::time::Duration;

/// Largest move of a class's normalized bound in one interval (the paper's l).
const BOUND_STEP: f64 = 0.05;
/// Halvings of the arbiter's bisection: finer than slots.
const BISECTIONS: usize = 40;

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub(super) struct ClassControl {
    /// Normalized bound and last ask.
    pub bound: f64,
    pub requested: f64,
    /// Performance and bound in slots of past intervals.
    pub history: VecDeque<(f64, f64)>,
    /// Sum of latencies and count of the answers of this interval.
    pub latency: (Duration, f64),
}

impl ClassControl {
    /// Model estimator: the slope β of performance against slots over the last intervals, by least squares.
    fn refit(&self) -> Option<f64> {
        let steps = self.history.iter().zip(self.history.iter().skip(1));
        let (xy, xx) = steps.fold((0.0, 0.0), |(xy, xx), (before, after)| {
            let (dy, du) = (after.0 - before.0, after.1 - before.1);
            (xy + dy * du, xx + du * du)
        });
        (xx > 0.0 && xy > 0.0).then(|| xy / xx)
    }

    /// Requirement estimator: the bound that meets the aim, near the last; without slope or answers the last.
    pub fn update_request(&mut self, total: f64, aim: Duration) {
        let (sum, answers) = std::mem::take(&mut self.latency);
        if answers == 0.0 {
            return;
        }
        let performance = aim.as_secs_f64() * answers / sum.as_secs_f64().max(f64::MIN_POSITIVE);
        self.history.push_back((performance, self.bound * total));
        self.history.drain(..self.history.len().saturating_sub(FIT_INTERVALS + 1));
        if let Some(slope) = self.refit() {
            let wanted = self.bound + (1.0 - performance) / (slope * total);
            self.requested = wanted.clamp(self.bound - BOUND_STEP, self.bound + BOUND_STEP).clamp(0.0, 1.0);
        }
    }

    /// Bound where worth × (1 − performance) equals `error`, near the last; without a slope in proportion.
    fn bound_at(&self, error: f64, worth: f64, total: f64) -> f64 {
        let performance = self.history.back().map_or(1.0, |last| last.0);
        let slope = self.refit().map_or(performance / self.bound.max(BOUND_STEP), |slope| slope * total);
        let wanted = self.bound + (1.0 - error / worth - performance) / slope.max(f64::MIN_POSITIVE);
        wanted.clamp(self.bound - BOUND_STEP, self.bound + BOUND_STEP).max(0.0)
    }
}

impl Scheduler {
    /// Arbiter: asks that fit are granted and the spare dealt out by worth; else the errors are evened.
    pub(super) fn arbitrate(&mut self, total: f64) {
        let worths: Vec<f64> = self.settings.classes.iter().map(|class| class.worth.max(1e-9)).collect();
        let asked: f64 = self.classes.iter().map(|class| class.requested).sum();
        if asked <= 1.0 {
            let all: f64 = worths.iter().sum();
            for (class, worth) in self.classes.iter_mut().zip(&worths) {
                class.bound = class.requested + (1.0 - asked) * worth / all;
            }
            return;
        }
        let target = self.classes.iter().map(|class| class.bound + BOUND_STEP).sum::<f64>().min(1.0);
        let bounds = |error: f64| -> Vec<f64> {
            let with_worth = self.classes.iter().zip(&worths);
            with_worth.map(|(class, worth)| class.bound_at(error, *worth, total)).collect()
        };
        let highest = worths.iter().copied().fold(1.0, f64::max);
        let best = self.classes.iter().filter_map(|it| it.history.back()).map(|it| it.0).fold(1.0, f64::max);
        let reach = highest * (1.0 + best) * BISECTIONS as f64;
        let (mut low, mut high) = (-reach, reach);
        for _ in 0..BISECTIONS {
            let middle = (low + high) / 2.0;
            let over = bounds(middle).iter().sum::<f64>() > target;
            *(if over { &mut low } else { &mut high }) = middle;
        }
        for (class, bound) in bounds(high).into_iter().enumerate() {
            self.classes[class].bound = bound;
        }
    }

    /// Node allocator: a class's bound over the nodes by its mean queued-plus-out count there, at least one.
    pub(super) fn allocate_nodes(&mut self, total: f64) {
        let usable: Vec<_> = self.nodes.usable().map(|node| node.entry.node).collect();
        let even = 1.0 / usable.len() as f64;
        for (class, control) in self.classes.iter().enumerate() {
            let demand: f64 =
                usable.iter().filter_map(|id| self.nodes.get(*id)).map(|node| node.demand[class]).sum();
            for id in &usable {
                self.nodes.change_figures(*id, |node| {
                    let part = if demand > 0.0 { node.demand[class] / demand } else { even };
                    node.slots[class] = ((control.bound * total * part).ceil() as usize).max(1);
                });
            }
        }
        self.nodes.change_all_figures(|node| node.demand.fill(0.0));
    }
}

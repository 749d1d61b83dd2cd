//! The rules: whether a queued request may be sent to a node now.

use super::node::Node;
use super::volume::limit_share;
use super::{Request, Scheduler};
use crate::interface::*;
use std::time::Duration;

/// Lowest share of the slow-start rule's factor that initiators use: as each one's rate is at least the mean,
/// their rates may sum to twice the node's.
const MIN_SLOW_START_MARGIN: f64 = 0.5;

impl Scheduler {
    /// Whether the rules permit that a queued request is sent to a node now.
    pub(super) fn permitted(&self, request: &Request, node: &Node) -> bool {
        self.effect_permits(request, node)
            && self.key_order_permits(request)
            && self.budget_permits(request)
            && self.limit_permits(request)
            && self.slow_start_permits(node)
    }

    /// Rule 2: retries only where and while they are harmless.
    fn effect_permits(&self, request: &Request, node: &Node) -> bool {
        let Some((shard, zone, sent)) = request.may_have_run else { return true };
        let in_group = match self.settings.classes[request.spec.class].effect {
            Effect::Keyed(DedupScope::Zone) => node.entry.zone == zone,
            Effect::Keyed(DedupScope::Shard) => node.entry.shard == shard,
            _ => true,
        };
        in_group && self.repeatable(request, Some(sent))
    }

    /// Whether a request may be sent again at all, given when the first attempt that may have run was sent.
    pub(super) fn repeatable(&self, request: &Request, may_have_run: Option<Duration>) -> bool {
        let class = &self.settings.classes[request.spec.class];
        let is_harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed(_) => may_have_run.is_none_or(|sent| self.now < sent + class.dedup_window),
            Effect::Unsafe => may_have_run.is_none(),
        };
        is_harmless
            && request.attempts < self.settings.limits.max_attempts
            && self.now < request.spec.deadline
    }

    /// Rule 5: requests with one key in order of acceptance, with a pause after an attempt that may still
    /// run.
    fn key_order_permits(&self, request: &Request) -> bool {
        if !self.settings.classes[request.spec.class].in_order || request.spec.key == 0 {
            return true;
        }
        let Some(queue) = self.key_queues.get(&request.spec.key) else { return true };
        let first = queue.waiting.front() == Some(&request.spec.id);
        first && (self.now >= queue.settle_until || queue.last_attempted == Some(request.spec.id))
    }

    /// Removes a finished request from the queue of its key.
    pub(super) fn leave_key_queue(&mut self, spec: &NewRequest) {
        self.key_queues.entry(spec.key).and_modify(|queue| queue.waiting.retain(|id| *id != spec.id));
    }

    /// Rule 6: retries within the retry budget; a tick is left as a margin on either side of the window's
    /// start.
    pub(super) fn budget_permits(&self, request: &Request) -> bool {
        let budget = self.settings.rules.retry_budget.filter(|_| request.attempts > 0);
        let Some(budget) = budget else { return true };
        let (tick, start) = (self.settings.tick, self.now.saturating_sub(budget.window));
        let accepted = self.accepted_times.iter().rev().take_while(|at| **at > start + tick).count() as f64;
        let retries = self.retry_times.iter().rev().take_while(|at| **at + tick > start).count() as f64;
        retries + 1.0 <= budget.min_retries + budget.retry_ratio * accepted
    }

    /// Rule 7: this initiator's share of the volume's limit. The burst covers two of the largest requests for
    /// each initiator.
    fn limit_permits(&self, request: &Request) -> bool {
        let mut bucket = self.volumes[&request.spec.volume].limit;
        self.limit_share(request)
            .is_none_or(|share| bucket.fill(self.now, share.0, share.1) >= request.spec.units)
    }

    /// Rate and burst of the limit that a request's first attempt is counted against; retries are not
    /// counted.
    pub(super) fn limit_share(&self, request: &Request) -> Option<(f64, f64)> {
        let NewRequest { plan, volume_initiators, volume, .. } = request.spec;
        let share = limit_share(&self.settings, (plan, volume_initiators), self.limit_shares.get(&volume));
        share.filter(|_| request.attempts == 0)
    }

    /// Rule 4: a node in slow start gets this initiator's share of what it takes in any case, or of its
    /// lowest present capacity. Idle initiators may all start sending at once: half of the rule's allowance
    /// for chance is kept for that.
    fn slow_start_permits(&self, node: &Node) -> bool {
        let (mut bucket, rules, mean) = (node.slow_start, &self.settings.rules, self.settings.units.mean);
        let always_taken = (self.settings.units.slow_start_units / mean.max(f64::MIN_POSITIVE)).max(1.0);
        let reserve = rules.overload_window.mul_f64(((always_taken.sqrt() + 1.0) / always_taken).min(1.0));
        let mut is_open = |rate: f64| {
            let level = bucket.fill(self.now, rate, f64::INFINITY);
            level >= 0.0 && level % mean.max(f64::MIN_POSITIVE) <= rate * reserve.as_secs_f64()
        };
        node.slow_start_end(rules) <= self.now || is_open(self.slow_start_rate(node))
    }

    /// Units a second that this initiator may send a node in slow start.
    pub(super) fn slow_start_rate(&self, node: &Node) -> f64 {
        let rules = &self.settings.rules;
        let equal_share = 1.0 / f64::from(self.settings.initiators.max(1));
        let always = self.settings.units.slow_start_units * node.slow_start_share.unwrap_or(equal_share);
        let capacity =
            self.shard_rates.at_least_mean(node.entry.shard) * node.capacity_share(self.now, rules);
        // Of many initiators few use a node at a time, and the relative spread of their sum falls with the
        // square root of their number.
        let margin = (1.0 - equal_share.sqrt()).max(MIN_SLOW_START_MARGIN);
        (margin * rules.overload_factor * capacity)
            .max(always / rules.overload_window.as_secs_f64().max(0.001))
    }
}

//! What the rules permit: whether a queued request may have an attempt at a node now.

use super::node::Node;
use super::volume::limit_share;
use super::{Request, Scheduler};
use crate::interface::*;
use std::time::Duration;

/// Least part of the slow-start rule's multiple for hosts: rates, each at least their mean, sum to twice a
/// node's.
const MIN_SLOW_START_MARGIN: f64 = 0.5;

impl Scheduler {
    /// Whether the rules let a held request go to a node now.
    pub(super) fn permitted(&self, request: &Request, node: &Node) -> bool {
        self.effect_permits(request, node)
            && self.key_order_permits(request)
            && self.budget_permits(request)
            && self.limit_permits(request)
            && self.slow_start_permits(node)
    }

    /// Rule 2: repeats only where and while they are harmless.
    fn effect_permits(&self, request: &Request, node: &Node) -> bool {
        let Some((shard, zone, sent)) = request.may_have_run else { return true };
        let in_group = match self.settings.classes[request.spec.class].effect {
            Effect::Keyed(DedupScope::Zone) => node.entry.zone == zone,
            Effect::Keyed(DedupScope::Shard) => node.entry.shard == shard,
            _ => true,
        };
        in_group && self.repeatable(request, Some(sent))
    }

    /// Whether a request may get another attempt at all, given when the first that may have run was sent.
    pub(super) fn repeatable(&self, request: &Request, ran: Option<Duration>) -> bool {
        let class = &self.settings.classes[request.spec.class];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed(_) => ran.is_none_or(|sent| self.now < sent + class.dedup_window),
            Effect::Unsafe => ran.is_none(),
        };
        harmless && request.attempts < self.settings.limits.max_attempts && self.now < request.spec.deadline
    }

    /// Rule 5: requests with one key in the order taken, with a rest after an attempt that may still run.
    fn key_order_permits(&self, request: &Request) -> bool {
        if !self.settings.classes[request.spec.class].in_order || request.spec.key == 0 {
            return true;
        }
        let Some(line) = self.key_queues.get(&request.spec.key) else { return true };
        let first = line.waiting.front() == Some(&request.spec.id);
        first && (self.now >= line.settle_until || line.last_attempted == Some(request.spec.id))
    }

    pub(super) fn leave_key_queue(&mut self, new: &NewRequest) {
        self.key_queues.entry(new.key).and_modify(|line| line.waiting.retain(|id| *id != new.id));
    }

    /// Rule 6: further attempts within the budget; a tick is left on either side of the window.
    pub(super) fn budget_permits(&self, request: &Request) -> bool {
        let budget = self.settings.rules.retry_budget.filter(|_| request.attempts > 0);
        let Some(budget) = budget else { return true };
        let (tick, start) = (self.settings.tick, self.now.saturating_sub(budget.window));
        let taken = self.accepted_times.iter().rev().take_while(|at| **at > start + tick).count() as f64;
        let further = self.retry_times.iter().rev().take_while(|at| **at + tick > start).count() as f64;
        further + 1.0 <= budget.min_retries + budget.retry_ratio * taken
    }

    /// Rule 7: this host's even part of the volume's limit. The burst holds two of the largest for each host.
    fn limit_permits(&self, request: &Request) -> bool {
        let mut store = self.volumes[&request.spec.volume].limit;
        self.limit_share(request)
            .is_none_or(|part| store.fill(self.now, part.0, part.1) >= request.spec.units)
    }

    /// Rate and burst that a request's first attempt draws on.
    pub(super) fn limit_share(&self, request: &Request) -> Option<(f64, f64)> {
        let NewRequest { plan, volume_initiators, volume, .. } = request.spec;
        let part = limit_share(&self.settings, (plan, volume_initiators), self.limit_shares.get(&volume));
        part.filter(|_| request.attempts == 0)
    }

    /// Rule 4: a cold node gets this host's part of what it always bears, or of its least present capacity.
    /// Idle hosts may all come at once: they keep half of what the rule puts down to chance for that.
    fn slow_start_permits(&self, node: &Node) -> bool {
        let (mut cold, rules, mean) = (node.slow_start, &self.settings.rules, self.settings.units.mean);
        let borne = (self.settings.units.slow_start_units / mean.max(f64::MIN_POSITIVE)).max(1.0);
        let kept = rules.overload_window.mul_f64(((borne.sqrt() + 1.0) / borne).min(1.0));
        let mut open = |rate: f64| {
            let paid = cold.fill(self.now, rate, f64::INFINITY);
            paid >= 0.0 && paid % mean.max(f64::MIN_POSITIVE) <= rate * kept.as_secs_f64()
        };
        node.slow_start_end(rules) <= self.now || open(self.slow_start_rate(node))
    }

    pub(super) fn slow_start_rate(&self, node: &Node) -> f64 {
        let rules = &self.settings.rules;
        let even = 1.0 / f64::from(self.settings.initiators.max(1));
        let always = self.settings.units.slow_start_units * node.slow_start_share.unwrap_or(even);
        let capacity =
            self.shard_rates.at_least_mean(node.entry.shard) * node.capacity_share(self.now, rules);
        // Of many hosts few have work at a node at a time, and the spread of their sum falls with their root.
        let margin = (1.0 - even.sqrt()).max(MIN_SLOW_START_MARGIN);
        (margin * rules.overload_factor * capacity)
            .max(always / rules.overload_window.as_secs_f64().max(0.001))
    }
}

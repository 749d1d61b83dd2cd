//! One volume as this initiator sees it: its limit, and the rates at which it is requested and served.

use super::INTERVAL;
use crate::interface::*;
use crate::quantity::{Decaying, TokenBucket};
use std::cell::Cell;
use std::time::Duration;

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub(super) struct Volume {
    pub limit: TokenBucket,
    /// Index of its plan and number of its initiators, as of its last request.
    pub plan_and_initiators: (usize, f64),
    /// Units a second requested from and served through this initiator, and through others where answers
    /// report it.
    pub asked: Decaying,
    pub served: Decaying,
    pub served_elsewhere: Decaying,
    /// Last reported usage over all initiators, in units a second.
    pub reported_rate: f64,
    pub position: f64,
    /// The demand over all initiators, with the time it was computed for: many queued requests are ranked by
    /// it.
    #[serde(skip)]
    pub cached_demand: Cell<Option<(Duration, f64)>>,
}

/// This initiator's share of a volume's limit, as rate and burst: the equal share unless planners assign one.
pub(super) fn limit_share(
    settings: &Settings,
    (plan, initiators): (usize, f64),
    share: Option<&f64>,
) -> Option<(f64, f64)> {
    let limit = settings.plans.get(plan)?.limit?;
    let share = share.copied().unwrap_or(1.0 / initiators.max(1.0));
    Some((limit.rate * share, limit.burst * share))
}

impl Volume {
    /// The limit's bucket starts with this initiator's share of the overdraft, which covers a restart of all
    /// initiators at once.
    pub fn new(plan: Option<&Plan>, initiators: f64, now: Duration, position: f64) -> Self {
        let start = plan.and_then(|plan| plan.limit).map_or(0.0, |limit| limit.overdraft.min(limit.burst));
        Volume {
            limit: TokenBucket { level: start / initiators.max(1.0), updated_at: now },
            position,
            ..Volume::default()
        }
    }

    /// Learns from the end of an attempt; `base` is the plan's base rate.
    pub fn learn(&mut self, now: Duration, end: &AttemptEnd, units: f64, base: f64) {
        self.cached_demand.take();
        if end.outcome == Outcome::Served {
            self.served.add(now, units, INTERVAL);
            self.served_elsewhere.add(now, end.served_elsewhere.max(0.0), INTERVAL);
        }
        self.reported_rate =
            end.volume_usage.filter(|used| used.is_finite()).map_or(self.reported_rate, |used| used * base);
    }

    /// Demand over all initiators in units a second: the usage reported or seen, scaled by this initiator's
    /// ratio of requested to served units. `units` damps that ratio while both are small.
    pub fn demand(&self, now: Duration, units: f64) -> f64 {
        let cached = self.cached_demand.get().filter(|(at, _)| *at == now).map(|(_, demand)| demand);
        let demand = cached.unwrap_or_else(|| {
            let [asked, served, elsewhere] =
                [self.asked, self.served, self.served_elsewhere].map(|flow| flow.value_at(now, INTERVAL));
            (self.reported_rate.max(served + elsewhere) * (asked + units) / (served + units)).max(asked)
        });
        self.cached_demand.set(Some((now, demand)));
        demand
    }
}

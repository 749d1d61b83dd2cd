//! One volume as this initiator sees it: its limit, what is asked for and what is served.

use super::INTERVAL;
use crate::interface::*;
use crate::quantity::{Decaying, TokenBucket};
use std::cell::Cell;
use std::time::Duration;

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub(super) struct Volume {
    pub limit: TokenBucket,
    /// Plan and initiators, as its last request said.
    pub plan_and_initiators: (usize, f64),
    /// Asked of and served by this host, served through others where answers tell.
    pub asked: Decaying,
    pub served: Decaying,
    pub served_elsewhere: Decaying,
    /// Use over all initiators as last told, units a second.
    pub reported_rate: f64,
    pub position: f64,
    /// What it asks for over all initiators, as reckoned last, and when: many held requests are ranked by it.
    #[serde(skip)]
    pub cached_demand: Cell<Option<(Duration, f64)>>,
}

/// A host's part of the limit of a volume with this plan and so many initiators: the even one unless told.
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
    /// The limit's store starts at this host's part of the slack, which bears that all initiators restart at once.
    pub fn new(plan: Option<&Plan>, initiators: f64, now: Duration, position: f64) -> Self {
        let start = plan.and_then(|plan| plan.limit).map_or(0.0, |limit| limit.overdraft.min(limit.burst));
        Volume {
            limit: TokenBucket { level: start / initiators.max(1.0), updated_at: now },
            position,
            ..Volume::default()
        }
    }

    pub fn learn(&mut self, now: Duration, end: &AttemptEnd, units: f64, base: f64) {
        self.cached_demand.take();
        if end.outcome == Outcome::Served {
            self.served.add(now, units, INTERVAL);
            self.served_elsewhere.add(now, end.served_elsewhere.max(0.0), INTERVAL);
        }
        self.reported_rate =
            end.volume_usage.filter(|used| used.is_finite()).map_or(self.reported_rate, |used| used * base);
    }

    /// Units a second asked for over all initiators: told or seen served, raised as much as this host lacks.
    pub fn demand(&self, now: Duration, some: f64) -> f64 {
        let known = self.cached_demand.get().filter(|(at, _)| *at == now).map(|(_, demand)| demand);
        let demand = known.unwrap_or_else(|| {
            let [asked, served, elsewhere] =
                [self.asked, self.served, self.served_elsewhere].map(|flow| flow.value_at(now, INTERVAL));
            (self.reported_rate.max(served + elsewhere) * (asked + some) / (served + some)).max(asked)
        });
        self.cached_demand.set(Some((now, demand)));
        demand
    }
}

//! One volume as this initiator sees it: its limit, what is asked for and what is served.

use super::INTERVAL;
use crate::interface::*;
use crate::quantity::{Fading, Store};
use std::cell::Cell;
use std::time::Duration;

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub(super) struct Volume {
    pub limit: Store,
    /// Plan and hosts, as its last request said.
    pub terms: (usize, f64),
    /// Asked of and served by this host, served through others where answers tell.
    pub asked: Fading,
    pub served: Fading,
    pub elsewhere: Fading,
    /// Use over all hosts as last told, units a second.
    pub told: f64,
    pub place: f64,
    /// What it asks for over all hosts, as reckoned last, and when: many held requests are ranked by it.
    #[serde(skip)]
    pub reckoned: Cell<Option<(Duration, f64)>>,
}

/// A host's part of the limit of a volume with this plan and so many hosts: the even one unless told.
pub(super) fn limit_part(
    settings: &Settings,
    (plan, hosts): (usize, f64),
    share: Option<&f64>,
) -> Option<(f64, f64)> {
    let limit = settings.plans.get(plan)?.limit?;
    let share = share.copied().unwrap_or(1.0 / hosts.max(1.0));
    Some((limit.rate * share, limit.burst * share))
}

impl Volume {
    /// The limit's store starts at this host's part of the slack, which bears that all hosts restart at once.
    pub fn new(plan: Option<&Plan>, hosts: f64, now: Duration, place: f64) -> Self {
        let start = plan.and_then(|plan| plan.limit).map_or(0.0, |limit| limit.overdraft.min(limit.burst));
        Volume { limit: Store { level: start / hosts.max(1.0), at: now }, place, ..Volume::default() }
    }

    pub fn learn(&mut self, now: Duration, end: &AttemptEnd, units: f64, base: f64) {
        self.reckoned.take();
        if end.outcome == Outcome::Served {
            self.served.add(now, units, INTERVAL);
            self.elsewhere.add(now, end.served_elsewhere.max(0.0), INTERVAL);
        }
        self.told = end.volume_usage.filter(|used| used.is_finite()).map_or(self.told, |used| used * base);
    }

    /// Units a second asked for over all hosts: told or seen served, raised as much as this host lacks.
    pub fn demand(&self, now: Duration, some: f64) -> f64 {
        let known = self.reckoned.get().filter(|(at, _)| *at == now).map(|(_, demand)| demand);
        let demand = known.unwrap_or_else(|| {
            let [asked, served, elsewhere] =
                [self.asked, self.served, self.elsewhere].map(|flow| flow.now(now, INTERVAL));
            (self.told.max(served + elsewhere) * (asked + some) / (served + some)).max(asked)
        });
        self.reckoned.set(Some((now, demand)));
        demand
    }
}

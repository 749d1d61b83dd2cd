//! What a scheduler gives to the one of a process that takes its place, so that both together keep the rules
//! as one.

use super::*;
use serde::{Deserialize, Serialize};

/// So deep in debt that a node gets nothing for as long as any process takes to end.
const BLOCKING_DEBT: f64 = -1e12;

/// What a scheduler has learned and used up, without its requests.
#[derive(Serialize, Deserialize)]
pub struct Carried(Scheduler);

impl Scheduler {
    /// Gives all but what its own requests need: of each limit that of the requests that wait here, and
    /// nothing at cold nodes.
    pub(crate) fn hand_over(&mut self, now: Duration) -> Carried {
        let mut heir = self.clone();
        (heir.requests, heir.queue, heir.wake_at) = Default::default();
        for id in heir.nodes.busy_ids() {
            heir.nodes.change(id, |node| node.in_flight.clear());
        }
        let mut needs: BTreeMap<VolumeId, f64> = BTreeMap::new();
        let waiting = self.queue.iter().map(|id| &self.requests[&id]);
        for request in waiting.filter(|request| request.attempts == 0) {
            *needs.entry(request.spec.volume).or_default() += request.spec.units;
        }
        for (id, volume) in &mut self.volumes {
            let Some(limit) =
                self.settings.plans.get(volume.plan_and_initiators.0).and_then(|plan| plan.limit)
            else {
                continue;
            };
            let even =
                self.limit_shares.get(id).copied().unwrap_or(1.0 / volume.plan_and_initiators.1.max(1.0));
            let level = volume.limit.fill(now, limit.rate * even, limit.burst * even);
            let kept = needs.get(id).copied().unwrap_or(0.0).min(level).max(0.0);
            // The top of a store is its part of the burst: a part of `kept` keeps just that.
            let share = kept / limit.burst.max(f64::MIN_POSITIVE);
            self.limit_shares.insert(*id, share);
            volume.limit.level = kept;
            heir.limit_shares.insert(*id, even - share);
            if let Some(volume) = heir.volumes.get_mut(id) {
                volume.limit = TokenBucket { level: level - kept, updated_at: now };
            }
        }
        self.shard_rates.clear_rates();
        self.nodes.change_all_figures(|node| {
            (node.slow_start.level, node.slow_start_share) = (BLOCKING_DEBT, Some(0.0))
        });
        // A key with a request here rests there until that is over.
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        for line in heir.key_queues.values_mut().filter(|line| !line.waiting.is_empty()) {
            *line = KeyQueue { settle_until: now + longest, ..KeyQueue::default() };
        }
        Carried(heir)
    }

    /// Goes on from what another one gave; false where that had other settings, whose figures mean something
    /// else.
    pub(crate) fn take_over(&mut self, carried: Carried) -> bool {
        if carried.0.settings != self.settings {
            return false;
        }
        let random = std::mem::take(&mut self.random);
        *self = Scheduler { random, ..carried.0 };
        self.nodes.rebuild(min_latency_target(&self.settings), self.now);
        true
    }

    /// The one before is gone: the parts of limits that it kept are this one's again.
    pub(crate) fn reclaim_limits(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let kept: Vec<_> = self.limit_shares.keys().map(|id| (*id, None)).collect();
        self.apply_shares(&kept, &[]);
    }
}

#[cfg(test)]
mod tests;

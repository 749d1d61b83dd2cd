//! Hand-over of a scheduler's state to the process that replaces it, so that both processes together keep the
//! rules as one would.

use super::*;
use serde::{Deserialize, Serialize};

/// A bucket level so low that a node gets nothing until the process has ended.
const BLOCKING_DEBT: f64 = -1e12;

/// A scheduler's learned state and used limits, without its requests.
#[derive(Serialize, Deserialize)]
pub struct Carried(Scheduler);

impl Scheduler {
    /// Hands over everything but what this scheduler's own requests need: it keeps of each limit the units of
    /// the requests queued here, and nothing at nodes in slow start.
    pub(crate) fn hand_over(&mut self, now: Duration) -> Carried {
        let mut successor = self.clone();
        (successor.requests, successor.queue, successor.wake_at) = Default::default();
        for id in successor.nodes.busy_ids() {
            successor.nodes.change(id, |node| node.in_flight.clear());
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
            let own_share =
                self.limit_shares.get(id).copied().unwrap_or(1.0 / volume.plan_and_initiators.1.max(1.0));
            let level = volume.limit.fill(now, limit.rate * own_share, limit.burst * own_share);
            let kept = needs.get(id).copied().unwrap_or(0.0).min(level).max(0.0);
            // A bucket's capacity is its share of the burst, so this share keeps exactly `kept`.
            let share = kept / limit.burst.max(f64::MIN_POSITIVE);
            self.limit_shares.insert(*id, share);
            volume.limit.level = kept;
            successor.limit_shares.insert(*id, own_share - share);
            if let Some(volume) = successor.volumes.get_mut(id) {
                volume.limit = TokenBucket { level: level - kept, updated_at: now };
            }
        }
        self.shard_rates.clear_rates();
        self.nodes.change_all_figures(|node| {
            (node.slow_start.level, node.slow_start_share) = (BLOCKING_DEBT, Some(0.0))
        });
        // A key with a request here is not used by the successor until that request must have ended.
        let max_deadline = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        for queue in successor.key_queues.values_mut().filter(|queue| !queue.waiting.is_empty()) {
            *queue = KeyQueue { settle_until: now + max_deadline, ..KeyQueue::default() };
        }
        Carried(successor)
    }

    /// Continues with another scheduler's state. Returns false if that had different settings, as its figures
    /// would mean something else.
    pub(crate) fn take_over(&mut self, carried: Carried) -> bool {
        if carried.0.settings != self.settings {
            return false;
        }
        let random = std::mem::take(&mut self.random);
        *self = Scheduler { random, ..carried.0 };
        self.nodes.rebuild(min_latency_target(&self.settings), self.now);
        true
    }

    /// Reclaims the shares of limits that the predecessor kept, once it has ended.
    pub(crate) fn reclaim_limits(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let kept: Vec<_> = self.limit_shares.keys().map(|id| (*id, None)).collect();
        self.apply_shares(&kept, &[]);
    }
}

#[cfg(test)]
mod tests;

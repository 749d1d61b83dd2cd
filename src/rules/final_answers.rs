//! Denials: final answers that the scheduler gives instead of a node, to requests that can no longer be
//! served in time, that exceed the queue's limit, or that must not be sent again.

use super::node::Node;
use super::{Request, Scheduler};
use crate::interface::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// Why a request is denied. The names appear in logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// It can no longer be served before its deadline.
    NoTimeLeft,
    /// Half of the time to its deadline has passed without an attempt.
    HalfOfItsTime,
    /// The queue exceeds its limit, and the other requests have a lower cost.
    TooManyQueued,
    /// It must not be sent again.
    NotRepeatable,
}

/// Number of denied requests so far, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    /// They could no longer be served before their deadline.
    pub no_time_left: u64,
    /// Half of the time to their deadline had passed without an attempt.
    pub half_of_time: u64,
    /// The queue exceeded its limit.
    pub too_many_queued: u64,
    /// They must not be sent again.
    pub not_repeatable: u64,
}

impl Denials {
    fn count(&mut self, reason: Reason) {
        *match reason {
            Reason::NoTimeLeft => &mut self.no_time_left,
            Reason::HalfOfItsTime => &mut self.half_of_time,
            Reason::TooManyQueued => &mut self.too_many_queued,
            Reason::NotRepeatable => &mut self.not_repeatable,
        } += 1;
    }
}

impl Scheduler {
    /// Denies queued requests that can no longer be served in time, that had no attempt in half of their time
    /// (incident ieb05fd), or that exceed the queue's limit.
    pub(super) fn shed_requests(&mut self, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut denied = self.expired();
        let expired: BTreeSet<RequestId> = denied.iter().map(|(id, _)| *id).collect();
        let excess = self.excess().into_iter().filter(|id| !expired.contains(id));
        denied.extend(excess.map(|id| (id, Reason::TooManyQueued)));
        for (id, reason) in denied {
            let Some(request) = self.requests.remove(&id) else { continue };
            self.queue.remove(request.queue_key(), id);
            self.deny(&request, reason, actions);
            self.leave_key_queue(&request.spec);
        }
    }

    fn expired(&self) -> Vec<(RequestId, Reason)> {
        let margin = self.check_interval + self.settings.tick;
        let mut expired = Vec::new();
        for (key, requests) in self.queue.by_key() {
            let min_latency = match key {
                Some(shard) => self.nodes.usable_of(shard).map(Node::optimistic_latency).min(),
                None => self.nodes.min_optimistic_latency(),
            };
            let min_latency = min_latency.unwrap_or_default().max(margin);
            let denied = requests
                .iter()
                .filter_map(|id| Some((*id, self.denial_reason(&self.requests[id], min_latency, margin)?)));
            expired.extend(denied);
        }
        expired
    }

    /// Why a request has to be denied now, if at all.
    fn denial_reason(&self, request: &Request, min_latency: Duration, margin: Duration) -> Option<Reason> {
        let Request { spec, accepted_at, attempts, .. } = request;
        if spec.deadline <= self.now + min_latency {
            return Some(Reason::NoTimeLeft);
        }
        let half = (*accepted_at + spec.deadline) / 2;
        (*attempts == 0 && half <= self.now + margin).then_some(Reason::HalfOfItsTime)
    }

    /// The queued requests beyond the limit, those with the highest cost (incident r7b0367: clients had no
    /// connection left).
    fn excess(&self) -> Vec<RequestId> {
        let max_queued = self.settings.limits.max_queued.unwrap_or(usize::MAX);
        if self.queue.len() <= max_queued {
            return Vec::new();
        }
        let node = |shard: Option<u32>| match shard {
            Some(shard) => self.nodes.usable_of(shard).next(),
            None => self.nodes.first_usable(),
        };
        let cost = |it: &Request| node(it.spec.shard).map_or(f64::MAX, |node| self.cost(it, node));
        let mut queued: Vec<RequestId> = self.queue.iter().collect();
        queued.sort_by_cached_key(|id| cost(&self.requests[id]).to_bits());
        queued.split_off(max_queued)
    }

    /// Refuses a request if it may safely be retried by its client, and fails it otherwise.
    pub(super) fn deny(&mut self, request: &Request, reason: Reason, actions: &mut Vec<Action>) {
        let id = request.spec.id;
        let effect = self.settings.classes[request.spec.class].effect;
        let is_harmless = effect.allows_refusal(request.may_have_run.is_some());
        self.denials.count(reason);
        tracing::debug!(
            id = id.0,
            ?reason,
            attempts = request.attempts,
            refused = is_harmless,
            "request denied"
        );
        actions.push(match is_harmless {
            true => Action::Refuse { id, retry_after: self.settings.limits.max_retry_after },
            false => Action::Fail { id },
        });
    }
}

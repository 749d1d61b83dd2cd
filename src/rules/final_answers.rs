//! Final answers that no node gives: requests that no value would reach in time, that are too many, or that
//! may not be tried again.

use super::node::Node;
use super::{Request, Scheduler};
use crate::interface::*;
use std::collections::BTreeSet;
use std::time::Duration;

/// Why a request is answered with no.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// No value would reach its client in time any more.
    NoTimeLeft,
    /// Half of its time has passed without an attempt.
    HalfOfItsTime,
    /// More requests are queued than may be, and others are needed more.
    TooManyQueued,
    /// It may have no further attempt.
    NotRepeatable,
}

/// Answers with no so far, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    /// No value would have reached the client in time.
    pub no_time_left: u64,
    /// Half of the client's time had passed without an attempt.
    pub half_of_time: u64,
    /// More requests were queued than may be.
    pub too_many_queued: u64,
    /// The request might have no further attempt.
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
    /// Final answers for queued requests that no value would reach in time, past half of theirs (ieb05fd), or
    /// too many.
    pub(super) fn shed_requests(&mut self, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut over = self.expired();
        let known: BTreeSet<RequestId> = over.iter().map(|(id, _)| *id).collect();
        let too_many = self.excess().into_iter().filter(|id| !known.contains(id));
        over.extend(too_many.map(|id| (id, Reason::TooManyQueued)));
        for (id, reason) in over {
            let Some(request) = self.requests.remove(&id) else { continue };
            self.queue.remove(request.queue_key(), id);
            self.deny(&request, reason, actions);
            self.leave_key_queue(&request.spec);
        }
    }

    fn expired(&self) -> Vec<(RequestId, Reason)> {
        let margin = self.check_interval + self.settings.tick;
        let mut over = Vec::new();
        for (lane, requests) in self.queue.by_key() {
            let quick = match lane {
                Some(shard) => self.nodes.usable_of(shard).map(Node::optimistic_latency).min(),
                None => self.nodes.min_optimistic_latency(),
            };
            let quick = quick.unwrap_or_default().max(margin);
            let due = requests
                .iter()
                .filter_map(|id| Some((*id, self.denial_reason(&self.requests[id], quick, margin)?)));
            over.extend(due);
        }
        over
    }

    /// Why a request is to be answered now, if it is.
    fn denial_reason(&self, request: &Request, quick: Duration, margin: Duration) -> Option<Reason> {
        let Request { spec, accepted_at, attempts, .. } = request;
        if spec.deadline <= self.now + quick {
            return Some(Reason::NoTimeLeft);
        }
        let half = (*accepted_at + spec.deadline) / 2;
        (*attempts == 0 && half <= self.now + margin).then_some(Reason::HalfOfItsTime)
    }

    /// The deepest in need of what is queued beyond the most (r7b0367: clients with no connection left).
    fn excess(&self) -> Vec<RequestId> {
        let most = self.settings.limits.max_queued.unwrap_or(usize::MAX);
        if self.queue.len() <= most {
            return Vec::new();
        }
        let node = |shard: Option<u32>| match shard {
            Some(shard) => self.nodes.usable_of(shard).next(),
            None => self.nodes.first_usable(),
        };
        let need = |it: &Request| node(it.spec.shard).map_or(f64::MAX, |node| self.cost(it, node));
        let mut held: Vec<RequestId> = self.queue.iter().collect();
        held.sort_by_cached_key(|id| need(&self.requests[id]).to_bits());
        held.split_off(most)
    }

    /// Refuses a request where that is true to its effect, else fails it.
    pub(super) fn deny(&mut self, request: &Request, reason: Reason, actions: &mut Vec<Action>) {
        let id = request.spec.id;
        let effect = self.settings.classes[request.spec.class].effect;
        let harmless = effect.allows_refusal(request.may_have_run.is_some());
        self.denials.count(reason);
        tracing::debug!(
            id = id.0,
            ?reason,
            attempts = request.attempts,
            refused = harmless,
            "answered with no"
        );
        actions.push(match harmless {
            true => Action::Refuse { id, retry_after: self.settings.limits.max_retry_after },
            false => Action::Fail { id },
        });
    }
}

//! One storage node as this initiator sees it: its listing, the attempts in flight, and the figures learned
//! from answers.

use super::{min_latency_target, INTERVAL, SMOOTHING};
use crate::interface::*;
use crate::quantity::{Decaying, TokenBucket};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of requests that one initiator has in flight at a node, as in the design.
pub(super) const MAX_NODE_DEPTH: f64 = 8.0;
/// Up to this number of initiators, each starts with half of that depth; more of them share that total.
const FULL_DEPTH_INITIATORS: f64 = 5.0;
/// Share of the tightest latency target that may be spent in a node; the rest is spent in the queue here,
/// where the order can still be chosen.
const NODE_TIME_SHARE: f64 = 1.0 / 6.0;
/// Above this share of errors a node's latency is not learned; so far above the lowest share of all nodes, it
/// gets no new objects.
pub(super) const EXCESS_ERRORS: f64 = 0.25;

/// A listed node, or a removed one with attempts still in flight.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub(super) struct Node {
    pub entry: NodeEntry,
    /// While it drains: until when it still gets requests for a shard that no other node stores.
    pub drain_end: Duration,
    pub in_flight: BTreeMap<RequestId, InFlight>,
    /// Send time of the most recently sent attempt that was served.
    pub newest_answered: Duration,
    /// Number of requests that this initiator may have in flight there, adapted to its latency.
    pub depth: f64,
    /// Smoothed latency and its deviation; `None` before the first answer.
    pub latency: Option<(Duration, Duration)>,
    /// Consecutive failures, when the next attempt may be made, and the smoothed share of errors in answers.
    pub failures: u32,
    pub blocked_until: Duration,
    pub error_share: f64,
    /// Its admission level relative to the common one (natural logarithm), as of its last answer.
    pub level_offset: Decaying,
    /// While in slow start: the units that this initiator may send, which a request may overdraw, and its
    /// share where planners assign one.
    pub slow_start: TokenBucket,
    pub slow_start_share: Option<f64>,
    pub last_key: u64,
    /// By class: slots, and the time integral over this interval of requests queued and in flight.
    pub slots: Vec<usize>,
    pub demand: Vec<f64>,
}

/// An attempt in flight.
#[derive(Clone, Copy, serde::Serialize, serde::Deserialize)]
pub(super) struct InFlight {
    pub sent: Duration,
    pub class: usize,
    pub units: f64,
}

impl Node {
    /// Initiators together start with at most as many requests in flight as `FULL_DEPTH_INITIATORS` of them,
    /// but each with one at least.
    pub fn new(entry: NodeEntry, settings: &Settings) -> Self {
        let (slots, demand) = (vec![1; settings.classes.len()], vec![0.0; settings.classes.len()]);
        let depth =
            MAX_NODE_DEPTH / 2.0 * (FULL_DEPTH_INITIATORS / f64::from(settings.initiators.max(1))).min(1.0);
        Node { entry, depth: depth.max(1.0), slots, demand, ..Node::default() }
    }

    /// Applies an entry of the node list. `debt` is the initial debt of a node that has just started.
    pub fn update(&mut self, entry: &NodeEntry, now: Duration, drain_end: Duration, debt: f64) {
        if entry.started > self.entry.started {
            (self.latency, self.failures, self.blocked_until) = (None, 0, Duration::ZERO);
            self.level_offset = Decaying::default();
            // Each initiator starts with a random debt; otherwise all would send to the new node at once.
            self.slow_start = TokenBucket { level: -debt, updated_at: now };
        }
        match (self.entry.state, entry.state) {
            (NodeState::Ready, NodeState::Draining) => self.drain_end = drain_end,
            (_, NodeState::Draining) => {}
            _ => self.drain_end = Duration::ZERO,
        }
        self.entry = entry.clone();
    }

    pub fn is_ready(&self) -> bool {
        self.entry.state == NodeState::Ready
    }

    /// Smoothed latency less its deviation; zero before the first answer.
    pub fn optimistic_latency(&self) -> Duration {
        self.latency.map_or(Duration::ZERO, |(mean, deviation)| mean.saturating_sub(deviation))
    }

    /// When its slow start ends; zero for a node whose start is not known.
    pub fn slow_start_end(&self, rules: &Rules) -> Duration {
        self.entry.started.map_or(Duration::ZERO, |started| started + rules.slow_start_time)
    }

    /// Its present share of its full capacity, which grows linearly during slow start.
    pub fn capacity_share(&self, now: Duration, rules: &Rules) -> f64 {
        let age = self.entry.started.map_or(rules.slow_start_time, |started| now.saturating_sub(started));
        rules.slow_start_min_share
            + (1.0 - rules.slow_start_min_share) * age.div_duration_f64(rules.slow_start_time).min(1.0)
    }

    /// Expected wait, in seconds, of a request behind `queued` others of its shard, by the smoothed latency.
    pub fn expected_wait(&self, queued: usize, default_latency: Duration) -> f64 {
        let ahead = (queued + self.in_flight.len() + 1) as f64;
        ahead * self.latency.map_or(default_latency, |(mean, _)| mean).as_secs_f64()
    }

    /// Learns from the end of an attempt.
    pub fn learn(&mut self, now: Duration, end: &AttemptEnd, settings: &Settings) {
        match end.outcome {
            Outcome::Served | Outcome::Error => self.learn_answer(end, settings),
            // A retry may be rejected for a reason outside the node.
            Outcome::Rejected if end.attempt > 0 => {}
            Outcome::Rejected | Outcome::NotConnected | Outcome::Reset => {
                let reset = end.outcome == Outcome::Reset;
                // Attempts that were in flight together are reset by the same cause, and count once.
                let same_cause = reset && now.saturating_sub(end.latency) < self.blocked_until;
                self.failures += u32::from(!same_cause) + u32::from(end.outcome == Outcome::Rejected);
                self.depth = if reset { self.depth } else { (self.depth / 2.0).max(1.0) };
                let pause = settings.limits.connect_timeout * ((1 << self.failures.clamp(1, 6)) - 2) / 8;
                self.blocked_until = self.blocked_until.max(now + pause.min(INTERVAL));
            }
            Outcome::TimedOut if now.saturating_sub(end.latency) >= self.newest_answered => {
                self.failures += 2
            }
            // A time-out is blamed on its connection if a later attempt was answered meanwhile.
            _ => {}
        }
    }

    /// Updates latency, errors and depth by an answer.
    fn learn_answer(&mut self, end: &AttemptEnd, settings: &Settings) {
        (self.failures, self.blocked_until) = (0, Duration::ZERO);
        self.error_share +=
            SMOOTHING * (f64::from(u8::from(end.outcome == Outcome::Error)) - self.error_share);
        if end.outcome == Outcome::Error && self.error_share > EXCESS_ERRORS {
            return;
        }
        let (mean, deviation) = self.latency.unwrap_or((end.latency, end.latency / 2));
        let smooth = |a: Duration, b: Duration| a.mul_f64(1.0 - SMOOTHING) + b.mul_f64(SMOOTHING);
        let mean_now = smooth(mean, end.latency);
        self.latency = Some((mean_now, smooth(deviation, end.latency.abs_diff(mean))));
        // Initiators together keep one more request there, so that a free slot finds work at once.
        let target = min_latency_target(settings).mul_f64(NODE_TIME_SHARE);
        let wanted =
            self.depth * target.div_duration_f64(mean_now) + 1.0 / f64::from(settings.initiators.max(1));
        let binding = (self.in_flight.len() + 1) as f64 >= self.depth.floor();
        if wanted < self.depth || binding {
            self.depth += SMOOTHING * (wanted.min(2.0 * self.depth) - self.depth);
        }
        self.depth = self.depth.clamp(1.0, MAX_NODE_DEPTH);
    }
}

//! One storage node as this initiator sees it: its listing, the attempts in flight, and the figures learned
//! from answers.

use super::{min_latency_target, INTERVAL, SMOOTHING};
use crate::interface::*;
use crate::quantity::{Decaying, TokenBucket};
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of a host's requests out at one node (the design's default of the host cap per node).
pub(super) const MAX_NODE_DEPTH: f64 = 8.0;
/// Hosts that may each begin with half of that bound; more hosts share what so many begin with.
const FULL_DEPTH_INITIATORS: f64 = 5.0;
/// Part of the tightest aim that may pass inside a node; the rest is for waiting here, in a chosen order.
const NODE_TIME_SHARE: f64 = 1.0 / 6.0;
/// Above this share errors tell nothing of a node's speed; so far above the least, it gets no new objects.
pub(super) const EXCESS_ERROR_SHARE: f64 = 0.25;

/// A listed node, or one that is gone with attempts still in flight.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub(super) struct Node {
    pub entry: NodeEntry,
    /// While it drains: until when it still gets what no other node holds.
    pub drain_end: Duration,
    pub in_flight: BTreeMap<RequestId, InFlight>,
    /// Send time of the latest-sent attempt that was answered.
    pub newest_answered: Duration,
    /// Depth that its latency allows this host.
    pub depth: f64,
    /// Smoothed latency and its deviation, once there were answers.
    pub latency: Option<(Duration, Duration)>,
    /// Failures in a row, when the next attempt may be made, and the smoothed share of errors in answers.
    pub failures: u32,
    pub blocked_until: Duration,
    pub error_share: f64,
    /// Logarithm of its level against that of all nodes, as of when it last answered.
    pub level_offset: Decaying,
    /// While in slow start: what this host may send; a request may overdraw it. Its share, where planners say
    /// so.
    pub slow_start: TokenBucket,
    pub slow_start_share: Option<f64>,
    pub last_key: u64,
    /// Per class: slots, and the integral over this interval of what was queued and in flight.
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
    /// Hosts together begin with as many requests out at a node as a handful of them do, but one each.
    pub fn new(entry: NodeEntry, settings: &Settings) -> Self {
        let (slots, demand) = (vec![1; settings.classes.len()], vec![0.0; settings.classes.len()]);
        let depth =
            MAX_NODE_DEPTH / 2.0 * (FULL_DEPTH_INITIATORS / f64::from(settings.initiators.max(1))).min(1.0);
        Node { entry, depth: depth.max(1.0), slots, demand, ..Node::default() }
    }

    /// Takes a line of the node list. `debt` is what a node that has just started begins its slow start with.
    pub fn update(&mut self, entry: &NodeEntry, now: Duration, drain_end: Duration, debt: f64) {
        if entry.started > self.entry.started {
            (self.latency, self.failures, self.blocked_until) = (None, 0, Duration::ZERO);
            self.level_offset = Decaying::default();
            // Hosts begin at a node with a debt each of its own: else all send at once while it is cold.
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

    pub fn optimistic_latency(&self) -> Duration {
        self.latency.map_or(Duration::ZERO, |(mean, deviation)| mean.saturating_sub(deviation))
    }

    pub fn slow_start_end(&self, rules: &Rules) -> Duration {
        self.entry.started.map_or(Duration::ZERO, |started| started + rules.slow_start_time)
    }

    /// Present capacity, as a part of that of a warm node: it grows evenly.
    pub fn capacity_share(&self, now: Duration, rules: &Rules) -> f64 {
        let age = self.entry.started.map_or(rules.slow_start_time, |started| now.saturating_sub(started));
        rules.slow_start_min_share
            + (1.0 - rules.slow_start_min_share) * age.div_duration_f64(rules.slow_start_time).min(1.0)
    }

    /// How long a request waits that joins `queued` others of its shard, by the latency so far.
    pub fn expected_wait(&self, queued: usize, aim: Duration) -> f64 {
        let ahead = (queued + self.in_flight.len() + 1) as f64;
        ahead * self.latency.map_or(aim, |(mean, _)| mean).as_secs_f64()
    }

    /// Learns from the end of an attempt.
    pub fn learn(&mut self, now: Duration, end: &AttemptEnd, settings: &Settings) {
        match end.outcome {
            Outcome::Served | Outcome::Error => self.learn_answer(end, settings),
            Outcome::Rejected if end.attempt > 0 => {} // It may lie elsewhere: that tells nothing of the node.
            Outcome::Rejected | Outcome::NotConnected | Outcome::Reset => {
                let reset = end.outcome == Outcome::Reset;
                // Those that were out together are reset for one reason, and count once.
                let again = reset && now.saturating_sub(end.latency) < self.blocked_until;
                self.failures += u32::from(!again) + u32::from(end.outcome == Outcome::Rejected);
                self.depth = if reset { self.depth } else { (self.depth / 2.0).max(1.0) };
                let pause = settings.limits.connect_timeout * ((1 << self.failures.clamp(1, 6)) - 2) / 8;
                self.blocked_until = self.blocked_until.max(now + pause.min(INTERVAL));
            }
            Outcome::TimedOut if now.saturating_sub(end.latency) >= self.newest_answered => {
                self.failures += 2
            }
            _ => {} // A time-out that later answers have overtaken is its connection's fault.
        }
    }

    fn learn_answer(&mut self, end: &AttemptEnd, settings: &Settings) {
        (self.failures, self.blocked_until) = (0, Duration::ZERO);
        self.error_share +=
            SMOOTHING * (f64::from(u8::from(end.outcome == Outcome::Error)) - self.error_share);
        if end.outcome == Outcome::Error && self.error_share > EXCESS_ERROR_SHARE {
            return;
        }
        let (mean, deviation) = self.latency.unwrap_or((end.latency, end.latency / 2));
        let smooth = |a: Duration, b: Duration| a.mul_f64(1.0 - SMOOTHING) + b.mul_f64(SMOOTHING);
        let mean_now = smooth(mean, end.latency);
        self.latency = Some((mean_now, smooth(deviation, end.latency.abs_diff(mean))));
        // The hosts together keep one request more there, so that a freed slot finds work.
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

//! What `INFO` shows of the loop: sizes, what turns took, and why requests were answered with no.

use super::Forwarder;
use crate::listener::QueueStats;
use std::time::{Duration, Instant};

/// The part of `INFO` about turns, and how often it is renewed.
const TURNS_REPORT: &str = "turns";
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Names of the figures of an accept queue: its length, its limit, the greatest length seen, dropped handshakes.
const ACCEPT_QUEUE: [&str; 4] =
    ["accept_queue", "accept_queue_limit", "accept_queue_longest", "accept_queue_drops"];
const ISCSI_ACCEPT_QUEUE: [&str; 4] = [
    "iscsi_accept_queue",
    "iscsi_accept_queue_limit",
    "iscsi_accept_queue_longest",
    "iscsi_accept_queue_drops",
];

fn accept_queue_rows(figures: QueueStats, names: [&'static str; 4]) -> [(&'static str, u64); 4] {
    let values = [figures.length, figures.limit, figures.longest, figures.drops];
    std::array::from_fn(|at| (names[at], u64::from(values[at])))
}

impl Forwarder {
    /// How many there are of what `INFO` shows: a count that only grows would end a long day.
    pub(super) fn count(&mut self) {
        let iscsi = self.iscsi.as_ref().map_or((0, 0), |front| (front.len(), front.kept()));
        self.core.counters.replies_unparsable = self.targets.spoilt;
        self.core.gauges.clear();
        self.core.gauges.extend([
            ("clients", self.resp.len() + iscsi.0),
            ("client_bytes", self.resp.kept() + iscsi.1),
            ("long_value_bytes", self.budget.granted()),
            ("pieces_placed", self.placement.len()),
        ]);
        self.core.gauges.extend(self.nodes.sizes());
        self.core.gauges.extend(self.targets.sizes());
    }

    /// What turns took and why requests were answered with no, for `INFO`.
    pub(super) fn report_turns(&mut self, now: Instant) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_EVERY;
        let denials = self.planner.denials();
        let reasons = [
            ("denied_no_time_left", denials.no_time_left),
            ("denied_half_of_time", denials.half_of_time),
            ("denied_too_many_queued", denials.too_many_queued),
            ("denied_not_repeatable", denials.not_repeatable),
        ];
        let queues = accept_queue_rows(self.resp.accept_queue(), ACCEPT_QUEUE).into_iter().chain(
            self.iscsi.iter().flat_map(|front| accept_queue_rows(front.accept_queue(), ISCSI_ACCEPT_QUEUE)),
        );
        let figures: Vec<(&str, u64)> =
            self.turns.figures().into_iter().chain(reasons).chain(queues).collect();
        let lines = figures.iter().map(|(name, value)| format!("{name}:{value}\r\n")).collect();
        let json =
            serde_json::Map::from_iter(figures.iter().map(|(name, value)| ((*name).into(), (*value).into())));
        self.core.set_report(TURNS_REPORT, lines, serde_json::Value::Object(json).to_string());
    }
}

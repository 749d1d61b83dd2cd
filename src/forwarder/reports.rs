//! The loop's rows of `INFO`: sizes, iteration times, reasons of refusals and accept queues.

use super::Forwarder;
use crate::front::Front;
use crate::listener::QueueStats;
use crate::memory::Purpose;
use std::time::{Duration, Instant};

/// Name of the loop's report in `INFO`, and how often it is updated.
const LOOP_REPORT: &str = "turns";
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Row names of an accept queue: current length, limit, longest length seen, dropped handshakes.
const ACCEPT_QUEUE: [&str; 4] =
    ["accept_queue", "accept_queue_limit", "accept_queue_longest", "accept_queue_drops"];
const ISCSI_ACCEPT_QUEUE: [&str; 4] = [
    "iscsi_accept_queue",
    "iscsi_accept_queue_limit",
    "iscsi_accept_queue_longest",
    "iscsi_accept_queue_drops",
];

fn accept_queue_rows(stats: QueueStats, names: [&'static str; 4]) -> [(&'static str, u64); 4] {
    let values = [stats.length, stats.limit, stats.longest, stats.drops];
    std::array::from_fn(|at| (names[at], u64::from(values[at])))
}

impl Forwarder {
    /// Updates the sizes that `INFO` shows. A size that only grows reveals a leak.
    pub(super) fn update_sizes(&mut self) {
        let iscsi = self.iscsi.as_ref().map_or(0, Front::connection_count);
        self.core.counters.replies_unparsable = self.targets.unreadable;
        self.core.gauges.clear();
        self.core.gauges.extend([
            ("clients", self.resp.connection_count() + iscsi),
            (
                "client_bytes",
                self.resp.buffered_bytes() + self.iscsi.as_ref().map_or(0, Front::buffered_bytes),
            ),
            ("long_value_bytes", self.budget.used(Purpose::LongValue)),
            ("input_bytes", self.budget.used(Purpose::Input)),
            ("budget_bytes", self.budget.total()),
            ("pieces_placed", self.placement.len()),
        ]);
        self.core.gauges.extend(self.nodes.sizes());
        self.core.gauges.extend(self.targets.sizes());
    }

    /// Updates the report of iteration times, refusals and accept queues.
    pub(super) fn report_loop(&mut self, now: Instant) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
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
            self.loop_stats.figures().into_iter().chain(reasons).chain(queues).collect();
        let lines = figures.iter().map(|(name, value)| format!("{name}:{value}\r\n")).collect();
        let json =
            serde_json::Map::from_iter(figures.iter().map(|(name, value)| ((*name).into(), (*value).into())));
        self.core.set_report(LOOP_REPORT, lines, serde_json::Value::Object(json).to_string());
    }
}

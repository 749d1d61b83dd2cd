//! Counters of the core, as `INFO` shows them.

use crate::interface::Outcome;

/// Counters since the process started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    pub requests_accepted: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub clients_gone: u64,
    pub attempts: u64,
    pub attempts_served: u64,
    pub attempts_error: u64,
    pub attempts_full: u64,
    pub attempts_timed_out: u64,
    pub attempts_not_connected: u64,
    pub attempts_reset: u64,
    pub attempts_cancelled: u64,
    pub attempts_other: u64,
    pub answered_overdue: u64,
    pub duplicate_ids: u64,
    pub requests_read_late: u64,
    pub requests_declined_draining: u64,
    pub commands_rejected: u64,
    pub clients_silent: u64,
    pub clients_shut_unread: u64,
    pub replies_unparsable: u64,
    pub reloads: u64,
    pub reloads_failed: u64,
    pub admin_commands: u64,
    pub clients_taken_over: u64,
    pub bodies_streamed: u64,
    pub answers_streamed: u64,
    pub answers_truncated: u64,
    pub answers_discarded: u64,
}

impl Counters {
    /// One INFO line for each counter.
    pub(super) fn text(&self) -> String {
        let rows = [
            ("requests_taken", self.requests_accepted),
            ("answers_served", self.served),
            ("answers_refused", self.refused),
            ("answers_failed", self.failed),
            ("clients_gone", self.clients_gone),
            ("attempts_sent", self.attempts),
            ("attempts_served", self.attempts_served),
            ("attempts_error", self.attempts_error),
            ("attempts_full", self.attempts_full),
            ("attempts_timed_out", self.attempts_timed_out),
            ("attempts_not_connected", self.attempts_not_connected),
            ("attempts_reset", self.attempts_reset),
            ("attempts_cancelled", self.attempts_cancelled),
            ("attempts_other", self.attempts_other),
            ("answered_overdue", self.answered_overdue),
            ("ids_in_use", self.duplicate_ids),
            ("requests_read_late", self.requests_read_late),
            ("requests_declined_draining", self.requests_declined_draining),
            ("commands_unusable", self.commands_rejected),
            ("clients_silent", self.clients_silent),
            ("clients_shut_unread", self.clients_shut_unread),
            ("answers_spoilt", self.replies_unparsable),
            ("reloads", self.reloads),
            ("reloads_failed", self.reloads_failed),
            ("operator_calls", self.admin_commands),
            ("clients_taken_over", self.clients_taken_over),
            ("bodies_long", self.bodies_streamed),
            ("answers_long", self.answers_streamed),
            ("answers_cut", self.answers_truncated),
            ("answers_discarded", self.answers_discarded),
        ];
        rows.iter().map(|(name, count)| format!("{name}:{count}\r\n")).collect()
    }

    /// Counts the end of an attempt.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Served => &mut self.attempts_served,
            Outcome::Error => &mut self.attempts_error,
            Outcome::Rejected => &mut self.attempts_full,
            Outcome::TimedOut => &mut self.attempts_timed_out,
            Outcome::NotConnected => &mut self.attempts_not_connected,
            Outcome::Reset => &mut self.attempts_reset,
            Outcome::Cancelled => &mut self.attempts_cancelled,
            Outcome::NotSent | Outcome::Unknown => &mut self.attempts_other,
        } += 1;
    }
}

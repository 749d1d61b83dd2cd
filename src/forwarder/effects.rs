//! Runs the planner and applies the effects of its decisions.

use super::{turns, Forwarder};
use crate::core::{AttemptId, AttemptResult, Effect};
use crate::flow::WINDOW;
use crate::front::StreamMemory;
use crate::interface::{Event, Outcome};
use crate::target::{Start, TransferEvent};
use crate::tokens::Kind;
use std::time::Instant;

impl Forwarder {
    /// Runs planner rounds until there is nothing left to do. A long iteration ends early, so that overdue requests
    /// are answered and new input is read before the next one continues.
    pub(super) fn run_planner(&mut self, now: Instant) {
        let begun = Instant::now();
        for round in 0.. {
            if round > 0 && begun.elapsed() > turns::LONG_ITERATION && !self.core.has_effects() {
                return;
            }
            self.relay_transfers(now);
            for (attempt, ended) in std::mem::take(&mut self.targets.ended) {
                self.learn_placement(attempt, ended.outcome);
                self.core.attempt_ended(now, attempt, ended);
            }
            let effects = self.core.drain_effects();
            if effects.is_empty() {
                let mut events = self.core.drain_events();
                for event in &mut events {
                    if let Event::Request(new) = event {
                        new.shard = self.placement.shard(new.key, new.shard);
                    }
                }
                // Grants of the planners precede the requests that use them. They also change while there are no
                // requests.
                let shares =
                    self.planners.as_mut().and_then(|planners| planners.record_requests(now, &events));
                events.splice(0..0, shares);
                if events.is_empty() {
                    return;
                }
                let actions = self.planner.decide(now, &events);
                self.core.carry_out(now, actions);
                self.core.answer_overdue(Instant::now());
            }
            for effect in effects {
                self.apply_effect(now, effect);
            }
        }
    }

    /// Learns where pieces are stored: a node holds the pieces that it serves and not those that it turns away.
    pub(super) fn learn_placement(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some((key, node)) = self.core.key_and_node(attempt) else { return };
        let Some(shard) = self.nodes.shard(node) else { return };
        match outcome {
            Outcome::Served => self.placement.record(key, shard),
            Outcome::Rejected => self.placement.invalidate(key, shard),
            _ => {}
        }
    }

    /// Moves long values between targets and clients, as far as the receiving side has capacity.
    pub(super) fn relay_transfers(&mut self, now: Instant) {
        for (attempt, length) in std::mem::take(&mut self.answers_without_memory) {
            if self.targets.is_running(attempt) {
                self.begin_answer(now, attempt, length);
            }
        }
        self.relay_events(now);
        while self.extend_credit(now) {
            self.relay_events(now);
        }
    }

    /// Begins a long answer. Without memory for any of it, it is left with its node for now.
    fn begin_answer(&mut self, now: Instant, attempt: AttemptId, length: usize) {
        let Some(memory) = StreamMemory::take(&self.budget, length) else {
            return self.answers_without_memory.push((attempt, length));
        };
        match self.core.begin_stream(attempt) {
            Some(origin) => self.resp.begin_answer(now, origin, length, memory, &mut self.core),
            None => self.targets.stop(attempt, Outcome::Cancelled),
        }
    }

    /// Allows more of long answers to be read whose receiving side has capacity. Returns whether any was read.
    fn extend_credit(&mut self, now: Instant) -> bool {
        for attempt in self.targets.blocked_on_client() {
            let Some(origin) = self.core.stream_origin(attempt) else { continue };
            let capacity = self.resp.answer_capacity(origin);
            // Avoids many small reads.
            if capacity >= WINDOW / 2 {
                self.targets.grant_credit(now, attempt, capacity);
            }
        }
        !self.targets.transfer_events.is_empty()
    }

    /// Passes on what was received. It has to be relayed before the attempts' ends are handled.
    fn relay_events(&mut self, now: Instant) {
        while let Some((attempt, step)) = self.targets.transfer_events.pop_front() {
            match step {
                TransferEvent::AnswerStarted(length) => self.begin_answer(now, attempt, length),
                TransferEvent::AnswerData(piece) => {
                    if let Some(origin) = self.core.stream_origin(attempt) {
                        self.resp.write_piece(now, origin, &piece, &mut self.core);
                    }
                }
                TransferEvent::Slow => self.core.transfer_started(attempt),
                TransferEvent::BodyProgress => {
                    if let Some(origin) = self.core.origin(attempt.request) {
                        self.resp.resume(now, origin.conn, &mut self.core);
                    }
                }
            }
        }
    }

    pub(super) fn apply_effect(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::BodyAvailable { attempt } => self.targets.continue_body(now, attempt),
            Effect::EndStream { origin, complete: true } => {
                self.resp.finish_answer(now, origin, &mut self.core)
            }
            Effect::EndStream { origin, complete: false } => {
                self.resp.truncate_answer(now, origin, &mut self.core)
            }
            Effect::DiscardStream { origin } => self.resp.discard_answer(now, origin, &mut self.core),
            Effect::ReleaseStream { origin } => self.resp.release_answer(now, origin, &mut self.core),
            Effect::Answer { origin, answer } => match (Kind::of(origin.conn), &mut self.iscsi) {
                (Some(Kind::IscsiClient), Some(front)) => front.answer(now, origin, answer, &mut self.core),
                _ => self.resp.answer(now, origin, answer, &mut self.core),
            },
            Effect::Stop { attempt, outcome } => self.targets.stop(attempt, outcome),
            Effect::CancelUnsent { attempt } => self.targets.cancel_unsent(attempt),
            Effect::Start { attempt, node, content, give_up_at, begin_by } => {
                let grace = self.config.settings.rules.drain_grace;
                let Some((endpoint, closes)) = self.nodes.endpoint(now, node, grace) else {
                    return self.core.attempt_ended(
                        now,
                        attempt,
                        AttemptResult::without_reply(Outcome::NotConnected),
                    );
                };
                let begin_by = closes.map_or(begin_by, |closes| closes.min(begin_by));
                let start = Start { attempt, node, content, give_up_at, begin_by };
                let token = self.tokens.next(Kind::Target);
                self.targets.start(now, start, endpoint, token, self.poll.registry());
            }
        }
    }
}

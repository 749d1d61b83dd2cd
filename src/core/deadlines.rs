//! Requests that end by their deadline or with the process, without a decision of the planner.

use super::{Answer, AttemptId, Core, Effect};
use crate::flow::BodyStream;
use crate::interface::{Event, Outcome, RequestId};
use std::time::Instant;

impl Core {
    /// Fires the timers that have expired by `now`.
    pub fn fire_timers(&mut self, now: Instant) {
        let woken = self.wake_at.take_if(|at| *at <= now).is_some();
        while let Some((at, attempt)) = self.attempt_timeouts.pop_first() {
            if at > now {
                self.attempt_timeouts.insert((at, attempt));
                break;
            }
            // A streamed answer in progress is not cut off.
            if self.is_running(attempt) && self.stream_origin(attempt).is_none() {
                self.effects.push(Effect::Stop { attempt, outcome: Outcome::TimedOut });
            }
        }
        self.answer_overdue(now);
        if woken {
            self.events.push(Event::Wake);
        }
    }

    /// Answers the requests whose deadline passed more than `ANSWER_GRACE` before `now`.
    pub fn answer_overdue(&mut self, now: Instant) {
        while let Some((at, id)) = self.overdue_answers.pop_first() {
            if at > now {
                self.overdue_answers.insert((at, id));
                break;
            }
            if self.is_overdue(id, now) {
                tracing::warn!(request = id.0, late = ?(now - at), "no decision by the deadline");
                self.counters.answered_overdue += 1;
                self.terminate_overdue(id);
            } else if let Some(open) = self.requests.get(&id).filter(|open| open.stream.is_some()) {
                self.effects.push(Effect::ReleaseStream { origin: open.origin });
            }
        }
    }

    /// Ends a request after its deadline as the planner would: refused if its effect allows that, else failed.
    pub(super) fn terminate_overdue(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let effect = open.effect;
        let ran = self.stop_attempts(id);
        self.answer_without_planner(id, effect.allows_refusal(ran));
        self.events.push(Event::ClientGone { id });
    }

    /// Ends a request without the planner: failed if it may have been executed, else refused.
    pub(super) fn terminate_without_planner(&mut self, id: RequestId) {
        let ran = self.stop_attempts(id);
        self.answer_without_planner(id, !ran);
    }

    pub(super) fn answer_without_planner(&mut self, id: RequestId, refuses: bool) {
        let refused = Answer::Refused { retry_after: self.retry_after };
        self.answer(id, if refuses { refused } else { Answer::Failed });
        self.remove_if_finished(id);
    }

    /// Stops all attempts of a request that are in flight. Returns whether the request may have been executed.
    pub(super) fn stop_attempts(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else { return false };
        let mut ran = open.may_have_run;
        // A node can't execute a command of which the client has not sent the end.
        let whole = open.content.body_stream.as_ref().is_none_or(BodyStream::is_terminated);
        for (number, _) in open.attempts.iter().enumerate().filter(|(_, it)| it.running) {
            // An attempt in flight may have been executed.
            ran |= whole;
            let attempt = AttemptId { request: id, number: number as u32 };
            self.effects.push(Effect::Stop { attempt, outcome: Outcome::Cancelled });
        }
        ran
    }

    /// At process exit: gives every open request its one final answer and retries nothing.
    pub fn terminate_all(&mut self) {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort();
        ids.into_iter().for_each(|id| self.terminate_without_planner(id));
        self.events.clear();
    }
}

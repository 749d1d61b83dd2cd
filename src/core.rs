//! The life cycle of a request, independent of the protocol it arrived by: admission, attempts and exactly one
//! final answer.
//!
//! Fronts pass in requests, targets pass in the results of attempts, and the planner passes in [`Action`]s. The core
//! returns [`Effect`]s for fronts and targets and [`Event`]s for the planner. It does no I/O and reads no clock.

mod counters;
mod deadlines;
mod messages;

pub use counters::Counters;
pub use messages::*;

use crate::clock::Clock;
use crate::interface::{self, Action, AttemptEnd, Event, NewRequest, NodeId, Outcome, RequestId};
use crate::memory::{Budget, Grant, Purpose};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay after a request's deadline before the core answers in the planner's place, in case the planner does not
/// answer. The delay lets the planner's own answer at the deadline go first.
const ANSWER_GRACE: Duration = Duration::from_millis(4);

/// Memory that is counted for an open request besides what its client sent, in bytes.
const REQUEST_BYTES: usize = 1024;

/// Lower bound of a latency from which this process's lateness was subtracted; the real one is unknown.
const MIN_LATENCY: Duration = Duration::from_millis(1);

struct Attempt {
    node: NodeId,
    sent: Instant,
    /// When the planner wants to give it up, and when it is given up: at the request's deadline, if that is earlier.
    planned_end: Instant,
    give_up_at: Instant,
    running: bool,
}

/// An answer that is passed on to the client while it is received.
struct Stream {
    /// Number of the attempt that it comes from.
    attempt: u32,
    /// A part of it was passed on, so that the client can get no other answer.
    committed: bool,
}

struct OpenRequest {
    origin: Origin,
    content: Rc<Content>,
    /// The object's key; 0 if it has none.
    key: u64,
    deadline: Instant,
    /// Whether the request may be executed more than once.
    effect: interface::Effect,
    attempts: Vec<Attempt>,
    answered: bool,
    /// An attempt that has ended may have been executed.
    may_have_run: bool,
    /// The answer that is being streamed to the client.
    stream: Option<Stream>,
    /// Its share of the budget.
    _memory: Grant,
}

/// The open requests of one initiator.
pub struct Core {
    clock: Clock,
    requests: FxHashMap<RequestId, OpenRequest>,
    /// Open requests by client request id.
    by_client_id: HashMap<String, RequestId>,
    /// When attempts time out, and when requests are answered in the planner's place. Timers of finished requests are
    /// removed.
    attempt_timeouts: BTreeSet<(Instant, AttemptId)>,
    overdue_answers: BTreeSet<(Instant, RequestId)>,
    /// When the planner is to be called next.
    wake_at: Option<Instant>,
    /// Upper bound of how long input has waited for this process before it was read.
    lateness: Duration,
    /// Events not yet passed to the planner, in order of arrival.
    events: Vec<Event>,
    effects: Vec<Effect>,
    /// Memory for open requests.
    budget: Budget,
    /// Bytes that clients sent for open requests.
    request_bytes: usize,
    last_id: u64,
    /// Retry delay for clients that the core refuses by itself.
    retry_after: Duration,
    /// Whether requests may be executed more than once, by class number. Those of an unknown class may not.
    classes: Vec<interface::Effect>,
    pub counters: Counters,
    /// Reports of other parts by name: lines for [`Core::info`], and the full report as JSON.
    reports: Vec<(&'static str, String, String)>,
    /// Current sizes of collections that other parts keep, by name.
    pub gauges: Vec<(&'static str, usize)>,
}

impl Core {
    /// A core without requests, whose memory is taken from `budget`.
    pub fn new(clock: Clock, retry_after: Duration, budget: Budget) -> Self {
        Core {
            clock,
            requests: FxHashMap::default(),
            by_client_id: HashMap::new(),
            attempt_timeouts: BTreeSet::new(),
            overdue_answers: BTreeSet::new(),
            wake_at: None,
            lateness: Duration::ZERO,
            events: Vec::new(),
            effects: Vec::new(),
            budget,
            request_bytes: 0,
            last_id: 0,
            retry_after,
            classes: Vec::new(),
            counters: Counters::default(),
            reports: Vec::new(),
            gauges: Vec::new(),
        }
    }

    /// Sets the classes for requests accepted from now on.
    pub fn set_classes(&mut self, classes: &[interface::Class]) {
        self.classes = classes.iter().map(|class| class.effect).collect();
    }

    /// Sets the retry delay for clients that the core refuses by itself.
    pub fn set_retry_after(&mut self, retry_after: Duration) {
        self.retry_after = retry_after;
    }

    /// The text of INFO: counters since the start and current sizes, one line each.
    pub fn info(&self) -> String {
        let own = [
            ("requests_open", self.requests.len()),
            ("request_bytes", self.request_bytes),
            ("timers", self.attempt_timeouts.len() + self.overdue_answers.len()),
        ];
        let sizes = own.iter().chain(&self.gauges);
        let sizes: String = sizes.map(|(name, count)| format!("{name}:{count}\r\n")).collect();
        let reports = self.reports.iter().map(|(_, lines, _)| lines.as_str());
        [self.counters.text(), sizes].iter().map(String::as_str).chain(reports).collect()
    }

    /// Sets a report, replacing the earlier one of this name.
    pub fn set_report(&mut self, name: &'static str, lines: String, json: String) {
        self.reports.retain(|(known, _, _)| *known != name);
        self.reports.push((name, lines, json));
    }

    /// The report of this name as JSON, if there is one.
    pub fn report(&self, name: &str) -> Option<&str> {
        self.reports.iter().find(|(known, _, _)| *known == name).map(|(_, _, json)| json.as_str())
    }

    /// Accepts a request and assigns its id. Returns nothing if an open request has the same client id: a node would
    /// see two commands with one id, and a request that may not run twice could.
    pub fn accept(&mut self, origin: Origin, mut new: NewRequest, content: Content) -> Option<RequestId> {
        if self.by_client_id.contains_key(&content.id) {
            self.counters.duplicate_ids += 1;
            return None;
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.by_client_id.insert(content.id.clone(), id);
        new.id = id;
        let deadline = self.clock.instant(new.deadline);
        self.overdue_answers.insert((deadline + ANSWER_GRACE, id));
        let bytes = content.bytes();
        self.request_bytes += bytes;
        let memory = self.budget.hold(Purpose::Request, bytes + REQUEST_BYTES);
        let content = Rc::new(content);
        let key = new.key;
        let open = OpenRequest {
            origin,
            content,
            key,
            deadline,
            effect: self.classes.get(new.class).copied().unwrap_or(interface::Effect::Unsafe),
            attempts: Vec::new(),
            answered: false,
            may_have_run: false,
            stream: None,
            _memory: memory,
        };
        self.requests.insert(id, open);
        self.counters.requests_accepted += 1;
        tracing::trace!(id = id.0, ?new, "taken");
        self.events.push(Event::Request(new));
        Some(id)
    }

    /// Ends a request at once because its connection is about to be closed.
    pub fn terminate(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| !open.answered) {
            self.terminate_without_planner(id);
            self.events.push(Event::ClientGone { id });
        }
    }

    /// Begins to stream the answer of this attempt. Returns where to send it, or nothing if the request was already
    /// answered, streams another answer, or the attempt has ended. Until [`Core::commit_stream`] the request stays open
    /// and can get another answer.
    pub fn begin_stream(&mut self, attempt: AttemptId) -> Option<Origin> {
        let open = self.requests.get_mut(&attempt.request)?;
        if open.answered || open.stream.is_some() {
            return None;
        }
        open.attempts.get(attempt.number as usize).filter(|it| it.running)?;
        open.stream = Some(Stream { attempt: attempt.number, committed: false });
        self.counters.answers_streamed += 1;
        self.events.push(Event::StreamStarted { id: attempt.request });
        Some(open.origin)
    }

    /// A part of a request's streamed answer was passed on to the client: it is the final answer, whole or not.
    pub fn commit_stream(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.answered) else { return };
        let Some(stream) = &mut open.stream else { return };
        stream.committed = true;
        self.mark_answered(id, "served");
        self.counters.served += 1;
    }

    /// A long transfer with the node is in progress: the node waits for the body, or has done its work. Tells the
    /// planner, so that other requests for this node don't wait behind it.
    pub fn transfer_started(&mut self, attempt: AttemptId) {
        if self.is_running(attempt) {
            self.events.push(Event::StreamStarted { id: attempt.request });
        }
    }

    /// Where the answer goes that is being streamed from this attempt.
    pub fn stream_origin(&self, attempt: AttemptId) -> Option<Origin> {
        let open = self.requests.get(&attempt.request)?;
        open.stream.as_ref().is_some_and(|it| it.attempt == attempt.number).then_some(open.origin)
    }

    /// Whether a request's answer is being streamed. A front that still buffers a part of an answer must not begin to
    /// pass it on otherwise: it has broken off, and an [`Effect::DiscardStream`] is on its way.
    pub fn is_streaming(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|open| open.stream.is_some())
    }

    /// The key that an attempt asks for, and its node.
    pub fn key_and_node(&self, attempt: AttemptId) -> Option<(u64, NodeId)> {
        let open = self.requests.get(&attempt.request)?;
        open.attempts.get(attempt.number as usize).map(|it| (open.key, it.node))
    }

    /// Where a request came from.
    pub fn origin(&self, id: RequestId) -> Option<Origin> {
        self.requests.get(&id).map(|open| open.origin)
    }

    /// More of a streamed body was received.
    pub fn body_available(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        for (number, _) in open.attempts.iter().enumerate().filter(|(_, it)| it.running) {
            self.effects
                .push(Effect::BodyAvailable { attempt: AttemptId { request: id, number: number as u32 } });
        }
    }

    /// Changes the deadline of a request whose body is streamed: the client's time counts from its last byte. The planner
    /// keeps the deadline that it was given, which has to be the latest.
    pub fn set_deadline(&mut self, id: RequestId, deadline: Duration) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.answered) else { return };
        self.overdue_answers.remove(&(open.deadline + ANSWER_GRACE, id));
        open.deadline = self.clock.instant(deadline);
        self.overdue_answers.insert((open.deadline + ANSWER_GRACE, id));
        for (number, state) in open.attempts.iter_mut().enumerate().filter(|(_, state)| state.running) {
            let attempt = AttemptId { request: id, number: number as u32 };
            self.attempt_timeouts.remove(&(state.give_up_at, attempt));
            state.give_up_at = state.planned_end.min(open.deadline);
            self.attempt_timeouts.insert((state.give_up_at, attempt));
        }
    }

    /// The client of a request has disconnected; no answer is sent any more.
    pub fn client_gone(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        // The planner doesn't cancel attempts that have started transferring. Stop them here: the answer has no reader,
        // or the rest of the command will not arrive.
        let incomplete = open.content.body_stream.as_ref().is_some_and(|body| !body.is_complete());
        let streaming = open.stream.take().map(|stream| stream.attempt);
        for number in 0..open.attempts.len() as u32 {
            let attempt = AttemptId { request: id, number };
            if incomplete || streaming == Some(number) {
                self.effects.push(Effect::Stop { attempt, outcome: Outcome::Cancelled });
            } else if open.attempts[number as usize].running {
                // The planner may be configured not to cancel, or may take the attempt to be started already.
                self.effects.push(Effect::CancelUnsent { attempt });
            }
        }
        if open.answered {
            return;
        }
        open.answered = true;
        self.counters.clients_gone += 1;
        self.events.push(Event::ClientGone { id });
        self.remove_if_finished(id);
    }

    /// Sets how late this process is now.
    pub fn set_lateness(&mut self, late: Duration) {
        if !(late.is_zero() && self.lateness.is_zero()) {
            self.events.push(Event::LoopDelayed { by: late });
        }
        self.lateness = late;
    }

    /// Queues an event of another kind for the planner.
    pub fn push_event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// An attempt ended. The first value served is the final answer of its request.
    pub fn attempt_ended(&mut self, now: Instant, attempt: AttemptId, ended: AttemptResult) {
        let id = attempt.request;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(it) = open.attempts.get_mut(attempt.number as usize).filter(|it| it.running) else { return };
        it.running = false;
        self.attempt_timeouts.remove(&(it.give_up_at, attempt));
        // Time that the reply may have waited for this process says nothing about the node.
        let took = now - it.sent;
        let (node, latency) =
            (it.node, took.saturating_sub(ended.transfer + self.lateness).max(took.min(MIN_LATENCY)));
        let stream = open.stream.take_if(|stream| stream.attempt == attempt.number);
        let partly_released = open.content.body_stream.as_ref().is_some_and(|body| !body.is_replayable());
        open.may_have_run |= may_have_run(ended.outcome);
        tracing::trace!(id = id.0, node = node.0, outcome = ?ended.outcome, ?latency, "attempt ended");
        self.counters.attempt_ended(ended.outcome);
        if let Some(stream) = stream {
            self.end_stream(id, &stream, ended.outcome);
        } else if ended.outcome == Outcome::Served {
            self.answer(id, Answer::Served(ended.value));
        }
        if ended.outcome != Outcome::Served && partly_released {
            // The start of the body was released and can't be sent again; another attempt would send part of it.
            self.terminate_without_planner(id);
        }
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: attempt.number,
            node,
            outcome: ended.outcome,
            finished: self.requests.get(&id).is_none_or(|open| open.answered),
            latency,
            volume_usage: ended.used,
            served_elsewhere: ended.elsewhere,
        }));
        self.remove_if_finished(id);
    }

    /// The attempt of a streamed answer ended. Unless a part of the answer was passed on, the request stays open if the
    /// answer is incomplete.
    fn end_stream(&mut self, id: RequestId, stream: &Stream, outcome: Outcome) {
        let Some(open) = self.requests.get(&id) else { return };
        let (origin, deadline) = (open.origin, open.deadline);
        let complete = outcome == Outcome::Served;
        if !complete {
            tracing::debug!(id = id.0, ?outcome, passed_on = stream.committed, "a long answer broke off");
        }
        if stream.committed {
            return self.effects.push(Effect::EndStream { origin, complete });
        }
        if complete {
            self.mark_answered(id, "served");
            self.counters.served += 1;
            return self.effects.push(Effect::EndStream { origin, complete });
        }
        self.counters.answers_discarded += 1;
        self.effects.push(Effect::DiscardStream { origin });
        // The timer may have expired meanwhile: a streamed answer in progress is not overdue.
        self.overdue_answers.insert((deadline + ANSWER_GRACE, id));
    }

    /// Carries out the planner's actions.
    pub fn carry_out(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, node, give_up_at, begin_by } => {
                    self.send(now, (id, node), give_up_at, begin_by);
                }
                Action::Refuse { id, retry_after } => {
                    self.answer(id, Answer::Refused { retry_after });
                    self.remove_if_finished(id);
                }
                Action::Fail { id } => {
                    self.answer(id, Answer::Failed);
                    self.remove_if_finished(id);
                }
                Action::Cancel { id, attempt } => {
                    let attempt = AttemptId { request: id, number: attempt };
                    if self.is_running(attempt) {
                        self.effects.push(Effect::Stop { attempt, outcome: Outcome::Cancelled });
                    }
                }
                Action::WakeAt(at) => {
                    let at = self.clock.instant(at);
                    self.wake_at = Some(self.wake_at.map_or(at, |other| other.min(at)));
                }
                // Discovery is watched all the time, so there is no subscription to request.
                Action::Subscribe => {}
            }
        }
    }

    fn send(
        &mut self,
        now: Instant,
        (id, node): (RequestId, NodeId),
        give_up_at: Duration,
        begin_by: Duration,
    ) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.answered) else {
            // The core ended the request meanwhile; the planner must not count this attempt as in flight.
            let (outcome, finished) = (Outcome::NotSent, true);
            let (attempt, latency, volume_usage, served_elsewhere) = (0, Duration::ZERO, None, 0.0);
            let end =
                AttemptEnd { id, attempt, node, outcome, finished, latency, volume_usage, served_elsewhere };
            return self.events.push(Event::AttemptEnded(end));
        };
        let planned_end = self.clock.instant(give_up_at);
        let give_up_at = planned_end.min(open.deadline);
        // The deadline of an unfinished body moves as its client goes on.
        let begin_by = self.clock.instant(begin_by).min(planned_end);
        let attempt = AttemptId { request: id, number: open.attempts.len() as u32 };
        open.attempts.push(Attempt { node, sent: now, planned_end, give_up_at, running: true });
        self.counters.attempts += 1;
        tracing::trace!(id = id.0, node = node.0, number = attempt.number, "attempt begins");
        self.attempt_timeouts.insert((give_up_at, attempt));
        let content = open.content.clone();
        self.effects.push(Effect::Start { attempt, node, content, give_up_at, begin_by });
    }

    fn is_running(&self, attempt: AttemptId) -> bool {
        let open = self.requests.get(&attempt.request);
        open.and_then(|open| open.attempts.get(attempt.number as usize)).is_some_and(|it| it.running)
    }

    fn is_overdue(&self, id: RequestId, now: Instant) -> bool {
        let waits = |open: &OpenRequest| !open.answered && open.stream.is_none();
        self.requests.get(&id).is_some_and(|open| waits(open) && open.deadline + ANSWER_GRACE <= now)
    }

    /// Sends the final answer, unless there was one already.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.answered) else { return };
        let origin = open.origin;
        if open.stream.take().is_some() {
            self.counters.answers_discarded += 1;
            self.effects.push(Effect::DiscardStream { origin });
        }
        let (outcome, counter) = match answer {
            Answer::Served(_) => ("served", &mut self.counters.served),
            Answer::Refused { .. } => ("refused", &mut self.counters.refused),
            Answer::Failed => ("failed", &mut self.counters.failed),
        };
        *counter += 1;
        self.mark_answered(id, outcome);
        self.effects.push(Effect::Answer { origin, answer });
    }

    /// Records that a request has its final answer.
    fn mark_answered(&mut self, id: RequestId, outcome: &'static str) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.answered = true;
        self.overdue_answers.remove(&(open.deadline + ANSWER_GRACE, id));
        tracing::trace!(id = id.0, outcome, attempts = open.attempts.len(), "answered");
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        let finished =
            |open: &OpenRequest| open.answered && open.attempts.iter().all(|attempt| !attempt.running);
        if self.requests.get(&id).is_some_and(finished) {
            if let Some(open) = self.requests.remove(&id) {
                // A request that ends without an answer still has its timer.
                self.overdue_answers.remove(&(open.deadline + ANSWER_GRACE, id));
                self.request_bytes -= open.content.bytes();
                self.by_client_id.remove(&open.content.id);
            }
        }
    }

    /// When the next timer expires.
    pub fn next_timer(&self) -> Option<Instant> {
        let give_up = self.attempt_timeouts.first().map(|(at, _)| *at);
        let overdue = self.overdue_answers.first().map(|(at, _)| *at);
        [give_up, overdue, self.wake_at].into_iter().flatten().min()
    }

    /// Whether there are effects for fronts and targets.
    pub fn has_effects(&self) -> bool {
        !self.effects.is_empty()
    }

    /// Whether there are events for the planner, or effects for fronts and targets.
    pub fn has_pending(&self) -> bool {
        !self.events.is_empty() || !self.effects.is_empty()
    }

    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Bytes that clients sent for open requests.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    pub fn drain_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn drain_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

#[cfg(test)]
mod tests;

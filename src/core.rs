//! What every request goes through, whatever wire it came by: taking it, its attempts, its one final answer.
//!
//! Nothing here does I/O or reads a clock. Fronts hand in requests, targets hand in how attempts ended, the
//! planner's actions are carried out; what comes back is [`Effect`]s for fronts and targets.

use crate::clock::Clock;
use crate::flow::Flow;
use crate::interface::{self, Action, AttemptEnd, Event, NewRequest, NodeId, Outcome, RequestId};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long after a request's deadline the core answers in the planner's place. Guards against a planner that
/// says nothing; the planner's own answer at the deadline comes first.
const OVERDUE: Duration = Duration::from_millis(4);

/// No answer counts as quicker where this process is late, and cannot tell.
const QUICKEST: Duration = Duration::from_millis(1);

/// Where an answer belongs: a connection of a front, and the place of the command on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    pub conn: usize,
    pub place: u64,
}

/// Whether a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Read,
    Write,
}

/// What a target needs to know of a request. It passes through unread.
#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    pub operation: Operation,
    /// The piece of data, as 16 hex digits.
    pub object: String,
    /// The client's id for the request.
    pub id: String,
    /// Further names and values, less the deadline: `c=read,t=gold,...`.
    pub attributes: String,
    pub body: Vec<u8>,
    /// The body in its stead, where it is long.
    pub flow: Option<Flow>,
    /// Where it lies on block storage; without it only nodes of objects can serve it.
    pub extent: Option<Extent>,
}

/// A run of blocks of a logical unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    pub lun: u16,
    pub block: u64,
    pub blocks: u32,
    pub block_bytes: u32,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u32,
}

/// How an attempt ended, with what its answer told.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    pub outcome: Outcome,
    pub used: Option<f64>,
    pub elsewhere: f64,
    /// The value, where it was served and is not long.
    pub value: Vec<u8>,
    /// For how long a body went out and the answer came in: the time that peers take to read and write is no sign of
    /// the node's load.
    pub transfer: Duration,
}

impl Ended {
    /// An end that no answer came with.
    pub fn bare(outcome: Outcome) -> Self {
        Ended { outcome, used: None, elsewhere: 0.0, value: Vec::new(), transfer: Duration::ZERO }
    }
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused { retry_after: Duration },
    Failed,
}

/// What fronts and targets are to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Start {
        attempt: AttemptId,
        node: NodeId,
        content: Rc<Content>,
        give_up_at: Instant,
        /// Its last byte goes out by then, or none does.
        begin_by: Instant,
    },
    /// The client has gone: an attempt whose last byte is not out is not to begin any more.
    Withdraw {
        attempt: AttemptId,
    },
    /// Stop waiting for an attempt. The target reports its end: `outcome`, or that it never ran.
    Stop {
        attempt: AttemptId,
        outcome: Outcome,
    },
    Answer {
        origin: Origin,
        answer: Answer,
    },
    /// There is more of the body of an attempt.
    Moved {
        attempt: AttemptId,
    },
    /// A long answer that was begun has come to its end, whole or not.
    Finish {
        origin: Origin,
        whole: bool,
    },
}

/// Counts since the start, and what is open now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    pub taken: u64,
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
    pub ids_in_use: u64,
    pub read_late: u64,
    pub commands_unusable: u64,
    pub clients_silent: u64,
    pub clients_shut: u64,
    pub answers_spoilt: u64,
    pub reloads: u64,
    pub reloads_failed: u64,
    pub operator_calls: u64,
    pub clients_taken_over: u64,
    pub bodies_long: u64,
    pub answers_long: u64,
    pub answers_cut: u64,
}

impl Counters {
    /// A line for each count.
    fn text(&self) -> String {
        let rows = [
            ("requests_taken", self.taken),
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
            ("ids_in_use", self.ids_in_use),
            ("requests_read_late", self.read_late),
            ("commands_unusable", self.commands_unusable),
            ("clients_silent", self.clients_silent),
            ("clients_shut_unread", self.clients_shut),
            ("answers_spoilt", self.answers_spoilt),
            ("reloads", self.reloads),
            ("reloads_failed", self.reloads_failed),
            ("operator_calls", self.operator_calls),
            ("clients_taken_over", self.clients_taken_over),
            ("bodies_long", self.bodies_long),
            ("answers_long", self.answers_long),
            ("answers_cut", self.answers_cut),
        ];
        rows.iter().map(|(name, count)| format!("{name}:{count}\r\n")).collect()
    }

    fn attempt_ended(&mut self, outcome: Outcome) {
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

/// Whether an attempt that ended like this may have had an effect.
pub fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Rejected | Outcome::NotConnected | Outcome::NotSent)
}

struct Attempt {
    node: NodeId,
    sent: Instant,
    give_up_at: Instant,
    running: bool,
}

struct Open {
    origin: Origin,
    content: Rc<Content>,
    /// The piece of data; 0: none.
    key: u64,
    deadline: Instant,
    /// Whether it may run more than once.
    repeats: interface::Effect,
    attempts: Vec<Attempt>,
    answered: bool,
    /// An ended attempt may have run.
    ran: bool,
    /// The attempt whose long answer has begun.
    streams: Option<u32>,
}

/// The open requests of one initiator.
pub struct Core {
    clock: Clock,
    requests: FxHashMap<RequestId, Open>,
    /// Open requests by the ids that clients gave them.
    by_name: HashMap<String, RequestId>,
    /// When attempts are given up, and requests answered in the planner's place: of what is open alone, one that is over
    /// takes its timers along.
    give_ups: BTreeSet<(Instant, AttemptId)>,
    overdue: BTreeSet<(Instant, RequestId)>,
    /// When the planner is to be called next.
    wake_at: Option<Instant>,
    /// How late this process is, by its own clock: for so long at most, what came in has waited for it.
    late: Duration,
    /// News for the planner, in the order they came.
    events: Vec<Event>,
    effects: Vec<Effect>,
    /// Bytes of the bodies held.
    held_bytes: usize,
    last_id: u64,
    /// When a client is to come again that the core refuses by itself.
    retry_after: Duration,
    /// Whether requests of a class may run more than once, by its number. One of an unknown class may not.
    classes: Vec<interface::Effect>,
    pub counters: Counters,
    /// What other parts tell of themselves, by name: lines for [`Core::info`], and all of it as JSON.
    reports: Vec<(&'static str, String, String)>,
    /// How many there are now of what is kept elsewhere, by name.
    pub sizes: Vec<(&'static str, usize)>,
}

impl Core {
    pub fn new(clock: Clock, retry_after: Duration) -> Self {
        Core {
            clock,
            requests: FxHashMap::default(),
            by_name: HashMap::new(),
            give_ups: BTreeSet::new(),
            overdue: BTreeSet::new(),
            wake_at: None,
            late: Duration::ZERO,
            events: Vec::new(),
            effects: Vec::new(),
            held_bytes: 0,
            last_id: 0,
            retry_after,
            classes: Vec::new(),
            counters: Counters::default(),
            reports: Vec::new(),
            sizes: Vec::new(),
        }
    }

    /// The classes of requests that are taken from now on.
    pub fn set_classes(&mut self, classes: &[interface::Class]) {
        self.classes = classes.iter().map(|class| class.effect).collect();
    }

    /// When a client is to come again from now on that is refused here.
    pub fn set_retry_after(&mut self, retry_after: Duration) {
        self.retry_after = retry_after;
    }

    /// Counts since the start, and what is open or kept now: a line each.
    pub fn info(&self) -> String {
        let own = [
            ("requests_open", self.requests.len()),
            ("request_bytes", self.held_bytes),
            ("timers", self.give_ups.len() + self.overdue.len()),
        ];
        let sizes = own.iter().chain(&self.sizes);
        let sizes: String = sizes.map(|(name, count)| format!("{name}:{count}\r\n")).collect();
        let reports = self.reports.iter().map(|(_, lines, _)| lines.as_str());
        [self.counters.text(), sizes].iter().map(String::as_str).chain(reports).collect()
    }

    /// Takes the place of a report told before.
    pub fn set_report(&mut self, name: &'static str, lines: String, json: String) {
        self.reports.retain(|(known, _, _)| *known != name);
        self.reports.push((name, lines, json));
    }

    /// A report as JSON, if there is one of this name.
    pub fn report(&self, name: &str) -> Option<&str> {
        self.reports.iter().find(|(known, _, _)| *known == name).map(|(_, _, json)| json.as_str())
    }

    /// Takes a request; its id is given here. Nothing if the id that its client gave is that of an open request.
    /// Guards that request: a node would see two commands of one id, and a copy where none is allowed.
    pub fn take(&mut self, origin: Origin, mut new: NewRequest, content: Content) -> Option<RequestId> {
        if self.by_name.contains_key(&content.id) {
            self.counters.ids_in_use += 1;
            return None;
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.by_name.insert(content.id.clone(), id);
        new.id = id;
        let deadline = self.clock.instant(new.deadline);
        self.overdue.insert((deadline + OVERDUE, id));
        self.held_bytes += content.body.len();
        let content = Rc::new(content);
        let key = new.key;
        let open = Open {
            origin,
            content,
            key,
            deadline,
            repeats: self.classes.get(new.class).copied().unwrap_or(interface::Effect::Unsafe),
            attempts: Vec::new(),
            answered: false,
            ran: false,
            streams: None,
        };
        self.requests.insert(id, open);
        self.counters.taken += 1;
        tracing::trace!(id = id.0, ?new, "taken");
        self.events.push(Event::Request(new));
        Some(id)
    }

    /// Ends a request at once that nobody waits for in earnest: its connection is about to be closed.
    pub fn end(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| !open.answered) {
            self.end_without_planner(id);
            self.events.push(Event::ClientGone { id });
        }
    }

    /// A long answer begins: it is the client's from here on. Where it goes, unless nobody waits for it.
    pub fn stream_begins(&mut self, attempt: AttemptId) -> Option<Origin> {
        let open = self.requests.get_mut(&attempt.request).filter(|open| !open.answered)?;
        open.attempts.get(attempt.number as usize).filter(|it| it.running)?;
        (open.answered, open.streams) = (true, Some(attempt.number));
        self.counters.served += 1;
        self.counters.answers_long += 1;
        self.events.push(Event::StreamStarted { id: attempt.request });
        Some(open.origin)
    }

    /// What an attempt says, or is told, is on its way and takes its time: the node waits for it, or has done its work.
    /// Guards all others for the same node, which would wait behind it.
    pub fn takes_time(&mut self, attempt: AttemptId) {
        if self.is_running(attempt) {
            self.events.push(Event::StreamStarted { id: attempt.request });
        }
    }

    /// Where the answer of an attempt goes that has begun.
    pub fn stream(&self, attempt: AttemptId) -> Option<Origin> {
        let open = self.requests.get(&attempt.request)?;
        (open.streams == Some(attempt.number)).then_some(open.origin)
    }

    /// What an attempt asks for, and at which node.
    pub fn piece(&self, attempt: AttemptId) -> Option<(u64, NodeId)> {
        let open = self.requests.get(&attempt.request)?;
        open.attempts.get(attempt.number as usize).map(|it| (open.key, it.node))
    }

    /// Where a request came from.
    pub fn origin(&self, id: RequestId) -> Option<Origin> {
        self.requests.get(&id).map(|open| open.origin)
    }

    /// More of a long body has come.
    pub fn body_moved(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        for (number, _) in open.attempts.iter().enumerate().filter(|(_, it)| it.running) {
            self.effects.push(Effect::Moved { attempt: AttemptId { request: id, number: number as u32 } });
        }
    }

    /// The last byte of a long body has come: its client's time counts from now on, and ends then.
    pub fn body_came(&mut self, id: RequestId, deadline: Duration) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.answered) else { return };
        self.overdue.remove(&(open.deadline + OVERDUE, id));
        open.deadline = open.deadline.min(self.clock.instant(deadline));
        self.overdue.insert((open.deadline + OVERDUE, id));
        for (number, it) in open.attempts.iter_mut().enumerate().filter(|(_, it)| it.running) {
            let attempt = AttemptId { request: id, number: number as u32 };
            self.give_ups.remove(&(it.give_up_at, attempt));
            it.give_up_at = it.give_up_at.min(open.deadline);
            self.give_ups.insert((it.give_up_at, attempt));
        }
    }

    /// The client of a request no longer waits. Nothing is answered any more.
    pub fn client_gone(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        // The planner withdraws nothing that has begun: neither an answer that nobody reads any more, nor a command
        // whose rest will not come.
        let half = open.content.flow.as_ref().is_some_and(|flow| !flow.is_complete());
        let streams = open.streams.take();
        for number in 0..open.attempts.len() as u32 {
            let attempt = AttemptId { request: id, number };
            if half || streams == Some(number) {
                self.effects.push(Effect::Stop { attempt, outcome: Outcome::Cancelled });
            } else if open.attempts[number as usize].running {
                // The planner may withdraw nothing, or not what it takes to be under way already.
                self.effects.push(Effect::Withdraw { attempt });
            }
        }
        if open.answered {
            return;
        }
        open.answered = true;
        self.counters.clients_gone += 1;
        self.events.push(Event::ClientGone { id });
        self.close_if_over(id);
    }

    /// How late this process is now.
    pub fn is_late_by(&mut self, late: Duration) {
        if !(late.is_zero() && self.late.is_zero()) {
            self.events.push(Event::LoopDelayed { by: late });
        }
        self.late = late;
    }

    /// News of another kind for the planner.
    pub fn tell(&mut self, event: Event) {
        self.events.push(event);
    }

    /// An attempt ended. The first value served is the final answer of its request.
    pub fn attempt_ended(&mut self, now: Instant, attempt: AttemptId, ended: Ended) {
        let id = attempt.request;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(it) = open.attempts.get_mut(attempt.number as usize).filter(|it| it.running) else { return };
        it.running = false;
        self.give_ups.remove(&(it.give_up_at, attempt));
        // A process that was kept from its work doubts itself first: what waited here says nothing of the node.
        let took = now - it.sent;
        let (node, latency) =
            (it.node, took.saturating_sub(ended.transfer + self.late).max(took.min(QUICKEST)));
        let streams = open.streams.take_if(|number| *number == attempt.number).is_some();
        let gone = open.content.flow.as_ref().is_some_and(|flow| !flow.is_repeatable());
        open.ran |= may_have_run(ended.outcome);
        tracing::trace!(id = id.0, node = node.0, outcome = ?ended.outcome, ?latency, "attempt ended");
        self.counters.attempt_ended(ended.outcome);
        if streams {
            let whole = ended.outcome == Outcome::Served;
            self.effects.push(Effect::Finish { origin: open.origin, whole });
        } else if ended.outcome == Outcome::Served {
            self.answer(id, Answer::Served(ended.value));
        } else if gone {
            // Guards against half a body: what was let go of cannot be sent again.
            self.end_without_planner(id);
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
        self.close_if_over(id);
    }

    /// Carries out what the planner decided.
    pub fn carry_out(&mut self, now: Instant, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, node, give_up_at, begin_by } => {
                    self.send(now, (id, node), give_up_at, begin_by);
                }
                Action::Refuse { id, retry_after } => {
                    self.answer(id, Answer::Refused { retry_after });
                    self.close_if_over(id);
                }
                Action::Fail { id } => {
                    self.answer(id, Answer::Failed);
                    self.close_if_over(id);
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
                // Discovery is watched all the time; no call has to be asked for.
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
            // The request was ended without the planner meanwhile, which is to count no attempt as out.
            let (outcome, finished) = (Outcome::NotSent, true);
            let (attempt, latency, volume_usage, served_elsewhere) = (0, Duration::ZERO, None, 0.0);
            let end =
                AttemptEnd { id, attempt, node, outcome, finished, latency, volume_usage, served_elsewhere };
            return self.events.push(Event::AttemptEnded(end));
        };
        let give_up_at = self.clock.instant(give_up_at).min(open.deadline);
        let begin_by = self.clock.instant(begin_by).min(give_up_at);
        let attempt = AttemptId { request: id, number: open.attempts.len() as u32 };
        open.attempts.push(Attempt { node, sent: now, give_up_at, running: true });
        self.counters.attempts += 1;
        tracing::trace!(id = id.0, node = node.0, number = attempt.number, "attempt begins");
        self.give_ups.insert((give_up_at, attempt));
        let content = open.content.clone();
        self.effects.push(Effect::Start { attempt, node, content, give_up_at, begin_by });
    }

    fn is_running(&self, attempt: AttemptId) -> bool {
        let open = self.requests.get(&attempt.request);
        open.and_then(|open| open.attempts.get(attempt.number as usize)).is_some_and(|it| it.running)
    }

    fn is_overdue(&self, id: RequestId, now: Instant) -> bool {
        self.requests.get(&id).is_some_and(|open| !open.answered && open.deadline + OVERDUE <= now)
    }

    /// Gives the final answer, unless there was one.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.answered) else { return };
        open.answered = true;
        self.overdue.remove(&(open.deadline + OVERDUE, id));
        let outcome = match answer {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        };
        tracing::trace!(id = id.0, outcome, attempts = open.attempts.len(), "answered");
        *match answer {
            Answer::Served(_) => &mut self.counters.served,
            Answer::Refused { .. } => &mut self.counters.refused,
            Answer::Failed => &mut self.counters.failed,
        } += 1;
        self.effects.push(Effect::Answer { origin: open.origin, answer });
    }

    fn close_if_over(&mut self, id: RequestId) {
        let over = |open: &Open| open.answered && open.attempts.iter().all(|attempt| !attempt.running);
        if self.requests.get(&id).is_some_and(over) {
            if let Some(open) = self.requests.remove(&id) {
                // One that ends without an answer still has it.
                self.overdue.remove(&(open.deadline + OVERDUE, id));
                self.held_bytes -= open.content.body.len();
                self.by_name.remove(&open.content.id);
            }
        }
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Instant> {
        let give_up = self.give_ups.first().map(|(at, _)| *at);
        let overdue = self.overdue.first().map(|(at, _)| *at);
        [give_up, overdue, self.wake_at].into_iter().flatten().min()
    }

    /// Whether there is something for fronts and targets to do.
    pub fn has_effects(&self) -> bool {
        !self.effects.is_empty()
    }

    /// Whether there is news that the planner was not told yet, or something for fronts and targets to do.
    pub fn has_news(&self) -> bool {
        !self.events.is_empty() || !self.effects.is_empty()
    }

    /// Fires the timers that are due.
    pub fn fire(&mut self, now: Instant) {
        let woken = self.wake_at.take_if(|at| *at <= now).is_some();
        while let Some((at, attempt)) = self.give_ups.pop_first() {
            if at > now {
                self.give_ups.insert((at, attempt));
                break;
            }
            // What a node still sends of a long answer is not cut off.
            if self.is_running(attempt) && self.stream(attempt).is_none() {
                self.effects.push(Effect::Stop { attempt, outcome: Outcome::TimedOut });
            }
        }
        self.answer_overdue(now);
        if woken {
            self.events.push(Event::Wake);
        }
    }

    /// Answers the requests whose time was over some milliseconds before `now`, whatever else is to be done.
    pub fn answer_overdue(&mut self, now: Instant) {
        while let Some((at, id)) = self.overdue.pop_first() {
            if at > now {
                self.overdue.insert((at, id));
                break;
            }
            if self.is_overdue(id, now) {
                tracing::warn!(request = id.0, late = ?(now - at), "no decision by the deadline");
                self.counters.answered_overdue += 1;
                self.end_overdue(id);
            }
        }
    }

    /// Ends a request whose time is over as the planner would: refused where that is true to its effect, else failed.
    fn end_overdue(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(&id) else { return };
        let repeats = open.repeats;
        let ran = self.stop_attempts(id);
        self.answer_without_planner(id, repeats.allows_refusal(ran));
        self.events.push(Event::ClientGone { id });
    }

    /// Ends a request that the planner does not decide: failed where it may have run, else refused.
    fn end_without_planner(&mut self, id: RequestId) {
        let ran = self.stop_attempts(id);
        self.answer_without_planner(id, !ran);
    }

    fn answer_without_planner(&mut self, id: RequestId, refuses: bool) {
        let refused = Answer::Refused { retry_after: self.retry_after };
        self.answer(id, if refuses { refused } else { Answer::Failed });
        self.close_if_over(id);
    }

    /// Stops all attempts of a request that are out; whether it may have run.
    fn stop_attempts(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.get(&id) else { return false };
        let mut ran = open.ran;
        for (number, _) in open.attempts.iter().enumerate().filter(|(_, it)| it.running) {
            // An attempt that is out is taken to have run.
            ran = true;
            let attempt = AttemptId { request: id, number: number as u32 };
            self.effects.push(Effect::Stop { attempt, outcome: Outcome::Cancelled });
        }
        ran
    }

    /// At the end of the process: ends every open request once and replays nothing.
    pub fn end_all(&mut self) {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort();
        ids.into_iter().for_each(|id| self.end_without_planner(id));
        self.events.clear();
    }

    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    pub fn held_bytes(&self) -> usize {
        self.held_bytes
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

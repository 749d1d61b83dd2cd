//! The externally visible history of a simulation, and the checks of every rule on it: accepted requests, attempts and
//! their ends, answers, and the node list updates that each initiator received. It uses none of the program's own
//! state.

use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use topazpath::core::Origin;
use topazpath::interface::*;

/// A request that an initiator accepted. A `generation` is one start of one initiator, numbered over all initiators.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The generation that accepted it.
    pub generation: usize,
    /// When it arrived.
    pub at: Duration,
    /// The request.
    pub new: NewRequest,
    /// The client connection that receives the answer.
    pub origin: Origin,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The value.
    Served,
    /// An error that promises that a repetition is harmless.
    Refused,
    /// An error without a promise.
    Failed,
}

/// An attempt, with the end that was reported to the initiator.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    /// The generation that made it.
    pub generation: usize,
    /// The request.
    pub request: RequestId,
    /// Its number within the request, from 0.
    pub number: u32,
    /// The node that it was sent to.
    pub node: NodeId,
    /// When it was sent.
    pub at: Duration,
    /// When and how it ended.
    pub end: Option<(Duration, Outcome)>,
}

/// The state of one node in a list that an initiator received.
#[derive(Clone, Debug)]
pub struct ListUpdate {
    /// The generation that received it.
    pub generation: usize,
    /// When it was received.
    pub at: Duration,
    /// The node.
    pub node: NodeId,
    /// Its state.
    pub state: NodeState,
}

/// A node that joined during the simulation, in slow start.
#[derive(Clone, Debug)]
pub struct JoinedNode {
    /// The node.
    pub node: NodeId,
    /// When it started.
    pub at: Duration,
    /// Service rate once warmed up, in units a second.
    pub service_rate: f64,
}

/// Everything that was recorded.
pub struct History {
    /// The settings of all initiators.
    pub settings: Settings,
    /// When each generation started.
    pub generation_starts: Vec<Duration>,
    /// Generations ended by a crash, and when.
    pub crashed: HashMap<usize, Duration>,
    /// Requests in the order of their arrival.
    pub requests: Vec<AcceptedRequest>,
    /// Attempts in the order they were sent.
    pub attempts: Vec<SentAttempt>,
    /// Final answers, with generation and time.
    pub answers: Vec<(usize, Origin, Duration, FinalAnswer)>,
    /// Updates of the node list in the order they were received.
    pub list_updates: Vec<ListUpdate>,
    /// Nodes that joined in slow start.
    pub started: Vec<JoinedNode>,
    /// Shard and zone of each node.
    node_places: HashMap<NodeId, (u32, u32)>,
    by_id: HashMap<(usize, RequestId), usize>,
}

/// Number of violations by rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Breaches {
    /// Requests without an answer or with a late one.
    pub unanswered: u64,
    /// Requests with two answers.
    pub answered_twice: u64,
    /// Attempts that the class does not allow, as an earlier one may have run.
    pub repeated: u64,
    /// Requests answered as harmless to repeat that may have run.
    pub refused_wrongly: u64,
    /// Attempts beyond the maximum number, or sent while another was in flight.
    pub attempts: u64,
    /// Attempts at nodes whose drain was received longer ago than the drain grace.
    pub drains: u64,
    /// Overloads of nodes in slow start.
    pub cold: u64,
    /// Attempts beyond the limit of their volume.
    pub limits: u64,
    /// Requests of an ordered key sent before an earlier one had ended.
    pub order: u64,
    /// Attempts beyond the retry budget.
    pub budget: u64,
}

impl Breaches {
    /// Returns the number of all violations.
    pub fn sum(&self) -> u64 {
        let answers = self.unanswered + self.answered_twice + self.refused_wrongly;
        answers
            + self.repeated
            + self.attempts
            + self.drains
            + self.cold
            + self.limits
            + self.order
            + self.budget
    }

    /// Adds the violations of another simulation.
    pub fn add(&mut self, other: &Breaches) {
        let pairs = [
            (&mut self.unanswered, other.unanswered),
            (&mut self.answered_twice, other.answered_twice),
            (&mut self.repeated, other.repeated),
            (&mut self.refused_wrongly, other.refused_wrongly),
            (&mut self.attempts, other.attempts),
            (&mut self.drains, other.drains),
            (&mut self.cold, other.cold),
            (&mut self.limits, other.limits),
            (&mut self.order, other.order),
            (&mut self.budget, other.budget),
        ];
        pairs.into_iter().for_each(|(sum, more)| *sum += more);
    }
}

/// Whether an attempt with this outcome certainly did not run.
fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::NotConnected | Outcome::NotSent)
}

impl History {
    /// Returns an empty history.
    pub fn new(settings: Settings) -> Self {
        History {
            settings,
            generation_starts: Vec::new(),
            crashed: HashMap::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            answers: Vec::new(),
            list_updates: Vec::new(),
            started: Vec::new(),
            node_places: HashMap::new(),
            by_id: HashMap::new(),
        }
    }

    /// Records shard and zone of a node.
    pub fn node_added(&mut self, node: NodeId, shard: u32, zone: u32) {
        self.node_places.insert(node, (shard, zone));
    }

    /// Records an accepted request.
    pub fn accepted(&mut self, accepted_request: AcceptedRequest) {
        self.by_id.insert((accepted_request.generation, accepted_request.new.id), self.requests.len());
        self.requests.push(accepted_request);
    }

    /// Records a sent attempt.
    pub fn sent(&mut self, sent: SentAttempt) {
        self.attempts.push(sent);
    }

    /// Records the end of an attempt, unless it has ended before.
    pub fn attempt_ended(
        &mut self,
        generation: usize,
        request: RequestId,
        number: u32,
        at: Duration,
        outcome: Outcome,
    ) {
        let mut latest_first = self.attempts.iter_mut().rev();
        let attempt =
            latest_first.find(|it| (it.generation, it.request, it.number) == (generation, request, number));
        if let Some(sent) = attempt.filter(|sent| sent.end.is_none()) {
            sent.end = Some((at, outcome));
        }
    }

    /// Records a final answer.
    pub fn answered(&mut self, generation: usize, origin: Origin, at: Duration, answer: FinalAnswer) {
        self.answers.push((generation, origin, at, answer));
    }

    /// Records a received update of the node list.
    pub fn list_received(&mut self, update: ListUpdate) {
        self.list_updates.push(update);
    }

    /// Returns the size of a request in units, 0 if it is not known.
    pub fn units(&self, generation: usize, request: RequestId) -> f64 {
        self.by_id.get(&(generation, request)).map_or(0.0, |at| self.requests[*at].new.units)
    }

    /// Checks all rules and counts the violations.
    pub fn check(&self) -> Breaches {
        let mut breaches = Breaches::default();
        let mut attempts: HashMap<(usize, RequestId), Vec<&SentAttempt>> = HashMap::new();
        self.attempts
            .iter()
            .for_each(|sent| attempts.entry((sent.generation, sent.request)).or_default().push(sent));
        let mut answers: HashMap<(usize, Origin), Vec<(Duration, FinalAnswer)>> = HashMap::new();
        for (generation, origin, at, answer) in &self.answers {
            answers.entry((*generation, *origin)).or_default().push((*at, *answer));
        }
        for accepted_request in &self.requests {
            let own = attempts
                .get(&(accepted_request.generation, accepted_request.new.id))
                .map_or(&[][..], Vec::as_slice);
            let own_answers = answers
                .get(&(accepted_request.generation, accepted_request.origin))
                .map_or(&[][..], Vec::as_slice);
            self.check_answers(accepted_request, own, own_answers, &mut breaches);
            self.check_attempts(accepted_request, own, &mut breaches);
        }
        self.check_drains(&mut breaches);
        self.check_cold(&mut breaches);
        self.check_limits(&mut breaches);
        self.check_order(&attempts, &answers, &mut breaches);
        self.check_budget(&mut breaches);
        breaches
    }

    fn check_answers(
        &self,
        accepted_request: &AcceptedRequest,
        own: &[&SentAttempt],
        answers: &[(Duration, FinalAnswer)],
        breaches: &mut Breaches,
    ) {
        let rules = &self.settings.rules;
        let due =
            accepted_request.new.deadline.saturating_sub(EPOCH) + rules.answer_grace + self.settings.tick;
        let crashed_at = self.crashed.get(&accepted_request.generation);
        match answers.first() {
            // The requests of a crashed initiator are lost with it.
            None => breaches.unanswered += u64::from(crashed_at.is_none_or(|at| *at > due)),
            Some((at, _)) => breaches.unanswered += u64::from(*at > due),
        }
        breaches.answered_twice += u64::from(answers.len() > 1);
        if let Some((at, FinalAnswer::Refused)) = answers.first() {
            let harmless = match self.settings.classes[accepted_request.new.class].effect {
                Effect::Safe | Effect::Keyed(DedupScope::All) => true,
                Effect::Keyed(_) | Effect::Unsafe => {
                    own.iter().all(|it| it.end.is_some_and(|(end, how)| end <= *at && never_ran(how)))
                }
            };
            breaches.refused_wrongly += u64::from(!harmless);
        }
    }

    fn check_attempts(
        &self,
        accepted_request: &AcceptedRequest,
        own: &[&SentAttempt],
        breaches: &mut Breaches,
    ) {
        let class = &self.settings.classes[accepted_request.new.class];
        breaches.attempts += u64::from(own.len() > self.settings.limits.max_attempts as usize);
        for (number, sent) in own.iter().enumerate() {
            let before = &own[..number];
            // The scheduler sends no hedged attempts: each has to wait for the end of the one before.
            breaches.attempts +=
                u64::from(before.iter().any(|it| it.end.is_none_or(|(end, _)| end > sent.at)));
            let ran = before.iter().find(|it| it.end.is_none_or(|(_, how)| !never_ran(how)));
            let Some(first) = ran else { continue };
            let place = |node| self.node_places.get(&node).copied().unwrap_or_default();
            let ((shard, zone), (first_shard, first_zone)) = (place(sent.node), place(first.node));
            let allowed = match class.effect {
                Effect::Safe => true,
                Effect::Unsafe => false,
                Effect::Keyed(group) => {
                    let in_window = match group {
                        DedupScope::All => true,
                        DedupScope::Zone => zone == first_zone,
                        DedupScope::Shard => shard == first_shard,
                    };
                    in_window && sent.at < first.at + class.dedup_window
                }
            };
            breaches.repeated += u64::from(!allowed);
        }
    }

    fn check_drains(&self, breaches: &mut Breaches) {
        for sent in &self.attempts {
            let updates = self
                .list_updates
                .iter()
                .filter(|it| it.generation == sent.generation && it.node == sent.node && it.at <= sent.at);
            // When this generation first received that the node is not ready any more.
            let since = updates.fold(None, |since: Option<Duration>, it| match it.state {
                NodeState::Ready => None,
                NodeState::Draining | NodeState::Gone => since.or(Some(it.at)),
            });
            breaches.drains +=
                u64::from(since.is_some_and(|at| sent.at > at + self.settings.rules.drain_grace));
        }
    }

    /// Checks the work that all initiators send to a node in slow start, in each window of the rule. Each initiator
    /// may exceed its share by one request.
    fn check_cold(&self, breaches: &mut Breaches) {
        let (rules, units) = (&self.settings.rules, &self.settings.units);
        let slack = units.largest * f64::from(self.settings.initiators);
        for cold in &self.started {
            let arrivals = self
                .attempts
                .iter()
                .filter(|it| it.node == cold.node && it.at < cold.at + rules.slow_start_time);
            let arrivals: Vec<(Duration, f64)> =
                arrivals.map(|it| (it.at, self.units(it.generation, it.request))).collect();
            for (number, (end, _)) in arrivals.iter().enumerate() {
                let in_window =
                    arrivals[..=number].iter().filter(|(at, _)| *at + rules.overload_window > *end);
                let sum: f64 = in_window.map(|(_, units)| units).sum();
                let age = end.saturating_sub(cold.at).div_duration_f64(rules.slow_start_time);
                let capacity = cold.service_rate
                    * (rules.slow_start_min_share + (1.0 - rules.slow_start_min_share) * age).min(1.0);
                let max_units = (rules.overload_factor * capacity * rules.overload_window.as_secs_f64())
                    .max(units.slow_start_units);
                breaches.cold += u64::from(sum > max_units + slack);
            }
        }
    }

    fn check_limits(&self, breaches: &mut Breaches) {
        let mut balances: BTreeMap<VolumeId, (Duration, f64)> = BTreeMap::new();
        for sent in self.attempts.iter().filter(|sent| sent.number == 0) {
            let Some(accepted_request) =
                self.by_id.get(&(sent.generation, sent.request)).map(|at| &self.requests[*at])
            else {
                continue;
            };
            let Some(limit) = self.settings.plans[accepted_request.new.plan].limit else { continue };
            let (at, level) =
                balances.get(&accepted_request.new.volume).copied().unwrap_or((Duration::ZERO, limit.burst));
            let remaining = (level + limit.rate * (sent.at - at).as_secs_f64()).min(limit.burst)
                - accepted_request.new.units;
            balances.insert(accepted_request.new.volume, (sent.at, remaining));
            breaches.limits += u64::from(remaining < -limit.overdraft - 1e-6);
        }
    }

    fn check_order(
        &self,
        attempts: &HashMap<(usize, RequestId), Vec<&SentAttempt>>,
        answers: &HashMap<(usize, Origin), Vec<(Duration, FinalAnswer)>>,
        breaches: &mut Breaches,
    ) {
        let mut lines: HashMap<(usize, u64), Vec<&AcceptedRequest>> = HashMap::new();
        let ordered = |it: &&AcceptedRequest| self.settings.classes[it.new.class].in_order && it.new.key != 0;
        for accepted_request in self.requests.iter().filter(ordered) {
            lines
                .entry((accepted_request.generation, accepted_request.new.key))
                .or_default()
                .push(accepted_request);
        }
        let settle = self.settings.rules.key_settle_time;
        for line in lines.values() {
            for (place, accepted_request) in line.iter().enumerate() {
                let own = attempts
                    .get(&(accepted_request.generation, accepted_request.new.id))
                    .map_or(&[][..], Vec::as_slice);
                let Some(first) = own.first() else { continue };
                let out_of_order = line[..place].iter().any(|before| {
                    let answer =
                        answers.get(&(before.generation, before.origin)).and_then(|answers| answers.first());
                    let is_answered = answer.is_some_and(|(at, _)| *at <= first.at);
                    let earlier =
                        attempts.get(&(before.generation, before.new.id)).map_or(&[][..], Vec::as_slice);
                    let is_unsettled = earlier.iter().any(|it| match it.end {
                        None => true,
                        Some((end, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)) => {
                            end + settle > first.at
                        }
                        Some((end, _)) => end > first.at,
                    });
                    !is_answered || is_unsettled
                });
                breaches.order += u64::from(out_of_order);
            }
        }
    }

    fn check_budget(&self, breaches: &mut Breaches) {
        let Some(budget) = self.settings.rules.retry_budget else { return };
        for (at, sent) in self.attempts.iter().enumerate().filter(|(_, sent)| sent.number > 0) {
            let in_window = |when: Duration| when <= sent.at && when + budget.window > sent.at;
            let further = self.attempts[..=at].iter();
            let further = further
                .filter(|it| it.generation == sent.generation && it.number > 0 && in_window(it.at))
                .count() as f64;
            let taken = self
                .requests
                .iter()
                .filter(|it| it.generation == sent.generation && in_window(it.at))
                .count() as f64;
            breaches.budget += u64::from(further > budget.min_retries + budget.retry_ratio * taken + 1e-9);
        }
    }
}

/// Unix time of the simulation's start; deadlines of requests count from the Unix epoch.
pub const EPOCH: Duration = Duration::from_secs(1_000_000);

#[cfg(test)]
mod tests;

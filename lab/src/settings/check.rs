//! What was seen from outside in a play, and every rule checked on it alone: who asked what, what was sent where and how
//! it ended, what was answered, what each host was told. Nothing here knows the program.

use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use topazpath::core::Origin;
use topazpath::interface::*;

/// A request as a host took it. `life` counts the starts of all hosts.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The start of a host that it came to.
    pub life: usize,
    /// When.
    pub at: Duration,
    /// What for.
    pub new: NewRequest,
    /// Where its answer goes.
    pub origin: Origin,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// With the value.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Nothing is promised.
    Failed,
}

/// An attempt, and when and how it was told to have ended.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The start of the host that made it.
    pub life: usize,
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub number: u32,
    /// Where to.
    pub node: NodeId,
    /// When.
    pub at: Duration,
    /// Its end.
    pub over: Option<(Duration, Outcome)>,
}

/// A line of a list that reached a host.
#[derive(Clone, Debug)]
pub struct Told {
    /// The start of that host.
    pub life: usize,
    /// When.
    pub at: Duration,
    /// The node.
    pub node: NodeId,
    /// Its state.
    pub state: NodeState,
}

/// A node that came up cold.
#[derive(Clone, Debug)]
pub struct Started {
    /// The node.
    pub node: NodeId,
    /// When.
    pub at: Duration,
    /// Units a second once warm.
    pub power: f64,
}

/// Everything that was seen.
pub struct History {
    /// What the hosts were told at their start.
    pub settings: Settings,
    /// When each life began, and ended where it did.
    pub lives: Vec<Duration>,
    /// Lives that a crash ended.
    pub ended: HashMap<usize, Duration>,
    /// Requests in the order they were taken.
    pub requests: Vec<Asked>,
    /// Attempts in the order they were made.
    pub attempts: Vec<Sent>,
    /// Final answers.
    pub answers: Vec<(usize, Origin, Duration, Ending)>,
    /// News of nodes in the order they came.
    pub news: Vec<Told>,
    /// Nodes that came up cold.
    pub started: Vec<Started>,
    places: HashMap<NodeId, (u32, u32)>,
    by_id: HashMap<(usize, RequestId), usize>,
}

/// Broken rules, by rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Breaches {
    /// Requests without an answer, or with a late one.
    pub unanswered: u64,
    /// Requests with two answers.
    pub answered_twice: u64,
    /// Attempts where an earlier one may have run, beyond what the class allows.
    pub repeated: u64,
    /// Requests told to be harmless to repeat that are not.
    pub refused_wrongly: u64,
    /// Attempts beyond the number allowed, or beside one that is out.
    pub attempts: u64,
    /// Attempts at nodes told to drain longer ago than the grace.
    pub drains: u64,
    /// Cold nodes sent more than they bear.
    pub cold: u64,
    /// Limits of volumes passed.
    pub limits: u64,
    /// Requests of a key out of turn.
    pub order: u64,
    /// Attempts beyond the budget.
    pub budget: u64,
}

impl Breaches {
    /// All of them.
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

    /// Adds those of another play.
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

/// Whether an attempt that ended like this has run for certain not.
fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::NotConnected | Outcome::NotSent)
}

impl History {
    /// Nothing seen yet.
    pub fn new(settings: Settings) -> Self {
        History {
            settings,
            lives: Vec::new(),
            ended: HashMap::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            answers: Vec::new(),
            news: Vec::new(),
            started: Vec::new(),
            places: HashMap::new(),
            by_id: HashMap::new(),
        }
    }

    /// Where a node is.
    pub fn placed(&mut self, node: NodeId, shard: u32, zone: u32) {
        self.places.insert(node, (shard, zone));
    }

    /// A request was taken.
    pub fn asked(&mut self, asked: Asked) {
        self.by_id.insert((asked.life, asked.new.id), self.requests.len());
        self.requests.push(asked);
    }

    /// An attempt was made.
    pub fn sent(&mut self, sent: Sent) {
        self.attempts.push(sent);
    }

    /// An attempt ended, unless it had.
    pub fn over(&mut self, life: usize, request: RequestId, number: u32, at: Duration, outcome: Outcome) {
        let mut of = self.attempts.iter_mut().rev();
        let of = of.find(|it| (it.life, it.request, it.number) == (life, request, number));
        if let Some(sent) = of.filter(|sent| sent.over.is_none()) {
            sent.over = Some((at, outcome));
        }
    }

    /// A final answer was given.
    pub fn answered(&mut self, life: usize, origin: Origin, at: Duration, ending: Ending) {
        self.answers.push((life, origin, at, ending));
    }

    /// A host was told.
    pub fn told(&mut self, told: Told) {
        self.news.push(told);
    }

    /// Size of a request.
    pub fn units(&self, life: usize, request: RequestId) -> f64 {
        self.by_id.get(&(life, request)).map_or(0.0, |at| self.requests[*at].new.units)
    }

    /// Everything that breaks a rule.
    pub fn check(&self) -> Breaches {
        let mut breaches = Breaches::default();
        let mut attempts: HashMap<(usize, RequestId), Vec<&Sent>> = HashMap::new();
        self.attempts
            .iter()
            .for_each(|sent| attempts.entry((sent.life, sent.request)).or_default().push(sent));
        let mut answers: HashMap<(usize, Origin), Vec<(Duration, Ending)>> = HashMap::new();
        for (life, origin, at, ending) in &self.answers {
            answers.entry((*life, *origin)).or_default().push((*at, *ending));
        }
        for asked in &self.requests {
            let own = attempts.get(&(asked.life, asked.new.id)).map_or(&[][..], Vec::as_slice);
            let told = answers.get(&(asked.life, asked.origin)).map_or(&[][..], Vec::as_slice);
            self.check_answers(asked, own, told, &mut breaches);
            self.check_attempts(asked, own, &mut breaches);
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
        asked: &Asked,
        own: &[&Sent],
        told: &[(Duration, Ending)],
        breaches: &mut Breaches,
    ) {
        let rules = &self.settings.rules;
        let due = asked.new.deadline.saturating_sub(EPOCH) + rules.answer_grace + self.settings.tick;
        let died = self.ended.get(&asked.life);
        match told.first() {
            // What a host held that died is lost with it.
            None => breaches.unanswered += u64::from(died.is_none_or(|at| *at > due)),
            Some((at, _)) => breaches.unanswered += u64::from(*at > due),
        }
        breaches.answered_twice += u64::from(told.len() > 1);
        if let Some((at, Ending::Refused)) = told.first() {
            let harmless = match self.settings.classes[asked.new.class].effect {
                Effect::Safe | Effect::Keyed(DedupScope::All) => true,
                Effect::Keyed(_) | Effect::Unsafe => {
                    own.iter().all(|it| it.over.is_some_and(|(end, how)| end <= *at && never_ran(how)))
                }
            };
            breaches.refused_wrongly += u64::from(!harmless);
        }
    }

    fn check_attempts(&self, asked: &Asked, own: &[&Sent], breaches: &mut Breaches) {
        let class = &self.settings.classes[asked.new.class];
        breaches.attempts += u64::from(own.len() > self.settings.limits.max_attempts as usize);
        for (number, sent) in own.iter().enumerate() {
            let before = &own[..number];
            // Nothing here sends a second copy: each waits for the end of the one before.
            breaches.attempts +=
                u64::from(before.iter().any(|it| it.over.is_none_or(|(end, _)| end > sent.at)));
            let ran = before.iter().find(|it| it.over.is_none_or(|(_, how)| !never_ran(how)));
            let Some(first) = ran else { continue };
            let place = |node| self.places.get(&node).copied().unwrap_or_default();
            let ((shard, zone), (first_shard, first_zone)) = (place(sent.node), place(first.node));
            let allowed = match class.effect {
                Effect::Safe => true,
                Effect::Unsafe => false,
                Effect::Keyed(group) => {
                    let inside = match group {
                        DedupScope::All => true,
                        DedupScope::Zone => zone == first_zone,
                        DedupScope::Shard => shard == first_shard,
                    };
                    inside && sent.at < first.at + class.dedup_window
                }
            };
            breaches.repeated += u64::from(!allowed);
        }
    }

    fn check_drains(&self, breaches: &mut Breaches) {
        for sent in &self.attempts {
            let news = self
                .news
                .iter()
                .filter(|it| it.life == sent.life && it.node == sent.node && it.at <= sent.at);
            // Since when it has not been ready any more, as this host was told.
            let since = news.fold(None, |since: Option<Duration>, it| match it.state {
                NodeState::Ready => None,
                NodeState::Draining | NodeState::Gone => since.or(Some(it.at)),
            });
            breaches.drains +=
                u64::from(since.is_some_and(|at| sent.at > at + self.settings.rules.drain_grace));
        }
    }

    /// Work that reaches a cold node in any window of the rule, from all hosts. Each host may overdraw by a request.
    fn check_cold(&self, breaches: &mut Breaches) {
        let (rules, units) = (&self.settings.rules, &self.settings.units);
        let slack = units.largest * f64::from(self.settings.initiators);
        for cold in &self.started {
            let arrivals = self
                .attempts
                .iter()
                .filter(|it| it.node == cold.node && it.at < cold.at + rules.slow_start_time);
            let arrivals: Vec<(Duration, f64)> =
                arrivals.map(|it| (it.at, self.units(it.life, it.request))).collect();
            for (number, (end, _)) in arrivals.iter().enumerate() {
                let inside = arrivals[..=number].iter().filter(|(at, _)| *at + rules.overload_window > *end);
                let sum: f64 = inside.map(|(_, units)| units).sum();
                let age = end.saturating_sub(cold.at).div_duration_f64(rules.slow_start_time);
                let capacity = cold.power
                    * (rules.slow_start_min_share + (1.0 - rules.slow_start_min_share) * age).min(1.0);
                let borne = (rules.overload_factor * capacity * rules.overload_window.as_secs_f64())
                    .max(units.slow_start_units);
                breaches.cold += u64::from(sum > borne + slack);
            }
        }
    }

    fn check_limits(&self, breaches: &mut Breaches) {
        let mut stores: BTreeMap<VolumeId, (Duration, f64)> = BTreeMap::new();
        for sent in self.attempts.iter().filter(|sent| sent.number == 0) {
            let Some(asked) = self.by_id.get(&(sent.life, sent.request)).map(|at| &self.requests[*at]) else {
                continue;
            };
            let Some(limit) = self.settings.plans[asked.new.plan].limit else { continue };
            let (at, level) = stores.get(&asked.new.volume).copied().unwrap_or((Duration::ZERO, limit.burst));
            let filled =
                (level + limit.rate * (sent.at - at).as_secs_f64()).min(limit.burst) - asked.new.units;
            stores.insert(asked.new.volume, (sent.at, filled));
            breaches.limits += u64::from(filled < -limit.overdraft - 1e-6);
        }
    }

    fn check_order(
        &self,
        attempts: &HashMap<(usize, RequestId), Vec<&Sent>>,
        answers: &HashMap<(usize, Origin), Vec<(Duration, Ending)>>,
        breaches: &mut Breaches,
    ) {
        let mut lines: HashMap<(usize, u64), Vec<&Asked>> = HashMap::new();
        let ordered = |it: &&Asked| self.settings.classes[it.new.class].in_order && it.new.key != 0;
        for asked in self.requests.iter().filter(ordered) {
            lines.entry((asked.life, asked.new.key)).or_default().push(asked);
        }
        let settle = self.settings.rules.key_settle_time;
        for line in lines.values() {
            for (place, asked) in line.iter().enumerate() {
                let own = attempts.get(&(asked.life, asked.new.id)).map_or(&[][..], Vec::as_slice);
                let Some(first) = own.first() else { continue };
                let early = line[..place].iter().any(|before| {
                    let told = answers.get(&(before.life, before.origin)).and_then(|told| told.first());
                    let over = told.is_some_and(|(at, _)| *at <= first.at);
                    let theirs = attempts.get(&(before.life, before.new.id)).map_or(&[][..], Vec::as_slice);
                    let rests = theirs.iter().any(|it| match it.over {
                        None => true,
                        Some((end, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)) => {
                            end + settle > first.at
                        }
                        Some((end, _)) => end > first.at,
                    });
                    !over || rests
                });
                breaches.order += u64::from(early);
            }
        }
    }

    fn check_budget(&self, breaches: &mut Breaches) {
        let Some(budget) = self.settings.rules.retry_budget else { return };
        for (at, sent) in self.attempts.iter().enumerate().filter(|(_, sent)| sent.number > 0) {
            let inside = |when: Duration| when <= sent.at && when + budget.window > sent.at;
            let further = self.attempts[..=at].iter();
            let further =
                further.filter(|it| it.life == sent.life && it.number > 0 && inside(it.at)).count() as f64;
            let taken =
                self.requests.iter().filter(|it| it.life == sent.life && inside(it.at)).count() as f64;
            breaches.budget += u64::from(further > budget.min_retries + budget.retry_ratio * taken + 1e-9);
        }
    }
}

/// Unix time of a play's start, as requests' deadlines count it.
pub const EPOCH: Duration = Duration::from_secs(1_000_000);

#[cfg(test)]
mod tests;

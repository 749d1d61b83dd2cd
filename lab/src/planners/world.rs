//! Forwarders and planners in virtual time: the program's own `shares` under seeded faults, with checkers of what is in
//! force and of every window of every limit.
//!
//! Each machine has a clock of its own that runs up to a hundredth off. Messages are lost, doubled, late and out of
//! order; machines crash, come back, stop and go on; links between forwarders and planners are cut; planners believe
//! that they are in charge, none, one or two at a time.

use crate::worth::BASE;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use topazpath::shares::planner::{Planner, Settings};
use topazpath::shares::store::Store;
use topazpath::shares::{Demand, ForwarderId, Plan, PlannerId, Report, Resource, Share};

/// Step of the simulation in true time.
const STEP: Duration = Duration::from_millis(10);
/// Interval of a forwarder's reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// A forwarder that has received no plan for this long turns to the next planner.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(300);
/// Rate of a volume's limit in units a second.
pub const RATE: f64 = 19.0;
/// Burst of a volume's limit in units.
pub const BURST: f64 = 48.0;
/// The largest request in units.
const LARGEST: u32 = 8;
/// How long a request waits for its units before it is refused, in seconds.
const MAX_WAIT_S: f64 = 1.0;
/// Time constant of the smoothed demand in reports, in seconds.
const SMOOTHING_S: f64 = 0.5;

/// How a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// Fixed even shares.
    Even,
    /// Shares granted by planners.
    Planned,
    /// One token bucket for all forwarders, as the upper bound; real machines cannot have it.
    Oracle,
}

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// None.
    Nothing,
    /// A reclaim ends in half its time, as if it counted from the report like a grant, and so earlier than the planner
    /// assumes.
    ReclaimsEarly,
    /// A restarted forwarder uses its even share at once.
    NotYoung,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Number of forwarders.
    pub forwarders: usize,
    /// Number of planners.
    pub planners: usize,
    /// Number of volumes.
    pub volumes: usize,
    /// Virtual time.
    pub time: Duration,
    /// Whether faults are injected.
    pub faults: bool,
    /// Min and max time in seconds that one forwarder has most of a volume's load.
    pub lead_duration: (f64, f64),
    /// Demand of a volume, relative to its limit.
    pub load: f64,
    /// How the limit is divided.
    pub division: Division,
    /// A deliberate fault.
    pub planted: Planted,
    /// Seed of all random choices.
    pub seed: u64,
    /// Start and end of an outage of all planners.
    pub outage: Option<(Duration, Duration)>,
}

/// The result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Number of steps at which the shares in force summed to more than the whole.
    pub oversubscribed: u64,
    /// Greatest excess of a window over its limit, in units.
    pub excess: f64,
    /// Units demanded.
    pub demanded: f64,
    /// Units sent.
    pub sent: f64,
    /// Worth of the units sent; units within the reserve have the highest price.
    pub worth: f64,
    /// Worth of the units sent during the outage.
    pub outage_worth: f64,
    /// Number of crashes, stops, cuts and changes of the leading planner.
    pub faults: u64,
    /// Number of plans that forwarders took.
    pub plans: u64,
}

struct Clock {
    /// Rate error in parts per million.
    rate_error_ppm: f64,
    offset: Duration,
}

impl Clock {
    fn at(&self, now: Duration) -> Duration {
        self.offset + now.mul_f64(1.0 + self.rate_error_ppm / 1e6)
    }
}

struct Volume {
    level: f64,
    /// Waiting units, and the smoothed demand in units a second.
    waiting: f64,
    demanded: f64,
    share: f64,
}

struct Forwarder {
    clock: Clock,
    store: Store,
    incarnation: u64,
    /// Until when it does not run; the flag is true after a crash, false if it is stopped.
    downtime: Option<(Duration, bool)>,
    volumes: Vec<Volume>,
    next_report: Duration,
    /// The planner it reports to, and when it took the last plan.
    planner: usize,
    last_plan_at: Duration,
    inbox: Vec<Plan>,
}

struct PlannerProcess {
    clock: Clock,
    /// The planner's state while it leads.
    planner: Option<Planner>,
    downtime: Option<Duration>,
    started: u64,
}

enum Message {
    Report(usize, usize, Report),
    Plan(usize, Plan),
}

struct Fleet {
    scenario: Scenario,
    random: ChaCha8Rng,
    now: Duration,
    forwarders: Vec<Forwarder>,
    planner_processes: Vec<PlannerProcess>,
    /// Messages in transit by arrival time, then by order of sending.
    in_transit: BinaryHeap<Reverse<(Duration, u64)>>,
    messages: std::collections::HashMap<u64, Message>,
    number: u64,
    /// Until when each link is cut, by forwarder and planner.
    cut_until: Vec<Vec<Duration>>,
    /// The forwarder with most of the load of each volume, and until when.
    leaders: Vec<(usize, Duration)>,
    /// By volume: a bucket that overflows if a window exceeds the limit, the oracle's token bucket, and the units sent
    /// in this second.
    buckets: Vec<f64>,
    oracle: Vec<f64>,
    second: Vec<f64>,
    next_second: Duration,
    /// Size of the next request of each volume.
    sizes: Vec<f64>,
    outcome: Outcome,
}

/// Runs a simulation.
pub fn simulate(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    while fleet.now < scenario.time {
        fleet.step();
    }
    fleet.outcome
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut clock = |drifts: bool| Clock {
            rate_error_ppm: if drifts { random.random_range(-10_000.0..10_000.0) } else { 0.0 },
            offset: Duration::from_millis(random.random_range(0..100_000)),
        };
        let forwarders = (0..scenario.forwarders)
            .map(|at| {
                let clock = clock(scenario.faults);
                let start = clock.at(Duration::ZERO);
                // The first processes start with their full even share: the restriction after a start is for restarted
                // processes.
                let long_ago = start.saturating_sub(topazpath::shares::MAX_MOVE_DURATION);
                Forwarder {
                    store: Store::new(ForwarderId(at as u64 + 1), 1, 1, long_ago),
                    clock,
                    incarnation: 1,
                    downtime: None,
                    volumes: (0..scenario.volumes).map(|_| Volume::new(scenario.forwarders)).collect(),
                    next_report: Duration::from_millis(at as u64 * 7 % 100),
                    planner: 0,
                    last_plan_at: Duration::ZERO,
                    inbox: Vec::new(),
                }
            })
            .collect();
        let planner_processes = (0..scenario.planners)
            .map(|_| PlannerProcess {
                clock: clock(scenario.faults),
                planner: None,
                downtime: None,
                started: 0,
            })
            .collect();
        let mut fleet = Fleet {
            scenario,
            random,
            now: Duration::ZERO,
            forwarders,
            planner_processes,
            in_transit: BinaryHeap::new(),
            messages: Default::default(),
            number: 0,
            cut_until: vec![vec![Duration::ZERO; scenario.planners]; scenario.forwarders],
            leaders: vec![(0, Duration::ZERO); scenario.volumes],
            buckets: vec![0.0; scenario.volumes],
            oracle: vec![0.0; scenario.volumes],
            second: vec![0.0; scenario.volumes],
            next_second: Duration::from_secs(1),
            sizes: vec![1.0; scenario.volumes],
            outcome: Outcome::default(),
        };
        if !fleet.planner_processes.is_empty() {
            fleet.start_leading(0);
        }
        fleet
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.scenario.faults {
            self.inject_faults();
        }
        self.outage();
        self.restart();
        self.deliver();
        self.move_leaders();
        for at in 0..self.forwarders.len() {
            self.run(at);
        }
        self.check();
        self.send_units();
    }

    /// Whether an event with this mean rate happens in this step.
    fn chance(&mut self, per_minute: f64) -> bool {
        self.random.random::<f64>() < per_minute * STEP.as_secs_f64() / 60.0
    }

    fn random_duration(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.random.random_range(from..to))
    }

    fn inject_faults(&mut self) {
        for at in 0..self.forwarders.len() {
            if self.forwarders[at].downtime.is_none() {
                if self.chance(1.0) {
                    let until = self.now + self.random_duration(0.05, 8.0);
                    self.forwarders[at].downtime = Some((until, true));
                    self.outcome.faults += 1;
                } else if self.chance(1.5) {
                    let until = self.now + self.random_duration(0.05, 5.0);
                    self.forwarders[at].downtime = Some((until, false));
                    self.outcome.faults += 1;
                }
            }
            for planner in 0..self.planner_processes.len() {
                if self.chance(1.0) {
                    self.cut_until[at][planner] = self.now + self.random_duration(0.1, 4.0);
                    self.outcome.faults += 1;
                }
            }
        }
        for at in 0..self.planner_processes.len() {
            if self.chance(2.0) {
                self.planner_processes[at].planner = None;
                self.planner_processes[at].downtime = Some(self.now + self.random_duration(0.05, 4.0));
                self.outcome.faults += 1;
            } else if self.planner_processes[at].downtime.is_none() && self.chance(3.0) {
                // The previous leader may not learn of it, and continues.
                self.start_leading(at);
                self.outcome.faults += 1;
            } else if self.chance(2.0) {
                self.planner_processes[at].planner = None;
                self.outcome.faults += 1;
            }
        }
    }

    fn outage(&mut self) {
        let Some((from, to)) = self.scenario.outage else { return };
        if self.now >= from && self.now < to {
            for process in &mut self.planner_processes {
                (process.planner, process.downtime) = (None, Some(to));
            }
        }
    }

    fn restart(&mut self) {
        for at in 0..self.planner_processes.len() {
            if self.planner_processes[at].downtime.is_some_and(|until| until <= self.now) {
                self.planner_processes[at].downtime = None;
                if self.planner_processes.iter().all(|process| process.planner.is_none()) {
                    self.start_leading(at);
                }
            }
        }
        for at in 0..self.forwarders.len() {
            let forwarder = &mut self.forwarders[at];
            let Some((_, crashed)) = forwarder.downtime.filter(|(end, _)| *end <= self.now) else { continue };
            forwarder.downtime = None;
            if crashed {
                forwarder.incarnation += 1;
                let start = forwarder.clock.at(self.now);
                let start = match self.scenario.planted {
                    Planted::NotYoung => start.saturating_sub(topazpath::shares::MAX_MOVE_DURATION),
                    _ => start,
                };
                let id = ForwarderId(at as u64 + 1);
                forwarder.store = Store::new(id, forwarder.incarnation, 1, start);
                forwarder.volumes =
                    (0..self.scenario.volumes).map(|_| Volume::new(self.scenario.forwarders)).collect();
                forwarder.inbox.clear();
            }
        }
    }

    fn start_leading(&mut self, at: usize) {
        let process = &mut self.planner_processes[at];
        process.started += 1;
        let id = PlannerId(at as u64 + 1);
        // It may not know the terms of other planners.
        process.planner = Some(Planner::new(Settings::default(), id, process.started));
    }

    fn send(&mut self, forwarder: usize, planner: usize, message: Message) {
        if self.cut_until[forwarder][planner] > self.now {
            return;
        }
        let copies = match self.random.random::<f64>() {
            lost if self.scenario.faults && lost < 0.05 => 0,
            doubled if self.scenario.faults && doubled > 0.97 => 2,
            _ => 1,
        };
        let mut message = Some(message);
        for copy in 0..copies {
            let is_late = self.scenario.faults && self.random.random::<f64>() < 0.02;
            let wait =
                if is_late { self.random_duration(0.1, 2.0) } else { self.random_duration(0.0002, 0.015) };
            self.number += 1;
            let copied = match &message {
                Some(Message::Report(from, to, report)) if copy + 1 < copies => {
                    Some(Message::Report(*from, *to, report.clone()))
                }
                Some(Message::Plan(to, plan)) if copy + 1 < copies => Some(Message::Plan(*to, plan.clone())),
                _ => message.take(),
            };
            if let Some(copied) = copied {
                self.in_transit.push(Reverse((self.now + wait, self.number)));
                self.messages.insert(self.number, copied);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((_, number))) =
            self.in_transit.peek().filter(|Reverse((at, _))| *at <= self.now).copied()
        {
            self.in_transit.pop();
            match self.messages.remove(&number) {
                Some(Message::Report(from, to, report)) => {
                    let process = &mut self.planner_processes[to];
                    let at = process.clock.at(self.now);
                    let plan =
                        process.planner.as_mut().and_then(|planner| planner.handle_report(at, &report));
                    if let Some(plan) = plan {
                        self.send(from, to, Message::Plan(from, plan));
                    }
                }
                // A stopped forwarder reads it when it continues.
                Some(Message::Plan(to, plan)) => self.forwarders[to].inbox.push(plan),
                None => {}
            }
        }
    }

    fn move_leaders(&mut self) {
        for volume in 0..self.leaders.len() {
            if self.leaders[volume].1 <= self.now {
                let leader = self.random.random_range(0..self.forwarders.len());
                let (from, to) = self.scenario.lead_duration;
                self.leaders[volume] = (leader, self.now + self.random_duration(from, to));
            }
        }
    }

    /// Runs one step of a forwarder: new demand, received plans, report.
    fn run(&mut self, at: usize) {
        let (now, step, count) = (self.now, STEP.as_secs_f64(), self.forwarders.len());
        let even_share = Share::even(count as f64);
        let scenario = self.scenario;
        for (volume, (leader, _)) in self.leaders.iter().enumerate() {
            let part = if *leader == at { 0.85 } else { 0.15 / (count - 1).max(1) as f64 };
            let units = scenario.load * RATE * part * step;
            if self.forwarders[at].downtime.is_none() {
                self.outcome.demanded += units;
                let own = &mut self.forwarders[at].volumes[volume];
                own.waiting = (own.waiting + units).min(units / step * MAX_WAIT_S + f64::from(LARGEST));
                own.demanded += (units / step - own.demanded) * (step / SMOOTHING_S).min(1.0);
            }
        }
        let forwarder = &mut self.forwarders[at];
        if forwarder.downtime.is_some() {
            return;
        }
        let own = forwarder.clock.at(now);
        for mut plan in std::mem::take(&mut forwarder.inbox) {
            if scenario.planted == Planted::ReclaimsEarly {
                for (_, moved) in &mut plan.moves {
                    if let topazpath::shares::Move::Reclaim(_, lasts) = moved {
                        *lasts /= 2;
                    }
                }
            }
            if forwarder.store.apply_plan(own, 0, &plan, |_| Some(even_share)).is_ok() {
                forwarder.last_plan_at = now;
                self.outcome.plans += 1;
            }
        }
        forwarder.store.drop_expired(own);
        if forwarder.next_report > now || scenario.division != Division::Planned || scenario.planners == 0 {
            return;
        }
        forwarder.next_report = now + REPORT_INTERVAL;
        if now.saturating_sub(forwarder.last_plan_at) > PLANNER_TIMEOUT {
            // Tries the planners in turn, with jitter so that not all forwarders report at once.
            forwarder.planner = (forwarder.planner + 1) % scenario.planners;
            let pause = Duration::from_millis(self.random.random_range(0..100));
            (forwarder.last_plan_at, forwarder.next_report) = (now, now + pause);
        }
        let demand = |(volume, own): (usize, &Volume)| Demand {
            resource: Resource::Limit(volume as u64),
            even_share,
            wanted: ((own.demanded + own.waiting) / RATE) as f32,
        };
        let demands = forwarder.volumes.iter().enumerate().map(demand).collect();
        let report = forwarder.store.build_report(own, 0, demands, Vec::new());
        let planner = forwarder.planner;
        self.send(at, planner, Message::Report(at, planner, report));
    }

    /// Checks that the shares of all running forwarders sum to at most the whole at this time, and refills the token
    /// buckets.
    fn check(&mut self) {
        let even_share = Share::even(self.forwarders.len() as f64);
        for volume in 0..self.scenario.volumes {
            let mut sum = 0_u64;
            for forwarder in &mut self.forwarders {
                let at = forwarder.clock.at(self.now);
                let share = match self.scenario.division {
                    Division::Planned => {
                        forwarder.store.usable_share(at, Resource::Limit(volume as u64), even_share)
                    }
                    _ => even_share,
                };
                let own = &mut forwarder.volumes[volume];
                // The share may have grown within the step: the bucket is refilled by the smaller one.
                let (before, after) = (own.share, share.fraction());
                own.share = after;
                own.level = (own.level + RATE * before.min(after) * STEP.as_secs_f64()).min(BURST * after);
                // A machine that does not run uses nothing.
                if forwarder.downtime.is_none() {
                    sum += u64::from(share.0);
                }
            }
            self.outcome.oversubscribed += u64::from(sum > u64::from(Share::WHOLE.0));
            self.oracle[volume] = (self.oracle[volume] + RATE * STEP.as_secs_f64()).min(BURST);
            self.buckets[volume] = (self.buckets[volume] - RATE * STEP.as_secs_f64()).max(0.0);
        }
    }

    /// Sends the waiting requests for which there are units, and counts their worth each second.
    fn send_units(&mut self) {
        let count = self.forwarders.len();
        for volume in 0..self.scenario.volumes {
            let first = self.random.random_range(0..count);
            for offset in 0..count {
                let forwarder = &mut self.forwarders[(first + offset) % count];
                if forwarder.downtime.is_some() {
                    continue;
                }
                let own = &mut forwarder.volumes[volume];
                while own.waiting >= self.sizes[volume] {
                    let units = self.sizes[volume];
                    let level = match self.scenario.division {
                        Division::Oracle => &mut self.oracle[volume],
                        _ => &mut own.level,
                    };
                    if *level < units {
                        break;
                    }
                    *level -= units;
                    own.waiting -= units;
                    self.buckets[volume] += units;
                    self.outcome.excess = self.outcome.excess.max(self.buckets[volume] - BURST);
                    self.outcome.sent += units;
                    self.second[volume] += units;
                    self.sizes[volume] = f64::from(self.random.random_range(1..=LARGEST));
                }
            }
        }
        if self.now >= self.next_second {
            self.next_second += Duration::from_secs(1);
            for units in &mut self.second {
                let units = std::mem::take(units);
                let worth = BASE.worth(units);
                self.outcome.worth += worth;
                if self.scenario.outage.is_some_and(|(from, to)| self.now > from && self.now <= to) {
                    self.outcome.outage_worth += worth;
                }
            }
        }
    }
}

impl Volume {
    fn new(forwarders: usize) -> Volume {
        // The bucket starts empty, as all of it may have been used before a crash.
        Volume { level: 0.0, waiting: 0.0, demanded: 0.0, share: 1.0 / forwarders as f64 }
    }
}

#[cfg(test)]
mod tests;

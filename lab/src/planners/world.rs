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

/// Step of true time.
const STEP: Duration = Duration::from_millis(10);
/// How often a forwarder reports.
const REPORTS: Duration = Duration::from_millis(100);
/// A forwarder that hears nothing of a planner for so long asks the next.
const PATIENCE: Duration = Duration::from_millis(300);
/// A volume's limit: units a second, at once.
pub const RATE: f64 = 19.0;
/// Likewise.
pub const BURST: f64 = 48.0;
/// The largest request.
const LARGEST: u32 = 8;
/// How long a request is held for its units before it is refused.
const HELD: f64 = 1.0;
/// What a report forgets of demand in a second.
const MEMORY: f64 = 0.5;

/// How a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// Evenly, for good.
    Even,
    /// By planners.
    Planned,
    /// One store for all, which no real machines have.
    Oracle,
}

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Nothing.
    Nothing,
    /// A reclaim counts from the report, as grants do, and so ends before the planner thinks.
    ReclaimsEarly,
    /// A forwarder that starts uses its even part at once.
    NotYoung,
}

/// How a fleet is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Forwarders, planners and volumes.
    pub forwarders: usize,
    /// Likewise.
    pub planners: usize,
    /// Likewise.
    pub volumes: usize,
    /// How long.
    pub time: Duration,
    /// Whether things go wrong.
    pub faults: bool,
    /// A volume's lead moves this often, from and to.
    pub lead: (f64, f64),
    /// Units a second asked of a volume, over its limit.
    pub load: f64,
    /// How the limit is divided.
    pub division: Division,
    /// A deliberate fault.
    pub planted: Planted,
    /// Seeds all that is drawn.
    pub seed: u64,
    /// All planners are away, from and to.
    pub outage: Option<(Duration, Duration)>,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Played {
    /// Times at which the parts in force summed to more than the whole.
    pub oversummed: u64,
    /// Units by which some window exceeded a limit at the worst.
    pub excess: f64,
    /// Units asked for and sent.
    pub asked: f64,
    /// Likewise.
    pub sent: f64,
    /// Worth of what was sent: the reserve counts most.
    pub worth: f64,
    /// The same, while planners were away.
    pub outage_worth: f64,
    /// Crashes, stops, cuts and changes of charge.
    pub faults: u64,
    /// Plans that forwarders took.
    pub plans: u64,
}

struct Clock {
    /// Parts in a million by which it is fast.
    fast: f64,
    offset: Duration,
}

impl Clock {
    fn at(&self, now: Duration) -> Duration {
        self.offset + now.mul_f64(1.0 + self.fast / 1e6)
    }
}

struct Volume {
    level: f64,
    /// Units asked for that wait, and units a second asked for, smoothed.
    waiting: f64,
    asked: f64,
    share: f64,
}

struct Forwarder {
    clock: Clock,
    store: Store,
    incarnation: u64,
    /// It does nothing until then; it crashed, or was stopped.
    away: Option<(Duration, bool)>,
    volumes: Vec<Volume>,
    next_report: Duration,
    /// The planner it asks, and when it took a plan last.
    planner: usize,
    heard: Duration,
    inbox: Vec<Plan>,
}

struct Server {
    clock: Clock,
    /// Where it is in charge.
    planner: Option<Planner>,
    away: Option<Duration>,
    started: u64,
}

enum Message {
    Report(usize, usize, Report),
    Plan(usize, Plan),
}

struct Fleet {
    play: Play,
    random: ChaCha8Rng,
    now: Duration,
    forwarders: Vec<Forwarder>,
    servers: Vec<Server>,
    /// By arrival and a number that keeps the order.
    on_way: BinaryHeap<Reverse<(Duration, u64)>>,
    messages: std::collections::HashMap<u64, Message>,
    number: u64,
    /// Links that are cut, until when: forwarder, planner.
    cut: Vec<Vec<Duration>>,
    /// Volumes' leads, and when they move.
    leads: Vec<(usize, Duration)>,
    /// Per volume: a bucket that overflows if a window held too much; the oracle's store; units of this second.
    buckets: Vec<f64>,
    oracle: Vec<f64>,
    second: Vec<f64>,
    next_second: Duration,
    /// The next request's size, by volume.
    sizes: Vec<f64>,
    played: Played,
}

/// Plays it.
pub fn play(play: Play) -> Played {
    let mut fleet = Fleet::new(play);
    while fleet.now < play.time {
        fleet.step();
    }
    fleet.played
}

impl Fleet {
    fn new(play: Play) -> Fleet {
        let mut random = ChaCha8Rng::seed_from_u64(play.seed);
        let mut clock = |drifts: bool| Clock {
            fast: if drifts { random.random_range(-10_000.0..10_000.0) } else { 0.0 },
            offset: Duration::from_millis(random.random_range(0..100_000)),
        };
        let forwarders = (0..play.forwarders)
            .map(|at| {
                let clock = clock(play.faults);
                let start = clock.at(Duration::ZERO);
                // Nobody was there before: the floor of a young process is for those that come back.
                let long_ago = start.saturating_sub(topazpath::shares::MAX_MOVE_DURATION);
                Forwarder {
                    store: Store::new(ForwarderId(at as u64 + 1), 1, 1, long_ago),
                    clock,
                    incarnation: 1,
                    away: None,
                    volumes: (0..play.volumes).map(|_| Volume::new(play.forwarders)).collect(),
                    next_report: Duration::from_millis(at as u64 * 7 % 100),
                    planner: 0,
                    heard: Duration::ZERO,
                    inbox: Vec::new(),
                }
            })
            .collect();
        let servers = (0..play.planners)
            .map(|_| Server { clock: clock(play.faults), planner: None, away: None, started: 0 })
            .collect();
        let mut fleet = Fleet {
            play,
            random,
            now: Duration::ZERO,
            forwarders,
            servers,
            on_way: BinaryHeap::new(),
            messages: Default::default(),
            number: 0,
            cut: vec![vec![Duration::ZERO; play.planners]; play.forwarders],
            leads: vec![(0, Duration::ZERO); play.volumes],
            buckets: vec![0.0; play.volumes],
            oracle: vec![0.0; play.volumes],
            second: vec![0.0; play.volumes],
            next_second: Duration::from_secs(1),
            sizes: vec![1.0; play.volumes],
            played: Played::default(),
        };
        if !fleet.servers.is_empty() {
            fleet.take_charge(0);
        }
        fleet
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.play.faults {
            self.go_wrong();
        }
        self.outage();
        self.come_back();
        self.deliver();
        self.move_leads();
        for at in 0..self.forwarders.len() {
            self.run(at);
        }
        self.check();
        self.use_units();
    }

    /// A chance of so many times a minute.
    fn chance(&mut self, per_minute: f64) -> bool {
        self.random.random::<f64>() < per_minute * STEP.as_secs_f64() / 60.0
    }

    fn span(&mut self, from: f64, to: f64) -> Duration {
        Duration::from_secs_f64(self.random.random_range(from..to))
    }

    fn go_wrong(&mut self) {
        for at in 0..self.forwarders.len() {
            if self.forwarders[at].away.is_none() {
                if self.chance(1.0) {
                    let until = self.now + self.span(0.05, 8.0);
                    self.forwarders[at].away = Some((until, true));
                    self.played.faults += 1;
                } else if self.chance(1.5) {
                    let until = self.now + self.span(0.05, 5.0);
                    self.forwarders[at].away = Some((until, false));
                    self.played.faults += 1;
                }
            }
            for planner in 0..self.servers.len() {
                if self.chance(1.0) {
                    self.cut[at][planner] = self.now + self.span(0.1, 4.0);
                    self.played.faults += 1;
                }
            }
        }
        for at in 0..self.servers.len() {
            if self.chance(2.0) {
                self.servers[at].planner = None;
                self.servers[at].away = Some(self.now + self.span(0.05, 4.0));
                self.played.faults += 1;
            } else if self.servers[at].away.is_none() && self.chance(3.0) {
                // Whoever was in charge may not hear of it, and goes on.
                self.take_charge(at);
                self.played.faults += 1;
            } else if self.chance(2.0) {
                self.servers[at].planner = None;
                self.played.faults += 1;
            }
        }
    }

    fn outage(&mut self) {
        let Some((from, to)) = self.play.outage else { return };
        if self.now >= from && self.now < to {
            for server in &mut self.servers {
                (server.planner, server.away) = (None, Some(to));
            }
        }
    }

    fn come_back(&mut self) {
        for at in 0..self.servers.len() {
            if self.servers[at].away.is_some_and(|until| until <= self.now) {
                self.servers[at].away = None;
                if self.servers.iter().all(|server| server.planner.is_none()) {
                    self.take_charge(at);
                }
            }
        }
        for at in 0..self.forwarders.len() {
            let forwarder = &mut self.forwarders[at];
            let Some((_, crashed)) = forwarder.away.filter(|(until, _)| *until <= self.now) else { continue };
            forwarder.away = None;
            if crashed {
                forwarder.incarnation += 1;
                let start = forwarder.clock.at(self.now);
                let start = match self.play.planted {
                    Planted::NotYoung => start.saturating_sub(topazpath::shares::MAX_MOVE_DURATION),
                    _ => start,
                };
                let id = ForwarderId(at as u64 + 1);
                forwarder.store = Store::new(id, forwarder.incarnation, 1, start);
                forwarder.volumes =
                    (0..self.play.volumes).map(|_| Volume::new(self.play.forwarders)).collect();
                forwarder.inbox.clear();
            }
        }
    }

    fn take_charge(&mut self, at: usize) {
        let server = &mut self.servers[at];
        server.started += 1;
        let id = PlannerId(at as u64 + 1);
        // It may not have heard of the terms of others.
        server.planner = Some(Planner::new(Settings::default(), id, server.started));
    }

    fn send(&mut self, forwarder: usize, planner: usize, message: Message) {
        if self.cut[forwarder][planner] > self.now {
            return;
        }
        let copies = match self.random.random::<f64>() {
            lost if self.play.faults && lost < 0.05 => 0,
            doubled if self.play.faults && doubled > 0.97 => 2,
            _ => 1,
        };
        let mut message = Some(message);
        for copy in 0..copies {
            let late = self.play.faults && self.random.random::<f64>() < 0.02;
            let wait = if late { self.span(0.1, 2.0) } else { self.span(0.0002, 0.015) };
            self.number += 1;
            let copied = match &message {
                Some(Message::Report(from, to, report)) if copy + 1 < copies => {
                    Some(Message::Report(*from, *to, report.clone()))
                }
                Some(Message::Plan(to, plan)) if copy + 1 < copies => Some(Message::Plan(*to, plan.clone())),
                _ => message.take(),
            };
            if let Some(copied) = copied {
                self.on_way.push(Reverse((self.now + wait, self.number)));
                self.messages.insert(self.number, copied);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((_, number))) =
            self.on_way.peek().filter(|Reverse((at, _))| *at <= self.now).copied()
        {
            self.on_way.pop();
            match self.messages.remove(&number) {
                Some(Message::Report(from, to, report)) => {
                    let server = &mut self.servers[to];
                    let at = server.clock.at(self.now);
                    let plan = server.planner.as_mut().and_then(|planner| planner.handle_report(at, &report));
                    if let Some(plan) = plan {
                        self.send(from, to, Message::Plan(from, plan));
                    }
                }
                // One that is stopped reads it when it goes on.
                Some(Message::Plan(to, plan)) => self.forwarders[to].inbox.push(plan),
                None => {}
            }
        }
    }

    fn move_leads(&mut self) {
        for volume in 0..self.leads.len() {
            if self.leads[volume].1 <= self.now {
                let lead = self.random.random_range(0..self.forwarders.len());
                let (from, to) = self.play.lead;
                self.leads[volume] = (lead, self.now + self.span(from, to));
            }
        }
    }

    /// One step of a forwarder: takes plans, asks for units, reports.
    fn run(&mut self, at: usize) {
        let (now, step, count) = (self.now, STEP.as_secs_f64(), self.forwarders.len());
        let even_share = Share::even(count as f64);
        let play = self.play;
        for (volume, (lead, _)) in self.leads.iter().enumerate() {
            let part = if *lead == at { 0.85 } else { 0.15 / (count - 1).max(1) as f64 };
            let units = play.load * RATE * part * step;
            if self.forwarders[at].away.is_none() {
                self.played.asked += units;
                let own = &mut self.forwarders[at].volumes[volume];
                own.waiting = (own.waiting + units).min(units / step * HELD + f64::from(LARGEST));
                own.asked += (units / step - own.asked) * (step / MEMORY).min(1.0);
            }
        }
        let forwarder = &mut self.forwarders[at];
        if forwarder.away.is_some() {
            return;
        }
        let own = forwarder.clock.at(now);
        for mut plan in std::mem::take(&mut forwarder.inbox) {
            if play.planted == Planted::ReclaimsEarly {
                for (_, moved) in &mut plan.moves {
                    if let topazpath::shares::Move::Reclaim(_, lasts) = moved {
                        *lasts /= 2;
                    }
                }
            }
            if forwarder.store.apply_plan(own, 0, &plan, |_| Some(even_share)).is_ok() {
                forwarder.heard = now;
                self.played.plans += 1;
            }
        }
        forwarder.store.drop_expired(own);
        if forwarder.next_report > now || play.division != Division::Planned || play.planners == 0 {
            return;
        }
        forwarder.next_report = now + REPORTS;
        if now.saturating_sub(forwarder.heard) > PATIENCE {
            // Asks them in turn, with a little of its own in the pause, so that not all come at once.
            forwarder.planner = (forwarder.planner + 1) % play.planners;
            let pause = Duration::from_millis(self.random.random_range(0..100));
            (forwarder.heard, forwarder.next_report) = (now, now + pause);
        }
        let demand = |(volume, own): (usize, &Volume)| Demand {
            resource: Resource::Limit(volume as u64),
            even_share,
            wanted: ((own.asked + own.waiting) / RATE) as f32,
        };
        let demands = forwarder.volumes.iter().enumerate().map(demand).collect();
        let report = forwarder.store.build_report(own, 0, demands, Vec::new());
        let planner = forwarder.planner;
        self.send(at, planner, Message::Report(at, planner, report));
    }

    /// At one moment of true time: what all may use sums to no more than there is.
    fn check(&mut self) {
        let even_share = Share::even(self.forwarders.len() as f64);
        for volume in 0..self.play.volumes {
            let mut sum = 0_u64;
            for forwarder in &mut self.forwarders {
                let at = forwarder.clock.at(self.now);
                let share = match self.play.division {
                    Division::Planned => {
                        forwarder.store.usable_share(at, Resource::Limit(volume as u64), even_share)
                    }
                    _ => even_share,
                };
                let own = &mut forwarder.volumes[volume];
                // Between two looks a part may have grown: what comes in then comes by the lesser.
                let (before, after) = (own.share, share.fraction());
                own.share = after;
                own.level = (own.level + RATE * before.min(after) * STEP.as_secs_f64()).min(BURST * after);
                // A machine that is away uses nothing.
                if forwarder.away.is_none() {
                    sum += u64::from(share.0);
                }
            }
            self.played.oversummed += u64::from(sum > u64::from(Share::WHOLE.0));
            self.oracle[volume] = (self.oracle[volume] + RATE * STEP.as_secs_f64()).min(BURST);
            self.buckets[volume] = (self.buckets[volume] - RATE * STEP.as_secs_f64()).max(0.0);
        }
    }

    /// Sends what has its units.
    fn use_units(&mut self) {
        let count = self.forwarders.len();
        for volume in 0..self.play.volumes {
            let first = self.random.random_range(0..count);
            for turn in 0..count {
                let forwarder = &mut self.forwarders[(first + turn) % count];
                if forwarder.away.is_some() {
                    continue;
                }
                let own = &mut forwarder.volumes[volume];
                while own.waiting >= self.sizes[volume] {
                    let units = self.sizes[volume];
                    let level = match self.play.division {
                        Division::Oracle => &mut self.oracle[volume],
                        _ => &mut own.level,
                    };
                    if *level < units {
                        break;
                    }
                    *level -= units;
                    own.waiting -= units;
                    self.buckets[volume] += units;
                    self.played.excess = self.played.excess.max(self.buckets[volume] - BURST);
                    self.played.sent += units;
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
                self.played.worth += worth;
                if self.play.outage.is_some_and(|(from, to)| self.now > from && self.now <= to) {
                    self.played.outage_worth += worth;
                }
            }
        }
    }
}

impl Volume {
    fn new(forwarders: usize) -> Volume {
        // It begins with nothing at once, as one that may have sent all of it before it crashed.
        Volume { level: 0.0, waiting: 0.0, asked: 0.0, share: 1.0 / forwarders as f64 }
    }
}

#[cfg(test)]
mod tests;

//! A small fleet in virtual time under settings drawn at random: the real core and the real scheduler of each host, a
//! node model, lists that come late, clients, and a history of what was seen from outside. Everything comes of one seed.

use super::check::{Asked, Ending, History, Sent, Started, Told, EPOCH};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};
use topazpath::clock::Clock;
use topazpath::core::{Answer, AttemptId, AttemptResult, Content, Core, Effect as Done, Operation, Origin};
use topazpath::interface::*;
use topazpath::Scheduler;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// A connection's way there and back.
const WAY: Duration = Duration::from_micros(300);

/// What a deployment may set, drawn well beyond what any has set so far.
pub fn draw(random: &mut ChaCha8Rng) -> Settings {
    let initiators = random.random_range(1..=6_u32);
    let classes = (0..random.random_range(1..=4)).map(|_| {
        let latency_target = MS(random.random_range(50..2000));
        let groups = [DedupScope::All, DedupScope::Zone, DedupScope::Shard];
        Class {
            latency_target,
            deadline: latency_target * random.random_range(2..8),
            worth: random.random_range(0.5..4.0),
            late_worth: random.random_range(0.0..0.5),
            effect: match random.random_range(0..3) {
                0 => Effect::Safe,
                1 => Effect::Keyed(groups[random.random_range(0..3)]),
                _ => Effect::Unsafe,
            },
            dedup_window: MS(random.random_range(200..10_000)),
            in_order: random.random_bool(0.15),
        }
    });
    let classes: Vec<Class> = classes.collect();
    let largest = random.random_range(1..=8_u32) as f64;
    let plans = (0..random.random_range(1..=3)).map(|_| {
        let burst = 2.0 * largest * f64::from(initiators) * random.random_range(1.0..3.0);
        let limit =
            Limit { rate: random.random_range(2.0..80.0), burst, overdraft: largest.max(burst / 10.0) };
        Plan {
            reserve: random.random_range(0.0..40.0),
            limit: random.random_bool(0.5).then_some(limit),
            weight: random.random_range(0.5..4.0),
            worth_factor: random.random_range(0.5..2.0),
        }
    });
    let plans: Vec<Plan> = plans.collect();
    let budget = RetryBudget {
        min_retries: f64::from(random.random_range(0..6_u32)),
        retry_ratio: random.random_range(0.0..0.3),
        window: MS(random.random_range(500..5000)),
    };
    Settings {
        initiators,
        tick: MS(random.random_range(1..=5)),
        list_on_request: random.random_bool(0.5),
        units: Units {
            mean: (1.0 + largest) / 2.0,
            largest,
            share_worth: random.random_range(0.05..1.0),
            spare_worth: random.random_range(0.0..0.1),
            slow_start_units: largest * f64::from(initiators) * random.random_range(0.5..2.0),
            usage_period: Duration::ZERO,
            base_rates: plans.iter().map(|_| random.random_range(0.0..60.0)).collect(),
        },
        classes,
        plans,
        rules: Rules {
            answer_grace: MS(8),
            drain_grace: MS(random.random_range(200..20_000)),
            slow_start_min_share: random.random_range(0.1..0.6),
            slow_start_time: MS(random.random_range(200..20_000)),
            overload_factor: random.random_range(1.5..5.0),
            overload_window: MS(random.random_range(200..20_000)),
            key_settle_time: MS(random.random_range(0..500)),
            retry_budget: random.random_bool(0.3).then_some(budget),
        },
        limits: Limits {
            max_attempts: random.random_range(1..=5),
            connect_timeout: MS(random.random_range(50..400)),
            max_retry_after: MS([0, 500, 2000][random.random_range(0..3)]),
            allow_cancel: random.random_bool(0.7),
            max_queued: random.random_bool(0.5).then(|| random.random_range(5..200)),
        },
    }
}

/// How a node behaves for a while.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    Well,
    /// Takes requests and answers none.
    Hangs,
    /// Says nothing, not even to a connection.
    Vanished,
    /// Refuses connections.
    Dead,
    Resets,
    Fails,
    Slow,
}

struct Node {
    entry: NodeEntry,
    health: Health,
    /// Units a second when warm.
    power: f64,
    slots: usize,
    room: usize,
    /// When each of what it holds will be done.
    held: Vec<Duration>,
}

struct Host {
    core: Core,
    scheduler: Scheduler,
    /// It counts anew at each start.
    life: usize,
    /// When it is to turn next, if anything is due.
    turns: Option<Duration>,
}

enum Happens {
    Request,
    Fault,
    Healed(usize),
    /// A list reaches a host of this life.
    List(usize, usize, ListKind, Vec<NodeEntry>),
    Replaced(usize),
    Ended(usize, usize, AttemptId, Outcome),
    Crash,
    Step(usize),
}

/// One play.
pub struct World {
    random: ChaCha8Rng,
    settings: Settings,
    base: Instant,
    clock: Clock,
    now: Duration,
    hosts: Vec<Host>,
    nodes: Vec<Node>,
    zones: u32,
    /// What happens, by time and in the order it was found out.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    due: std::collections::HashMap<u64, Happens>,
    next: u64,
    rate: f64,
    history: History,
}

/// Plays a seed for some time; what was seen.
pub fn play(seed: u64, time: Duration) -> History {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = draw(&mut random);
    let (base, shards, zones) = (Instant::now(), random.random_range(2..=5_u32), random.random_range(1..=3));
    let clock = Clock::new(base, EPOCH);
    let mut world = World {
        settings: settings.clone(),
        base,
        clock,
        now: Duration::ZERO,
        hosts: Vec::new(),
        nodes: Vec::new(),
        zones,
        queue: BinaryHeap::new(),
        due: Default::default(),
        next: 0,
        rate: random.random_range(20.0..400.0),
        history: History::new(settings),
        random,
    };
    for number in 0..random_nodes(&mut world.random, shards) {
        world.add_node(number % shards, None);
    }
    for at in 0..world.settings.initiators as usize {
        world.start_host(at);
    }
    world.at(Duration::ZERO, Happens::Request);
    world.at(MS(1000), Happens::Fault);
    world.at(MS(2500), Happens::Crash);
    world.run(time);
    world.history
}

fn random_nodes(random: &mut ChaCha8Rng, shards: u32) -> u32 {
    shards + random.random_range(0..=shards)
}

impl World {
    fn at(&mut self, at: Duration, happens: Happens) {
        self.next += 1;
        self.due.insert(self.next, happens);
        self.queue.push(Reverse((at, self.next)));
    }

    fn add_node(&mut self, shard: u32, started: Option<Duration>) {
        let zone = self.random.random_range(0..self.zones);
        let node = NodeId(self.nodes.len() as u32 + 1);
        let entry = NodeEntry { node, shard, zone, started, state: NodeState::Ready, no_new_objects: false };
        self.history.placed(node, shard, zone);
        self.nodes.push(Node {
            entry,
            health: Health::Well,
            power: self.random.random_range(3.0..150.0),
            slots: self.random.random_range(1..=8),
            room: self.random.random_range(4..60),
            held: Vec::new(),
        });
    }

    fn start_host(&mut self, at: usize) {
        let life = self.history.lives.len();
        self.history.lives.push(self.now);
        let mut core = Core::new(self.clock, self.settings.limits.max_retry_after);
        core.set_classes(&self.settings.classes);
        let host = Host {
            core,
            scheduler: Scheduler::new(self.settings.clone(), self.random.random()),
            life,
            turns: None,
        };
        match self.hosts.get_mut(at) {
            Some(old) => *old = host,
            None => self.hosts.push(host),
        }
        let entries: Vec<NodeEntry> = self.nodes.iter().map(|node| node.entry.clone()).collect();
        self.tell(at, ListKind::Cached, entries.clone());
        let soon = self.now + MS(self.random.random_range(10..2000));
        self.at(soon, Happens::List(at, life, ListKind::Full, entries));
    }

    /// A host hears of the list now.
    fn tell(&mut self, at: usize, kind: ListKind, entries: Vec<NodeEntry>) {
        let life = self.hosts[at].life;
        for entry in &entries {
            self.history.told(Told { life, at: self.now, node: entry.node, state: entry.state });
        }
        self.hosts[at].core.push_event(Event::List { kind, entries });
        self.step(at);
    }

    /// All hosts hear of a change, each later.
    fn spread(&mut self, entry: &NodeEntry) {
        for at in 0..self.hosts.len() {
            let late = self.now + MS(self.random.random_range(0..3000));
            let life = self.hosts[at].life;
            self.at(late, Happens::List(at, life, ListKind::Delta, vec![entry.clone()]));
        }
    }

    fn run(&mut self, time: Duration) {
        // After the last arrival a play goes on until all is to be answered.
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let end = time + longest + MS(1000);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            let Some(happens) = self.due.remove(&number) else { continue };
            if at > end {
                break;
            }
            self.now = at;
            match happens {
                Happens::Request if at <= time => self.ask(),
                Happens::Fault if at <= time => self.fault(),
                Happens::Crash if at <= time => {
                    if self.random.random_bool(0.4) {
                        let host = self.random.random_range(0..self.hosts.len());
                        let life = self.hosts[host].life;
                        self.history.ended.insert(life, self.now);
                        self.start_host(host);
                    }
                    let next = self.now + MS(self.random.random_range(500..6000));
                    self.at(next, Happens::Crash);
                }
                Happens::Request | Happens::Fault | Happens::Crash => {}
                Happens::Healed(node) => self.nodes[node].health = Health::Well,
                Happens::Replaced(node) => {
                    self.nodes[node].entry.state = NodeState::Gone;
                    let gone = self.nodes[node].entry.clone();
                    self.spread(&gone);
                    self.add_node(gone.shard, Some(EPOCH + self.now));
                    if let Some(node) = self.nodes.last() {
                        let entry = node.entry.clone();
                        let cold = Started { node: entry.node, at: self.now, power: node.power };
                        self.history.started.push(cold);
                        self.spread(&entry);
                    }
                }
                Happens::List(at, life, kind, entries) => {
                    if self.hosts[at].life == life {
                        self.tell(at, kind, entries);
                    }
                }
                Happens::Ended(at, life, attempt, outcome) => {
                    if self.hosts[at].life == life {
                        let now = self.base + self.now;
                        self.hosts[at].core.attempt_ended(
                            now,
                            attempt,
                            AttemptResult::without_reply(outcome),
                        );
                        self.history.over(life, attempt.request, attempt.number, self.now, outcome);
                        self.step(at);
                    }
                }
                // One that was put forward is left out.
                Happens::Step(at) => {
                    if self.hosts[at].turns.take_if(|turns| *turns == self.now).is_some() {
                        self.step(at);
                    }
                }
            }
        }
    }

    fn fault(&mut self) {
        let next = self.now + MS(self.random.random_range(200..4000));
        self.at(next, Happens::Fault);
        let node = self.random.random_range(0..self.nodes.len());
        let health =
            [Health::Hangs, Health::Vanished, Health::Dead, Health::Resets, Health::Fails, Health::Slow];
        if self.nodes[node].entry.state == NodeState::Ready && self.random.random_bool(0.4) {
            self.nodes[node].entry.state = NodeState::Draining;
            let entry = self.nodes[node].entry.clone();
            self.spread(&entry);
            let gone = self.now + MS(self.random.random_range(500..5000));
            self.at(gone, Happens::Replaced(node));
        } else if let Some(health) = health.choose(&mut self.random) {
            self.nodes[node].health = *health;
            let healed = self.now + MS(self.random.random_range(200..8000));
            self.at(healed, Happens::Healed(node));
        }
    }

    /// A client asks one host.
    fn ask(&mut self) {
        let pause = -(1.0 - self.random.random::<f64>()).ln() / self.rate;
        self.at(self.now + Duration::from_secs_f64(pause), Happens::Request);
        let (hosts, random) = (self.settings.initiators, &mut self.random);
        let volume = random.random_range(0..12_u64);
        let over = 1 + volume as u32 % hosts;
        let at = ((volume as u32 + random.random_range(0..over)) % hosts) as usize;
        let class = random.random_range(0..self.settings.classes.len());
        let shard = self.nodes.choose(random).map(|node| node.entry.shard);
        let deadline = self.settings.classes[class].deadline.mul_f64(random.random_range(0.3..1.0));
        let new = NewRequest {
            id: RequestId(0),
            class,
            plan: volume as usize % self.settings.plans.len(),
            volume: VolumeId(volume),
            key: random.random_range(0..40_u64),
            deadline: EPOCH + self.now + deadline,
            units: f64::from(random.random_range(1..=self.settings.units.largest as u32)),
            shard: shard.filter(|_| random.random_bool(0.8)),
            volume_initiators: f64::from(over),
        };
        let content = Content {
            operation: Operation::Read,
            object: String::new(),
            id: self.next.to_string(),
            attributes: String::new(),
            body: Vec::new(),
            body_stream: None,
            extent: None,
        };
        let host = &mut self.hosts[at];
        let origin = Origin { conn: at, sequence: self.next };
        if let Some(id) = host.core.accept(origin, new.clone(), content) {
            let asked = Asked { life: host.life, at: self.now, new: NewRequest { id, ..new }, origin };
            self.history.asked(asked);
        }
        self.step(at);
    }

    /// What the loop does in one turn.
    fn step(&mut self, at: usize) {
        let now = self.base + self.now;
        self.hosts[at].core.fire_timers(now);
        loop {
            let effects = self.hosts[at].core.drain_effects();
            let host = &mut self.hosts[at];
            if effects.is_empty() {
                let events = host.core.drain_events();
                if events.is_empty() {
                    break;
                }
                let mut actions = Vec::new();
                host.scheduler.handle(EPOCH + self.now, &events, &mut actions);
                host.core.carry_out(now, actions);
            }
            effects.into_iter().for_each(|effect| self.carry_out(at, effect));
        }
        let due = self.hosts[at].core.next_timer();
        let due = due.map(|due| due.saturating_duration_since(self.base).max(self.now + MS(1)));
        if let Some(due) = due.filter(|due| self.hosts[at].turns.is_none_or(|turns| *due < turns)) {
            self.hosts[at].turns = Some(due);
            self.at(due, Happens::Step(at));
        }
    }

    fn carry_out(&mut self, at: usize, effect: Done) {
        let life = self.hosts[at].life;
        match effect {
            Done::Answer { origin, answer } => {
                let ending = match answer {
                    Answer::Served(_) => Ending::Served,
                    Answer::Refused { .. } => Ending::Refused,
                    Answer::Failed => Ending::Failed,
                };
                self.history.answered(life, origin, self.now, ending);
            }
            Done::Stop { attempt, outcome } => {
                self.at(self.now, Happens::Ended(at, life, attempt, outcome));
            }
            Done::Start { attempt, node, .. } => self.start(at, life, attempt, node),
            // Here an attempt reaches its node in the moment that it starts.
            Done::CancelUnsent { .. } | Done::BodyAvailable { .. } | Done::EndStream { .. } => {}
        }
    }

    /// An attempt reaches a node.
    fn start(&mut self, at: usize, life: usize, attempt: AttemptId, id: NodeId) {
        self.history.sent(Sent {
            life,
            request: attempt.request,
            number: attempt.number,
            node: id,
            at: self.now,
            over: None,
        });
        let units = self.history.units(life, attempt.request);
        let now = self.now;
        let connect = self.settings.limits.connect_timeout;
        let (cold, share) = (self.settings.rules.slow_start_time, self.settings.rules.slow_start_min_share);
        let drawn: f64 = self.random.random();
        let Some(node) = self.nodes.get_mut(id.0 as usize - 1) else { return };
        node.held.retain(|done| *done > now);
        let refused = node.entry.state == NodeState::Gone;
        let (after, outcome) = match node.health {
            Health::Vanished => (connect, Outcome::NotConnected),
            Health::Dead => (WAY, Outcome::NotConnected),
            _ if refused => (WAY, Outcome::NotConnected),
            Health::Hangs => return,
            Health::Resets if drawn < 0.5 => (WAY, Outcome::Reset),
            Health::Fails if drawn < 0.5 => (WAY, Outcome::Error),
            _ if node.held.len() >= node.slots + node.room => (WAY, Outcome::Rejected),
            health => {
                let age = now.saturating_sub(node.entry.started.map_or(Duration::ZERO, |it| it - EPOCH));
                let warmth = match node.entry.started {
                    Some(_) => (share + (1.0 - share) * age.div_duration_f64(cold)).min(1.0),
                    None => 1.0,
                };
                let slow = if health == Health::Slow { 8.0 } else { 1.0 };
                let one = node.slots as f64 * units * slow / (node.power * warmth);
                // In turn of arrival: the slot that is free first takes it.
                let mut done = node.held.clone();
                done.sort();
                let begins = done.iter().rev().nth(node.slots - 1).copied().unwrap_or(now);
                let ends = begins.max(now) + Duration::from_secs_f64(one);
                node.held.push(ends);
                (ends - now + WAY, Outcome::Served)
            }
        };
        self.at(now + after, Happens::Ended(at, life, attempt, outcome));
    }
}

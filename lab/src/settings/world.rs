//! Simulates a small fleet in virtual time under random settings: the real core and scheduler of each initiator, a
//! model of the nodes, delayed node lists and clients. It records a history for [`super::check`]; one seed determines
//! everything.

use super::check::{AcceptedRequest, FinalAnswer, History, JoinedNode, ListUpdate, SentAttempt, EPOCH};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};
use topazpath::clock::Clock;
use topazpath::core::{
    Answer, AttemptId, AttemptResult, Content, Core, Effect as CoreEffect, Operation, Origin,
};
use topazpath::interface::*;
use topazpath::memory::Budget;
use topazpath::Scheduler;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Network round trip to a node.
const ROUND_TRIP: Duration = Duration::from_micros(300);

/// Returns random settings, over ranges well beyond those of existing deployments.
pub fn random_settings(random: &mut ChaCha8Rng) -> Settings {
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
    Healthy,
    /// Accepts requests and does not answer.
    Hangs,
    /// Crashed: connection attempts time out.
    Unreachable,
    /// Refuses connections.
    Refuses,
    Resets,
    Fails,
    Slow,
}

struct Node {
    entry: NodeEntry,
    health: Health,
    /// Service rate once warmed up, in units a second.
    service_rate: f64,
    slots: usize,
    queue_limit: usize,
    /// When each of its running and queued requests will be done.
    completions: Vec<Duration>,
}

struct Initiator {
    core: Core,
    scheduler: Scheduler,
    /// Number of this start, over all initiators.
    generation: usize,
    /// When its next step is scheduled, if any is.
    next_step: Option<Duration>,
}

enum Scheduled {
    Request,
    Fault,
    Recovered(usize),
    /// A list reaches an initiator, unless it has restarted since this generation.
    List(usize, usize, ListKind, Vec<NodeEntry>),
    Replaced(usize),
    Ended(usize, usize, AttemptId, Outcome),
    Crash,
    Step(usize),
}

/// The state of one simulation.
pub struct Simulation {
    random: ChaCha8Rng,
    settings: Settings,
    base: Instant,
    clock: Clock,
    now: Duration,
    initiators: Vec<Initiator>,
    nodes: Vec<Node>,
    zones: u32,
    /// Scheduled events by time, then by order of scheduling.
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    due: std::collections::HashMap<u64, Scheduled>,
    next: u64,
    rate: f64,
    history: History,
}

/// Simulates a seed, with requests arriving for `time`, and returns the history.
pub fn simulate(seed: u64, time: Duration) -> History {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = random_settings(&mut random);
    let (base, shards, zones) = (Instant::now(), random.random_range(2..=5_u32), random.random_range(1..=3));
    let clock = Clock::new(base, EPOCH);
    let mut simulation = Simulation {
        settings: settings.clone(),
        base,
        clock,
        now: Duration::ZERO,
        initiators: Vec::new(),
        nodes: Vec::new(),
        zones,
        queue: BinaryHeap::new(),
        due: Default::default(),
        next: 0,
        rate: random.random_range(20.0..400.0),
        history: History::new(settings),
        random,
    };
    for number in 0..random_node_count(&mut simulation.random, shards) {
        simulation.add_node(number % shards, None);
    }
    for at in 0..simulation.settings.initiators as usize {
        simulation.start_initiator(at);
    }
    simulation.schedule(Duration::ZERO, Scheduled::Request);
    simulation.schedule(MS(1000), Scheduled::Fault);
    simulation.schedule(MS(2500), Scheduled::Crash);
    simulation.run(time);
    simulation.history
}

fn random_node_count(random: &mut ChaCha8Rng, shards: u32) -> u32 {
    shards + random.random_range(0..=shards)
}

impl Simulation {
    fn schedule(&mut self, at: Duration, event: Scheduled) {
        self.next += 1;
        self.due.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    fn add_node(&mut self, shard: u32, started: Option<Duration>) {
        let zone = self.random.random_range(0..self.zones);
        let node = NodeId(self.nodes.len() as u32 + 1);
        let entry = NodeEntry { node, shard, zone, started, state: NodeState::Ready, no_new_objects: false };
        self.history.node_added(node, shard, zone);
        self.nodes.push(Node {
            entry,
            health: Health::Healthy,
            service_rate: self.random.random_range(3.0..150.0),
            slots: self.random.random_range(1..=8),
            queue_limit: self.random.random_range(4..60),
            completions: Vec::new(),
        });
    }

    fn start_initiator(&mut self, at: usize) {
        let generation = self.history.generation_starts.len();
        self.history.generation_starts.push(self.now);
        let mut core = Core::new(self.clock, self.settings.limits.max_retry_after, Budget::unlimited());
        core.set_classes(&self.settings.classes);
        let initiator = Initiator {
            core,
            scheduler: Scheduler::new(self.settings.clone(), self.random.random()),
            generation,
            next_step: None,
        };
        match self.initiators.get_mut(at) {
            Some(old) => *old = initiator,
            None => self.initiators.push(initiator),
        }
        let entries: Vec<NodeEntry> = self.nodes.iter().map(|node| node.entry.clone()).collect();
        self.deliver_list(at, ListKind::Cached, entries.clone());
        let soon = self.now + MS(self.random.random_range(10..2000));
        self.schedule(soon, Scheduled::List(at, generation, ListKind::Full, entries));
    }

    /// Delivers a list to an initiator.
    fn deliver_list(&mut self, at: usize, kind: ListKind, entries: Vec<NodeEntry>) {
        let generation = self.initiators[at].generation;
        for entry in &entries {
            self.history.list_received(ListUpdate {
                generation,
                at: self.now,
                node: entry.node,
                state: entry.state,
            });
        }
        self.initiators[at].core.push_event(Event::List { kind, entries });
        self.step(at);
    }

    /// Schedules a change of a node for all initiators, each with its own delay.
    fn broadcast(&mut self, entry: &NodeEntry) {
        for at in 0..self.initiators.len() {
            let received_at = self.now + MS(self.random.random_range(0..3000));
            let generation = self.initiators[at].generation;
            self.schedule(received_at, Scheduled::List(at, generation, ListKind::Delta, vec![entry.clone()]));
        }
    }

    fn run(&mut self, time: Duration) {
        // After the last arrival the simulation goes on until every request must have been answered.
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let end = time + longest + MS(1000);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            let Some(event) = self.due.remove(&number) else { continue };
            if at > end {
                break;
            }
            self.now = at;
            match event {
                Scheduled::Request if at <= time => self.send_request(),
                Scheduled::Fault if at <= time => self.fault(),
                Scheduled::Crash if at <= time => {
                    if self.random.random_bool(0.4) {
                        let initiator = self.random.random_range(0..self.initiators.len());
                        let generation = self.initiators[initiator].generation;
                        self.history.crashed.insert(generation, self.now);
                        self.start_initiator(initiator);
                    }
                    let next = self.now + MS(self.random.random_range(500..6000));
                    self.schedule(next, Scheduled::Crash);
                }
                Scheduled::Request | Scheduled::Fault | Scheduled::Crash => {}
                Scheduled::Recovered(node) => self.nodes[node].health = Health::Healthy,
                Scheduled::Replaced(node) => {
                    self.nodes[node].entry.state = NodeState::Gone;
                    let gone = self.nodes[node].entry.clone();
                    self.broadcast(&gone);
                    self.add_node(gone.shard, Some(EPOCH + self.now));
                    if let Some(node) = self.nodes.last() {
                        let entry = node.entry.clone();
                        let joined =
                            JoinedNode { node: entry.node, at: self.now, service_rate: node.service_rate };
                        self.history.started.push(joined);
                        self.broadcast(&entry);
                    }
                }
                Scheduled::List(at, generation, kind, entries) => {
                    if self.initiators[at].generation == generation {
                        self.deliver_list(at, kind, entries);
                    }
                }
                Scheduled::Ended(at, generation, attempt, outcome) => {
                    if self.initiators[at].generation == generation {
                        let now = self.base + self.now;
                        self.initiators[at].core.attempt_ended(
                            now,
                            attempt,
                            AttemptResult::without_reply(outcome),
                        );
                        self.history.attempt_ended(
                            generation,
                            attempt.request,
                            attempt.number,
                            self.now,
                            outcome,
                        );
                        self.step(at);
                    }
                }
                // A step that was replaced by an earlier one is skipped.
                Scheduled::Step(at) => {
                    if self.initiators[at].next_step.take_if(|next_step| *next_step == self.now).is_some() {
                        self.step(at);
                    }
                }
            }
        }
    }

    fn fault(&mut self) {
        let next = self.now + MS(self.random.random_range(200..4000));
        self.schedule(next, Scheduled::Fault);
        let node = self.random.random_range(0..self.nodes.len());
        let health = [
            Health::Hangs,
            Health::Unreachable,
            Health::Refuses,
            Health::Resets,
            Health::Fails,
            Health::Slow,
        ];
        if self.nodes[node].entry.state == NodeState::Ready && self.random.random_bool(0.4) {
            self.nodes[node].entry.state = NodeState::Draining;
            let entry = self.nodes[node].entry.clone();
            self.broadcast(&entry);
            let gone = self.now + MS(self.random.random_range(500..5000));
            self.schedule(gone, Scheduled::Replaced(node));
        } else if let Some(health) = health.choose(&mut self.random) {
            self.nodes[node].health = *health;
            let recovered = self.now + MS(self.random.random_range(200..8000));
            self.schedule(recovered, Scheduled::Recovered(node));
        }
    }

    /// Sends a random request to one initiator, and schedules the next.
    fn send_request(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.rate;
        self.schedule(self.now + Duration::from_secs_f64(gap), Scheduled::Request);
        let (initiators, random) = (self.settings.initiators, &mut self.random);
        let volume = random.random_range(0..12_u64);
        let volume_initiators = 1 + volume as u32 % initiators;
        let at = ((volume as u32 + random.random_range(0..volume_initiators)) % initiators) as usize;
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
            volume_initiators: f64::from(volume_initiators),
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
        let initiator = &mut self.initiators[at];
        let origin = Origin { conn: at, sequence: self.next };
        if let Some(id) = initiator.core.accept(origin, new.clone(), content) {
            let accepted = AcceptedRequest {
                generation: initiator.generation,
                at: self.now,
                new: NewRequest { id, ..new },
                origin,
            };
            self.history.accepted(accepted);
        }
        self.step(at);
    }

    /// Runs one iteration of an initiator's event loop.
    fn step(&mut self, at: usize) {
        let now = self.base + self.now;
        self.initiators[at].core.fire_timers(now);
        loop {
            let effects = self.initiators[at].core.drain_effects();
            let initiator = &mut self.initiators[at];
            if effects.is_empty() {
                let events = initiator.core.drain_events();
                if events.is_empty() {
                    break;
                }
                let mut actions = Vec::new();
                initiator.scheduler.handle(EPOCH + self.now, &events, &mut actions);
                initiator.core.carry_out(now, actions);
            }
            effects.into_iter().for_each(|effect| self.carry_out(at, effect));
        }
        let due = self.initiators[at].core.next_timer();
        let due = due.map(|due| due.saturating_duration_since(self.base).max(self.now + MS(1)));
        if let Some(due) =
            due.filter(|due| self.initiators[at].next_step.is_none_or(|next_step| *due < next_step))
        {
            self.initiators[at].next_step = Some(due);
            self.schedule(due, Scheduled::Step(at));
        }
    }

    fn carry_out(&mut self, at: usize, effect: CoreEffect) {
        let generation = self.initiators[at].generation;
        match effect {
            CoreEffect::Answer { origin, answer } => {
                let answer_kind = match answer {
                    Answer::Served(_) => FinalAnswer::Served,
                    Answer::Refused { .. } => FinalAnswer::Refused,
                    Answer::Failed => FinalAnswer::Failed,
                };
                self.history.answered(generation, origin, self.now, answer_kind);
            }
            CoreEffect::Stop { attempt, outcome } => {
                self.schedule(self.now, Scheduled::Ended(at, generation, attempt, outcome));
            }
            CoreEffect::Start { attempt, node, .. } => self.start(at, generation, attempt, node),
            // In the simulation an attempt reaches its node as soon as it starts, so nothing is unsent.
            CoreEffect::CancelUnsent { .. }
            | CoreEffect::BodyAvailable { .. }
            | CoreEffect::EndStream { .. }
            | CoreEffect::DiscardStream { .. }
            | CoreEffect::ReleaseStream { .. } => {}
        }
    }

    /// Records an attempt and schedules its end by the model of the node.
    fn start(&mut self, at: usize, generation: usize, attempt: AttemptId, id: NodeId) {
        self.history.sent(SentAttempt {
            generation,
            request: attempt.request,
            number: attempt.number,
            node: id,
            at: self.now,
            end: None,
        });
        let units = self.history.units(generation, attempt.request);
        let now = self.now;
        let connect = self.settings.limits.connect_timeout;
        let (slow_start_time, share) =
            (self.settings.rules.slow_start_time, self.settings.rules.slow_start_min_share);
        let drawn: f64 = self.random.random();
        let Some(node) = self.nodes.get_mut(id.0 as usize - 1) else { return };
        node.completions.retain(|done| *done > now);
        let is_gone = node.entry.state == NodeState::Gone;
        let (after, outcome) = match node.health {
            Health::Unreachable => (connect, Outcome::NotConnected),
            Health::Refuses => (ROUND_TRIP, Outcome::NotConnected),
            _ if is_gone => (ROUND_TRIP, Outcome::NotConnected),
            Health::Hangs => return,
            Health::Resets if drawn < 0.5 => (ROUND_TRIP, Outcome::Reset),
            Health::Fails if drawn < 0.5 => (ROUND_TRIP, Outcome::Error),
            _ if node.completions.len() >= node.slots + node.queue_limit => (ROUND_TRIP, Outcome::Rejected),
            health => {
                let age = now.saturating_sub(node.entry.started.map_or(Duration::ZERO, |it| it - EPOCH));
                let warmth = match node.entry.started {
                    Some(_) => (share + (1.0 - share) * age.div_duration_f64(slow_start_time)).min(1.0),
                    None => 1.0,
                };
                let slow = if health == Health::Slow { 8.0 } else { 1.0 };
                let service_time = node.slots as f64 * units * slow / (node.service_rate * warmth);
                // First come, first served: the slot that is free first takes it.
                let mut ends = node.completions.clone();
                ends.sort();
                let start = ends.iter().rev().nth(node.slots - 1).copied().unwrap_or(now);
                let end = start.max(now) + Duration::from_secs_f64(service_time);
                node.completions.push(end);
                (end - now + ROUND_TRIP, Outcome::Served)
            }
        };
        self.schedule(now + after, Scheduled::Ended(at, generation, attempt, outcome));
    }
}

//! The scheduler: which request goes to which node and when, what is retried, and what is shed. It takes
//! events and returns actions, both defined in `src/interface.rs`, and does no I/O. This file holds its state
//! and the handling of events; docs/design.md compares the design with the paper that it follows. Decisions
//! are in modules: `classes` (controllers, arbiter, slots), `dispatch` (choice of request and node), `guards`
//! (rules for attempts), `need` (cost and admission level), `overdue` (slow attempts), `final_answers`
//! (denials), `prune` (state that is dropped). `node_table`, `queue`, `shard_rates` and `volume` keep state.

pub mod carry;
mod classes;
mod dispatch;
mod final_answers;
mod guards;
mod need;
mod node;
mod node_table;
mod overdue;
mod prune;
mod queue;
pub mod reconfigure;
mod shard_rates;
mod volume;

pub use final_answers::Denials;

use crate::interface::*;
use crate::quantity::TokenBucket;
use crate::random::Random;
use classes::ClassControl;
use final_answers::Reason;
use node::Node;
use node_table::NodeTable;
use queue::{Queue, QueueKey};
use rustc_hash::FxHashMap;
use shard_rates::ShardRates;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use volume::{limit_share, Volume};

/// Control interval, as in the paper.
const INTERVAL: Duration = Duration::from_secs(2);
/// Intervals that a slope is fitted over.
const FIT_INTERVALS: usize = 5;
/// Weight of one outcome in smoothed figures, as TCP smooths round-trip times (RFC 6298).
const SMOOTHING: f64 = 1.0 / 8.0;
/// Time constant with which a node's own admission level decays to the common one.
const LEVEL_MEMORY: Duration = INTERVAL.saturating_mul(FIT_INTERVALS as u32);
/// Lowest admission level (natural logarithm): an eighth of the most valuable requests are still sent, as
/// only answers can raise the level again.
const MIN_LEVEL: f64 = -2.08;
/// At the highest level, the least valuable requests are admitted up to this multiple of a volume's size.
const TOP_LEVEL_DEPTH: f64 = 3.0;
/// Step between positions in a volume's demand: it spreads any number of them evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
/// Largest initial debt at a node in slow start, in mean requests; drawn at random, its mean is one request.
const MAX_INITIAL_DEBT: f64 = 2.0;
/// Share of the drain grace in which a draining node is still used; the rest is left for connecting.
const DRAIN_USE_SHARE: f64 = 0.85;
/// Periodic checks of queued requests within the tightest latency target.
const CHECKS_PER_TARGET: f64 = 64.0;
/// First and longest pause after a failed list request, in control intervals.
const LIST_PAUSES: (f64, f64) = (0.5, 4.0);

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct Request {
    spec: NewRequest,
    /// When it was accepted, and when its client first sent it, as derived from its deadline.
    accepted_at: Duration,
    first_asked_at: Duration,
    /// Its position in its volume's demand, between 0 and 1.
    position: f64,
    attempts: u32,
    /// The attempt in flight: its node and when it was sent.
    in_flight: Option<(NodeId, Duration)>,
    /// The first attempt that may have run: shard and zone of its node, and when it was sent.
    may_have_run: Option<(u32, u32, Duration)>,
    /// It has its final answer and is kept while an attempt is in flight.
    finished: bool,
    streaming: bool,
    cancelled: bool,
}

impl Request {
    /// The shard that it names, or that of its first attempt.
    fn queue_key(&self) -> QueueKey {
        self.spec.shard.or(self.may_have_run.map(|(shard, _, _)| shard))
    }
}

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct KeyQueue {
    /// In order of acceptance: unfinished requests and those with an attempt in flight.
    waiting: VecDeque<RequestId>,
    settle_until: Duration,
    /// The request that was sent last: it need not wait until the key has settled.
    last_attempted: Option<RequestId>,
}

/// The scheduler of one initiator.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub struct Scheduler {
    settings: Settings,
    now: Duration,
    #[serde(skip)]
    loop_delay: Duration,
    random: Random,
    classes: Vec<ClassControl>,
    nodes: NodeTable,
    requests: FxHashMap<RequestId, Request>,
    shard_rates: ShardRates,
    queue: Queue,
    volumes: FxHashMap<VolumeId, Volume>,
    /// This initiator's shares of volumes' limits, where planners assign them.
    limit_shares: BTreeMap<VolumeId, f64>,
    /// Logarithm of the highest cost that is admitted at the mean node.
    admission_level: f64,
    admission_level_at: Duration,
    key_queues: BTreeMap<u64, KeyQueue>,
    /// Times of accepted requests and of retries, within the retry budget's window.
    accepted_times: VecDeque<Duration>,
    retry_times: VecDeque<Duration>,
    /// By class, the longest time to the deadline that a new request had, bounded by the class's own.
    longest_first_wait: Vec<Duration>,
    list_request_at: Option<Duration>,
    list_failures: u32,
    check_interval: Duration,
    interval_start: Option<Duration>,
    wake_at: Option<Duration>,
    #[serde(skip)]
    denials: Denials,
}

impl Scheduler {
    /// A scheduler for one initiator. `seed` spreads calls that initiators would otherwise make together.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let equal = 1.0 / settings.classes.len().max(1) as f64;
        let class = |_: &Class| ClassControl { bound: equal, requested: equal, ..ClassControl::default() };
        Scheduler {
            random: Random::new(seed),
            classes: settings.classes.iter().map(class).collect(),
            admission_level: top_level(&settings),
            check_interval: min_latency_target(&settings).div_f64(CHECKS_PER_TARGET).max(settings.tick),
            longest_first_wait: vec![Duration::ZERO; settings.classes.len()],
            list_request_at: settings.list_on_request.then_some(Duration::ZERO),
            nodes: NodeTable::new(min_latency_target(&settings)),
            settings,
            ..Scheduler::default()
        }
    }

    /// Handles the events up to `now` and appends the actions to take.
    pub fn handle(&mut self, now: Duration, events: &[Event], actions: &mut Vec<Action>) {
        self.integrate_demand(now);
        self.now = now;
        self.nodes.advance(now);
        self.wake_at = self.wake_at.filter(|at| *at > now);
        for event in events {
            match event {
                Event::List { kind, entries } => self.apply_list(*kind, entries),
                Event::Request(new) => self.accept_request(new),
                Event::AttemptEnded(end) => self.record_outcome(end, actions),
                Event::StreamStarted { id } => {
                    self.requests.entry(*id).and_modify(|request| request.streaming = true);
                }
                Event::ClientGone { id } => self.client_gone(*id, actions),
                Event::Shares { limits, slow_start } => self.apply_shares(limits, slow_start),
                Event::LoopDelayed { by } => self.loop_delay = *by,
                Event::Wake => {}
            }
        }
        if self.list_request_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.run_controllers();
        self.shed_requests(actions);
        self.cancel_overtaken(actions);
        self.dispatch(actions);
        self.schedule_wake(actions);
        self.nodes.check();
    }

    /// Nodes visited since the start: the cost of decisions, independent of the machine.
    pub fn nodes_visited(&self) -> u64 {
        self.nodes.visits()
    }

    /// Requests denied since the start, by reason.
    pub fn denials(&self) -> Denials {
        self.denials
    }

    fn apply_list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        if kind == ListKind::Failed {
            self.list_failures += 1;
            let pause = (LIST_PAUSES.0 * f64::from(1 << self.list_failures.min(8))).min(LIST_PAUSES.1);
            let at = self.now + INTERVAL.mul_f64(pause * (0.5 + self.random.draw()));
            self.list_request_at = self.settings.list_on_request.then_some(at);
            return;
        }
        self.list_failures = 0;
        if kind != ListKind::Delta {
            self.remove_unlisted(entries);
        }
        let drain_end = self.now + self.settings.rules.drain_grace.mul_f64(DRAIN_USE_SHARE);
        for entry in entries {
            let debt = MAX_INITIAL_DEBT * self.settings.units.mean * self.random.draw();
            let new_node = || Node::new(NodeEntry { started: None, ..entry.clone() }, &self.settings);
            let now = self.now;
            self.nodes.change_or_add(entry.node, new_node, |node| node.update(entry, now, drain_end, debt));
        }
    }

    /// Marks nodes that are missing from a whole list as gone.
    fn remove_unlisted(&mut self, entries: &[NodeEntry]) {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        let unlisted = self.nodes.iter().map(|node| node.entry.node).filter(|id| !listed.contains(id));
        for id in unlisted.collect::<Vec<_>>() {
            self.nodes.change(id, |node| node.entry.state = NodeState::Gone);
        }
    }

    /// Token buckets are first filled up to now at the rates of the old shares.
    fn apply_shares(&mut self, limits: &[(VolumeId, Option<f64>)], slow_start: &[(NodeId, Option<f64>)]) {
        for (id, share) in limits {
            if let Some(volume) = self.volumes.get_mut(id) {
                let old = limit_share(&self.settings, volume.plan_and_initiators, self.limit_shares.get(id));
                old.map(|(rate, burst)| volume.limit.fill(self.now, rate, burst));
            }
            match share {
                Some(share) => self.limit_shares.insert(*id, *share),
                None => self.limit_shares.remove(id),
            };
        }
        for (id, share) in slow_start {
            let rate = self.nodes.get(*id).map_or(0.0, |node| self.slow_start_rate(node));
            let now = self.now;
            self.nodes.change_figures(*id, |node| {
                node.slow_start.fill(now, rate, 0.0);
                node.slow_start_share = *share;
            });
        }
    }

    fn accept_request(&mut self, new: &NewRequest) {
        let class = &self.settings.classes[new.class];
        let wait = new.deadline.saturating_sub(self.now).min(class.deadline);
        self.longest_first_wait[new.class] = self.longest_first_wait[new.class].max(wait);
        let first_asked_at = self.now.min(new.deadline.saturating_sub(self.longest_first_wait[new.class]));
        self.accepted_times.push_back(self.now);
        if class.in_order && new.key != 0 {
            self.key_queues.entry(new.key).or_default().waiting.push_back(new.id);
        }
        let (position, plan) = (self.random.draw(), self.settings.plans.get(new.plan));
        let volume = || Volume::new(plan, new.volume_initiators, self.now, position);
        let volume = self.volumes.entry(new.volume).or_insert_with(volume);
        volume.asked.add(self.now, new.units, INTERVAL);
        volume.cached_demand.take();
        volume.position = (volume.position + GOLDEN_RATIO).fract();
        let position = volume.position;
        let spec = NewRequest { volume_initiators: new.volume_initiators.max(1.0), ..new.clone() };
        volume.plan_and_initiators = (spec.plan, spec.volume_initiators);
        self.enqueue(Request { spec, accepted_at: self.now, first_asked_at, position, ..Request::default() });
    }

    /// Queues a request for the nodes of its shard, or for any node.
    fn enqueue(&mut self, request: Request) {
        self.queue.push(request.queue_key(), request.spec.id);
        self.requests.insert(request.spec.id, request);
    }

    fn record_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some((node_id, sent)) = self.requests.get_mut(&end.id).and_then(|it| it.in_flight.take()) else {
            return;
        };
        let Some(mut request) = self.requests.remove(&end.id) else { return };
        let (now, settings) = (self.now, &self.settings);
        let served = self.nodes.change(node_id, |node| {
            node.in_flight.remove(&end.id);
            let is_served = end.outcome == Outcome::Served;
            let capacity_share = node.capacity_share(now, &settings.rules);
            if is_served {
                node.newest_answered = node.newest_answered.max(sent);
            }
            node.learn(now, end, settings);
            is_served.then_some((node.entry.shard, capacity_share))
        });
        if let Some((shard, capacity_share)) = served.flatten() {
            self.shard_rates.record(shard, request.spec.units / capacity_share);
        }
        self.update_level(node_id, end, request.spec.units);
        if let Some(volume) = self.volumes.get_mut(&request.spec.volume) {
            let base = self.settings.units.base_rates.get(request.spec.plan);
            volume.learn(self.now, end, request.spec.units, *base.unwrap_or(&0.0));
        }
        let not_run = matches!(end.outcome, Outcome::Rejected | Outcome::NotConnected | Outcome::NotSent);
        if !not_run && request.may_have_run.is_none() {
            let location = self.nodes.get(node_id).map_or((0, 0), |n| (n.entry.shard, n.entry.zone));
            request.may_have_run = Some((location.0, location.1, sent));
        }
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown) {
            let until = self.now + self.settings.rules.key_settle_time;
            self.key_queues.entry(request.spec.key).and_modify(|queue| queue.settle_until = until);
        }
        if end.outcome == Outcome::Served && end.finished {
            let latency = &mut self.classes[request.spec.class].latency;
            *latency = (latency.0 + self.now.saturating_sub(request.first_asked_at), latency.1 + 1.0);
        }
        let may_have_run = request.may_have_run.map(|(_, _, sent)| sent);
        if end.finished || request.finished {
            self.leave_key_queue(&request.spec);
        } else if end.outcome == Outcome::NotSent || !self.repeatable(&request, may_have_run) {
            self.deny(&request, Reason::NotRepeatable, actions);
            self.leave_key_queue(&request.spec);
        } else {
            self.enqueue(request);
        }
    }

    fn client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        if request.in_flight.is_some() {
            if self.settings.limits.allow_cancel && !request.streaming {
                actions.push(Action::Cancel { id, attempt: request.attempts - 1 });
            }
        } else if let Some(request) = self.requests.remove(&id) {
            self.queue.remove(request.queue_key(), id);
            self.leave_key_queue(&request.spec);
        }
    }
}

impl Scheduler {
    /// Runs the controllers, the arbiter and the node allocator once an interval.
    fn run_controllers(&mut self) {
        let start = *self.interval_start.get_or_insert(self.now);
        if self.now.saturating_sub(start) < INTERVAL {
            return;
        }
        self.interval_start = Some(self.now);
        // Unlike in the paper, the cap is the sum of the nodes' depths, so it falls when all latencies rise.
        let total = self.nodes.usable().map(|node| node.depth).sum::<f64>().max(1.0);
        for (class, control) in self.settings.classes.iter().zip(&mut self.classes) {
            control.update_request(total, class.latency_target);
        }
        self.arbitrate(total);
        self.allocate_nodes(total);
        self.shard_rates.learn(self.now, self.now - start, &self.nodes, &self.settings.rules);
        self.prune();
    }

    /// Adds the time since the last call to each node's demand, for each request in flight or queued there.
    fn integrate_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.now).min(INTERVAL).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        for id in self.nodes.busy_ids() {
            self.nodes.change_figures(id, |node| {
                for attempt in node.in_flight.values() {
                    node.demand[attempt.class] += elapsed;
                }
            });
        }
        for (key, queued) in self.queue.by_key() {
            let Some(shard) = key else { continue };
            for id in self.nodes.of_shard(shard).collect::<Vec<_>>() {
                let classes = queued.iter().map(|request| self.requests[request].spec.class);
                self.nodes.change_figures(id, |node| classes.for_each(|class| node.demand[class] += elapsed));
            }
        }
    }

    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let interval = self.interval_start.unwrap_or(self.now) + INTERVAL;
        let check = self.now + if self.requests.is_empty() { INTERVAL } else { self.check_interval };
        let next = interval.min(check).min(self.list_request_at.unwrap_or(interval));
        let next = next.max(self.now + self.settings.tick);
        if self.wake_at.is_none_or(|at| next < at) {
            actions.push(Action::WakeAt(*self.wake_at.insert(next)));
        }
    }
}

fn highest_worth(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.worth).fold(f64::MIN_POSITIVE, f64::max)
}

/// Units a second that volumes are sized for, per unit of weight.
fn rate_by_weight(settings: &Settings) -> f64 {
    let weights: f64 = settings.plans.iter().map(|plan| plan.weight).sum();
    settings.units.base_rates.iter().sum::<f64>() / weights
}

fn top_level(settings: &Settings) -> f64 {
    let class = settings.classes.iter().map(|class| class.worth).fold(f64::INFINITY, f64::min);
    let price = settings.plans.iter().map(|plan| plan.worth_factor).fold(1.0, f64::min);
    (TOP_LEVEL_DEPTH * highest_worth(settings) / (class * price * settings.units.share_worth)).ln()
}

fn min_latency_target(settings: &Settings) -> Duration {
    settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(INTERVAL)
}

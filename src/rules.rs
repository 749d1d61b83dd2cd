//! Every decision of topazpath: constants, state, event intake, the three layers of the design, dispatch,
//! rule guards, health. Types are in `src/interface.rs`; docs/design.md says what was kept and changed.

pub mod carry;
pub mod reconfigure;

use crate::interface::*;
use crate::quantity::{Fading, Store};
use crate::random::Random;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Control interval (the design's two seconds; the paper's as well).
const INTERVAL: Duration = Duration::from_secs(2);
/// Intervals that a slope is fitted over (the design's).
const FIT_INTERVALS: usize = 5;
/// Largest move of a class's normalized bound in one interval (the paper's l).
const BOUND_STEP: f64 = 0.05;
/// Halvings of the arbiter's bisection: finer than slots.
const BISECTIONS: usize = 40;
/// Upper bound of a host's requests out at one node (the design's default of the host cap per node).
const NODE_DEPTH: f64 = 8.0;
/// Hosts that may each begin with half of that bound; more hosts share what so many begin with.
const HANDFUL: f64 = 5.0;
/// Part of the tightest aim that may pass inside a node; the rest is for waiting here, in a chosen order.
const NODE_TIME_SHARE: f64 = 1.0 / 6.0;
/// Weight of one outcome in a node's smoothed figures: an eighth, as TCP smooths round trips.
const SMOOTHING: f64 = 1.0 / 8.0;
/// Deviations beyond the smoothed latency that are still usual, as in TCP's retransmission time-out.
const USUAL_DEVIATIONS: u32 = 4;
/// Part of the tightest aim that an answer may take before fewer requests are let through to its node.
const ANSWER_SHARE: f64 = 1.0 / 3.0;
/// Above this share errors tell nothing of a node's speed; so far above the least, it gets no new objects.
const MORE_ERRORS: f64 = 0.25;
/// Weight in the levels of an answer that comes an aim or longer after the last.
const LEVEL_GAIN: f64 = 1.0 / 2.0;
/// Bounds of one answer's say (natural logarithm): falls are quick, a rise is tried slowly.
const LEVEL_SAY: (f64, f64) = (-2.0, 0.25);
/// A node's own level fades into that of all nodes as its answers age beyond this.
const LEVEL_MEMORY: Duration = INTERVAL.saturating_mul(FIT_INTERVALS as u32);
/// Least level (natural logarithm): one in eight of what is worth most goes on, so that news come.
const LEAST_LEVEL: f64 = -2.08;
/// The highest level bears this multiple of a volume's size of what is worth least.
const TOP_DEPTH: f64 = 3.0;
/// Step of places in a volume's demand: the golden ratio spreads any number of them evenly.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// What a request with the key sent last is taken to cost, against another: half, as the saving is unknown.
const REPEAT_COST: f64 = 0.5;
/// Least part of the cold rule's multiple for hosts: rates, each at least their mean, sum to twice a node's.
const COLD_MARGIN: f64 = 0.5;
/// Largest debt at a cold node, in mean requests: in the mean it is what is left of one at any time.
const DEBT: f64 = 2.0;
/// Part of a drain's grace in which a draining node is still used; the rest is for connecting.
const DRAIN_PART: f64 = 0.85;
/// Held requests are looked at again this often, as a part of the tightest aim.
const LOOKS_PER_AIM: f64 = 64.0;
/// First and longest pause after a failed list call, in control intervals.
const LIST_PAUSES: (f64, f64) = (0.5, 4.0);

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct Request {
    new: NewRequest,
    /// When it was taken, and when its client first asked, as far as its deadline tells.
    taken: Duration,
    asked: Duration,
    /// Its place in its volume's demand, between 0 and 1.
    place: f64,
    attempts: u32,
    /// Its attempt without an outcome: the node and when it was sent.
    out: Option<(NodeId, Duration)>,
    /// The first attempt that may have run: its node's shard and zone, and when it was sent.
    may_have_run: Option<(u32, u32, Duration)>,
    /// It has its final answer; it is kept while an attempt is out.
    finished: bool,
    streaming: bool,
    withdrawn: bool,
}

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct ClassControl {
    /// Normalized bound and last ask.
    bound: f64,
    ask: f64,
    /// Performance and bound in slots of past intervals.
    history: VecDeque<(f64, f64)>,
    /// Sum of latencies and count of the answers of this interval.
    latency: (Duration, f64),
}

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct Node {
    entry: NodeEntry,
    /// While it drains: until when it still gets what no other node holds.
    drain_end: Duration,
    out: BTreeMap<RequestId, Out>,
    /// Send time of the latest-sent attempt that was answered.
    answered: Duration,
    /// Depth that its latency allows this host.
    depth: f64,
    /// Smoothed latency and its deviation, once there were answers.
    latency: Option<(Duration, Duration)>,
    /// Failures in a row, when the next attempt may be made, and the smoothed share of errors in answers.
    failures: u32,
    blocked_until: Duration,
    errors: f64,
    /// Logarithm of its level against that of all nodes, as of when it last answered.
    level: Fading,
    /// While cold: what this host may send; a request may overdraw it. Its part, where planners say so.
    cold: Store,
    cold_share: Option<f64>,
    last_key: u64,
    /// Per class: slots, and the integral over this interval of what was held and out.
    bounds: Vec<usize>,
    demand: Vec<f64>,
}

/// What a shard serves this host, over the nodes that hold it one after another.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct Power {
    /// Smoothed units a second, the intervals it is smoothed over, and units of this interval.
    rate: f64,
    intervals: f64,
    served: f64,
    at: Duration,
}

#[derive(Clone, Copy, serde::Serialize, serde::Deserialize)]
struct Out {
    sent: Duration,
    class: usize,
    units: f64,
}

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct Volume {
    limit: Store,
    /// Plan and hosts, as its last request said.
    terms: (usize, f64),
    /// Asked of and served by this host, served through others where answers tell.
    asked: Fading,
    served: Fading,
    elsewhere: Fading,
    /// Use over all hosts as last told, units a second.
    told: f64,
    place: f64,
    /// What it asks for over all hosts, as reckoned last, and when: many held requests are ranked by it.
    #[serde(skip)]
    reckoned: Cell<Option<(Duration, f64)>>,
}

#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct KeyLine {
    /// In the order taken: those unfinished or with an attempt out.
    waiting: VecDeque<RequestId>,
    rest_until: Duration,
    /// The last to have had an attempt: it need not wait for the rest.
    turn: Option<RequestId>,
}

/// The decisions of one host.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
pub struct Scheduler {
    settings: Settings,
    now: Duration,
    #[serde(skip)]
    late: Duration,
    random: Random,
    classes: Vec<ClassControl>,
    nodes: BTreeMap<NodeId, Node>,
    requests: FxHashMap<RequestId, Request>,
    powers: BTreeMap<u32, Power>,
    /// Held requests by shard; those of new objects under none.
    held: BTreeMap<Option<u32>, Vec<RequestId>>,
    volumes: FxHashMap<VolumeId, Volume>,
    /// This host's parts of limits, where planners say so.
    shares: BTreeMap<VolumeId, f64>,
    /// Logarithm of the level of need that nodes bear in the mean.
    level: f64,
    level_at: Duration,
    keys: BTreeMap<u64, KeyLine>,
    /// Times of requests taken and of further attempts, within the budget's window.
    taken: VecDeque<Duration>,
    further: VecDeque<Duration>,
    /// Largest first wait that clients of each class gave, within its deadline.
    try_wait: Vec<Duration>,
    ask_list_at: Option<Duration>,
    list_failures: u32,
    look: Duration,
    interval_start: Option<Duration>,
    wake_at: Option<Duration>,
    /// Nodes looked at so far.
    #[serde(skip)]
    visits: Cell<u64>,
}

impl Scheduler {
    /// A scheduler for one host. `seed` serves only to spread calls that hosts would make together.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let even = 1.0 / settings.classes.len().max(1) as f64;
        let class = |_: &Class| ClassControl { bound: even, ask: even, ..ClassControl::default() };
        Scheduler {
            random: Random::new(seed),
            classes: settings.classes.iter().map(class).collect(),
            level: top_level(&settings),
            look: tightest_aim(&settings).div_f64(LOOKS_PER_AIM).max(settings.tick),
            try_wait: vec![Duration::ZERO; settings.classes.len()],
            ask_list_at: settings.list_on_request.then_some(Duration::ZERO),
            settings,
            ..Scheduler::default()
        }
    }

    /// Nodes that were looked at since the start: what decisions cost, whatever machine they run on.
    pub fn nodes_visited(&self) -> u64 {
        self.visits.get()
    }

    fn visit<T>(&self, _: &T) {
        self.visits.set(self.visits.get() + 1);
    }

    /// Takes what has happened up to `now` and adds what is to be done.
    pub fn handle(&mut self, now: Duration, events: &[Event], actions: &mut Vec<Action>) {
        self.integrate_demand(now);
        self.now = now;
        self.wake_at = self.wake_at.filter(|at| *at > now);
        for event in events {
            match event {
                Event::List { kind, entries } => self.take_list(*kind, entries),
                Event::Request(new) => self.take_request(new),
                Event::AttemptEnded(end) => self.take_outcome(end, actions),
                Event::StreamStarted { id } => {
                    self.requests.entry(*id).and_modify(|request| request.streaming = true);
                }
                Event::ClientGone { id } => self.client_gone(*id, actions),
                Event::Shares { limits, cold } => self.take_shares(limits, cold),
                Event::Late { by } => self.late = *by,
                Event::Wake => {}
            }
        }
        if self.ask_list_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.control();
        self.give_up(actions);
        self.withdraw_overtaken(actions);
        self.dispatch(actions);
        self.ask_to_wake(actions);
    }

    fn take_list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        if kind == ListKind::Failed {
            self.list_failures += 1;
            let pause = (LIST_PAUSES.0 * f64::from(1 << self.list_failures.min(8))).min(LIST_PAUSES.1);
            let at = self.now + INTERVAL.mul_f64(pause * (0.5 + self.random.draw()));
            self.ask_list_at = self.settings.list_on_request.then_some(at);
            return;
        }
        self.list_failures = 0;
        if kind != ListKind::Delta {
            let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
            let unlisted = self.nodes.values_mut().filter(|node| !listed.contains(&node.entry.node));
            unlisted.for_each(|node| node.entry.state = NodeState::Gone);
        }
        for entry in entries {
            let debt = DEBT * self.settings.units.mean * self.random.draw();
            let unheard = || Node::new(NodeEntry { started: None, ..entry.clone() }, &self.settings);
            let node = self.nodes.entry(entry.node).or_insert_with(unheard);
            if entry.started > node.entry.started {
                (node.latency, node.failures, node.blocked_until) = (None, 0, Duration::ZERO);
                node.level = Fading::default();
                // Hosts begin at a node with a debt each of its own: else all send at once while it is cold.
                node.cold = Store { level: -debt, at: self.now };
            }
            let grace = self.settings.rules.drain_grace.mul_f64(DRAIN_PART);
            match (node.entry.state, entry.state) {
                (NodeState::Ready, NodeState::Draining) => node.drain_end = self.now + grace,
                (_, NodeState::Draining) => {}
                _ => node.drain_end = Duration::ZERO,
            }
            node.entry = entry.clone();
        }
    }

    /// What has come in so far came by the parts before.
    fn take_shares(&mut self, limits: &[(VolumeId, Option<f64>)], cold: &[(NodeId, Option<f64>)]) {
        for (id, share) in limits {
            if let Some(volume) = self.volumes.get_mut(id) {
                let part = limit_part(&self.settings, volume.terms, self.shares.get(id));
                part.map(|(rate, burst)| volume.limit.fill(self.now, rate, burst));
            }
            match share {
                Some(share) => self.shares.insert(*id, *share),
                None => self.shares.remove(id),
            };
        }
        for (id, share) in cold {
            let rate = self.nodes.get(id).map_or(0.0, |node| self.cold_rate(node));
            if let Some(node) = self.nodes.get_mut(id) {
                node.cold.fill(self.now, rate, 0.0);
                node.cold_share = *share;
            }
        }
    }

    fn take_request(&mut self, new: &NewRequest) {
        let class = &self.settings.classes[new.class];
        let wait = new.deadline.saturating_sub(self.now).min(class.deadline);
        self.try_wait[new.class] = self.try_wait[new.class].max(wait);
        let asked = self.now.min(new.deadline.saturating_sub(self.try_wait[new.class]));
        self.taken.push_back(self.now);
        if class.in_order && new.key != 0 {
            self.keys.entry(new.key).or_default().waiting.push_back(new.id);
        }
        let (place, plan) = (self.random.draw(), self.settings.plans.get(new.plan));
        let volume = || Volume::new(plan, new.volume_hosts, self.now, place);
        let volume = self.volumes.entry(new.volume).or_insert_with(volume);
        volume.asked.add(self.now, new.units, INTERVAL);
        volume.reckoned.take();
        volume.place = (volume.place + GOLDEN).fract();
        let place = volume.place;
        let new = NewRequest { volume_hosts: new.volume_hosts.max(1.0), ..new.clone() };
        volume.terms = (new.plan, new.volume_hosts);
        self.hold(Request { new, taken: self.now, asked, place, ..Request::default() });
    }

    /// Holds a request for the node of its shard; a new object for the first node with room.
    fn hold(&mut self, request: Request) {
        let shard = request.new.shard.or(request.may_have_run.map(|(shard, _, _)| shard));
        self.held.entry(shard).or_default().push(request.new.id);
        self.requests.insert(request.new.id, request);
    }

    /// Takes requests out of what is held; a lane without any is none.
    fn release(&mut self, over: impl Fn(&RequestId) -> bool) {
        self.held.values_mut().for_each(|lane| lane.retain(|id| !over(id)));
        self.held.retain(|_, lane| !lane.is_empty());
    }

    fn take_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some((node_id, sent)) = self.requests.get_mut(&end.id).and_then(|it| it.out.take()) else {
            return;
        };
        let Some(mut request) = self.requests.remove(&end.id) else { return };
        if let Some(node) = self.nodes.get_mut(&node_id) {
            node.out.remove(&end.id);
            if end.outcome == Outcome::Served {
                node.answered = node.answered.max(sent);
                let warm = request.new.units / node.warmth(self.now, &self.settings.rules);
                self.powers.entry(node.entry.shard).or_default().served += warm;
            }
            node.learn(self.now, end, &self.settings);
        }
        self.learn_level(node_id, end, request.new.units);
        if let Some(volume) = self.volumes.get_mut(&request.new.volume) {
            let base = self.settings.units.base_rates.get(request.new.plan);
            volume.learn(self.now, end, request.new.units, *base.unwrap_or(&0.0));
        }
        let proven_idle = matches!(end.outcome, Outcome::Full | Outcome::NotConnected | Outcome::Moot);
        if !proven_idle && request.may_have_run.is_none() {
            let place = self.nodes.get(&node_id).map_or((0, 0), |n| (n.entry.shard, n.entry.zone));
            request.may_have_run = Some((place.0, place.1, sent));
        }
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown) {
            let rest = self.now + self.settings.rules.order_settle;
            self.keys.entry(request.new.key).and_modify(|line| line.rest_until = rest);
        }
        if end.outcome == Outcome::Served && end.finished {
            let latency = &mut self.classes[request.new.class].latency;
            *latency = (latency.0 + self.now.saturating_sub(request.asked), latency.1 + 1.0);
        }
        let ran = request.may_have_run.map(|(_, _, sent)| sent);
        if end.finished || request.finished {
            self.leave_line(&request.new);
        } else if end.outcome == Outcome::Moot || !self.repeatable(&request, ran) {
            self.answer_no(&request, actions);
            self.leave_line(&request.new);
        } else {
            self.hold(request);
        }
    }

    fn client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        if request.out.is_some() {
            if self.settings.limits.cancel && !request.streaming {
                actions.push(Action::Cancel { id, attempt: request.attempts - 1 });
            }
        } else if let Some(request) = self.requests.remove(&id) {
            self.release(|held| *held == id);
            self.leave_line(&request.new);
        }
    }
}

impl ClassControl {
    /// Model estimator: the slope β of performance against slots over the last intervals, by least squares.
    fn refit(&self) -> Option<f64> {
        let steps = self.history.iter().zip(self.history.iter().skip(1));
        let (xy, xx) = steps.fold((0.0, 0.0), |(xy, xx), (before, after)| {
            let (dy, du) = (after.0 - before.0, after.1 - before.1);
            (xy + dy * du, xx + du * du)
        });
        (xx > 0.0 && xy > 0.0).then(|| xy / xx)
    }

    /// Requirement estimator: the bound that meets the aim, near the last; without slope or answers the last.
    fn ask(&mut self, total: f64, aim: Duration) {
        let (sum, answers) = std::mem::take(&mut self.latency);
        if answers == 0.0 {
            return;
        }
        let performance = aim.as_secs_f64() * answers / sum.as_secs_f64().max(f64::MIN_POSITIVE);
        self.history.push_back((performance, self.bound * total));
        self.history.drain(..self.history.len().saturating_sub(FIT_INTERVALS + 1));
        if let Some(slope) = self.refit() {
            let wanted = self.bound + (1.0 - performance) / (slope * total);
            self.ask = wanted.clamp(self.bound - BOUND_STEP, self.bound + BOUND_STEP).clamp(0.0, 1.0);
        }
    }

    /// Bound where worth × (1 − performance) equals `error`, near the last; without a slope in proportion.
    fn bound_at(&self, error: f64, worth: f64, total: f64) -> f64 {
        let performance = self.history.back().map_or(1.0, |last| last.0);
        let slope = self.refit().map_or(performance / self.bound.max(BOUND_STEP), |slope| slope * total);
        let wanted = self.bound + (1.0 - error / worth - performance) / slope.max(f64::MIN_POSITIVE);
        wanted.clamp(self.bound - BOUND_STEP, self.bound + BOUND_STEP).max(0.0)
    }
}

impl Scheduler {
    /// Runs the controllers, the arbiter and the node allocator once an interval.
    fn control(&mut self) {
        let start = *self.interval_start.get_or_insert(self.now);
        if self.now.saturating_sub(start) < INTERVAL {
            return;
        }
        self.interval_start = Some(self.now);
        // Departure: the host cap is the depths that listed nodes bear, so it answers a shared latency rise.
        let total = self.ready().map(|node| node.depth).sum::<f64>().max(1.0);
        for (class, control) in self.settings.classes.iter().zip(&mut self.classes) {
            control.ask(total, class.aim);
        }
        self.arbitrate(total);
        self.allocate_nodes(total);
        self.learn_powers(self.now - start);
        self.forget();
    }

    /// What a shard serves this host when warm. What a cold node served is set against its warmth, and weighs
    /// less by it: hosts' figures sum to what it serves. The figure stands while no node serves the shard.
    fn learn_powers(&mut self, interval: Duration) {
        let shards = self.nodes.values().map(|node| node.entry.shard);
        shards.for_each(|shard| self.powers.entry(shard).or_default().at = self.now);
        for (shard, power) in &mut self.powers {
            let rate = std::mem::take(&mut power.served) / interval.as_secs_f64();
            let ready = self.nodes.values().filter(|node| node.entry.shard == *shard && node.is_ready());
            let warmths = ready.map(|node| node.warmth(self.now, &self.settings.rules));
            if let Some(warmth) = warmths.reduce(f64::max) {
                power.intervals = (power.intervals + warmth).min(1.0 / SMOOTHING);
                power.rate += (rate - power.rate) * warmth / power.intervals;
            }
        }
    }

    /// Arbiter: asks that fit are granted and the spare dealt out by worth; else the errors are evened.
    fn arbitrate(&mut self, total: f64) {
        let worths: Vec<f64> = self.settings.classes.iter().map(|class| class.worth.max(1e-9)).collect();
        let asked: f64 = self.classes.iter().map(|class| class.ask).sum();
        if asked <= 1.0 {
            let all: f64 = worths.iter().sum();
            for (class, worth) in self.classes.iter_mut().zip(&worths) {
                class.bound = class.ask + (1.0 - asked) * worth / all;
            }
            return;
        }
        let target = self.classes.iter().map(|class| class.bound + BOUND_STEP).sum::<f64>().min(1.0);
        let bounds = |error: f64| -> Vec<f64> {
            let with_worth = self.classes.iter().zip(&worths);
            with_worth.map(|(class, worth)| class.bound_at(error, *worth, total)).collect()
        };
        let highest = worths.iter().copied().fold(1.0, f64::max);
        let best = self.classes.iter().filter_map(|it| it.history.back()).map(|it| it.0).fold(1.0, f64::max);
        let reach = highest * (1.0 + best) * BISECTIONS as f64;
        let (mut low, mut high) = (-reach, reach);
        for _ in 0..BISECTIONS {
            let middle = (low + high) / 2.0;
            let over = bounds(middle).iter().sum::<f64>() > target;
            *(if over { &mut low } else { &mut high }) = middle;
        }
        for (class, bound) in bounds(high).into_iter().enumerate() {
            self.classes[class].bound = bound;
        }
    }

    /// Node allocator: a class's bound over the nodes by its mean held-plus-out count there, at least one.
    fn allocate_nodes(&mut self, total: f64) {
        let ready: Vec<NodeId> = self.ready().map(|node| node.entry.node).collect();
        for (class, control) in self.classes.iter().enumerate() {
            let demand: f64 = ready.iter().map(|id| self.nodes[id].demand[class]).sum();
            for id in &ready {
                let Some(node) = self.nodes.get_mut(id) else { continue };
                let part = if demand > 0.0 { node.demand[class] / demand } else { 1.0 / ready.len() as f64 };
                node.bounds[class] = ((control.bound * total * part).ceil() as usize).max(1);
            }
        }
        self.nodes.values_mut().for_each(|node| node.demand.fill(0.0));
    }

    /// Drops what no rule needs any more.
    fn forget(&mut self) {
        let now = self.now;
        let window = self.settings.rules.budget.map_or(Duration::ZERO, |budget| budget.window) + INTERVAL;
        self.taken.retain(|at| *at + window > now);
        self.further.retain(|at| *at + window > now);
        self.keys.retain(|_, line| !line.waiting.is_empty() || line.rest_until >= now);
        self.powers.retain(|_, power| now.saturating_sub(power.at) < LEVEL_MEMORY + self.settings.rules.cold);
        self.nodes.retain(|_, node| node.entry.state != NodeState::Gone || !node.out.is_empty());
        // Figures that let nothing through would never change again.
        let (aim, old) = (tightest_aim(&self.settings), now.saturating_sub(2 * LEVEL_MEMORY));
        let stuck = |it: &&mut Node| it.out.is_empty() && it.quick_answer() > aim && it.level.at < old;
        self.nodes.values_mut().filter(stuck).for_each(|node| node.latency = None);
        // A volume that comes again starts its limit as at a restart, with less than it had.
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        self.volumes.retain(|_, volume| now.saturating_sub(volume.asked.at) < longest + LEVEL_MEMORY);
    }

    fn ready(&self) -> impl Iterator<Item = &Node> {
        let nodes = self.nodes.values().inspect(|node| self.visit(node));
        nodes.filter(|node| node.is_ready() || self.is_last(node))
    }

    /// Whether a draining node is the last of its shard, told to drain just now: it still gets what it holds.
    fn is_last(&self, node: &Node) -> bool {
        let holds = |other: &Node| other.is_ready() && other.entry.shard == node.entry.shard;
        self.now < node.drain_end && !self.nodes.values().inspect(|node| self.visit(node)).any(holds)
    }

    fn integrate_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.now).min(INTERVAL).as_secs_f64();
        self.visits.set(self.visits.get() + self.nodes.len() as u64);
        for node in self.nodes.values_mut().filter(|_| elapsed > 0.0) {
            node.out.values().for_each(|out| node.demand[out.class] += elapsed);
            let held = self.held.get(&Some(node.entry.shard)).into_iter().flatten();
            held.for_each(|id| node.demand[self.requests[id].new.class] += elapsed);
        }
    }

    /// Fills nodes with work, the shortest wait first, so that none waits behind one that is silent or slow.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let wait = |node: &Node| {
            let held = self.held.get(&Some(node.entry.shard)).map_or(0, Vec::len);
            (held + node.out.len() + 1) as f64
                * node.latency.map_or(tightest_aim(&self.settings), |(mean, _)| mean).as_secs_f64()
        };
        let held = |shard| self.held.contains_key(&None) || self.held.contains_key(&Some(shard));
        let with_work = self.ready().filter(|node| held(node.entry.shard));
        let mut order: Vec<_> = with_work.map(|node| (wait(node), node.entry.node)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let least = self.ready().map(|node| node.errors).fold(1.0, f64::min);
        for (_, id) in order {
            while let Some(request) = self.choose(id, least) {
                self.send(request, id, actions);
            }
        }
    }

    /// The request to send to a node next: by need, classes below their bound first (unused slots are lent).
    fn choose(&self, id: NodeId, least: f64) -> Option<RequestId> {
        let node = &self.nodes[&id];
        if self.now < node.blocked_until || !self.has_room(node) {
            return None;
        }
        let level = self.level_of(node);
        let rank = |id: &RequestId| {
            let (request, need) = (&self.requests[id], self.need(&self.requests[id], node));
            if need > level || !self.permitted(request, node) {
                return None;
            }
            let out = node.out.values().filter(|out| out.class == request.new.class).count();
            Some((out < node.bounds[request.new.class], -need, *id))
        };
        // A node that leaves gets no new objects, nor does one that answers with errors, however quickly.
        let fixed = node.entry.fixed || !node.is_ready() || node.errors > least + MORE_ERRORS;
        let lanes = [Some(node.entry.shard), None].into_iter().take(2 - usize::from(fixed));
        let best = lanes.filter_map(|shard| self.held.get(&shard)).flatten().filter_map(rank);
        best.max_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2))).map(|best| best.2)
    }

    /// How deep a request lies in its volume's demand, against what it is worth for its work.
    fn need(&self, request: &Request, node: &Node) -> f64 {
        let units = &self.settings.units;
        let class = &self.settings.classes[request.new.class];
        let late = self.is_late(request, node);
        let mut worth =
            class.worth / highest_worth(&self.settings) * if late { class.late_worth } else { 1.0 };
        if request.attempts == 0 && request.new.key != 0 && request.new.key == node.last_key {
            worth /= REPEAT_COST;
        }
        let Some(plan) = self.settings.plans.get(request.new.plan) else { return 1.0 / worth };
        let demand = self.volumes[&request.new.volume].demand(self.now, units.largest);
        // Where no size is stated, a volume's own demand serves as it.
        let base = units.base_rates.get(request.new.plan).copied().filter(|base| *base > 0.0);
        // A late one lies below all that its volume's size holds in time.
        let depth = request.place * demand + if late { base.unwrap_or(demand) } else { 0.0 };
        worth *= plan.price;
        if depth <= plan.reserve {
            return depth / base.unwrap_or(demand) / worth;
        }
        let share = plan.weight * rate_by_weight(&self.settings);
        let size = if share > 0.0 { share } else { base.unwrap_or(demand) };
        depth / size.max(f64::MIN_POSITIVE) / (worth * units.share_worth)
    }

    fn level_of(&self, node: &Node) -> f64 {
        (self.level + node.level.now(self.now, LEVEL_MEMORY)).max(LEAST_LEVEL).exp()
    }

    /// Levels follow the time that answers take (many hosts, surges, slow nodes: iaf9229, i44241e, ifab359).
    fn learn_level(&mut self, node: NodeId, end: &AttemptEnd, units: f64) {
        let (top, aim) = (top_level(&self.settings), tightest_aim(&self.settings));
        let say = match end.outcome {
            Outcome::Error if self.nodes.get(&node).is_some_and(|node| node.errors > MORE_ERRORS) => return,
            Outcome::Served | Outcome::Error => {
                let size = (units / self.settings.units.mean.max(f64::MIN_POSITIVE)).max(1.0);
                let ratio = aim.div_duration_f64(end.latency) * ANSWER_SHARE * size;
                ratio.ln().clamp(LEVEL_SAY.0, LEVEL_SAY.1)
            }
            Outcome::Full if end.attempt > 0 => return,
            Outcome::Cancelled if end.finished => return, // Its client went: that tells nothing.
            Outcome::Full | Outcome::TimedOut | Outcome::Cancelled => LEVEL_SAY.0,
            _ => return,
        };
        let Some(node) = self.nodes.get_mut(&node) else { return };
        let gain = |last| LEVEL_GAIN * (1.0 - (-self.now.saturating_sub(last).div_duration_f64(aim)).exp());
        let common = self.level + gain(self.level_at) * say.max(-4.0 * LEVEL_SAY.1);
        (self.level, self.level_at) = (common.clamp(LEAST_LEVEL, top), self.now);
        let own = node.level.now(self.now, LEVEL_MEMORY) + gain(node.level.at) * say;
        let own = own.clamp(LEAST_LEVEL - self.level, top - LEAST_LEVEL - self.level);
        node.level = Fading { value: own, at: self.now };
    }

    fn is_late(&self, request: &Request, node: &Node) -> bool {
        self.now + node.quick_answer() > request.asked + self.settings.classes[request.new.class].aim
    }

    fn send(&mut self, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        self.release(|held| *held == id);
        let cold_rate = self.cold_rate(&self.nodes[&node_id]);
        let limit = self.limit_part(&self.requests[&id]);
        let (Some(request), Some(node)) = (self.requests.get_mut(&id), self.nodes.get_mut(&node_id)) else {
            return;
        };
        let new = &request.new;
        let (class, ran) = (&self.settings.classes[new.class], request.may_have_run);
        let window = ran.filter(|_| matches!(class.effect, Effect::Keyed(_))).map(|ran| ran.2 + class.window);
        let begin_by = window.map_or(new.deadline, |end| end.min(new.deadline));
        if let (Some((rate, burst)), Some(volume)) = (limit, self.volumes.get_mut(&new.volume)) {
            volume.limit.fill(self.now, rate, burst);
            volume.limit.level -= new.units;
        }
        self.further.extend((request.attempts > 0).then_some(self.now));
        self.keys.entry(new.key).and_modify(|line| line.turn = Some(id));
        if node.cold_until(&self.settings.rules) > self.now {
            node.cold.fill(self.now, cold_rate, 0.0);
            node.cold.level -= new.units;
        }
        (request.attempts, request.streaming) = (request.attempts + 1, false);
        request.out = Some((node_id, self.now));
        node.out.insert(id, Out { sent: self.now, class: new.class, units: new.units });
        node.last_key = new.key;
        actions.push(Action::Send { id, node: node_id, give_up_at: new.deadline, begin_by });
    }

    /// Final answers for held requests that no value would reach in time, or past half of theirs (ieb05fd).
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        let margin = self.look + self.settings.tick;
        let mut over = Vec::new();
        for (shard, lane) in &self.held {
            let nodes = self.ready().filter(|node| shard.is_none_or(|shard| shard == node.entry.shard));
            let quick = nodes.map(Node::quick_answer).min().unwrap_or_default().max(margin);
            over.extend(lane.iter().filter(|id| {
                let Request { new, taken, attempts, .. } = &self.requests[id];
                let half = (*taken + new.deadline) / 2;
                new.deadline <= self.now + quick || (*attempts == 0 && half <= self.now + margin)
            }));
        }
        over.extend(self.too_many());
        self.release(|id| over.contains(id));
        for id in over {
            let Some(request) = self.requests.remove(&id) else { continue };
            self.answer_no(&request, actions);
            self.leave_line(&request.new);
        }
    }

    /// The deepest in need of what is held beyond the most (r7b0367: clients with no connection left).
    fn too_many(&self) -> Vec<RequestId> {
        let mut held: Vec<RequestId> = self.held.values().flatten().copied().collect();
        let most = self.settings.limits.most_held.unwrap_or(usize::MAX).min(held.len());
        let node = |at: Option<u32>| self.ready().find(|node| at.is_none_or(|it| it == node.entry.shard));
        let need = |it: &Request| node(it.new.shard).map_or(f64::MAX, |node| self.need(it, node));
        if most < held.len() {
            held.sort_by_cached_key(|id| need(&self.requests[id]).to_bits());
        }
        held.split_off(most)
    }

    /// Refuses a request where that is true to its effect, else fails it.
    fn answer_no(&self, request: &Request, actions: &mut Vec<Action>) {
        let id = request.new.id;
        let harmless = match self.settings.classes[request.new.class].effect {
            Effect::Safe | Effect::Keyed(Group::All) => true,
            Effect::Keyed(_) | Effect::Unsafe => request.may_have_run.is_none(),
        };
        actions.push(match harmless {
            true => Action::Refuse { id, retry_after: self.settings.limits.max_retry_after },
            false => Action::Fail { id },
        });
    }

    fn ask_to_wake(&mut self, actions: &mut Vec<Action>) {
        let interval = self.interval_start.unwrap_or(self.now) + INTERVAL;
        let look = self.now + if self.requests.is_empty() { INTERVAL } else { self.look };
        let next = interval.min(look).min(self.ask_list_at.unwrap_or(interval));
        let next = next.max(self.now + self.settings.tick);
        if self.wake_at.is_none_or(|at| next < at) {
            actions.push(Action::WakeAt(*self.wake_at.insert(next)));
        }
    }
}

fn highest_worth(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.worth).fold(f64::MIN_POSITIVE, f64::max)
}

/// Units a second that volumes are sized for, for each unit of weight.
fn rate_by_weight(settings: &Settings) -> f64 {
    let weights: f64 = settings.plans.iter().map(|plan| plan.weight).sum();
    settings.units.base_rates.iter().sum::<f64>() / weights
}

fn top_level(settings: &Settings) -> f64 {
    let class = settings.classes.iter().map(|class| class.worth).fold(f64::INFINITY, f64::min);
    let price = settings.plans.iter().map(|plan| plan.price).fold(1.0, f64::min);
    (TOP_DEPTH * highest_worth(settings) / (class * price * settings.units.share_worth)).ln()
}

fn tightest_aim(settings: &Settings) -> Duration {
    settings.classes.iter().map(|class| class.aim).min().unwrap_or(INTERVAL)
}

impl Scheduler {
    /// Whether the rules let a held request go to a node now.
    fn permitted(&self, request: &Request, node: &Node) -> bool {
        self.effect_permits(request, node)
            && self.turn_permits(request)
            && self.budget_permits(request)
            && self.limit_permits(request)
            && self.cold_permits(node)
    }

    /// Rule 2: repeats only where and while they are harmless.
    fn effect_permits(&self, request: &Request, node: &Node) -> bool {
        let Some((shard, zone, sent)) = request.may_have_run else { return true };
        let in_group = match self.settings.classes[request.new.class].effect {
            Effect::Keyed(Group::Zone) => node.entry.zone == zone,
            Effect::Keyed(Group::Shard) => node.entry.shard == shard,
            _ => true,
        };
        in_group && self.repeatable(request, Some(sent))
    }

    /// Whether a request may get another attempt at all, given when the first that may have run was sent.
    fn repeatable(&self, request: &Request, ran: Option<Duration>) -> bool {
        let class = &self.settings.classes[request.new.class];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed(_) => ran.is_none_or(|sent| self.now < sent + class.window),
            Effect::Unsafe => ran.is_none(),
        };
        harmless && request.attempts < self.settings.limits.max_attempts && self.now < request.new.deadline
    }

    /// Rule 5: requests with one key in the order taken, with a rest after an attempt that may still run.
    fn turn_permits(&self, request: &Request) -> bool {
        if !self.settings.classes[request.new.class].in_order || request.new.key == 0 {
            return true;
        }
        let Some(line) = self.keys.get(&request.new.key) else { return true };
        let first = line.waiting.front() == Some(&request.new.id);
        first && (self.now >= line.rest_until || line.turn == Some(request.new.id))
    }

    fn leave_line(&mut self, new: &NewRequest) {
        self.keys.entry(new.key).and_modify(|line| line.waiting.retain(|id| *id != new.id));
    }

    /// Rule 6: further attempts within the budget; a tick is left on either side of the window.
    fn budget_permits(&self, request: &Request) -> bool {
        let budget = self.settings.rules.budget.filter(|_| request.attempts > 0);
        let Some(budget) = budget else { return true };
        let (tick, start) = (self.settings.tick, self.now.saturating_sub(budget.window));
        let taken = self.taken.iter().rev().take_while(|at| **at > start + tick).count() as f64;
        let further = self.further.iter().rev().take_while(|at| **at + tick > start).count() as f64;
        further + 1.0 <= budget.free + budget.share * taken
    }

    /// Rule 7: this host's even part of the volume's limit. The burst holds two of the largest for each host.
    fn limit_permits(&self, request: &Request) -> bool {
        let mut store = self.volumes[&request.new.volume].limit;
        self.limit_part(request).is_none_or(|part| store.fill(self.now, part.0, part.1) >= request.new.units)
    }

    /// Rate and burst that a request's first attempt draws on.
    fn limit_part(&self, request: &Request) -> Option<(f64, f64)> {
        let NewRequest { plan, volume_hosts, volume, .. } = request.new;
        let part = limit_part(&self.settings, (plan, volume_hosts), self.shares.get(&volume));
        part.filter(|_| request.attempts == 0)
    }

    /// Rule 4: a cold node gets this host's part of what it always bears, or of its least present capacity.
    /// Idle hosts may all come at once: they keep half of what the rule puts down to chance for that.
    fn cold_permits(&self, node: &Node) -> bool {
        let (mut cold, rules, mean) = (node.cold, &self.settings.rules, self.settings.units.mean);
        let borne = (self.settings.units.cold_units / mean.max(f64::MIN_POSITIVE)).max(1.0);
        let kept = rules.fall.mul_f64(((borne.sqrt() + 1.0) / borne).min(1.0));
        let mut open = |rate: f64| {
            let paid = cold.fill(self.now, rate, f64::INFINITY);
            paid >= 0.0 && paid % mean.max(f64::MIN_POSITIVE) <= rate * kept.as_secs_f64()
        };
        node.cold_until(rules) <= self.now || open(self.cold_rate(node))
    }

    fn cold_rate(&self, node: &Node) -> f64 {
        let rules = &self.settings.rules;
        let even = 1.0 / f64::from(self.settings.hosts.max(1));
        let always = self.settings.units.cold_units * node.cold_share.unwrap_or(even);
        let all: f64 = self.powers.values().inspect(|power| self.visit(power)).map(|power| power.rate).sum();
        let mean = all / self.powers.len().max(1) as f64;
        let own = self.powers.get(&node.entry.shard).map_or(0.0, |power| power.rate);
        let capacity = own.max(mean) * node.warmth(self.now, rules);
        // Of many hosts few have work at a node at a time, and the spread of their sum falls with their root.
        let margin = (1.0 - even.sqrt()).max(COLD_MARGIN);
        (margin * rules.fall_multiple * capacity).max(always / rules.fall.as_secs_f64().max(0.001))
    }
}

/// A host's part of the limit of a volume with this plan and so many hosts: the even one unless told.
fn limit_part(settings: &Settings, (plan, hosts): (usize, f64), share: Option<&f64>) -> Option<(f64, f64)> {
    let limit = settings.plans.get(plan)?.limit?;
    let share = share.copied().unwrap_or(1.0 / hosts.max(1.0));
    Some((limit.rate * share, limit.burst * share))
}

impl Volume {
    /// The limit's store starts at this host's part of the slack, which bears that all hosts restart at once.
    fn new(plan: Option<&Plan>, hosts: f64, now: Duration, place: f64) -> Self {
        let start = plan.and_then(|plan| plan.limit).map_or(0.0, |limit| limit.slack.min(limit.burst));
        Volume { limit: Store { level: start / hosts.max(1.0), at: now }, place, ..Volume::default() }
    }

    fn learn(&mut self, now: Duration, end: &AttemptEnd, units: f64, base: f64) {
        self.reckoned.take();
        if end.outcome == Outcome::Served {
            self.served.add(now, units, INTERVAL);
            self.elsewhere.add(now, end.elsewhere.max(0.0), INTERVAL);
        }
        self.told = end.used.filter(|used| used.is_finite()).map_or(self.told, |used| used * base);
    }

    /// Units a second asked for over all hosts: told or seen served, raised as much as this host lacks.
    fn demand(&self, now: Duration, some: f64) -> f64 {
        let known = self.reckoned.get().filter(|(at, _)| *at == now).map(|(_, demand)| demand);
        let demand = known.unwrap_or_else(|| {
            let [asked, served, elsewhere] =
                [self.asked, self.served, self.elsewhere].map(|flow| flow.now(now, INTERVAL));
            (self.told.max(served + elsewhere) * (asked + some) / (served + some)).max(asked)
        });
        self.reckoned.set(Some((now, demand)));
        demand
    }
}

impl Scheduler {
    /// Whether a node may be sent more: overtaken and streaming hold no slot, overdue slow it down (i8370b0).
    fn has_room(&self, node: &Node) -> bool {
        let slow = |id: &RequestId| self.requests.get(id).is_some_and(|request| request.streaming);
        let (mut live, mut overdue, mut newest) = (0, 0, Duration::ZERO);
        for (_, out) in node.out.iter().filter(|(id, out)| !slow(id) && !self.overtaken(node, out)) {
            match self.overdue(node, out) {
                true => (overdue, newest) = (overdue + 1, newest.max(out.sent)),
                false => live += 1,
            }
        }
        if node.failures > 1 || overdue == 0 {
            let most = if node.failures > 1 { 1.0 } else { node.depth.floor().max(1.0) };
            return f64::from(live + overdue) < most;
        }
        let pause = self.usual_wait(node).mul_f64(f64::powi(2.0, overdue - 1));
        live == 0 && self.now.saturating_sub(newest) > pause && f64::from(overdue) < NODE_DEPTH
    }

    /// How long an answer of a mean request usually takes at most.
    fn usual_wait(&self, node: &Node) -> Duration {
        let usual = |(mean, deviation): (Duration, Duration)| mean + (deviation * USUAL_DEVIATIONS).max(mean);
        node.latency.map_or(tightest_aim(&self.settings), usual)
    }

    /// An attempt is overdue when it has been out for longer than usual for its size.
    fn overdue(&self, node: &Node, out: &Out) -> bool {
        let size = (out.units / self.settings.units.mean.max(f64::MIN_POSITIVE)).max(1.0);
        self.now.saturating_sub(out.sent) > self.usual_wait(node).mul_f64(size) + self.late
    }

    /// It is overtaken when the node has also answered a later one: its answer is lost, or it is far heavier.
    fn overtaken(&self, node: &Node, out: &Out) -> bool {
        node.answered > out.sent && self.overdue(node, out)
    }

    /// Withdraws first attempts that were overtaken, where another is allowed (answers that vanish, i8370b0).
    fn withdraw_overtaken(&mut self, actions: &mut Vec<Action>) {
        let cancel = self.settings.limits.cancel;
        let over = |(node, (id, out)): (&Node, (&RequestId, &Out))| {
            let it = self.requests.get(id).filter(|_| cancel && self.overtaken(node, out))?;
            let first = it.attempts == 1 && !it.withdrawn && !it.finished && !it.streaming;
            (first && self.repeatable(it, Some(out.sent)) && self.budget_permits(it)).then_some(*id)
        };
        let nodes = self.nodes.values().inspect(|node| self.visit(node));
        let out = nodes.flat_map(|node| node.out.iter().map(move |out| (node, out)));
        for id in out.filter_map(over).collect::<Vec<_>>() {
            actions.push(Action::Cancel { id, attempt: 0 });
            self.requests.entry(id).and_modify(|it| it.withdrawn = true);
        }
    }
}

impl Node {
    /// Hosts together begin with as many requests out at a node as a handful of them do, but one each.
    fn new(entry: NodeEntry, settings: &Settings) -> Self {
        let (bounds, demand) = (vec![1; settings.classes.len()], vec![0.0; settings.classes.len()]);
        let depth = NODE_DEPTH / 2.0 * (HANDFUL / f64::from(settings.hosts.max(1))).min(1.0);
        Node { entry, depth: depth.max(1.0), bounds, demand, ..Node::default() }
    }

    fn is_ready(&self) -> bool {
        self.entry.state == NodeState::Ready
    }

    fn quick_answer(&self) -> Duration {
        self.latency.map_or(Duration::ZERO, |(mean, deviation)| mean.saturating_sub(deviation))
    }

    fn cold_until(&self, rules: &Rules) -> Duration {
        self.entry.started.map_or(Duration::ZERO, |started| started + rules.cold)
    }

    /// Present capacity, as a part of that of a warm node: it grows evenly.
    fn warmth(&self, now: Duration, rules: &Rules) -> f64 {
        let age = self.entry.started.map_or(rules.cold, |started| now.saturating_sub(started));
        rules.cold_share + (1.0 - rules.cold_share) * age.div_duration_f64(rules.cold).min(1.0)
    }

    fn learn(&mut self, now: Duration, end: &AttemptEnd, settings: &Settings) {
        match end.outcome {
            Outcome::Served | Outcome::Error => {
                (self.failures, self.blocked_until) = (0, Duration::ZERO);
                self.errors += SMOOTHING * (f64::from(u8::from(end.outcome == Outcome::Error)) - self.errors);
                if end.outcome == Outcome::Error && self.errors > MORE_ERRORS {
                    return;
                }
                let (mean, deviation) = self.latency.unwrap_or((end.latency, end.latency / 2));
                let smooth = |a: Duration, b: Duration| a.mul_f64(1.0 - SMOOTHING) + b.mul_f64(SMOOTHING);
                let mean_now = smooth(mean, end.latency);
                self.latency = Some((mean_now, smooth(deviation, end.latency.abs_diff(mean))));
                // The hosts together keep one request more there, so that a freed slot finds work.
                let target = tightest_aim(settings).mul_f64(NODE_TIME_SHARE);
                let wanted =
                    self.depth * target.div_duration_f64(mean_now) + 1.0 / f64::from(settings.hosts.max(1));
                let binding = (self.out.len() + 1) as f64 >= self.depth.floor();
                if wanted < self.depth || binding {
                    self.depth += SMOOTHING * (wanted.min(2.0 * self.depth) - self.depth);
                }
                self.depth = self.depth.clamp(1.0, NODE_DEPTH);
            }
            Outcome::Full if end.attempt > 0 => {} // It may lie elsewhere: that tells nothing of the node.
            Outcome::Full | Outcome::NotConnected | Outcome::Reset => {
                let reset = end.outcome == Outcome::Reset;
                // Those that were out together are reset for one reason, and count once.
                let again = reset && now.saturating_sub(end.latency) < self.blocked_until;
                self.failures += u32::from(!again) + u32::from(end.outcome == Outcome::Full);
                self.depth = if reset { self.depth } else { (self.depth / 2.0).max(1.0) };
                let pause = settings.limits.connect_timeout * ((1 << self.failures.clamp(1, 6)) - 2) / 8;
                self.blocked_until = self.blocked_until.max(now + pause.min(INTERVAL));
            }
            Outcome::TimedOut if now.saturating_sub(end.latency) >= self.answered => self.failures += 2,
            _ => {} // A time-out that later answers have overtaken is its connection's fault.
        }
    }
}

//! The decisions of topazpath: the state of one scheduler and the intake of events. Types are in
//! `src/interface.rs`; docs/design.md says what of the paper was kept and changed. Each decision is a module
//! of its own: `classes` (controllers, arbiter and slots), `dispatch` (which request goes to which node),
//! `guards` (what the rules permit), `need` (levels), `overdue` (attempts that take too long),
//! `final_answers` (answers that no node gives). State is kept by `node_table`, `queue`, `shard_rates` and
//! `volume`.

pub mod carry;
mod classes;
mod dispatch;
mod final_answers;
mod guards;
mod need;
mod node;
mod node_table;
mod overdue;
mod queue;
pub mod reconfigure;
mod shard_rates;
mod volume;

pub use final_answers::Denials;

use crate::interface::*;
use crate::quantity::Store;
use crate::random::Random;
use classes::ClassControl;
use final_answers::Reason;
use node::Node;
use node_table::NodeTable;
use queue::{Lane, Queue};
use rustc_hash::FxHashMap;
use shard_rates::ShardRates;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use volume::{limit_part, Volume};

/// Control interval (the design's two seconds; the paper's as well).
const INTERVAL: Duration = Duration::from_secs(2);
/// Intervals that a slope is fitted over (the design's).
const FIT_INTERVALS: usize = 5;
/// Weight of one outcome in a node's smoothed figures: an eighth, as TCP smooths round trips (RFC 6298).
const SMOOTHING: f64 = 1.0 / 8.0;
/// A node's own level fades into that of all nodes as its answers age beyond this.
const LEVEL_MEMORY: Duration = INTERVAL.saturating_mul(FIT_INTERVALS as u32);
/// Least level (natural logarithm): one in eight of what is worth most goes on, so that news come.
const LEAST_LEVEL: f64 = -2.08;
/// The highest level bears this multiple of a volume's size of what is worth least.
const TOP_DEPTH: f64 = 3.0;
/// Step of places in a volume's demand: the golden ratio spreads any number of them evenly.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Largest debt at a node in slow start, in mean requests: in the mean it is what is left of one at any time.
const DEBT: f64 = 2.0;
/// Part of a drain's grace in which a draining node is still used; the rest is for connecting.
const DRAIN_PART: f64 = 0.85;
/// Queued requests are looked at again this often, as a part of the tightest aim.
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

impl Request {
    /// What it waits for: the shard that it names, or that of its first attempt.
    fn lane(&self) -> Lane {
        self.new.shard.or(self.may_have_run.map(|(shard, _, _)| shard))
    }
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
    nodes: NodeTable,
    requests: FxHashMap<RequestId, Request>,
    powers: ShardRates,
    held: Queue,
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
    #[serde(skip)]
    denials: Denials,
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
            nodes: NodeTable::new(tightest_aim(&settings)),
            settings,
            ..Scheduler::default()
        }
    }

    /// Takes what has happened up to `now` and adds what is to be done.
    pub fn handle(&mut self, now: Duration, events: &[Event], actions: &mut Vec<Action>) {
        self.integrate_demand(now);
        self.now = now;
        self.nodes.advance(now);
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
                Event::Shares { limits, slow_start } => self.take_shares(limits, slow_start),
                Event::LoopDelayed { by } => self.late = *by,
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
        self.nodes.check();
    }

    /// Nodes that were looked at since the start: what decisions cost, whatever machine they run on.
    pub fn nodes_visited(&self) -> u64 {
        self.nodes.visits()
    }

    /// Requests that were answered with no since the start, by reason.
    pub fn denials(&self) -> Denials {
        self.denials
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
            self.drop_unlisted(entries);
        }
        let drain_end = self.now + self.settings.rules.drain_grace.mul_f64(DRAIN_PART);
        for entry in entries {
            let debt = DEBT * self.settings.units.mean * self.random.draw();
            let unheard = || Node::new(NodeEntry { started: None, ..entry.clone() }, &self.settings);
            let now = self.now;
            self.nodes.change_or_add(entry.node, unheard, |node| node.list(entry, now, drain_end, debt));
        }
    }

    /// Who is not on a whole list is gone.
    fn drop_unlisted(&mut self, entries: &[NodeEntry]) {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        let unlisted = self.nodes.iter().map(|node| node.entry.node).filter(|id| !listed.contains(id));
        for id in unlisted.collect::<Vec<_>>() {
            self.nodes.change(id, |node| node.entry.state = NodeState::Gone);
        }
    }

    /// What has come in so far came by the parts before.
    fn take_shares(&mut self, limits: &[(VolumeId, Option<f64>)], slow_start: &[(NodeId, Option<f64>)]) {
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
        for (id, share) in slow_start {
            let rate = self.nodes.get(*id).map_or(0.0, |node| self.cold_rate(node));
            let now = self.now;
            self.nodes.change_figures(*id, |node| {
                node.cold.fill(now, rate, 0.0);
                node.cold_share = *share;
            });
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
        let volume = || Volume::new(plan, new.volume_initiators, self.now, place);
        let volume = self.volumes.entry(new.volume).or_insert_with(volume);
        volume.asked.add(self.now, new.units, INTERVAL);
        volume.reckoned.take();
        volume.place = (volume.place + GOLDEN).fract();
        let place = volume.place;
        let new = NewRequest { volume_initiators: new.volume_initiators.max(1.0), ..new.clone() };
        volume.terms = (new.plan, new.volume_initiators);
        self.hold(Request { new, taken: self.now, asked, place, ..Request::default() });
    }

    /// Queues a request for the nodes of its shard; a new object for the first node with room.
    fn hold(&mut self, request: Request) {
        self.held.push(request.lane(), request.new.id);
        self.requests.insert(request.new.id, request);
    }

    fn take_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some((node_id, sent)) = self.requests.get_mut(&end.id).and_then(|it| it.out.take()) else {
            return;
        };
        let Some(mut request) = self.requests.remove(&end.id) else { return };
        let (now, settings) = (self.now, &self.settings);
        let served = self.nodes.change(node_id, |node| {
            node.out.remove(&end.id);
            let is_served = end.outcome == Outcome::Served;
            let warmth = node.warmth(now, &settings.rules);
            if is_served {
                node.answered = node.answered.max(sent);
            }
            node.learn(now, end, settings);
            is_served.then_some((node.entry.shard, warmth))
        });
        if let Some((shard, warmth)) = served.flatten() {
            self.powers.served(shard, request.new.units / warmth);
        }
        self.learn_level(node_id, end, request.new.units);
        if let Some(volume) = self.volumes.get_mut(&request.new.volume) {
            let base = self.settings.units.base_rates.get(request.new.plan);
            volume.learn(self.now, end, request.new.units, *base.unwrap_or(&0.0));
        }
        let proven_idle = matches!(end.outcome, Outcome::Rejected | Outcome::NotConnected | Outcome::NotSent);
        if !proven_idle && request.may_have_run.is_none() {
            let place = self.nodes.get(node_id).map_or((0, 0), |n| (n.entry.shard, n.entry.zone));
            request.may_have_run = Some((place.0, place.1, sent));
        }
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::Unknown) {
            let rest = self.now + self.settings.rules.key_settle_time;
            self.keys.entry(request.new.key).and_modify(|line| line.rest_until = rest);
        }
        if end.outcome == Outcome::Served && end.finished {
            let latency = &mut self.classes[request.new.class].latency;
            *latency = (latency.0 + self.now.saturating_sub(request.asked), latency.1 + 1.0);
        }
        let ran = request.may_have_run.map(|(_, _, sent)| sent);
        if end.finished || request.finished {
            self.leave_line(&request.new);
        } else if end.outcome == Outcome::NotSent || !self.repeatable(&request, ran) {
            self.answer_no(&request, Reason::NotRepeatable, actions);
            self.leave_line(&request.new);
        } else {
            self.hold(request);
        }
    }

    fn client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        if request.out.is_some() {
            if self.settings.limits.allow_cancel && !request.streaming {
                actions.push(Action::Cancel { id, attempt: request.attempts - 1 });
            }
        } else if let Some(request) = self.requests.remove(&id) {
            self.held.remove(request.lane(), id);
            self.leave_line(&request.new);
        }
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
        let total = self.nodes.usable().map(|node| node.depth).sum::<f64>().max(1.0);
        for (class, control) in self.settings.classes.iter().zip(&mut self.classes) {
            control.ask(total, class.latency_target);
        }
        self.arbitrate(total);
        self.allocate_nodes(total);
        self.powers.learn(self.now, self.now - start, &self.nodes, &self.settings.rules);
        self.forget();
    }

    /// Drops what no rule needs any more.
    fn forget(&mut self) {
        let now = self.now;
        let window =
            self.settings.rules.retry_budget.map_or(Duration::ZERO, |budget| budget.window) + INTERVAL;
        self.taken.retain(|at| *at + window > now);
        self.further.retain(|at| *at + window > now);
        self.keys.retain(|_, line| !line.waiting.is_empty() || line.rest_until >= now);
        self.powers.forget_before(now.saturating_sub(LEVEL_MEMORY + self.settings.rules.slow_start_time));
        self.nodes.remove_gone();
        self.forget_stuck_latencies();
        // A volume that comes again starts its limit as at a restart, with less than it had.
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        self.volumes.retain(|_, volume| now.saturating_sub(volume.asked.at) < longest + LEVEL_MEMORY);
    }

    /// Figures that let nothing through would never change again.
    fn forget_stuck_latencies(&mut self) {
        let (aim, old) = (tightest_aim(&self.settings), self.now.saturating_sub(2 * LEVEL_MEMORY));
        let stuck = |it: &&Node| it.out.is_empty() && it.quick_answer() > aim && it.level.at < old;
        let ids: Vec<NodeId> = self.nodes.iter().filter(stuck).map(|node| node.entry.node).collect();
        for id in ids {
            self.nodes.change(id, |node| node.latency = None);
        }
    }

    /// Adds to each node's demand, by class, what was in flight there and queued for it since the last call.
    fn integrate_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.now).min(INTERVAL).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        for id in self.nodes.busy_ids() {
            self.nodes.change_figures(id, |node| {
                for out in node.out.values() {
                    node.demand[out.class] += elapsed;
                }
            });
        }
        for (lane, queued) in self.held.lanes() {
            let Some(shard) = lane else { continue };
            for id in self.nodes.of_shard(shard).collect::<Vec<_>>() {
                let classes = queued.iter().map(|request| self.requests[request].new.class);
                self.nodes.change_figures(id, |node| classes.for_each(|class| node.demand[class] += elapsed));
            }
        }
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
    let price = settings.plans.iter().map(|plan| plan.worth_factor).fold(1.0, f64::min);
    (TOP_DEPTH * highest_worth(settings) / (class * price * settings.units.share_worth)).ln()
}

fn tightest_aim(settings: &Settings) -> Duration {
    settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(INTERVAL)
}

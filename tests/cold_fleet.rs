//! Rule 4 at the size that operators expect: 460 hosts before a node of the size that 640,000 requests a second over 730
//! nodes need. Requests come at random times whether or not earlier ones were answered, so hosts hold many at a time.

mod common;

use common::cold::{capacity, warmth, worst};
use common::*;
use proptest::prelude::RngExt;
use proptest::test_runner::{RngAlgorithm, TestRng};
use std::collections::{BTreeMap, VecDeque};
use topazpath::interface::*;

const HOSTS: usize = 460;
/// Requests a second of the fleet for each node.
const RATE: f64 = 640_000.0 / 730.0;
/// Units of a request, in turn; the mean is what the settings state.
const SIZES: [f64; 4] = [1.0, 2.0, 1.0, 4.0];
const STEP: Duration = ms(10);
/// A node whose queue would take longer than this turns requests away, which count as sent to it.
const LONGEST_QUEUE: Duration = ms(300);
const SHARD: u32 = 0;
const OLD: NodeId = NodeId(1);
const COLD: NodeId = NodeId(2);

/// Who has the requests, and what hosts know of the shard when its node is replaced by a cold one.
#[derive(Clone, Copy, Debug)]
struct Scene {
    /// Requests come so many times as often as a warm node can serve.
    demand: f64,
    /// This part of all requests comes to a tenth of the hosts.
    skew: f64,
    /// So long a warm node served the shard before.
    before: Duration,
    /// All hosts start again as the node does.
    restart: bool,
}

/// What a node that takes requests in turn at its present capacity has to do.
struct Node {
    started: Option<Duration>,
    free: Duration,
    answers: VecDeque<(Duration, Answer)>,
}

/// The end of an attempt, on its way to a host.
#[derive(Clone, Copy)]
struct Answer {
    host: usize,
    id: RequestId,
    attempt: u32,
    node: NodeId,
    sent: Duration,
    outcome: Outcome,
}

impl Answer {
    fn event(&self, now: Duration) -> Event {
        Event::AttemptEnded(AttemptEnd {
            id: self.id,
            attempt: self.attempt,
            node: self.node,
            outcome: self.outcome,
            finished: self.outcome == Outcome::Served,
            latency: now - self.sent,
            volume_usage: None,
            served_elsewhere: 0.0,
        })
    }
}

/// Hosts, their requests and the nodes of one shard.
struct World {
    settings: Settings,
    scene: Scene,
    random: TestRng,
    now: Duration,
    hosts: Vec<Host>,
    /// When each host wants to be called.
    wakes: Vec<Option<Duration>>,
    /// What each open request weighs, and its attempts so far.
    open: BTreeMap<(usize, RequestId), (f64, u32)>,
    nodes: BTreeMap<NodeId, Node>,
    requests: usize,
    /// Units that each attempt on the cold node weighs, by its time.
    sent: Vec<(Duration, f64)>,
}

/// Settings under which a warm node serves [`RATE`].
fn fleet_settings() -> Settings {
    let mut settings = settings(vec![Class { deadline: ms(2000), ..class(Effect::Safe) }]);
    settings.initiators = HOSTS as u32;
    let rules = &mut settings.rules;
    (rules.slow_start_min_share, rules.overload_factor) = (0.16, 3.0);
    (rules.overload_window, rules.slow_start_time) = (ms(3000), ms(18_000));
    let always = rules.overload_factor * rules.slow_start_min_share * rules.overload_window.as_secs_f64();
    settings.units.slow_start_units = always * RATE * settings.units.mean;
    settings
}

impl World {
    fn new(scene: Scene, seed: u8) -> World {
        let settings = fleet_settings();
        let now = START - scene.before;
        let mut world = World {
            settings,
            scene,
            random: TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
            now,
            hosts: Vec::new(),
            wakes: vec![None; HOSTS],
            open: BTreeMap::new(),
            nodes: BTreeMap::new(),
            requests: 0,
            sent: Vec::new(),
        };
        world.start_hosts(0);
        world
    }

    fn start_hosts(&mut self, generation: u64) {
        let seed = |host: usize| (host as u64 + 1 + (generation << 32)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.hosts =
            (0..HOSTS).map(|host| Host::started(self.settings.clone(), &[], seed(host), self.now)).collect();
        self.open.clear();
        self.wakes = vec![None; HOSTS];
    }

    /// All hosts hear that the shard has this node, and no other.
    fn list(&mut self, node: NodeId, started: Option<Duration>) {
        let entry = NodeEntry { started, ..common::node(node.0, SHARD) };
        self.nodes.insert(node, Node { started, free: self.now, answers: VecDeque::new() });
        for host in 0..HOSTS {
            self.hosts[host].now = self.now;
            let actions = self.hosts[host].list(ListKind::Full, std::slice::from_ref(&entry));
            self.carry_out(host, &actions);
        }
    }

    /// A number from 0 up to 1.
    fn draw(&mut self) -> f64 {
        self.random.random()
    }

    /// The host that the next request comes to.
    fn draw_host(&mut self) -> usize {
        let busy = HOSTS / 10;
        if self.draw() < self.scene.skew {
            self.random.random_range(0..busy)
        } else {
            self.random.random_range(busy..HOSTS)
        }
    }

    /// Requests that come within a step: a Poisson process, by counting exponential gaps.
    fn arrivals(&mut self, events: &mut BTreeMap<usize, Vec<Event>>) {
        let mean = RATE * self.scene.demand * STEP.as_secs_f64();
        let mut gaps = -(1.0 - self.draw()).ln();
        while gaps < mean {
            let host = self.draw_host();
            self.hosts[host].now = self.now;
            let mut new = self.hosts[host].new_request(0, SHARD, self.requests as u64);
            new.units = SIZES[self.requests % SIZES.len()];
            self.requests += 1;
            self.open.insert((host, new.id), (new.units, 0));
            events.entry(host).or_default().push(Event::Request(new));
            gaps -= (1.0 - self.draw()).ln();
        }
    }

    fn answers(&mut self, events: &mut BTreeMap<usize, Vec<Event>>) {
        for node in self.nodes.values_mut() {
            while let Some((_, answer)) = node.answers.pop_front_if(|(at, _)| *at <= self.now) {
                events.entry(answer.host).or_default().push(answer.event(self.now));
            }
        }
    }

    fn play(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let mut events = BTreeMap::new();
            self.answers(&mut events);
            self.arrivals(&mut events);
            for host in 0..HOSTS {
                if self.wakes[host].is_some_and(|at| at <= self.now) {
                    events.entry(host).or_default().push(Event::Wake);
                }
            }
            for (host, events) in events {
                self.wakes[host] = None;
                self.hosts[host].now = self.now;
                let actions = self.hosts[host].handle(&events);
                self.carry_out(host, &actions);
            }
        }
    }

    fn carry_out(&mut self, host: usize, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { id, node, .. } => self.send(host, *id, *node),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.open.remove(&(host, *id));
                }
                Action::WakeAt(at) => self.wakes[host] = Some(*at),
                Action::Cancel { .. } | Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, host: usize, id: RequestId, to: NodeId) {
        let Some((units, attempts)) = self.open.get_mut(&(host, id)) else { return };
        let (units, attempt) = (*units, *attempts);
        *attempts += 1;
        if to == COLD {
            self.sent.push((self.now, units));
        }
        let Some(node) = self.nodes.get_mut(&to) else { return };
        let warm = node.started.map_or(1.0, |started| warmth(&self.settings, self.now - started));
        let answer = Answer { host, id, attempt, node: to, sent: self.now, outcome: Outcome::Served };
        if node.free > self.now + LONGEST_QUEUE {
            node.answers.push_front((self.now, Answer { outcome: Outcome::Rejected, ..answer }));
            return;
        }
        let work = Duration::from_secs_f64(units / capacity(&self.settings) / warm);
        node.free = node.free.max(self.now) + work;
        node.answers.push_back((node.free, answer));
    }
}

/// Plays a scene until the node is warm: the fullest window as a part of what is allowed, and what was sent in all.
fn play(scene: Scene, seed: u8) -> (f64, f64) {
    let mut world = World::new(scene, seed);
    if scene.before > Duration::ZERO {
        world.list(OLD, None);
        world.play(scene.before);
    }
    if scene.restart {
        world.start_hosts(1);
    }
    world.nodes.clear();
    world.list(COLD, Some(START));
    world.play(world.settings.rules.slow_start_time);
    let sum: f64 = world.sent.iter().map(|(_, units)| units).sum();
    (worst(&world.settings, &world.sent), sum)
}

const SCENES: [(&str, Scene); 5] = [
    ("replaced", Scene { demand: 1.0, skew: 0.1, before: ms(20_000), restart: false }),
    ("replaced under a crowd", Scene { demand: 2.0, skew: 0.1, before: ms(20_000), restart: false }),
    ("replaced, few hosts busy", Scene { demand: 1.0, skew: 0.7, before: ms(20_000), restart: false }),
    ("all start again", Scene { demand: 1.0, skew: 0.1, before: ms(20_000), restart: true }),
    ("new, under a crowd", Scene { demand: 2.0, skew: 0.7, before: ms(0), restart: false }),
];

#[test]
fn a_cold_node_of_the_expected_size_is_not_pushed_over_by_460_hosts() {
    let mut told = Vec::new();
    let mut holds = true;
    for (name, scene) in SCENES {
        let (worst, units) = play(scene, 1);
        told.push(format!("{name}: {worst:.2} of what is allowed, {units:.0} units sent"));
        holds &= worst <= 1.0;
    }
    assert!(holds, "{}", told.join("; "));
}

/// What a node can serve while it warms up, against what is sent to it: the fleet does not leave it idle either.
#[test]
fn a_cold_node_of_the_expected_size_gets_much_of_what_it_can_serve() {
    let settings = fleet_settings();
    let mean_warmth = (settings.rules.slow_start_min_share + 1.0) / 2.0;
    let can = capacity(&settings) * mean_warmth * settings.rules.slow_start_time.as_secs_f64();
    let (_, units) = play(SCENES[0].1, 2);
    assert!(units >= 0.6 * can, "{units:.0} units sent of {can:.0}");
}

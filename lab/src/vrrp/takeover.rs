//! Takeovers between two real machines: how long the virtual address gives no answer, and whether a rule broke.

use crate::check::{check, Breaches, Drain, Terms, Trouble};
use crate::stand_ins::clients::{Clients, Destination, Load};
use crate::stand_ins::machines::{Machine, Setup, VrrpSetup, BURST, OVERDRAFT};
use crate::stand_ins::segment::{Link, Segment};
use crate::stand_ins::service::{node, Attempts, ListedNode, Registry};
use serde::Serialize;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longer than anything here takes on a loaded machine.
const PATIENCE: Duration = Duration::from_secs(30);
/// Priorities of the two machines: the first serves while it can.
const PRIORITIES: [u8; 2] = [200, 100];
/// Their parts of every limit, in rate and at once, as `deploy/vrrp.toml` has them.
const PARTS: [(f64, f64); 2] = [(0.75, 0.5), (0.25, 0.5)];
/// Units a second that a volume of `base` may take.
const LIMIT: f64 = 80.0;
/// How long a node drains: its grace of two seconds, and as long again.
const DRAINS: Duration = Duration::from_secs(4);
/// How long a node takes for a request.
const NODE: Duration = Duration::from_millis(5);
/// Nodes, the last of which drains at each takeover and comes again under another name.
const NODES: usize = 3;

/// What is done to the serving machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It loses power; later it comes back.
    Kill,
    /// It stops for a while and goes on past the takeover.
    Freeze,
    /// It is ended in order; later it comes back.
    Term,
    /// It came back: the other one steps down. Measured after each `Kill`.
    Return,
    /// What it says does not arrive, so that two are Active; then that heals.
    Cut,
    /// Half of all packets are lost, some come twice, late and out of order; then that heals.
    Lossy,
}

/// How takeovers are caused.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// What is done.
    pub kind: Kind,
    /// How often.
    pub repeats: usize,
    /// The interval of advertisements.
    pub interval: Duration,
    /// Whether the limits are divided between the machines; else each takes the whole, which is a planted fault.
    pub divided: bool,
    /// Part of the requests for volumes with a limit.
    pub limited: f64,
    /// Seeds what clients and segment draw.
    pub seed: u64,
    /// Tells runs apart that go on at the same time.
    pub place: u8,
}

/// What a plan came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Gaps by kind, in the order they were caused.
    pub gaps: Vec<(Kind, Duration)>,
    /// Active_Down_Interval of the machine that takes over: the least that a silent death costs after the last
    /// advertisement.
    pub least: Duration,
    /// Skew_Time of that machine.
    pub skew: Duration,
    /// Broken rules.
    pub breaches: Breaches,
    /// Requests sent, and served.
    pub sent: usize,
    /// Likewise.
    pub served: usize,
}

struct Scene {
    plan: Plan,
    segment: Arc<Segment>,
    machines: Vec<Machine>,
    registry: Registry,
    nodes: Vec<std::net::SocketAddr>,
    attempts: Attempts,
    clients: Clients,
    terms: Terms,
    /// How often the last node was listed anew.
    renamed: usize,
}

/// Runs a plan.
pub fn run(program: &Path, plan: Plan) -> Result<Outcome, String> {
    let mut scene = Scene::start(program, plan).map_err(|error| error.to_string())?;
    scene.settle()?;
    let mut gaps = Vec::new();
    for repeat in 0..plan.repeats {
        let caused = match plan.kind {
            Kind::Kill | Kind::Return => scene.kill(),
            Kind::Freeze => scene.freeze(),
            Kind::Term => scene.term(),
            Kind::Cut => scene.cut(repeat % 2 == 1),
            Kind::Lossy => scene.lossy(),
        };
        gaps.extend(caused.map_err(|why| format!("{:?} {repeat}: {why}\n{}", plan.kind, scene.logs()))?);
    }
    let skew = plan.interval * (256 - u32::from(PRIORITIES[1])) / 256;
    let attempts = scene.attempts.clone();
    let items = scene.clients.end();
    let attempts = attempts.lock().map_err(|_| "a node's thread panicked")?;
    let served =
        items.iter().filter(|item| item.end == crate::stand_ins::clients::RequestEnd::Served).count();
    let breaches = check(&items, &attempts, &scene.terms);
    Ok(Outcome { gaps, least: 3 * plan.interval + skew, skew, breaches, sent: items.len(), served })
}

impl Scene {
    fn start(program: &Path, plan: Plan) -> std::io::Result<Scene> {
        // Addresses of this run's own, so that no other can be given a port on them.
        let ip = |last| Ipv4Addr::new(127, 80 + plan.place, std::process::id() as u8, last);
        let segment = Arc::new(Segment::start(&[ip(1), ip(2)], ip(9), plan.seed)?);
        let attempts = Attempts::default();
        let nodes: Vec<_> =
            (0..NODES).map(|it| node(ip(20), it, NODE, attempts.clone())).collect::<Result<_, _>>()?;
        let registry = Registry::start(ip(21), list(&nodes, 0, "active"))?;
        let mut machines = Vec::new();
        for (at, port) in segment.ports().iter().enumerate() {
            let folder = std::env::temp_dir().join(format!(
                "topazpath-lab-{}-{}-{at}",
                std::process::id(),
                plan.place
            ));
            let vrrp = VrrpSetup {
                port: *port,
                peers: vec![segment.ports()[1 - at].relay],
                priority: PRIORITIES[at],
                interval: plan.interval,
                share: if plan.divided { PARTS[at] } else { (1.0, 1.0) },
            };
            let setup = Setup {
                name: format!("m-{at}"),
                listen: (ip(at as u8 + 1), 0).into(),
                vrrp: Some(vrrp),
                planners: Vec::new(),
                fleet: None,
                discovery: registry.address,
                limit: LIMIT,
            };
            let mut machine = Machine::new(program, folder, setup)?;
            machine.start()?;
            machines.push(machine);
        }
        let load = Load { rate: 200.0, initiators: 1, limited: plan.limited, volumes: 2, shards: 2 };
        let clients =
            Clients::start(Destination::Segment(segment.clone()), load, Arc::new(|_| 1.0), plan.seed);
        let terms = Terms { limit: (LIMIT, BURST + OVERDRAFT), ..Terms::default() };
        Ok(Scene { plan, segment, machines, registry, nodes, attempts, clients, terms, renamed: 0 })
    }

    /// Until the first machine serves, and has for a while.
    fn settle(&mut self) -> Result<(), String> {
        let since = Instant::now();
        self.until_served(0, since)?;
        // Requests that were sent before any machine served have their ends by then.
        std::thread::sleep(Duration::from_millis(500).max(4 * self.plan.interval));
        Ok(())
    }

    fn kill(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let killed = Instant::now();
        self.drain();
        self.terms.troubles.push(Trouble { machine: 0, from: killed, to: None });
        self.machines[0].kill();
        let gap = self.gap_until_served(1, killed)?;
        let back = Instant::now();
        self.over(back);
        self.machines[0].start().map_err(|error| error.to_string())?;
        let returned = self.gap_until_served(0, back)?;
        self.relist();
        Ok(vec![(Kind::Kill, gap), (Kind::Return, returned)])
    }

    fn freeze(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let stopped = Instant::now();
        self.drain();
        self.terms.troubles.push(Trouble { machine: 0, from: stopped, to: None });
        self.machines[0].signal("STOP");
        let gap = self.gap_until_served(1, stopped)?;
        // Past the takeover by some intervals: it wakes as one that believes it serves.
        std::thread::sleep(4 * self.plan.interval);
        self.machines[0].signal("CONT");
        let back = Instant::now();
        self.over(back);
        self.until_served(0, back)?;
        self.relist();
        std::thread::sleep(Duration::from_millis(300));
        Ok(vec![(Kind::Freeze, gap)])
    }

    fn term(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let terminated = Instant::now();
        self.drain();
        self.machines[0].signal("TERM");
        let gap = self.gap_until_served(1, terminated)?;
        if !self.machines[0].wait(PATIENCE) {
            return Err("the machine did not end in order".into());
        }
        let back = Instant::now();
        self.machines[0].start().map_err(|error| error.to_string())?;
        self.until_served(0, back)?;
        self.relist();
        std::thread::sleep(Duration::from_millis(300));
        Ok(vec![(Kind::Term, gap)])
    }

    fn cut(&mut self, both: bool) -> Result<Vec<(Kind, Duration)>, String> {
        let cut = Instant::now();
        let gone = Link { cut: true, ..Link::default() };
        self.segment.set_link(0, 1, gone);
        if both {
            self.segment.set_link(1, 0, gone);
        }
        // With a cut one way the first machine hears the second, and announces again right after it each time, so
        // that clients hardly get to the second.
        until("the second machine announces", || self.segment.announced(1).filter(|at| *at > cut))?;
        std::thread::sleep(Duration::from_secs(2));
        self.heal()?;
        Ok(vec![(Kind::Cut, self.longest_gap(cut))])
    }

    fn lossy(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let began = Instant::now();
        let (delay, jitter) = (self.plan.interval / 50, self.plan.interval / 2);
        let lossy = Link { cut: false, loss: 0.5, duplicated: 0.2, delay, jitter };
        self.segment.set_link(0, 1, lossy);
        self.segment.set_link(1, 0, lossy);
        std::thread::sleep(20 * self.plan.interval);
        self.heal()?;
        Ok(vec![(Kind::Lossy, self.longest_gap(began))])
    }

    /// Makes the links good and waits until the first machine alone announces and serves.
    fn heal(&mut self) -> Result<(), String> {
        self.segment.set_link(0, 1, Link::default());
        self.segment.set_link(1, 0, Link::default());
        until("the first machine alone announces", || {
            let route = self.segment.route()?;
            (route.0 == 0 && route.1.elapsed() > 5 * self.plan.interval).then_some(())
        })?;
        let healed = Instant::now();
        self.until_served(0, healed)
    }

    /// The longest time without an answer from shortly before a moment until a machine serves, and a little after.
    fn gap_until_served(&self, machine: usize, since: Instant) -> Result<Duration, String> {
        self.until_served(machine, since)?;
        std::thread::sleep(Duration::from_millis(300));
        Ok(self.longest_gap(since))
    }

    fn longest_gap(&self, since: Instant) -> Duration {
        let served = self.clients.served_since(since - Duration::from_millis(200));
        served.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }

    fn until_served(&self, machine: usize, since: Instant) -> Result<(), String> {
        until("a machine serves", || {
            let routed = self.segment.route().is_some_and(|(to, _)| to == machine);
            (routed && self.clients.served_by(machine, since)).then_some(())
        })
    }

    /// The last node is told to drain.
    fn drain(&mut self) {
        self.registry.set_list(list(&self.nodes, self.renamed, "leaving"));
        self.terms.drains.push(Drain { node: NODES - 1, since: Instant::now(), until: None });
    }

    /// It comes again under another name, once it has been seen for a while after its grace whether it gets work.
    fn relist(&mut self) {
        if let Some(drain) = self.terms.drains.last() {
            std::thread::sleep(DRAINS.saturating_sub(drain.since.elapsed()));
        }
        self.renamed += 1;
        if let Some(drain) = self.terms.drains.last_mut() {
            drain.until = Some(Instant::now());
        }
        self.registry.set_list(list(&self.nodes, self.renamed, "active"));
    }

    /// The trouble of the last machine is over.
    fn over(&mut self, now: Instant) {
        if let Some(trouble) = self.terms.troubles.last_mut() {
            trouble.to = Some(now);
        }
    }

    fn logs(&self) -> String {
        let tail = |machine: &Machine| {
            let log = machine.log();
            let lines: Vec<&str> = log.lines().rev().take(12).collect();
            lines.into_iter().rev().collect::<Vec<_>>().join("\n")
        };
        self.machines.iter().map(tail).collect::<Vec<_>>().join("\n---\n")
    }
}

/// The list of nodes: a shard for the first, and one that the others hold together.
fn list(nodes: &[std::net::SocketAddr], renamed: usize, last: &'static str) -> Vec<ListedNode> {
    let listed = |(at, address): (usize, &std::net::SocketAddr)| {
        let is_last = at == nodes.len() - 1;
        ListedNode {
            name: if is_last { format!("n-{at}-{renamed}") } else { format!("n-{at}") },
            address: *address,
            shard: at.min(1) as u32,
            status: if is_last { last } else { "active" },
            in_slow_start: false,
        }
    };
    nodes.iter().enumerate().map(listed).collect()
}

fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> Result<T, String> {
    let start = Instant::now();
    loop {
        if let Some(found) = found() {
            return Ok(found);
        }
        if start.elapsed() > PATIENCE {
            return Err(format!("never came true: {what}"));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

//! Takeovers between two real machines: how long the virtual address gives no answer, and whether a rule broke.

use crate::check::{check, Breaches, Conditions, Drain, Outage};
use crate::stand_ins::clients::{Clients, Destination, Load};
use crate::stand_ins::machines::{Machine, Setup, VrrpSetup, BURST, OVERDRAFT};
use crate::stand_ins::segment::{Link, Segment};
use crate::stand_ins::service::{node, Attempts, ListedNode, Registry};
use serde::Serialize;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time limit of every wait; longer than any takes on a loaded machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Priorities of the two machines: the first serves whenever it runs.
const PRIORITIES: [u8; 2] = [200, 100];
/// Their shares of every limit, of rate and burst, as in `deploy/vrrp.toml`.
const SHARES: [(f64, f64); 2] = [(0.75, 0.5), (0.25, 0.5)];
/// Limit of a volume of plan `base`, in units a second.
const LIMIT: f64 = 80.0;
/// How long a node drains: the grace of two seconds, and two more to observe that it gets no work.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Service time of a node.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Number of nodes. The last drains at each takeover and returns under another name.
const NODES: usize = 3;

/// The fault that causes a takeover, at the serving machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// It is killed, and restarted later.
    Kill,
    /// It is stopped, and continued after the takeover.
    Freeze,
    /// It is shut down gracefully, and restarted later.
    Term,
    /// It returns, and the other machine steps down. Measured after each `Kill`.
    Return,
    /// Its advertisements are lost, so that both machines are Active; then the link is restored.
    Cut,
    /// 50 % of all packets are lost, some duplicated, delayed and reordered; then the links are restored.
    Lossy,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The fault.
    pub kind: Kind,
    /// Number of repetitions.
    pub repeats: usize,
    /// The interval of advertisements.
    pub interval: Duration,
    /// Whether the limits are divided between the machines. If not, each applies the whole limit, a planted fault.
    pub divided: bool,
    /// Share of the requests for volumes with a limit.
    pub limited: f64,
    /// Seed of clients and segment.
    pub seed: u64,
    /// Number that distinguishes concurrent runs.
    pub place: u8,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Gaps by kind, in the order they were caused.
    pub gaps: Vec<(Kind, Duration)>,
    /// Active_Down_Interval of the machine that takes over: the min gap after the last advertisement of a machine that
    /// crashes.
    pub min_gap: Duration,
    /// Skew_Time of that machine.
    pub skew: Duration,
    /// Violations of the rules.
    pub breaches: Breaches,
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests served.
    pub served: usize,
}

struct Experiment {
    plan: Plan,
    segment: Arc<Segment>,
    machines: Vec<Machine>,
    registry: Registry,
    nodes: Vec<std::net::SocketAddr>,
    attempts: Attempts,
    clients: Clients,
    conditions: Conditions,
    /// How often the last node was listed under a new name.
    renamed: usize,
}

/// Runs a plan.
pub fn run(program: &Path, plan: Plan) -> Result<Outcome, String> {
    let mut experiment = Experiment::start(program, plan).map_err(|error| error.to_string())?;
    experiment.settle()?;
    let mut gaps = Vec::new();
    for repeat in 0..plan.repeats {
        let run = match plan.kind {
            Kind::Kill | Kind::Return => experiment.kill(),
            Kind::Freeze => experiment.freeze(),
            Kind::Term => experiment.term(),
            Kind::Cut => experiment.cut(repeat % 2 == 1),
            Kind::Lossy => experiment.lossy(),
        };
        gaps.extend(run.map_err(|why| format!("{:?} {repeat}: {why}\n{}", plan.kind, experiment.logs()))?);
    }
    let skew = plan.interval * (256 - u32::from(PRIORITIES[1])) / 256;
    let attempts = experiment.attempts.clone();
    let requests = experiment.clients.end();
    let attempts = attempts.lock().map_err(|_| "a node's thread panicked")?;
    let served = requests
        .iter()
        .filter(|request| request.end == crate::stand_ins::clients::RequestEnd::Served)
        .count();
    let breaches = check(&requests, &attempts, &experiment.conditions);
    Ok(Outcome { gaps, min_gap: 3 * plan.interval + skew, skew, breaches, sent: requests.len(), served })
}

impl Experiment {
    fn start(program: &Path, plan: Plan) -> std::io::Result<Experiment> {
        // IP addresses that no other run uses, so that none of the ports chosen on them is taken.
        let ip = |last| Ipv4Addr::new(127, 80 + plan.place, std::process::id() as u8, last);
        let segment = Arc::new(Segment::start(&[ip(1), ip(2)], ip(9), plan.seed)?);
        let attempts = Attempts::default();
        let nodes: Vec<_> = (0..NODES)
            .map(|it| node(ip(20), it, SERVICE_TIME, attempts.clone()))
            .collect::<Result<_, _>>()?;
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
                share: if plan.divided { SHARES[at] } else { (1.0, 1.0) },
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
        let conditions = Conditions { limit: (LIMIT, BURST + OVERDRAFT), ..Conditions::default() };
        Ok(Experiment { plan, segment, machines, registry, nodes, attempts, clients, conditions, renamed: 0 })
    }

    /// Waits until the first machine has served for a while.
    fn settle(&mut self) -> Result<(), String> {
        let since = Instant::now();
        self.wait_until_served(0, since)?;
        // By then the requests that were sent before any machine served have ended.
        std::thread::sleep(Duration::from_millis(500).max(4 * self.plan.interval));
        Ok(())
    }

    fn kill(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let killed = Instant::now();
        self.drain();
        self.conditions.outages.push(Outage { initiator: 0, from: killed, to: None });
        self.machines[0].kill();
        let gap = self.wait_for_gap(1, killed)?;
        let back = Instant::now();
        self.end_outage(back);
        self.machines[0].start().map_err(|error| error.to_string())?;
        let returned = self.wait_for_gap(0, back)?;
        self.relist();
        Ok(vec![(Kind::Kill, gap), (Kind::Return, returned)])
    }

    fn freeze(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let stopped = Instant::now();
        self.drain();
        self.conditions.outages.push(Outage { initiator: 0, from: stopped, to: None });
        self.machines[0].signal("STOP");
        let gap = self.wait_for_gap(1, stopped)?;
        // When it continues some intervals after the takeover, it still considers itself Active.
        std::thread::sleep(4 * self.plan.interval);
        self.machines[0].signal("CONT");
        let back = Instant::now();
        self.end_outage(back);
        self.wait_until_served(0, back)?;
        self.relist();
        std::thread::sleep(Duration::from_millis(300));
        Ok(vec![(Kind::Freeze, gap)])
    }

    fn term(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let terminated = Instant::now();
        self.drain();
        self.machines[0].signal("TERM");
        let gap = self.wait_for_gap(1, terminated)?;
        if !self.machines[0].wait(WAIT_TIMEOUT) {
            return Err("the machine did not shut down gracefully".into());
        }
        let back = Instant::now();
        self.machines[0].start().map_err(|error| error.to_string())?;
        self.wait_until_served(0, back)?;
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
        // With a one-way cut the first machine receives the second's advertisements and announces again right after
        // each, so that hardly any client reaches the second.
        wait_until("the second machine announces", || self.segment.announced(1).filter(|at| *at > cut))?;
        std::thread::sleep(Duration::from_secs(2));
        self.restore_links()?;
        Ok(vec![(Kind::Cut, self.longest_gap(cut))])
    }

    fn lossy(&mut self) -> Result<Vec<(Kind, Duration)>, String> {
        let started = Instant::now();
        let (delay, jitter) = (self.plan.interval / 50, self.plan.interval / 2);
        let lossy = Link { cut: false, loss: 0.5, duplicated: 0.2, delay, jitter };
        self.segment.set_link(0, 1, lossy);
        self.segment.set_link(1, 0, lossy);
        std::thread::sleep(20 * self.plan.interval);
        self.restore_links()?;
        Ok(vec![(Kind::Lossy, self.longest_gap(started))])
    }

    /// Restores the links and waits until only the first machine announces and serves.
    fn restore_links(&mut self) -> Result<(), String> {
        self.segment.set_link(0, 1, Link::default());
        self.segment.set_link(1, 0, Link::default());
        wait_until("the first machine alone announces", || {
            let route = self.segment.route()?;
            (route.0 == 0 && route.1.elapsed() > 5 * self.plan.interval).then_some(())
        })?;
        let restored = Instant::now();
        self.wait_until_served(0, restored)
    }

    /// Waits until a machine serves; returns the longest time without an answer from shortly before `since` until 300
    /// ms after that.
    fn wait_for_gap(&self, machine: usize, since: Instant) -> Result<Duration, String> {
        self.wait_until_served(machine, since)?;
        std::thread::sleep(Duration::from_millis(300));
        Ok(self.longest_gap(since))
    }

    fn longest_gap(&self, since: Instant) -> Duration {
        let served = self.clients.served_since(since - Duration::from_millis(200));
        served.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    }

    fn wait_until_served(&self, machine: usize, since: Instant) -> Result<(), String> {
        wait_until("a machine serves", || {
            let routed = self.segment.route().is_some_and(|(to, _)| to == machine);
            (routed && self.clients.served_by(machine, since)).then_some(())
        })
    }

    /// Lists the last node as leaving.
    fn drain(&mut self) {
        self.registry.set_list(list(&self.nodes, self.renamed, "leaving"));
        self.conditions.drains.push(Drain { node: NODES - 1, since: Instant::now(), until: None });
    }

    /// Lists the last node under a new name, after its drain has been observed for long enough.
    fn relist(&mut self) {
        if let Some(drain) = self.conditions.drains.last() {
            std::thread::sleep(DRAIN_TIME.saturating_sub(drain.since.elapsed()));
        }
        self.renamed += 1;
        if let Some(drain) = self.conditions.drains.last_mut() {
            drain.until = Some(Instant::now());
        }
        self.registry.set_list(list(&self.nodes, self.renamed, "active"));
    }

    /// Ends the last recorded outage.
    fn end_outage(&mut self, now: Instant) {
        if let Some(outage) = self.conditions.outages.last_mut() {
            outage.to = Some(now);
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

/// Returns the node list: the first node has a shard of its own, the others share one.
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

fn wait_until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> Result<T, String> {
    let start = Instant::now();
    loop {
        if let Some(found) = found() {
            return Ok(found);
        }
        if start.elapsed() > WAIT_TIMEOUT {
            return Err(format!("timed out waiting until {what}"));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

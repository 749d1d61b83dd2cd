//! Executes a plan: the real process between stand-ins that share one thread, so that one clock orders their records.

use super::clients::Clients;
use super::crowd::Crowd;
use super::history::{History, Listing};
use super::nodes::{Failure, Nodes};
use super::plan::{EndSignal, Fault, Plan};
use super::process::Process;
use super::registry::Registry;
use super::wire::Wire;
use crate::capacity::own_address;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
/// The remainder of a token by this is the kind of its socket.
const TOKEN_KINDS: usize = 4;
const NODE_LISTENER: usize = 0;
const NODE: usize = 1;
const DISCOVERY: usize = 2;
const CLIENT: usize = 3;
const DISCOVERY_LISTENER: Token = Token(usize::MAX - 1);
/// How often the process's open descriptors are counted.
const DESCRIPTOR_COUNT_INTERVAL: Duration = ms(200);
/// New connections are still opened for this long after SIGTERM.
const CONNECT_AFTER_TERM: Duration = ms(300);
/// Limit of the time that the process takes to start with its node list.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the drain of a replaced node until it leaves, and from then until it returns.
const LEAVE_DELAY: Duration = ms(700);
const RETURN_DELAY: Duration = ms(600);

/// A scheduled event of the run.
enum Step {
    Begin(Fault),
    List(Vec<usize>, Listing),
    Stop(Duration),
    Continue,
    Reload,
    Terminate,
    Kill,
    TerminateAgain,
}

/// The result of a run.
pub struct RunResult {
    pub history: History,
    pub figures: Figures,
}

/// Counts and resource usage of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub requests: usize,
    pub served: usize,
    pub attempts: usize,
    pub node_connections: u64,
    pub processor: Duration,
    /// Peak resident memory in bytes.
    pub memory: usize,
    pub descriptors: usize,
    /// Bytes of node lists written by discovery.
    pub list_bytes: u64,
    /// From the start of the process until it accepted connections.
    pub started_within: Duration,
    /// Handshakes dropped by full accept queues of this machine during the run.
    pub overflows: u64,
}

struct Rig<'a> {
    plan: &'a Plan,
    poll: Poll,
    random: ChaCha8Rng,
    next_token: usize,
    process: Process,
    discovery: TcpListener,
    registry: Registry,
    nodes: Nodes,
    clients: Clients,
    crowd: Crowd,
    steps: BTreeMap<(Instant, usize), Step>,
    history: History,
    stopped: Option<Instant>,
    next_request: Instant,
    next_descriptor_count: Instant,
    started_within: Duration,
    overflows_before: u64,
}

/// Executes a plan.
///
/// # Errors
///
/// The process or a stand-in does not start, or polling its sockets fails.
pub fn play(plan: &Plan) -> Result<RunResult, String> {
    let mut rig = Rig::start(plan)?;
    rig.run()?;
    Ok(rig.finish())
}

/// Returns the kernel's count of overflows of this machine's accept queues, 0 if it is not available.
fn accept_queue_overflows() -> u64 {
    let text = std::fs::read_to_string("/proc/net/netstat").unwrap_or_default();
    let mut rows = text.lines().filter(|line| line.starts_with("TcpExt:"));
    let (names, values) = (rows.next().unwrap_or_default(), rows.next().unwrap_or_default());
    let mut pairs = names.split_whitespace().zip(values.split_whitespace());
    pairs.find(|(name, _)| *name == "ListenOverflows").and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn to_text(error: std::io::Error) -> String {
    error.to_string()
}

impl<'a> Rig<'a> {
    fn start(plan: &'a Plan) -> Result<Self, String> {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x736f_616b);
        let poll = Poll::new().map_err(to_text)?;
        let dead: BTreeSet<usize> = (0..plan.nodes).filter(|_| random.random_bool(plan.dead_share)).collect();
        let token = |number: usize| Token(number * TOKEN_KINDS + NODE_LISTENER);
        let nodes = Nodes::start(own_address(21), plan.nodes, &dead, plan.service, poll.registry(), token);
        let nodes = nodes.map_err(to_text)?;
        let registry = Registry::new(&nodes.addresses());
        let mut discovery = TcpListener::bind(SocketAddr::from((own_address(22), 0))).map_err(to_text)?;
        poll.registry().register(&mut discovery, DISCOVERY_LISTENER, Interest::READABLE).map_err(to_text)?;
        let address = discovery.local_addr().map_err(to_text)?;
        let process = Process::start(plan, address, &registry.known())?;
        let clients = Clients::new(process.listen, plan.nodes, plan.deadlines, plan.new_connections);
        let crowd = Crowd::start(process.listen);
        let now = Instant::now();
        let history = History {
            grace: super::process::DRAIN_GRACE,
            window: super::process::WINDOW,
            crowded: plan.is_crowded(),
            descriptors: (0, plan.descriptors),
            ..History::default()
        };
        Ok(Rig {
            plan,
            poll,
            random,
            next_token: plan.nodes,
            process,
            discovery,
            registry,
            nodes,
            clients,
            crowd,
            steps: BTreeMap::new(),
            history,
            stopped: None,
            next_request: now,
            next_descriptor_count: now,
            started_within: Duration::ZERO,
            overflows_before: accept_queue_overflows(),
        })
    }

    fn token(next: &mut usize, kind: usize) -> Token {
        *next += 1;
        Token(*next * TOKEN_KINDS + kind)
    }

    fn schedule(&mut self, at: Instant, step: Step) {
        self.next_token += 1;
        self.steps.insert((at, self.next_token), step);
    }

    fn run(&mut self) -> Result<(), String> {
        self.started_within = self.process.wait_until_up(START_TIMEOUT)?;
        let start = Instant::now();
        for (at, fault) in &self.plan.faults {
            self.schedule(start + *at, Step::Begin(fault.clone()));
        }
        self.schedule(start + self.plan.ends, Step::Terminate);
        let (registry, next) = (self.poll.registry(), &mut self.next_token);
        self.clients.open_idle(self.plan.crowd, b"", registry, || Self::token(next, CLIENT));
        self.clients
            .open_idle(self.plan.half_said, b"*4\r\n$7\r\nOBJ", registry, || Self::token(next, CLIENT));
        self.next_request = start;
        let mut events = Events::with_capacity(1024);
        while self.history.killed.is_none() {
            let next = self.next_timer();
            let wait = next.saturating_duration_since(Instant::now());
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other.map_err(to_text)?,
            }
            let now = Instant::now();
            self.history.standstill = self.history.standstill.max(now.saturating_duration_since(next));
            self.iterate(now, &events);
            self.history.standstill = self.history.standstill.max(now.elapsed());
        }
        Ok(())
    }

    fn next_timer(&self) -> Instant {
        let step = self.steps.first_key_value().map(|((at, _), _)| *at);
        let others = [step, self.nodes.next_timer(), self.clients.next_timer(), self.registry.next_timer()];
        let next = self.next_request.min(self.next_descriptor_count);
        others.into_iter().flatten().fold(next, Instant::min)
    }

    fn iterate(&mut self, now: Instant, events: &Events) {
        for event in events {
            self.ready(now, event.token());
        }
        while let Some(entry) = self.steps.first_entry().filter(|entry| entry.key().0 <= now) {
            let step = entry.remove();
            self.step(now, step);
        }
        self.nodes.tick(now);
        self.clients.tick(now);
        self.registry.tick(now);
        if self.next_descriptor_count <= now {
            self.next_descriptor_count = now + DESCRIPTOR_COUNT_INTERVAL;
            let seen = &mut self.history.descriptors.0;
            *seen = (*seen).max(self.process.descriptors());
            if self.history.ended.is_none() && self.process.has_ended() {
                self.history.ended = Some(now);
            }
        }
        while self.next_request <= now {
            let gap =
                -self.random.random_range(f64::MIN_POSITIVE..1.0f64).ln() / self.plan.requests_per_second;
            self.next_request += Duration::from_secs_f64(gap);
            let opens = self.history.terminated.is_none_or(|at| now < at + CONNECT_AFTER_TERM);
            let (registry, next) = (self.poll.registry(), &mut self.next_token);
            let token = || Self::token(next, CLIENT);
            if opens && self.plan.pipelines > 0.0 && self.random.random_bool(self.plan.pipelines) {
                self.clients.send_pipeline(now, &mut self.random, registry, token);
            } else {
                self.clients.send(now, &mut self.random, registry, opens, token);
            }
        }
    }

    fn ready(&mut self, now: Instant, token: Token) {
        if token == DISCOVERY_LISTENER {
            while let Ok((stream, _)) = self.discovery.accept() {
                let token = Self::token(&mut self.next_token, DISCOVERY);
                if let Ok(wire) = Wire::new(stream, token, self.poll.registry()) {
                    self.registry.accept(token, wire);
                }
            }
            return;
        }
        match token.0 % TOKEN_KINDS {
            NODE_LISTENER => self.accept_at(token.0 / TOKEN_KINDS),
            NODE => self.nodes.ready(now, token, &mut self.random),
            DISCOVERY => self.registry.ready(now, token, self.poll.registry()),
            _ => self.clients.ready(token),
        }
    }

    fn accept_at(&mut self, node: usize) {
        let (registry, next) = (self.poll.registry(), &mut self.next_token);
        self.nodes.accept(node, registry, || Self::token(next, NODE));
    }

    fn step(&mut self, now: Instant, step: Step) {
        match step {
            Step::Begin(fault) => self.inject(now, fault),
            Step::List(nodes, listing) => self.registry.change(now, &nodes, listing),
            Step::Stop(lasts) => {
                if self.stopped.is_none() && self.history.killed.is_none() {
                    self.process.signal("STOP");
                    self.stopped = Some(now);
                    self.schedule(now + lasts, Step::Continue);
                }
            }
            Step::Continue => {
                self.process.signal("CONT");
                let since = self.stopped.take();
                self.history.holds.extend(since.map(|since| (since, Instant::now())));
            }
            Step::Reload => self.process.signal("HUP"),
            Step::TerminateAgain => self.process.signal("TERM"),
            Step::Terminate => {
                self.process.signal("TERM");
                self.history.terminated = Some(now);
                for (after, signal) in &self.plan.end_signals {
                    let step = match signal {
                        EndSignal::Terminate => Step::TerminateAgain,
                        EndSignal::Reload => Step::Reload,
                        EndSignal::Hold(lasts) => Step::Stop(*lasts),
                    };
                    self.schedule(now + *after, step);
                }
                self.schedule(now + self.plan.grace(), Step::Kill);
            }
            Step::Kill => {
                if self.process.has_ended() {
                    self.history.ended.get_or_insert(now);
                }
                self.process.kill();
                self.history.killed = Some(now);
            }
        }
    }

    fn inject(&mut self, now: Instant, fault: Fault) {
        match fault {
            Fault::Replace { share, steps, pause } => self.replace(now, share, steps, pause),
            Fault::WholeList => self.registry.send_whole_list(now),
            Fault::Silence { lasts } => self.registry.silence_until(now + lasts),
            Fault::Slow { lasts, delay } => self.registry.slow_until(now + lasts, delay),
            Fault::ResetDiscovery => self.registry.reset(),
            Fault::Hang { share, lasts } => self.failure(share, Failure::Unresponsive, now + lasts),
            Fault::Down { share, lasts } => self.failure(share, Failure::Down, now + lasts),
            Fault::BreakOff { share, lasts } => self.failure(share, Failure::BreaksOff, now + lasts),
            Fault::Errors { share, lasts } => self.failure(share, Failure::Errors, now + lasts),
            Fault::DropIdle { share } => {
                let nodes = self.draw_nodes(share);
                self.nodes.drop_idle(&nodes);
            }
            Fault::Crowd { count } => self.crowd.wave(count),
            Fault::ClientsLeave { share } => self.clients.abandon(share, &mut self.random),
            Fault::Hold { times, each, pause } => {
                (0..times as u32)
                    .for_each(|time| self.schedule(now + (each + pause) * time, Step::Stop(each)));
            }
            Fault::Reload { times, pause } => {
                (0..times as u32).for_each(|time| self.schedule(now + pause * time, Step::Reload));
            }
        }
    }

    fn draw_nodes(&mut self, share: f64) -> Vec<usize> {
        (0..self.plan.nodes).filter(|_| self.random.random_bool(share)).collect()
    }

    fn failure(&mut self, share: f64, failure: Failure, until: Instant) {
        let nodes = self.draw_nodes(share);
        self.nodes.failure(&nodes, failure, until);
    }

    /// Schedules the drain, leave and return of a random share of the ready nodes, step by step.
    fn replace(&mut self, now: Instant, share: f64, steps: usize, pause: Duration) {
        let mut ready: Vec<usize> = self.registry.ready_nodes().into_iter().collect();
        ready.shuffle(&mut self.random);
        ready.truncate((ready.len() as f64 * share).ceil() as usize);
        let each = ready.len().div_ceil(steps).max(1);
        for (number, nodes) in ready.chunks(each).enumerate() {
            let at = now + pause * number as u32;
            self.schedule(at, Step::List(nodes.to_vec(), Listing::Draining));
            self.schedule(at + LEAVE_DELAY, Step::List(nodes.to_vec(), Listing::Gone));
            self.schedule(at + LEAVE_DELAY + RETURN_DELAY, Step::List(nodes.to_vec(), Listing::Ready));
        }
    }

    fn finish(mut self) -> RunResult {
        // Read what the process wrote before it was killed.
        let mut events = Events::with_capacity(1024);
        for _ in 0..5 {
            if self.poll.poll(&mut events, Some(ms(10))).is_ok() {
                let now = Instant::now();
                let tokens: Vec<Token> = events.iter().map(|event| event.token()).collect();
                tokens.into_iter().for_each(|token| self.ready(now, token));
            }
        }
        let mut history = self.history;
        (history.requests, history.attempts) = (self.clients.requests, self.nodes.attempts);
        history.reset_values = self.nodes.reset_values;
        history.listed = self.registry.listed;
        let served = |request: &&super::history::Request| {
            matches!(request.end, Some((_, super::history::End::Answered { served: true })))
        };
        let figures = Figures {
            requests: history.requests.len(),
            served: history.requests.iter().filter(served).count(),
            attempts: history.attempts.len(),
            node_connections: self.nodes.accepted,
            processor: self.process.processor_time(),
            memory: self.process.peak_memory(),
            descriptors: history.descriptors.0,
            list_bytes: self.registry.written,
            started_within: self.started_within,
            overflows: accept_queue_overflows().saturating_sub(self.overflows_before),
        };
        RunResult { history, figures }
    }
}

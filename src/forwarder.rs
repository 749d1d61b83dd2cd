//! The loop: gathers what is ready, hands it to the planner in one call, carries out what came back.

use crate::clock::Clock;
use crate::config::Config;
use crate::core::{Core, Effect, Ended};
use crate::discovery::{Discovery, ListMessage, Status};
use crate::front::resp::Front;
use crate::interface::{Event, ListKind, NodeEntry, NodeId, NodeState, Outcome};
use crate::planner::Planner;
use crate::target::resp::Targets;
use mio::net::UnixStream;
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const LISTENER: Token = Token(0);
const SIGNAL: Token = Token(1);
const DISCOVERY: Token = Token(2);
/// Tokens from here on are given out once each: fronts' even, targets' odd.
const FIRST_FREE: usize = 16;
/// After SIGTERM new connections go on arriving for a while, and are served.
const LINGER: Duration = Duration::from_millis(450);
/// How often a shutdown looks for clients that have become idle.
const SHUTDOWN_LOOK: Duration = Duration::from_millis(20);
/// Descriptors that are neither clients' nor targets'.
const OTHER_DESCRIPTORS: usize = 24;
/// Part of the descriptors that is for targets.
const TARGETS_PART: f64 = 0.4;

/// Nodes as discovery names them.
#[derive(Default)]
struct Nodes {
    ids: HashMap<String, NodeId>,
    /// Address and state of those listed.
    known: HashMap<NodeId, (SocketAddr, NodeState)>,
}

impl Nodes {
    /// Turns a message of discovery into one for the planner; tells which nodes are to get nothing new.
    fn take(&mut self, message: ListMessage, kind: ListKind, zones: &[String]) -> (Event, Vec<NodeId>) {
        let mut entries = Vec::new();
        for line in message.endpoints {
            let next = NodeId(self.ids.len() as u32);
            let node = *self.ids.entry(line.name).or_insert(next);
            let state = match line.status {
                Status::Active => NodeState::Ready,
                Status::Leaving => NodeState::Draining,
                Status::Left => NodeState::Gone,
            };
            let zone = zones.iter().position(|zone| *zone == line.zone).unwrap_or(0) as u32;
            self.known.insert(node, (line.address, state));
            entries.push(NodeEntry { node, shard: line.group, zone, started: line.since_ms, state });
        }
        if kind != ListKind::Delta {
            // Whoever is not on a whole list is gone.
            for (node, (_, state)) in &mut self.known {
                if !entries.iter().any(|entry| entry.node == *node) {
                    *state = NodeState::Gone;
                }
            }
        }
        let unwanted = self.known.iter().filter(|(_, (_, state))| *state != NodeState::Ready);
        let unwanted = unwanted.map(|(node, _)| *node).collect();
        (Event::List { kind, entries }, unwanted)
    }
}

/// One initiator.
pub struct Forwarder {
    poll: Poll,
    core: Core,
    planner: Planner,
    front: Front,
    targets: Targets,
    discovery: Discovery,
    nodes: Nodes,
    zones: Vec<String>,
    signal: UnixStream,
    stopping: Option<Instant>,
    next_token: usize,
}

impl Forwarder {
    /// Binds its address and reads its last list; `signal` becomes readable when it is to end.
    pub fn new(config: Config, signal: std::os::unix::net::UnixStream) -> Result<Self, String> {
        let poll = Poll::new().map_err(|error| format!("poll: {error}"))?;
        let (clock, now) = (Clock::start(), Instant::now());
        signal.set_nonblocking(true).map_err(|error| format!("signal pipe: {error}"))?;
        let mut signal = UnixStream::from_std(signal);
        let registered = poll.registry().register(&mut signal, SIGNAL, Interest::READABLE);
        registered.map_err(|error| format!("signal pipe: {error}"))?;
        let for_targets = (config.sockets as f64 * TARGETS_PART) as usize;
        let for_clients = config.sockets - for_targets - OTHER_DESCRIPTORS;
        let wire = config.wire;
        let zones = wire.zones.clone();
        let targets = Targets::new(wire.connect_timeout, wire.conn_idle, for_targets, now);
        let retry_after = Duration::from_secs_f64(config.settings.limits.max_retry_after_ms / 1000.0);
        let front = Front::listen(
            config.listen,
            LISTENER,
            poll.registry(),
            wire,
            clock,
            for_clients,
            config.memory,
            retry_after,
        )
        .map_err(|error| format!("{}: {error}", config.listen))?;
        let mut forwarder = Forwarder {
            poll,
            core: Core::new(clock),
            planner: Planner::new(config.settings, config.seed, clock),
            front,
            targets,
            discovery: Discovery::new(config.discovery, DISCOVERY, now),
            nodes: Nodes::default(),
            zones,
            signal,
            stopping: None,
            next_token: FIRST_FREE,
        };
        if let Some(known) = config.known {
            forwarder.take_list(known, ListKind::Cached);
        }
        tracing::info!(name = config.name, listen = %config.listen, "started");
        Ok(forwarder)
    }

    /// Runs until all is answered after a signal to end.
    pub fn run(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(1024);
        self.plan(Instant::now());
        loop {
            let now = Instant::now();
            let wait = self.next_timer(now).saturating_duration_since(now);
            match self.poll.poll(&mut events, Some(wait)) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            let now = Instant::now();
            for event in &events {
                self.gather(now, event.token());
            }
            self.accept(now);
            self.core.fire(now);
            self.targets.tick(now);
            self.discovery.tick(now, self.poll.registry());
            self.plan(now);
            if self.stopping.is_some_and(|since| now >= since + LINGER) {
                let closed = self.front.shut_down(now, &mut self.core);
                self.plan(now);
                if closed && self.core.open_requests() == 0 {
                    tracing::info!("ended\n{}", self.core.counters.text(0));
                    return Ok(());
                }
            }
        }
    }

    fn next_timer(&self, now: Instant) -> Instant {
        let mut next = self.targets.next_timer().min(self.discovery.next_timer());
        next = self.core.next_timer().map_or(next, |at| next.min(at));
        match self.stopping {
            Some(since) => next.min((since + LINGER).max(now + SHUTDOWN_LOOK)),
            None => next,
        }
    }

    fn gather(&mut self, now: Instant, token: Token) {
        match token {
            // Connections are accepted once all that is ready was looked at.
            LISTENER => {}
            SIGNAL => {
                let mut bytes = [0; 16];
                if self.signal.read(&mut bytes).is_ok_and(|count| count > 0) {
                    tracing::info!("asked to end");
                    self.stopping.get_or_insert(now);
                }
            }
            DISCOVERY => {
                let mut news = Vec::new();
                self.discovery.ready(now, &mut news);
                for message in news {
                    let kind = message.kind();
                    self.take_list(message, kind);
                }
            }
            Token(id) if id % 2 == 0 => self.front.ready(now, id, &mut self.core),
            Token(id) => self.targets.ready(now, id),
        }
    }

    /// Takes new connections, also those that had to wait for room.
    fn accept(&mut self, now: Instant) {
        let (registry, next) = (self.poll.registry(), &mut self.next_token);
        self.front.accept(now, registry, || {
            *next += 2;
            Token(*next & !1)
        });
    }

    fn take_list(&mut self, message: ListMessage, kind: ListKind) {
        let (event, unwanted) = self.nodes.take(message, kind, &self.zones);
        unwanted.into_iter().for_each(|node| self.targets.leave(node));
        self.core.tell(event);
    }

    /// Planner rounds until nothing more happens at once.
    fn plan(&mut self, now: Instant) {
        loop {
            for (attempt, ended) in std::mem::take(&mut self.targets.ended) {
                self.core.attempt_ended(now, attempt, ended);
            }
            let effects = self.core.drain_effects();
            if effects.is_empty() {
                let events = self.core.drain_events();
                if events.is_empty() {
                    return;
                }
                let actions = self.planner.decide(now, &events);
                self.core.carry_out(now, actions);
            }
            for effect in effects {
                self.carry_out(now, effect);
            }
        }
    }

    fn carry_out(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Answer { origin, answer } => self.front.answer(now, origin, answer, &mut self.core),
            Effect::Stop { attempt, outcome } => self.targets.stop(attempt, outcome),
            Effect::Start { attempt, node, content, give_up_at } => {
                let Some((address, _)) = self.nodes.known.get(&node).copied() else {
                    return self.core.attempt_ended(now, attempt, Ended::bare(Outcome::NotConnected));
                };
                self.next_token += 2;
                let (token, registry) = (Token(self.next_token | 1), self.poll.registry());
                self.targets.start(now, attempt, (node, address), &content, give_up_at, token, registry);
            }
        }
    }
}

//! One hollow initiator: the real control code, driven in the order of the program's loop, without clients and without
//! connections to nodes. All calls into the library's control code are here.

use super::files;
use super::messages::Standing;
use mio::{Registry, Token};
use std::path::Path;
use std::time::{Duration, Instant};
use topazpath::clock::Clock;
use topazpath::config::Config;
use topazpath::core::Core;
use topazpath::discovery::{Discovery, PollingPolicy};
use topazpath::fleet::speaker::Driver;
use topazpath::interface::{Event, NewRequest, RequestId, VolumeId};
use topazpath::memory::Budget;
use topazpath::nodes::Nodes;
use topazpath::planner::client::Planners;
use topazpath::planner::Planner;
use topazpath::tokens::{Kind, Tokens};

/// Parts of a real initiator that a hollow one lacks.
pub const LEFT_OUT: [&str; 9] = ["fronts: listeners, client connections, parsing and answers", "connections to nodes, attempts and their outcomes, so nothing learned of nodes", "requests before the scheduler: it is told lists alone (the planners' client is told of requests, where volumes are asked for)", "the pause that the loop makes between two turns", "signals, reload, admin endpoint and takeover by another process", "VRRP", "the second front", "the carrying of what was learned between processes", "a process of its own: memory of the program itself and its allocator is shared by many"];
/// Interval between rounds of simulated requests.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// One hollow initiator.
pub struct Hollow {
    who: usize,
    clock: Clock,
    core: Core,
    scheduler: Planner,
    planners: Planners,
    discovery: Discovery,
    nodes: Nodes,
    fleet: Driver,
    fleet_token: Token,
    fleet_lines: String,
    planner_lines: String,
    /// Number of the revision in force.
    revision: u64,
    /// Volumes requested every second, and distinct volumes in the fleet.
    simulated_requests: (usize, u64),
    next_requests: Option<Instant>,
    requests: u64,
    /// When its next iteration is due.
    pub due: Instant,
}

/// A change that an initiator has received and applied.
pub enum Applied {
    /// The node list of this version.
    List(u64),
    /// A revision of the live configuration: its number and the hash of its content.
    Revision(u64, String),
}

impl Hollow {
    /// Reads the files in `folder` and joins the fleet. Every token issued by `tokens` during the call belongs to this
    /// initiator. Fails if the configuration is unusable or a socket can't be opened.
    pub fn start(
        who: usize,
        folder: &Path,
        registry: &Registry,
        tokens: &mut Tokens,
        now: Instant,
    ) -> Result<Hollow, String> {
        let config = Config::read(&files::paths(folder))?;
        let clock = Clock::start();
        let settings = config.settings.clone();
        let names = config.live_configuration.then(|| config.names());
        let planners = Planners::new(
            &config.planners,
            config.partitions,
            &config.name,
            (settings.clone(), names),
            config.seed,
            (clock, now),
            tokens,
        );
        let scheduler = Planner::new(settings, config.seed, clock);
        let polling_policy = PollingPolicy::new(&config.settings, config.seed);
        let discovery =
            Discovery::new(config.discovery, tokens.next(Kind::Discovery), now, None, polling_policy);
        let fleet_token = tokens.next(Kind::Upgrade);
        let fleet_config = config.fleet.as_ref().ok_or("the configuration has no fleet section")?;
        let time_and_seed = (clock.unix(now), config.seed);
        let fleet = Driver::start(fleet_config, time_and_seed, None, fleet_token, registry, now)?;
        let mut core = Core::new(clock, config.settings.limits.max_retry_after, Budget::unlimited());
        core.set_classes(&config.settings.classes);
        Ok(Hollow {
            who,
            clock,
            core,
            scheduler,
            planners,
            discovery,
            nodes: Nodes::new(config.wire.zones.clone()),
            fleet,
            fleet_token,
            fleet_lines: String::new(),
            planner_lines: String::new(),
            revision: 0,
            simulated_requests: (0, 1),
            next_requests: None,
            requests: 0,
            due: now,
        })
    }

    /// Sets the simulated requests: `each` volumes every second, of `of` distinct volumes; 0 stops them.
    pub fn simulate_requests(&mut self, now: Instant, each: usize, of: u64) {
        self.simulated_requests = (each, of.max(1));
        self.next_requests = (each > 0).then_some(now);
        self.due = now;
    }

    /// Runs one iteration in the order of the program's loop: ready sockets first, then due timers. Returns the changes
    /// applied in it.
    pub fn run_iteration(&mut self, now: Instant, ready: &[Token], registry: &Registry) -> Vec<Applied> {
        let late = now.saturating_duration_since(self.due);
        let mut applied = Vec::new();
        self.core.set_lateness(late);
        for token in ready {
            if *token == self.fleet_token {
                self.fleet.set_readable();
            } else if Kind::of(token.0) == Some(Kind::Planner) {
                self.planners.ready(now, *token);
            } else if let Some(update) = self.discovery.ready(now, now, *token) {
                let (index, kind) = (update.message.index, update.message.kind());
                let (event, _) = self.nodes.apply(update, kind);
                self.core.push_event(event);
                applied.push(Applied::List(index));
            }
        }
        self.fleet.poll(now, late);
        if let Some((lines, _)) = self.fleet.due_report(now) {
            self.fleet_lines = lines;
        }
        self.core.fire_timers(now);
        self.discovery.tick(now, registry);
        if self.planners.tick(now, registry) {
            let (lines, json) = self.planners.info(now);
            self.planner_lines = lines;
            applied.extend(self.new_revision(&json));
        }
        self.follow_configuration(now);
        self.decide(now);
        self.due = self.next_timer(now);
        applied
    }

    /// Applies the newest revision received from planners, as the program's loop does.
    fn follow_configuration(&mut self, now: Instant) {
        let Some(prepared) = self.planners.prepared_configuration() else { return };
        if let Err(error) = self.scheduler.reconfigure(now, prepared.settings.clone()) {
            return self.planners.configuration_not_taken_over(&prepared, error.to_string());
        }
        let events = self.nodes.set_configured_out(now, self.clock.unix(now), &prepared.nodes_out);
        events.into_iter().for_each(|event| self.core.push_event(event));
        self.planners.configuration_taken_over(now, &prepared);
    }

    /// The revision in `report` if it is newer than the last one seen. It is seen late by up to the interval between
    /// two reports.
    fn new_revision(&mut self, report: &str) -> Option<Applied> {
        let (number, hash) = files::revision(report)?;
        let newer = number > self.revision;
        self.revision = number;
        newer.then_some(Applied::Revision(number, hash))
    }

    /// Passes pending events to the scheduler and carries out its actions, until no event is left.
    fn decide(&mut self, now: Instant) {
        let mut requests = self.requests_due(now);
        loop {
            let mut events = self.core.drain_events();
            let shares = self.planners.record_requests(now, &requests);
            requests.clear();
            events.splice(0..0, shares);
            if events.is_empty() {
                return;
            }
            let actions = self.scheduler.decide(now, &events);
            self.core.carry_out(now, actions);
            // Effects concern requests, of which there are none.
            self.core.drain_effects();
        }
    }

    /// Simulated requests for the planners' client to count, if they are due.
    fn requests_due(&mut self, now: Instant) -> Vec<Event> {
        if self.next_requests.take_if(|at| *at <= now).is_none() {
            return Vec::new();
        }
        self.next_requests = Some(now + REQUEST_INTERVAL);
        let (each, of) = self.simulated_requests;
        let first = self.who as u64 * each as u64;
        let deadline = self.clock.unix(now) + REQUEST_INTERVAL;
        (0..each as u64)
            .map(|at| {
                self.requests += 1;
                Event::Request(NewRequest {
                    id: RequestId(self.requests),
                    class: 0,
                    plan: 0,
                    volume: VolumeId(1 + (first + at) % of),
                    key: 0,
                    deadline,
                    units: files::MEAN_UNITS,
                    shard: Some(0),
                    volume_initiators: (each as f64).max(1.0),
                })
            })
            .collect()
    }

    fn next_timer(&self, now: Instant) -> Instant {
        let mut next = self.planners.next_timer();
        next = self.discovery.next_timer().map_or(next, |at| next.min(at));
        next = self.core.next_timer().map_or(next, |at| next.min(at));
        next = self.fleet.next_timer(now).map_or(next, |at| next.min(at));
        self.next_requests.map_or(next, |at| next.min(at))
    }

    /// Its present state.
    pub fn state(&self) -> Standing {
        let lines = format!("{}{}", self.fleet_lines, self.planner_lines);
        let mut state = Standing::read(self.who, &lines);
        state.list = self.discovery.version();
        state.nodes = self.nodes.ready();
        state
    }
}

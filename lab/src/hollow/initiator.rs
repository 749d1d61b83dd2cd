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
use topazpath::nodes::Nodes;
use topazpath::planner::client::Planners;
use topazpath::planner::Planner;
use topazpath::tokens::{Kind, Tokens};

/// What a hollow initiator lacks against a real one.
pub const LEFT_OUT: [&str; 9] = ["fronts: listeners, client connections, parsing and answers", "connections to nodes, attempts and their outcomes, so nothing learned of nodes", "requests before the scheduler: it is told lists alone (the planners' client is told of requests, where volumes are asked for)", "the pause that the loop makes between two turns", "signals, reload, admin endpoint and takeover by another process", "VRRP", "the second front", "the carrying of what was learned between processes", "a process of its own: memory of the program itself and its allocator is shared by many"];
/// How often volumes are asked for.
const ASKED: Duration = Duration::from_secs(1);

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
    /// Volumes asked for each second, and of how many.
    asks: (usize, u64),
    next_ask: Option<Instant>,
    requests: u64,
    /// When it is to be turned next.
    pub due: Instant,
}

/// What came to an initiator and is in use there.
pub enum Told {
    /// A version of the list.
    List(u64),
    /// A revision of the live configuration: its number, and its content's hash.
    Revision(u64, String),
}

impl Hollow {
    /// Reads its files and joins; the tokens it takes are those given out meanwhile.
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
        let manner = PollingPolicy::new(&config.settings, config.seed);
        let discovery = Discovery::new(config.discovery, tokens.next(Kind::Discovery), now, None, manner);
        let fleet_token = tokens.next(Kind::Upgrade);
        let part = config.fleet.as_ref().ok_or("no fleet is set up")?;
        let drawn = (clock.unix(now), config.seed);
        let fleet = Driver::start(part, drawn, None, fleet_token, registry, now)?;
        let mut core = Core::new(clock, config.settings.limits.max_retry_after);
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
            asks: (0, 1),
            next_ask: None,
            requests: 0,
            due: now,
        })
    }

    /// From now on so many volumes are asked for each second.
    pub fn ask(&mut self, now: Instant, each: usize, of: u64) {
        self.asks = (each, of.max(1));
        self.next_ask = (each > 0).then_some(now);
        self.due = now;
    }

    /// One turn, as the program's loop makes it: what is ready first, then what is due.
    pub fn turn(&mut self, now: Instant, ready: &[Token], registry: &Registry) -> Vec<Told> {
        let late = now.saturating_duration_since(self.due);
        let mut told = Vec::new();
        self.core.set_lateness(late);
        for token in ready {
            if *token == self.fleet_token {
                self.fleet.set_readable();
            } else if Kind::of(token.0) == Some(Kind::Planner) {
                self.planners.ready(now, *token);
            } else if let Some(news) = self.discovery.ready(now, now, *token) {
                let (index, kind) = (news.message.index, news.message.kind());
                let (event, _) = self.nodes.apply(news, kind);
                self.core.push_event(event);
                told.push(Told::List(index));
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
            told.extend(self.new_revision(&json));
        }
        self.follow_configuration(now);
        self.decide(now);
        self.due = self.next_timer(now);
        told
    }

    /// Takes over the newest revision that planners have sent, as the program's loop does.
    fn follow_configuration(&mut self, now: Instant) {
        let Some(prepared) = self.planners.prepared_configuration() else { return };
        if let Err(why) = self.scheduler.reconfigure(now, prepared.settings.clone()) {
            return self.planners.configuration_not_taken_over(&prepared, why.to_string());
        }
        let out = self.nodes.set_configured_out(now, self.clock.unix(now), &prepared.nodes_out);
        out.into_iter().for_each(|event| self.core.push_event(event));
        self.planners.configuration_taken_over(now, &prepared);
    }

    /// A revision that is in force since the last report. So its time is late by up to the pause between two reports.
    fn new_revision(&mut self, report: &str) -> Option<Told> {
        let (number, hash) = files::revision(report)?;
        let newer = number > self.revision;
        self.revision = number;
        newer.then_some(Told::Revision(number, hash))
    }

    /// What the scheduler is told, until nothing more happens at once.
    fn decide(&mut self, now: Instant) {
        let mut asked = self.requests_due(now);
        loop {
            let mut events = self.core.drain_events();
            let shares = self.planners.record_requests(now, &asked);
            asked.clear();
            events.splice(0..0, shares);
            if events.is_empty() {
                return;
            }
            let actions = self.scheduler.decide(now, &events);
            self.core.carry_out(now, actions);
            // There is no request that an effect could be for.
            self.core.drain_effects();
        }
    }

    /// Requests that the planners' client counts, where they are due.
    fn requests_due(&mut self, now: Instant) -> Vec<Event> {
        if self.next_ask.take_if(|at| *at <= now).is_none() {
            return Vec::new();
        }
        self.next_ask = Some(now + ASKED);
        let (each, of) = self.asks;
        let first = self.who as u64 * each as u64;
        let deadline = self.clock.unix(now) + ASKED;
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
        self.next_ask.map_or(next, |at| next.min(at))
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        let lines = format!("{}{}", self.fleet_lines, self.planner_lines);
        let mut standing = Standing::read(self.who, &lines);
        standing.list = self.discovery.version();
        standing.nodes = self.nodes.ready();
        standing
    }
}

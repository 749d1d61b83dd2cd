//! A forwarder's side of its planners: connections to all of them, reports to those that lead a partition, plans into
//! the store, and from the store what the scheduler is to know. Losing planners ends nothing: what they moved runs out.

use super::frame::{self, FromPlanner, ToPlanner, HEAD, MOST, SCHEMA};
use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::conn::{Conn, Connecting};
use crate::interface::{Event, Settings, VolumeId};
use crate::shares::deal;
use crate::shares::meter::Meter;
use crate::shares::store::{Mode, Store};
use crate::shares::{ForwarderId, Part, Resource, LONGEST};
use crate::tokens::{Kind, Tokens};
use mio::{Registry, Token};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often is reported. The heartbeat as well.
const REPORTS: Duration = Duration::from_millis(100);
/// How often a planner that leads nothing is told that this forwarder is there, in reports.
const ALIVE: u32 = 5;
/// A connection that is not up by then, or says nothing for as long, is given up.
const SILENCE: Duration = Duration::from_millis(1000);
/// The first and the longest pause before the next try.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1600));
/// Bytes that wait for a planner that does not read; reports beyond are left out, and the next says it all.
const MOST_UNREAD: usize = 64 * 1024;

/// The name of its report.
pub const REPORT: &str = "planners";

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Down { retry: Instant },
    Connecting { until: Instant },
    Up { heard: Instant },
}

struct Link {
    address: SocketAddr,
    token: Token,
    conn: Option<Conn>,
    state: State,
    /// Partitions that it says it leads.
    leads: Vec<u16>,
    backoff: Backoff,
}

/// The planners of one forwarder.
pub struct Planners {
    name: String,
    links: Vec<Link>,
    store: Store,
    meter: Meter,
    settings: Settings,
    /// Partitions, as keys to deal volumes to.
    partitions: Vec<u64>,
    clock: Clock,
    /// Parts that the scheduler was told of, where they are not even.
    told: BTreeMap<VolumeId, Part>,
    next_report: Instant,
    reports: u32,
    /// When parts may change by themselves.
    next_change: Instant,
    modes: Vec<Mode>,
    /// Plans taken, and left for being old.
    taken: u64,
    untaken: u64,
}

#[derive(Serialize)]
struct Report {
    partitions: Vec<PartitionReport>,
    cedes: bool,
    ceded: usize,
    granted: usize,
    volumes: usize,
    plans_taken: u64,
    plans_untaken: u64,
}

#[derive(Serialize)]
struct PartitionReport {
    mode: &'static str,
    term: Option<u64>,
    version: Option<u64>,
    age_ms: Option<u64>,
    led_by: Vec<SocketAddr>,
}

impl Planners {
    /// Knows no plan yet.
    pub fn new(
        addresses: &[SocketAddr],
        partitions: usize,
        name: &str,
        settings: Settings,
        seed: u64,
        (clock, now): (Clock, Instant),
        tokens: &mut Tokens,
    ) -> Self {
        let link = |address: &SocketAddr| Link {
            address: *address,
            token: tokens.next(Kind::Planner),
            conn: None,
            state: State::Down { retry: now },
            leads: Vec::new(),
            // Each draws pauses of its own.
            backoff: Backoff::new(PAUSES.0, PAUSES.1, seed ^ deal::hash(&address.to_string())),
        };
        let forwarder = ForwarderId(deal::hash(name));
        Planners {
            name: name.to_string(),
            links: addresses.iter().map(link).collect(),
            // Another at each start, also where the configuration's seed is not.
            store: Store::new(
                forwarder,
                seed ^ clock.unix(now).as_nanos() as u64,
                partitions,
                clock.unix(now),
            ),
            meter: Meter::default(),
            settings,
            partitions: (1..=partitions as u64).collect(),
            clock,
            told: BTreeMap::new(),
            next_report: now,
            reports: 0,
            next_change: now,
            modes: vec![Mode::Safe; partitions],
            taken: 0,
            untaken: 0,
        }
    }

    /// When [`Planners::tick`] has something to do.
    pub fn next_timer(&self) -> Instant {
        let links = self.links.iter().map(|link| match link.state {
            State::Down { retry } => retry,
            State::Connecting { until } => until,
            State::Up { heard } => heard + SILENCE,
        });
        links.chain([self.next_report, self.next_change]).min().unwrap_or(self.next_report)
    }

    /// Counts what clients ask for, and tells what the scheduler has to know before it hears of that.
    pub fn before(&mut self, now: Instant, events: &[Event]) -> Option<Event> {
        let at = self.clock.unix(now);
        let mut asked = false;
        for event in events {
            if let Event::Request(new) = event {
                asked |= self.meter.even(new.volume).is_none();
                self.meter.count(at, new, &self.settings);
            }
        }
        if !asked && now < self.next_change {
            return None;
        }
        self.store.forget(at);
        let young = self.store.is_young(at).then(|| now + LONGEST.min(REPORTS));
        let ends = self.store.next_end(at).map(|end| self.clock.instant(end));
        self.next_change = ends.into_iter().chain(young).min().unwrap_or(now + LONGEST);
        let mut limits = Vec::new();
        for (volume, even) in self.meter.volumes() {
            let part = self.store.share(at, Resource::Limit(volume.0), even);
            if part == even && self.told.remove(&volume).is_some() {
                limits.push((volume, None));
            } else if part != even && self.told.insert(volume, part) != Some(part) {
                limits.push((volume, Some(part.fraction())));
            }
        }
        // A volume that is metered no more was not asked for in a long time. Whoever asks for it again is counted first, and
        // so its part is told before.
        let (meter, told) = (&self.meter, &mut self.told);
        told.retain(|volume, _| {
            let kept = meter.even(*volume).is_some();
            if !kept {
                limits.push((*volume, None));
            }
            kept
        });
        (!limits.is_empty()).then_some(Event::Shares { limits, cold: Vec::new() })
    }

    /// Connects, gives up who is silent, reports where that is due; true if it did.
    pub fn tick(&mut self, now: Instant, registry: &Registry) -> bool {
        for at in 0..self.links.len() {
            let link = &mut self.links[at];
            match link.state {
                State::Down { retry } if retry <= now => {
                    link.conn = Conn::connect(link.address, link.token, registry).ok();
                    link.state = State::Connecting { until: now + SILENCE };
                    if link.conn.is_none() {
                        self.lose(now, at, "no connection");
                    }
                }
                State::Connecting { until } if until <= now => self.lose(now, at, "no connection"),
                State::Up { heard } if heard + SILENCE <= now => self.lose(now, at, "it is silent"),
                _ => {}
            }
        }
        let due = self.next_report <= now;
        if due {
            self.next_report = now + REPORTS;
            self.report(now);
            self.follow_modes(now);
        }
        due
    }

    fn report(&mut self, now: Instant) {
        let at = self.clock.unix(now);
        self.reports = self.reports.wrapping_add(1);
        if self.reports.is_multiple_of(ALIVE) {
            let mut output = Vec::new();
            frame::write(&ToPlanner::Alive, &mut output);
            let up = |link: &&mut Link| matches!(link.state, State::Up { .. });
            for conn in self.links.iter_mut().filter(up).filter_map(|link| link.conn.as_mut()) {
                if conn.unwritten() < MOST_UNREAD {
                    conn.push(&output);
                    // A broken connection shows at the next read as well.
                    let _ = conn.flush();
                }
            }
        }
        for partition in 0..self.partitions.len() {
            let leads = |link: &&mut Link| link.leads.contains(&(partition as u16));
            let partitions = &self.partitions;
            // Where two say that they lead, both hear the same, and the later term is gone by.
            for link in self.links.iter_mut().filter(leads) {
                let Some(conn) = link.conn.as_mut().filter(|conn| conn.unwritten() < MOST_UNREAD) else {
                    continue;
                };
                let is_of = |volume: VolumeId| deal::pick(volume.0, partitions) == Some(partition);
                let demands = self.meter.demands(at, is_of);
                let report = self.store.report(at, partition, demands, Vec::new());
                let mut output = Vec::new();
                frame::write(&ToPlanner::Report { partition: partition as u16, report }, &mut output);
                conn.push(&output);
                // A broken connection shows at the next read as well.
                let _ = conn.flush();
            }
        }
    }

    fn follow_modes(&mut self, now: Instant) {
        let at = self.clock.unix(now);
        for partition in 0..self.modes.len() {
            let mode = self.store.mode(at, partition);
            let before = std::mem::replace(&mut self.modes[partition], mode);
            if before != mode {
                let term = self.store.plan(at, partition).map(|(term, ..)| term.number);
                tracing::info!(partition, from = before.name(), to = mode.name(), term, "planner mode");
            }
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Instant, token: Token) {
        let Some(at) = self.links.iter().position(|link| link.token == token) else { return };
        let link = &mut self.links[at];
        let Some(conn) = &mut link.conn else { return };
        if matches!(link.state, State::Connecting { .. }) {
            match conn.connecting() {
                Connecting::Pending => return,
                Connecting::Failed => return self.lose(now, at, "no connection"),
                Connecting::Up => {
                    let mut output = Vec::new();
                    let forwarder = self.name.clone();
                    frame::write(&ToPlanner::Hello { schema: SCHEMA, forwarder }, &mut output);
                    conn.push(&output);
                    link.state = State::Up { heard: now };
                }
            }
        }
        let end = conn.read(MOST + HEAD);
        let flushed = conn.flush();
        loop {
            let Some(conn) = &mut self.links[at].conn else { return };
            match frame::take::<FromPlanner>(&mut conn.input) {
                Ok(None) => break,
                Ok(Some(message)) => self.hear(now, at, message),
                Err(why) => return self.lose(now, at, &why),
            }
        }
        if flushed.is_err() || end.is_over() {
            self.lose(now, at, "it closed");
        }
    }

    fn hear(&mut self, now: Instant, at: usize, message: FromPlanner) {
        let link = &mut self.links[at];
        link.state = State::Up { heard: now };
        match message {
            FromPlanner::Welcome { partitions } if usize::from(partitions) == self.partitions.len() => {
                link.backoff.reset();
                tracing::info!(planner = %link.address, "planner found");
            }
            FromPlanner::Welcome { partitions } => {
                let why = format!("it deals to {partitions} partitions, not to {}", self.partitions.len());
                self.lose(now, at, &why);
            }
            FromPlanner::Refused(why) => self.lose(now, at, &why),
            FromPlanner::Leads(leads) => link.leads = leads,
            FromPlanner::Plan { partition, plan } if usize::from(partition) < self.partitions.len() => {
                let (unix, meter) = (self.clock.unix(now), &self.meter);
                let even = |resource: Resource| match resource {
                    Resource::Limit(volume) => meter.even(VolumeId(volume)),
                    Resource::Cold(_) => None,
                };
                match self.store.take(unix, usize::from(partition), &plan, even) {
                    Ok(()) => {
                        self.taken += 1;
                        if !plan.moves.is_empty() {
                            self.next_change = now;
                        }
                    }
                    Err(why) => {
                        self.untaken += 1;
                        tracing::debug!(?why, "a plan is not taken");
                    }
                }
            }
            FromPlanner::Plan { .. } => {}
            FromPlanner::Update(_) | FromPlanner::Quorum(_) | FromPlanner::OperatorReply(_) => {}
        }
    }

    fn lose(&mut self, now: Instant, at: usize, why: &str) {
        let link = &mut self.links[at];
        if matches!(link.state, State::Up { .. }) {
            tracing::warn!(planner = %link.address, "planner lost: {why}");
        }
        // Guards a planner that comes back from a thousand forwarders at once.
        let pause = link.backoff.pause();
        link.conn = None;
        link.leads.clear();
        link.state = State::Down { retry: now + pause };
    }

    /// Lines for `INFO`, and all of it as JSON.
    pub fn info(&self, now: Instant) -> (String, String) {
        let at = self.clock.unix(now);
        let partition = |partition: usize| {
            let plan = self.store.plan(at, partition);
            let leads = |link: &&Link| link.leads.contains(&(partition as u16));
            PartitionReport {
                mode: self.store.mode(at, partition).name(),
                term: plan.map(|(term, ..)| term.number),
                version: plan.map(|(_, version, _)| version),
                age_ms: plan.map(|(.., age)| age.as_millis() as u64),
                led_by: self.links.iter().filter(leads).map(|link| link.address).collect(),
            }
        };
        let (ceded, granted) = self.store.in_force(at);
        let report = Report {
            partitions: (0..self.partitions.len()).map(partition).collect(),
            cedes: !self.store.is_young(at),
            ceded,
            granted,
            volumes: self.meter.volumes().count(),
            plans_taken: self.taken,
            plans_untaken: self.untaken,
        };
        let in_mode =
            |name: &str| report.partitions.iter().filter(|partition| partition.mode == name).count();
        let lines = format!(
            "planners_partitions_planned:{}\r\nplanners_partitions_stale:{}\r\nplanners_partitions_safe:{}\r\n\
             planners_moves_ceded:{ceded}\r\nplanners_moves_granted:{granted}\r\nplanners_plans_taken:{}\r\n\
             planners_plans_untaken:{}\r\n",
            in_mode("planned"),
            in_mode("stale"),
            in_mode("safe"),
            self.taken,
            self.untaken
        );
        // Nothing in it can fail to be written.
        (lines, serde_json::to_string(&report).unwrap_or_default())
    }
}

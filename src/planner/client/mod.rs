//! A forwarder's side of its planners: connections to all of them, reports to those that lead a partition, plans into
//! the store, and from the store what the scheduler is to know. Losing planners ends nothing: what they moved runs out.

mod configuration;
mod link;

use super::frame::{self, FromPlanner, ToPlanner, LENGTH_BYTES, MAX_MESSAGE_BYTES};
use crate::clock::Clock;
use crate::conn::{Conn, Connecting};
use crate::interface::{Event, Settings, VolumeId};
use crate::revisions::document::Names;
use crate::revisions::follower::Prepared;
use crate::shares::deal;
use crate::shares::meter::Meter;
use crate::shares::store::{Mode, Store};
use crate::shares::{ForwarderId, Resource, Share, MAX_MOVE_DURATION};
use crate::tokens::{Kind, Tokens};
use configuration::{Configuration, ConfigurationReport};
use link::{Link, State, SILENCE};
use mio::{Registry, Token};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often is reported. The heartbeat as well.
const REPORTS: Duration = Duration::from_millis(100);
/// How often a planner that leads nothing is told that this forwarder is there, in reports.
const ALIVE: u32 = 5;

/// The name of its report.
pub const REPORT: &str = "planners";

/// The planners of one forwarder.
pub struct Planners {
    name: String,
    links: Vec<Link>,
    store: Store,
    meter: Meter,
    settings: Settings,
    /// Live configuration, where it is on.
    configuration: Option<Configuration>,
    /// Partitions, as keys to deal volumes to.
    partitions: Vec<u64>,
    clock: Clock,
    /// Parts that the scheduler was told of, where they are not even.
    told: BTreeMap<VolumeId, Share>,
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
    /// Operators know these two by their older names.
    #[serde(rename = "cedes")]
    gives_back: bool,
    #[serde(rename = "ceded")]
    reclaimed: usize,
    granted: usize,
    volumes: usize,
    plans_taken: u64,
    plans_untaken: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    configuration: Option<ConfigurationReport>,
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
    /// Knows no plan yet. With the names that revisions may refer to live configuration is on.
    pub fn new(
        addresses: &[SocketAddr],
        partitions: usize,
        name: &str,
        (settings, names): (Settings, Option<Names>),
        seed: u64,
        (clock, now): (Clock, Instant),
        tokens: &mut Tokens,
    ) -> Self {
        let link = |address: &SocketAddr| Link::new(*address, tokens.next(Kind::Planner), seed, now);
        let configuration =
            names.map(|names| Configuration::new(settings.clone(), names, name, addresses, now));
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
            configuration,
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
        let links = self.links.iter().map(Link::next_timer);
        links.chain([self.next_report, self.next_change]).min().unwrap_or(self.next_report)
    }

    /// Counts what clients ask for, and tells what the scheduler has to know before it hears of that.
    pub fn record_requests(&mut self, now: Instant, events: &[Event]) -> Option<Event> {
        let at = self.clock.unix(now);
        let mut asked = false;
        for event in events {
            if let Event::Request(new) = event {
                asked |= self.meter.even_share(new.volume).is_none();
                self.meter.record(at, new, &self.settings);
            }
        }
        if !asked && now < self.next_change {
            return None;
        }
        self.store.drop_expired(at);
        let young = self.store.is_starting(at).then(|| now + MAX_MOVE_DURATION.min(REPORTS));
        let ends = self.store.next_expiry(at).map(|end| self.clock.instant(end));
        self.next_change = ends.into_iter().chain(young).min().unwrap_or(now + MAX_MOVE_DURATION);
        let mut limits = Vec::new();
        for (volume, even_share) in self.meter.volumes() {
            let part = self.store.usable_share(at, Resource::Limit(volume.0), even_share);
            if part == even_share && self.told.remove(&volume).is_some() {
                limits.push((volume, None));
            } else if part != even_share && self.told.insert(volume, part) != Some(part) {
                limits.push((volume, Some(part.fraction())));
            }
        }
        // A volume that is metered no more was not asked for in a long time. Whoever asks for it again is counted first, and
        // so its part is told before.
        let (meter, told) = (&self.meter, &mut self.told);
        told.retain(|volume, _| {
            let kept = meter.even_share(*volume).is_some();
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
            for link in self.links.iter_mut().filter(|link| link.is_up()) {
                link.send_if_read(&ToPlanner::Alive);
            }
        }
        for partition in 0..self.partitions.len() {
            let leads = |link: &&mut Link| link.leads.contains(&(partition as u16));
            let partitions = &self.partitions;
            // Where two say that they lead, both hear the same, and the later term is gone by.
            for link in self.links.iter_mut().filter(leads) {
                let is_of = |volume: VolumeId| deal::pick(volume.0, partitions) == Some(partition);
                let demands = self.meter.demands(at, is_of);
                let report = self.store.build_report(at, partition, demands, Vec::new());
                link.send_if_read(&ToPlanner::Report { partition: partition as u16, report });
            }
        }
    }

    fn follow_modes(&mut self, now: Instant) {
        let at = self.clock.unix(now);
        for partition in 0..self.modes.len() {
            let mode = self.store.mode(at, partition);
            let before = std::mem::replace(&mut self.modes[partition], mode);
            if before != mode {
                let term = self.store.latest_plan(at, partition).map(|(term, ..)| term.number);
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
                    link.greet(now, &self.name);
                    self.configure(|configuration| configuration.connected(at));
                }
            }
        }
        let Some(conn) = &mut self.links[at].conn else { return };
        let end = conn.read(MAX_MESSAGE_BYTES + LENGTH_BYTES);
        let flushed = conn.flush();
        loop {
            let Some(conn) = &mut self.links[at].conn else { return };
            match frame::decode::<FromPlanner>(&mut conn.input) {
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
        if let Some(configuration) = &mut self.configuration {
            configuration.heard(now, at);
        }
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
                let even_share = |resource: Resource| match resource {
                    Resource::Limit(volume) => meter.even_share(VolumeId(volume)),
                    Resource::SlowStart(_) => None,
                };
                match self.store.apply_plan(unix, usize::from(partition), &plan, even_share) {
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
            FromPlanner::Quorum(_) | FromPlanner::Update(_) if self.configuration.is_none() => {
                tracing::debug!(planner = %link.address, "live configuration is off here");
            }
            FromPlanner::Quorum(quorum) => {
                self.configure(|configuration| configuration.quorum(now, at, quorum));
            }
            FromPlanner::Update(update) => {
                self.configure(|configuration| configuration.update(at, update));
            }
            FromPlanner::OperatorReply(_) => {
                tracing::debug!(planner = %link.address, "an answer that nobody asked for");
            }
        }
    }

    fn lose(&mut self, now: Instant, at: usize, why: &str) {
        self.links[at].lose(now, why);
        self.configure(|configuration| configuration.disconnected(at));
    }

    /// Where live configuration is on, does something in it and sends what is to be said then.
    fn configure(&mut self, act: impl FnOnce(&mut Configuration) -> Vec<(usize, ToPlanner)>) {
        let Some(configuration) = &mut self.configuration else { return };
        for (at, message) in act(configuration) {
            self.links[at].send(&message);
        }
    }

    /// The newest revision that can be taken over; it is handed out once. Say with [`Planners::configuration_taken_over`]
    /// that it was, or with [`Planners::configuration_not_taken_over`] why it could not be.
    pub fn prepared_configuration(&mut self) -> Option<Prepared> {
        self.configuration.as_mut()?.take_prepared()
    }

    /// A revision is in force here from now on. Demand is measured against its limits, and all planners learn it.
    pub fn configuration_taken_over(&mut self, now: Instant, prepared: &Prepared) {
        self.settings = prepared.settings.clone();
        // Limits may have come, gone or changed.
        self.next_change = now;
        self.configure(|configuration| configuration.took_over(prepared));
    }

    /// A prepared revision can't be taken over, for this reason; what was in force still is, and all planners learn it.
    pub fn configuration_not_taken_over(&mut self, prepared: &Prepared, why: String) {
        tracing::warn!("revision {} is refused: {why}", prepared.id);
        self.configure(|configuration| configuration.could_not_take_over(prepared, why));
    }

    /// Lines for `INFO`, and all of it as JSON.
    pub fn info(&self, now: Instant) -> (String, String) {
        let at = self.clock.unix(now);
        let partition = |partition: usize| {
            let plan = self.store.latest_plan(at, partition);
            let leads = |link: &&Link| link.leads.contains(&(partition as u16));
            PartitionReport {
                mode: self.store.mode(at, partition).name(),
                term: plan.map(|(term, ..)| term.number),
                version: plan.map(|(_, version, _)| version),
                age_ms: plan.map(|(.., age)| age.as_millis() as u64),
                led_by: self.links.iter().filter(leads).map(|link| link.address).collect(),
            }
        };
        let (reclaimed, granted) = self.store.in_force(at);
        let report = Report {
            partitions: (0..self.partitions.len()).map(partition).collect(),
            gives_back: !self.store.is_starting(at),
            reclaimed,
            granted,
            volumes: self.meter.volumes().count(),
            plans_taken: self.taken,
            plans_untaken: self.untaken,
            configuration: self.configuration.as_ref().map(|configuration| configuration.report(now)),
        };
        let in_mode =
            |name: &str| report.partitions.iter().filter(|partition| partition.mode == name).count();
        let mut lines = format!(
            "planners_partitions_planned:{}\r\nplanners_partitions_stale:{}\r\nplanners_partitions_safe:{}\r\n\
             planners_moves_ceded:{reclaimed}\r\nplanners_moves_granted:{granted}\r\nplanners_plans_taken:{}\r\n\
             planners_plans_untaken:{}\r\n",
            in_mode("planned"),
            in_mode("stale"),
            in_mode("safe"),
            self.taken,
            self.untaken
        );
        if let Some(configuration) = &report.configuration {
            lines += &format!(
                "configuration_number:{}\r\nconfiguration_age_ms:{}\r\nconfiguration_subscribed:{}\r\n",
                configuration.number,
                configuration.age_ms,
                u8::from(configuration.source.is_some())
            );
        }
        // Nothing in it can fail to be written.
        (lines, serde_json::to_string(&report).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;

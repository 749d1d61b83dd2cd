//! A forwarder's client of the remote planners: connects to all of them, reports demand to those that lead a partition,
//! stores their plans and tells the scheduler the resulting shares. Losing the planners ends no request: their moves
//! expire, and each forwarder returns to its even share.

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
use link::{Link, State, SILENCE_TIMEOUT};
use mio::{Registry, Token};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval of reports. Also the heartbeat.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of heartbeats to planners that lead nothing, as a number of report intervals.
const HEARTBEAT_REPORTS: u32 = 5;

/// The name of the report about planners on the `INFO` command.
pub const REPORT: &str = "planners";

/// The planners of one forwarder.
pub struct Planners {
    name: String,
    links: Vec<Link>,
    store: Store,
    meter: Meter,
    settings: Settings,
    /// Live configuration, if enabled.
    configuration: Option<Configuration>,
    /// Keys of the partitions for the rendezvous hashing of volumes.
    partitions: Vec<u64>,
    clock: Clock,
    /// Shares that the scheduler was told of, where they differ from the even share.
    announced: BTreeMap<VolumeId, Share>,
    next_report: Instant,
    reports: u32,
    /// When shares may change next because a move expires.
    next_change: Instant,
    modes: Vec<Mode>,
    /// Numbers of plans applied and rejected.
    plans_taken: u64,
    plans_untaken: u64,
}

#[derive(Serialize)]
struct Report {
    partitions: Vec<PartitionReport>,
    /// These two have older names in the JSON report.
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
    /// A client without plans. Live configuration is enabled if the names that revisions may refer to are given.
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
            // Differs at each start, also if the configured seed does not.
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
            announced: BTreeMap::new(),
            next_report: now,
            reports: 0,
            next_change: now,
            modes: vec![Mode::Safe; partitions],
            plans_taken: 0,
            plans_untaken: 0,
        }
    }

    /// When [`Planners::tick`] is due next.
    pub fn next_timer(&self) -> Instant {
        let links = self.links.iter().map(Link::next_timer);
        links.chain([self.next_report, self.next_change]).min().unwrap_or(self.next_report)
    }

    /// Records the demand of new requests. Returns changed shares, which the scheduler must receive before these
    /// requests.
    pub fn record_requests(&mut self, now: Instant, events: &[Event]) -> Option<Event> {
        let at = self.clock.unix(now);
        let mut is_new = false;
        for event in events {
            if let Event::Request(new) = event {
                is_new |= self.meter.even_share(new.volume).is_none();
                self.meter.record(at, new, &self.settings);
            }
        }
        if !is_new && now < self.next_change {
            return None;
        }
        self.store.drop_expired(at);
        let startup_check = self.store.is_starting(at).then(|| now + MAX_MOVE_DURATION.min(REPORT_INTERVAL));
        let next_expiry_at = self.store.next_expiry(at).map(|end| self.clock.instant(end));
        self.next_change =
            next_expiry_at.into_iter().chain(startup_check).min().unwrap_or(now + MAX_MOVE_DURATION);
        let mut limits = Vec::new();
        for (volume, even_share) in self.meter.volumes() {
            let share = self.store.usable_share(at, Resource::Limit(volume.0), even_share);
            if share == even_share && self.announced.remove(&volume).is_some() {
                limits.push((volume, None));
            } else if share != even_share && self.announced.insert(volume, share) != Some(share) {
                limits.push((volume, Some(share.fraction())));
            }
        }
        // A volume that is no longer metered had no requests for a long time. Its next request is recorded first, so
        // its share is announced before the scheduler sees the request.
        let (meter, announced) = (&self.meter, &mut self.announced);
        announced.retain(|volume, _| {
            let is_metered = meter.even_share(*volume).is_some();
            if !is_metered {
                limits.push((*volume, None));
            }
            is_metered
        });
        (!limits.is_empty()).then_some(Event::Shares { limits, slow_start: Vec::new() })
    }

    /// Connects, disconnects silent planners and sends reports when due; true if reports were due.
    pub fn tick(&mut self, now: Instant, registry: &Registry) -> bool {
        for at in 0..self.links.len() {
            let link = &mut self.links[at];
            match link.state {
                State::Down { retry } if retry <= now => {
                    link.conn = Conn::connect(link.address, link.token, registry).ok();
                    link.state = State::Connecting { deadline: now + SILENCE_TIMEOUT };
                    if link.conn.is_none() {
                        self.disconnect(now, at, "no connection");
                    }
                }
                State::Connecting { deadline } if deadline <= now => {
                    self.disconnect(now, at, "no connection")
                }
                State::Up { last_received } if last_received + SILENCE_TIMEOUT <= now => {
                    self.disconnect(now, at, "it is silent")
                }
                _ => {}
            }
        }
        let is_due = self.next_report <= now;
        if is_due {
            self.next_report = now + REPORT_INTERVAL;
            self.report(now);
            self.log_mode_changes(now);
        }
        is_due
    }

    fn report(&mut self, now: Instant) {
        let at = self.clock.unix(now);
        self.reports = self.reports.wrapping_add(1);
        if self.reports.is_multiple_of(HEARTBEAT_REPORTS) {
            for link in self.links.iter_mut().filter(|link| link.is_up()) {
                link.send_if_accepted(&ToPlanner::Alive);
            }
        }
        for partition in 0..self.partitions.len() {
            let leads = |link: &&mut Link| link.leads.contains(&(partition as u16));
            let partitions = &self.partitions;
            // If two planners claim to lead, both get the same report, and the plan of the later term wins.
            for link in self.links.iter_mut().filter(leads) {
                let is_of = |volume: VolumeId| deal::pick(volume.0, partitions) == Some(partition);
                let demands = self.meter.demands(at, is_of);
                let report = self.store.build_report(at, partition, demands, Vec::new());
                link.send_if_accepted(&ToPlanner::Report { partition: partition as u16, report });
            }
        }
    }

    fn log_mode_changes(&mut self, now: Instant) {
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

    /// Handles readiness of a connection.
    pub fn ready(&mut self, now: Instant, token: Token) {
        let Some(at) = self.links.iter().position(|link| link.token == token) else { return };
        let link = &mut self.links[at];
        let Some(conn) = &mut link.conn else { return };
        if matches!(link.state, State::Connecting { .. }) {
            match conn.connecting() {
                Connecting::Pending => return,
                Connecting::Failed => return self.disconnect(now, at, "no connection"),
                Connecting::Up => {
                    link.send_hello(now, &self.name);
                    self.with_configuration(|configuration| configuration.connected(at));
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
                Ok(Some(message)) => self.handle_message(now, at, message),
                Err(why) => return self.disconnect(now, at, &why),
            }
        }
        if flushed.is_err() || end.is_over() {
            self.disconnect(now, at, "it closed");
        }
    }

    fn handle_message(&mut self, now: Instant, at: usize, message: FromPlanner) {
        let link = &mut self.links[at];
        link.state = State::Up { last_received: now };
        if let Some(configuration) = &mut self.configuration {
            configuration.planner_heard(now, at);
        }
        match message {
            FromPlanner::Welcome { partitions } if usize::from(partitions) == self.partitions.len() => {
                link.backoff.reset();
                tracing::info!(planner = %link.address, "connected to planner");
            }
            FromPlanner::Welcome { partitions } => {
                let why = format!("it deals to {partitions} partitions, not to {}", self.partitions.len());
                self.disconnect(now, at, &why);
            }
            FromPlanner::Refused(why) => self.disconnect(now, at, &why),
            FromPlanner::Leads(leads) => link.leads = leads,
            FromPlanner::Plan { partition, plan } if usize::from(partition) < self.partitions.len() => {
                let (unix, meter) = (self.clock.unix(now), &self.meter);
                let even_share = |resource: Resource| match resource {
                    Resource::Limit(volume) => meter.even_share(VolumeId(volume)),
                    Resource::SlowStart(_) => None,
                };
                match self.store.apply_plan(unix, usize::from(partition), &plan, even_share) {
                    Ok(()) => {
                        self.plans_taken += 1;
                        if !plan.moves.is_empty() {
                            self.next_change = now;
                        }
                    }
                    Err(why) => {
                        self.plans_untaken += 1;
                        tracing::debug!(?why, "plan rejected");
                    }
                }
            }
            FromPlanner::Plan { .. } => {}
            FromPlanner::Quorum(_) | FromPlanner::Update(_) if self.configuration.is_none() => {
                tracing::debug!(planner = %link.address, "ignoring live configuration, which is disabled");
            }
            FromPlanner::Quorum(quorum) => {
                self.with_configuration(|configuration| configuration.quorum(now, at, quorum));
            }
            FromPlanner::Update(update) => {
                self.with_configuration(|configuration| configuration.update(at, update));
            }
            FromPlanner::OperatorReply(_) => {
                tracing::debug!(planner = %link.address, "unexpected answer to an operator");
            }
        }
    }

    fn disconnect(&mut self, now: Instant, at: usize, why: &str) {
        self.links[at].disconnect(now, why);
        self.with_configuration(|configuration| configuration.disconnected(at));
    }

    /// Calls the live configuration, if enabled, and sends the resulting messages.
    fn with_configuration(&mut self, act: impl FnOnce(&mut Configuration) -> Vec<(usize, ToPlanner)>) {
        let Some(configuration) = &mut self.configuration else { return };
        for (at, message) in act(configuration) {
            self.links[at].send(&message);
        }
    }

    /// The newest revision that is ready to be applied. It is returned once; the result has to be reported with
    /// [`Planners::configuration_taken_over`] or [`Planners::configuration_not_taken_over`].
    pub fn prepared_configuration(&mut self) -> Option<Prepared> {
        self.configuration.as_mut()?.take_prepared()
    }

    /// Marks a revision as in force: demand is measured against its limits from now on, and all planners are notified.
    pub fn configuration_taken_over(&mut self, now: Instant, prepared: &Prepared) {
        self.settings = prepared.settings.clone();
        // The revision may have added, removed or changed limits.
        self.next_change = now;
        self.with_configuration(|configuration| configuration.confirm_applied(prepared));
    }

    /// Refuses a prepared revision for the reason `why`; the revision in force stays, and all planners are notified.
    pub fn configuration_not_taken_over(&mut self, prepared: &Prepared, why: String) {
        tracing::warn!("revision {} is refused: {why}", prepared.id);
        self.with_configuration(|configuration| configuration.reject_prepared(prepared, why));
    }

    /// Lines for `INFO`, and the whole report as JSON.
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
            plans_taken: self.plans_taken,
            plans_untaken: self.plans_untaken,
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
            self.plans_taken,
            self.plans_untaken
        );
        if let Some(configuration) = &report.configuration {
            lines += &format!(
                "configuration_number:{}\r\nconfiguration_age_ms:{}\r\nconfiguration_subscribed:{}\r\n",
                configuration.number,
                configuration.age_ms,
                u8::from(configuration.source.is_some())
            );
        }
        // Serialization of these types can't fail.
        (lines, serde_json::to_string(&report).unwrap_or_default())
    }
}

#[cfg(test)]
mod tests;

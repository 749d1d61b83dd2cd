//! What an operator is told of the virtual routers: lines behind the counters of `INFO`, and a snapshot as JSON.

use super::machine::State;
use super::routers::{Errors, Statistics};
use super::speaker::Driver;
use super::track::Condition;
use crate::handover::Share;
use serde::Serialize;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// All there is to tell at one moment.
#[derive(Debug, Serialize)]
pub struct Snapshot {
    /// Its routers.
    pub routers: Vec<RouterReport>,
    /// Conditions that lower the priorities now.
    pub holds: Vec<&'static str>,
    /// Counts of packets that belong to no router, by their names in RFC 8347.
    pub errors: Counts,
    /// Parts of each limit, in rate and at once, that this machine may use.
    pub rate_share: f64,
    /// Likewise.
    pub burst_share: f64,
}

/// Counts by name.
pub type Counts = Vec<(&'static str, u64)>;

/// One router.
#[derive(Debug, Serialize)]
pub struct RouterReport {
    /// Its name.
    pub name: String,
    /// Its number.
    pub vrid: u8,
    /// `initialize`, `backup` or `active`.
    pub state: &'static str,
    /// Its priority now, and as configured.
    pub priority: u8,
    /// As configured.
    pub configured_priority: u8,
    /// The addresses it stands for.
    pub addresses: Vec<IpAddr>,
    /// What this machine does for the address: `standby`, `opening`, `serving` or `retired`.
    pub duty: &'static str,
    /// Requests taken at the address that have no final answer yet.
    pub open_requests: usize,
    /// Milliseconds until it would take over, while it waits.
    pub active_down_ms: Option<u64>,
    /// Milliseconds until it advertises, while it is Active.
    pub adver_ms: Option<u64>,
    /// The Active router's interval, and its own.
    pub active_interval_ms: u64,
    /// As configured.
    pub interval_ms: u64,
    /// Skew_Time, in microseconds.
    pub skew_us: u64,
    /// Counts by their names in RFC 8347.
    pub statistics: Counts,
}

/// What only the owner of the addresses knows of a router.
#[derive(Clone, Copy, Debug)]
pub struct ServiceStatus {
    /// The duty's name.
    pub duty: &'static str,
    /// Requests open at the address.
    pub open_requests: usize,
}

impl Snapshot {
    /// Takes one; `served` tells of each router by position.
    pub fn take(
        driver: &Driver,
        now: Instant,
        share: Share,
        mut served: impl FnMut(usize) -> ServiceStatus,
    ) -> Snapshot {
        let (routers, since_start) = (driver.routers(), driver.since_start(now));
        let report = |at: usize| {
            let (own, machine) = (routers.router(at), routers.machine(at));
            let ServiceStatus { duty, open_requests } = served(at);
            let (down, adver) = match machine.state() {
                State::Initialize => (None, None),
                State::Backup { down_at } => (down_at, None),
                State::Active { advertise_at, .. } => (None, Some(advertise_at)),
            };
            let left = |at: Duration| millis(at.saturating_sub(since_start));
            RouterReport {
                name: own.name.clone(),
                vrid: own.vrid,
                state: machine.role().name(),
                priority: machine.priority(),
                configured_priority: own.priority,
                addresses: own.addresses.clone(),
                duty,
                open_requests,
                active_down_ms: down.map(left),
                adver_ms: adver.map(left),
                active_interval_ms: millis(machine.active_interval()),
                interval_ms: millis(own.parameters.interval),
                skew_us: machine.skew_time().as_micros() as u64,
                statistics: routers.statistics(at).counts(),
            }
        };
        let holds = Condition::ALL.into_iter().filter(|it| routers.tracker().holds(*it));
        let mut errors = routers.errors.counts();
        errors.extend([("bytes-sent", driver.bytes_sent), ("send-errors", driver.send_errors)]);
        Snapshot {
            routers: routers.all().map(report).collect(),
            holds: holds.map(Condition::name).collect(),
            errors,
            rate_share: share.rate,
            burst_share: share.burst,
        }
    }

    /// Lines for `INFO`: how many routers are in which state, and the sums of all counts.
    pub fn lines(&self) -> String {
        let mut lines: Counts = Vec::new();
        for (name, state) in
            [("routers_active", "active"), ("routers_backup", "backup"), ("routers_initialize", "initialize")]
        {
            lines.push((name, self.routers.iter().filter(|router| router.state == state).count() as u64));
        }
        let holding = self.routers.iter().map(|router| router.statistics.as_slice());
        for counts in holding.chain([self.errors.as_slice()]) {
            for (name, count) in counts {
                match lines.iter_mut().find(|(known, _)| known == name) {
                    Some((_, sum)) => *sum += count,
                    None => lines.push((name, *count)),
                }
            }
        }
        let line = |(name, count): &(&str, u64)| format!("vrrp_{}:{count}\r\n", name.replace('-', "_"));
        lines.iter().map(line).collect()
    }

    /// The snapshot as one line of JSON.
    pub fn json(&self) -> String {
        // Nothing in it can fail to be written.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Statistics {
    /// By their names in RFC 8347, the last one our own.
    pub fn counts(&self) -> Counts {
        vec![
            ("master-transitions", self.active_transitions),
            ("advertisement-rcvd", self.advertisements_received),
            ("advertisement-sent", self.advertisements_sent),
            ("interval-errors", self.interval_errors),
            ("priority-zero-pkts-rcvd", self.priority_zero_received),
            ("priority-zero-pkts-sent", self.priority_zero_sent),
            ("invalid-type-pkts-rcvd", self.invalid_type_received),
            ("address-list-errors", self.address_list_errors),
            ("packet-length-errors", self.packet_length_errors),
            ("heard-as-owner", self.ignored_as_owner),
        ]
    }
}

impl Errors {
    /// By their names in RFC 8347, the last one our own.
    pub fn counts(&self) -> Counts {
        vec![
            ("checksum-errors", self.checksum),
            ("version-errors", self.version),
            ("vrid-errors", self.vrid),
            ("ip-ttl-errors", self.ttl),
            ("strangers", self.unknown_senders),
        ]
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

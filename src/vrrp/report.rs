//! The virtual routers as operators see them: rows of `INFO`, and a snapshot as JSON.

use super::machine::State;
use super::routers::{Errors, Statistics};
use super::speaker::Driver;
use super::track::Condition;
use crate::handover::Share;
use serde::Serialize;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// The state of all virtual routers at one moment. Field names are those of the JSON.
#[derive(Debug, Serialize)]
pub struct Snapshot {
    /// The virtual routers.
    pub routers: Vec<RouterReport>,
    /// Names of the conditions that lower the priorities at present.
    #[serde(rename = "holds")]
    pub active_conditions: Vec<&'static str>,
    /// Counts of packets that belong to no virtual router, and of sent bytes; named as in RFC 8347 where it has them.
    pub errors: Counts,
    /// Share of each limit's rate that this host may use.
    pub rate_share: f64,
    /// Share of each limit's burst that this host may use.
    pub burst_share: f64,
}

/// Names and values of counters.
pub type Counts = Vec<(&'static str, u64)>;

/// The state of one virtual router.
#[derive(Debug, Serialize)]
pub struct RouterReport {
    /// Its name.
    pub name: String,
    /// Its VRID.
    pub vrid: u8,
    /// `initialize`, `backup` or `active`.
    pub state: &'static str,
    /// Its present priority.
    pub priority: u8,
    /// Its priority as configured.
    pub configured_priority: u8,
    /// Its addresses.
    pub addresses: Vec<IpAddr>,
    /// What this host does for the addresses: `standby`, `opening`, `serving` or `retired`.
    pub duty: &'static str,
    /// Requests received at the addresses that have no final answer yet.
    pub open_requests: usize,
    /// Milliseconds until the Active_Down_Timer is due, in state Backup.
    pub active_down_ms: Option<u64>,
    /// Milliseconds until the Adver_Timer is due, in state Active.
    pub adver_ms: Option<u64>,
    /// Active_Adver_Interval: the interval of the Active router.
    pub active_interval_ms: u64,
    /// Its own Advertisement_Interval.
    pub interval_ms: u64,
    /// Skew_Time, in microseconds.
    pub skew_us: u64,
    /// Its counters.
    pub statistics: Counts,
}

/// State of a virtual router that only the service of its addresses knows.
#[derive(Clone, Copy, Debug)]
pub struct ServiceStatus {
    /// Name of the duty.
    pub duty: &'static str,
    /// Open requests received at the addresses.
    pub open_requests: usize,
}

impl Snapshot {
    /// Takes a snapshot; `served` returns the service status of a router by its position.
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
        let active_conditions = Condition::ALL.into_iter().filter(|it| routers.tracker().holds(*it));
        let mut errors = routers.errors.counts();
        errors.extend([("bytes-sent", driver.bytes_sent), ("send-errors", driver.send_errors)]);
        Snapshot {
            routers: routers.indices().map(report).collect(),
            active_conditions: active_conditions.map(Condition::name).collect(),
            errors,
            rate_share: share.rate,
            burst_share: share.burst,
        }
    }

    /// Rows of `INFO`: the number of routers in each state, and the sums of all counters.
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
        // Serializing these types cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Statistics {
    /// The counters by their names in RFC 8347; the last one is not in the RFC.
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
    /// The counters by their names in RFC 8347; the last one is not in the RFC.
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

//! All virtual routers of one process: assigns received packets to them and counts errors, fires their timers, and
//! applies tracked conditions to their priorities. It does no I/O and reads no clock.

use super::machine::{Event, Parameters, Role, StateMachine, Step, Transition};
use super::packet::{
    Advertisement, Coverage, Family, Invalid, Path, PRIORITY_OWNER, PRIORITY_RESIGN, REQUIRED_HOP_LIMIT,
};
use super::timers::Timers;
use super::track::{Condition, Tracker};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Configuration of one virtual router on this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Its name in logs and reports.
    pub name: String,
    /// Its virtual router identifier (VRID).
    pub vrid: u8,
    /// Its configured priority: 1 to 254, 255 for the address owner, 0 in maintenance.
    pub priority: u8,
    /// Its addresses.
    pub addresses: Vec<IpAddr>,
    /// Parameters of its state machine.
    pub parameters: Parameters,
    /// What the checksum of IPv4 packets covers.
    pub coverage: Coverage,
}

/// Counters of one virtual router; the comments give the names in RFC 8347.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// master-transitions
    pub active_transitions: u64,
    /// advertisement-rcvd
    pub advertisements_received: u64,
    /// advertisement-sent
    pub advertisements_sent: u64,
    /// interval-errors
    pub interval_errors: u64,
    /// priority-zero-pkts-rcvd
    pub priority_zero_received: u64,
    /// priority-zero-pkts-sent
    pub priority_zero_sent: u64,
    /// invalid-type-pkts-rcvd
    pub invalid_type_received: u64,
    /// address-list-errors
    pub address_list_errors: u64,
    /// packet-length-errors
    pub packet_length_errors: u64,
    /// Not in RFC 8347: advertisements that an Active address owner received and ignored.
    pub ignored_as_owner: u64,
}

/// Counters of packets that belong to no virtual router; the comments give the names in RFC 8347.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Errors {
    /// checksum-errors
    pub checksum: u64,
    /// version-errors
    pub version: u64,
    /// vrid-errors
    pub vrid: u64,
    /// ip-ttl-errors
    pub ttl: u64,
    /// Not in RFC 8347: packets from addresses that are not configured as peers.
    pub unknown_senders: u64,
}

/// An action to carry out for a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an advertisement.
    Advertise {
        /// Position of the router.
        router: usize,
        /// The priority to advertise.
        priority: u8,
    },
    /// The router's state changed.
    Changed {
        /// Position of the router.
        router: usize,
        /// The transition.
        transition: Transition,
    },
}

struct Running {
    router: Router,
    machine: StateMachine,
    statistics: Statistics,
}

/// The virtual routers of a process.
pub struct Routers {
    running: Vec<Running>,
    by_number: HashMap<(Family, u8), usize>,
    timers: Timers,
    tracker: Tracker,
    /// Counters of packets that belong to none of the routers.
    pub errors: Errors,
}

impl Routers {
    /// Routers that have not started. VRIDs of different address families are independent.
    pub fn new(routers: Vec<Router>, tracker: Tracker) -> Self {
        let number = |(at, router): (usize, &Router)| ((router.family(), router.vrid), at);
        let by_number = routers.iter().enumerate().map(number).collect();
        let timers = Timers::new(routers.len());
        let running = routers.into_iter().map(|router| {
            let machine = StateMachine::new(&router.parameters, tracker.priority(router.priority));
            Running { router, machine, statistics: Statistics::default() }
        });
        Routers { running: running.collect(), by_number, timers, tracker, errors: Errors::default() }
    }

    /// Positions of all routers.
    pub fn indices(&self) -> std::ops::Range<usize> {
        0..self.running.len()
    }

    /// Configuration of a router.
    pub fn router(&self, router: usize) -> &Router {
        &self.running[router].router
    }

    /// State machine of a router.
    pub fn machine(&self, router: usize) -> &StateMachine {
        &self.running[router].machine
    }

    /// Counters of a router.
    pub fn statistics(&self, router: usize) -> &Statistics {
        &self.running[router].statistics
    }

    /// The conditions that lower the priorities.
    pub fn tracker(&self) -> &Tracker {
        &self.tracker
    }

    /// When [`Routers::tick`] is to be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Starts all routers.
    pub fn start(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.indices().for_each(|router| self.step(router, now, Event::Startup, outputs));
    }

    /// Shuts all routers down; the Active ones resign.
    pub fn shut_down(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.indices().for_each(|router| self.step(router, now, Event::Shutdown, outputs));
    }

    /// Fires due timers. Received packets must be passed to [`Routers::receive`] before.
    pub fn tick(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        while let Some(router) = self.timers.pop_due(now) {
            self.step(router, now, Event::Timer, outputs);
        }
    }

    /// Handles a received packet; `hops` is its TTL or hop limit, if the kernel reported it.
    pub fn receive(
        &mut self,
        now: Duration,
        packet: &[u8],
        path: Path,
        hops: Option<u8>,
        outputs: &mut Vec<Output>,
    ) {
        // RFC 9568, 7.1: a packet from beyond a router cannot arrive with 255.
        if hops.is_some_and(|hops| hops != REQUIRED_HOP_LIMIT) {
            self.errors.ttl += 1;
            return;
        }
        let ours = |packet: &[u8]| {
            let vrid = *packet.get(1)?;
            self.by_number.get(&(Family::of(path.source), vrid)).copied()
        };
        let router = ours(packet);
        let (received, _) = match (Advertisement::read(packet, path), router) {
            (Ok(read), _) => read,
            (Err(Invalid::Version), _) => return self.errors.version += 1,
            (Err(Invalid::Checksum), _) => return self.errors.checksum += 1,
            (Err(Invalid::Vrid), _) | (Err(_), None) => return self.errors.vrid += 1,
            (Err(why), Some(router)) => {
                let statistics = &mut self.running[router].statistics;
                return *match why {
                    Invalid::Type => &mut statistics.invalid_type_received,
                    Invalid::Addresses => &mut statistics.address_list_errors,
                    Invalid::Interval => &mut statistics.interval_errors,
                    _ => &mut statistics.packet_length_errors,
                } += 1;
            }
        };
        let Some(router) = router else { return self.errors.vrid += 1 };
        let running = &mut self.running[router];
        let (own, statistics) = (&running.router, &mut running.statistics);
        statistics.advertisements_received += 1;
        statistics.priority_zero_received += u64::from(received.priority == PRIORITY_RESIGN);
        // The following two errors indicate a wrong configuration, but the packet is processed (RFC 9568, 7.1): a
        // router that ignored it would become Active beside the sender.
        if !same_addresses(&received.addresses, &own.addresses) {
            statistics.address_list_errors += 1;
            tracing::debug!(router = own.name, from = %path.source, "addresses differ from the configured ones");
        }
        statistics.interval_errors += u64::from(received.interval != own.parameters.interval);
        if running.machine.priority() == PRIORITY_OWNER && running.machine.role() == Role::Active {
            // RFC 9568, 7.1: an address owner discards advertisements; its own ones make the other routers yield.
            statistics.ignored_as_owner += 1;
            return;
        }
        let Advertisement { priority, interval, .. } = received;
        let event = Event::Advertisement { priority, interval, sender: path.source };
        self.step(router, now, event, outputs);
    }

    /// Records the result of a check of a condition and adapts the priorities. True if the condition has changed.
    pub fn record_check(
        &mut self,
        now: Duration,
        condition: Condition,
        found: bool,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let changed = self.tracker.record_check(condition, found);
        if changed {
            self.set_priorities(now, outputs);
        }
        changed
    }

    /// Applies changed priorities, by VRID, and changed tracking rules.
    pub fn reconfigure(
        &mut self,
        now: Duration,
        routers: &[Router],
        tracker: &[super::track::Rule],
        outputs: &mut Vec<Output>,
    ) {
        for new in routers {
            if let Some(at) = self.by_number.get(&(new.family(), new.vrid)) {
                self.running[*at].router.priority = new.priority;
            }
        }
        self.tracker.set_rules(tracker);
        self.set_priorities(now, outputs);
    }

    fn set_priorities(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        for router in self.indices() {
            let priority = self.tracker.priority(self.running[router].router.priority);
            if priority != self.running[router].machine.priority() {
                self.step(router, now, Event::Priority(priority), outputs);
            }
        }
    }

    /// Encodes a router's advertisement with this priority for one source and destination.
    pub fn packet(&self, router: usize, priority: u8, path: Path) -> Vec<u8> {
        let Router { vrid, addresses, parameters, coverage, .. } = &self.running[router].router;
        let (addresses, interval) = (addresses.clone(), parameters.interval);
        Advertisement { vrid: *vrid, priority, interval, addresses }.write(path, *coverage)
    }

    fn step(&mut self, router: usize, now: Duration, event: Event, outputs: &mut Vec<Output>) {
        let running = &mut self.running[router];
        let Step { advertise, transition } = running.machine.step(&running.router.parameters, now, event);
        self.timers.set(router, running.machine.timer());
        if let Some(priority) = advertise {
            running.statistics.advertisements_sent += 1;
            running.statistics.priority_zero_sent += u64::from(priority == PRIORITY_RESIGN);
            outputs.push(Output::Advertise { router, priority });
        }
        if let Some(transition) = transition {
            running.statistics.active_transitions += u64::from(transition.to == Role::Active);
            outputs.push(Output::Changed { router, transition });
        }
    }
}

impl Router {
    /// The family of its addresses.
    pub fn family(&self) -> Family {
        Family::of(self.parameters.address)
    }
}

/// Whether both lists have the same addresses in any order.
fn same_addresses(one: &[IpAddr], other: &[IpAddr]) -> bool {
    let sorted = |list: &[IpAddr]| {
        let mut list = list.to_vec();
        list.sort();
        list
    };
    one == other || (one.len() == other.len() && sorted(one) == sorted(other))
}

#[cfg(test)]
mod tests;

//! All virtual routers of one process: whose an advertisement is, what it counts as, whose timer is due, what their
//! priorities are. No I/O and no clock.

use super::machine::{Event, Parameters, Role, StateMachine, Step, Transition};
use super::packet::{
    Advertisement, Coverage, Family, Invalid, Path, PRIORITY_OWNER, PRIORITY_RESIGN, REQUIRED_HOP_LIMIT,
};
use super::timers::Timers;
use super::track::{Condition, Tracker};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// How one virtual router is set up on this machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Its name, for people.
    pub name: String,
    /// Its number.
    pub vrid: u8,
    /// Its configured priority: 1 to 254, 255 for the owner, 0 in maintenance.
    pub priority: u8,
    /// The addresses it stands for.
    pub addresses: Vec<IpAddr>,
    /// Its part in the protocol.
    pub parameters: Parameters,
    /// What the checksum of IPv4 packets covers.
    pub coverage: Coverage,
}

/// Counts of one virtual router, named as in RFC 8347.
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
    /// Not in RFC 8347: advertisements that an owner of the addresses got, and left alone.
    pub ignored_as_owner: u64,
}

/// Counts of what belongs to no virtual router, named as in RFC 8347 but for the last.
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
    /// Packets from addresses that are no peers.
    pub unknown_senders: u64,
}

/// What is to be done for a router, by its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send an advertisement.
    Advertise {
        /// The router.
        router: usize,
        /// With this priority.
        priority: u8,
    },
    /// Its state changed.
    Changed {
        /// The router.
        router: usize,
        /// How.
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
    /// Packets that belong to none of them.
    pub errors: Errors,
}

impl Routers {
    /// Routers that have not started. Their numbers are told apart by family.
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
    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.running.len()
    }

    /// A router's set-up.
    pub fn router(&self, router: usize) -> &Router {
        &self.running[router].router
    }

    /// A router's state.
    pub fn machine(&self, router: usize) -> &StateMachine {
        &self.running[router].machine
    }

    /// A router's counts.
    pub fn statistics(&self, router: usize) -> &Statistics {
        &self.running[router].statistics
    }

    /// What lowers the priorities.
    pub fn tracker(&self) -> &Tracker {
        &self.tracker
    }

    /// When [`Routers::tick`] has something to do.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// All start.
    pub fn start(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.all().for_each(|router| self.step(router, now, Event::Startup, outputs));
    }

    /// All end; the Active ones resign.
    pub fn shut_down(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        self.all().for_each(|router| self.step(router, now, Event::Shutdown, outputs));
    }

    /// Fires what is due. What has come is to be handed in first.
    pub fn tick(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        while let Some(router) = self.timers.pop_due(now) {
            self.step(router, now, Event::Timer, outputs);
        }
    }

    /// Takes a packet that came with so many hops left, where the system told.
    pub fn receive(
        &mut self,
        now: Duration,
        packet: &[u8],
        path: Path,
        hops: Option<u8>,
        outputs: &mut Vec<Output>,
    ) {
        // Guards against packets from beyond a router: nobody there can make it 255.
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
        // These two tell of a wrong set-up, and the packet still counts (RFC 9568, 7.1): a router that left it out
        // would become Active beside the other.
        if !same_addresses(&received.addresses, &own.addresses) {
            statistics.address_list_errors += 1;
            tracing::debug!(router = own.name, from = %path.source, "other addresses are advertised");
        }
        statistics.interval_errors += u64::from(received.interval != own.parameters.interval);
        if running.machine.priority() == PRIORITY_OWNER && running.machine.role() == Role::Active {
            // RFC 9568, 7.1: an owner does not listen; what it sends makes others yield.
            statistics.ignored_as_owner += 1;
            return;
        }
        let Advertisement { priority, interval, .. } = received;
        let event = Event::Advertisement { priority, interval, sender: path.source };
        self.step(router, now, event, outputs);
    }

    /// Takes a look at a condition of this machine; the priorities follow. True if it turned.
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

    /// Takes other priorities, by number, and other rules of tracking.
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
        for router in self.all() {
            let priority = self.tracker.priority(self.running[router].router.priority);
            if priority != self.running[router].machine.priority() {
                self.step(router, now, Event::Priority(priority), outputs);
            }
        }
    }

    /// The packet of a router's advertisement for one path.
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

/// Whether both lists hold the same addresses, in whatever order.
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

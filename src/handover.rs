//! Who owns an item when an address moves between machines. No I/O and no clock.
//!
//! An item belongs to the machine that took it, from then to its one final answer, whatever becomes of the address;
//! nothing is passed on, since nobody can ask a machine that is gone. So a takeover asks three things of a machine:
//! when it may take items at the address, what it does with those it took once it may not, and how much of what the
//! machines share it may use at any time. docs/vrrp.md weighs the ways for the last: each machine has a fixed part
//! of every limit, because two that do not hear each other cannot know who may use the rest.

use crate::interface::{Plan, Settings};
use std::time::Duration;

/// The part of one machine in what the machines behind an address share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Machines that may send at the same time: each has an even part of what a cold node bears.
    pub machines: u32,
    /// Part of each volume's limit in rate; those of all machines sum to at most 1.
    pub rate: f64,
    /// Part of what a volume may send at once; likewise. Below the largest request that one cannot go at all.
    pub burst: f64,
}

impl Share {
    /// Leaves of the settings what this machine may use while others may use theirs.
    pub fn divide(&self, settings: &mut Settings) {
        settings.hosts = settings.hosts.saturating_mul(self.machines);
        for limit in settings.plans.iter_mut().filter_map(|plan| plan.limit.as_mut()) {
            limit.rate *= self.rate;
            limit.burst *= self.burst;
            limit.slack *= self.burst;
        }
    }

    /// The plan, by position, whose limit would leave no room for the largest request of a volume whose requests
    /// come through one host.
    pub fn plan_below_largest(&self, settings: &Settings) -> Option<usize> {
        let small =
            |plan: &Plan| plan.limit.is_some_and(|limit| limit.burst * self.burst < settings.units.largest);
        settings.plans.iter().position(small)
    }
}

/// What a machine does for one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Duty {
    /// Nothing.
    Standby,
    /// It is to serve, and has not got the address yet.
    Opening,
    /// It takes items there.
    Serving,
    /// It finishes what it took and takes nothing more.
    Retired {
        /// By then all of it has its final answer: the longest deadline has passed.
        until: Duration,
    },
}

/// What happens to an address on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This machine is to serve the address from now on: its virtual router became Active.
    Granted,
    /// It is not: its virtual router is Active no more.
    Withdrawn,
    /// The address is here, and listened at.
    Opened,
    /// Time has passed; so many items taken there have no final answer yet.
    Polled {
        /// Items.
        open: usize,
    },
}

/// What is to be done with the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AddressAction {
    /// Get it and listen there.
    Acquire,
    /// Take nothing more there, at once, and let the address go. Connections stay until they are answered.
    Release,
    /// End what has no final answer yet: its time is over.
    Abort,
}

impl Duty {
    /// The next duty, and what is to be done. `finish` is how long an item may last: the longest deadline.
    pub fn step(self, now: Duration, max_duration: Duration, event: Event) -> (Duty, Option<AddressAction>) {
        match (self, event) {
            (Duty::Standby | Duty::Retired { .. }, Event::Granted) => {
                (Duty::Opening, Some(AddressAction::Acquire))
            }
            (Duty::Opening | Duty::Serving, Event::Withdrawn) => {
                (Duty::Retired { until: now + max_duration }, Some(AddressAction::Release))
            }
            (Duty::Opening, Event::Opened) => (Duty::Serving, None),
            (Duty::Retired { .. }, Event::Polled { open: 0 }) => (Duty::Standby, None),
            (Duty::Retired { until }, Event::Polled { .. }) if now > until => {
                (Duty::Standby, Some(AddressAction::Abort))
            }
            (duty, _) => (duty, None),
        }
    }

    /// Whether an item that comes in at the address may be taken.
    pub fn accepts(self) -> bool {
        self == Duty::Serving
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Duty::Standby => "standby",
            Duty::Opening => "opening",
            Duty::Serving => "serving",
            Duty::Retired { .. } => "retired",
        }
    }
}

/// The duties of one machine, by its virtual routers' positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    duties: Vec<Duty>,
    max_duration: Duration,
}

impl Handover {
    /// Nothing is served yet.
    pub fn new(addresses: usize, max_duration: Duration) -> Self {
        Handover { duties: vec![Duty::Standby; addresses], max_duration }
    }

    /// What is done for an address.
    pub fn duty(&self, address: usize) -> Duty {
        self.duties[address]
    }

    /// Takes what happened to an address.
    pub fn step(&mut self, now: Duration, address: usize, event: Event) -> Option<AddressAction> {
        let (duty, action) = self.duties[address].step(now, self.max_duration, event);
        self.duties[address] = duty;
        action
    }
}

#[cfg(test)]
mod tests;

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
        settings.initiators = settings.initiators.saturating_mul(self.machines);
        for limit in settings.plans.iter_mut().filter_map(|plan| plan.limit.as_mut()) {
            limit.rate *= self.rate;
            limit.burst *= self.burst;
            limit.overdraft *= self.burst;
        }
    }

    /// The plan, by position, whose limit would leave no room for the largest request of a volume whose requests
    /// come through one host.
    pub fn too_small(&self, settings: &Settings) -> Option<usize> {
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
    Looked {
        /// Items.
        open: usize,
    },
}

/// What is to be done with the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Get it and listen there.
    Take,
    /// Take nothing more there, at once, and let the address go. Connections stay until they are answered.
    Release,
    /// End what has no final answer yet: its time is over.
    End,
}

impl Duty {
    /// The next duty, and what is to be done. `finish` is how long an item may last: the longest deadline.
    pub fn step(self, now: Duration, finish: Duration, event: Event) -> (Duty, Option<Order>) {
        match (self, event) {
            (Duty::Standby | Duty::Retired { .. }, Event::Granted) => (Duty::Opening, Some(Order::Take)),
            (Duty::Opening | Duty::Serving, Event::Withdrawn) => {
                (Duty::Retired { until: now + finish }, Some(Order::Release))
            }
            (Duty::Opening, Event::Opened) => (Duty::Serving, None),
            (Duty::Retired { .. }, Event::Looked { open: 0 }) => (Duty::Standby, None),
            (Duty::Retired { until }, Event::Looked { .. }) if now > until => {
                (Duty::Standby, Some(Order::End))
            }
            (duty, _) => (duty, None),
        }
    }

    /// Whether an item that comes in at the address may be taken.
    pub fn takes(self) -> bool {
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
    finish: Duration,
}

impl Handover {
    /// Nothing is served yet.
    pub fn new(addresses: usize, finish: Duration) -> Self {
        Handover { duties: vec![Duty::Standby; addresses], finish }
    }

    /// What is done for an address.
    pub fn duty(&self, address: usize) -> Duty {
        self.duties[address]
    }

    /// Takes what happened to an address.
    pub fn step(&mut self, now: Duration, address: usize, event: Event) -> Option<Order> {
        let (duty, order) = self.duties[address].step(now, self.finish, event);
        self.duties[address] = duty;
        order
    }
}

#[cfg(test)]
mod tests;

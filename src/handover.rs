//! Ownership of requests when an address moves between machines. No I/O and no clock.
//!
//! A request belongs to the machine that accepted it until its one final answer, wherever the address moves. Requests
//! are not transferred, since a crashed machine can't be asked for them. A takeover therefore determines for a machine
//! when it may accept requests at the address, what it does with accepted ones after it loses the address, and which
//! share of the common limits it may use at any time. Each machine has a fixed share of every limit, because two
//! machines that can't reach each other can't know which of them may use the rest; docs/vrrp.md compares the
//! alternatives.

use crate::interface::{Plan, Settings};
use std::time::Duration;

/// One machine's share of the limits that are common to the machines behind an address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Machines that may send at the same time. Each has an even share of a node's slow-start capacity.
    pub machines: u32,
    /// Share of each volume's rate limit; those of all machines sum to at most 1.
    pub rate: f64,
    /// Share of each volume's burst limit; those of all machines sum to at most 1. A request larger than the resulting
    /// burst can't be sent at all.
    pub burst: f64,
}

impl Share {
    /// Reduces the limits in the settings to this machine's share.
    pub fn divide(&self, settings: &mut Settings) {
        settings.initiators = settings.initiators.saturating_mul(self.machines);
        for limit in settings.plans.iter_mut().filter_map(|plan| plan.limit.as_mut()) {
            limit.rate *= self.rate;
            limit.burst *= self.burst;
            limit.overdraft *= self.burst;
        }
    }

    /// The position of the first plan whose burst limit would be below the largest request, for a volume whose requests
    /// all arrive at one initiator.
    pub fn plan_below_largest(&self, settings: &Settings) -> Option<usize> {
        let small =
            |plan: &Plan| plan.limit.is_some_and(|limit| limit.burst * self.burst < settings.units.largest);
        settings.plans.iter().position(small)
    }
}

/// The service state of one address on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Duty {
    /// Not serving it.
    Standby,
    /// About to serve it; the address is not assigned yet.
    Opening,
    /// Accepting requests there.
    Serving,
    /// Finishing accepted requests and accepting no more.
    Retired {
        /// By then all of them have their final answers: the longest deadline has passed.
        until: Duration,
    },
}

/// An event of an address on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This machine has to serve the address: its virtual router became Active.
    Granted,
    /// This machine must not serve it any more: its virtual router is no longer Active.
    Withdrawn,
    /// The address is assigned and a listener is open.
    Opened,
    /// Periodic check, with the number of accepted requests that have no final answer yet.
    Polled {
        /// Requests without a final answer.
        open: usize,
    },
}

/// An action to carry out for an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AddressAction {
    /// Assign the address and listen there.
    Acquire,
    /// Accept nothing more there, at once, and release the address. Connections stay open until they are answered.
    Release,
    /// End requests without a final answer; their deadlines have passed.
    Abort,
}

impl Duty {
    /// The next state, and the action to carry out. `max_duration` is the longest deadline of a request.
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

    /// Whether a request that arrives at the address may be accepted.
    pub fn accepts(self) -> bool {
        self == Duty::Serving
    }

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Duty::Standby => "standby",
            Duty::Opening => "opening",
            Duty::Serving => "serving",
            Duty::Retired { .. } => "retired",
        }
    }
}

/// The states of one machine's addresses, by position of their virtual router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    duties: Vec<Duty>,
    max_duration: Duration,
}

impl Handover {
    /// All addresses start in standby.
    pub fn new(addresses: usize, max_duration: Duration) -> Self {
        Handover { duties: vec![Duty::Standby; addresses], max_duration }
    }

    /// The state of an address.
    pub fn duty(&self, address: usize) -> Duty {
        self.duties[address]
    }

    /// Applies an event of an address and returns the action to carry out.
    pub fn step(&mut self, now: Duration, address: usize, event: Event) -> Option<AddressAction> {
        let (duty, action) = self.duties[address].step(now, self.max_duration, event);
        self.duties[address] = duty;
        action
    }
}

#[cfg(test)]
mod tests;

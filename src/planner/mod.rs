//! Where decisions are made: each initiator owns its scheduler, and nothing else decides which node, whether to try
//! again, and what is turned away. What it may use of what all initiators share it learns of a few remote planners,
//! where there are any: `client` talks to them, `server` is one (`settings` its file, `connection` what others make to it,
//! `configuration` and `peers` its part in live configuration), `operator` is the operators' side of that, `frame` is what
//! all of them say.

pub mod client;
mod configuration;
mod connection;
mod frame;
pub mod operator;
mod peers;
pub mod server;
pub mod settings;

use crate::clock::Clock;
use crate::interface::{Action, Event, Settings};
use crate::rules::carry::Carried;
use crate::rules::reconfigure::FixedSettings;
use crate::{Denials, Scheduler};
use std::time::Instant;

/// The scheduler of this process, called directly.
pub struct Planner {
    scheduler: Scheduler,
    clock: Clock,
}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Self {
        Planner { scheduler: Scheduler::new(settings, seed), clock }
    }

    /// Hands over all that has happened; what comes back is to be carried out.
    pub fn decide(&mut self, now: Instant, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.clock.unix(now), events, &mut actions);
        actions
    }

    /// Requests that were answered with no since the start, by reason.
    pub fn denials(&self) -> Denials {
        self.scheduler.denials()
    }

    /// Decides by changed settings from now on.
    ///
    /// # Errors
    ///
    /// They differ in what can't change while running. Nothing has changed then.
    pub fn reconfigure(&mut self, now: Instant, settings: Settings) -> Result<(), FixedSettings> {
        self.scheduler.reconfigure(self.clock.unix(now), settings)
    }

    /// Gives what it has learned to the process that takes the place of this one.
    pub fn hand_over(&mut self, now: Instant) -> Carried {
        self.scheduler.hand_over(self.clock.unix(now))
    }

    /// Goes on from what the process before gave; false where that had other settings.
    pub fn take_over(&mut self, carried: Carried) -> bool {
        self.scheduler.take_over(carried)
    }

    /// The process before is gone, with what it had kept.
    pub fn take_all(&mut self, now: Instant) {
        self.scheduler.reclaim_limits(self.clock.unix(now));
    }
}

//! Planning: the local scheduler and the remote planners.
//!
//! Each initiator owns its scheduler, which alone chooses nodes, retries requests and sheds load. A few remote
//! planners, if configured, divide the rate limits that all initiators share. `client` is the initiator's side of the
//! link to them and `server` is the planner process: `settings` its file, `connection` a client's connection,
//! `configuration` and `peers` its part in live configuration. `operator` is the operators' side of live
//! configuration, and `frame` has the messages of all of them.

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

/// The scheduler of this process with its clock.
pub struct Planner {
    scheduler: Scheduler,
    clock: Clock,
}

impl Planner {
    /// A scheduler without nodes and requests.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Self {
        Planner { scheduler: Scheduler::new(settings, seed), clock }
    }

    /// Handles events and returns the actions to carry out.
    pub fn decide(&mut self, now: Instant, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.clock.unix(now), events, &mut actions);
        actions
    }

    /// Requests refused since the start, by reason.
    pub fn denials(&self) -> Denials {
        self.scheduler.denials()
    }

    /// Applies changed settings.
    ///
    /// # Errors
    ///
    /// They differ in a setting that can't change while running. Then nothing is changed.
    pub fn reconfigure(&mut self, now: Instant, settings: Settings) -> Result<(), FixedSettings> {
        self.scheduler.reconfigure(self.clock.unix(now), settings)
    }

    /// Returns the state that is carried to the process that replaces this one.
    pub fn hand_over(&mut self, now: Instant) -> Carried {
        self.scheduler.hand_over(self.clock.unix(now))
    }

    /// Continues from the state of the previous process; false if that had other settings.
    pub fn take_over(&mut self, carried: Carried) -> bool {
        self.scheduler.take_over(carried)
    }

    /// The previous process has ended, together with the state that it had kept.
    pub fn take_all(&mut self, now: Instant) {
        self.scheduler.reclaim_limits(self.clock.unix(now));
    }
}

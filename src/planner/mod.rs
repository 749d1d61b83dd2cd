//! Where decisions are made: the planner owns the scheduler, and nothing else decides. A forwarder's link to it is
//! a direct call in its own process, or a connection to the active one of a few planners.

mod frame;
pub(crate) mod link;
pub mod server;

use crate::clock::Clock;
use crate::interface::{Action, Event, Settings};
use crate::Scheduler;
use std::time::Instant;

/// A planner in this process, called directly.
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
}

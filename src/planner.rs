//! Where decisions are made: the planner owns the scheduler, and nothing else decides.

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
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Self {
        Planner { scheduler: Scheduler::new(settings, seed), clock }
    }

    /// Hands over all that has happened; what comes back is to be carried out.
    pub fn decide(&mut self, now: Instant, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.clock.millis(now), events, &mut actions);
        actions
    }
}

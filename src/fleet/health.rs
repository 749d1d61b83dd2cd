//! How far a member trusts itself. Who was stopped, starved of its core or cut off gets no answers either, and doubts
//! itself before it doubts another: its probes wait longer, and doubts that it gathered meanwhile do not count.

use std::time::Duration;

/// The most that is taken off its trust in itself: probes wait so many times as long, and once more.
const WORST: u32 = 7;

/// Trust in oneself; 0 is all of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    lacks: u32,
}

impl Health {
    /// Its own loop was late: it could not have heard what came.
    pub fn was_late(&mut self) {
        self.lacks = (self.lacks + 2).min(WORST);
    }

    /// Nobody answered in time, not even those that were asked to look: it may be deaf.
    pub fn heard_nobody(&mut self) {
        self.lacks = (self.lacks + 1).min(WORST);
    }

    /// It was answered in time.
    pub fn was_answered(&mut self) {
        self.lacks = self.lacks.saturating_sub(1);
    }

    /// What is taken off, for people.
    pub fn lacks(&self) -> u32 {
        self.lacks
    }

    /// A time to wait for others, as long as it trusts itself so far.
    pub fn stretch(&self, span: Duration) -> Duration {
        span * (self.lacks + 1)
    }
}

#[cfg(test)]
mod tests;

//! Converts between the monotonic clock and Unix time, which the scheduler uses.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Readings of both clocks at one moment. Later steps of the system clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// Reads both clocks now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::new(Instant::now(), unix)
    }

    /// From given readings, for virtual time.
    pub fn new(start: Instant, unix: Duration) -> Self {
        Clock { start, unix }
    }

    /// Converts an instant to Unix time; it may be earlier than the readings.
    pub fn unix(&self, at: Instant) -> Duration {
        let before = self.start.saturating_duration_since(at);
        (self.unix + at.saturating_duration_since(self.start)).saturating_sub(before)
    }

    /// Converts Unix time to an instant; times before the start give the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at.saturating_sub(self.unix)
    }
}

//! Relates the monotonic clock to the scale that the decisions use: milliseconds of Unix time.

use crate::interface::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Both clocks at one moment. Steps of the system's clock after that change nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    /// An instant on the decisions' scale.
    pub fn millis(&self, at: Instant) -> Millis {
        (self.unix + at.saturating_duration_since(self.start)).as_secs_f64() * 1000.0
    }

    /// An instant from the decisions' scale; what lies before the start is the start.
    pub fn instant(&self, at: Millis) -> Instant {
        let since_epoch = Duration::try_from_secs_f64(at / 1000.0).unwrap_or_default();
        self.start + since_epoch.saturating_sub(self.unix)
    }
}

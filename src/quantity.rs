//! Quantities that change with time: token buckets and exponentially decaying values.

use std::time::Duration;

/// A token bucket; its level may be negative.
#[derive(Clone, Copy, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct TokenBucket {
    pub level: f64,
    pub updated_at: Duration,
}

impl TokenBucket {
    /// Fills the bucket at `rate` (tokens a second) up to `capacity`, and returns its level at `now`.
    pub fn fill(&mut self, now: Duration, rate: f64, capacity: f64) -> f64 {
        self.level = (self.level + rate * now.saturating_sub(self.updated_at).as_secs_f64()).min(capacity);
        self.updated_at = now;
        self.level
    }
}

/// A value that decays exponentially.
#[derive(Clone, Copy, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Decaying {
    pub value: f64,
    pub updated_at: Duration,
}

impl Decaying {
    /// The value at `now`; `memory` is the time constant of its decay.
    pub fn value_at(&self, now: Duration, memory: Duration) -> f64 {
        self.value * (-now.saturating_sub(self.updated_at).div_duration_f64(memory)).exp()
    }

    /// Adds units to a smoothed rate in units a second, with the time constant `memory`.
    pub fn add(&mut self, now: Duration, units: f64, memory: Duration) {
        (self.value, self.updated_at) = (self.value_at(now, memory) + units / memory.as_secs_f64(), now);
    }
}

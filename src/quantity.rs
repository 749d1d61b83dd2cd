//! Quantities that change by themselves as time passes. The decision module keeps its figures in them.

use std::time::Duration;

/// A quantity that drains or fills at a rate between two bounds.
#[derive(Clone, Copy, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct TokenBucket {
    pub level: f64,
    pub updated_at: Duration,
}

impl TokenBucket {
    /// What it holds now.
    pub fn fill(&mut self, now: Duration, rate: f64, top: f64) -> f64 {
        self.level = (self.level + rate * now.saturating_sub(self.updated_at).as_secs_f64()).min(top);
        self.updated_at = now;
        self.level
    }
}

/// A figure that fades with time.
#[derive(Clone, Copy, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Decaying {
    pub value: f64,
    pub updated_at: Duration,
}

impl Decaying {
    /// What is left of it.
    pub fn value_at(&self, now: Duration, memory: Duration) -> f64 {
        self.value * (-now.saturating_sub(self.updated_at).div_duration_f64(memory)).exp()
    }

    /// Counts units into a rate: what they come to, spread over the memory.
    pub fn add(&mut self, now: Duration, units: f64, memory: Duration) {
        (self.value, self.updated_at) = (self.value_at(now, memory) + units / memory.as_secs_f64(), now);
    }
}

//! Exponential backoff with jitter: pauses double from the first to the maximum, and each is drawn from 50 % to 150 %
//! of its nominal length. The jitter spreads the retries of a fleet whose members fail or start together.

use crate::random::Random;
use std::time::Duration;

/// After this number of doublings the pause grows no further, whatever its maximum.
const MAX_DOUBLINGS: u32 = 16;

pub(crate) struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
    random: Random,
}

impl Backoff {
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Backoff { first, max, failures: 0, random: Random::new(seed) }
    }

    /// Called after a success: the next pause is the first again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Called after a failure: returns how long to pause.
    pub fn pause(&mut self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        doubled.min(self.max).mul_f64(0.5 + self.fraction())
    }

    /// A random fraction from 0 to 1, to spread events over a span.
    pub fn fraction(&mut self) -> f64 {
        self.random.draw()
    }
}

#[cfg(test)]
mod tests;

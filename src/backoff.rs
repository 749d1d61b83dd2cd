//! Pauses before trying again: they double from the first to the longest, each drawn between its half and half as much
//! again. Guards whoever is asked against all askers of a fleet at once, which fail, start and come back together.

use crate::random::Random;
use std::time::Duration;

/// Beyond so many failures the pause grows no longer, whatever its bounds are.
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

    /// It went well: the next pause is the first again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// It failed: how long to pause.
    pub fn pause(&mut self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        doubled.min(self.max).mul_f64(0.5 + self.fraction())
    }

    /// A part of a span, for what is to be spread over it.
    pub fn fraction(&mut self) -> f64 {
        self.random.draw()
    }
}

#[cfg(test)]
mod tests;

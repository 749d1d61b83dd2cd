//! Pauses before trying again: they double from the first to the longest, each drawn between its half and half as much
//! again. Guards whoever is asked against all askers of a fleet at once, which fail, start and come back together.

use crate::random::Random;
use std::time::Duration;

/// Beyond so many failures the pause grows no longer, whatever its bounds are.
const MOST_DOUBLINGS: u32 = 16;

pub(crate) struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
    random: Random,
}

impl Backoff {
    pub fn new(first: Duration, longest: Duration, seed: u64) -> Self {
        Backoff { first, longest, failures: 0, random: Random::new(seed) }
    }

    /// It went well: the next pause is the first again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// It failed: how long to pause.
    pub fn pause(&mut self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(MOST_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        doubled.min(self.longest).mul_f64(0.5 + self.draw())
    }

    /// A part of a span, for what is to be spread over it.
    pub fn draw(&mut self) -> f64 {
        self.random.draw()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pauses_double_up_to_the_longest_and_start_anew_after_a_success() {
        let (first, longest) = (Duration::from_millis(100), Duration::from_secs(2));
        let mut backoff = Backoff::new(first, longest, 7);
        for mean in [100, 200, 400, 800, 1600, 2000, 2000].map(Duration::from_millis) {
            let pause = backoff.pause();
            assert!((mean / 2..=mean * 3 / 2).contains(&pause), "{pause:?} for {mean:?}");
        }
        for _ in 0..100 {
            assert!(backoff.pause() <= longest * 3 / 2);
        }
        backoff.reset();
        assert!(backoff.pause() <= first * 3 / 2);
    }

    #[test]
    fn a_hundred_that_fail_together_come_back_spread() {
        let slot = Duration::from_millis(10);
        let seed = |number: u64| number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let mut askers: Vec<_> =
            (0..100).map(|number| Backoff::new(slot * 100, slot * 800, seed(number))).collect();
        let mut at = [0; 16];
        for backoff in &mut askers {
            at[backoff.pause().as_millis() as usize / 100] += 1;
        }
        // Even: ten in each tenth of the span.
        assert!(at.iter().all(|count| *count <= 20), "{at:?}");
    }
}

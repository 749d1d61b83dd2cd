//! Measures loop iterations and what they spend their time on, for `INFO` and the log.

use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Longer iterations count as long, because due work waits for them. It is a hundredth of the shortest usual client
/// deadline.
pub const LONG_ITERATION: Duration = Duration::from_millis(20);
/// Upper bound of the histogram.
const MAX_RECORDED_MICROS: u64 = 60_000_000;
/// Precision of the histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Kind of work within an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Reading from clients, nodes and discovery.
    Input,
    /// Applying a node list: part of the input work, counted separately.
    NodeLists,
    /// Decision rounds and their effects.
    Decisions,
    /// Everything else: timers, other processes, shutdown.
    Other,
}

const KINDS: [(Work, &str); 4] = [
    (Work::Input, "turns_long_hearing"),
    (Work::NodeLists, "turns_long_lists"),
    (Work::Decisions, "turns_long_deciding"),
    (Work::Other, "turns_long_upkeep"),
];

/// Statistics of the loop iterations of this process.
pub struct LoopStats {
    /// Duration of whole iterations in microseconds.
    whole: Histogram<u64>,
    /// Start of the current work, and the time spent on each kind of work in this iteration.
    since: Instant,
    spent: [Duration; KINDS.len()],
    /// Number of long iterations by the kind of work that took most of their time.
    long: [u64; KINDS.len()],
}

impl LoopStats {
    /// Creates empty statistics.
    pub fn new(now: Instant) -> Self {
        let whole = Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        LoopStats { whole, since: now, spent: Default::default(), long: Default::default() }
    }

    /// Starts an iteration.
    pub fn begin(&mut self, now: Instant) {
        (self.since, self.spent) = (now, Default::default());
    }

    /// Attributes the time since the last call, or since the start of the iteration, to `work`.
    pub fn record(&mut self, work: Work) {
        let now = Instant::now();
        self.spent[work as usize] += now - self.since;
        self.since = now;
    }

    /// Ends an iteration.
    pub fn end(&mut self) {
        self.record(Work::Other);
        let whole: Duration = self.spent.iter().sum();
        self.whole.saturating_record((whole.as_micros() as u64).max(1));
        if whole <= LONG_ITERATION {
            return;
        }
        let dominant = (0..KINDS.len()).max_by_key(|work| self.spent[*work]).unwrap_or_default();
        self.long[dominant] += 1;
        tracing::debug!(?whole, most = KINDS[dominant].1, spent = ?self.spent, "a long loop iteration");
    }

    /// Metrics by name.
    pub fn figures(&self) -> Vec<(&'static str, u64)> {
        let whole = [
            ("turns", self.whole.len()),
            ("turn_us_median", self.whole.value_at_quantile(0.5)),
            ("turn_us_p99", self.whole.value_at_quantile(0.99)),
            ("turn_us_longest", self.whole.max()),
        ];
        let long = KINDS.iter().zip(self.long).map(|((_, name), count)| (*name, count));
        whole.into_iter().chain(long).collect()
    }
}

#[cfg(test)]
mod tests;

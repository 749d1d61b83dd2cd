//! What the turns of the loop take, and on what: for whoever is on call, in `INFO` and in the log.

use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// A turn beyond this is long: what is due waits for it. A hundredth of the shortest time that clients usually wait.
pub const LONG_ITERATION: Duration = Duration::from_millis(20);
/// The longest that is told apart.
const MAX_RECORDED_MICROS: u64 = 60_000_000;
/// Significant digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// What a turn spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Hearing clients, nodes and discovery.
    Input,
    /// Taking a node list: a part of the hearing that is counted apart.
    NodeLists,
    /// Deciding, and carrying out what was decided.
    Decisions,
    /// Everything else: timers, other processes, the end of the process.
    Other,
}

const KINDS: [(Work, &str); 4] = [
    (Work::Input, "turns_long_hearing"),
    (Work::NodeLists, "turns_long_lists"),
    (Work::Decisions, "turns_long_deciding"),
    (Work::Other, "turns_long_upkeep"),
];

/// The turns of one process.
pub struct LoopStats {
    /// Microseconds of whole turns.
    whole: Histogram<u64>,
    /// When what is done now was begun, and what each kind of work took in this turn.
    since: Instant,
    spent: [Duration; KINDS.len()],
    /// Long turns, by what took most of them.
    long: [u64; KINDS.len()],
}

impl LoopStats {
    /// None was taken yet.
    pub fn new(now: Instant) -> Self {
        let whole = Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        LoopStats { whole, since: now, spent: Default::default(), long: Default::default() }
    }

    /// A turn begins.
    pub fn begin(&mut self, now: Instant) {
        (self.since, self.spent) = (now, Default::default());
    }

    /// What was done since the last call, or since the turn began, was this.
    pub fn record(&mut self, work: Work) {
        let now = Instant::now();
        self.spent[work as usize] += now - self.since;
        self.since = now;
    }

    /// The turn is over.
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

    /// What is known of them, by name.
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

//! How long a suspicion lasts before the one who has it holds the member for lost. It grows with the size of the fleet,
//! in which updates take longer, and shrinks with witnesses of their own.

use std::collections::BTreeSet;
use std::time::Duration;

/// Witnesses beyond the first that shorten it to the least.
const MAX_FURTHER_WITNESSES: usize = 3;

/// The least and the longest that a suspicion lasts in a fleet of so many, where periods are so long.
pub fn timeout_bounds(period: Duration, suspicion_periods: f64, members: usize) -> (Duration, Duration) {
    let scale = (members.max(2) as f64).log10().max(1.0);
    let min = period.mul_f64(suspicion_periods * scale);
    (min, min * 3)
}

/// A suspicion of one member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// Since when.
    pub since: Duration,
    /// Who has it.
    pub witnesses: BTreeSet<String>,
}

impl Suspicion {
    /// One that begins now.
    pub fn new(now: Duration, witness: &str) -> Self {
        Suspicion { since: now, witnesses: BTreeSet::from([witness.to_string()]) }
    }

    /// When it is over, in a fleet of so many: the first witness counts least, and each further one that was not asked
    /// by another brings it nearer to the least. Where there cannot be more, it is the least at once.
    pub fn expires(&self, period: Duration, suspicion_periods: f64, members: usize) -> Duration {
        let (min, max) = timeout_bounds(period, suspicion_periods, members);
        let needed = MAX_FURTHER_WITNESSES.min(members.saturating_sub(3));
        let further = (self.witnesses.len() - 1).min(needed);
        let share = if needed == 0 { 1.0 } else { ((further + 1) as f64).ln() / ((needed + 1) as f64).ln() };
        self.since + max - (max - min).mul_f64(share)
    }
}

#[cfg(test)]
mod tests;

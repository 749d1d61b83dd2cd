//! The suspicion timeout of Lifeguard: how long a suspicion lasts before the suspected member is considered faulty. It
//! grows with the logarithm of the fleet's size, since updates take longer to reach everybody, and shrinks with each
//! further independent witness.

use std::collections::BTreeSet;
use std::time::Duration;

/// Further independent witnesses after which the timeout is at its minimum.
const MAX_FURTHER_WITNESSES: usize = 3;

/// Minimum and maximum of the suspicion timeout in a fleet of this many members, with this protocol period.
/// `suspicion_periods` is the minimum for a fleet of up to ten, in periods.
pub fn timeout_bounds(period: Duration, suspicion_periods: f64, members: usize) -> (Duration, Duration) {
    let scale = (members.max(2) as f64).log10().max(1.0);
    let min = period.mul_f64(suspicion_periods * scale);
    (min, min * 3)
}

/// A suspicion of one member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it began.
    pub since: Duration,
    /// Names of the members that suspect it from probes of their own.
    pub witnesses: BTreeSet<String>,
}

impl Suspicion {
    /// A suspicion that begins now with one witness.
    pub fn new(now: Duration, witness: &str) -> Self {
        Suspicion { since: now, witnesses: BTreeSet::from([witness.to_string()]) }
    }

    /// When the suspected member is considered faulty, in a fleet of this many members. With a single witness the
    /// timeout is the maximum; each further independent witness brings it logarithmically nearer to the minimum. In a
    /// fleet too small for a further witness it is the minimum at once.
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

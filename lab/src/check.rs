//! Checks of the rules on the records of clients, nodes and the experiment, independent of the program's
//! implementation.

use crate::stand_ins::clients::{RequestEnd, SentRequest};
use crate::stand_ins::service::Attempt;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Tolerance on a drain's grace, for delays of a real machine.
const DRAIN_TOLERANCE: Duration = Duration::from_millis(50);
/// The grace of a drain.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Tolerance on a limit: the units that it allows in this time, in seconds.
const LIMIT_TOLERANCE_S: f64 = 0.15;

/// A time in which an initiator could not answer because it was dead or stopped.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Number of the initiator.
    pub initiator: usize,
    /// Beginning.
    pub from: Instant,
    /// End; `None` for the end of the run.
    pub to: Option<Instant>,
}

/// A node's drain, until it is listed again.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// The node.
    pub node: usize,
    /// When discovery announced it.
    pub since: Instant,
    /// When the node was listed again under another name.
    pub until: Option<Instant>,
}

/// The limits, drains and outages that a run is checked against.
#[derive(Clone, Debug, Default)]
pub struct Conditions {
    /// Limit on a volume of plan `base`: units per second, and burst including the slack.
    pub limit: (f64, f64),
    /// Drains of nodes.
    pub drains: Vec<Drain>,
    /// Outages of initiators.
    pub outages: Vec<Outage>,
}

/// Counts of broken rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Items with more than one final answer.
    pub duplicates: usize,
    /// Items that a live initiator had accepted and that got no answer.
    pub orphans: usize,
    /// Attempts that exceed a volume's limit in some window.
    pub limit_breaches: usize,
    /// Attempts at a draining node after the grace.
    pub drain_breaches: usize,
    /// Attempts of an item beyond the number that its class allows.
    pub attempts_twice: usize,
}

impl Breaches {
    /// Whether no rule was broken.
    pub fn none(&self) -> bool {
        *self == Breaches::default()
    }

    /// Sum of both.
    pub fn combined_with(self, other: Breaches) -> Breaches {
        Breaches {
            duplicates: self.duplicates + other.duplicates,
            orphans: self.orphans + other.orphans,
            limit_breaches: self.limit_breaches + other.limit_breaches,
            drain_breaches: self.drain_breaches + other.drain_breaches,
            attempts_twice: self.attempts_twice + other.attempts_twice,
        }
    }
}

/// Counts the rules that a run broke.
pub fn check(items: &[SentRequest], attempts: &[Attempt], conditions: &Conditions) -> Breaches {
    Breaches {
        duplicates: items.iter().filter(|item| item.answers > 1).count(),
        orphans: items.iter().filter(|item| is_orphan(item, &conditions.outages)).count(),
        limit_breaches: count_limit_breaches(attempts, conditions.limit),
        drain_breaches: attempts.iter().filter(|attempt| is_late(attempt, &conditions.drains)).count(),
        attempts_twice: count_excess_attempts(attempts),
    }
}

/// Whether an item was accepted by an initiator and got no answer although the initiator had no outage meanwhile.
pub fn is_orphan(item: &SentRequest, outages: &[Outage]) -> bool {
    let Some(initiator) = item.machine else { return false };
    let in_outage = |outage: &Outage| {
        outage.initiator == initiator
            && outage.from <= item.ended
            && outage.to.is_none_or(|to| item.sent <= to)
    };
    matches!(item.end, RequestEnd::Closed | RequestEnd::TimedOut) && !outages.iter().any(in_outage)
}

fn is_late(attempt: &Attempt, drains: &[Drain]) -> bool {
    let is_after_grace = |drain: &Drain| {
        drain.node == attempt.node
            && attempt.at > drain.since + DRAIN_GRACE + DRAIN_TOLERANCE
            && drain.until.is_none_or(|until| attempt.at < until)
    };
    drains.iter().any(is_after_grace)
}

/// Counts attempts beyond a volume's limit, over all windows at once: a leaky bucket drained at the rate overflows if
/// and only if some window that ends now contained more units than rate times length plus burst.
fn count_limit_breaches(attempts: &[Attempt], (rate, burst): (f64, f64)) -> usize {
    let mut first: HashMap<&str, Instant> = HashMap::new();
    let mut volumes: BTreeMap<&str, Vec<(Instant, f64)>> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| attempt.plan == "base") {
        // Only an item's first attempt consumes units.
        if first.insert(&attempt.request_id, attempt.at).is_none() {
            volumes.entry(&attempt.volume).or_default().push((attempt.at, attempt.units));
        }
    }
    let mut breaches = 0;
    for sent in volumes.values_mut() {
        sent.sort_by_key(|(at, _)| *at);
        let (mut level, mut last) = (0.0_f64, None::<Instant>);
        for (at, units) in sent {
            let since = last.map_or(0.0, |last| (*at - last).as_secs_f64());
            level = (level - rate * since).max(0.0) + *units;
            last = Some(*at);
            breaches += usize::from(level > burst + LIMIT_TOLERANCE_S * rate);
        }
    }
    breaches
}

/// Counts attempts beyond those that an item's class allows: one for `append`, which must not be repeated in any
/// case, else 4. The stand-in nodes never refuse or fail, so that a read or a keyed write has no reason to be sent
/// again while its first attempt is in flight.
fn count_excess_attempts(attempts: &[Attempt]) -> usize {
    let mut sent: HashMap<&str, usize> = HashMap::new();
    attempts
        .iter()
        .filter(|attempt| {
            let count = sent.entry(&attempt.request_id).or_default();
            *count += 1;
            let allowed = if attempt.class == "append" { 1 } else { 4 };
            *count > allowed
        })
        .count()
}

#[cfg(test)]
mod tests;

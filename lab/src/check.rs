//! Checkers of the rules. They read what clients, nodes and the experiment wrote down, and know nothing of how the
//! program works.

use crate::stand_ins::clients::{RequestEnd, SentRequest};
use crate::stand_ins::service::Attempt;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// What is allowed beyond a drain's grace, on a real machine.
const LATE: Duration = Duration::from_millis(50);
/// The grace of a drain.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// The slack of a limit grows by what it allows in this time.
const LIMIT_GROWTH: f64 = 0.15;

/// A time in which a machine could not answer: dead, or stopped.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// The machine.
    pub machine: usize,
    /// Since when.
    pub from: Instant,
    /// Until when; none: to the end.
    pub to: Option<Instant>,
}

/// A node that drains, until it is listed anew.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// The node.
    pub node: usize,
    /// When discovery told.
    pub since: Instant,
    /// When it came again under another name.
    pub until: Option<Instant>,
}

/// What a run is checked against.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Units a second, and at once with the slack, that a volume of `base` may take.
    pub limit: (f64, f64),
    /// Nodes that drain.
    pub drains: Vec<Drain>,
    /// When machines were in trouble.
    pub troubles: Vec<Trouble>,
}

/// Broken rules, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Items with more than one final answer.
    pub duplicates: usize,
    /// Items that a live machine had taken and that got none.
    pub orphans: usize,
    /// Attempts beyond a volume's limit over some window.
    pub limit_breaches: usize,
    /// Attempts at a draining node after its grace.
    pub drain_breaches: usize,
    /// Attempts of an item beyond what its class allows.
    pub attempts_twice: usize,
}

impl Breaches {
    /// Whether no rule was broken.
    pub fn none(&self) -> bool {
        *self == Breaches::default()
    }

    /// Both together.
    pub fn and(self, other: Breaches) -> Breaches {
        Breaches {
            duplicates: self.duplicates + other.duplicates,
            orphans: self.orphans + other.orphans,
            limit_breaches: self.limit_breaches + other.limit_breaches,
            drain_breaches: self.drain_breaches + other.drain_breaches,
            attempts_twice: self.attempts_twice + other.attempts_twice,
        }
    }
}

/// Checks a run.
pub fn check(items: &[SentRequest], attempts: &[Attempt], terms: &Terms) -> Breaches {
    Breaches {
        duplicates: items.iter().filter(|item| item.answers > 1).count(),
        orphans: items.iter().filter(|item| is_orphan(item, &terms.troubles)).count(),
        limit_breaches: beyond_limit(attempts, terms.limit),
        drain_breaches: attempts.iter().filter(|attempt| is_late(attempt, &terms.drains)).count(),
        attempts_twice: sent_again(attempts),
    }
}

/// An item that a machine accepted, that got no answer, while the machine could have given one.
pub fn is_orphan(item: &SentRequest, troubles: &[Trouble]) -> bool {
    let Some(machine) = item.machine else { return false };
    let in_trouble = |trouble: &Trouble| {
        trouble.machine == machine
            && trouble.from <= item.ended
            && trouble.to.is_none_or(|to| item.sent <= to)
    };
    matches!(item.end, RequestEnd::Closed | RequestEnd::TimedOut) && !troubles.iter().any(in_trouble)
}

fn is_late(attempt: &Attempt, drains: &[Drain]) -> bool {
    let late = |drain: &Drain| {
        drain.node == attempt.node
            && attempt.at > drain.since + DRAIN_GRACE + LATE
            && drain.until.is_none_or(|until| attempt.at < until)
    };
    drains.iter().any(late)
}

/// Every window of every volume at once: a bucket that leaks at the rate overflows if and only if some window that
/// ends now held more than the rate gives it and the burst besides.
fn beyond_limit(attempts: &[Attempt], (rate, at_once): (f64, f64)) -> usize {
    let mut first: HashMap<&str, Instant> = HashMap::new();
    let mut volumes: BTreeMap<&str, Vec<(Instant, f64)>> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| attempt.plan == "base") {
        // Only an item's first attempt takes units.
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
            breaches += usize::from(level > at_once + LIMIT_GROWTH * rate);
        }
    }
    breaches
}

/// Nodes here never turn away or fail, so that no read or keyed write has a reason to be sent again while its first
/// attempt runs on; what may not be repeated is to be sent once whatever happens.
fn sent_again(attempts: &[Attempt]) -> usize {
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

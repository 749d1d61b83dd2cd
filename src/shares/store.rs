//! What a forwarder holds of the plans that it was sent, and what it may use by them now. Times are its own, on a clock
//! that goes on while the process is stopped.
//!
//! Of each resource it may use its even part, less what it gave back, and besides what it was granted; each move counts
//! until its own end, whoever sent it. Without planners all of them end, one by one, and the even part is left.

use super::{Demand, ForwarderId, Move, Plan, ProbeResult, Report, Resource, Share, Term, MAX_MOVE_DURATION};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Reports that a plan may still answer. Grants of a plan that answers an older one have no beginning.
const MOST_ASKED: usize = 64;
/// Moves that a plan may name. Guards against a planner that floods.
pub const MAX_MOVES: usize = 65_536;
/// A plan that is older is said to be stale.
const STALE: Duration = Duration::from_secs(1);

/// Why a plan was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanRejection {
    /// A later planner has spoken.
    OldTerm,
    /// A later plan of the same planner came before.
    OldVersion,
    /// It is for a process of this forwarder that has ended.
    OtherProcess,
    /// More moves than any plan has.
    TooLong,
}

/// By what a forwarder goes, for one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// By plans that are fresh.
    Planned,
    /// By the last plan, which has become old: moves end one by one.
    Stale,
    /// By even parts: no plan has come for longer than any move lasts.
    Safe,
}

impl Mode {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Planned => "planned",
            Mode::Stale => "stale",
            Mode::Safe => "safe",
        }
    }
}

/// What goes on with one partition's planner.
#[derive(Clone, Debug, Default)]
struct Charge {
    term: Option<Term>,
    version: u64,
    /// When the last plan was taken.
    heard: Option<Duration>,
    /// Reports sent last: their numbers and times.
    asked: VecDeque<(u64, Duration)>,
    number: u64,
    /// Resources whose reclaims, in the newest moves, were not taken.
    refused: BTreeSet<Resource>,
    probes: Vec<u64>,
}

/// A move that counts until its end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Counts {
    Reclaimed(Share, Duration),
    Granted(Share, Duration),
}

#[derive(Clone, Debug, Default)]
struct Held {
    /// The newest move of each planner that has sent one.
    moves: Vec<(Term, Counts)>,
}

/// The plans of one forwarder's process.
#[derive(Clone, Debug)]
pub struct Store {
    forwarder: ForwarderId,
    incarnation: u64,
    started: Duration,
    partitions: Vec<Charge>,
    held: BTreeMap<Resource, Held>,
}

impl Store {
    /// A process that starts now, with so many partitions of planners.
    pub fn new(forwarder: ForwarderId, incarnation: u64, partitions: usize, now: Duration) -> Self {
        let partitions = vec![Charge::default(); partitions];
        Store { forwarder, incarnation, started: now, partitions, held: BTreeMap::new() }
    }

    /// The part of a resource that may be used now, of which this is the even part.
    pub fn usable_share(&self, now: Duration, resource: Resource, even_share: Share) -> Share {
        let own = if self.is_starting(now) { even_share.floor() } else { even_share };
        let Some(held) = self.held.get(&resource) else { return own };
        let (reclaimed, granted) = held.sums(now);
        own.minus(reclaimed).plus(granted)
    }

    /// Whether it cannot know yet what it gave back before it was started.
    pub fn is_starting(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) < MAX_MOVE_DURATION
    }

    /// By what it goes for a partition.
    pub fn mode(&self, now: Duration, partition: usize) -> Mode {
        match self.partitions[partition].heard.map(|at| now.saturating_sub(at)) {
            Some(age) if age < STALE => Mode::Planned,
            Some(age) if age < MAX_MOVE_DURATION => Mode::Stale,
            _ => Mode::Safe,
        }
    }

    /// The term that it goes by, the newest version held, and the age of that.
    pub fn latest_plan(&self, now: Duration, partition: usize) -> Option<(Term, u64, Duration)> {
        let charge = &self.partitions[partition];
        Some((charge.term?, charge.version, now.saturating_sub(charge.heard?)))
    }

    /// Nodes that it is to probe.
    pub fn probes(&self) -> impl Iterator<Item = u64> + '_ {
        self.partitions.iter().flat_map(|charge| charge.probes.iter().copied())
    }

    /// Moves in force: shares given back and grants.
    pub fn in_force(&self, now: Duration) -> (usize, usize) {
        let counts = self.held.values().flat_map(|held| &held.moves);
        counts.fold((0, 0), |(reclaimed, granted), (_, counts)| match counts {
            Counts::Reclaimed(part, until) if now < *until && *part > Share::NONE => (reclaimed + 1, granted),
            Counts::Granted(part, until) if now < *until && *part > Share::NONE => (reclaimed, granted + 1),
            _ => (reclaimed, granted),
        })
    }

    /// The next report to a partition's planner.
    pub fn build_report(
        &mut self,
        now: Duration,
        partition: usize,
        demands: Vec<Demand>,
        probe_results: Vec<ProbeResult>,
    ) -> Report {
        let gives_back = !self.is_starting(now);
        let charge = &mut self.partitions[partition];
        charge.number += 1;
        charge.asked.push_back((charge.number, now));
        if charge.asked.len() > MOST_ASKED {
            charge.asked.pop_front();
        }
        Report {
            forwarder: self.forwarder,
            incarnation: self.incarnation,
            number: charge.number,
            gives_back,
            term: charge.term,
            held_version: charge.version,
            refused: charge.refused.iter().copied().collect(),
            demands,
            probe_results,
        }
    }

    /// Takes a plan of a partition's planner. `even` tells the even part of a resource.
    pub fn apply_plan(
        &mut self,
        now: Duration,
        partition: usize,
        plan: &Plan,
        even_share: impl Fn(Resource) -> Option<Share>,
    ) -> Result<(), PlanRejection> {
        if plan.moves.len() > MAX_MOVES {
            return Err(PlanRejection::TooLong);
        }
        // Guards against grants that would count from a report of another process with the same number.
        if plan.incarnation != self.incarnation {
            return Err(PlanRejection::OtherProcess);
        }
        let young = self.is_starting(now);
        let charge = &mut self.partitions[partition];
        match charge.term {
            Some(term) if plan.term < term => return Err(PlanRejection::OldTerm),
            Some(term) if plan.term == term && plan.version <= charge.version => {
                return Err(PlanRejection::OldVersion);
            }
            Some(term) if plan.term == term => {}
            // What an earlier planner moved goes on until its end; what it wants of probes does not.
            _ => (charge.refused, charge.probes) = (BTreeSet::new(), Vec::new()),
        }
        (charge.term, charge.version, charge.heard) = (Some(plan.term), plan.version, Some(now));
        let asked = charge.asked.iter().find(|(number, _)| *number == plan.answers_report).map(|(_, at)| *at);
        if let Some(probes) = &plan.probes {
            charge.probes.clone_from(probes);
        }
        for (resource, moved) in &plan.moves {
            charge.refused.remove(resource);
            let held = self.held.entry(*resource).or_default();
            let reclaimed = |(term, counts): &&(Term, Counts)| {
                *term == plan.term && matches!(counts, Counts::Reclaimed(_, until) if now < *until)
            };
            let reclaimed = held.moves.iter().find(reclaimed).copied();
            held.moves.retain(|(term, counts)| *term != plan.term && counts.until() > now);
            match *moved {
                Move::Reclaim(part, lasts) => {
                    let room = even_share(*resource).map_or(Share::NONE, |even_share| {
                        even_share.minus(even_share.floor()).minus(held.sums(now).0)
                    });
                    // Guards its floor from two planners that both ask, and what it may have given back before it started.
                    if part > room || young {
                        // What it gave back before goes on: the planner counts on the lesser of the two until it hears.
                        // A grant does not: the planner counts on it to end.
                        held.moves.extend(reclaimed);
                        charge.refused.insert(*resource);
                    } else {
                        held.moves
                            .push((plan.term, Counts::Reclaimed(part, now + lasts.min(MAX_MOVE_DURATION))));
                    }
                }
                Move::Grant(part, lasts) => {
                    if let Some(asked) = asked {
                        held.moves
                            .push((plan.term, Counts::Granted(part, asked + lasts.min(MAX_MOVE_DURATION))));
                    }
                }
            }
        }
        Ok(())
    }

    /// Forgets moves that have ended.
    pub fn drop_expired(&mut self, now: Duration) {
        self.held.retain(|_, held| {
            held.moves.retain(|(_, counts)| counts.until() > now);
            !held.moves.is_empty()
        });
    }

    /// When the next move ends, so that what depends on it is looked at again.
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        let ends = self.held.values().flat_map(|held| held.moves.iter().map(|(_, counts)| counts.until()));
        ends.filter(|at| *at > now).min()
    }
}

impl Held {
    /// What is given back and what is granted now.
    fn sums(&self, now: Duration) -> (Share, Share) {
        self.moves.iter().fold(
            (Share::NONE, Share::NONE),
            |(reclaimed, granted), (_, counts)| match *counts {
                Counts::Reclaimed(part, until) if now < until => (reclaimed.plus(part), granted),
                Counts::Granted(part, until) if now < until => (reclaimed, granted.plus(part)),
                _ => (reclaimed, granted),
            },
        )
    }
}

impl Counts {
    fn until(&self) -> Duration {
        match self {
            Counts::Reclaimed(_, until) | Counts::Granted(_, until) => *until,
        }
    }
}

#[cfg(test)]
mod tests;

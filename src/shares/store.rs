//! The plans that a forwarder holds, and the shares that it may use by them. Times are on the forwarder's clock,
//! which has to go on while the process is suspended.
//!
//! Of each resource a forwarder may use its even share, minus what it gives back, plus what it was granted. Each move
//! is in force until its own end, whichever planner sent it. Without planners all moves end, and the even share
//! remains.

use super::{Demand, ForwarderId, Move, Plan, ProbeResult, Report, Resource, Share, Term, MAX_MOVE_DURATION};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum of reports that a plan may still answer. The grants of a plan that answers an older one are ignored, since
/// their start is not known.
const MAX_PENDING_REPORTS: usize = 64;
/// Maximum of moves in a plan, which bounds the memory used for a faulty planner.
pub const MAX_MOVES: usize = 65_536;
/// Age from which on the last plan of a partition is stale.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Why a plan was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanRejection {
    /// A plan of a later term was received before.
    OldTerm,
    /// The same or a later version of the same term was received before.
    OldVersion,
    /// It is for a process of this forwarder that has ended.
    OtherProcess,
    /// It has more than [`MAX_MOVES`] moves.
    TooLong,
}

/// What a forwarder's shares in one partition are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// Recent plans.
    Planned,
    /// An old plan, whose moves end one after the other.
    Stale,
    /// Even shares: no plan was received for longer than any move lasts.
    Safe,
}

impl Mode {
    /// The name of the mode in reports.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Planned => "planned",
            Mode::Stale => "stale",
            Mode::Safe => "safe",
        }
    }
}

/// The exchange with one partition's planner.
#[derive(Clone, Debug, Default)]
struct PartitionState {
    term: Option<Term>,
    version: u64,
    /// When the last plan was applied.
    last_plan: Option<Duration>,
    /// Numbers and times of the last reports.
    reports: VecDeque<(u64, Duration)>,
    report_number: u64,
    /// Resources whose newest reclaims were refused.
    refused: BTreeSet<Resource>,
    probes: Vec<u64>,
}

/// A move in force until the given time.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ActiveMove {
    Reclaimed(Share, Duration),
    Granted(Share, Duration),
}

#[derive(Clone, Debug, Default)]
struct ResourceMoves {
    /// The newest move of each term.
    moves: Vec<(Term, ActiveMove)>,
}

/// The state of one forwarder's process towards the planners.
#[derive(Clone, Debug)]
pub struct Store {
    forwarder: ForwarderId,
    incarnation: u64,
    started: Duration,
    partitions: Vec<PartitionState>,
    resources: BTreeMap<Resource, ResourceMoves>,
}

impl Store {
    /// The state of a process that starts now, with this number of partitions.
    pub fn new(forwarder: ForwarderId, incarnation: u64, partitions: usize, now: Duration) -> Self {
        let partitions = vec![PartitionState::default(); partitions];
        Store { forwarder, incarnation, started: now, partitions, resources: BTreeMap::new() }
    }

    /// The share of a resource that may be used now, given the even share.
    pub fn usable_share(&self, now: Duration, resource: Resource, even_share: Share) -> Share {
        let own = if self.is_starting(now) { even_share.floor() } else { even_share };
        let Some(resource_moves) = self.resources.get(&resource) else { return own };
        let (reclaimed, granted) = resource_moves.totals(now);
        own.minus(reclaimed).plus(granted)
    }

    /// Whether moves of an earlier process of this forwarder may still be in force, which this process does not know.
    pub fn is_starting(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) < MAX_MOVE_DURATION
    }

    /// The mode of a partition.
    pub fn mode(&self, now: Duration, partition: usize) -> Mode {
        match self.partitions[partition].last_plan.map(|at| now.saturating_sub(at)) {
            Some(age) if age < STALE_AFTER => Mode::Planned,
            Some(age) if age < MAX_MOVE_DURATION => Mode::Stale,
            _ => Mode::Safe,
        }
    }

    /// The term, version and age of the newest plan of a partition.
    pub fn latest_plan(&self, now: Duration, partition: usize) -> Option<(Term, u64, Duration)> {
        let state = &self.partitions[partition];
        Some((state.term?, state.version, now.saturating_sub(state.last_plan?)))
    }

    /// The nodes that this forwarder must probe.
    pub fn probes(&self) -> impl Iterator<Item = u64> + '_ {
        self.partitions.iter().flat_map(|state| state.probes.iter().copied())
    }

    /// The numbers of reclaims and grants in force.
    pub fn in_force(&self, now: Duration) -> (usize, usize) {
        let active = self.resources.values().flat_map(|resource_moves| &resource_moves.moves);
        active.fold((0, 0), |(reclaimed, granted), (_, active)| match active {
            ActiveMove::Reclaimed(share, until) if now < *until && *share > Share::NONE => {
                (reclaimed + 1, granted)
            }
            ActiveMove::Granted(share, until) if now < *until && *share > Share::NONE => {
                (reclaimed, granted + 1)
            }
            _ => (reclaimed, granted),
        })
    }

    /// Builds the next report to a partition's planner.
    pub fn build_report(
        &mut self,
        now: Duration,
        partition: usize,
        demands: Vec<Demand>,
        probe_results: Vec<ProbeResult>,
    ) -> Report {
        let gives_back = !self.is_starting(now);
        let state = &mut self.partitions[partition];
        state.report_number += 1;
        state.reports.push_back((state.report_number, now));
        if state.reports.len() > MAX_PENDING_REPORTS {
            state.reports.pop_front();
        }
        Report {
            forwarder: self.forwarder,
            incarnation: self.incarnation,
            number: state.report_number,
            gives_back,
            term: state.term,
            held_version: state.version,
            refused: state.refused.iter().copied().collect(),
            demands,
            probe_results,
        }
    }

    /// Applies a plan of a partition's planner. `even_share` returns the even share of a resource, if known.
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
        // Otherwise a grant could start with a report of this process that only has the same number as that of the
        // other.
        if plan.incarnation != self.incarnation {
            return Err(PlanRejection::OtherProcess);
        }
        let is_starting = self.is_starting(now);
        let state = &mut self.partitions[partition];
        match state.term {
            Some(term) if plan.term < term => return Err(PlanRejection::OldTerm),
            Some(term) if plan.term == term && plan.version <= state.version => {
                return Err(PlanRejection::OldVersion);
            }
            Some(term) if plan.term == term => {}
            // Moves of earlier terms stay in force until their ends; their lists of nodes to probe don't.
            _ => (state.refused, state.probes) = (BTreeSet::new(), Vec::new()),
        }
        (state.term, state.version, state.last_plan) = (Some(plan.term), plan.version, Some(now));
        let reported_at =
            state.reports.iter().find(|(number, _)| *number == plan.answers_report).map(|(_, at)| *at);
        if let Some(probes) = &plan.probes {
            state.probes.clone_from(probes);
        }
        for (resource, new_move) in &plan.moves {
            state.refused.remove(resource);
            let resource_moves = self.resources.entry(*resource).or_default();
            let reclaimed = |(term, active): &&(Term, ActiveMove)| {
                *term == plan.term && matches!(active, ActiveMove::Reclaimed(_, until) if now < *until)
            };
            let reclaimed = resource_moves.moves.iter().find(reclaimed).copied();
            resource_moves.moves.retain(|(term, active)| *term != plan.term && active.until() > now);
            match *new_move {
                Move::Reclaim(share, duration) => {
                    let reclaimable = even_share(*resource).map_or(Share::NONE, |even_share| {
                        even_share.minus(even_share.floor()).minus(resource_moves.totals(now).0)
                    });
                    // Two planners that both reclaim must not take the floor, and a starting process does not know what
                    // an earlier one gave back.
                    if share > reclaimable || is_starting {
                        // An earlier reclaim stays in force: the planner counts on the smaller of the two until it
                        // learns of the refusal. An earlier grant ends, since the planner counts on its end.
                        resource_moves.moves.extend(reclaimed);
                        state.refused.insert(*resource);
                    } else {
                        resource_moves.moves.push((
                            plan.term,
                            ActiveMove::Reclaimed(share, now + duration.min(MAX_MOVE_DURATION)),
                        ));
                    }
                }
                Move::Grant(share, duration) => {
                    if let Some(reported_at) = reported_at {
                        resource_moves.moves.push((
                            plan.term,
                            ActiveMove::Granted(share, reported_at + duration.min(MAX_MOVE_DURATION)),
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Drops moves that have ended.
    pub fn drop_expired(&mut self, now: Duration) {
        self.resources.retain(|_, resource_moves| {
            resource_moves.moves.retain(|(_, active)| active.until() > now);
            !resource_moves.moves.is_empty()
        });
    }

    /// When the next move ends, so that dependent shares can be recomputed.
    pub fn next_expiry(&self, now: Duration) -> Option<Duration> {
        let ends = self
            .resources
            .values()
            .flat_map(|resource_moves| resource_moves.moves.iter().map(|(_, active)| active.until()));
        ends.filter(|at| *at > now).min()
    }
}

impl ResourceMoves {
    /// The sums of reclaims and of grants in force now.
    fn totals(&self, now: Duration) -> (Share, Share) {
        self.moves.iter().fold(
            (Share::NONE, Share::NONE),
            |(reclaimed, granted), (_, active)| match *active {
                ActiveMove::Reclaimed(share, until) if now < until => (reclaimed.plus(share), granted),
                ActiveMove::Granted(share, until) if now < until => (reclaimed, granted.plus(share)),
                _ => (reclaimed, granted),
            },
        )
    }
}

impl ActiveMove {
    fn until(&self) -> Duration {
        match self {
            ActiveMove::Reclaimed(_, until) | ActiveMove::Granted(_, until) => *until,
        }
    }
}

#[cfg(test)]
mod tests;

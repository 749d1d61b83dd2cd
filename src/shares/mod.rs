//! Shares: what a few planners decide for many forwarders, and what a forwarder may use of what all share. No I/O, no
//! clock, no randomness: reports in, plans out, times handed in.
//!
//! Each forwarder has an even part of each shared thing, which it may use without anybody. A planner moves parts: one
//! forwarder *gives back* some of its own for a while, and others are *granted* no more than is certainly reclaimed, for no
//! longer. So the parts in force never sum to more than the whole, whatever is lost, late, repeated or restarted, and
//! however many planners believe themselves to be in charge: each of them moves only what was given back to it.
//! docs/planners.md has the argument and the ways weighed.
//!
//! From below: [`Part`] and the messages, [`deal`] (which planner, which prober), [`divide`] (who is to have what),
//! [`ledger`] (what may certainly be moved), [`planner`] and [`store`] (the two ends).

pub mod deal;
pub mod divide;
pub mod ledger;
pub mod meter;
pub mod planner;
pub mod store;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest that a move may last. A forwarder that starts holds to its floor for as long, since it cannot know what
/// it gave back before; a move that says more is cut to it.
pub const MAX_MOVE_DURATION: Duration = Duration::from_secs(5);
/// By how much a clock may run fast or slow, as a part: one in a hundred.
pub const CLOCK_DRIFT_DIVISOR: u32 = 100;
/// Part of its even part that a forwarder never gives back: one in four. It may use that from its start on.
pub const FLOOR_DIVISOR: u32 = 4;

/// A part of a shared thing, in whole millionths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share(pub u32);

impl Share {
    /// All of it.
    pub const WHOLE: Share = Share(1_000_000);
    /// Nothing.
    pub const NONE: Share = Share(0);

    /// An even part among so many; rounded down, so that all of them sum to no more than the whole.
    pub fn even(among: f64) -> Share {
        Share((f64::from(Share::WHOLE.0) / among.max(1.0)) as u32)
    }

    /// What a forwarder with this even part never gives back.
    pub fn floor(self) -> Share {
        Share(self.0 / FLOOR_DIVISOR)
    }

    /// As a fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Share::WHOLE.0)
    }

    /// What is left of it.
    pub fn minus(self, other: Share) -> Share {
        Share(self.0.saturating_sub(other.0))
    }

    /// Both together.
    pub fn plus(self, other: Share) -> Share {
        Share(self.0.saturating_add(other.0))
    }
}

/// Something that forwarders share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Resource {
    /// The limit of a volume.
    Limit(u64),
    /// What a cold node bears, by the hash of its name.
    SlowStart(u64),
}

/// A forwarder, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ForwarderId(pub u64);

/// A planner, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlannerId(pub u64);

/// A planner's time in charge of a partition: later ones are higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    /// Higher than all that the planner has heard of.
    pub number: u64,
    /// Breaks ties, and tells two apart that never heard of each other.
    pub planner: PlannerId,
    /// Tells apart times in charge of one planner, which remembers nothing of those before: another at each.
    pub nonce: u64,
}

/// A move of a part of a resource, from one planner to one forwarder. A later one for the same resource replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Move {
    /// The forwarder leaves this part alone for so long after it has the plan.
    Reclaim(Share, Duration),
    /// The forwarder may use this part besides, for so long after it asked.
    Grant(Share, Duration),
}

/// What a forwarder asks for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// What of.
    pub resource: Resource,
    /// Its even part.
    pub even_share: Share,
    /// What it would use, as a part of the whole; beyond 1 where it would use more than there is.
    pub wanted: f32,
}

/// What a forwarder saw of a node it probed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeResult {
    /// The node, by the hash of its name.
    pub node: u64,
    /// How long it took to answer; none: it did not.
    pub response_time: Option<Duration>,
    /// How long ago.
    pub age: Duration,
}

/// From a forwarder to the planner of a partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Who.
    pub forwarder: ForwarderId,
    /// Its process: another at each start.
    pub incarnation: u64,
    /// Counts its reports to this partition; a plan says which it answers.
    pub number: u64,
    /// Whether it may give back: one that has just started may not.
    pub gives_back: bool,
    /// The highest term that it knows of.
    pub term: Option<Term>,
    /// The newest plan of that term that it holds.
    pub held_version: u64,
    /// Resources whose reclaim in that plan it did not take.
    pub refused: Vec<Resource>,
    /// What it wants.
    pub demands: Vec<Demand>,
    /// What it saw.
    pub probe_results: Vec<ProbeResult>,
}

/// From a planner to one forwarder. Resources that it does not name stay as they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The planner's time in charge.
    pub term: Term,
    /// The process that it is for: one that was started since takes nothing that was meant for the one before.
    pub incarnation: u64,
    /// Counts its plans for this forwarder; an older one is not taken.
    pub version: u64,
    /// The report that it answers.
    pub answers_report: u64,
    /// What changes.
    pub moves: Vec<(Resource, Move)>,
    /// Nodes that the forwarder is to probe, by the hashes of their names, where that has changed.
    pub probes: Option<Vec<u64>>,
    /// What others saw of nodes since the last plan.
    pub hints: Vec<ProbeResult>,
}

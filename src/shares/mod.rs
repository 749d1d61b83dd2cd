//! Shares of resources that many forwarders use together, such as the rate limit of a volume, and how a few planners
//! divide them. No I/O, clock or randomness: reports go in, plans come out, and times are passed in.
//!
//! Each forwarder has an even share of each resource, which it may use without a planner. A planner moves shares: a
//! *reclaim* makes one forwarder give back some of its even share for a limited time, and a *grant* lets another use
//! more. Grants never exceed what is certainly reclaimed, and never last longer. So the shares in force never sum to
//! more than the whole, whatever message is lost, late or repeated, whatever process restarts, and however many
//! planners believe that they lead: each of them moves only what was given back to it. docs/planners.md has the
//! argument and the alternatives considered.
//!
//! [`Share`] and the messages are here. [`deal`] assigns keys to planners and probers, [`meter`] measures demand,
//! [`divide`] computes the share that each forwarder should have, [`ledger`] tells what may be moved safely, and
//! [`planner`] and [`store`] are the two ends of the protocol.

pub mod deal;
pub mod divide;
pub mod ledger;
pub mod meter;
pub mod planner;
pub mod store;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest duration of a move; longer ones are cut to it. A forwarder uses only its floor for as long after its
/// start, since it cannot know what an earlier process of it gave back.
pub const MAX_MOVE_DURATION: Duration = Duration::from_secs(5);
/// A clock may run fast or slow by one part in this number.
pub const CLOCK_DRIFT_DIVISOR: u32 = 100;
/// A forwarder never gives back its floor, which is its even share divided by this number. It may use the floor from
/// its start on.
pub const FLOOR_DIVISOR: u32 = 4;

/// A share of a resource in whole millionths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share(pub u32);

impl Share {
    /// The whole resource.
    pub const WHOLE: Share = Share(1_000_000);
    /// Nothing.
    pub const NONE: Share = Share(0);

    /// The even share among a number of initiators, rounded down so that all of them sum to no more than the whole.
    pub fn even(initiators: f64) -> Share {
        Share((f64::from(Share::WHOLE.0) / initiators.max(1.0)) as u32)
    }

    /// The floor of a forwarder with this even share, which it never gives back.
    pub fn floor(self) -> Share {
        Share(self.0 / FLOOR_DIVISOR)
    }

    /// The share as a fraction of 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Share::WHOLE.0)
    }

    /// The difference, or nothing if `other` is greater.
    pub fn minus(self, other: Share) -> Share {
        Share(self.0.saturating_sub(other.0))
    }

    /// The sum.
    pub fn plus(self, other: Share) -> Share {
        Share(self.0.saturating_add(other.0))
    }
}

/// A resource that forwarders share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Resource {
    /// The rate limit of a volume.
    Limit(u64),
    /// The slow-start limit of a node, by the hash of its name.
    SlowStart(u64),
}

/// A forwarder, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ForwarderId(pub u64);

/// A planner, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlannerId(pub u64);

/// A planner's period of leadership of a partition. Later terms are higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Term {
    /// Higher than all numbers that the planner knows of.
    pub number: u64,
    /// Breaks ties between planners that do not know of each other's term.
    pub planner: PlannerId,
    /// Differs for each term of one planner, since it keeps no memory of its earlier terms.
    pub nonce: u64,
}

/// A planner's change of one forwarder's share of a resource. A later move for the same resource replaces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Move {
    /// The forwarder must not use this much of its even share, for this duration after it receives the plan.
    Reclaim(Share, Duration),
    /// The forwarder may use this share in addition, for this duration after it sent the report that the plan answers.
    Grant(Share, Duration),
}

/// A forwarder's demand for one resource.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The resource.
    pub resource: Resource,
    /// The forwarder's even share.
    pub even_share: Share,
    /// What it would use, as a fraction of the whole; above 1 if that is more than there is.
    pub wanted: f32,
}

/// The result of a forwarder's probe of a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeResult {
    /// The node, by the hash of its name.
    pub node: u64,
    /// The time until the node answered; `None` if it did not.
    pub response_time: Option<Duration>,
    /// The time since the probe.
    pub age: Duration,
}

/// From a forwarder to the planner of a partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub forwarder: ForwarderId,
    /// Identifies the process; differs at each start.
    pub incarnation: u64,
    /// Sequence number of the reports for this partition; a plan refers to the report that it answers.
    pub number: u64,
    /// Whether it can give back some of its even share; false for a while after its start.
    pub gives_back: bool,
    /// The highest term that it knows.
    pub term: Option<Term>,
    /// The version of the newest plan of that term that it holds.
    pub held_version: u64,
    /// Resources whose reclaims in that plan it refused.
    pub refused: Vec<Resource>,
    /// Its demand, by resource.
    pub demands: Vec<Demand>,
    /// Results of its probes since the last report.
    pub probe_results: Vec<ProbeResult>,
}

/// From a planner to one forwarder. Resources that it does not name are unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The planner's term.
    pub term: Term,
    /// The process that the plan is for; a process started later rejects it.
    pub incarnation: u64,
    /// Version of the plan; a forwarder rejects versions older than the one it holds.
    pub version: u64,
    /// The number of the report that it answers.
    pub answers_report: u64,
    /// The changed moves.
    pub moves: Vec<(Resource, Move)>,
    /// The nodes that the forwarder must probe, by the hashes of their names; `None` if unchanged.
    pub probes: Option<Vec<u64>>,
    /// Results of other forwarders' probes since the last plan.
    pub hints: Vec<ProbeResult>,
}

//! Protocol between the run and its worker processes: one JSON object per line in each direction.

use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Command to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub enum Command {
    /// Start these initiators, each given by its number and folder.
    Start(Vec<(usize, PathBuf)>),
    /// Drop these initiators abruptly, without leaving the fleet.
    Drop(Vec<usize>),
    /// Simulate requests at each initiator from now on, every second.
    Ask {
        /// Volumes requested at each initiator.
        each: usize,
        /// Distinct volumes in the fleet.
        of: u64,
    },
    /// Report the state of all initiators, and the lateness of the loop since the last report.
    Status,
}

/// Message from a worker.
#[derive(Debug, Serialize, Deserialize)]
pub enum WorkerMessage {
    /// An initiator failed to start, for this reason.
    Failed(usize, String),
    /// An initiator has received and applied a version of the node list.
    List {
        /// Number of the initiator.
        who: usize,
        /// Version of the list.
        index: u64,
        /// Unix time in microseconds.
        at: u64,
    },
    /// A revision of the live configuration has come into force at an initiator.
    Revision {
        /// Number of the initiator.
        who: usize,
        /// Number of the revision.
        number: u64,
        /// Hash of its content.
        hash: String,
        /// Unix time in microseconds.
        at: u64,
    },
    /// Answer to [`Command::Status`].
    Status {
        /// State of each initiator.
        hollow: Vec<Standing>,
        /// Lateness of the loop since the last report.
        late: Late,
    },
}

/// Lateness of a loop's wake-ups since the last report, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Late {
    /// Iterations in which a timer was due.
    pub turns: u64,
    /// The maximum.
    pub most: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// State of an initiator, hollow or real.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Standing {
    /// Number of the initiator.
    pub who: usize,
    /// Its membership phase.
    pub phase: String,
    /// Whether it has a quorum of the fleet.
    pub quorate: bool,
    /// Members in its view.
    pub members: usize,
    /// Number of its view.
    pub view: u64,
    /// Version of its node list; `None` where it is not known.
    pub list: Option<u64>,
    /// Nodes in its node list.
    pub nodes: usize,
    /// Planner partitions in planned mode.
    pub planned: usize,
    /// Planner partitions in stale mode.
    pub stale: usize,
    /// Planner partitions in safe mode.
    pub safe: usize,
}

impl Standing {
    /// Parses the lines of `INFO` on the fleet and the planners; a missing line leaves the default.
    pub fn read(who: usize, lines: &str) -> Standing {
        let mut state = Standing { who, ..Standing::default() };
        for (name, value) in lines.lines().filter_map(|line| line.split_once(':')) {
            let number = || value.parse::<u64>().unwrap_or(0);
            match name {
                "fleet_phase" => state.phase = value.to_string(),
                "fleet_quorate" => state.quorate = value == "1",
                "fleet_members" => state.members = number() as usize,
                "fleet_view" => state.view = number(),
                "nodes" => state.nodes = number() as usize,
                "planners_partitions_planned" => state.planned = number() as usize,
                "planners_partitions_stale" => state.stale = number() as usize,
                "planners_partitions_safe" => state.safe = number() as usize,
                _ => {}
            }
        }
        state
    }
}

/// The Unix time in microseconds, which all processes of the run share.
pub fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

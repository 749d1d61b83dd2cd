//! What the run says to its worker processes and what they answer: JSON, one line each.

use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// To a worker.
#[derive(Debug, Serialize, Deserialize)]
pub enum Command {
    /// Start these initiators, each with its number and folder.
    Start(Vec<(usize, PathBuf)>),
    /// End these without goodbye.
    Drop(Vec<usize>),
    /// From now on each initiator is asked for so many volumes a second, of as many in all.
    Ask {
        /// Volumes of one initiator.
        each: usize,
        /// Volumes in all.
        of: u64,
    },
    /// Say how all stand, and how late the loop was since the last time.
    Status,
}

/// From a worker.
#[derive(Debug, Serialize, Deserialize)]
pub enum Seen {
    /// An initiator could not start.
    Failed(usize, String),
    /// A version of the list came to an initiator and is in its node list, at this Unix time in microseconds.
    List {
        /// The initiator.
        who: usize,
        /// The version.
        index: u64,
        /// When.
        at: u64,
    },
    /// A revision of the live configuration is in force at an initiator, at this Unix time in microseconds.
    Revision {
        /// The initiator.
        who: usize,
        /// Its number.
        number: u64,
        /// The hash of its content.
        hash: String,
        /// When.
        at: u64,
    },
    /// Answers [`Command::Status`].
    Status {
        /// How each stands.
        hollow: Vec<Standing>,
        /// How late the loop was.
        late: Late,
    },
}

/// How late a loop woke, in microseconds, since the last time it was asked.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Late {
    /// Turns of the loop that had something due.
    pub turns: u64,
    /// The latest.
    pub most: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// How an initiator stands, hollow or real.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Standing {
    /// The initiator.
    pub who: usize,
    /// Its phase in the fleet.
    pub phase: String,
    /// Whether it hears most of the fleet.
    pub quorate: bool,
    /// Members of its view, and the view's number.
    pub members: usize,
    /// Likewise.
    pub view: u64,
    /// Version of the list; none where it is not known.
    pub list: Option<u64>,
    /// Nodes that it knows.
    pub nodes: usize,
    /// Partitions in each mode.
    pub planned: usize,
    /// Likewise.
    pub stale: usize,
    /// Likewise.
    pub safe: usize,
}

impl Standing {
    /// Reads the lines that `INFO` has of the fleet and the planners.
    pub fn read(who: usize, lines: &str) -> Standing {
        let mut standing = Standing { who, ..Standing::default() };
        for (name, value) in lines.lines().filter_map(|line| line.split_once(':')) {
            let number = || value.parse::<u64>().unwrap_or(0);
            match name {
                "fleet_phase" => standing.phase = value.to_string(),
                "fleet_quorate" => standing.quorate = value == "1",
                "fleet_members" => standing.members = number() as usize,
                "fleet_view" => standing.view = number(),
                "nodes" => standing.nodes = number() as usize,
                "planners_partitions_planned" => standing.planned = number() as usize,
                "planners_partitions_stale" => standing.stale = number() as usize,
                "planners_partitions_safe" => standing.safe = number() as usize,
                _ => {}
            }
        }
        standing
    }
}

/// The system's time in microseconds, the same for all processes of the run.
pub fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

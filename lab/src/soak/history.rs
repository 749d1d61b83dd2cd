//! What clients, nodes and discovery observed, as recorded by the stand-ins. Nothing here comes from the program's own
//! counters.

use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Kind of an operation, by the effect of running it twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Safe to repeat.
    Read,
    /// The shard drops repeats within its deduplication window.
    Write,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A value (`served`) or an error reply.
    Answered { served: bool },
    /// The connection closed before a complete answer.
    Closed,
    /// The connection closed within a long value: that of this request, or of one before it.
    CutOff { value_of: String },
    /// The client closed its connection.
    Left,
    /// The connection was never accepted.
    Unreached,
    /// Not a valid answer.
    Garbled(String),
}

/// One request as its client recorded it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub kind: Kind,
    /// When its last byte was written.
    pub sent: Instant,
    /// The deadline, counted from `sent`.
    pub timeout: Duration,
    /// Whether it was sent on an idle, established connection.
    pub reused: bool,
    /// The request was sent behind others, and the last of these had its answer then. Waiting for them does not count.
    pub next_since: Option<Instant>,
    /// When the client saw its connection established.
    pub connected_at: Option<Instant>,
    pub end: Option<(Instant, End)>,
}

/// One attempt as a node recorded it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub node: usize,
    /// When the node read the command.
    pub started_at: Instant,
    /// The remaining time that the command states.
    pub time_left: Duration,
}

/// A state of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Ready,
    Draining,
    Gone,
}

/// A line of the list that discovery sent, and when it was written.
#[derive(Clone, Copy, Debug)]
pub struct ListedLine {
    pub node: usize,
    pub listing: Listing,
    pub at: Instant,
}

/// Everything that the stand-ins recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub listed: Vec<ListedLine>,
    /// Requests for which a node has begun a long value on a connection that it reset.
    pub reset_values: HashSet<String>,
    /// When SIGTERM and SIGKILL were sent.
    pub terminated: Option<Instant>,
    pub killed: Option<Instant>,
    /// When the process was first found to have ended before SIGKILL.
    pub ended: Option<Instant>,
    /// The greatest delay of the stand-ins' own loop: an event may be older than recorded by this.
    pub standstill: Duration,
    /// Intervals in which the process was stopped.
    pub holds: Vec<(Instant, Instant)>,
    /// How long after the start of its drain a node may still receive new work.
    pub grace: Duration,
    /// How long a shard drops repeats of a write.
    pub window: Duration,
    /// Whether idle clients may use up the descriptors.
    pub crowded: bool,
    /// The greatest number of open descriptors observed, and the limit.
    pub descriptors: (usize, usize),
}

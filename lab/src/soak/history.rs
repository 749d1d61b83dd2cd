//! What clients, nodes and discovery saw, each written down by the stand-in that saw it. Nothing here comes from the
//! program's own counters.

use std::time::{Duration, Instant};

/// What an operation may do when it runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Harmless.
    Read,
    /// Repeats are dropped by its shard for a while.
    Write,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A value, or an answer that says no.
    Answered { served: bool },
    /// The connection ended with no whole answer.
    Closed,
    /// The client gave up, and closed its connection.
    Left,
    /// Nobody had accepted its connection: it was never taken.
    Unreached,
    /// Something else than an answer.
    Garbled(String),
}

/// One request as its client knows it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub kind: Kind,
    /// When its last byte was written.
    pub sent: Instant,
    /// How long its client waits.
    pub waits: Duration,
    /// It came on a connection that had rested.
    pub reused: bool,
    /// When its client saw that its connection is up.
    pub up: Option<Instant>,
    pub end: Option<(Instant, End)>,
}

/// One attempt as a node knows it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub node: usize,
    /// When its first byte was read.
    pub begun: Instant,
    /// The time that it was told is left.
    pub left: Duration,
}

/// What discovery told of a node, and when it had written it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Ready,
    Draining,
    Gone,
}

/// A line that was told.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub node: usize,
    pub listing: Listing,
    pub at: Instant,
}

/// Everything that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub told: Vec<Told>,
    /// When the process was asked to end, and when it was killed.
    pub terminated: Option<Instant>,
    pub killed: Option<Instant>,
    /// It had ended by itself by then; or it ended before it was asked to.
    pub ended: Option<Instant>,
    /// How late the stand-ins themselves were at most: what they saw may be as much older.
    pub standstill: Duration,
    /// Times in which the process was stopped.
    pub holds: Vec<(Instant, Instant)>,
    /// The longest that each node may have been told to drain before.
    pub grace: Duration,
    /// How long a shard drops repeats.
    pub window: Duration,
    pub crowded: bool,
    /// The most descriptors seen, and how many it may hold.
    pub descriptors: (usize, usize),
}

//! One client of a front.

use super::arrivals::ArrivalTimes;
use super::idle::IdlePosition;
use super::reading::ReadProgress;
use super::MAX_UNSENT_BYTES;
use crate::conn::Conn;
use crate::flow::WINDOW;
use crate::memory::{Budget, Grant, Purpose};
use std::time::Instant;

/// A long answer that is passed on while it is received.
pub(super) struct StreamedAnswer {
    /// The command that it answers.
    pub sequence: u64,
    pub memory: StreamMemory,
    /// All of it was received.
    pub finished: bool,
    /// It is passed on as it comes, also while other commands wait behind it.
    pub released: bool,
}

impl StreamedAnswer {
    /// Whether it can be held back until it is whole. One with a window can't: it is received only as far as it is
    /// passed on.
    pub fn may_be_held(&self) -> bool {
        matches!(self.memory, StreamMemory::Whole(_)) && !self.released
    }
}

/// Memory of a long answer on its way from a node to a client.
#[derive(Debug)]
pub enum StreamMemory {
    /// For all of it.
    Whole(Grant),
    /// For a part of it: it is received only as fast as the client reads.
    Window(Grant),
}

impl StreamMemory {
    /// Takes memory for an answer of `length` bytes, if possible for all of it.
    pub fn take(budget: &Budget, length: usize) -> Option<Self> {
        let whole = budget.grant(Purpose::LongValue, length).map(StreamMemory::Whole);
        whole.or_else(|| budget.grant(Purpose::Window, WINDOW).map(StreamMemory::Window))
    }

    /// Bytes that are granted.
    pub fn bytes(&self) -> usize {
        match self {
            StreamMemory::Whole(grant) | StreamMemory::Window(grant) => grant.bytes(),
        }
    }
}

/// A client's connection and the state that its protocol and the front keep for it.
pub(super) struct Client<S> {
    pub conn: Conn,
    pub session: S,
    /// When it connected, when it was last active, and when it last accepted output or had none to accept.
    pub connected_at: Instant,
    pub last_active: Instant,
    pub last_write_progress: Instant,
    /// How far it has read what was passed to the kernel, as far as that was asked for.
    pub reading: ReadProgress,
    /// Since when an incomplete command has made no progress.
    pub partial_since: Option<Instant>,
    /// Memory for its input, and for its answers less what is granted to long ones.
    pub input_memory: Grant,
    pub answer_memory: Grant,
    /// Streamed answers that are not finished or not sent yet.
    pub streams: Vec<StreamedAnswer>,
    /// The first byte of a streamed answer waits for the socket to accept it.
    pub stream_blocked: bool,
    /// It connected while the front was at capacity: its requests are declined.
    pub is_overflow: bool,
    /// Index of the endpoint that accepted it.
    pub endpoint: usize,
    /// Since when its new commands are declined because it has no slot, its endpoint is retired or load is shed.
    pub declined_since: Option<Instant>,
    /// Arrival times of its input.
    pub arrivals: ArrivalTimes,
    /// Reading is suspended; more input may wait in the kernel.
    pub paused: bool,
    /// It is not read on because there is no memory for its input.
    pub waits_for_memory: bool,
    /// It is in the backlog.
    pub queued: bool,
    /// Its position among the clients that may be evicted.
    pub idle_position: Option<IdlePosition>,
    /// Since when nothing more is read; it is closed once its output is sent.
    pub closing_since: Option<Instant>,
}

impl<S> Client<S> {
    /// A client that has just connected to an endpoint.
    pub fn new(
        conn: Conn,
        session: S,
        endpoint: usize,
        is_overflow: bool,
        budget: &Budget,
        now: Instant,
    ) -> Self {
        Client {
            conn,
            session,
            connected_at: now,
            last_active: now,
            last_write_progress: now,
            reading: ReadProgress::new(now),
            partial_since: None,
            input_memory: budget.hold(Purpose::Input, 0),
            answer_memory: budget.hold(Purpose::Request, 0),
            streams: Vec::new(),
            stream_blocked: false,
            is_overflow,
            endpoint,
            declined_since: None,
            arrivals: ArrivalTimes::default(),
            paused: false,
            waits_for_memory: false,
            queued: false,
            idle_position: None,
            closing_since: None,
        }
    }

    /// Bytes buffered for it when last counted, less those granted to long answers.
    pub fn buffered_bytes(&self) -> usize {
        self.input_memory.bytes() + self.answer_memory.bytes()
    }

    /// Whether input of it may have arrived that this side has not read, or not handled, for reasons of its own.
    pub fn waits_for_this_side(&self) -> bool {
        self.queued || self.waits_for_memory || self.conn.unwritten() > MAX_UNSENT_BYTES
    }

    /// Whether all output that may be written now was passed to the kernel.
    pub fn all_written(&self) -> bool {
        self.conn.unwritten() == 0 && !self.stream_blocked
    }
}

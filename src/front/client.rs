//! One client of a front.

use super::arrivals::Arrivals;
use super::idle::Place;
use crate::conn::Conn;
use crate::flow::Grant;
use std::time::Instant;

/// A client's connection, with what its wire remembers of it.
pub(super) struct Client<S> {
    pub conn: Conn,
    pub session: S,
    /// Since when it is connected, when something last happened, and when it last read or had nothing to read.
    pub since: Instant,
    pub used: Instant,
    pub read: Instant,
    /// Since when a command is begun that has not come any further.
    pub partial: Option<Instant>,
    /// Bytes kept for it, as counted last, less what was granted for long answers.
    pub kept: usize,
    /// Long answers that go on, and what was granted for those not read yet.
    pub streams: usize,
    pub grants: Vec<Grant>,
    /// It came when there was no room: what it asks for is declined.
    pub crowded: bool,
    /// The endpoint that it came in by.
    pub endpoint: usize,
    /// Since when it is told to come again because its endpoint is retired.
    pub sent_away: Option<Instant>,
    /// When what it has said came.
    pub arrivals: Arrivals,
    /// More input may wait in the kernel.
    pub paused: bool,
    /// It waits in the backlog.
    pub queued: bool,
    /// Its place among those that could be closed.
    pub idle: Option<Place>,
    /// Since when nothing more is read; it is closed once all is written.
    pub closing: Option<Instant>,
}

impl<S> Client<S> {
    /// One that has just connected at an endpoint.
    pub fn new(conn: Conn, session: S, endpoint: usize, crowded: bool, now: Instant) -> Self {
        Client {
            conn,
            session,
            since: now,
            used: now,
            read: now,
            partial: None,
            kept: 0,
            streams: 0,
            grants: Vec::new(),
            crowded,
            endpoint,
            sent_away: None,
            arrivals: Arrivals::default(),
            paused: false,
            queued: false,
            idle: None,
            closing: None,
        }
    }
}

//! A planner's part in handing revisions on: which initiator holds what, who is to be sent what, who is missing.

use super::{Acknowledgement, Revision, RevisionId, Update};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One connection of an initiator, by the server's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub usize);

/// What happens to the distributor.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An initiator has connected and said its name.
    Connected {
        /// Its connection.
        connection: ConnectionId,
        /// Its name.
        initiator: String,
    },
    /// A connection has ended.
    Disconnected(ConnectionId),
    /// An initiator wants to be sent revisions on this connection, and says what it holds.
    Subscribed {
        /// Its connection.
        connection: ConnectionId,
        /// What it holds.
        holds: RevisionId,
    },
    /// It no longer does.
    Unsubscribed(ConnectionId),
    /// An initiator says what became of a revision. It tells all planners that it is connected to.
    Acknowledged {
        /// Its connection.
        connection: ConnectionId,
        /// What it says.
        acknowledgement: Acknowledgement,
    },
    /// The planners have accepted a revision.
    Accepted(Revision),
    /// A timer is due.
    Tick,
}

/// What the distributor's owner is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an update to an initiator.
    Send {
        /// Its connection.
        connection: ConnectionId,
        /// What to send.
        update: Update,
    },
}

/// What is known of one initiator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InitiatorStatus {
    /// Its name.
    pub initiator: String,
    /// Whether it is connected to this planner.
    pub connected: bool,
    /// The revision that it last said is in force there.
    pub in_force: RevisionId,
    /// The revision that it refused since, and why.
    pub refused: Option<(RevisionId, String)>,
    /// How long ago it was last heard, in milliseconds; 0 while connected.
    pub silent_ms: u64,
}

/// Hands revisions on to the initiators that are connected to one planner.
#[derive(Default)]
pub struct Distributor {}

impl Distributor {
    /// Takes one event, at a time that only grows.
    pub fn handle(&mut self, _now: Duration, _event: Event, _actions: &mut Vec<Action>) {
        todo!()
    }

    /// When [`Event::Tick`] is due, if it is.
    pub fn next_timer(&self) -> Option<Duration> {
        todo!()
    }

    /// All initiators that are connected, or were within the last day; sorted by name.
    pub fn status(&self, _now: Duration) -> Vec<InitiatorStatus> {
        todo!()
    }
}

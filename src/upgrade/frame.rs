//! What two processes of one initiator say to each other. All of it is bounded by the length of a frame.

use crate::fleet::member::Identity;
use crate::nodes;
use crate::rules::carry;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What each side says first, with the schema behind it.
pub const MAGIC: [u8; 8] = *b"tpz-upgr";
/// Changes whenever a frame, or anything in one, gets another shape.
pub const SCHEMA: u16 = 2;
/// A frame is not longer.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;

/// What is listened at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Place {
    /// By clients.
    Resp(SocketAddr),
    /// By clients of the second front.
    Iscsi(SocketAddr),
    /// By operators.
    Control(SocketAddr),
}

/// What the process before has learned and promised.
#[derive(Default, Serialize, Deserialize)]
pub struct Carried {
    /// An operator has drained it.
    pub drained: bool,
    /// Nodes, and those that operators have taken out.
    pub nodes: nodes::SavedNodes,
    /// Version of the node list.
    pub list: Option<u64>,
    /// What its scheduler has learned, unless that is too much.
    pub scheduler: Option<carry::Carried>,
    /// Descriptors and bytes of memory that it holds.
    pub holds: (usize, usize),
    /// Its part in a fleet, where it has one: from here on it says nothing there.
    pub fleet: Option<Identity>,
}

/// One thing said.
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The newer process asks for the listeners.
    Ask,
    /// The older one gives them, a descriptor each.
    Listeners(Vec<Place>),
    /// The newer one is built up and takes over; whether it has the operators' listener too.
    Take {
        /// It has.
        door: bool,
    },
    /// Another process is taking over already.
    Refused,
    /// The older one takes no more clients.
    State(Box<Carried>),
    /// A client's connection, with what was read of it and not taken.
    Client(Vec<u8>),
    /// An operator has taken a target out at this Unix time, or called it back.
    Ban {
        /// The target.
        name: String,
        /// When.
        unix: Duration,
        /// Out, or back.
        out: bool,
    },
    /// Descriptors and bytes of memory that the older one still holds.
    Holds(usize, usize),
    /// This process ends in order: nothing is to be taken up for it.
    Ends,
}

impl Frame {
    /// Descriptors that come with it.
    pub fn descriptors(&self) -> usize {
        match self {
            Frame::Listeners(places) => places.len(),
            Frame::Client(_) => 1,
            _ => 0,
        }
    }
}

//! Frames exchanged between two processes of one initiator. The length of a frame bounds everything in it.

use crate::fleet::member::Identity;
use crate::front::{BufferedInput, SavedArrivals};
use crate::nodes;
use crate::rules::carry;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// First bytes sent by each side, followed by the schema.
pub const MAGIC: [u8; 8] = *b"tpz-upgr";
/// Has to change whenever a frame, or anything inside one, changes its encoding.
pub const SCHEMA: u16 = 2;
/// Maximum length of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The protocol and address of a listener that is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListenerAddress {
    /// RESP clients.
    Resp(SocketAddr),
    /// iSCSI clients.
    Iscsi(SocketAddr),
    /// Operators, at the admin endpoint.
    Control(SocketAddr),
}

/// What the predecessor has learned and promised.
#[derive(Default, Serialize, Deserialize)]
pub struct HandoverState {
    /// An operator has drained the predecessor.
    pub drained: bool,
    /// Nodes, and targets that operators have taken out of service.
    pub nodes: nodes::SavedNodes,
    /// Version of the node list.
    pub list: Option<u64>,
    /// The scheduler's learned state, unless it is too large.
    pub scheduler: Option<carry::Carried>,
    /// Descriptors and bytes of memory that the predecessor uses.
    #[serde(rename = "holds")]
    pub usage: (usize, usize),
    /// The predecessor's identity in the fleet, if it is a member; from here on it sends nothing there.
    pub fleet: Option<Identity>,
}

/// A message between two processes.
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The successor asks for the listeners.
    RequestListeners,
    /// The predecessor sends its listeners, with one descriptor each.
    Listeners(Vec<ListenerAddress>),
    /// The successor is ready and takes over.
    TakeOver {
        /// Whether it also uses the admin listener.
        admin: bool,
    },
    /// Another process is already taking over.
    Refused,
    /// The predecessor's state; it accepts no more clients.
    State(Box<HandoverState>),
    /// A client's connection, with input that was read but not processed. When it arrived follows the frame: versions that
    /// don't know that pass over it.
    Client(BufferedInput),
    /// An operator has taken a target out of service, or returned it to service.
    Ban {
        /// Name of the target.
        name: String,
        /// Unix time of the command.
        unix: Duration,
        /// Out of service if true, else returned to service.
        out: bool,
    },
    /// Descriptors and bytes of memory that the predecessor still uses.
    Usage(usize, usize),
    /// This process shuts down in order: its peer does not take its clients back.
    Closing,
}

impl Frame {
    /// Encodes the frame and what follows it.
    ///
    /// # Errors
    ///
    /// A value can't be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = postcard::to_stdvec(self)?;
        match self {
            Frame::Client(input) if input.arrivals != SavedArrivals::default() => {
                bytes.extend(postcard::to_stdvec(&input.arrivals)?);
            }
            _ => {}
        }
        Ok(bytes)
    }

    /// Decodes a frame and what follows it, if this version knows that.
    ///
    /// # Errors
    ///
    /// The bytes are no frame.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Frame> {
        let (mut frame, rest) = postcard::take_from_bytes(bytes)?;
        if let Frame::Client(input) = &mut frame {
            if !rest.is_empty() {
                input.arrivals = postcard::from_bytes(rest)?;
            }
        }
        Ok(frame)
    }

    /// Number of descriptors that accompany the frame.
    pub fn descriptors(&self) -> usize {
        match self {
            Frame::Listeners(addresses) => addresses.len(),
            Frame::Client(_) => 1,
            _ => 0,
        }
    }
}

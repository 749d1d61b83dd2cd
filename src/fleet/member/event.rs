//! What happens to a member, and what it wants done.

use crate::fleet::frame::Frame;
use std::net::SocketAddr;
use std::time::Duration;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// A datagram, and where it came from.
    Frame(Box<Frame>, SocketAddr),
    /// Time went on.
    Wake,
    /// Its process was kept from its work for so long.
    Delayed(Duration),
    /// It is to leave.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A datagram goes out.
    Send(SocketAddr, Frame),
    /// Something changed: of whom, what, and by what evidence.
    Note {
        /// Of whom.
        name: String,
        /// What.
        what: &'static str,
        /// Why it is held to be so.
        evidence: String,
    },
}

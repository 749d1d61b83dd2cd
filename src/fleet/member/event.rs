//! Events that a member handles, and actions that it returns.

use crate::fleet::frame::Frame;
use std::net::SocketAddr;
use std::time::Duration;

/// An event that a member handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A datagram was received, from this source address.
    Frame(Box<Frame>, SocketAddr),
    /// A timer is due.
    Wake,
    /// The process was delayed by this much: stopped, or without processor time.
    Delayed(Duration),
    /// The member is to leave the fleet.
    Leave,
}

/// An action to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this frame to this address.
    Send(SocketAddr, Frame),
    /// Log a change of the fleet's state.
    Note {
        /// The member, or the view, that changed.
        name: String,
        /// Its new state.
        what: &'static str,
        /// The observation behind it.
        evidence: String,
    },
}

//! Messages between members over UDP: one frame per datagram, encoded with postcard after a version byte and the tag of
//! the fleet. The length of a datagram bounds every received value; an invalid datagram is dropped as a whole.

use super::update::{Generation, Update, MAX_NAME_BYTES};
use super::view::{Ballot, Change, ViewEntry, ViewId, ViewMember, MAX_CHANGES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of this encoding, the first byte of each datagram.
pub const VERSION: u8 = 1;
/// Maximum length of a datagram: short enough to pass most network paths without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes of a datagram that piggybacked updates may occupy.
pub const MAX_UPDATE_BYTES: usize = 900;
/// Maximum number of updates accepted in one datagram.
const MAX_UPDATES: usize = 64;
/// Maximum number of view entries in one datagram.
pub const ENTRIES_PER_PAGE: usize = 16;

/// The message of a frame, without the piggybacked updates. Variants are encoded by position: keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probes the receiver, which answers with an `Ack` of the same number.
    Ping(u32),
    /// Answers a `Ping` (or, with number 0, a `Join`).
    Ack(u32),
    /// Asks a helper to probe another member (ping-req in SWIM); answered by an `IndirectResult` in either case.
    IndirectProbe {
        /// Number of this request, repeated in the answer.
        number: u32,
        /// The member to probe.
        name: String,
        /// Its address.
        address: SocketAddr,
    },
    /// The outcome of an indirect probe.
    IndirectResult {
        /// The number of the request.
        number: u32,
        /// Whether the probed member answered the helper in time.
        reachable: bool,
    },
    /// The sender asks to join; its own update is piggybacked.
    Join,
    /// Answers a `Join`: this generation already uses the receiver's name.
    NameTaken(Generation),
    /// Asks for one page of the receiver's view, by number from 0.
    Fetch(u16),
    /// A page of the sender's view.
    Page {
        /// Number of the page, from 0.
        page: u16,
        /// Number of pages in all.
        pages: u16,
        /// Its entries.
        entries: Vec<ViewEntry>,
    },
    /// Paxos phase 1a: asks the members of the sender's view for their promises on the next view, and names the members
    /// that the proposer would remove.
    Prepare {
        /// The proposer's number.
        ballot: Ballot,
        /// Members to remove. A member that does not also suspect one of them objects.
        leaves: Vec<String>,
    },
    /// Paxos phase 1b: the sender accepts no lower ballot from now on.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The change that the sender has accepted at a lower ballot, if any.
        accepted: Option<(Ballot, Change)>,
        /// Members to remove whose removal the sender objects to.
        objections: Vec<String>,
    },
    /// Paxos phase 2a: asks the members of the sender's view to accept this change.
    Propose {
        /// The ballot.
        ballot: Ballot,
        /// What changes.
        change: Change,
    },
    /// Paxos phase 2b: the sender has accepted the change proposed at this ballot.
    Accepted(Ballot),
    /// The change was accepted by a majority and makes the view that follows `after`.
    Decided {
        /// The preceding view.
        after: ViewId,
        /// What changes.
        change: Change,
    },
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Name of the sender.
    pub from: String,
    /// Generation of the sender.
    pub generation: Generation,
    /// The latest view that the sender has installed.
    pub view: ViewId,
    /// The message.
    pub message: Message,
    /// Piggybacked updates about the sender and others.
    pub updates: Vec<Update>,
}

/// The tag that identifies a fleet in each datagram: datagrams of another fleet on the same port are dropped.
pub fn tag(fleet: &str) -> u64 {
    // FNV-1a: distinguishes fleets; it is not meant to authenticate them.
    fleet
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

impl Frame {
    /// Encodes the frame for the fleet with this tag.
    pub fn write(&self, tag: u64) -> Vec<u8> {
        // postcard fails only on sequences of unknown length, and a frame has none.
        postcard::to_stdvec(&(VERSION, tag, self)).unwrap_or_default()
    }

    /// Decodes and validates a datagram of the fleet with this tag; the error says why it is not valid.
    pub fn read(bytes: &[u8], tag: u64) -> Result<Frame, &'static str> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err("too long");
        }
        if bytes.first() != Some(&VERSION) {
            return Err("another version");
        }
        let ((_, fleet, frame), rest): ((u8, u64, Frame), _) =
            postcard::take_from_bytes(bytes).map_err(|_| "not readable")?;
        match () {
            () if !rest.is_empty() => Err("more than a frame"),
            () if fleet != tag => Err("another fleet"),
            () if !frame.is_valid() => Err("out of bounds"),
            () => Ok(frame),
        }
    }

    fn is_valid(&self) -> bool {
        let valid_name = |name: &String| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let valid_member = |member: &ViewMember| valid_name(&member.name) && member.address.port() != 0;
        let valid_entry = |entry: &ViewEntry| match entry {
            ViewEntry::Member(it) => valid_member(it),
            ViewEntry::Ended(name, _) => valid_name(name),
        };
        let valid_change = |change: &Change| {
            change.joins.len() + change.leaves.len() <= MAX_CHANGES
                && change.joins.iter().all(valid_member)
                && change.leaves.iter().all(valid_name)
        };
        let message = match &self.message {
            Message::IndirectProbe { name, address, .. } => valid_name(name) && address.port() != 0,
            Message::Page { page, pages, entries } => {
                page < pages && entries.len() <= ENTRIES_PER_PAGE && entries.iter().all(valid_entry)
            }
            Message::Prepare { leaves, ballot } => {
                leaves.len() <= MAX_CHANGES && leaves.iter().all(valid_name) && valid_name(&ballot.by)
            }
            Message::Promise { accepted, objections, ballot } => {
                let accepted = accepted.as_ref();
                objections.len() <= MAX_CHANGES
                    && objections.iter().all(valid_name)
                    && valid_name(&ballot.by)
                    && accepted.is_none_or(|(at, change)| valid_name(&at.by) && valid_change(change))
            }
            Message::Propose { ballot, change } => valid_name(&ballot.by) && valid_change(change),
            Message::Decided { change, .. } => valid_change(change),
            Message::Accepted(ballot) => valid_name(&ballot.by),
            Message::Ping(_) | Message::Ack(_) | Message::IndirectResult { .. } => true,
            Message::Join | Message::NameTaken(_) | Message::Fetch(_) => true,
        };
        valid_name(&self.from)
            && message
            && self.updates.len() <= MAX_UPDATES
            && self.updates.iter().all(Update::is_valid)
    }
}

#[cfg(test)]
mod tests;

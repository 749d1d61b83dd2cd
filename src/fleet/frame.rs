//! Messages between members over UDP: a frame a datagram, in postcard's form, with a version and the fleet's tag in
//! front. Whatever comes is bounded by the length of a datagram, and is dropped whole where it is not valid.

use super::update::{Generation, Update, MAX_NAME_BYTES};
use super::view::{Ballot, Change, ViewEntry, ViewId, ViewMember, MAX_CHANGES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of this form.
pub const VERSION: u8 = 1;
/// A datagram is not longer: it passes most paths in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes of a datagram that updates may take up.
pub const MAX_UPDATE_BYTES: usize = 900;
/// Updates that one datagram can hold at all.
const MAX_UPDATES: usize = 64;
/// Entries of a view in one datagram.
pub const ENTRIES_PER_PAGE: usize = 16;

/// The message of a frame, besides the updates that are piggybacked on it. The order of the variants is the wire's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe; answered by an `Ack` of the same number.
    Ping(u32),
    /// The answer to a probe.
    Ack(u32),
    /// Asks a helper to probe another member; answered by an `IndirectResult` either way.
    IndirectProbe {
        /// Comes back with the answer.
        number: u32,
        /// The member to be probed.
        name: String,
        /// Its address.
        address: SocketAddr,
    },
    /// What came of an indirect probe.
    IndirectResult {
        /// The number of the request.
        number: u32,
        /// It answered.
        reachable: bool,
    },
    /// The sender asks to be taken in; its update goes along.
    Join,
    /// The receiver's name is held by this generation.
    NameTaken(Generation),
    /// Asks for a page of the view that the receiver has.
    Fetch(u16),
    /// A page of the sender's view.
    Page {
        /// Its number, from 0.
        page: u16,
        /// How many there are.
        pages: u16,
        /// Its entries.
        entries: Vec<ViewEntry>,
    },
    /// Asks the members of the sender's view for their votes on the next one, and names whom it is to remove.
    Prepare {
        /// The proposer's number.
        ballot: Ballot,
        /// Members that are to go. Whoever can still reach one objects.
        leaves: Vec<String>,
    },
    /// A vote: no lower ballot gets one any more.
    Promise {
        /// The ballot that is promised.
        ballot: Ballot,
        /// What was accepted at a lower one.
        accepted: Option<(Ballot, Change)>,
        /// Members that are to go and that answer here.
        objections: Vec<String>,
    },
    /// The next view is to be this one.
    Propose {
        /// The ballot.
        ballot: Ballot,
        /// What changes.
        change: Change,
    },
    /// It is accepted here.
    Accepted(Ballot),
    /// It was accepted by most: it is the next view after the one it names.
    Decided {
        /// The view before.
        after: ViewId,
        /// What changes.
        change: Change,
    },
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: String,
    /// Its generation.
    pub generation: Generation,
    /// The view that it has.
    pub view: ViewId,
    /// The message.
    pub message: Message,
    /// Piggybacked updates about the sender and others.
    pub updates: Vec<Update>,
}

/// Names a fleet in each datagram: datagrams of another fleet on the same port are dropped.
pub fn tag(fleet: &str) -> u64 {
    // FNV-1a: it distinguishes fleets, and keeps no secrets.
    fleet
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

impl Frame {
    /// As bytes, for a fleet of this tag.
    pub fn write(&self, tag: u64) -> Vec<u8> {
        // Only maps of unknown length cannot be put in this form, and there are none.
        postcard::to_stdvec(&(VERSION, tag, self)).unwrap_or_default()
    }

    /// Reads a datagram; an error says what is wrong with it.
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
        let named = |name: &String| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let listed = |listed: &ViewMember| named(&listed.name) && listed.address.port() != 0;
        let entry = |entry: &ViewEntry| match entry {
            ViewEntry::Member(it) => listed(it),
            ViewEntry::Ended(name, _) => named(name),
        };
        let changes = |change: &Change| {
            change.joins.len() + change.leaves.len() <= MAX_CHANGES
                && change.joins.iter().all(listed)
                && change.leaves.iter().all(named)
        };
        let message = match &self.message {
            Message::IndirectProbe { name, address, .. } => named(name) && address.port() != 0,
            Message::Page { page, pages, entries } => {
                page < pages && entries.len() <= ENTRIES_PER_PAGE && entries.iter().all(entry)
            }
            Message::Prepare { leaves, ballot } => {
                leaves.len() <= MAX_CHANGES && leaves.iter().all(named) && named(&ballot.by)
            }
            Message::Promise { accepted, objections, ballot } => {
                let accepted = accepted.as_ref();
                objections.len() <= MAX_CHANGES
                    && objections.iter().all(named)
                    && named(&ballot.by)
                    && accepted.is_none_or(|(at, change)| named(&at.by) && changes(change))
            }
            Message::Propose { ballot, change } => named(&ballot.by) && changes(change),
            Message::Decided { change, .. } => changes(change),
            Message::Accepted(ballot) => named(&ballot.by),
            Message::Ping(_) | Message::Ack(_) | Message::IndirectResult { .. } => true,
            Message::Join | Message::NameTaken(_) | Message::Fetch(_) => true,
        };
        named(&self.from)
            && message
            && self.updates.len() <= MAX_UPDATES
            && self.updates.iter().all(Update::is_valid)
    }
}

#[cfg(test)]
mod tests;

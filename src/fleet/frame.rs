//! What members say to each other over UDP: a frame a datagram, in postcard's form, with a version and the fleet's name
//! in front. Whatever comes is bounded by the length of a datagram, and is passed over whole where it is not sound.

use super::life::{Life, Rumor, LONGEST_NAME};
use super::view::{Ballot, Change, Entry, Line, ViewId, MOST_CHANGES};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The form that is spoken here.
pub const VERSION: u8 = 1;
/// A datagram is not longer: it passes most paths in one piece.
pub const MOST_BYTES: usize = 1400;
/// Bytes of a datagram that rumors may take up.
pub const RUMOR_BYTES: usize = 900;
/// Rumors that one datagram can hold at all.
const MOST_RUMORS: usize = 64;
/// Lines of a view in one datagram.
pub const PAGE: usize = 16;

/// What is said, besides the rumors that go along.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// Are you there? Answered with the same number.
    Ping(u32),
    /// Yes.
    Ack(u32),
    /// Please look whether this one is there; answered by a `Found` either way.
    Look {
        /// Comes back with the answer.
        number: u32,
        /// Who is looked for.
        name: String,
        /// Where.
        address: SocketAddr,
    },
    /// Whether it was.
    Found {
        /// As asked.
        number: u32,
        /// It answered.
        there: bool,
    },
    /// The sender asks to be taken in; its rumor goes along.
    Join,
    /// The sender's name is another life's, which began here.
    Taken(Life),
    /// Asks for a page of the view that the receiver has.
    Fetch(u16),
    /// A page of the sender's view.
    Page {
        /// Which.
        page: u16,
        /// How many there are.
        pages: u16,
        /// Its lines.
        lines: Vec<Entry>,
    },
    /// Asks whoever is in the sender's view for its vote on the next one, and says what it is to change.
    Prepare {
        /// The proposer's number.
        ballot: Ballot,
        /// Members that are to go. Who can still reach one says so.
        leaves: Vec<String>,
    },
    /// A vote: no lower ballot gets one any more.
    Promise {
        /// The ballot that is promised.
        ballot: Ballot,
        /// What was accepted at a lower one.
        accepted: Option<(Ballot, Change)>,
        /// Members that are to go and that answer here.
        objects: Vec<String>,
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
    /// Who says it.
    pub from: String,
    /// In which life.
    pub life: Life,
    /// The view that it has.
    pub view: ViewId,
    /// What it says.
    pub word: Word,
    /// What it has heard of others, and says of itself.
    pub rumors: Vec<Rumor>,
}

/// Names a fleet in each datagram: another fleet's members on the same port are not heard.
pub fn tag(fleet: &str) -> u64 {
    // FNV-1a: it tells fleets apart, and keeps no secrets.
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
        if bytes.len() > MOST_BYTES {
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
            () if !frame.is_sound() => Err("out of bounds"),
            () => Ok(frame),
        }
    }

    fn is_sound(&self) -> bool {
        let named = |name: &String| !name.is_empty() && name.len() <= LONGEST_NAME;
        let line = |line: &Line| named(&line.name) && line.address.port() != 0;
        let entry = |entry: &Entry| match entry {
            Entry::There(it) => line(it),
            Entry::Over(name, _) => named(name),
        };
        let changes = |change: &Change| {
            change.joins.len() + change.leaves.len() <= MOST_CHANGES
                && change.joins.iter().all(line)
                && change.leaves.iter().all(named)
        };
        let word = match &self.word {
            Word::Look { name, address, .. } => named(name) && address.port() != 0,
            Word::Page { page, pages, lines } => {
                page < pages && lines.len() <= PAGE && lines.iter().all(entry)
            }
            Word::Prepare { leaves, ballot } => {
                leaves.len() <= MOST_CHANGES && leaves.iter().all(named) && named(&ballot.by)
            }
            Word::Promise { accepted, objects, ballot } => {
                let accepted = accepted.as_ref();
                objects.len() <= MOST_CHANGES
                    && objects.iter().all(named)
                    && named(&ballot.by)
                    && accepted.is_none_or(|(at, change)| named(&at.by) && changes(change))
            }
            Word::Propose { ballot, change } => named(&ballot.by) && changes(change),
            Word::Decided { change, .. } => changes(change),
            Word::Accepted(ballot) => named(&ballot.by),
            Word::Ping(_) | Word::Ack(_) | Word::Found { .. } => true,
            Word::Join | Word::Taken(_) | Word::Fetch(_) => true,
        };
        named(&self.from)
            && word
            && self.rumors.len() <= MOST_RUMORS
            && self.rumors.iter().all(Rumor::is_sound)
    }
}

#[cfg(test)]
mod tests;

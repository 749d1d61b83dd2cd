//! What a front needs of the wire that its clients speak, and how a wire's requests come into the core.

use super::arrivals::Arrivals;
use crate::clock::Clock;
use crate::core::{Answer, Content, Core, Origin};
use crate::interface::{NewRequest, RequestId};
use std::time::Duration;

/// The answer goes out this long before the client stops waiting. Guards against a busy machine on either side.
const MARGIN: Duration = Duration::from_millis(10);

/// What is spoken on a client's connection. It does no I/O.
pub trait Protocol {
    /// What is remembered of one connection.
    type Session;

    /// What is remembered of a connection that has just been made.
    fn session(&self) -> Self::Session;

    /// Takes one command off the input and writes what can be answered now: the bytes it took up, or 0 while it
    /// is not whole or the session takes nothing more for now. An error ends what the client has open and closes
    /// the connection once what was written is out.
    fn take(
        &self,
        session: &mut Self::Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, Closing>;

    /// Writes the final answer of the command at a place.
    fn answer(&self, session: &mut Self::Session, place: u64, answer: Answer, output: &mut Vec<u8>);

    /// Begins a long answer of so many bytes.
    fn begin(&self, _: &mut Self::Session, _place: u64, _length: usize, _output: &mut Vec<u8>) {}

    /// Goes on with it.
    fn piece(&self, _: &mut Self::Session, _place: u64, _piece: &[u8], _output: &mut Vec<u8>) {}

    /// Ends it.
    fn finish(&self, _: &mut Self::Session, _place: u64, _output: &mut Vec<u8>) {}

    /// Bytes of answers that wait for those before them.
    fn kept_back(&self, _: &Self::Session) -> usize {
        0
    }

    /// Whether a command has come of which the rest is still to come.
    fn is_receiving(&self, _: &Self::Session) -> bool {
        false
    }

    /// Commands that wait for their answers.
    fn open(&self, session: &Self::Session) -> Vec<RequestId>;

    /// Whether the client has ever said what it came for.
    fn has_asked(&self, session: &Self::Session) -> bool;

    /// Whether the client has ever made a request: others only look whether this process is there.
    fn has_requested(&self, session: &Self::Session) -> bool {
        self.has_asked(session)
    }

    /// Whether the session waits for answers before it takes more.
    fn is_full(&self, _: &Self::Session) -> bool {
        false
    }

    /// Whether the connection may be closed without anything being lost.
    fn is_idle(&self, session: &Self::Session) -> bool;

    /// Whether an idle connection may have to make room for a new one.
    fn makes_room(&self, session: &Self::Session) -> bool {
        self.is_idle(session)
    }
}

/// The connection is to be closed once what was written is out.
pub struct Closing;

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Declined {
    /// There is no room; it may come again.
    Full,
    /// The address is another machine's; there it may come at once.
    Elsewhere,
    /// Its id is that of an open request.
    IdInUse,
    /// Too much of its client's time had passed when it was read.
    Late,
}

/// Takes requests into the core for one connection.
pub struct Intake<'a> {
    /// Where requests go.
    pub core: &'a mut Core,
    pub(super) conn: usize,
    pub(super) now: Duration,
    /// When what is taken came.
    pub(super) arrivals: &'a Arrivals,
    pub(super) clock: Clock,
    /// Bytes that were taken before this command.
    pub(super) at: usize,
    /// Why nothing is taken now: bodies held are at their limit, the connection is one too many, or the address
    /// that it came by is another machine's.
    pub(super) declines: Option<Declined>,
    /// Whether this process takes clients, for those that ask.
    pub yes: bool,
}

impl Intake<'_> {
    /// When the last byte of a command came that takes up so many bytes.
    fn came(&self, length: usize) -> Duration {
        self.arrivals.of(self.at + length).map_or(self.now, |came| self.clock.unix(came)).min(self.now)
    }

    /// Takes a request of `length` bytes, whose client waits for `patience` from its last byte on. Guards against running
    /// out of memory and of descriptors: it is declined while what is held for clients, or their number, takes up its
    /// part. Guards others against what comes to nothing: one that has waited here for half of its time is declined.
    ///
    /// # Errors
    ///
    /// Why it was declined; nothing of it is kept then.
    pub fn take(
        &mut self,
        (sequence, length): (u64, usize),
        mut new: NewRequest,
        patience: Duration,
        content: Content,
    ) -> Result<RequestId, Declined> {
        if let Some(why) = self.declines {
            return Err(why);
        }
        let came = self.came(length);
        if self.now - came > patience / 2 {
            self.core.counters.requests_read_late += 1;
            tracing::debug!(id = content.id, waited = ?(self.now - came), "declined: read too late");
            return Err(Declined::Late);
        }
        new.deadline = came + patience.saturating_sub(MARGIN).max(Duration::from_millis(1));
        let origin = Origin { conn: self.conn, sequence };
        self.core.accept(origin, new, content).ok_or(Declined::IdInUse)
    }

    /// The last byte of a request's body has come, the last of `length`, and its client waits for `patience` from then on.
    pub fn body_came(&mut self, request: RequestId, length: usize, patience: Duration) {
        self.core.body_complete(request, self.came(length) + patience.saturating_sub(MARGIN));
    }
}

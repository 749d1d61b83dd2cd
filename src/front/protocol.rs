//! The interface between a front and the protocol of its clients, and the submission of their requests to the
//! core.

use super::arrivals::ArrivalTimes;
use super::shedding::NewCommands;
use super::MAX_INPUT_BYTES;
use crate::clock::Clock;
use crate::core::{Answer, Content, Core, Origin};
use crate::interface::{NewRequest, RequestId};
use std::time::Duration;

/// An answer is sent this long before the client's deadline, as a reserve for delays on either side.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// A protocol that clients speak. It does no I/O.
pub trait Protocol {
    /// State of one connection.
    type Session;

    /// State of a new connection.
    fn new_session(&self) -> Self::Session;

    /// Consumes one command from the input and writes the answer if it is known already. Returns the number of
    /// bytes consumed, or 0 if the command is incomplete or the session takes no more for now. On an error the
    /// open requests are ended, and the connection is closed once its output is sent.
    fn handle_command(
        &self,
        session: &mut Self::Session,
        input: &[u8],
        output: &mut Vec<u8>,
        intake: &mut Intake,
    ) -> Result<usize, CloseConnection>;

    /// Writes the final answer to command number `sequence` of the connection.
    fn write_answer(&self, session: &mut Self::Session, sequence: u64, answer: Answer, output: &mut Vec<u8>);

    /// Begins a streamed answer of `_length` bytes to command number `_sequence`. It is written by way of
    /// [`Protocol::unfinished_answer`] until it is finished.
    fn begin_answer(&self, _: &mut Self::Session, _sequence: u64, _length: usize) {}

    /// Adds the next piece of a streamed answer.
    fn add_piece(&self, _: &mut Self::Session, _sequence: u64, _piece: &[u8]) {}

    /// Ends a streamed answer, and writes what has become ready.
    fn finish_answer(&self, _: &mut Self::Session, _sequence: u64, _output: &mut Vec<u8>) {}

    /// Drops a streamed answer of which nothing was passed on. Its command gets another answer.
    fn discard_answer(&self, _: &mut Self::Session, _sequence: u64) {}

    /// The next answer in order, if it is a streamed one that is not finished.
    fn unfinished_answer<'a>(&self, _: &'a mut Self::Session) -> Option<UnfinishedAnswer<'a>> {
        None
    }

    /// Whether the answer to command number `_sequence` is not written yet, because it or an earlier one is incomplete.
    fn is_unanswered(&self, _: &Self::Session, _sequence: u64) -> bool {
        false
    }

    /// Bytes of answers that are held back until earlier commands are answered.
    fn buffered_answer_bytes(&self, _: &Self::Session) -> usize {
        0
    }

    /// Those of them that leave before the answer to command number `_sequence` or are a part of it.
    fn buffered_bytes_through(&self, _: &Self::Session, _sequence: u64) -> usize {
        0
    }

    /// Most bytes of unparsed input that the session can use now.
    fn max_input(&self, _: &Self::Session) -> usize {
        MAX_INPUT_BYTES
    }

    /// Bytes of input for which the session has taken memory already: the missing data of commands that it has begun.
    fn granted_input(&self, _: &Self::Session) -> usize {
        0
    }

    /// Drops commands whose rest is not received any more, and writes their answers.
    fn abandon_unfinished(&self, session: &mut Self::Session, reason: Abandoned, output: &mut Vec<u8>);

    /// Whether the client has stopped within commands that were begun, by these limits. A protocol whose commands arrive
    /// in one piece leaves that to the front, which sees an incomplete command in the input.
    fn is_stalled(&self, _: &Self::Session, _limits: &StallLimits) -> bool {
        false
    }

    /// Whether the head of a command was taken and its body is still being received.
    fn is_receiving_body(&self, _: &Self::Session) -> bool {
        false
    }

    /// Requests that are not answered yet.
    fn open_requests(&self, session: &Self::Session) -> Vec<RequestId>;

    /// Whether the client has sent any command (RESP2) or logged in (iSCSI).
    fn has_sent_command(&self, session: &Self::Session) -> bool;

    /// Whether the client has sent any request; other clients only check that the process is up.
    fn has_sent_request(&self, session: &Self::Session) -> bool {
        self.has_sent_command(session)
    }

    /// Whether the session waits for answers, or for capacity, before it takes more input.
    fn is_blocked(&self, _: &Self::Session) -> bool {
        false
    }

    /// Whether any command has no answer yet.
    fn has_unanswered(&self, session: &Self::Session) -> bool {
        !self.is_idle(session)
    }

    /// Whether the connection can be closed without losing anything.
    fn is_idle(&self, session: &Self::Session) -> bool;

    /// Whether an idle connection may be evicted for a new one.
    fn is_evictable(&self, session: &Self::Session) -> bool {
        self.is_idle(session)
    }
}

/// A streamed answer that may be passed on to its client as far as it was received.
pub struct UnfinishedAnswer<'a> {
    /// The request that it answers, and the sequence number of its command.
    pub request: RequestId,
    pub sequence: u64,
    /// Whether further commands wait for their answers behind it.
    pub has_successors: bool,
    /// Bytes that were received and not passed on yet.
    pub bytes: &'a mut Vec<u8>,
    /// Whether a part of it was passed on.
    pub begun: &'a mut bool,
}

/// The connection is to be closed once its output is sent.
pub struct CloseConnection;

/// Why a request was declined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Declined {
    /// The limits are reached; the client may retry later.
    AtCapacity,
    /// Another machine holds the address; the client may retry there at once.
    AddressMoved,
    /// The process takes no new work on this connection; the client may retry on another one.
    Draining,
    /// The id is that of an open request.
    IdInUse,
    /// Too much of the time to the deadline had passed when the request was read.
    Late,
}

/// Why the rest of a command is not received any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Abandoned {
    /// The client has stopped in the middle of it, or has sent something that can't be understood.
    ByClient,
    /// The process ends.
    Ending,
}

/// Limits for a client that is in the middle of commands, in Unix time.
pub struct StallLimits {
    /// Some of their data has to have arrived since.
    pub data_since: Duration,
    /// One of them has to have become whole since.
    pub whole_since: Duration,
}

/// Submits the requests of one connection to the core.
pub struct Intake<'a> {
    /// The core, which takes the requests.
    pub core: &'a mut Core,
    pub(super) conn: usize,
    pub(super) now: Duration,
    /// Arrival times of the input.
    pub(super) arrivals: &'a ArrivalTimes,
    pub(super) clock: Clock,
    /// Bytes consumed before this command.
    pub(super) offset: usize,
    /// Set if all requests are declined at the moment: request bodies are at their memory limit, the connection
    /// is over the client limit, or another machine holds the address that the client connected to.
    pub(super) decline: Option<Declined>,
    /// What happens to commands that begin now.
    pub(super) new_commands: NewCommands,
    /// Whether nothing that had arrived is left with the kernel.
    pub drained: bool,
    /// Whether the process is in service, as reported to health checks.
    pub ready: bool,
}

impl Intake<'_> {
    /// When the last byte of a command of `length` bytes arrived.
    pub fn arrival_of_command(&self, length: usize) -> Duration {
        self.arrivals
            .arrival_of(self.offset + length)
            .map_or(self.now, |arrival| self.clock.unix(arrival))
            .min(self.now)
    }

    /// Why a command of `length` bytes that begins now is declined, if it is. Commands that were begun earlier are completed
    /// without asking again.
    pub fn decline_new(&mut self, length: usize) -> Option<Declined> {
        if self.decline.is_some() {
            return self.decline;
        }
        let NewCommands::DeclineFrom(since) = self.new_commands else { return None };
        if self.arrival_of_command(length) < self.clock.unix(since) {
            return None;
        }
        self.core.counters.requests_declined_draining += 1;
        Some(Declined::Draining)
    }

    /// Submits a request of `length` bytes whose client waits for `timeout` from its last byte on.
    ///
    /// Declines it while the memory or the number of clients is at its limit, and if half of its time has
    /// passed unread: it would probably miss its deadline, at the cost of other requests.
    ///
    /// # Errors
    ///
    /// Why the request was declined. Nothing of it is kept in that case.
    pub fn submit(
        &mut self,
        (sequence, length): (u64, usize),
        mut new: NewRequest,
        timeout: Duration,
        content: Content,
    ) -> Result<RequestId, Declined> {
        if let Some(reason) = self.decline {
            return Err(reason);
        }
        let arrival = self.arrival_of_command(length);
        if self.now - arrival > timeout / 2 {
            self.core.counters.requests_read_late += 1;
            tracing::debug!(id = content.id, waited = ?(self.now - arrival), "declined: read too late");
            return Err(Declined::Late);
        }
        new.deadline = arrival + timeout.saturating_sub(ANSWER_MARGIN).max(Duration::from_millis(1));
        let origin = Origin { conn: self.conn, sequence };
        self.core.accept(origin, new, content).ok_or(Declined::IdInUse)
    }

    /// Submits a request whose body is still arriving, in at most `longest` more. Its client waits for `timeout` from its
    /// last byte on, which may have arrived unread at `last_byte`: [`Intake::last_byte_at`] changes that.
    ///
    /// # Errors
    ///
    /// As for [`Intake::submit`].
    pub fn submit_unfinished(
        &mut self,
        command: (u64, usize),
        new: NewRequest,
        (timeout, longest): (Duration, Duration),
        last_byte: Duration,
        content: Content,
    ) -> Result<RequestId, Declined> {
        let request = self.submit(command, new, timeout + longest, content)?;
        self.last_byte_at(request, last_byte, timeout);
        Ok(request)
    }

    /// The last byte of a request's body arrived at this time, or not before it; the client waits for `timeout` from then
    /// on.
    pub fn last_byte_at(&mut self, request: RequestId, arrival: Duration, timeout: Duration) {
        self.core.set_deadline(request, arrival + timeout.saturating_sub(ANSWER_MARGIN));
    }
}

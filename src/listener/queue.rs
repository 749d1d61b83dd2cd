//! What is known of an accept queue: since when connections may wait there, how long it was, and whether it ran over.
//! No I/O and no clock.

use crate::tcp_info::{TcpInfo, TICK};
use std::time::{Duration, Instant};

/// Handshakes that take longer than this were held up where the queue has run over.
const ROUND_TRIP: Duration = Duration::from_millis(20);
/// How long clients whose handshakes were dropped may take to come through: their fourth try is after 3 s.
const OVERFLOW_MEMORY: Duration = Duration::from_secs(4);
/// The first time-out of a handshake's answer; each further one is twice as long (RFC 6298).
const FIRST_TIMEOUT: Duration = Duration::from_secs(1);
/// How often an overflow is logged at most.
const LOG_EVERY: Duration = Duration::from_secs(1);

/// Figures of an accept queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueFigures {
    /// Connections in it now.
    pub length: u32,
    /// Connections that the system lets wait there.
    pub limit: u32,
    /// The greatest length that was seen.
    pub longest: u32,
    /// Segments of handshakes that were dropped since the listener was opened.
    pub drops: u32,
}

/// What is known of one accept queue.
#[derive(Debug)]
pub(super) struct AcceptQueue {
    /// Since when connections may have waited: none while it is empty, as far as known.
    pending: Option<Since>,
    limit: u32,
    longest: u32,
    drops: u32,
    /// When handshakes were last seen to have been dropped.
    overflowed: Option<Instant>,
    logged: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Since {
    Known(Instant),
    Unknown,
}

impl AcceptQueue {
    /// A queue that is not known to be empty; nothing came to it before `since`, where that is known.
    pub fn new(since: Option<Instant>) -> Self {
        let pending = Some(since.map_or(Since::Unknown, Since::Known));
        AcceptQueue { pending, limit: 0, longest: 0, drops: 0, overflowed: None, logged: None }
    }

    /// Connections may be pending, for as long as since then.
    pub fn ready(&mut self, since: Instant) {
        self.pending.get_or_insert(Since::Known(since));
    }

    /// It is not known how long what is in the queue has waited.
    pub fn forget_age(&mut self) {
        self.pending = Some(Since::Unknown);
    }

    /// The queue was found empty.
    pub fn emptied(&mut self) {
        self.pending = None;
    }

    /// What the kernel tells of the listening socket.
    pub fn inspected(&mut self, now: Instant, info: &TcpInfo, drops: u32) {
        self.limit = info.accept_queue_limit();
        self.longest = self.longest.max(info.accept_queue_length());
        if drops == self.drops {
            return;
        }
        let more = drops.wrapping_sub(self.drops);
        (self.drops, self.overflowed) = (drops, Some(now));
        if self.logged.is_none_or(|at| now - at > LOG_EVERY) {
            self.logged = Some(now);
            tracing::warn!(
                more,
                length = info.accept_queue_length(),
                limit = self.limit,
                "the accept queue was full: handshakes were dropped"
            );
        }
    }

    /// Its figures, where so many connections are in it now.
    pub fn figures(&self, length: u32) -> QueueFigures {
        QueueFigures { length, limit: self.limit, longest: self.longest.max(length), drops: self.drops }
    }

    /// When what a connection has sent came at the earliest, that was accepted at `now`, and whether it has sent anything.
    /// The kernel tells when data last came, which is when the first came while it is all in one segment.
    pub fn arrival(&self, now: Instant, info: Option<&TcpInfo>) -> (Instant, bool) {
        let earliest = match self.pending {
            Some(Since::Known(since)) => Some(since.min(now)),
            Some(Since::Unknown) => None,
            None => Some(now),
        };
        let Some(info) = info else { return (earliest.unwrap_or(now), true) };
        if info.data_segments() == 0 {
            return (now, false);
        }
        let data = now.checked_sub(info.since_data() + TICK).unwrap_or(now);
        let received = match (info.data_segments(), earliest) {
            (1, Some(earliest)) => data.max(info.arrived_by(now, earliest)),
            (1, None) => data,
            (_, earliest) => earliest.unwrap_or(data).min(data),
        };
        let dropped = self.overflowed.is_some_and(|at| now - at < OVERFLOW_MEMORY);
        let held_up = if dropped { handshake_delay(info) } else { Duration::ZERO };
        (received.checked_sub(held_up).unwrap_or(received), true)
    }
}

/// For how long a client may have believed itself connected before its handshake was complete here. A full accept queue
/// drops the last segment of a handshake; the client's data, sent again, then completes it, or this side's answer does.
fn handshake_delay(info: &TcpInfo) -> Duration {
    match info.retransmits() {
        0 if info.round_trip() > ROUND_TRIP => info.round_trip(),
        0 => Duration::ZERO,
        count => FIRST_TIMEOUT * (2u32.saturating_pow(count.min(8)) - 1),
    }
}

//! Statistics of an accept queue: since when connections may wait there, its longest length, and whether it overflowed.
//! No I/O and no clock.

use crate::tcp_info::{TcpInfo, TICK};
use std::time::{Duration, Instant};

/// After an overflow, handshakes that took longer than this were delayed by it.
const ROUND_TRIP: Duration = Duration::from_millis(20);
/// How long clients whose handshakes were dropped may take to connect: their fourth try is after 3 s.
const OVERFLOW_MEMORY: Duration = Duration::from_secs(4);
/// The first retransmission timeout of a handshake; each further one is twice as long (RFC 6298).
const FIRST_TIMEOUT: Duration = Duration::from_secs(1);
/// Least time between two log lines about overflows.
const LOG_EVERY: Duration = Duration::from_secs(1);

/// Statistics of an accept queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Connections in it now.
    pub length: u32,
    /// The system's limit of its length.
    pub limit: u32,
    /// The greatest length observed.
    pub longest: u32,
    /// Handshake segments dropped since the listener was opened.
    pub drops: u32,
}

/// The state of one accept queue.
#[derive(Debug)]
pub(super) struct AcceptQueue {
    /// Since when connections may have waited; none while the queue is known to be empty.
    pending: Option<Since>,
    limit: u32,
    longest: u32,
    drops: u32,
    /// When dropped handshakes were last observed.
    overflowed: Option<Instant>,
    logged: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Since {
    Known(Instant),
    Unknown,
}

impl AcceptQueue {
    /// A queue that may hold connections. If `since` is known, none arrived before it.
    pub fn new(since: Option<Instant>) -> Self {
        let pending = Some(since.map_or(Since::Unknown, Since::Known));
        AcceptQueue { pending, limit: 0, longest: 0, drops: 0, overflowed: None, logged: None }
    }

    /// Connections may have been pending since `since`.
    pub fn ready(&mut self, since: Instant) {
        self.pending.get_or_insert(Since::Known(since));
    }

    /// How long the queued connections have waited is unknown from now on.
    pub fn forget_age(&mut self) {
        self.pending = Some(Since::Unknown);
    }

    /// The queue was found empty.
    pub fn emptied(&mut self) {
        self.pending = None;
    }

    /// Updates the statistics from the kernel's data of the listening socket.
    pub fn update(&mut self, now: Instant, info: &TcpInfo, drops: u32) {
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

    /// The statistics, with the current length of the queue.
    pub fn stats(&self, length: u32) -> QueueStats {
        QueueStats { length, limit: self.limit, longest: self.longest.max(length), drops: self.drops }
    }

    /// For a connection accepted at `now`: the earliest time at which its data may have arrived, and whether it has
    /// sent any. The kernel tells when the last data arrived, which is also when the first did if there is only one
    /// segment.
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

/// How long a client may have believed itself connected before its handshake was complete here. A full accept queue
/// drops the last segment of a handshake; then a retransmission completes it, of the client's data or of this side's
/// SYN-ACK.
fn handshake_delay(info: &TcpInfo) -> Duration {
    match info.retransmits() {
        0 if info.round_trip() > ROUND_TRIP => info.round_trip(),
        0 => Duration::ZERO,
        count => FIRST_TIMEOUT * (2u32.saturating_pow(count.min(8)) - 1),
    }
}

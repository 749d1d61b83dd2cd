//! Whether a client is still reading answers that were passed to the kernel. Only the kernel knows: its buffers hold some
//! megabytes of a connection, for which a slow reader needs seconds.

use crate::conn::Conn;
use std::time::{Duration, Instant};

/// A client that reads none of its output for this long is closed.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// How far a client has read its output.
#[derive(Debug)]
pub(super) struct ReadProgress {
    undelivered: usize,
    /// When it last was seen to have read any.
    since: Instant,
}

impl ReadProgress {
    /// The progress of a client that may be reading at `now`.
    pub fn new(now: Instant) -> Self {
        ReadProgress { undelivered: 0, since: now }
    }

    /// Asks the kernel whether the client still has output to receive, and has received some within [`READ_TIMEOUT`].
    pub fn is_in_progress(&mut self, now: Instant, conn: &Conn) -> bool {
        let undelivered = conn.undelivered();
        if undelivered != std::mem::replace(&mut self.undelivered, undelivered) {
            self.since = now;
        }
        undelivered > 0 && now.saturating_duration_since(self.since) < READ_TIMEOUT
    }
}

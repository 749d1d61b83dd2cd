//! Readiness events of one loop iteration.

use mio::event::Event;
use mio::{Events, Poll, Token};
use std::io::{ErrorKind, Result};
use std::time::Duration;

/// Events returned by one poll. Data from nodes is read at once; clients are served in turn.
const MAX_EVENTS: usize = 1024;

/// Kind of readiness of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ready {
    /// Data can be read.
    Readable,
    /// Only output can be written.
    Writable,
    /// The peer has closed its sending side, or the connection broke.
    Ends,
}

impl Ready {
    fn of(event: &Event) -> Ready {
        if event.is_read_closed() || event.is_error() {
            Ready::Ends
        } else if event.is_readable() {
            Ready::Readable
        } else {
            Ready::Writable
        }
    }
}

/// The readiness events of one iteration, in the order in which the system reported them.
pub(super) struct Readiness {
    events: Events,
    ready: Vec<(Token, Ready)>,
}

impl Readiness {
    /// Creates an empty set.
    pub fn new() -> Readiness {
        Readiness { events: Events::with_capacity(MAX_EVENTS), ready: Vec::new() }
    }

    /// Waits until something is ready, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// The wait was interrupted by a signal, or polling failed.
    pub fn wait(&mut self, poll: &mut Poll, timeout: Duration) -> Result<()> {
        self.ready.clear();
        poll.poll(&mut self.events, Some(timeout))?;
        self.collect();
        Ok(())
    }

    /// Adds events that occurred after the wait ended.
    ///
    /// # Errors
    ///
    /// Polling failed.
    pub fn poll_again(&mut self, poll: &mut Poll) -> Result<()> {
        match poll.poll(&mut self.events, Some(Duration::ZERO)) {
            // The events are found in the next iteration.
            Err(error) if error.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        self.collect();
        Ok(())
    }

    fn collect(&mut self) {
        self.ready.extend(self.events.iter().map(|event| (event.token(), Ready::of(event))));
    }

    /// Each event's token and kind of readiness.
    pub fn iter(&self) -> impl Iterator<Item = (Token, Ready)> + '_ {
        self.ready.iter().copied()
    }

    /// Whether there is an event for a token.
    pub fn contains(&self, token: Token) -> bool {
        self.ready.iter().any(|(ready, _)| *ready == token)
    }
}

#[cfg(test)]
mod tests;

//! What is ready in one turn of the loop.

use mio::event::Event;
use mio::{Events, Poll, Token};
use std::io::{ErrorKind, Result};
use std::time::Duration;

/// Connections that one look finds ready: what comes of nodes is read at once, clients are heard in their turn.
const MAX_EVENTS: usize = 1024;

/// What a connection is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ready {
    /// There is something to read.
    Readable,
    /// It takes more output, and that is all.
    Writable,
    /// The far side has ended its sending, or the connection broke.
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

/// All that is ready in one turn, in the order the system gave it.
pub(super) struct Readiness {
    events: Events,
    ready: Vec<(Token, Ready)>,
}

impl Readiness {
    /// Nothing yet.
    pub fn new() -> Readiness {
        Readiness { events: Events::with_capacity(MAX_EVENTS), ready: Vec::new() }
    }

    /// Waits until something is ready, or for so long.
    ///
    /// # Errors
    ///
    /// A signal interrupted the wait, or the system can't wait.
    pub fn wait(&mut self, poll: &mut Poll, timeout: Duration) -> Result<()> {
        self.ready.clear();
        poll.poll(&mut self.events, Some(timeout))?;
        self.collect();
        Ok(())
    }

    /// Adds what has become ready since the wait ended.
    ///
    /// # Errors
    ///
    /// The system can't look.
    pub fn poll_again(&mut self, poll: &mut Poll) -> Result<()> {
        match poll.poll(&mut self.events, Some(Duration::ZERO)) {
            // What is ready is found in the next turn.
            Err(error) if error.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        self.collect();
        Ok(())
    }

    fn collect(&mut self) {
        self.ready.extend(self.events.iter().map(|event| (event.token(), Ready::of(event))));
    }

    /// Each connection and what it is ready for.
    pub fn iter(&self) -> impl Iterator<Item = (Token, Ready)> + '_ {
        self.ready.iter().copied()
    }

    /// Whether something happened on a connection.
    pub fn contains(&self, token: Token) -> bool {
        self.ready.iter().any(|(ready, _)| *ready == token)
    }
}

#[cfg(test)]
mod tests;

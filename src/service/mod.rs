//! Service state of this process: whether it accepts clients, and what happens to those it has. PING, the fronts,
//! signals and the admin endpoint depend on it. It does no I/O and reads no clock.

pub mod addresses;

use std::time::{Duration, Instant};

/// Delay between a drain command and the closing of idle clients. Load balancers ask ten times a second whether this
/// process is ready, and stop sending clients 0.2 s after a negative answer: a client that is closed earlier would
/// come back.
const SHED_DELAY: Duration = Duration::from_millis(400);

/// Phase of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not accepting clients yet.
    Starting,
    /// Accepting clients.
    Serving,
    /// Drained by an operator.
    Drained,
    /// Another process has taken over, with the clients.
    Replaced,
    /// Shutting down after a signal.
    Ending,
}

impl Phase {
    /// Name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Drained => "drained",
            Phase::Replaced => "replaced",
            Phase::Ending => "ending",
        }
    }
}

/// How the fronts treat clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientPolicy {
    /// Whether PING gets a positive answer.
    pub ready: bool,
    /// Whether idle clients are kept, because they could not reconnect.
    pub keep_idle: bool,
    /// From this time on clients are closed as they become idle, and new commands are declined or left to another process.
    pub shed_from: Option<Instant>,
    /// Idle clients are handed over to another process with their connections; otherwise these are closed.
    pub hand_over: bool,
}

/// Service state of a process.
#[derive(Clone, Debug, Default)]
pub struct State {
    started: bool,
    drained: Option<Instant>,
    replaced: Option<Instant>,
    ending: Option<Instant>,
}

impl State {
    /// An irreversible state takes precedence over a reversible one.
    pub fn phase(&self) -> Phase {
        match self {
            State { ending: Some(_), .. } => Phase::Ending,
            State { replaced: Some(_), .. } => Phase::Replaced,
            State { drained: Some(_), .. } => Phase::Drained,
            State { started: true, .. } => Phase::Serving,
            _ => Phase::Starting,
        }
    }

    /// How the fronts treat clients in this state. A replaced process answers PING positively for its successor,
    /// since the question on an open connection is about the address. A process that shuts down still accepts
    /// clients: each connection that is open by then is served for as long as the process lasts.
    pub fn client_policy(&self) -> ClientPolicy {
        ClientPolicy {
            ready: self.drained.is_none(),
            keep_idle: self.ending.is_some() && self.drained.is_none() && !self.is_replaced(),
            shed_from: self.replaced.or(self.drained.map(|since| since + SHED_DELAY)),
            hand_over: self.is_replaced(),
        }
    }

    /// How a front treats clients whose sessions can't be handed over to another process: a replaced process serves them for
    /// as long as it lasts.
    pub fn session_policy(&self) -> ClientPolicy {
        State { replaced: None, ..self.clone() }.client_policy()
    }

    /// Starts accepting clients.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// Drains the process on behalf of an operator; repeating it has no effect.
    pub fn drain(&mut self, now: Instant) -> Result<(), &'static str> {
        if self.is_replaced() {
            // An operator must not believe that the drain took effect: the successor has all the clients.
            return Err("another process took over: ask that one");
        }
        self.drained.get_or_insert(now);
        Ok(())
    }

    /// Returns to service after a drain.
    pub fn resume(&mut self) -> Result<(), &'static str> {
        if self.ending.is_some() {
            return Err("it is ending");
        }
        if self.is_replaced() {
            return Err("another process took over: ask that one");
        }
        self.drained = None;
        Ok(())
    }

    /// Another process has taken over.
    pub fn replace(&mut self, now: Instant) {
        self.replaced.get_or_insert(now);
    }

    /// The successor has died: this process serves the clients again.
    pub fn undo_replace(&mut self) {
        self.replaced = None;
    }

    /// Whether another process has taken over.
    pub fn is_replaced(&self) -> bool {
        self.replaced.is_some()
    }

    /// Whether an operator has drained the process.
    pub fn is_drained(&self) -> bool {
        self.drained.is_some()
    }

    /// Starts the shutdown.
    pub fn end(&mut self, now: Instant) {
        self.ending.get_or_insert(now);
    }

    /// Start of the shutdown, if there is one.
    pub fn ending(&self) -> Option<Instant> {
        self.ending
    }
}

#[cfg(test)]
mod tests;

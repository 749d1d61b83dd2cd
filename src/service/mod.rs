//! The state of service of this process: whether it takes clients, and what becomes of those it has. PING, the fronts,
//! signals and the admin endpoint all go by it. It does no I/O and reads no clock.

pub mod addresses;

use std::time::{Duration, Instant};

/// From the call to drain until clients are sent away. Whoever distributes clients asks ten times a second whether
/// this process takes them, and sends none any more 0.2 s after a no: who is sent away earlier comes back.
const SHED_DELAY: Duration = Duration::from_millis(400);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not take clients yet.
    Starting,
    /// It takes clients.
    Serving,
    /// An operator has asked for no more clients.
    Drained,
    /// Another process took its place, and its clients.
    Replaced,
    /// It was asked to end.
    Ending,
}

impl Phase {
    /// For operators.
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

/// What the fronts are to do about clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientPolicy {
    /// Whether PING is answered with a yes.
    pub ready: bool,
    /// Whether idle clients are kept, since they could not come again.
    pub keep_idle: bool,
    /// From when on clients leave as they become idle, and are asked for no more before.
    pub shed_from: Option<Instant>,
    /// They go to another process with their connections; else these are closed.
    pub hand_over: bool,
}

/// The state of service.
#[derive(Clone, Debug, Default)]
pub struct State {
    started: bool,
    drained: Option<Instant>,
    replaced: Option<Instant>,
    ending: Option<Instant>,
}

impl State {
    /// What was asked for last and cannot be taken back goes before what can.
    pub fn phase(&self) -> Phase {
        match self {
            State { ending: Some(_), .. } => Phase::Ending,
            State { replaced: Some(_), .. } => Phase::Replaced,
            State { drained: Some(_), .. } => Phase::Drained,
            State { started: true, .. } => Phase::Serving,
            _ => Phase::Starting,
        }
    }

    /// For the fronts. A process that was replaced says yes for the one in its place: who asks it on an open
    /// connection asks about the address. One that is to end takes whoever still comes: each connection that is open by
    /// then is served for as long as the process lasts.
    pub fn client_policy(&self) -> ClientPolicy {
        ClientPolicy {
            ready: self.drained.is_none(),
            keep_idle: self.ending.is_some() && self.drained.is_none() && !self.is_replaced(),
            shed_from: self.replaced.or(self.drained.map(|since| since + SHED_DELAY)),
            hand_over: self.is_replaced(),
        }
    }

    /// It takes clients from now on.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// No more clients, as an operator asks. Once is as good as often.
    pub fn drain(&mut self, now: Instant) -> Result<(), &'static str> {
        if self.is_replaced() {
            // Guards an operator's belief: this process has nothing left to drain, the other one has it all.
            return Err("another process took over: ask that one");
        }
        self.drained.get_or_insert(now);
        Ok(())
    }

    /// Clients again.
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

    /// Another process takes its clients.
    pub fn replace(&mut self, now: Instant) {
        self.replaced.get_or_insert(now);
    }

    /// The other process is gone: clients are this one's again.
    pub fn undo_replace(&mut self) {
        self.replaced = None;
    }

    /// Whether another process takes its clients.
    pub fn is_replaced(&self) -> bool {
        self.replaced.is_some()
    }

    /// Whether an operator has drained it.
    pub fn is_drained(&self) -> bool {
        self.drained.is_some()
    }

    /// It is to end.
    pub fn end(&mut self, now: Instant) {
        self.ending.get_or_insert(now);
    }

    /// Since when it is to end.
    pub fn ending(&self) -> Option<Instant> {
        self.ending
    }
}

#[cfg(test)]
mod tests;

//! The state of service of this process: whether it takes clients, and what becomes of those it has. PING, the fronts,
//! signals and the operators' door all go by it. It does no I/O and reads no clock.

pub mod addresses;

use std::time::{Duration, Instant};

/// From the call to drain until clients are sent away. Whoever distributes clients asks ten times a second whether
/// this process takes them, and sends none any more 0.2 s after a no: who is sent away earlier comes back.
const SHED_AFTER: Duration = Duration::from_millis(400);

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
pub struct Standing {
    /// Whether PING is answered with a yes.
    pub yes: bool,
    /// Whether idle clients are kept, since they could not come again.
    pub keeps_idle: bool,
    /// From when on clients leave as they become idle, and are asked for no more before.
    pub shed_from: Option<Instant>,
    /// They go to another process with their connections; else these are closed.
    pub hands_over: bool,
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
    pub fn standing(&self) -> Standing {
        Standing {
            yes: self.drained.is_none(),
            keeps_idle: self.ending.is_some() && self.drained.is_none() && !self.is_replaced(),
            shed_from: self.replaced.or(self.drained.map(|since| since + SHED_AFTER)),
            hands_over: self.is_replaced(),
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
    pub fn take_back(&mut self) {
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Copy, Debug)]
    enum Step {
        Start,
        Drain,
        Resume,
        Replace,
        TakeBack,
        End,
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let one = prop::sample::select(vec![
            Step::Start,
            Step::Drain,
            Step::Resume,
            Step::Replace,
            Step::TakeBack,
            Step::End,
        ]);
        prop::collection::vec(one, 0..20)
    }

    #[test]
    fn drained_clients_are_sent_away_only_once_a_no_was_heard() {
        let now = Instant::now();
        let mut state = State::default();
        assert_eq!(state.phase(), Phase::Starting);
        state.start();
        assert_eq!((state.phase(), state.standing().yes), (Phase::Serving, true));
        state.drain(now).unwrap();
        state.drain(now + Duration::from_secs(1)).unwrap();
        let shed = state.standing().shed_from.unwrap();
        assert_eq!((state.phase(), state.standing().yes), (Phase::Drained, false));
        assert!(shed > now + Duration::from_millis(300) && shed < now + Duration::from_secs(1));
        state.resume().unwrap();
        assert_eq!(
            state.standing(),
            Standing { yes: true, keeps_idle: false, shed_from: None, hands_over: false }
        );
    }

    proptest! {
        #[test]
        fn an_end_is_final_and_no_order_of_calls_says_yes_to_what_is_not_taken(steps in steps()) {
            let (mut state, now) = (State::default(), Instant::now());
            let (mut ended, mut replaced) = (false, false);
            for step in steps {
                match step {
                    Step::Start => state.start(),
                    Step::Drain => prop_assert_eq!(state.drain(now).is_ok(), !replaced),
                    Step::Resume => prop_assert_eq!(state.resume().is_ok(), !ended && !replaced),
                    Step::Replace => { state.replace(now); replaced = true; }
                    Step::TakeBack => { state.take_back(); replaced = false; }
                    Step::End => { state.end(now); ended = true; }
                }
                let (phase, standing) = (state.phase(), state.standing());
                prop_assert_eq!(phase == Phase::Ending, ended);
                prop_assert!(standing.yes != state.is_drained() && (phase != Phase::Drained || !standing.yes));
                prop_assert!(!standing.keeps_idle || (ended && !replaced), "only a plain end keeps idle clients");
                prop_assert_eq!(standing.hands_over, replaced);
            }
        }
    }
}

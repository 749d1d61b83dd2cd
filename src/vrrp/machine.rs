//! The state machine of one virtual router (RFC 9568, section 6). No I/O and no clock: times are spans on a monotonic
//! scale that the caller hands in, and what is to be done comes back.
//!
//! Beyond the RFC: a priority that changes in service, priority 0 by choice (maintenance), a delay before preempting
//! (RFC 8347, hold-time), and calls that come late. A process that was stopped and goes on may have been replaced:
//! it looks for another Active router before it acts as one.

use super::packet::{PRIORITY_OWNER, PRIORITY_RESIGN};
use std::net::IpAddr;
use std::time::Duration;

/// Intervals without an advertisement before another is taken to be gone.
const ACTIVE_DOWN_INTERVALS: u32 = 3;
/// An Active router that has advertised within this part of its interval does not do so again for what it hears.
const MIN_ADVERTISE_DIVISOR: u32 = 10;

/// How one router takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// How often it advertises as Active.
    pub interval: Duration,
    /// Whether it takes over from an Active router of lower priority.
    pub preempt: bool,
    /// How long it hears of one of lower priority before it does.
    pub preempt_delay: Duration,
    /// Its primary address; the higher one breaks a tie.
    pub address: IpAddr,
}

/// States (RFC 9568, 6.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Not started.
    Initialize,
    /// Another is Active, or nobody yet.
    Backup {
        /// The Active_Down_Timer; none while the priority is 0: then this router never takes over.
        down_at: Option<Duration>,
    },
    /// This one is Active.
    Active {
        /// The Adver_Timer.
        advertise_at: Duration,
        /// When it advertised last.
        advertised: Duration,
    },
}

/// What happens to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It starts.
    Startup,
    /// It ends.
    Shutdown,
    /// A timer may be due.
    Timer,
    /// A sound advertisement for it came.
    Advertisement {
        /// The sender's priority.
        priority: u8,
        /// The sender's interval.
        interval: Duration,
        /// Where it came from.
        sender: IpAddr,
    },
    /// Its priority is another from now on; 0 puts it into maintenance.
    Priority(u8),
}

/// Why a state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It started.
    Startup,
    /// It ended.
    Shutdown,
    /// It owns the addresses.
    Owner,
    /// Nothing was heard of an Active router for the Active_Down_Interval.
    NoResponse,
    /// The Active router resigned with priority 0.
    Resigned,
    /// It takes over from one of lower priority.
    Preempts,
    /// One of higher priority is Active.
    HigherPriority,
    /// One of the same priority and a higher address is Active.
    HigherAddress,
    /// It was not called for so long that another may have taken over.
    Late,
    /// Its priority was set to 0.
    Maintenance,
}

/// A change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Transition {
    /// The state before.
    pub from: Role,
    /// The state since.
    pub to: Role,
    /// Why.
    pub reason: Reason,
}

/// A state less its timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Not started.
    Initialize,
    /// Waits.
    Backup,
    /// Serves.
    Active,
}

impl Role {
    /// The name that RFC 9568 gives it, in lower case.
    pub fn name(self) -> &'static str {
        match self {
            Role::Initialize => "initialize",
            Role::Backup => "backup",
            Role::Active => "active",
        }
    }
}

/// What a step asks for, in this order: advertise, then act on the transition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Step {
    /// An advertisement is to be sent, with this priority.
    pub advertise: Option<u8>,
    /// The state changed.
    pub transition: Option<Transition>,
}

/// One virtual router on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateMachine {
    state: State,
    /// Its priority now; tracking and maintenance change it.
    priority: u8,
    /// The Active router's interval as learnt last.
    active_interval: Duration,
    /// Since when only Active routers of lower priority have been heard of.
    lower_since: Option<Duration>,
    /// The last advertisement heard resigned.
    resigned: bool,
}

impl StateMachine {
    /// A router that has not started.
    pub fn new(parameters: &Parameters, priority: u8) -> Self {
        StateMachine {
            state: State::Initialize,
            priority,
            active_interval: parameters.interval,
            lower_since: None,
            resigned: false,
        }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Its state less timers.
    pub fn role(&self) -> Role {
        match self.state {
            State::Initialize => Role::Initialize,
            State::Backup { .. } => Role::Backup,
            State::Active { .. } => Role::Active,
        }
    }

    /// Its priority now.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// The Active router's interval as learnt last; its own while it is Active.
    pub fn active_interval(&self) -> Duration {
        self.active_interval
    }

    /// When [`Event::Timer`] is due.
    pub fn timer(&self) -> Option<Duration> {
        match self.state {
            State::Initialize => None,
            State::Backup { down_at } => down_at,
            State::Active { advertise_at, .. } => Some(advertise_at),
        }
    }

    /// Skew_Time: the lower the priority, the longer; less than an interval (RFC 9568, 6.1).
    pub fn skew_time(&self) -> Duration {
        self.active_interval * (256 - u32::from(self.priority)) / 256
    }

    /// Active_Down_Interval: three of the Active router's intervals and the skew.
    pub fn active_down_interval(&self) -> Duration {
        ACTIVE_DOWN_INTERVALS * self.active_interval + self.skew_time()
    }

    /// The same router on a scale that begins later by so much; what would lie before its beginning lies there. For
    /// callers that keep times relative to now, as a model checker does, so that states come again.
    pub fn rebased(mut self, by: Duration) -> StateMachine {
        let earlier = |at: Duration| at.saturating_sub(by);
        self.lower_since = self.lower_since.map(earlier);
        self.state = match self.state {
            State::Initialize => State::Initialize,
            State::Backup { down_at } => State::Backup { down_at: down_at.map(earlier) },
            State::Active { advertise_at, advertised } => {
                State::Active { advertise_at: earlier(advertise_at), advertised: earlier(advertised) }
            }
        };
        self
    }

    /// Takes one event. Advertisements that wait are to be handed in before a timer that is due as well: after a stop
    /// they tell of another Active router.
    pub fn step(&mut self, parameters: &Parameters, now: Duration, event: Event) -> Step {
        let before = self.role();
        let mut outcome = Outcome::default();
        if self.is_late(parameters, now) {
            // Guards against two Active routers after a stop: others may have taken over by now.
            self.wait_as_backup(now, parameters.interval);
            outcome.reason = Some(Reason::Late);
        }
        match self.state {
            State::Initialize => self.initialize(parameters, now, event, &mut outcome),
            State::Backup { down_at } => self.backup(parameters, now, event, down_at, &mut outcome),
            State::Active { advertise_at, advertised } => {
                self.active(parameters, now, event, (advertise_at, advertised), &mut outcome);
            }
        }
        let (from, to) = (before, self.role());
        let transition = outcome.reason.filter(|_| from != to).map(|reason| Transition { from, to, reason });
        Step { advertise: outcome.advertise, transition }
    }

    /// Active, but silent for so long that the quickest of the others may have taken over.
    fn is_late(&self, parameters: &Parameters, now: Duration) -> bool {
        let silent = |advertised: Duration| now.saturating_sub(advertised);
        let limit = ACTIVE_DOWN_INTERVALS * parameters.interval;
        matches!(self.state, State::Active { advertised, .. } if silent(advertised) >= limit)
    }

    fn initialize(&mut self, parameters: &Parameters, now: Duration, event: Event, outcome: &mut Outcome) {
        match event {
            Event::Startup if self.priority == PRIORITY_OWNER => {
                self.advertise(parameters, now, outcome);
                outcome.reason = Some(Reason::Owner);
            }
            Event::Startup => {
                self.wait_as_backup(now, parameters.interval);
                outcome.reason = Some(Reason::Startup);
            }
            Event::Priority(priority) => self.priority = priority,
            Event::Shutdown | Event::Timer | Event::Advertisement { .. } => {}
        }
    }

    fn backup(
        &mut self,
        parameters: &Parameters,
        now: Duration,
        event: Event,
        down_at: Option<Duration>,
        outcome: &mut Outcome,
    ) {
        match event {
            Event::Startup => {}
            Event::Shutdown => {
                self.state = State::Initialize;
                outcome.reason = Some(Reason::Shutdown);
            }
            Event::Priority(priority) => {
                let was_in_maintenance = self.priority == PRIORITY_RESIGN;
                self.priority = priority;
                if priority == PRIORITY_RESIGN {
                    self.state = State::Backup { down_at: None };
                } else if was_in_maintenance {
                    self.wait_as_backup(now, self.active_interval);
                }
            }
            Event::Timer => match down_at.filter(|at| *at <= now) {
                None => {}
                Some(at) if now - at > self.active_interval => {
                    // Guards against a stop: an Active router is heard of within its interval, if there is one.
                    let wait = self.active_interval + self.skew_time();
                    self.state = State::Backup { down_at: Some(now + wait) };
                }
                Some(_) => {
                    outcome.reason = Some(match (self.resigned, self.lower_since) {
                        (true, _) => Reason::Resigned,
                        (false, Some(_)) => Reason::Preempts,
                        (false, None) => Reason::NoResponse,
                    });
                    self.advertise(parameters, now, outcome);
                }
            },
            Event::Advertisement { .. } if self.priority == PRIORITY_RESIGN => {}
            Event::Advertisement { priority: PRIORITY_RESIGN, .. } => {
                self.resigned = true;
                self.state = State::Backup { down_at: Some(now + self.skew_time()) };
            }
            Event::Advertisement { priority, interval, .. } => {
                self.resigned = false;
                if priority >= self.priority {
                    self.lower_since = None;
                    return self.wait_as_backup(now, interval);
                }
                let since = *self.lower_since.get_or_insert(now);
                if !parameters.preempt || now - since < parameters.preempt_delay {
                    self.wait_as_backup(now, interval);
                }
            }
        }
    }

    fn active(
        &mut self,
        parameters: &Parameters,
        now: Duration,
        event: Event,
        (advertise_at, advertised): (Duration, Duration),
        outcome: &mut Outcome,
    ) {
        // Guards against a flood of advertisements that would be answered one by one.
        let advertised_recently =
            now.saturating_sub(advertised) < parameters.interval / MIN_ADVERTISE_DIVISOR;
        match event {
            Event::Startup => {}
            Event::Shutdown => {
                self.state = State::Initialize;
                outcome.advertise = Some(PRIORITY_RESIGN);
                outcome.reason = Some(Reason::Shutdown);
            }
            Event::Priority(PRIORITY_RESIGN) => {
                self.priority = PRIORITY_RESIGN;
                self.state = State::Backup { down_at: None };
                outcome.advertise = Some(PRIORITY_RESIGN);
                outcome.reason = Some(Reason::Maintenance);
            }
            Event::Priority(priority) if priority == self.priority => {}
            Event::Priority(priority) => {
                self.priority = priority;
                // Sent at once, so that a better one need not wait for it.
                self.advertise(parameters, now, outcome);
            }
            Event::Timer if now < advertise_at => {}
            Event::Timer => self.advertise(parameters, now, outcome),
            Event::Advertisement { priority: PRIORITY_RESIGN, .. } if advertised_recently => {}
            Event::Advertisement { priority: PRIORITY_RESIGN, .. } => {
                self.advertise(parameters, now, outcome)
            }
            Event::Advertisement { priority, interval, sender } => {
                if (priority, sender) > (self.priority, parameters.address) {
                    let higher = priority > self.priority;
                    outcome.reason =
                        Some(if higher { Reason::HigherPriority } else { Reason::HigherAddress });
                    self.wait_as_backup(now, interval);
                } else if !advertised_recently {
                    // RFC 9568 sends at once, so that the other, and switches, learn of this one.
                    self.advertise(parameters, now, outcome);
                }
            }
        }
    }

    /// Advertises as Active, from now on if it was not.
    fn advertise(&mut self, parameters: &Parameters, now: Duration, outcome: &mut Outcome) {
        self.state = State::Active { advertise_at: now + parameters.interval, advertised: now };
        (self.lower_since, self.resigned) = (None, false);
        self.active_interval = parameters.interval;
        outcome.advertise = Some(self.priority);
    }

    /// Waits for the Active router, whose interval this is, to be gone.
    fn wait_as_backup(&mut self, now: Duration, interval: Duration) {
        self.active_interval = interval;
        // An owner that was stopped need not wait for one that must yield to it, only hear what has come.
        let wait =
            if self.priority == PRIORITY_OWNER { self.skew_time() } else { self.active_down_interval() };
        let in_maintenance = self.priority == PRIORITY_RESIGN;
        self.state = State::Backup { down_at: (!in_maintenance).then_some(now + wait) };
    }
}

/// What a step has come to so far.
#[derive(Default)]
struct Outcome {
    advertise: Option<u8>,
    reason: Option<Reason>,
}

#[cfg(test)]
mod tests;

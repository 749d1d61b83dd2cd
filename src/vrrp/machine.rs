//! The state machine of one virtual router (RFC 9568, section 6). It does no I/O and reads no clock: the caller passes
//! events with times on a monotonic scale, and carries out the returned steps.
//!
//! Beyond the RFC it supports a priority that changes at run time, a configured priority of 0 (maintenance), a delay
//! before preemption (hold-time of RFC 8347), and delayed calls: a process that was stopped may have been replaced, and
//! checks for another Active router before it acts as one.

use super::packet::{PRIORITY_OWNER, PRIORITY_RESIGN};
use std::net::IpAddr;
use std::time::Duration;

/// Advertisement intervals in the Active_Down_Interval (RFC 9568, 6.1), to which the Skew_Time is added.
const ACTIVE_DOWN_INTERVALS: u32 = 3;
/// An Active router that has advertised within its interval divided by this does not answer a received advertisement.
const MIN_ADVERTISE_DIVISOR: u32 = 10;

/// Configuration of one virtual router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// Advertisement_Interval.
    pub interval: Duration,
    /// Preempt_Mode: whether it takes over from an Active router of lower priority.
    pub preempt: bool,
    /// How long it receives advertisements of lower priority before it preempts.
    pub preempt_delay: Duration,
    /// Its primary address; among equal priorities the higher address wins.
    pub address: IpAddr,
}

/// States (RFC 9568, 6.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Not started.
    Initialize,
    /// Monitors the Active router, or waits to see whether there is one.
    Backup {
        /// Active_Down_Timer. None while the priority is 0, so that this router never takes over.
        down_at: Option<Duration>,
    },
    /// Serves the addresses and advertises.
    Active {
        /// Adver_Timer.
        advertise_at: Duration,
        /// When the last advertisement was sent.
        advertised: Duration,
    },
}

/// An event that a virtual router handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The router starts.
    Startup,
    /// The router shuts down.
    Shutdown,
    /// A timer may be due.
    Timer,
    /// A valid advertisement for this virtual router was received.
    Advertisement {
        /// The sender's priority.
        priority: u8,
        /// The sender's Advertisement_Interval.
        interval: Duration,
        /// The source address.
        sender: IpAddr,
    },
    /// The priority changes; 0 puts the router into maintenance.
    Priority(u8),
}

/// The reason of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It started.
    Startup,
    /// It ended.
    Shutdown,
    /// It is the address owner.
    Owner,
    /// No advertisement was received for the Active_Down_Interval.
    NoResponse,
    /// The Active router resigned with priority 0.
    Resigned,
    /// It preempts an Active router of lower priority.
    Preempts,
    /// A router of higher priority is Active.
    HigherPriority,
    /// A router of the same priority and a higher address is Active.
    HigherAddress,
    /// It was delayed for so long that another router may have taken over.
    Late,
    /// Its priority was set to 0.
    Maintenance,
}

/// A change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Transition {
    /// The state before.
    pub from: Role,
    /// The state after.
    pub to: Role,
    /// The reason.
    pub reason: Reason,
}

/// A state without its timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Not started.
    Initialize,
    /// Monitors the Active router.
    Backup,
    /// Serves the addresses.
    Active,
}

impl Role {
    /// Its name in RFC 9568, in lower case.
    pub fn name(self) -> &'static str {
        match self {
            Role::Initialize => "initialize",
            Role::Backup => "backup",
            Role::Active => "active",
        }
    }
}

/// The actions of one step, to carry out in this order: advertise, then act on the transition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Step {
    /// Send an advertisement with this priority.
    pub advertise: Option<u8>,
    /// The transition, if the state changed.
    pub transition: Option<Transition>,
}

/// The state machine of one virtual router on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StateMachine {
    state: State,
    /// The present priority, after tracking and maintenance.
    priority: u8,
    /// Active_Adver_Interval: the interval in the last advertisement of the Active router.
    active_interval: Duration,
    /// Since when only advertisements of lower priority have been received.
    lower_since: Option<Duration>,
    /// The last received advertisement had priority 0.
    resigned: bool,
}

impl StateMachine {
    /// A virtual router that has not started.
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

    /// Its state without timers.
    pub fn role(&self) -> Role {
        match self.state {
            State::Initialize => Role::Initialize,
            State::Backup { .. } => Role::Backup,
            State::Active { .. } => Role::Active,
        }
    }

    /// Its present priority.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Active_Adver_Interval: the Active router's interval as last received; its own while it is Active.
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

    /// Skew_Time (RFC 9568, 6.1): at most an interval, and the longer the lower the priority.
    pub fn skew_time(&self) -> Duration {
        self.active_interval * (256 - u32::from(self.priority)) / 256
    }

    /// Active_Down_Interval (RFC 9568, 6.1): three of the Active router's intervals and the Skew_Time.
    pub fn active_down_interval(&self) -> Duration {
        ACTIVE_DOWN_INTERVALS * self.active_interval + self.skew_time()
    }

    /// The same router on a time scale that begins later by this much; earlier times become zero. A model checker that
    /// keeps times relative to the present uses it to recognize equal states.
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

    /// Handles one event. The caller must pass received advertisements before a due timer: after a stop of the process
    /// they tell whether another router is Active.
    pub fn step(&mut self, parameters: &Parameters, now: Duration, event: Event) -> Step {
        let before = self.role();
        let mut outcome = Outcome::default();
        if self.is_late(parameters, now) {
            // Another router may have taken over during a stop: avoids two Active routers.
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

    /// Whether this router is Active but has been silent for so long that the fastest other router may have taken over.
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
                    // The timer is late by more than an interval, so the process was stopped. If there is an Active
                    // router, it advertises within its interval.
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
        // Limits the answers to a flood of advertisements.
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
                // Sent at once, so that a router of higher priority need not wait for the next advertisement.
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
                    // RFC 9568, 6.4.3: sent at once, so that the other router and learning bridges see the Active one.
                    self.advertise(parameters, now, outcome);
                }
            }
        }
    }

    /// Advertises, and becomes Active if it was not.
    fn advertise(&mut self, parameters: &Parameters, now: Duration, outcome: &mut Outcome) {
        self.state = State::Active { advertise_at: now + parameters.interval, advertised: now };
        (self.lower_since, self.resigned) = (None, false);
        self.active_interval = parameters.interval;
        outcome.advertise = Some(self.priority);
    }

    /// Becomes or stays Backup, and restarts the Active_Down_Timer with the Active router's interval.
    fn wait_as_backup(&mut self, now: Duration, interval: Duration) {
        self.active_interval = interval;
        // Other routers yield to an owner: after a stop it only waits until received advertisements are handled.
        let wait =
            if self.priority == PRIORITY_OWNER { self.skew_time() } else { self.active_down_interval() };
        let in_maintenance = self.priority == PRIORITY_RESIGN;
        self.state = State::Backup { down_at: (!in_maintenance).then_some(now + wait) };
    }
}

/// The result of a step while it is computed.
#[derive(Default)]
struct Outcome {
    advertise: Option<u8>,
    reason: Option<Reason>,
}

#[cfg(test)]
mod tests;

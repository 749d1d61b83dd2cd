//! The addresses that move between machines, as one initiator serves them: follows its virtual routers, opens and
//! retires its fronts' endpoints, and looks at what lowers its priorities.
//!
//! The decisions are elsewhere: `vrrp` says whose an address is, `handover` what becomes of items.

use crate::core::Core;
use crate::front::{iscsi, resp, Front};
use crate::handover::{Duty, Event, Handover, Order};
use crate::process::resident_memory;
use crate::tokens::{Kind, Tokens};
use crate::vrrp::address::{address, Address, Progress, PAUSE};
use crate::vrrp::machine::{Role, Transition};
use crate::vrrp::report::{Served, Snapshot};
use crate::vrrp::settings::Settings;
use crate::vrrp::speaker::Speaker;
use crate::vrrp::track::Condition;
use mio::{Registry, Token};
use std::time::{Duration, Instant};

/// The name of its report.
pub const REPORT: &str = "vrrp";

/// What the loop lends for a moment.
pub struct LoopContext<'a> {
    pub registry: &'a Registry,
    pub core: &'a mut Core,
    pub resp: &'a mut Front<resp::Resp>,
    pub iscsi: Option<&'a mut Front<iscsi::Target>>,
    pub tokens: &'a mut Tokens,
}

/// What a listener speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    Resp,
    Iscsi,
}

/// What the loop sees of the conditions.
pub struct Conditions {
    /// When discovery said something last.
    pub discovery: Option<Instant>,
    pub ready_nodes: usize,
    /// Descriptors for clients are used up.
    pub descriptors_used_up: bool,
    /// Bytes that the process may use.
    pub memory: usize,
}

/// One address on this machine.
struct ServedAddress {
    address: Box<dyn Address>,
    /// Endpoints of the fronts, in the order of the address's listeners.
    endpoints: Vec<(Wire, usize)>,
    /// Something was asked of the address that has not come about.
    pending: bool,
    failing: bool,
}

/// All addresses that this machine serves in turn with others.
pub struct Addresses {
    settings: Settings,
    speaker: Speaker,
    handover: Handover,
    addresses: Vec<ServedAddress>,
    started: Instant,
    next_check: Instant,
    /// When addresses, and duties that end, are turned to again.
    next_progress: Option<Instant>,
    /// The slowest turn of the loop since the last look.
    longest_iteration: Duration,
}

impl Addresses {
    /// Binds the interfaces and starts the routers; `finish` is the longest that an item may last.
    pub fn start(
        settings: Settings,
        finish: Duration,
        interfaces: impl IntoIterator<Item = Token>,
        context: &mut LoopContext,
        now: Instant,
    ) -> Result<Self, String> {
        let mut addresses = Vec::new();
        for service in &settings.services {
            let is_owner = service.router.priority == crate::vrrp::packet::PRIORITY_OWNER;
            let accepts_clients = service.accept || is_owner;
            let (mut listen, mut endpoints) = (Vec::new(), Vec::new());
            if let Some(at) = service.listen.filter(|_| accepts_clients) {
                listen.push(at);
                endpoints.push((Wire::Resp, context.resp.add_endpoint()));
            }
            if let Some(at) = service.listen_iscsi.filter(|_| accepts_clients) {
                let front = context.iscsi.as_mut().ok_or_else(|| {
                    format!("router {:?}: listen_iscsi: the second front is off", service.router.name)
                })?;
                listen.push(at);
                endpoints.push((Wire::Iscsi, front.add_endpoint()));
            }
            let address = address(&settings.means, &service.router, listen);
            addresses.push(ServedAddress { address, endpoints, pending: false, failing: false });
        }
        let (routers, rules) = (settings.routers(), &settings.tracking.rules);
        let speaker =
            Speaker::start(&settings.interfaces, routers, rules, interfaces, context.registry, now)?;
        let handover = Handover::new(addresses.len(), finish);
        let (next_check, longest_iteration) = (now, Duration::ZERO);
        Ok(Addresses {
            settings,
            speaker,
            handover,
            addresses,
            started: now,
            next_check,
            next_progress: None,
            longest_iteration,
        })
    }

    /// Advertisements came on an interface, by position.
    pub fn ready(&mut self, interface: usize) {
        self.speaker.ready(interface);
    }

    /// When [`Addresses::turn`] or [`Addresses::look`] has something to do.
    pub fn next_timer(&self, now: Instant) -> Instant {
        let next = self.speaker.next_timer(now).map_or(self.next_check, |at| at.min(self.next_check));
        self.next_progress.map_or(next, |at| at.min(next))
    }

    /// What comes first in each turn of the loop: a process that was stopped learns here, before it takes or sends
    /// anything, that another may serve its addresses.
    pub fn run(&mut self, now: Instant, context: &mut LoopContext) {
        let changes = self.speaker.turn(now);
        self.apply_transitions(now, changes, context);
        if self.next_progress.is_some_and(|at| at <= now) {
            self.progress_addresses(now, context);
        }
    }

    /// The time that a turn of the loop took, or came late.
    pub fn record_iteration(&mut self, took: Duration) {
        self.longest_iteration = self.longest_iteration.max(took);
    }

    /// Looks at the conditions when that is due.
    pub fn check_conditions(
        &mut self,
        now: Instant,
        conditions: impl FnOnce() -> Conditions,
        context: &mut LoopContext,
    ) {
        if self.next_check > now {
            return;
        }
        self.next_check = now + self.settings.tracking.every;
        let (conditions, longest_iteration) = (conditions(), std::mem::take(&mut self.longest_iteration));
        let tracking = self.settings.tracking.clone();
        for rule in &tracking.rules {
            let found = match rule.condition {
                Condition::DiscoverySilent => {
                    now - conditions.discovery.unwrap_or(self.started) > tracking.discovery_silent
                }
                Condition::NoReadyNode => conditions.ready_nodes == 0,
                Condition::LoopLate => longest_iteration > tracking.loop_late,
                Condition::Descriptors => conditions.descriptors_used_up,
                Condition::Memory => resident_memory(std::process::id()).is_some_and(|used| {
                    used > conditions.memory / 100 * usize::from(tracking.memory_percent)
                }),
                Condition::File => tracking.file.as_ref().is_some_and(|file| file.exists()),
                Condition::Address => self.addresses.iter().any(|served| served.failing),
            };
            let changes = self.speaker.look(now, rule.condition, found);
            self.apply_transitions(now, changes, context);
        }
        self.report(now, context);
    }

    /// Goes by another file as far as that needs no restart.
    pub fn reconfigure(&mut self, now: Instant, new: Settings, context: &mut LoopContext) {
        for what in self.settings.fixed_changes(&new) {
            tracing::warn!("a change of {what} in the VRRP file needs a restart");
        }
        let changes = self.speaker.change(now, &new.routers(), &new.tracking.rules);
        for (old, new) in self.settings.services.iter_mut().zip(&new.services) {
            if old.router.vrid == new.router.vrid {
                old.router.priority = new.router.priority;
            }
        }
        self.settings.tracking = new.tracking;
        self.apply_transitions(now, changes, context);
    }

    /// The process is to end: the routers resign, and what was taken is finished.
    pub fn resign(&mut self, now: Instant, context: &mut LoopContext) {
        let changes = self.speaker.shut_down(now);
        self.apply_transitions(now, changes, context);
    }

    /// Whether all addresses are let go.
    pub fn all_released(&self) -> bool {
        self.addresses.iter().all(|served| !served.pending)
    }

    fn apply_transitions(
        &mut self,
        now: Instant,
        changes: Vec<(usize, Transition)>,
        context: &mut LoopContext,
    ) {
        if changes.is_empty() {
            return;
        }
        for (router, transition) in changes {
            let event = match (transition.from, transition.to) {
                (_, Role::Active) => Event::Granted,
                (Role::Active, _) => Event::Withdrawn,
                _ => continue,
            };
            self.step(now, router, event, context);
        }
        self.progress_addresses(now, context);
        self.report(now, context);
    }

    fn step(&mut self, now: Instant, router: usize, event: Event, context: &mut LoopContext) {
        let order = self.handover.step(self.speaker.scale(now), router, event);
        let served = &mut self.addresses[router];
        match order {
            None => {}
            Some(Order::Take) => {
                served.address.take(now);
                served.pending = true;
            }
            Some(Order::Release) => {
                for (wire, endpoint) in &served.endpoints {
                    match (wire, &mut context.iscsi) {
                        (Wire::Iscsi, Some(front)) => {
                            let next = || context.tokens.next(Kind::IscsiClient);
                            front.retire_endpoint(*endpoint, context.registry, next, now);
                        }
                        _ => {
                            let next = || context.tokens.next(Kind::RespClient);
                            context.resp.retire_endpoint(*endpoint, context.registry, next, now);
                        }
                    }
                }
                served.address.release(now);
                (served.pending, served.failing) = (true, false);
            }
            Some(Order::End) => {
                for request in open_requests_at(&served.endpoints, context) {
                    context.core.end(request);
                }
            }
        }
    }

    /// Goes on with addresses that come or go, and with duties that end.
    fn progress_addresses(&mut self, now: Instant, context: &mut LoopContext) {
        for router in 0..self.addresses.len() {
            let served = &mut self.addresses[router];
            if served.pending {
                match served.address.turn(now) {
                    Progress::Pending => {}
                    // Guards the priority against an address that nobody wants any more.
                    Progress::Gone => (served.pending, served.failing) = (false, false),
                    Progress::Failing(why) => {
                        if !std::mem::replace(&mut served.failing, true) {
                            tracing::warn!("an address cannot be had, and is tried on: {why}");
                        }
                    }
                    Progress::Here(listeners) => {
                        (served.pending, served.failing) = (false, false);
                        let endpoints = served.endpoints.clone();
                        for ((wire, endpoint), listener) in endpoints.into_iter().zip(listeners) {
                            let kind =
                                if wire == Wire::Resp { Kind::RespListener } else { Kind::IscsiListener };
                            let token = context.tokens.next(kind);
                            let opened = match (wire, &mut context.iscsi) {
                                (Wire::Iscsi, Some(front)) => {
                                    front.open_endpoint(endpoint, listener, token, context.registry, now)
                                }
                                _ => context.resp.open_endpoint(
                                    endpoint,
                                    listener,
                                    token,
                                    context.registry,
                                    now,
                                ),
                            };
                            if let Err(error) = opened {
                                tracing::error!("a listener cannot be watched: {error}");
                            }
                        }
                        self.step(now, router, Event::Opened, context);
                    }
                }
            }
            if matches!(self.handover.duty(router), Duty::Retired { .. }) {
                let open = open_requests_at(&self.addresses[router].endpoints, context).len();
                self.step(now, router, Event::Looked { open }, context);
            }
        }
        let finishes = |router| matches!(self.handover.duty(router), Duty::Retired { .. });
        let busy = (0..self.addresses.len()).any(|router| self.addresses[router].pending || finishes(router));
        self.next_progress = busy.then_some(now + PAUSE);
    }

    fn report(&mut self, now: Instant, context: &mut LoopContext) {
        let served = |router: usize| Served {
            duty: self.handover.duty(router).name(),
            open_requests: open_requests_at(&self.addresses[router].endpoints, context).len(),
        };
        let snapshot = Snapshot::take(&self.speaker, now, self.settings.share, served);
        context.core.set_report(REPORT, snapshot.lines(), snapshot.json());
    }
}

/// Requests open that came in by these endpoints.
fn open_requests_at(endpoints: &[(Wire, usize)], context: &LoopContext) -> Vec<crate::interface::RequestId> {
    let mut open = Vec::new();
    for (wire, endpoint) in endpoints {
        match (wire, &context.iscsi) {
            (Wire::Iscsi, Some(front)) => open.extend(front.open_at(*endpoint)),
            _ => open.extend(context.resp.open_at(*endpoint)),
        }
    }
    open
}

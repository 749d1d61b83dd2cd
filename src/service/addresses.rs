//! Virtual router addresses on this machine: follows the VRRP state machines, opens and retires the fronts'
//! endpoints, and checks the conditions that lower the routers' priorities.
//!
//! The decisions are made elsewhere: `vrrp` decides which machine has an address, `handover` what happens to
//! requests.

use crate::core::Core;
use crate::front::{iscsi, resp, Front};
use crate::handover::{AddressAction, Duty, Event, Handover};
use crate::process::resident_memory;
use crate::tokens::{Kind, Tokens};
use crate::vrrp::address::{address_takeover, AddressTakeover, Progress, POLL_INTERVAL};
use crate::vrrp::machine::{Role, Transition};
use crate::vrrp::report::{ServiceStatus, Snapshot};
use crate::vrrp::settings::Settings;
use crate::vrrp::speaker::Driver;
use crate::vrrp::track::Condition;
use mio::{Registry, Token};
use std::time::{Duration, Instant};

/// Name of the report in `INFO`.
pub const REPORT: &str = "vrrp";

/// The parts of the loop that the addresses work with.
pub struct LoopContext<'a> {
    pub registry: &'a Registry,
    pub core: &'a mut Core,
    pub resp: &'a mut Front<resp::Resp>,
    pub iscsi: Option<&'a mut Front<iscsi::Target>>,
    pub tokens: &'a mut Tokens,
}

/// Protocol of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    Resp,
    Iscsi,
}

/// State of the loop that the tracking conditions depend on.
pub struct Conditions {
    /// When the last message from discovery arrived.
    pub discovery: Option<Instant>,
    pub ready_nodes: usize,
    /// All descriptors for clients are in use.
    pub descriptors_used_up: bool,
    /// Memory limit of the process in bytes.
    pub memory: usize,
}

/// One virtual router address on this machine.
struct ServedAddress {
    address: Box<dyn AddressTakeover>,
    /// Endpoints of the fronts, in the order of the address's listeners.
    endpoints: Vec<(Wire, usize)>,
    /// A take or release of the address is not complete.
    pending: bool,
    failing: bool,
}

/// All virtual router addresses that this machine shares with others.
pub struct Addresses {
    settings: Settings,
    driver: Driver,
    handover: Handover,
    addresses: Vec<ServedAddress>,
    started: Instant,
    next_check: Instant,
    /// When to continue with pending addresses and retired endpoints.
    next_progress: Option<Instant>,
    /// The longest iteration of the loop since the last check.
    longest_iteration: Duration,
}

impl Addresses {
    /// Binds the interfaces and starts the routers; `finish` is the longest time that a request may last.
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
            let address = address_takeover(&settings.takeover, &service.router, listen);
            addresses.push(ServedAddress { address, endpoints, pending: false, failing: false });
        }
        let (routers, rules) = (settings.routers(), &settings.tracking.rules);
        let driver = Driver::start(&settings.interfaces, routers, rules, interfaces, context.registry, now)?;
        let handover = Handover::new(addresses.len(), finish);
        let (next_check, longest_iteration) = (now, Duration::ZERO);
        Ok(Addresses {
            settings,
            driver,
            handover,
            addresses,
            started: now,
            next_check,
            next_progress: None,
            longest_iteration,
        })
    }

    /// Advertisements arrived on an interface, given by its position.
    pub fn ready(&mut self, interface: usize) {
        self.driver.set_readable(interface);
    }

    /// When [`Addresses::run`] or [`Addresses::check_conditions`] is due next.
    pub fn next_timer(&self, now: Instant) -> Instant {
        let next = self.driver.next_timer(now).map_or(self.next_check, |at| at.min(self.next_check));
        self.next_progress.map_or(next, |at| at.min(next))
    }

    /// Runs the routers, first in each iteration of the loop: a process that was suspended learns here, before it
    /// receives or sends anything else, that another machine may serve its addresses.
    pub fn run(&mut self, now: Instant, context: &mut LoopContext) {
        let changes = self.driver.poll(now);
        self.apply_transitions(now, changes, context);
        if self.next_progress.is_some_and(|at| at <= now) {
            self.progress_addresses(now, context);
        }
    }

    /// Records the duration of an iteration of the loop, or its delay.
    pub fn record_iteration(&mut self, took: Duration) {
        self.longest_iteration = self.longest_iteration.max(took);
    }

    /// Checks the tracking conditions, if that is due.
    pub fn check_conditions(
        &mut self,
        now: Instant,
        conditions: impl FnOnce() -> Conditions,
        context: &mut LoopContext,
    ) {
        if self.next_check > now {
            return;
        }
        self.next_check = now + self.settings.tracking.check_interval;
        let (conditions, longest_iteration) = (conditions(), std::mem::take(&mut self.longest_iteration));
        let tracking = self.settings.tracking.clone();
        for rule in &tracking.rules {
            let holds = match rule.condition {
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
            let changes = self.driver.record_check(now, rule.condition, holds);
            self.apply_transitions(now, changes, context);
        }
        self.report(now, context);
    }

    /// Applies a changed file, as far as that needs no restart.
    pub fn reconfigure(&mut self, now: Instant, new: Settings, context: &mut LoopContext) {
        for what in self.settings.changes_needing_restart(&new) {
            tracing::warn!("a change of {what} in the VRRP file needs a restart");
        }
        let changes = self.driver.reconfigure(now, &new.routers(), &new.tracking.rules);
        for (old, new) in self.settings.services.iter_mut().zip(&new.services) {
            if old.router.vrid == new.router.vrid {
                old.router.priority = new.router.priority;
            }
        }
        self.settings.tracking = new.tracking;
        self.apply_transitions(now, changes, context);
    }

    /// Resigns from all routers before the process ends; accepted requests are finished.
    pub fn resign(&mut self, now: Instant, context: &mut LoopContext) {
        let changes = self.driver.shut_down(now);
        self.apply_transitions(now, changes, context);
    }

    /// Whether no take or release of an address is pending.
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
        let action = self.handover.step(self.driver.since_start(now), router, event);
        let served = &mut self.addresses[router];
        match action {
            None => {}
            Some(AddressAction::Acquire) => {
                served.address.acquire(now);
                served.pending = true;
            }
            Some(AddressAction::Release) => {
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
            Some(AddressAction::Abort) => {
                for request in open_requests_at(&served.endpoints, context) {
                    context.core.terminate(request);
                }
            }
        }
    }

    /// Continues with addresses that are being taken or released, and with retired endpoints.
    fn progress_addresses(&mut self, now: Instant, context: &mut LoopContext) {
        for router in 0..self.addresses.len() {
            let served = &mut self.addresses[router];
            if served.pending {
                match served.address.poll(now) {
                    Progress::Pending => {}
                    // Guards the priority: an address that has been released does not count as failing.
                    Progress::Released => (served.pending, served.failing) = (false, false),
                    Progress::Failed(why) => {
                        if !std::mem::replace(&mut served.failing, true) {
                            tracing::warn!("failed to take an address, retrying: {why}");
                        }
                    }
                    Progress::Acquired(listeners) => {
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
                                tracing::error!("failed to register a listener: {error}");
                            }
                        }
                        self.step(now, router, Event::Opened, context);
                    }
                }
            }
            if matches!(self.handover.duty(router), Duty::Retired { .. }) {
                let open = open_requests_at(&self.addresses[router].endpoints, context).len();
                self.step(now, router, Event::Polled { open }, context);
            }
        }
        let retiring = |router| matches!(self.handover.duty(router), Duty::Retired { .. });
        let busy = (0..self.addresses.len()).any(|router| self.addresses[router].pending || retiring(router));
        self.next_progress = busy.then_some(now + POLL_INTERVAL);
    }

    fn report(&mut self, now: Instant, context: &mut LoopContext) {
        let served_by = |router: usize| ServiceStatus {
            duty: self.handover.duty(router).name(),
            open_requests: open_requests_at(&self.addresses[router].endpoints, context).len(),
        };
        let snapshot = Snapshot::take(&self.driver, now, self.settings.share, served_by);
        context.core.set_report(REPORT, snapshot.lines(), snapshot.json());
    }
}

/// Open requests that arrived at these endpoints.
fn open_requests_at(endpoints: &[(Wire, usize)], context: &LoopContext) -> Vec<crate::interface::RequestId> {
    let mut open = Vec::new();
    for (wire, endpoint) in endpoints {
        match (wire, &context.iscsi) {
            (Wire::Iscsi, Some(front)) => open.extend(front.open_requests_at(*endpoint)),
            _ => open.extend(context.resp.open_requests_at(*endpoint)),
        }
    }
    open
}

//! The addresses that move between machines, as one initiator serves them: follows its virtual routers, opens and
//! retires its fronts' endpoints, and looks at what lowers its priorities.
//!
//! The decisions are elsewhere: `vrrp` says whose an address is, `handover` what becomes of items.

use crate::core::Core;
use crate::front::{iscsi, resp, Front};
use crate::handover::{AddressAction, Duty, Event, Handover};
use crate::process::resident;
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
pub struct Lent<'a> {
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
pub struct Seen {
    /// When discovery said something last.
    pub discovery: Option<Instant>,
    pub ready_nodes: usize,
    /// Descriptors for clients are used up.
    pub crowded: bool,
    /// Bytes that the process may use.
    pub memory: usize,
}

/// One address on this machine.
struct Place {
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
    places: Vec<Place>,
    started: Instant,
    next_look: Instant,
    /// When addresses, and duties that end, are turned to again.
    next_turn: Option<Instant>,
    /// The slowest turn of the loop since the last look.
    slowest: Duration,
}

impl Addresses {
    /// Binds the interfaces and starts the routers; `finish` is the longest that an item may last.
    pub fn start(
        settings: Settings,
        finish: Duration,
        interfaces: impl IntoIterator<Item = Token>,
        lent: &mut Lent,
        now: Instant,
    ) -> Result<Self, String> {
        let mut places = Vec::new();
        for service in &settings.services {
            let owner = service.router.priority == crate::vrrp::packet::PRIORITY_OWNER;
            let taken = service.accept || owner;
            let (mut listen, mut endpoints) = (Vec::new(), Vec::new());
            if let Some(at) = service.listen.filter(|_| taken) {
                listen.push(at);
                endpoints.push((Wire::Resp, lent.resp.add_endpoint()));
            }
            if let Some(at) = service.listen_iscsi.filter(|_| taken) {
                let front = lent.iscsi.as_mut().ok_or_else(|| {
                    format!("router {:?}: listen_iscsi: the second front is off", service.router.name)
                })?;
                listen.push(at);
                endpoints.push((Wire::Iscsi, front.add_endpoint()));
            }
            let address = address(&settings.means, &service.router, listen);
            places.push(Place { address, endpoints, pending: false, failing: false });
        }
        let (routers, rules) = (settings.routers(), &settings.tracking.rules);
        let speaker = Speaker::start(&settings.interfaces, routers, rules, interfaces, lent.registry, now)?;
        let handover = Handover::new(places.len(), finish);
        let (next_look, slowest) = (now, Duration::ZERO);
        Ok(Addresses {
            settings,
            speaker,
            handover,
            places,
            started: now,
            next_look,
            next_turn: None,
            slowest,
        })
    }

    /// Advertisements came on an interface, by position.
    pub fn ready(&mut self, interface: usize) {
        self.speaker.ready(interface);
    }

    /// When [`Addresses::turn`] or [`Addresses::look`] has something to do.
    pub fn next_timer(&self, now: Instant) -> Instant {
        let next = self.speaker.next_timer(now).map_or(self.next_look, |at| at.min(self.next_look));
        self.next_turn.map_or(next, |at| at.min(next))
    }

    /// What comes first in each turn of the loop: a process that was stopped learns here, before it takes or sends
    /// anything, that another may serve its addresses.
    pub fn turn(&mut self, now: Instant, lent: &mut Lent) {
        let changes = self.speaker.turn(now);
        self.follow(now, changes, lent);
        if self.next_turn.is_some_and(|at| at <= now) {
            self.turn_to_places(now, lent);
        }
    }

    /// The time that a turn of the loop took, or came late.
    pub fn turned(&mut self, took: Duration) {
        self.slowest = self.slowest.max(took);
    }

    /// Looks at the conditions when that is due.
    pub fn look(&mut self, now: Instant, seen: impl FnOnce() -> Seen, lent: &mut Lent) {
        if self.next_look > now {
            return;
        }
        self.next_look = now + self.settings.tracking.every;
        let (seen, slowest) = (seen(), std::mem::take(&mut self.slowest));
        let tracking = self.settings.tracking.clone();
        for rule in &tracking.rules {
            let found = match rule.condition {
                Condition::DiscoverySilent => {
                    now - seen.discovery.unwrap_or(self.started) > tracking.discovery_silent
                }
                Condition::NoReadyNode => seen.ready_nodes == 0,
                Condition::LoopLate => slowest > tracking.loop_late,
                Condition::Descriptors => seen.crowded,
                Condition::Memory => resident(std::process::id())
                    .is_some_and(|used| used > seen.memory / 100 * usize::from(tracking.memory_percent)),
                Condition::File => tracking.file.as_ref().is_some_and(|file| file.exists()),
                Condition::Address => self.places.iter().any(|place| place.failing),
            };
            let changes = self.speaker.look(now, rule.condition, found);
            self.follow(now, changes, lent);
        }
        self.report(now, lent);
    }

    /// Goes by another file as far as that needs no restart.
    pub fn change(&mut self, now: Instant, new: Settings, lent: &mut Lent) {
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
        self.follow(now, changes, lent);
    }

    /// The process is to end: the routers resign, and what was taken is finished.
    pub fn end_soon(&mut self, now: Instant, lent: &mut Lent) {
        let changes = self.speaker.shut_down(now);
        self.follow(now, changes, lent);
    }

    /// Whether all addresses are let go.
    pub fn is_idle(&self) -> bool {
        self.places.iter().all(|place| !place.pending)
    }

    fn follow(&mut self, now: Instant, changes: Vec<(usize, Transition)>, lent: &mut Lent) {
        if changes.is_empty() {
            return;
        }
        for (router, transition) in changes {
            let event = match (transition.from, transition.to) {
                (_, Role::Active) => Event::Granted,
                (Role::Active, _) => Event::Withdrawn,
                _ => continue,
            };
            self.step(now, router, event, lent);
        }
        self.turn_to_places(now, lent);
        self.report(now, lent);
    }

    fn step(&mut self, now: Instant, router: usize, event: Event, lent: &mut Lent) {
        let order = self.handover.step(self.speaker.scale(now), router, event);
        let place = &mut self.places[router];
        match order {
            None => {}
            Some(AddressAction::Acquire) => {
                place.address.take(now);
                place.pending = true;
            }
            Some(AddressAction::Release) => {
                for (wire, endpoint) in &place.endpoints {
                    match (wire, &mut lent.iscsi) {
                        (Wire::Iscsi, Some(front)) => {
                            let next = || lent.tokens.next(Kind::IscsiClient);
                            front.retire_endpoint(*endpoint, lent.registry, next, now);
                        }
                        _ => {
                            let next = || lent.tokens.next(Kind::RespClient);
                            lent.resp.retire_endpoint(*endpoint, lent.registry, next, now);
                        }
                    }
                }
                place.address.release(now);
                (place.pending, place.failing) = (true, false);
            }
            Some(AddressAction::Abort) => {
                for request in open_at(&place.endpoints, lent) {
                    lent.core.terminate(request);
                }
            }
        }
    }

    /// Goes on with addresses that come or go, and with duties that end.
    fn turn_to_places(&mut self, now: Instant, lent: &mut Lent) {
        for router in 0..self.places.len() {
            let place = &mut self.places[router];
            if place.pending {
                match place.address.turn(now) {
                    Progress::Pending => {}
                    // Guards the priority against an address that nobody wants any more.
                    Progress::Gone => (place.pending, place.failing) = (false, false),
                    Progress::Failing(why) => {
                        if !std::mem::replace(&mut place.failing, true) {
                            tracing::warn!("an address cannot be had, and is tried on: {why}");
                        }
                    }
                    Progress::Here(listeners) => {
                        (place.pending, place.failing) = (false, false);
                        let endpoints = place.endpoints.clone();
                        for ((wire, endpoint), listener) in endpoints.into_iter().zip(listeners) {
                            let kind =
                                if wire == Wire::Resp { Kind::RespListener } else { Kind::IscsiListener };
                            let token = lent.tokens.next(kind);
                            let opened = match (wire, &mut lent.iscsi) {
                                (Wire::Iscsi, Some(front)) => {
                                    front.open_endpoint(endpoint, listener, token, lent.registry, now)
                                }
                                _ => lent.resp.open_endpoint(endpoint, listener, token, lent.registry, now),
                            };
                            if let Err(error) = opened {
                                tracing::error!("a listener cannot be watched: {error}");
                            }
                        }
                        self.step(now, router, Event::Opened, lent);
                    }
                }
            }
            if matches!(self.handover.duty(router), Duty::Retired { .. }) {
                let open = open_at(&self.places[router].endpoints, lent).len();
                self.step(now, router, Event::Polled { open }, lent);
            }
        }
        let finishes = |router| matches!(self.handover.duty(router), Duty::Retired { .. });
        let busy = (0..self.places.len()).any(|router| self.places[router].pending || finishes(router));
        self.next_turn = busy.then_some(now + PAUSE);
    }

    fn report(&mut self, now: Instant, lent: &mut Lent) {
        let served = |router: usize| Served {
            duty: self.handover.duty(router).name(),
            open_requests: open_at(&self.places[router].endpoints, lent).len(),
        };
        let snapshot = Snapshot::take(&self.speaker, now, self.settings.share, served);
        lent.core.set_report(REPORT, snapshot.lines(), snapshot.json());
    }
}

/// Requests open that came in by these endpoints.
fn open_at(endpoints: &[(Wire, usize)], lent: &Lent) -> Vec<crate::interface::RequestId> {
    let mut open = Vec::new();
    for (wire, endpoint) in endpoints {
        match (wire, &lent.iscsi) {
            (Wire::Iscsi, Some(front)) => open.extend(front.open_at(*endpoint)),
            _ => open.extend(lent.resp.open_at(*endpoint)),
        }
    }
    open
}

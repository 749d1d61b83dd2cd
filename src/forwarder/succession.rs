//! One process of this initiator takes the place of another: what it gives, what it hears, and how it ends.

use super::budget::{connection_budget, holds, LONG_PART};
use super::{Forwarder, ADMIN_LISTENER, ISCSI_LISTENER, LISTENER};
use crate::fleet::speaker::{Speaker, REPORT};
use crate::front::Front;
use crate::service::addresses::Addresses;
use crate::tokens::Kind;
use crate::upgrade::frame::{Carried, Place};
use crate::upgrade::Heard;
use std::time::{Duration, Instant};

/// After SIGTERM new connections go on arriving for a while, and are served.
const LINGER: Duration = Duration::from_millis(450);
/// After SIGTERM clients go on using the connections they have. The platform leaves the longest deadline, of which
/// no more than this counts, and 700 ms more before it kills.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// From the end of that time on: nothing new is taken, what is open is answered by then, and the process ends
/// whoever still does not read. Most requests take less than what is left for those that come last.
const SERVED_AFTER: Duration = Duration::from_millis(250);
const ANSWERED_AFTER: Duration = Duration::from_millis(450);
const ENDED_AFTER: Duration = Duration::from_millis(550);

impl Forwarder {
    /// The process that takes the place of this one gets what became idle; what others say is heard.
    pub(super) fn hand_over(&mut self, now: Instant) {
        let (clients, targets) = (self.resp.len(), self.targets.len());
        let heard =
            self.upgrade.turn(now, self.poll.registry(), &mut self.tokens, || holds(clients, targets));
        self.hear(now, heard);
        if self.state.is_replaced() {
            let upgrade = &mut self.upgrade;
            self.resp.hand_over(self.poll.registry(), |client| match client {
                None => upgrade.room_for_clients(),
                Some((stream, input)) => {
                    upgrade.give_client(stream, input);
                    true
                }
            });
        }
    }

    /// Carries out what other processes of this initiator say.
    pub(super) fn hear(&mut self, now: Instant, heard: Vec<Heard>) {
        for heard in heard {
            match heard {
                Heard::Asked(peer) => self.give_listeners(peer),
                Heard::Take { peer, admin } => self.give_way(now, peer, admin),
                Heard::Client(stream, input) => {
                    let token = self.tokens.next(Kind::RespClient);
                    let (registry, core) = (self.poll.registry(), &mut self.core);
                    core.counters.clients_taken_over += 1;
                    self.resp.take_over(now, (stream, input), token, registry, core);
                }
                Heard::Ban { name, unix, out } => {
                    if let Err(why) = self.ban(now, unix, &name, out) {
                        tracing::warn!("{name}, as the other process was told: {why}");
                    }
                }
                Heard::Holds(descriptors, bytes) => {
                    self.held = (descriptors, bytes);
                    self.divide();
                }
                Heard::OlderGone => {
                    tracing::info!("the process before is gone");
                    self.held = (0, 0);
                    self.divide();
                    self.planner.take_all(now);
                }
                Heard::NewerGone if self.state.ending().is_none() => {
                    tracing::error!("the process that took over died: this one takes clients again");
                    self.state.take_back();
                    self.accept_newcomers(now, true);
                    if let Some(own) = self.admin.as_mut().filter(|_| std::mem::take(&mut self.admin_given)) {
                        own.accept_callers(true, ADMIN_LISTENER, self.poll.registry());
                    }
                    self.planner.take_all(now);
                    // What it promised may be out of date: it comes again as another life.
                    self.fleet_again = self.config.fleet.is_some().then_some(now);
                    self.publish_service_state();
                    self.upgrade.listen(self.poll.registry());
                }
                Heard::NewerGone => {}
            }
        }
    }

    fn give_listeners(&mut self, peer: usize) {
        let resp = self.resp.listener().map(|listener| (Place::Resp(self.config.listen), listener));
        let iscsi = self.config.iscsi.as_ref().zip(self.iscsi.as_ref().and_then(Front::listener));
        let iscsi = iscsi.map(|(offered, listener)| (Place::Iscsi(offered.listen), listener));
        let admin = self.config.control.zip(self.admin.as_ref());
        let admin = admin.map(|(address, admin)| (Place::Control(address), admin.listener()));
        self.upgrade.give_listeners(peer, [resp, iscsi, admin].into_iter().flatten().collect());
    }

    /// Another process takes the place of this one.
    fn give_way(&mut self, now: Instant, peer: usize, admin: bool) {
        let (planner, nodes, targets) = (&mut self.planner, &self.nodes, &mut self.targets);
        let (fleet, again) = (&mut self.fleet, &mut self.fleet_again);
        let (drained, list, clients) = (self.state.is_drained(), self.discovery.version(), self.resp.len());
        let given = self.upgrade.give_state(peer, || {
            // The other one needs the descriptors.
            targets.close_all_idle();
            let holds = holds(clients, targets.len());
            let scheduler = Some(planner.hand_over(now));
            *again = None;
            let fleet = fleet.take().map(Speaker::hand_over);
            Carried { drained, nodes: nodes.save(now), list, scheduler, holds, fleet }
        });
        if given {
            tracing::info!("another process takes over");
            if self.config.fleet.is_some() {
                self.core.set_report(REPORT, String::new(), r#"{"phase":"handed over"}"#.into());
            }
            self.accept_newcomers(now, false);
            if let Some(own) = self.admin.as_mut().filter(|_| admin) {
                own.accept_callers(false, ADMIN_LISTENER, self.poll.registry());
                self.admin_given = true;
            }
            self.state.replace(now);
            self.publish_service_state();
        }
    }

    pub(super) fn accept_newcomers(&mut self, now: Instant, yes: bool) {
        let registry = self.poll.registry();
        self.resp.accept_newcomers(yes, LISTENER, registry, now);
        if let Some(front) = &mut self.iscsi {
            front.accept_newcomers(yes, ISCSI_LISTENER, registry, now);
        }
    }

    /// Goes by what the process before leaves of the limits.
    pub(super) fn divide(&mut self) {
        let (for_targets, room) = connection_budget(&self.config, self.held);
        self.targets.set_most(for_targets);
        self.budget.resize(self.config.memory.saturating_sub(self.held.1) / LONG_PART);
        self.resp.set_room(room);
    }

    /// Comes nearer to the end; true once it is reached. A client whose connection is closed early has nobody else
    /// to ask, so that all are served for as long as the platform lets them be.
    pub(super) fn shut_down(&mut self, now: Instant, asked: Duration) -> bool {
        let longest = self.longest_deadline().min(LONGEST_COUNTED);
        let clients = self.resp.len() + self.iscsi.as_ref().map_or(0, Front::len);
        // Whoever comes now comes to the process that took over.
        if (asked < LINGER && !self.state.is_replaced()) || (asked < longest + SERVED_AFTER && clients > 0) {
            return false;
        }
        if asked >= longest + ANSWERED_AFTER {
            // Guards against being killed with requests that have no answer.
            self.core.terminate_all();
        }
        self.plan(now);
        let iscsi = self.iscsi.as_mut().is_none_or(|front| front.shut_down(now, &mut self.core));
        let resp = self.resp.shut_down(now, &mut self.core);
        self.plan(now);
        let let_go = self.addresses.as_ref().is_none_or(Addresses::is_idle);
        (iscsi && resp && let_go && self.core.open_requests() == 0) || asked >= longest + ENDED_AFTER
    }
}

//! One process of this initiator takes the place of another: what it gives, what it hears, and how it ends.

use super::budget::{connection_budget, resource_usage, LONG_VALUE_MEMORY_DIVISOR};
use super::{Forwarder, ADMIN_LISTENER, ISCSI_LISTENER, LISTENER};
use crate::fleet::speaker::{Speaker, REPORT};
use crate::front::Front;
use crate::service::addresses::Addresses;
use crate::tokens::Kind;
use crate::upgrade::frame::{HandoverState, ListenerAddress};
use crate::upgrade::UpgradeEvent;
use std::time::{Duration, Instant};

/// After SIGTERM new connections go on arriving for a while, and are served.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(450);
/// After SIGTERM clients go on using the connections they have. The platform leaves the longest deadline, of which
/// no more than this counts, and 700 ms more before it kills.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// From the end of that time on: nothing new is taken, what is open is answered by then, and the process ends
/// whoever still does not read. Most requests take less than what is left for those that come last.
const STOP_ACCEPTING_AFTER: Duration = Duration::from_millis(250);
const ANSWER_ALL_AFTER: Duration = Duration::from_millis(450);
const EXIT_AFTER: Duration = Duration::from_millis(550);

impl Forwarder {
    /// The process that takes the place of this one gets what became idle; what others say is heard.
    pub(super) fn run_upgrade(&mut self, now: Instant) {
        let (clients, targets) = (self.resp.len(), self.targets.len());
        let heard = self
            .upgrade
            .turn(now, self.poll.registry(), &mut self.tokens, || resource_usage(clients, targets));
        self.handle_upgrade_events(now, heard);
        if self.state.is_replaced() {
            let upgrade = &mut self.upgrade;
            self.resp.hand_over(self.poll.registry(), |client| match client {
                None => upgrade.can_send_client(),
                Some((stream, input)) => {
                    upgrade.send_client(stream, input);
                    true
                }
            });
        }
    }

    /// Carries out what other processes of this initiator say.
    pub(super) fn handle_upgrade_events(&mut self, now: Instant, heard: Vec<UpgradeEvent>) {
        for heard in heard {
            match heard {
                UpgradeEvent::ListenersRequested(peer) => self.send_listeners(peer),
                UpgradeEvent::TakeOver { peer, admin } => self.hand_over_to(now, peer, admin),
                UpgradeEvent::Client(stream, input) => {
                    let token = self.tokens.next(Kind::RespClient);
                    let (registry, core) = (self.poll.registry(), &mut self.core);
                    core.counters.clients_taken_over += 1;
                    self.resp.take_over(now, (stream, input), token, registry, core);
                }
                UpgradeEvent::Ban { name, unix, out } => {
                    if let Err(why) = self.ban(now, unix, &name, out) {
                        tracing::warn!("{name}, as the other process was told: {why}");
                    }
                }
                UpgradeEvent::Usage(descriptors, bytes) => {
                    self.predecessor_usage = (descriptors, bytes);
                    self.apply_connection_budget();
                }
                UpgradeEvent::PredecessorGone => {
                    tracing::info!("the process before is gone");
                    self.predecessor_usage = (0, 0);
                    self.apply_connection_budget();
                    self.planner.take_all(now);
                }
                UpgradeEvent::SuccessorGone if self.state.ending().is_none() => {
                    tracing::error!("the process that took over died: this one takes clients again");
                    self.state.undo_replace();
                    self.accept_clients(now, true);
                    if let Some(own) =
                        self.admin.as_mut().filter(|_| std::mem::take(&mut self.admin_handed_over))
                    {
                        own.accept_callers(true, ADMIN_LISTENER, self.poll.registry());
                    }
                    self.planner.take_all(now);
                    // What it promised may be out of date: it comes again as another life.
                    self.rejoin_fleet_at = self.config.fleet.is_some().then_some(now);
                    self.publish_service_state();
                    self.upgrade.listen(self.poll.registry());
                }
                UpgradeEvent::SuccessorGone => {}
            }
        }
    }

    fn send_listeners(&mut self, peer: usize) {
        let resp = self.resp.listener().map(|listener| (ListenerAddress::Resp(self.config.listen), listener));
        let iscsi = self.config.iscsi.as_ref().zip(self.iscsi.as_ref().and_then(Front::listener));
        let iscsi = iscsi.map(|(offered, listener)| (ListenerAddress::Iscsi(offered.listen), listener));
        let admin = self.config.control.zip(self.admin.as_ref());
        let admin = admin.map(|(address, admin)| (ListenerAddress::Control(address), admin.listener()));
        self.upgrade.send_listeners(peer, [resp, iscsi, admin].into_iter().flatten().collect());
    }

    /// Another process takes the place of this one.
    fn hand_over_to(&mut self, now: Instant, peer: usize, admin: bool) {
        let (planner, nodes, targets) = (&mut self.planner, &self.nodes, &mut self.targets);
        let (fleet, again) = (&mut self.fleet, &mut self.rejoin_fleet_at);
        let (drained, list, clients) = (self.state.is_drained(), self.discovery.version(), self.resp.len());
        let given = self.upgrade.send_state(peer, || {
            // The other one needs the descriptors.
            targets.close_all_idle();
            let usage = resource_usage(clients, targets.len());
            let scheduler = Some(planner.hand_over(now));
            *again = None;
            let fleet = fleet.take().map(Speaker::hand_over);
            HandoverState { drained, nodes: nodes.carry(now), list, scheduler, usage, fleet }
        });
        if given {
            tracing::info!("another process takes over");
            if self.config.fleet.is_some() {
                self.core.set_report(REPORT, String::new(), r#"{"phase":"handed over"}"#.into());
            }
            self.accept_clients(now, false);
            if let Some(own) = self.admin.as_mut().filter(|_| admin) {
                own.accept_callers(false, ADMIN_LISTENER, self.poll.registry());
                self.admin_handed_over = true;
            }
            self.state.replace(now);
            self.publish_service_state();
        }
    }

    pub(super) fn accept_clients(&mut self, now: Instant, yes: bool) {
        let registry = self.poll.registry();
        self.resp.accept_newcomers(yes, LISTENER, registry, now);
        if let Some(front) = &mut self.iscsi {
            front.accept_newcomers(yes, ISCSI_LISTENER, registry, now);
        }
    }

    /// Goes by what the process before leaves of the limits.
    pub(super) fn apply_connection_budget(&mut self) {
        let (for_targets, room) = connection_budget(&self.config, self.predecessor_usage);
        self.targets.set_max_connections(for_targets);
        self.budget
            .resize(self.config.memory.saturating_sub(self.predecessor_usage.1) / LONG_VALUE_MEMORY_DIVISOR);
        self.resp.set_room(room);
    }

    /// Comes nearer to the end; true once it is reached. A client whose connection is closed early has nobody else
    /// to ask, so that all are served for as long as the platform lets them be.
    pub(super) fn shut_down(&mut self, now: Instant, asked: Duration) -> bool {
        let longest = self.longest_deadline().min(MAX_COUNTED_DEADLINE);
        let clients = self.resp.len() + self.iscsi.as_ref().map_or(0, Front::len);
        // Whoever comes now comes to the process that took over.
        if (asked < ACCEPT_AFTER_SIGTERM && !self.state.is_replaced())
            || (asked < longest + STOP_ACCEPTING_AFTER && clients > 0)
        {
            return false;
        }
        if asked >= longest + ANSWER_ALL_AFTER {
            // Guards against being killed with requests that have no answer.
            self.core.end_all();
        }
        self.run_planner(now);
        let iscsi = self.iscsi.as_mut().is_none_or(|front| front.shut_down(now, &mut self.core));
        let resp = self.resp.shut_down(now, &mut self.core);
        self.run_planner(now);
        let released = self.addresses.as_ref().is_none_or(Addresses::all_released);
        (iscsi && resp && released && self.core.open_requests() == 0) || asked >= longest + EXIT_AFTER
    }
}

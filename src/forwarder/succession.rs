//! Hot upgrade and shutdown, as seen from the loop: hands clients and state to a successor, and ends the process.

use super::budget::{connection_budget, memory_limits, resource_usage};
use super::{Forwarder, ADMIN_LISTENER, ISCSI_LISTENER, LISTENER};
use crate::fleet::speaker::{Driver, REPORT};
use crate::front::Front;
use crate::service::addresses::Addresses;
use crate::tokens::Kind;
use crate::upgrade::frame::{HandoverState, ListenerAddress};
use crate::upgrade::UpgradeEvent;
use std::time::{Duration, Instant};

/// New connections keep arriving for a while after SIGTERM, and are served.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(450);
/// After SIGTERM clients keep using their open connections. The platform waits for the longest deadline, of which at
/// most this much counts, and another 700 ms before it kills the process.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Times after the counted deadline: when to stop accepting work, when all open requests are answered, when clients are no
/// longer kept for the successor, and when the process exits even if clients have not read their answers. The time
/// between the first two is enough for most of the requests that arrive last.
const STOP_ACCEPTING_AFTER: Duration = Duration::from_millis(250);
const ANSWER_ALL_AFTER: Duration = Duration::from_millis(450);
const HAND_OVER_UNTIL: Duration = Duration::from_millis(500);
const EXIT_AFTER: Duration = Duration::from_millis(550);

impl Forwarder {
    /// Handles messages of other processes, and hands idle clients to the successor.
    pub(super) fn run_upgrade(&mut self, now: Instant) {
        let (clients, targets) = (self.resp.connection_count(), self.targets.len());
        let events = self
            .upgrade
            .run(now, self.poll.registry(), &mut self.tokens, || resource_usage(clients, targets));
        self.handle_upgrade_events(now, events);
        if self.state.is_replaced() {
            let upgrade = &mut self.upgrade;
            self.resp.hand_over_idle_clients(self.poll.registry(), |client| match client {
                None => upgrade.can_send_client(),
                Some((stream, input)) => {
                    upgrade.send_client(stream, input);
                    true
                }
            });
        }
    }

    /// Handles the events of the upgrade protocol.
    pub(super) fn handle_upgrade_events(&mut self, now: Instant, events: Vec<UpgradeEvent>) {
        for event in events {
            match event {
                UpgradeEvent::ListenersRequested(peer) => self.send_listeners(peer),
                UpgradeEvent::TakeOver { peer, admin_listener } => {
                    self.hand_over_to(now, peer, admin_listener)
                }
                UpgradeEvent::Client(stream, input) => {
                    let token = self.tokens.next(Kind::RespClient);
                    let (registry, core) = (self.poll.registry(), &mut self.core);
                    core.counters.clients_taken_over += 1;
                    self.resp.adopt_client(now, (stream, input), token, registry, core);
                }
                UpgradeEvent::Ban { name, unix, out } => {
                    if let Err(why) = self.ban(now, unix, &name, out) {
                        tracing::warn!(
                            "the other process reported a change of {name}, which failed here: {why}"
                        );
                    }
                }
                UpgradeEvent::Usage(descriptors, bytes) => {
                    self.predecessor_usage = (descriptors, bytes);
                    self.apply_connection_budget();
                }
                UpgradeEvent::PredecessorGone => {
                    tracing::info!("the predecessor has ended");
                    self.predecessor_usage = (0, 0);
                    self.apply_connection_budget();
                    self.planner.take_all(now);
                }
                UpgradeEvent::SuccessorGone if self.state.ending().is_none() => {
                    tracing::error!("the successor died: this process takes clients again");
                    self.state.undo_replace();
                    self.accept_clients(now, true);
                    if let Some(own) =
                        self.admin.as_mut().filter(|_| std::mem::take(&mut self.admin_handed_over))
                    {
                        own.accept_callers(true, ADMIN_LISTENER, self.poll.registry());
                    }
                    self.planner.take_all(now);
                    // The fleet state in this process may be out of date, so it joins again as a new generation.
                    self.rejoin_fleet_at = self.config.fleet.is_some().then_some(now);
                    self.publish_service_state();
                    self.upgrade.listen(self.poll.registry());
                }
                UpgradeEvent::SuccessorGone => {
                    // Nobody is left to hand clients over to: they are served as long as this process lasts.
                    self.state.undo_replace();
                    self.publish_service_state();
                }
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

    /// Hands over to the successor.
    fn hand_over_to(&mut self, now: Instant, peer: usize, admin_listener: bool) {
        let (planner, nodes, targets) = (&mut self.planner, &self.nodes, &mut self.targets);
        let (fleet, rejoin_at) = (&mut self.fleet, &mut self.rejoin_fleet_at);
        let (drained, list, clients) =
            (self.state.is_drained(), self.discovery.version(), self.resp.connection_count());
        let handed_over = self.upgrade.send_state(peer, || {
            // The successor needs the descriptors.
            targets.close_all_idle();
            let usage = resource_usage(clients, targets.len());
            let scheduler = Some(planner.hand_over(now));
            *rejoin_at = None;
            let fleet = fleet.take().map(Driver::hand_over);
            HandoverState { drained, nodes: nodes.save(now), list, scheduler, usage, fleet }
        });
        if handed_over {
            tracing::info!("a successor takes over");
            if self.config.fleet.is_some() {
                self.core.set_report(REPORT, String::new(), r#"{"phase":"handed over"}"#.into());
            }
            self.accept_clients(now, false);
            if let Some(own) = self.admin.as_mut().filter(|_| admin_listener) {
                own.accept_callers(false, ADMIN_LISTENER, self.poll.registry());
                self.admin_handed_over = true;
            }
            self.state.replace(now);
            self.publish_service_state();
        }
    }

    pub(super) fn accept_clients(&mut self, now: Instant, accept: bool) {
        let registry = self.poll.registry();
        self.resp.set_accepting(accept, LISTENER, registry, now);
        if let Some(front) = &mut self.iscsi {
            front.set_accepting(accept, ISCSI_LISTENER, registry, now);
        }
    }

    /// Applies what the predecessor leaves of the limits.
    pub(super) fn apply_connection_budget(&mut self) {
        let (for_targets, client_limits) = connection_budget(&self.config, self.predecessor_usage.0);
        self.targets.set_max_connections(for_targets);
        self.budget.set_limits(memory_limits(&self.config, self.predecessor_usage.1));
        self.resp.set_limits(client_limits);
    }

    /// Advances the shutdown; true once the process can exit. A client whose connection is closed early has no other
    /// server to ask, so all clients are served for as long as the platform allows.
    pub(super) fn shut_down(&mut self, now: Instant, elapsed: Duration) -> bool {
        let longest = self.longest_deadline().min(MAX_COUNTED_DEADLINE);
        let clients = self.resp.connection_count() + self.iscsi.as_ref().map_or(0, Front::connection_count);
        // New connections go to the successor.
        if (elapsed < ACCEPT_AFTER_SIGTERM && !self.state.is_replaced())
            || (elapsed < longest + STOP_ACCEPTING_AFTER && clients > 0)
        {
            return false;
        }
        let answer_all = elapsed >= longest + ANSWER_ALL_AFTER;
        if answer_all {
            // Guards against being killed while requests have no answer.
            self.core.terminate_all();
        }
        self.run_planner(now);
        if elapsed >= longest + HAND_OVER_UNTIL {
            // What the successor has not taken by now is finished here.
            self.resp.set_client_policy(self.state.session_policy());
        }
        let iscsi = self.iscsi.as_mut().is_none_or(|front| front.shut_down(now, answer_all, &mut self.core));
        let resp = self.resp.shut_down(now, answer_all, &mut self.core);
        self.run_planner(now);
        let released = self.addresses.as_ref().is_none_or(Addresses::all_released);
        let handed_over = self.upgrade.is_flushed();
        (iscsi && resp && released && handed_over && self.core.open_requests() == 0)
            || elapsed >= longest + EXIT_AFTER
    }
}

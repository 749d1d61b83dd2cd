//! Dispatches the readiness events of one loop iteration in a fixed order.

use super::readiness::{Readiness, Ready};
use super::{
    drain_signal, Forwarder, ADMIN_LISTENER, ADVERTISEMENTS, FLEET, ISCSI_LISTENER, LISTENER, RELOAD, SIGNAL,
    UPGRADE,
};
use crate::fleet;
use crate::tokens::Kind;
use mio::Token;
use std::time::Instant;

impl Forwarder {
    /// Handles readiness events: discovery first, then clients, then nodes. Otherwise an attempt could start on a
    /// connection that has just been established although a drain of its node, or the end of its client, waits to be
    /// read in the same iteration. A process that was suspended finds all of these events at once.
    pub(super) fn gather_all(&mut self, now: Instant, ready: &Readiness) {
        let rank = |token: Token| match Kind::of(token.0) {
            Some(Kind::Discovery) => 0,
            Some(Kind::Target) => 2,
            _ => 1,
        };
        for pass in 0..3 {
            for (token, ready) in ready.iter().filter(|(token, _)| rank(*token) == pass) {
                self.gather(now, token, ready);
            }
            for effect in self.core.drain_effects() {
                self.apply_effect(now, effect);
            }
        }
    }

    pub(super) fn gather(&mut self, now: Instant, token: Token, ready: Ready) {
        match token {
            // Connections are accepted after all events were handled.
            LISTENER => self.resp.connections_pending(),
            ISCSI_LISTENER => {
                if let Some(front) = &mut self.iscsi {
                    front.connections_pending();
                }
            }
            // Handled first in every iteration, by `answer_operators`.
            ADMIN_LISTENER => {}
            UPGRADE => self.upgrade.connections_pending(),
            FLEET => self.fleet.iter_mut().for_each(fleet::speaker::Driver::set_readable),
            token if ADVERTISEMENTS.contains(&token) => {}
            SIGNAL => {
                if drain_signal(&mut self.signal) {
                    tracing::info!("received a signal to end");
                    self.with_addresses(|addresses, context| addresses.resign(now, context));
                    self.fleet.iter_mut().for_each(|fleet| fleet.leave(now));
                    self.rejoin_fleet_at = None;
                    self.state.end(now);
                    self.publish_service_state();
                }
            }
            RELOAD => {
                if drain_signal(&mut self.reload) {
                    self.reload(now);
                }
            }
            Token(id) => match (Kind::of(id), &mut self.iscsi) {
                (Some(Kind::RespClient), _) => match ready {
                    Ready::Writable => self.resp.writable(now, id, &mut self.core),
                    Ready::Readable => self.resp.readable(now, id, &mut self.core),
                    Ready::Ends => self.resp.peer_closed(now, id, &mut self.core),
                },
                (Some(Kind::IscsiClient), Some(front)) => match ready {
                    Ready::Writable => front.writable(now, id, &mut self.core),
                    Ready::Readable => front.readable(now, id, &mut self.core),
                    Ready::Ends => front.peer_closed(now, id, &mut self.core),
                },
                (Some(Kind::RespListener), _) => self.resp.connections_pending(),
                (Some(Kind::Planner), _) => {
                    if let Some(planners) = &mut self.planners {
                        planners.ready(now, token);
                    }
                }
                (Some(Kind::IscsiListener), Some(front)) => front.connections_pending(),
                (Some(Kind::Operator), _) => {}
                (Some(Kind::Upgrade), _) => {
                    let events = self.upgrade.ready(id);
                    self.handle_upgrade_events(now, events);
                }
                (Some(Kind::Discovery), _) => {
                    if let Some(news) = self.discovery.ready(now, self.arrived_since, token) {
                        let kind = news.message.kind();
                        // A drain's grace period starts when the message arrived, even if this loop reads it late.
                        self.take_list(news, kind);
                    }
                }
                _ => self.targets.ready(now, id),
            },
        }
    }
}

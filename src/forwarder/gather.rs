//! What is ready in a turn goes to whom it concerns, in the order in which nothing is missed.

use super::readiness::{Readiness, Ready};
use super::{
    drained, Forwarder, ADMIN_LISTENER, ADVERTISEMENTS, FLEET, ISCSI_LISTENER, LISTENER, RELOAD, SIGNAL,
    UPGRADE,
};
use crate::fleet;
use crate::tokens::Kind;
use mio::Token;
use std::time::Instant;

impl Forwarder {
    /// Takes what is ready: what discovery says first, then clients, then nodes. Guards against attempts that begin as a
    /// connection comes up, while a drain, or that their client has gone, waits in the same turn to be read. A process
    /// that was stopped finds all of it there at once.
    pub(super) fn gather_all(&mut self, now: Instant, ready: &Readiness) {
        let rank = |token: Token| match Kind::of(token.0) {
            Some(Kind::Discovery) => 0,
            Some(Kind::Target) => 2,
            _ => 1,
        };
        for turn in 0..3 {
            for (token, ready) in ready.iter().filter(|(token, _)| rank(*token) == turn) {
                self.gather(now, token, ready);
            }
            for effect in self.core.drain_effects() {
                self.carry_out(now, effect);
            }
        }
    }

    pub(super) fn gather(&mut self, now: Instant, token: Token, ready: Ready) {
        match token {
            // Connections are accepted once all that is ready was looked at.
            LISTENER => self.resp.connections_pending(),
            ISCSI_LISTENER => {
                if let Some(front) = &mut self.iscsi {
                    front.connections_pending();
                }
            }
            // Read before all else in a turn.
            ADMIN_LISTENER => {}
            UPGRADE => self.upgrade.connections_pending(),
            FLEET => self.fleet.iter_mut().for_each(fleet::speaker::Driver::set_readable),
            token if ADVERTISEMENTS.contains(&token) => {}
            SIGNAL => {
                if drained(&mut self.signal) {
                    tracing::info!("asked to end");
                    self.with_addresses(|addresses, lent| addresses.end_soon(now, lent));
                    self.fleet.iter_mut().for_each(|fleet| fleet.leave(now));
                    self.fleet_again = None;
                    self.state.end(now);
                    self.publish_service_state();
                }
            }
            RELOAD => {
                if drained(&mut self.reload) {
                    self.reload(now);
                }
            }
            Token(id) => match (Kind::of(id), &mut self.iscsi) {
                (Some(Kind::RespClient), _) => match ready {
                    Ready::Writable => self.resp.writable(now, id, &mut self.core),
                    Ready::Readable => self.resp.readable(now, id, &mut self.core),
                    Ready::Ends => self.resp.ended(now, id, &mut self.core),
                },
                (Some(Kind::IscsiClient), Some(front)) => match ready {
                    Ready::Writable => front.writable(now, id, &mut self.core),
                    Ready::Readable => front.readable(now, id, &mut self.core),
                    Ready::Ends => front.ended(now, id, &mut self.core),
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
                    let heard = self.upgrade.ready(id);
                    self.hear(now, heard);
                }
                (Some(Kind::Discovery), _) => {
                    if let Some(news) = self.discovery.ready(now, self.came, token) {
                        let kind = news.message.kind();
                        // A drain's grace runs from its announcement, however late this loop reads it.
                        self.take_list(news, kind);
                    }
                }
                _ => self.targets.ready(now, id),
            },
        }
    }
}

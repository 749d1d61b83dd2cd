//! An initiator's part in live configuration towards all its planners: which one it has itself sent revisions by, what it
//! says to which, and the newest revision that waits to be taken over. No I/O, and no clock of its own.

use super::super::frame::ToPlanner;
use crate::interface::Settings;
use crate::revisions::document::Names;
use crate::revisions::follower::{Follower, Prepared};
use crate::revisions::{Acknowledgement, AcknowledgementOutcome, Update};
use crate::shares::deal;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What is known of one planner.
struct Source {
    address: SocketAddr,
    connected: bool,
    /// Whether it is in contact with a majority of the planners; none: it has said nothing of live configuration.
    quorum: Option<bool>,
    /// It was subscribed to on this connection, now or before.
    was_subscribed: bool,
}

/// A message for a planner, by its position.
pub(super) type Message = (usize, ToPlanner);

/// Live configuration of one initiator.
pub(super) struct Configuration {
    follower: Follower,
    sources: Vec<Source>,
    /// Positions of planners in this initiator's order of preference, which differs from one initiator to the next.
    preference: Vec<usize>,
    subscribed: Option<usize>,
    prepared: Option<Prepared>,
    /// When a planner in contact with a majority was last heard; at first when this initiator started.
    heard_quorum: Instant,
}

/// What operators see of it.
#[derive(Debug, Serialize)]
pub(super) struct ConfigurationReport {
    /// The number of the revision in force.
    pub number: u64,
    /// The hash of its content.
    hash: String,
    /// Since when a newer one may have been missed: how long no planner in contact with a majority was heard.
    pub age_ms: u64,
    /// The planner that sends revisions.
    pub source: Option<SocketAddr>,
    /// Whether it is in contact with a majority of the planners.
    quorum: bool,
    /// The revision that was refused since.
    refused: Option<RefusedReport>,
}

#[derive(Debug, Serialize)]
struct RefusedReport {
    number: u64,
    hash: String,
    why: String,
}

impl Configuration {
    /// Has nothing but the settings of the files, and no planner yet.
    pub fn new(base: Settings, names: Names, initiator: &str, planners: &[SocketAddr], now: Instant) -> Self {
        let source = |address: &SocketAddr| Source {
            address: *address,
            connected: false,
            quorum: None,
            was_subscribed: false,
        };
        let candidates: Vec<u64> = planners.iter().map(|address| deal::hash(&address.to_string())).collect();
        Configuration {
            follower: Follower::new(base, names),
            sources: planners.iter().map(source).collect(),
            preference: deal::order(deal::hash(initiator), &candidates),
            subscribed: None,
            prepared: None,
            heard_quorum: now,
        }
    }

    /// A connection is up: the planner learns what is in force here, and what was refused.
    pub fn connected(&mut self, at: usize) -> Vec<Message> {
        let Some(source) = self.sources.get_mut(at) else { return Vec::new() };
        source.connected = true;
        let in_force =
            Acknowledgement { id: self.follower.in_force(), outcome: AcknowledgementOutcome::InForce };
        let refused = self.follower.refused().map(|(id, why)| Acknowledgement {
            id: *id,
            outcome: AcknowledgementOutcome::Refused(why.clone()),
        });
        [in_force].into_iter().chain(refused).map(|said| (at, ToPlanner::Acknowledge(said))).collect()
    }

    /// A connection has ended.
    pub fn disconnected(&mut self, at: usize) -> Vec<Message> {
        let Some(source) = self.sources.get_mut(at) else { return Vec::new() };
        (source.connected, source.quorum, source.was_subscribed) = (false, None, false);
        self.subscribe_to_best()
    }

    /// A planner has said something.
    pub fn heard(&mut self, now: Instant, at: usize) {
        if self.sources.get(at).is_some_and(|source| source.quorum == Some(true)) {
            self.heard_quorum = now;
        }
    }

    /// A planner says whether it is in contact with a majority of the planners.
    pub fn quorum(&mut self, now: Instant, at: usize, quorum: bool) -> Vec<Message> {
        let Some(source) = self.sources.get_mut(at).filter(|source| source.connected) else {
            return Vec::new();
        };
        source.quorum = Some(quorum);
        self.heard(now, at);
        self.subscribe_to_best()
    }

    /// A planner sends a revision, or what changed up to it.
    pub fn update(&mut self, at: usize, update: Update) -> Vec<Message> {
        let Some(source) = self.sources.get(at).filter(|source| source.was_subscribed) else {
            tracing::debug!(at, "a revision that was not subscribed to is left");
            return Vec::new();
        };
        let (planner, id) = (source.address, update.id);
        match self.follower.prepare(update) {
            Ok(prepared) => {
                self.prepared = Some(prepared);
                Vec::new()
            }
            Err(refused) if matches!(refused.outcome, AcknowledgementOutcome::Refused(_)) => {
                let AcknowledgementOutcome::Refused(why) = &refused.outcome else { return Vec::new() };
                tracing::warn!(%planner, "revision {id} is refused: {why}");
                self.to_all(&refused)
            }
            Err(in_force) => {
                if id.number > in_force.id.number {
                    tracing::info!(%planner, "changes up to revision {id} do not fit {}", in_force.id);
                }
                vec![(at, ToPlanner::Acknowledge(in_force))]
            }
        }
    }

    /// The newest revision that is ready to be taken over; it is handed out once.
    pub fn take_prepared(&mut self) -> Option<Prepared> {
        self.prepared.take()
    }

    /// A revision is in force from now on: all planners learn it.
    pub fn took_over(&mut self, prepared: &Prepared) -> Vec<Message> {
        let in_force = self.follower.took_over(prepared);
        self.to_all(&in_force)
    }

    /// A revision that was handed out is not in force, and won't be: all planners learn why.
    pub fn could_not_take_over(&mut self, prepared: &Prepared, why: String) -> Vec<Message> {
        let refused = self.follower.could_not_take_over(prepared, why);
        self.to_all(&refused)
    }

    pub fn report(&self, now: Instant) -> ConfigurationReport {
        let in_force = self.follower.in_force();
        let source = self.subscribed.and_then(|at| self.sources.get(at));
        let refused = self.follower.refused().map(|(id, why)| RefusedReport {
            number: id.number.0,
            hash: id.hash.to_string(),
            why: why.clone(),
        });
        ConfigurationReport {
            number: in_force.number.0,
            hash: in_force.hash.to_string(),
            age_ms: self.age(now).as_millis() as u64,
            source: source.map(|source| source.address),
            quorum: source.is_some_and(|source| source.quorum == Some(true)),
            refused,
        }
    }

    /// How long no planner in contact with a majority was heard.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_quorum)
    }

    fn to_all(&self, said: &Acknowledgement) -> Vec<Message> {
        let connected = self.sources.iter().enumerate().filter(|(_, source)| source.connected);
        connected.map(|(at, _)| (at, ToPlanner::Acknowledge(said.clone()))).collect()
    }

    /// The planner to subscribe to: the most preferred with a majority, and where none has one the most preferred of all
    /// that speak of live configuration.
    fn best(&self) -> Option<usize> {
        let says = |quorum: bool| {
            let is = move |at: &usize| self.sources[*at].quorum == Some(quorum);
            self.preference.iter().copied().find(is)
        };
        says(true).or_else(|| says(false))
    }

    /// Subscribes to the best planner, and no longer to the one before.
    fn subscribe_to_best(&mut self) -> Vec<Message> {
        let best = self.best();
        if best == self.subscribed {
            return Vec::new();
        }
        let mut messages = Vec::new();
        let before = std::mem::replace(&mut self.subscribed, best);
        if let Some(before) = before.filter(|at| self.sources[*at].connected) {
            messages.push((before, ToPlanner::Unsubscribe));
        }
        if let Some(best) = best {
            self.sources[best].was_subscribed = true;
            messages.push((best, ToPlanner::Subscribe { current: self.follower.in_force() }));
        }
        messages
    }
}

#[cfg(test)]
mod tests;

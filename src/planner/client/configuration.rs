//! An initiator's side of live configuration: chooses the planner to subscribe to, keeps the newest revision that is
//! ready to be applied, and returns the messages for each planner. No I/O; the time is passed in.

use super::super::frame::ToPlanner;
use crate::interface::Settings;
use crate::revisions::document::Names;
use crate::revisions::follower::{Follower, Prepared};
use crate::revisions::{Acknowledgement, AcknowledgementOutcome, Update};
use crate::shares::deal;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The state of the connection to one planner.
struct Source {
    address: SocketAddr,
    connected: bool,
    /// Whether it is in contact with a majority of the planners; `None` until it sends anything about live
    /// configuration.
    quorum: Option<bool>,
    /// Whether there is or was a subscription on this connection.
    was_subscribed: bool,
}

/// A message and the position of the planner that it is for.
pub(super) type Message = (usize, ToPlanner);

/// The live configuration of one initiator.
pub(super) struct Configuration {
    follower: Follower,
    sources: Vec<Source>,
    /// Positions of planners in this initiator's order of preference, which differs between initiators so that their
    /// subscriptions spread over the planners.
    preference: Vec<usize>,
    subscribed: Option<usize>,
    prepared: Option<Prepared>,
    /// When the last message from a planner in contact with a majority was received; at first the start of this
    /// process.
    last_quorum: Instant,
}

/// The live configuration in the JSON report.
#[derive(Debug, Serialize)]
pub(super) struct ConfigurationReport {
    /// The number of the revision in force.
    pub number: u64,
    /// The hash of its content.
    hash: String,
    /// For how long no planner in contact with a majority was heard, so that newer revisions may have been missed.
    pub age_ms: u64,
    /// The planner that this initiator subscribes to.
    pub source: Option<SocketAddr>,
    /// Whether that planner is in contact with a majority of the planners.
    quorum: bool,
    /// The newest revision refused since the one in force.
    refused: Option<RefusedReport>,
}

#[derive(Debug, Serialize)]
struct RefusedReport {
    number: u64,
    hash: String,
    why: String,
}

impl Configuration {
    /// Starts from the settings of the files, without a connection.
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
            last_quorum: now,
        }
    }

    /// Handles a new connection: tells the planner the revision in force and the last refused one.
    pub fn connected(&mut self, at: usize) -> Vec<Message> {
        let Some(source) = self.sources.get_mut(at) else { return Vec::new() };
        source.connected = true;
        let in_force =
            Acknowledgement { id: self.follower.in_force(), outcome: AcknowledgementOutcome::InForce };
        let refused = self.follower.refused().map(|(id, why)| Acknowledgement {
            id: *id,
            outcome: AcknowledgementOutcome::Refused(why.clone()),
        });
        [in_force]
            .into_iter()
            .chain(refused)
            .map(|acknowledgement| (at, ToPlanner::Acknowledge(acknowledgement)))
            .collect()
    }

    /// Handles the end of a connection.
    pub fn disconnected(&mut self, at: usize) -> Vec<Message> {
        let Some(source) = self.sources.get_mut(at) else { return Vec::new() };
        (source.connected, source.quorum, source.was_subscribed) = (false, None, false);
        self.subscribe_to_best()
    }

    /// Records that a planner has sent a message.
    pub fn planner_heard(&mut self, now: Instant, at: usize) {
        if self.sources.get(at).is_some_and(|source| source.quorum == Some(true)) {
            self.last_quorum = now;
        }
    }

    /// Records whether a planner is in contact with a majority of the planners.
    pub fn quorum(&mut self, now: Instant, at: usize, quorum: bool) -> Vec<Message> {
        let Some(source) = self.sources.get_mut(at).filter(|source| source.connected) else {
            return Vec::new();
        };
        source.quorum = Some(quorum);
        self.planner_heard(now, at);
        self.subscribe_to_best()
    }

    /// Handles a revision, or its difference from an earlier one.
    pub fn update(&mut self, at: usize, update: Update) -> Vec<Message> {
        let Some(source) = self.sources.get(at).filter(|source| source.was_subscribed) else {
            tracing::debug!(at, "ignoring a revision without a subscription");
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

    /// The newest revision that is ready to be applied. It is returned once.
    pub fn take_prepared(&mut self) -> Option<Prepared> {
        self.prepared.take()
    }

    /// Marks a revision as in force, and notifies all planners.
    pub fn confirm_applied(&mut self, prepared: &Prepared) -> Vec<Message> {
        let in_force = self.follower.confirm_applied(prepared);
        self.to_all(&in_force)
    }

    /// Refuses a prepared revision, and tells all planners why.
    pub fn reject_prepared(&mut self, prepared: &Prepared, why: String) -> Vec<Message> {
        let refused = self.follower.reject_prepared(prepared, why);
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

    /// For how long no message from a planner in contact with a majority was received.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_quorum)
    }

    fn to_all(&self, acknowledgement: &Acknowledgement) -> Vec<Message> {
        let connected = self.sources.iter().enumerate().filter(|(_, source)| source.connected);
        connected.map(|(at, _)| (at, ToPlanner::Acknowledge(acknowledgement.clone()))).collect()
    }

    /// The planner to subscribe to: the most preferred one in contact with a majority, or if there is none the most
    /// preferred one with live configuration.
    fn best(&self) -> Option<usize> {
        let first_with_quorum = |quorum: bool| {
            let is = move |at: &usize| self.sources[*at].quorum == Some(quorum);
            self.preference.iter().copied().find(is)
        };
        first_with_quorum(true).or_else(|| first_with_quorum(false))
    }

    /// Subscribes to the best planner and unsubscribes from the previous one.
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

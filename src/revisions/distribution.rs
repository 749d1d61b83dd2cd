//! A planner's distribution of revisions to initiators. The [`Distributor`] tracks which revision each initiator has,
//! sends the newest one to subscribed connections at a limited rate, and reports the status of each initiator.

use super::delta::Delta;
use super::{
    Acknowledgement, AcknowledgementOutcome, Revision, RevisionId, RevisionNumber, Update, UpdateContent,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The server's id for one connection of an initiator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub usize);

/// An input of the distributor.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An initiator has connected and sent its name.
    Connected {
        /// The initiator's connection.
        connection: ConnectionId,
        /// The initiator's name.
        initiator: String,
    },
    /// A connection has ended.
    Disconnected(ConnectionId),
    /// An initiator subscribes to revisions on this connection.
    Subscribed {
        /// The initiator's connection.
        connection: ConnectionId,
        /// The revision in force at the initiator.
        current: RevisionId,
    },
    /// An initiator cancels its subscription on this connection.
    Unsubscribed(ConnectionId),
    /// An initiator acknowledges or refuses a revision. It sends this to every planner that it is connected to.
    Acknowledged {
        /// The initiator's connection.
        connection: ConnectionId,
        /// The acknowledgement.
        acknowledgement: Acknowledgement,
    },
    /// The planners have accepted a revision.
    Accepted(Revision),
    /// The time returned by [`Distributor::next_timer`] is reached.
    Tick,
}

/// An output of the distributor, for its owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an update to an initiator.
    Send {
        /// The initiator's connection.
        connection: ConnectionId,
        /// The update.
        update: Update,
    },
}

/// The status of one initiator as this planner knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InitiatorStatus {
    /// The initiator's name.
    pub initiator: String,
    /// Whether the initiator is connected to this planner.
    pub connected: bool,
    /// The revision in force at the initiator, by its last message.
    pub in_force: RevisionId,
    /// The last revision that the initiator refused since, and the reason.
    pub refused: Option<(RevisionId, String)>,
    /// Milliseconds since the initiator disconnected; 0 while it is connected.
    pub silent_ms: u64,
}

/// Limit on an initiator's name, in bytes. An initiator with a longer name receives no updates.
pub const MAX_INITIATOR_NAME_BYTES: usize = 255;
/// Limit on the initiators with a status. Beyond it, the one that has been disconnected longest is dropped first.
pub const MAX_INITIATORS: usize = 8192;
/// Time for which the status of a disconnected initiator is kept.
pub const INITIATOR_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Limit on updates in flight, which are sent and not acknowledged.
pub const MAX_UNACKNOWLEDGED: usize = 64;
/// Limit on updates sent per [`SEND_INTERVAL`]: 1,600 a second, so that many initiators that reconnect at once are
/// served one after the other.
pub const MAX_UPDATES_PER_INTERVAL: usize = 16;
/// The interval in which at most [`MAX_UPDATES_PER_INTERVAL`] updates are sent.
pub const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which an update without acknowledgement is sent again, with the full document. For this long, initiators
/// that vanished without closing their connection can occupy up to [`MAX_UNACKNOWLEDGED`] updates in flight.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the times that one revision is sent on one connection. An initiator that acknowledges none of them is sent
/// nothing until the next revision, or until it subscribes again. All sends together take longer than a planner's
/// timeout for silent connections, so an initiator that was suspended for a while reconnects and subscribes again.
pub const MAX_SENDS: u32 = 4;
/// Number of revisions that changes can be based on; an initiator with an older one is sent the full document.
pub const DELTA_BASE_REVISIONS: usize = 16;
/// Limit on the stored reason of a refusal, in bytes.
pub const MAX_REASON_BYTES: usize = 512;

/// The state kept for one initiator, by name.
struct Initiator {
    /// The initiator's latest connection, while it is open.
    connection: Option<ConnectionId>,
    in_force: RevisionId,
    refused: Option<(RevisionId, String)>,
    /// The time of the last disconnect; not used while the initiator is connected.
    disconnected_at: Duration,
}

/// The state of one connection.
struct Subscriber {
    initiator: String,
    subscribed: bool,
    current: RevisionId,
    /// The last revision that was refused on this connection.
    refused: Option<RevisionId>,
    /// Number of times the newest revision was sent on this connection.
    sends: u32,
    /// Whether the next update has the full document, because changes were not applied or not acknowledged.
    needs_full: bool,
    /// Whether the connection is in the queue.
    queued: bool,
}

/// An update in flight.
struct Unacknowledged {
    id: RevisionId,
    /// The time at which the update is sent again.
    resend_at: Duration,
}

/// Distributes revisions to the initiators that are connected to one planner.
#[derive(Default)]
pub struct Distributor {
    initiators: BTreeMap<String, Initiator>,
    connections: BTreeMap<ConnectionId, Subscriber>,
    /// The newest revisions in ascending order, at most [`DELTA_BASE_REVISIONS`].
    recent: VecDeque<Revision>,
    /// Cached contents of updates to the newest revision, by base revision; `None` is the full document.
    contents: BTreeMap<Option<RevisionNumber>, UpdateContent>,
    /// Connections that are to be sent the newest revision, first in, first out.
    queue: VecDeque<ConnectionId>,
    /// Connections with an update in flight.
    unacknowledged: BTreeMap<ConnectionId, Unacknowledged>,
    /// The end of the current send interval, and the number of updates sent in it.
    interval_end: Duration,
    sent_in_interval: usize,
}

impl Distributor {
    /// Handles one event and appends the resulting actions. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Connected { connection, initiator } => self.connect(now, connection, initiator),
            Event::Disconnected(connection) => self.disconnect(now, connection),
            Event::Subscribed { connection, current } => self.subscribe(connection, current),
            Event::Unsubscribed(connection) => self.unsubscribe(connection),
            Event::Acknowledged { connection, acknowledgement } => {
                self.acknowledge(connection, acknowledgement)
            }
            Event::Accepted(revision) => self.accept(revision),
            Event::Tick => {}
        }
        self.resend_overdue(now);
        self.send_queued(now, actions);
    }

    /// The time at which [`Event::Tick`] is due next, if any.
    pub fn next_timer(&self) -> Option<Duration> {
        let timeout = self.unacknowledged.values().map(|sent| sent.resend_at).min();
        let may_send = !self.queue.is_empty() && self.unacknowledged.len() < MAX_UNACKNOWLEDGED;
        timeout.into_iter().chain(may_send.then_some(self.interval_end)).min()
    }

    /// The status of all initiators that are connected or were within [`INITIATOR_RETENTION`], sorted by name.
    pub fn status(&self, now: Duration) -> Vec<InitiatorStatus> {
        let kept = self.initiators.iter().filter(|(_, initiator)| !initiator.is_expired(now));
        kept.map(|(name, initiator)| initiator.status(name, now)).collect()
    }

    fn connect(&mut self, now: Duration, connection: ConnectionId, name: String) {
        if name.len() > MAX_INITIATOR_NAME_BYTES {
            return;
        }
        self.disconnect(now, connection);
        // A new connection replaces an earlier one of the same name, which belongs to a process that has ended.
        if let Some(earlier) = self.initiators.get(&name).and_then(|initiator| initiator.connection) {
            self.disconnect(now, earlier);
        }
        self.make_room_for(now, &name);
        let none = RevisionId::none();
        if self.initiators.len() < MAX_INITIATORS || self.initiators.contains_key(&name) {
            let new_initiator =
                Initiator { connection: None, in_force: none, refused: None, disconnected_at: now };
            self.initiators.entry(name.clone()).or_insert(new_initiator).connection = Some(connection);
        }
        let subscriber = Subscriber {
            initiator: name,
            subscribed: false,
            current: none,
            refused: None,
            sends: 0,
            needs_full: false,
            queued: false,
        };
        self.connections.insert(connection, subscriber);
    }

    /// Drops expired initiators if the limit is reached, or else the one that has been disconnected longest.
    fn make_room_for(&mut self, now: Duration, name: &str) {
        if self.initiators.len() < MAX_INITIATORS || self.initiators.contains_key(name) {
            return;
        }
        self.initiators.retain(|_, initiator| !initiator.is_expired(now));
        if self.initiators.len() < MAX_INITIATORS {
            return;
        }
        let disconnected = self.initiators.iter().filter(|(_, initiator)| initiator.connection.is_none());
        let longest_disconnected =
            disconnected.min_by_key(|(_, initiator)| initiator.disconnected_at).map(|(name, _)| name.clone());
        if let Some(name) = longest_disconnected {
            self.initiators.remove(&name);
        }
    }

    fn disconnect(&mut self, now: Duration, connection: ConnectionId) {
        self.unacknowledged.remove(&connection);
        let Some(subscriber) = self.connections.remove(&connection) else { return };
        if subscriber.queued {
            self.queue.retain(|queued| *queued != connection);
        }
        let initiator = self.initiators.get_mut(&subscriber.initiator);
        if let Some(initiator) = initiator.filter(|initiator| initiator.connection == Some(connection)) {
            (initiator.connection, initiator.disconnected_at) = (None, now);
        }
    }

    fn subscribe(&mut self, connection: ConnectionId, current: RevisionId) {
        let Some(subscriber) = self.connections.get_mut(&connection) else { return };
        subscriber.subscribed = true;
        (subscriber.current, subscriber.sends, subscriber.needs_full) = (current, 0, false);
        self.unacknowledged.remove(&connection);
        if let Some(initiator) = self.initiators.get_mut(&subscriber.initiator) {
            initiator.in_force = current;
        }
        self.enqueue(connection);
    }

    fn unsubscribe(&mut self, connection: ConnectionId) {
        self.unacknowledged.remove(&connection);
        if let Some(subscriber) = self.connections.get_mut(&connection) {
            subscriber.subscribed = false;
        }
    }

    fn acknowledge(&mut self, connection: ConnectionId, acknowledgement: Acknowledgement) {
        let Some(subscriber) = self.connections.get_mut(&connection) else { return };
        let initiator = self.initiators.get_mut(&subscriber.initiator);
        let Acknowledgement { id, outcome } = acknowledgement;
        // Acknowledgements of other planners' updates arrive here too, and don't answer an update of this planner.
        let sent = self.unacknowledged.get(&connection).map(|sent| sent.id);
        let has_gap = sent.is_some_and(|sent| sent != id)
            && subscriber.current == id
            && outcome == AcknowledgementOutcome::InForce;
        if has_gap || sent == Some(id) {
            self.unacknowledged.remove(&connection);
        }
        match outcome {
            AcknowledgementOutcome::InForce => {
                subscriber.needs_full = has_gap;
                if id.number > subscriber.current.number {
                    subscriber.sends = 0;
                }
                subscriber.current = id;
                if let Some(initiator) = initiator {
                    initiator.in_force = id;
                    initiator.refused.take_if(|(refused, _)| refused.number <= id.number);
                }
            }
            AcknowledgementOutcome::Refused(why) => {
                subscriber.refused = Some(id);
                if let Some(initiator) = initiator {
                    initiator.refused = Some((id, truncated(why)));
                }
            }
        }
        self.enqueue(connection);
    }

    fn accept(&mut self, revision: Revision) {
        if self.recent.back().is_some_and(|newest| newest.id.number >= revision.id.number) {
            return;
        }
        self.recent.push_back(revision);
        if self.recent.len() > DELTA_BASE_REVISIONS {
            self.recent.pop_front();
        }
        self.contents.clear();
        for subscriber in self.connections.values_mut() {
            subscriber.sends = 0;
        }
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.enqueue(connection));
    }

    /// Queues updates that were not acknowledged in time to be sent again.
    fn resend_overdue(&mut self, now: Duration) {
        let due = self.unacknowledged.iter().filter(|(_, sent)| sent.resend_at <= now);
        let due: Vec<ConnectionId> = due.map(|(connection, _)| *connection).collect();
        for connection in due {
            self.unacknowledged.remove(&connection);
            if let Some(subscriber) = self.connections.get_mut(&connection) {
                subscriber.needs_full = true;
            }
            self.enqueue(connection);
        }
    }

    /// Whether to send the newest revision on a connection.
    fn needs_update(&self, connection: ConnectionId) -> bool {
        let (Some(subscriber), Some(newest)) = (self.connections.get(&connection), self.recent.back()) else {
            return false;
        };
        subscriber.subscribed
            && subscriber.current.number < newest.id.number
            && subscriber.refused != Some(newest.id)
            && subscriber.sends < MAX_SENDS
            && !self.unacknowledged.contains_key(&connection)
    }

    fn enqueue(&mut self, connection: ConnectionId) {
        if !self.needs_update(connection) {
            return;
        }
        let Some(subscriber) = self.connections.get_mut(&connection) else { return };
        if !subscriber.queued {
            subscriber.queued = true;
            self.queue.push_back(connection);
        }
    }

    fn send_queued(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.interval_end <= now {
            (self.interval_end, self.sent_in_interval) = (now + SEND_INTERVAL, 0);
        }
        while self.unacknowledged.len() < MAX_UNACKNOWLEDGED
            && self.sent_in_interval < MAX_UPDATES_PER_INTERVAL
        {
            let Some(connection) = self.queue.pop_front() else { return };
            if let Some(subscriber) = self.connections.get_mut(&connection) {
                subscriber.queued = false;
            }
            // Another planner may have sent the revision in the meantime.
            if !self.needs_update(connection) {
                continue;
            }
            if let Some(update) = self.update_for(connection) {
                self.sent_in_interval += 1;
                let resend_at = now + ACKNOWLEDGEMENT_TIMEOUT;
                self.unacknowledged.insert(connection, Unacknowledged { id: update.id, resend_at });
                actions.push(Action::Send { connection, update });
            }
        }
    }

    /// Builds the update to the newest revision for a connection, and counts it as sent.
    fn update_for(&mut self, connection: ConnectionId) -> Option<Update> {
        let subscriber = self.connections.get_mut(&connection)?;
        subscriber.sends += 1;
        let newest = self.recent.back()?;
        let current = self.recent.iter().find(|revision| revision.id == subscriber.current);
        let base = current.filter(|_| !subscriber.needs_full);
        let key = base.map(|revision| revision.id.number);
        let content = self.contents.entry(key).or_insert_with(|| content_between(base, newest));
        Some(Update { id: newest.id, content: content.clone() })
    }
}

impl Initiator {
    fn is_expired(&self, now: Duration) -> bool {
        self.connection.is_none() && now.saturating_sub(self.disconnected_at) >= INITIATOR_RETENTION
    }

    fn status(&self, name: &str, now: Duration) -> InitiatorStatus {
        let connected = self.connection.is_some();
        let silent = if connected { Duration::ZERO } else { now.saturating_sub(self.disconnected_at) };
        InitiatorStatus {
            initiator: name.to_string(),
            connected,
            in_force: self.in_force,
            refused: self.refused.clone(),
            silent_ms: silent.as_millis() as u64,
        }
    }
}

/// The changes from the base to the newest revision if they are shorter than the full document, else the full document.
fn content_between(base: Option<&Revision>, newest: &Revision) -> UpdateContent {
    let full = UpdateContent::Full(newest.document.clone());
    let Some(base) = base else { return full };
    let delta = Delta::between(&base.document, &newest.document);
    let changes = UpdateContent::Changes { base: base.id, delta };
    if encoded_length(&changes) < encoded_length(&full) {
        changes
    } else {
        full
    }
}

/// The encoded length of a content, in bytes.
fn encoded_length(content: &UpdateContent) -> usize {
    // Content that can't be encoded counts as too long to be chosen.
    postcard::to_stdvec(content).map_or(usize::MAX, |bytes| bytes.len())
}

/// Cuts a reason to [`MAX_REASON_BYTES`].
fn truncated(mut why: String) -> String {
    why.truncate(why.floor_char_boundary(MAX_REASON_BYTES));
    why
}

#[cfg(test)]
mod tests;

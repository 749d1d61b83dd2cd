//! A planner's part in handing revisions on: which initiator holds what, who is to be sent what, who is missing.

use super::delta::Delta;
use super::{
    Acknowledgement, AcknowledgementOutcome, Revision, RevisionId, RevisionNumber, Update, UpdateContent,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One connection of an initiator, by the server's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub usize);

/// What happens to the distributor.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An initiator has connected and said its name.
    Connected {
        /// Its connection.
        connection: ConnectionId,
        /// Its name.
        initiator: String,
    },
    /// A connection has ended.
    Disconnected(ConnectionId),
    /// An initiator wants to be sent revisions on this connection, and says what it holds.
    Subscribed {
        /// Its connection.
        connection: ConnectionId,
        /// What it holds.
        holds: RevisionId,
    },
    /// It no longer does.
    Unsubscribed(ConnectionId),
    /// An initiator says what became of a revision. It tells all planners that it is connected to.
    Acknowledged {
        /// Its connection.
        connection: ConnectionId,
        /// What it says.
        acknowledgement: Acknowledgement,
    },
    /// The planners have accepted a revision.
    Accepted(Revision),
    /// A timer is due.
    Tick,
}

/// What the distributor's owner is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an update to an initiator.
    Send {
        /// Its connection.
        connection: ConnectionId,
        /// What to send.
        update: Update,
    },
}

/// What is known of one initiator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InitiatorStatus {
    /// Its name.
    pub initiator: String,
    /// Whether it is connected to this planner.
    pub connected: bool,
    /// The revision that it last said is in force there.
    pub in_force: RevisionId,
    /// The revision that it refused since, and why.
    pub refused: Option<(RevisionId, String)>,
    /// How long ago it was last heard, in milliseconds; 0 while connected.
    pub silent_ms: u64,
}

/// The longest name of an initiator, in bytes; one with a longer name is sent nothing.
pub const MAX_INITIATOR_NAME_BYTES: usize = 255;
/// Initiators that are remembered. With more, those are forgotten first that have not been connected for the longest time.
pub const MAX_INITIATORS: usize = 8192;
/// How long an initiator is remembered that is not connected.
pub const INITIATOR_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Updates that are on their way at once, not yet acknowledged.
pub const MAX_UNACKNOWLEDGED: usize = 64;
/// Updates that are sent at most within one [`SEND_INTERVAL`]: 1,600 a second, so that many that come back at once are served one
/// after the other.
pub const MAX_UPDATES_PER_INTERVAL: usize = 16;
/// See [`MAX_UPDATES_PER_INTERVAL`].
pub const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// An update that is not acknowledged within this time is sent again, as a whole. Initiators that are gone without a word
/// hold up to [`MAX_UNACKNOWLEDGED`] places for so long.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often one revision is sent on one connection. An initiator that does not acknowledge any of them is left alone until
/// the next revision, or until it subscribes again. All tries together take longer than a planner bears with a connection
/// that is silent, so one that was stopped for a while comes back on another connection.
pub const MAX_SENDS: u32 = 4;
/// Revisions that changes can be made to; an initiator that holds an older one gets the whole.
pub const DELTA_BASE_REVISIONS: usize = 16;
/// The longest reason of a refusal that is kept, in bytes.
pub const MAX_REASON_BYTES: usize = 512;

/// What is remembered of one initiator.
struct Initiator {
    /// Its latest connection, while that lasts.
    connection: Option<ConnectionId>,
    in_force: RevisionId,
    refused: Option<(RevisionId, String)>,
    /// When it was connected last, where it is not.
    heard: Duration,
}

/// What is known of one connection.
struct Subscriber {
    initiator: String,
    subscribed: bool,
    holds: RevisionId,
    /// What it refused last, on this connection.
    refused: Option<RevisionId>,
    /// How often the newest revision was sent.
    tries: u32,
    /// Changes did not get through: it gets the whole next.
    wants_whole: bool,
    /// It waits in the queue.
    queued: bool,
}

/// An update on its way.
struct Unacknowledged {
    id: RevisionId,
    /// When it is sent again.
    until: Duration,
}

/// Hands revisions on to the initiators that are connected to one planner.
#[derive(Default)]
pub struct Distributor {
    initiators: BTreeMap<String, Initiator>,
    connections: BTreeMap<ConnectionId, Subscriber>,
    /// The newest revisions, in order.
    known: VecDeque<Revision>,
    /// Contents of updates to the newest revision, by the revision that they lead on from; none: the whole.
    contents: BTreeMap<Option<RevisionNumber>, UpdateContent>,
    /// Who is to be sent the newest revision, in the order of asking.
    queue: VecDeque<ConnectionId>,
    /// Who was sent an update and has not answered.
    unacknowledged: BTreeMap<ConnectionId, Unacknowledged>,
    /// When the present spacing ends, and how many updates were sent in it.
    spacing_end: Duration,
    sent_in_spacing: usize,
}

impl Distributor {
    /// Takes one event, at a time that only grows.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Connected { connection, initiator } => self.connect(now, connection, initiator),
            Event::Disconnected(connection) => self.disconnect(now, connection),
            Event::Subscribed { connection, holds } => self.subscribe(connection, holds),
            Event::Unsubscribed(connection) => self.unsubscribe(connection),
            Event::Acknowledged { connection, acknowledgement } => {
                self.acknowledge(connection, acknowledgement)
            }
            Event::Accepted(revision) => self.accept(revision),
            Event::Tick => {}
        }
        self.time_out(now);
        self.send_queued(now, actions);
    }

    /// When [`Event::Tick`] is due, if it is.
    pub fn next_timer(&self) -> Option<Duration> {
        let timeout = self.unacknowledged.values().map(|sent| sent.until).min();
        let may_send = !self.queue.is_empty() && self.unacknowledged.len() < MAX_UNACKNOWLEDGED;
        timeout.into_iter().chain(may_send.then_some(self.spacing_end)).min()
    }

    /// All initiators that are connected, or were within the last day; sorted by name.
    pub fn status(&self, now: Duration) -> Vec<InitiatorStatus> {
        let remembered = self.initiators.iter().filter(|(_, initiator)| !initiator.is_forgotten(now));
        remembered.map(|(name, initiator)| initiator.status(name, now)).collect()
    }

    fn connect(&mut self, now: Duration, connection: ConnectionId, name: String) {
        if name.len() > MAX_INITIATOR_NAME_BYTES {
            return;
        }
        self.disconnect(now, connection);
        // Of two connections of one name the later counts: the earlier is of a process that has gone.
        if let Some(earlier) = self.initiators.get(&name).and_then(|initiator| initiator.connection) {
            self.disconnect(now, earlier);
        }
        self.make_room(now, &name);
        let none = RevisionId::none();
        if self.initiators.len() < MAX_INITIATORS || self.initiators.contains_key(&name) {
            let fresh = Initiator { connection: None, in_force: none, refused: None, heard: now };
            self.initiators.entry(name.clone()).or_insert(fresh).connection = Some(connection);
        }
        let subscriber = Subscriber {
            initiator: name,
            subscribed: false,
            holds: none,
            refused: None,
            tries: 0,
            wants_whole: false,
            queued: false,
        };
        self.connections.insert(connection, subscriber);
    }

    /// Forgets who has not been connected for long, where there is no room for another name.
    fn make_room(&mut self, now: Duration, name: &str) {
        if self.initiators.len() < MAX_INITIATORS || self.initiators.contains_key(name) {
            return;
        }
        self.initiators.retain(|_, initiator| !initiator.is_forgotten(now));
        if self.initiators.len() < MAX_INITIATORS {
            return;
        }
        let gone = self.initiators.iter().filter(|(_, initiator)| initiator.connection.is_none());
        let longest_gone = gone.min_by_key(|(_, initiator)| initiator.heard).map(|(name, _)| name.clone());
        if let Some(name) = longest_gone {
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
            (initiator.connection, initiator.heard) = (None, now);
        }
    }

    fn subscribe(&mut self, connection: ConnectionId, holds: RevisionId) {
        let Some(subscriber) = self.connections.get_mut(&connection) else { return };
        subscriber.subscribed = true;
        (subscriber.holds, subscriber.tries, subscriber.wants_whole) = (holds, 0, false);
        self.unacknowledged.remove(&connection);
        if let Some(initiator) = self.initiators.get_mut(&subscriber.initiator) {
            initiator.in_force = holds;
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
        // It also says what came of updates of other planners, which answers nothing here.
        let sent = self.unacknowledged.get(&connection).map(|sent| sent.id);
        let has_gap = sent.is_some_and(|sent| sent != id)
            && subscriber.holds == id
            && outcome == AcknowledgementOutcome::InForce;
        if has_gap || sent == Some(id) {
            self.unacknowledged.remove(&connection);
        }
        match outcome {
            AcknowledgementOutcome::InForce => {
                subscriber.wants_whole = has_gap;
                if id.number > subscriber.holds.number {
                    subscriber.tries = 0;
                }
                subscriber.holds = id;
                if let Some(initiator) = initiator {
                    initiator.in_force = id;
                    initiator.refused.take_if(|(refused, _)| refused.number <= id.number);
                }
            }
            AcknowledgementOutcome::Refused(why) => {
                subscriber.refused = Some(id);
                if let Some(initiator) = initiator {
                    initiator.refused = Some((id, shortened(why)));
                }
            }
        }
        self.enqueue(connection);
    }

    fn accept(&mut self, revision: Revision) {
        if self.known.back().is_some_and(|newest| newest.id.number >= revision.id.number) {
            return;
        }
        self.known.push_back(revision);
        if self.known.len() > DELTA_BASE_REVISIONS {
            self.known.pop_front();
        }
        self.contents.clear();
        for subscriber in self.connections.values_mut() {
            subscriber.tries = 0;
        }
        let connections: Vec<ConnectionId> = self.connections.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.enqueue(connection));
    }

    /// Sends again what was not acknowledged in time.
    fn time_out(&mut self, now: Duration) {
        let due = self.unacknowledged.iter().filter(|(_, sent)| sent.until <= now);
        let due: Vec<ConnectionId> = due.map(|(connection, _)| *connection).collect();
        for connection in due {
            self.unacknowledged.remove(&connection);
            if let Some(subscriber) = self.connections.get_mut(&connection) {
                subscriber.wants_whole = true;
            }
            self.enqueue(connection);
        }
    }

    /// Whether a connection is to be sent the newest revision.
    fn lacks_newest(&self, connection: ConnectionId) -> bool {
        let (Some(subscriber), Some(newest)) = (self.connections.get(&connection), self.known.back()) else {
            return false;
        };
        subscriber.subscribed
            && subscriber.holds.number < newest.id.number
            && subscriber.refused != Some(newest.id)
            && subscriber.tries < MAX_SENDS
            && !self.unacknowledged.contains_key(&connection)
    }

    fn enqueue(&mut self, connection: ConnectionId) {
        if !self.lacks_newest(connection) {
            return;
        }
        let Some(subscriber) = self.connections.get_mut(&connection) else { return };
        if !subscriber.queued {
            subscriber.queued = true;
            self.queue.push_back(connection);
        }
    }

    fn send_queued(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.spacing_end <= now {
            (self.spacing_end, self.sent_in_spacing) = (now + SEND_INTERVAL, 0);
        }
        while self.unacknowledged.len() < MAX_UNACKNOWLEDGED
            && self.sent_in_spacing < MAX_UPDATES_PER_INTERVAL
        {
            let Some(connection) = self.queue.pop_front() else { return };
            if let Some(subscriber) = self.connections.get_mut(&connection) {
                subscriber.queued = false;
            }
            // What it lacks may have come to it in another way since.
            if !self.lacks_newest(connection) {
                continue;
            }
            if let Some(update) = self.update_for(connection) {
                self.sent_in_spacing += 1;
                let until = now + ACKNOWLEDGEMENT_TIMEOUT;
                self.unacknowledged.insert(connection, Unacknowledged { id: update.id, until });
                actions.push(Action::Send { connection, update });
            }
        }
    }

    /// What leads a connection to the newest revision.
    fn update_for(&mut self, connection: ConnectionId) -> Option<Update> {
        let subscriber = self.connections.get_mut(&connection)?;
        subscriber.tries += 1;
        let newest = self.known.back()?;
        let held = self.known.iter().find(|revision| revision.id == subscriber.holds);
        let base = held.filter(|_| !subscriber.wants_whole);
        let key = base.map(|revision| revision.id.number);
        let content = self.contents.entry(key).or_insert_with(|| content_between(base, newest));
        Some(Update { id: newest.id, content: content.clone() })
    }
}

impl Initiator {
    fn is_forgotten(&self, now: Duration) -> bool {
        self.connection.is_none() && now.saturating_sub(self.heard) >= INITIATOR_RETENTION
    }

    fn status(&self, name: &str, now: Duration) -> InitiatorStatus {
        let connected = self.connection.is_some();
        let silent = if connected { Duration::ZERO } else { now.saturating_sub(self.heard) };
        InitiatorStatus {
            initiator: name.to_string(),
            connected,
            in_force: self.in_force,
            refused: self.refused.clone(),
            silent_ms: silent.as_millis() as u64,
        }
    }
}

/// The changes from one revision to the newest, where they are shorter than the whole; otherwise that.
fn content_between(base: Option<&Revision>, newest: &Revision) -> UpdateContent {
    let whole = UpdateContent::Full(newest.document.clone());
    let Some(base) = base else { return whole };
    let delta = Delta::between(&base.document, &newest.document);
    let changes = UpdateContent::Changes { base: base.id, delta };
    if encoded_length(&changes) < encoded_length(&whole) {
        changes
    } else {
        whole
    }
}

/// Bytes of a content on the link.
fn encoded_length(content: &UpdateContent) -> usize {
    // What can't be encoded is not sent either.
    postcard::to_stdvec(content).map_or(usize::MAX, |bytes| bytes.len())
}

/// A reason, cut to what is kept of it.
fn shortened(mut why: String) -> String {
    why.truncate(why.floor_char_boundary(MAX_REASON_BYTES));
    why
}

#[cfg(test)]
mod tests;

//! How much a front's clients may take up, and who makes room for newcomers.

use super::idle::{Idle, Place};
use super::protocol::Protocol;
use super::Front;
use std::time::{Duration, Instant};

/// A client makes room once it was idle for this long; one that never asked for anything, for less. What was
/// accepted a moment ago may only not be read yet.
const IDLE_BEFORE_ROOM: Duration = Duration::from_millis(250);
pub(super) const SILENT_BEFORE_ROOM: Duration = Duration::from_millis(50);
/// One that has begun to ask, and of whom nothing has come for this long.
const STALLED_BEFORE_ROOM: Duration = Duration::from_millis(600);
/// Part of the served clients' places that clients who never asked for anything may take from others, one in so many.
const SILENT_PART: usize = 2;

/// How long places count as scarce after a newcomer has found none free.
pub(super) const CROWD_MEMORY: Duration = Duration::from_secs(1);

/// How much the clients of a front may take up.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Clients connected together without any having to go.
    pub evict_idle_above: usize,
    /// Clients connected together and served.
    pub clients: usize,
    /// Clients beyond these that are connected only to be told to come again.
    pub overflow: usize,
    /// Connections beyond these that are ended, and wait for their far side to see it.
    pub lingering: usize,
    /// Bytes of the bodies of open requests, and of what is kept for clients besides.
    pub bytes: usize,
}

/// What is done with a newcomer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It is served.
    Served,
    /// It is told to come again.
    Declined,
    /// There is no place for it: its connection is closed unread.
    Shut,
}

impl<P: Protocol> Front<P> {
    /// Whether all places are taken, or were a moment ago when somebody came: a silent client that was closed for a newcomer
    /// leaves a place as soon as that one goes, and the next takes it.
    pub fn is_at_capacity(&self, now: Instant) -> bool {
        let lately = |at: Instant| now.saturating_duration_since(at) < CROWD_MEMORY;
        self.in_service() >= self.limits.clients || self.full_at.is_some_and(lately)
    }

    /// What clients may take up from now on.
    pub fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// Clients whose requests are taken.
    pub(super) fn in_service(&self) -> usize {
        self.clients.len() - self.crowded
    }

    /// Takes the requests of a client that was to be told to come again, if there is a place by now.
    pub(super) fn serve_if_there_is_a_place(&mut self, id: usize) {
        if self.in_service() >= self.limits.clients {
            return;
        }
        if let Some(client) = self.clients.get_mut(&id) {
            self.crowded -= usize::from(std::mem::take(&mut client.crowded));
        }
    }

    /// Finds a place for a newcomer, and closes whom that takes. Nobody who was served goes for a newcomer while those that
    /// never asked for anything hold more than their part: who opens connections by the hundred displaces its own.
    pub(super) fn admission(&mut self, now: Instant) -> Admission {
        if self.in_service() >= self.limits.clients {
            self.full_at = Some(now);
        }
        while self.in_service() >= self.limits.clients {
            let silent_have_too_much = self.idle.len(Idle::Silent) > self.limits.clients / SILENT_PART;
            let freed = match silent_have_too_much {
                true => self.displace_longest_silent(),
                false => self.close_an_idle_one(now, true),
            };
            if !freed {
                break;
            }
        }
        if self.in_service() < self.limits.clients {
            return Admission::Served;
        }
        if self.crowded < self.limits.overflow || self.close_longest(Idle::Crowded) {
            return Admission::Declined;
        }
        // What a silent client leaves is a place in service. Guards the descriptors: the places of the crowd are all taken.
        match self.close_longest(Idle::Silent) {
            true => Admission::Served,
            false => Admission::Shut,
        }
    }

    /// Whether newcomers wait until those that were let in before them were heard, which makes room at once: requests of
    /// whoever is one too many are only declined.
    pub(super) fn defers_newcomers(&self) -> bool {
        let full = self.clients.len() >= self.limits.clients + self.limits.overflow;
        let silent = self.idle.len(Idle::Silent) + self.idle.len(Idle::Crowded);
        full && !self.backlog.is_empty() && silent == 0
    }

    /// Closes the client that has said nothing for longest, of one kind. It is owed no answer, and takes up none of the
    /// places of those that are ended in order.
    fn close_longest(&mut self, idle: Idle) -> bool {
        let longest = self.idle.longest(idle);
        longest.is_some_and(|(_, id)| self.remove(id).is_some())
    }

    /// Takes its place in service from the client that has said nothing for longest. It stays connected to be told to come
    /// again, as long as there are places for that: a client that asks a moment later gets an answer and no reset.
    fn displace_longest_silent(&mut self) -> bool {
        let Some((_, id)) = self.idle.longest(Idle::Silent) else { return false };
        if self.crowded >= self.limits.overflow && !self.close_longest(Idle::Crowded) {
            return self.remove(id).is_some();
        }
        let Some(client) = self.clients.get_mut(&id) else { return false };
        client.crowded = true;
        self.crowded += 1;
        self.note_idle(id);
        true
    }

    /// Closes the client that makes room most easily, if any has to: first who has asked and is idle, and can come again
    /// at no cost; then, where there is no room at all, who never said anything; then who has begun to and does not go
    /// on. Guards those who take their time against those who never finish.
    pub(super) fn close_an_idle_one(&mut self, now: Instant, no_room: bool) -> bool {
        let waited = |idle: Idle, pause: Duration| {
            self.idle.longest(idle).filter(|(since, _)| now.saturating_duration_since(*since) >= pause)
        };
        // Whoever cannot come again stays: after SIGTERM new connections go to another process.
        let served = waited(Idle::Served, IDLE_BEFORE_ROOM).filter(|_| !self.standing.keeps_idle);
        let asked = [waited(Idle::Probed, IDLE_BEFORE_ROOM), served].into_iter().flatten().min();
        if let Some((_, id)) = asked {
            return self.close_in_order(now, id);
        }
        if !no_room {
            return false;
        }
        if waited(Idle::Silent, SILENT_BEFORE_ROOM).is_some() {
            return self.close_longest(Idle::Silent);
        }
        waited(Idle::Partial, STALLED_BEFORE_ROOM).is_some_and(|(_, id)| self.close_in_order(now, id))
    }

    /// Puts a client where it belongs among those that could be closed, after anything that happened to it.
    pub(super) fn note_idle(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (protocol, session) = (&self.protocol, &client.session);
        // What a queued one has said is not read yet.
        let stays = client.queued || client.conn.unwritten() > 0 || !protocol.makes_room(session);
        let place: Option<Place> = (!stays).then(|| {
            let idle = match (client.partial.is_some(), protocol.has_asked(session)) {
                (true, _) => Idle::Partial,
                (false, false) if client.crowded => Idle::Crowded,
                (false, false) => Idle::Silent,
                (false, true) if protocol.has_requested(session) => Idle::Served,
                (false, true) => Idle::Probed,
            };
            (idle, client.used)
        });
        let before = std::mem::replace(&mut client.idle, place);
        self.idle.move_to(id, before, place);
    }
}

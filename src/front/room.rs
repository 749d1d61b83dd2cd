//! How much a front's clients may take up, and who makes room for newcomers.

use super::idle::{IdleKind, IdlePosition};
use super::protocol::Protocol;
use super::Front;
use std::time::{Duration, Instant};

/// How long a client must have been idle before it is evicted; the second value is for clients that never sent
/// a command. It is not zero because the first command of a client that was just accepted may not be read yet.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(250);
pub(super) const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// How long a client with an incomplete command must have been stalled before it is evicted.
const MIN_STALL_BEFORE_EVICTION: Duration = Duration::from_millis(600);
/// Clients that never sent a command may hold one part in this many of the slots at the cost of served clients.
const SILENT_SHARE_DIVISOR: usize = 2;

/// How long the front counts as at capacity after a new connection found no free slot.
pub(super) const AT_CAPACITY_HOLD: Duration = Duration::from_secs(1);

/// Limits on the clients of a front.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Clients above which idle ones are closed, although there is still capacity.
    pub evict_idle_above: usize,
    /// Connected clients that are served.
    pub clients: usize,
    /// Further clients that are connected only to be declined with a retry delay.
    pub overflow: usize,
    /// Further connections that are closed from this side and wait for the client to close.
    pub lingering: usize,
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Its requests are served.
    Serve,
    /// It is kept until its first command is declined with a retry delay.
    Decline,
    /// There is no slot for it: it is closed unread.
    Close,
}

impl<P: Protocol> Front<P> {
    /// Whether all slots are taken, or were when a new connection arrived a moment ago. The latter is needed
    /// because a silent client that was evicted for a new connection leaves a free slot as soon as that one
    /// ends, and the next one takes it.
    pub fn is_at_capacity(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < AT_CAPACITY_HOLD;
        self.served_count() >= self.limits.clients || self.last_full_at.is_some_and(recent)
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: ClientLimits) {
        self.limits = limits;
    }

    /// Number of clients whose requests are served.
    pub(super) fn served_count(&self) -> usize {
        self.clients.len() - self.overflow_count
    }

    /// Serves a client from now on that was to be declined, if a slot is free.
    pub(super) fn promote_overflow_client(&mut self, id: usize) {
        if self.served_count() >= self.limits.clients {
            return;
        }
        if let Some(client) = self.clients.get_mut(&id) {
            self.overflow_count -= usize::from(std::mem::take(&mut client.is_overflow));
        }
    }

    /// Finds a slot for a new connection, evicting another client if needed. No client that was served is
    /// evicted while those that never sent a command hold more than their share, so that a peer that opens
    /// hundreds of connections displaces its own.
    pub(super) fn decide_admission(&mut self, now: Instant) -> Admission {
        if self.served_count() >= self.limits.clients {
            self.last_full_at = Some(now);
        }
        while self.served_count() >= self.limits.clients {
            let silent_above_share =
                self.idle_order.len(IdleKind::Silent) > self.limits.clients / SILENT_SHARE_DIVISOR;
            let freed = match silent_above_share {
                true => self.demote_longest_silent(),
                false => self.evict_idle_client(now, true),
            };
            if !freed {
                break;
            }
        }
        if self.served_count() < self.limits.clients {
            return Admission::Serve;
        }
        if self.overflow_count < self.limits.overflow || self.evict_longest_waiting(IdleKind::Overflow) {
            return Admission::Decline;
        }
        // Evicting a silent client frees a slot for a served one; the slots for declined clients are all taken,
        // and counting the new connection among them would exceed the descriptors.
        match self.evict_longest_waiting(IdleKind::Silent) {
            true => Admission::Serve,
            false => Admission::Close,
        }
    }

    /// Whether accepting waits until clients accepted earlier are processed: declining the requests of those
    /// over the limit frees descriptors at once.
    pub(super) fn defers_accept(&self) -> bool {
        let full = self.clients.len() >= self.limits.clients + self.limits.overflow;
        let silent = self.idle_order.len(IdleKind::Silent) + self.idle_order.len(IdleKind::Overflow);
        full && !self.backlog.is_empty() && silent == 0
    }

    /// Closes the client of this kind that has waited longest, without a lingering close. Only for kinds whose
    /// clients have sent no command: they are owed no answer.
    fn evict_longest_waiting(&mut self, kind: IdleKind) -> bool {
        let longest = self.idle_order.longest_waiting(kind);
        longest.is_some_and(|(_, id)| self.remove(id).is_some())
    }

    /// Takes the slot of the client that has been silent for longest. It stays connected to be declined as long
    /// as there are slots for that, so that a command sent a moment later gets an answer and not a reset.
    fn demote_longest_silent(&mut self) -> bool {
        let Some((_, id)) = self.idle_order.longest_waiting(IdleKind::Silent) else { return false };
        if self.overflow_count >= self.limits.overflow && !self.evict_longest_waiting(IdleKind::Overflow) {
            return self.remove(id).is_some();
        }
        let Some(client) = self.clients.get_mut(&id) else { return false };
        client.is_overflow = true;
        self.overflow_count += 1;
        self.update_idle_position(id);
        true
    }

    /// Closes the client whose eviction costs least, if there is one: first an idle client that has sent a
    /// command, which can reconnect at no loss; then, at capacity only, one that never sent a command; then one
    /// whose command is incomplete and stalled. The minimum waits protect slow clients from being evicted like
    /// those that never finish.
    pub(super) fn evict_idle_client(&mut self, now: Instant, at_capacity: bool) -> bool {
        let waited = |kind: IdleKind, min_wait: Duration| {
            self.idle_order
                .longest_waiting(kind)
                .filter(|(since, _)| now.saturating_duration_since(*since) >= min_wait)
        };
        // After SIGTERM a client cannot reconnect, since new connections go to another process.
        let served =
            waited(IdleKind::Served, MIN_IDLE_BEFORE_EVICTION).filter(|_| !self.client_policy.keep_idle);
        let candidate =
            [waited(IdleKind::Probed, MIN_IDLE_BEFORE_EVICTION), served].into_iter().flatten().min();
        if let Some((_, id)) = candidate {
            return self.close_gracefully(now, id);
        }
        if !at_capacity {
            return false;
        }
        if waited(IdleKind::Silent, MIN_SILENCE_BEFORE_EVICTION).is_some() {
            return self.evict_longest_waiting(IdleKind::Silent);
        }
        waited(IdleKind::Partial, MIN_STALL_BEFORE_EVICTION)
            .is_some_and(|(_, id)| self.close_gracefully(now, id))
    }

    /// Updates a client's position among those that may be evicted, after any event.
    pub(super) fn update_idle_position(&mut self, id: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (protocol, session) = (&self.protocol, &client.session);
        // The input of a queued client is not read yet.
        let not_evictable = client.queued || client.conn.unwritten() > 0 || !protocol.is_evictable(session);
        let position: Option<IdlePosition> = (!not_evictable).then(|| {
            let kind = match (client.partial_since.is_some(), protocol.has_sent_command(session)) {
                (true, _) => IdleKind::Partial,
                (false, false) if client.is_overflow => IdleKind::Overflow,
                (false, false) => IdleKind::Silent,
                (false, true) if protocol.has_sent_request(session) => IdleKind::Served,
                (false, true) => IdleKind::Probed,
            };
            (kind, client.last_active)
        });
        let previous = std::mem::replace(&mut client.idle_position, position);
        self.idle_order.move_to(id, previous, position);
    }
}

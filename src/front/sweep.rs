//! Clients that are silent, do not go on, do not read or were idle for long are looked for at intervals, and closed.

use super::protocol::Protocol;
use super::room::SILENT_BEFORE_ROOM;
use super::Front;
use crate::core::Core;
use std::time::{Duration, Instant};

/// A client that has not asked for anything by then, or whose command has not come any further for as long, is closed.
/// A head may take two seconds.
pub(super) const SILENCE: Duration = Duration::from_millis(2600);
/// A connection that is to be ended waits this long for its client to read what was written.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// A client that does not read what it was sent is closed after this.
const UNREAD: Duration = Duration::from_secs(10);
/// An idle connection is closed after this; the platform lets it be closed after two seconds. Guards against
/// clients that keep what they have used once, until there is nothing left for others.
const IDLE: Duration = Duration::from_millis(2100);
/// While clients are sent away, one that never asked for anything is given this long to do so.
const SILENT_BEFORE_SHED: Duration = Duration::from_millis(1000);

impl<P: Protocol> Front<P> {
    /// Whether connections are closed as they become idle.
    pub(super) fn sheds(&self, now: Instant) -> bool {
        !self.standing.hands_over && self.standing.shed_from.is_some_and(|from| from <= now)
    }

    /// Closes clients that are silent, do not go on, do not read or were idle for long. Guards against
    /// connections that are opened and kept by the hundred.
    pub(super) fn sweep(&mut self, now: Instant, core: &mut Core) {
        let (mut dropped, mut ended, mut parted) = (Vec::new(), Vec::new(), Vec::new());
        let sheds = self.sheds(now);
        for (id, client) in &self.clients {
            let (protocol, session) = (&self.protocol, &client.session);
            // Whoever has begun to ask is not idle, however slowly it goes on.
            let idle = protocol.is_idle(session) && client.partial.is_none() && !client.queued;
            let written = client.conn.unwritten() == 0;
            let silent = idle && !protocol.has_asked(session) && now - client.since > SILENCE;
            let unread = !written && now - client.read > UNREAD;
            // Whoever was sent away may still have a command on its way, which is to be answered.
            let away = client.sent_away.is_some() && now - client.used > SILENT_BEFORE_ROOM;
            let last_words = client.closing.is_some_and(|since| now - since > LAST_WORDS);
            if silent || unread || last_words {
                core.counters.clients_silent += 1;
                if written && idle { &mut parted } else { &mut dropped }.push(*id);
            } else if client.partial.is_some_and(|since| now - since > SILENCE) {
                core.counters.clients_silent += 1;
                ended.push(*id);
            } else if idle
                && written
                && (away
                    || (sheds && (protocol.has_asked(session) || client.since + SILENT_BEFORE_SHED < now))
                    || (!self.standing.keeps_idle
                        && protocol.has_asked(session)
                        && protocol.makes_room(session)
                        && now - client.used > IDLE))
            {
                parted.push(*id);
            }
        }
        dropped.into_iter().for_each(|id| self.drop_client(id, core));
        for id in parted {
            self.close_in_order(now, id);
        }
        // Guards against clients that each keep a connection and may hold only so many: the next request would find
        // none. Whoever is idle comes back on a new one.
        while !self.standing.keeps_idle
            && self.in_service() > self.limits.evict_idle_above
            && self.close_an_idle_one(now, false)
        {}
        for id in ended {
            self.end(now, id, core);
            self.write(now, id, core);
        }
    }
}

//! Clients that are silent, do not go on, do not read or were idle for long are looked for at intervals, and closed.

use super::protocol::{Abandoned, Protocol, StallLimits};
use super::reading::READ_TIMEOUT;
use super::room::MIN_SILENCE_BEFORE_EVICTION;
use super::{Front, BODY_TIMEOUT};
use crate::core::Core;
use std::time::{Duration, Instant};

/// Interval between checks of all clients for expired timeouts.
pub(super) const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A client is closed if it sends no command for this long, or if an incomplete command makes no progress for
/// this long. The head of a command may take two seconds.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long a connection that is to be closed waits for its client to go on reading the remaining output.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// An idle connection is closed after this; the platform permits it after two seconds. Otherwise clients would
/// hold connections that they used once until none is left for others.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Time that a client without any command is given while load is shed.
const SILENCE_TIMEOUT_SHEDDING: Duration = Duration::from_millis(1000);

impl<P: Protocol> Front<P> {
    /// Whether an idle client has not received all of its answers yet. It counts as active as long as it goes on reading.
    fn is_still_reading(&mut self, now: Instant, id: usize) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let reading = client.reading.is_in_progress(now, &client.conn);
        if reading {
            client.last_active = now;
            self.update_idle_position(id);
        }
        reading
    }

    /// Closes clients that are silent, stalled, not reading, or idle for too long, so that connections that are
    /// opened by the hundred and never used do not accumulate.
    pub(super) fn close_timed_out(&mut self, now: Instant, core: &mut Core) {
        let (mut to_drop, mut to_finish, mut to_abandon, mut to_close, mut unused) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let shedding = self.is_shedding(now);
        let stall_limits = self.stall_limits(now);
        for (id, client) in &self.clients {
            let (protocol, session) = (&self.protocol, &client.session);
            // A client that has begun a command is not idle, however slowly it continues.
            let idle = protocol.is_idle(session) && client.partial_since.is_none() && !client.queued;
            let all_written = client.all_written();
            let silent =
                idle && !protocol.has_sent_command(session) && now - client.connected_at > SILENCE_TIMEOUT;
            let stalled_write = !all_written && now - client.last_write_progress > READ_TIMEOUT;
            // A client that was redirected may have another command on its way, which is to be answered.
            let redirect_idle =
                client.declined_since.is_some() && now - client.last_active > MIN_SILENCE_BEFORE_EVICTION;
            // Answers that are still coming from their nodes are passed on before the close.
            let close_expired = client.closing_since.is_some_and(|since| now - since > CLOSE_TIMEOUT)
                && !protocol.has_unanswered(session)
                && now - client.last_write_progress > CLOSE_TIMEOUT;
            if silent || stalled_write || close_expired {
                core.counters.clients_silent += 1;
                if all_written && idle { &mut to_close } else { &mut to_drop }.push(*id);
            } else if client.partial_since.is_some_and(|since| now - since > SILENCE_TIMEOUT) {
                core.counters.clients_silent += 1;
                to_finish.push(*id);
            } else if !client.waits_for_this_side() && protocol.is_stalled(session, &stall_limits) {
                core.counters.clients_silent += 1;
                to_abandon.push(*id);
            } else if idle
                && all_written
                && (redirect_idle
                    || (shedding
                        && (protocol.has_sent_command(session)
                            || client.connected_at + SILENCE_TIMEOUT_SHEDDING < now)))
            {
                to_close.push(*id);
            } else if idle
                && all_written
                && !self.client_policy.keep_idle
                && protocol.has_sent_command(session)
                && protocol.is_evictable(session)
                && now - client.last_active > IDLE_TIMEOUT
            {
                unused.push(*id);
            }
        }
        to_drop.into_iter().for_each(|id| self.drop_client(id, core));
        unused.retain(|id| !self.is_still_reading(now, *id));
        for id in to_close.into_iter().chain(unused) {
            self.close_unless_readable(now, id);
        }
        // Idle clients are closed above this limit because open connections take up descriptors that the next
        // requests need. An idle client can reconnect.
        while !self.client_policy.keep_idle
            && self.served_count() > self.limits.evict_idle_above
            && self.evict_idle_client(now, false)
        {}
        for id in to_finish {
            self.finish_and_close(now, id, core);
            self.flush(now, id, core);
        }
        for id in to_abandon {
            self.abandon_unfinished(id, Abandoned::ByClient);
            self.flush(now, id, core);
        }
    }

    /// Since when a client that is in the middle of commands has to have gone on. While load is shed no further commands
    /// are begun, and those that were are given the time of one.
    fn stall_limits(&self, now: Instant) -> StallLimits {
        let now_unix = self.clock.unix(now);
        let shed_for = self.shedding_since(now).map(|since| now.saturating_duration_since(since));
        let overdue = shed_for.is_some_and(|shed_for| shed_for > BODY_TIMEOUT);
        let whole_within = if overdue { Duration::ZERO } else { BODY_TIMEOUT };
        StallLimits {
            data_since: now_unix.saturating_sub(SILENCE_TIMEOUT),
            whole_since: now_unix.saturating_sub(whole_within),
        }
    }

    /// Ends the commands of a client that are not whole, and answers them. The client's other commands go on.
    pub(super) fn abandon_unfinished(&mut self, id: usize, reason: Abandoned) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let mut output = Vec::new();
        self.protocol.abandon_unfinished(&mut client.session, reason, &mut output);
        client.conn.push(&output);
    }
}

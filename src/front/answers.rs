//! Answers on their way to clients, whole or piece by piece.

use super::protocol::Protocol;
use super::sweep::SILENCE_TIMEOUT;
use super::Front;
use crate::core::{Answer, Core, Origin};
use crate::flow::{Grant, WINDOW};
use std::time::Instant;

impl<P: Protocol> Front<P> {
    /// Writes a final answer to its client.
    pub fn answer(&mut self, now: Instant, origin: Origin, answer: Answer, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let mut output = Vec::new();
        self.protocol.write_answer(&mut client.session, origin.sequence, answer, &mut output);
        client.conn.push(&output);
        client.last_active = now;
        self.resume(now, origin.conn, core);
        self.flush(now, origin.conn, core);
    }

    /// Begins a streamed answer of `length` bytes. With a grant the answer is buffered whole.
    pub fn begin_answer(
        &mut self,
        now: Instant,
        origin: Origin,
        length: usize,
        grant: Option<Grant>,
        core: &mut Core,
    ) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streaming_answers += 1;
        client.grants.extend(grant);
        self.write_stream_part(now, origin, core, |protocol, session, output| {
            protocol.begin_answer(session, origin.sequence, length, output);
        });
    }

    /// Writes the next piece of a streamed answer.
    pub fn write_piece(&mut self, now: Instant, origin: Origin, piece: &[u8], core: &mut Core) {
        self.write_stream_part(now, origin, core, |protocol, session, output| {
            protocol.write_piece(session, origin.sequence, piece, output);
        });
    }

    /// Ends a streamed answer. If it is incomplete, the connection is dropped, which is the only way to tell
    /// the client.
    pub fn finish_answer(&mut self, now: Instant, origin: Origin, whole: bool, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streaming_answers -= 1;
        if !whole {
            core.counters.answers_truncated += 1;
            return self.drop_client(origin.conn, core);
        }
        self.write_stream_part(now, origin, core, |protocol, session, output| {
            protocol.finish_answer(session, origin.sequence, output)
        });
        self.resume(now, origin.conn, core);
    }

    fn write_stream_part(
        &mut self,
        now: Instant,
        origin: Origin,
        core: &mut Core,
        write: impl FnOnce(&P, &mut P::Session, &mut Vec<u8>),
    ) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let mut output = Vec::new();
        write(&self.protocol, &mut client.session, &mut output);
        client.conn.push(&output);
        client.last_active = now;
        self.flush(now, origin.conn, core);
    }

    /// Bytes of a streamed answer that a client's connection can take now.
    pub fn answer_capacity(&self, origin: Origin) -> usize {
        let Some(client) = self.clients.get(&origin.conn) else { return 0 };
        WINDOW.saturating_sub(client.conn.unwritten() + self.protocol.buffered_answer_bytes(&client.session))
    }

    /// Continues with a client that was paused.
    pub fn resume(&mut self, now: Instant, id: usize, core: &mut Core) {
        // While shedding, only the command that has already begun is read on.
        let shedding = self.client_policy.shed_from.is_some_and(|from| from <= now);
        let Some(client) = self.clients.get(&id) else { return };
        if client.paused && (!shedding || self.protocol.is_receiving_body(&client.session)) {
            self.process_input(now, id, core);
            self.flush(now, id, core);
        }
    }

    /// Sends buffered output, and closes the connection if that is due.
    pub(super) fn flush(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let previously_unwritten = client.conn.unwritten();
        if client.conn.flush().is_err() {
            return self.drop_client(id, core);
        }
        let unwritten = client.conn.unwritten();
        if unwritten == 0 || unwritten < previously_unwritten {
            client.last_write_progress = now;
        }
        if unwritten == 0 && client.streaming_answers == 0 {
            client.grants.clear();
        }
        let granted: usize = client.grants.iter().map(Grant::bytes).sum();
        let answer_bytes = unwritten + self.protocol.buffered_answer_bytes(&client.session);
        let buffered_bytes = answer_bytes.saturating_sub(granted) + client.conn.input.len();
        self.buffered_bytes = self.buffered_bytes + buffered_bytes
            - std::mem::replace(&mut client.buffered_bytes, buffered_bytes);
        // While shedding, clients are closed as soon as they are idle. A redirected client that keeps sending
        // commands is closed after a timeout.
        let shedding =
            !self.client_policy.hand_over && self.client_policy.shed_from.is_some_and(|from| from <= now);
        let closes_when_idle =
            shedding && client.conn.input.is_empty() && self.protocol.has_sent_command(&client.session);
        let redirect_expired = client.redirected_since.is_some_and(|since| now - since > SILENCE_TIMEOUT);
        if (client.closing_since.is_some() || redirect_expired || closes_when_idle)
            && unwritten == 0
            && self.protocol.is_idle(&client.session)
        {
            self.close_gracefully(now, id);
            return;
        }
        self.update_idle_position(id);
    }
}

//! Answers on their way to clients, whole or piece by piece.

use super::protocol::Protocol;
use super::sweep::SILENCE;
use super::Front;
use crate::core::{Answer, Core, Origin};
use crate::flow::{Grant, WINDOW};
use std::time::Instant;

impl<P: Protocol> Front<P> {
    /// Gives a final answer to its client.
    pub fn answer(&mut self, now: Instant, origin: Origin, answer: Answer, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let mut output = Vec::new();
        self.protocol.answer(&mut client.session, origin.sequence, answer, &mut output);
        client.conn.push(&output);
        client.used = now;
        self.go_on(now, origin.conn, core);
        self.write(now, origin.conn, core);
    }

    /// A long answer of so many bytes begins; a grant holds it whole.
    pub fn begin(
        &mut self,
        now: Instant,
        origin: Origin,
        length: usize,
        grant: Option<Grant>,
        core: &mut Core,
    ) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streams += 1;
        client.grants.extend(grant);
        self.pass(now, origin, core, |protocol, session, output| {
            protocol.begin(session, origin.sequence, length, output);
        });
    }

    /// A long answer goes on.
    pub fn piece(&mut self, now: Instant, origin: Origin, piece: &[u8], core: &mut Core) {
        self.pass(now, origin, core, |protocol, session, output| {
            protocol.piece(session, origin.sequence, piece, output);
        });
    }

    /// A long answer has come to its end. One that is not whole ends the connection: its client can tell by that alone.
    pub fn finish(&mut self, now: Instant, origin: Origin, whole: bool, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streams -= 1;
        if !whole {
            core.counters.answers_truncated += 1;
            return self.drop_client(origin.conn, core);
        }
        self.pass(now, origin, core, |protocol, session, output| {
            protocol.finish(session, origin.sequence, output)
        });
        self.go_on(now, origin.conn, core);
    }

    fn pass(
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
        client.used = now;
        self.write(now, origin.conn, core);
    }

    /// How much more of a long answer a client's connection takes now.
    pub fn room(&self, origin: Origin) -> usize {
        let Some(client) = self.clients.get(&origin.conn) else { return 0 };
        WINDOW.saturating_sub(client.conn.unwritten() + self.protocol.kept_back(&client.session))
    }

    /// Goes on with a client that waited for room.
    pub fn go_on(&mut self, now: Instant, id: usize, core: &mut Core) {
        // Who is sent away is asked for no more than what it has begun.
        let leaves = self.standing.shed_from.is_some_and(|from| from <= now);
        let Some(client) = self.clients.get(&id) else { return };
        if client.paused && (!leaves || self.protocol.is_receiving(&client.session)) {
            self.take_input(now, id, core);
            self.write(now, id, core);
        }
    }

    /// Writes what goes; closes where that is due.
    pub(super) fn write(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let before = client.conn.unwritten();
        if client.conn.flush().is_err() {
            return self.drop_client(id, core);
        }
        let unwritten = client.conn.unwritten();
        if unwritten == 0 || unwritten < before {
            client.read = now;
        }
        if unwritten == 0 && client.streams == 0 {
            client.grants.clear();
        }
        let granted: usize = client.grants.iter().map(Grant::bytes).sum();
        let answers = unwritten + self.protocol.kept_back(&client.session);
        let kept = answers.saturating_sub(granted) + client.conn.input.len();
        self.kept = self.kept + kept - std::mem::replace(&mut client.kept, kept);
        // Guards against a client that goes on asking where it is only sent away.
        let shed = !self.standing.hands_over && self.standing.shed_from.is_some_and(|from| from <= now);
        let shed = shed && client.conn.input.is_empty() && self.protocol.has_asked(&client.session);
        let asks_on = client.sent_away.is_some_and(|since| now - since > SILENCE);
        if (client.closing.is_some() || asks_on || shed)
            && unwritten == 0
            && self.protocol.is_idle(&client.session)
        {
            self.close_in_order(now, id);
            return;
        }
        self.note_idle(id);
    }
}

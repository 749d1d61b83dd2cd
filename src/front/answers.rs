//! Answers on their way to clients, whole or piece by piece.

use super::client::{Client, StreamMemory, StreamedAnswer};
use super::protocol::Protocol;
use super::Front;
use crate::core::{Answer, Core, Origin};
use crate::flow::WINDOW;
use std::time::Instant;

impl<P: Protocol> Front<P> {
    /// Writes a final answer to its client.
    pub fn answer(&mut self, now: Instant, origin: Origin, answer: Answer, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let mut output = Vec::new();
        self.protocol.write_answer(&mut client.session, origin.sequence, answer, &mut output);
        client.conn.push_owned(output);
        client.last_active = now;
        self.resume(now, origin.conn, core);
        self.flush(now, origin.conn, core);
    }

    /// Begins a streamed answer of `length` bytes. With memory for all of it, it is buffered whole.
    pub fn begin_answer(
        &mut self,
        now: Instant,
        origin: Origin,
        length: usize,
        memory: StreamMemory,
        core: &mut Core,
    ) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streams.push(StreamedAnswer {
            sequence: origin.sequence,
            memory,
            finished: false,
            released: false,
        });
        self.protocol.begin_answer(&mut client.session, origin.sequence, length);
        client.last_active = now;
        self.flush(now, origin.conn, core);
    }

    /// Takes the next piece of a streamed answer, and passes it on if the answer is the next in order.
    pub fn write_piece(&mut self, now: Instant, origin: Origin, piece: &[u8], core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        self.protocol.add_piece(&mut client.session, origin.sequence, piece);
        client.last_active = now;
        self.flush(now, origin.conn, core);
    }

    /// Ends a streamed answer that was received whole.
    pub fn finish_answer(&mut self, now: Instant, origin: Origin, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let stream = client.streams.iter_mut().find(|stream| stream.sequence == origin.sequence);
        stream.into_iter().for_each(|stream| stream.finished = true);
        let mut output = Vec::new();
        self.protocol.finish_answer(&mut client.session, origin.sequence, &mut output);
        client.conn.push_owned(output);
        client.last_active = now;
        self.flush(now, origin.conn, core);
        self.resume(now, origin.conn, core);
    }

    /// Ends a connection within a streamed answer that broke off after a part of it was passed on: only the end tells
    /// the client that the answer is not whole. Earlier answers are with the kernel by then, and reach the client: a
    /// plain close over unread commands would reset the connection under them.
    pub fn truncate_answer(&mut self, now: Instant, origin: Origin, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        core.counters.answers_truncated += 1;
        client.conn.discard_output();
        let open_requests = self.protocol.open_requests(&client.session);
        open_requests.into_iter().for_each(|request| core.client_gone(request));
        self.close_gracefully(now, origin.conn);
    }

    /// Drops a streamed answer that broke off before any of it was passed on. Its request gets another answer.
    pub fn discard_answer(&mut self, now: Instant, origin: Origin, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        client.streams.retain(|stream| stream.sequence != origin.sequence);
        self.protocol.discard_answer(&mut client.session, origin.sequence);
        self.flush(now, origin.conn, core);
    }

    /// Passes a streamed answer on as it comes from now on, also while other commands wait behind it.
    pub fn release_answer(&mut self, now: Instant, origin: Origin, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let stream = client.streams.iter_mut().find(|stream| stream.sequence == origin.sequence);
        stream.into_iter().for_each(|stream| stream.released = true);
        self.flush(now, origin.conn, core);
    }

    /// Passes on what there is of a streamed answer that is next in order. Its first byte is written only after all
    /// earlier answers, and commits the request to it: from then on, only the end of the connection can tell the client
    /// that the answer is not whole. That would take the commands behind it along, so that while there are any it is held
    /// back until it is whole or its deadline has come, as far as memory permits.
    fn pass_on_stream(protocol: &P, client: &mut Client<P::Session>, core: &mut Core) -> std::io::Result<()> {
        client.stream_blocked = false;
        let Some(next) = protocol.unfinished_answer(&mut client.session) else { return Ok(()) };
        if next.bytes.is_empty() {
            return Ok(());
        }
        if *next.begun {
            client.conn.push_owned(std::mem::take(next.bytes));
            return client.conn.flush();
        }
        let stream = client.streams.iter().find(|stream| stream.sequence == next.sequence);
        let held = next.has_successors && stream.is_some_and(StreamedAnswer::may_be_held);
        if held || client.conn.unwritten() > 0 || !core.is_streaming(next.request) {
            return Ok(());
        }
        *next.begun = client.conn.begin(next.bytes)?;
        client.stream_blocked = !*next.begun;
        if *next.begun {
            core.commit_stream(next.request);
        }
        Ok(())
    }

    /// Bytes of a streamed answer that a client's connection can take now. Answers behind it don't count: they can't leave
    /// before it has, so that waiting for them would last forever.
    pub fn answer_capacity(&self, origin: Origin) -> usize {
        let Some(client) = self.clients.get(&origin.conn) else { return 0 };
        let stream = client.streams.iter().find(|stream| stream.sequence == origin.sequence);
        if stream.is_some_and(|stream| matches!(stream.memory, StreamMemory::Whole(_))) {
            // In steps: what was read from the node and not yet passed on exists beside the grant.
            return 2 * WINDOW;
        }
        let ahead = self.protocol.buffered_bytes_through(&client.session, origin.sequence);
        WINDOW.saturating_sub(client.conn.unwritten() + ahead)
    }

    /// Continues with a client that was paused.
    pub fn resume(&mut self, now: Instant, id: usize, core: &mut Core) {
        if self.clients.get(&id).is_some_and(|client| client.paused) {
            self.process_input(now, id, core);
            self.flush(now, id, core);
        }
    }

    /// Sends buffered output, and closes the connection if that is due.
    pub(super) fn flush(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let previously_unwritten = client.conn.unwritten();
        let written = client.conn.flush().and_then(|()| Self::pass_on_stream(&self.protocol, client, core));
        if written.is_err() {
            return self.drop_client(id, core);
        }
        let unwritten = client.conn.unwritten();
        if client.all_written() || unwritten < previously_unwritten {
            client.last_write_progress = now;
        }
        if unwritten == 0 {
            let (protocol, session) = (&self.protocol, &client.session);
            client
                .streams
                .retain(|stream| !stream.finished || protocol.is_unanswered(session, stream.sequence));
        }
        let granted: usize = client.streams.iter().map(|stream| stream.memory.bytes()).sum();
        let answer_bytes = unwritten + self.protocol.buffered_answer_bytes(&client.session);
        let previously_buffered = client.buffered_bytes();
        client.answer_memory.resize(answer_bytes.saturating_sub(granted));
        client.input_memory.resize(client.conn.input.capacity());
        self.buffered_bytes = self.buffered_bytes + client.buffered_bytes() - previously_buffered;
        let answered = unwritten == 0 && !self.protocol.has_unanswered(&client.session);
        if answered && client.closing_since.is_some() {
            self.close_gracefully(now, id);
            return;
        }
        let idle = client.conn.input.is_empty() && self.protocol.is_idle(&client.session);
        let has_sent = self.protocol.has_sent_command(&client.session);
        self.update_idle_position(id);
        if answered && idle && has_sent && self.is_shedding(now) {
            self.close_unless_readable(now, id);
        }
    }
}

//! One connection to a node.

use super::session::Session;
use super::Endpoint;
use crate::conn::Conn;
use crate::core::{AttemptId, Content};
use crate::flow::BodyStream;
use crate::interface::NodeId;
use crate::memory::Grant;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Most bytes of a long body that are queued for a connection at a time.
const BODY_PIECE_BYTES: usize = 32 * 1024;

/// A connection to a node, with the attempt on it if there is one.
pub(super) struct Connection {
    pub conn: Conn,
    pub session: Box<dyn Session>,
    pub node: NodeId,
    /// The endpoint that this connection was opened to.
    pub endpoint: Endpoint,
    /// The TCP connection is established.
    pub connected: bool,
    pub attempt: Option<AttemptId>,
    /// Content and deadline of an attempt that has not been encoded yet.
    pub pending: Option<(Rc<Content>, Instant)>,
    /// Time by which the last byte of the attempt has to be sent.
    pub begin_by: Instant,
    /// Since when the connection is idle.
    pub idle_since: Instant,
    /// Since when an incomplete answer has made no progress.
    pub partial_since: Option<Instant>,
    /// A long request body that is being sent, and how many of its bytes were queued for output.
    pub body: Option<(BodyStream, usize)>,
    /// When a long body or answer last made progress.
    pub last_progress: Instant,
    /// When the attempt was started, how long its body took to send, and when an answer that did not arrive whole
    /// began.
    pub started: Instant,
    pub send_time: Option<Duration>,
    pub answer_started: Option<Instant>,
    /// [`TransferEvent::Slow`] was reported for this attempt.
    pub reported_slow: bool,
    /// Bytes of a long answer that may still be read, once it has started.
    pub credit: Option<usize>,
    /// Memory for what is buffered.
    pub memory: Grant,
}

impl Connection {
    /// Whether the attempt's last byte was handed to the kernel.
    pub fn all_written(&self) -> bool {
        self.pending.is_none() && self.body.is_none() && self.session.is_sent() && self.conn.unwritten() == 0
    }

    /// Counts what is buffered.
    pub fn count_memory(&mut self) {
        let bytes = self.conn.input.capacity() + self.conn.unwritten() + self.session.buffered_bytes();
        self.memory.resize(bytes);
    }

    /// Whether no byte of the attempt was handed to the kernel.
    pub fn is_unsent(&self) -> bool {
        self.pending.is_some() || (!self.conn.has_begun() && self.conn.unwritten() > 0)
    }

    /// Writes as much of a long body as is available, one piece at a time; true if any bytes were written. Its terminator
    /// follows once the client's command is whole.
    pub fn write_body(&mut self, now: Instant) -> std::io::Result<bool> {
        let mut moved = false;
        while let Some((flow, at)) = &mut self.body {
            let before = self.conn.unwritten();
            self.conn.flush()?;
            moved |= self.conn.unwritten() < before;
            if self.conn.unwritten() > 0 {
                break;
            }
            let piece = flow.copy(*at, BODY_PIECE_BYTES);
            *at += piece.len();
            flow.release(*at);
            self.conn.push(&piece);
            moved |= !piece.is_empty();
            if *at == flow.length() && flow.is_terminated() {
                // The node begins its work with the terminator, which the client has to have sent.
                self.conn.push(b"\r\n");
                self.body = None;
                moved = true;
            } else if piece.is_empty() {
                break;
            }
        }
        self.conn.flush()?;
        if self.send_time.is_none() && self.body.is_none() && self.conn.unwritten() == 0 {
            self.send_time = Some(now - self.started);
        }
        if moved {
            self.last_progress = now;
        }
        Ok(moved)
    }

    /// Starts the pending attempt, if there is one; false if the protocol cannot express it.
    pub fn start_pending(&mut self, now: Instant) -> bool {
        let Some((content, give_up_at)) = self.pending.take() else { return true };
        let mut output = Vec::new();
        let supported = self.session.start(&content, give_up_at.saturating_duration_since(now), &mut output);
        self.conn.push(&output);
        self.body = content.body_stream.clone().map(|flow| (flow, 0));
        (self.started, self.last_progress, self.reported_slow) = (now, now, false);
        (self.send_time, self.answer_started, self.credit) = (None, None, None);
        supported
    }
}

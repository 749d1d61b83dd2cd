//! Long values: the body of a write while it is received from the client and sent to a node. No I/O.

use crate::memory::{Budget, Grant, Purpose};
use std::cell::RefCell;
use std::rc::Rc;

/// Longer values are streamed, in bytes.
pub const STREAM_THRESHOLD: usize = 64 * 1024;
/// Longest value that is accepted, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Most bytes buffered of a value for which the budget had no capacity left.
pub const WINDOW: usize = 64 * 1024;

/// The body of a write, shared by the front that receives it and the target that sends it.
#[derive(Clone, Debug)]
pub struct BodyStream(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    length: usize,
    /// Offset of the first buffered byte in the body.
    start: usize,
    buffered: Vec<u8>,
    /// Memory for what is buffered.
    memory: Memory,
    /// The client has sent the terminator behind the body, so that its command is whole.
    terminated: bool,
}

#[derive(Debug)]
enum Memory {
    /// For all of the body, which is kept so that it can be sent again.
    Whole(Grant),
    /// For a part of it: what was sent makes room for more.
    Window(Grant),
    /// The body is not needed, or there is no memory for it: it is received and dropped.
    Discarded,
}

/// Identity, not equality of content.
impl PartialEq for BodyStream {
    fn eq(&self, other: &BodyStream) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl BodyStream {
    /// A body of which nothing was received. It takes memory for all of it, else for a window, else it is discarded.
    pub fn take(budget: &Budget, length: usize) -> Self {
        let whole = budget.grant(Purpose::LongValue, length).map(Memory::Whole);
        let window = || budget.grant(Purpose::Window, length.min(WINDOW)).map(Memory::Window);
        let memory = whole.or_else(window).unwrap_or(Memory::Discarded);
        let (start, buffered, terminated) = (0, Vec::new(), false);
        BodyStream(Rc::new(RefCell::new(State { length, start, buffered, memory, terminated })))
    }

    /// Length of the whole body in bytes.
    pub fn length(&self) -> usize {
        self.0.borrow().length
    }

    /// Bytes received so far.
    pub fn received(&self) -> usize {
        let state = self.0.borrow();
        state.start + state.buffered.len()
    }

    /// Whether all of it was received.
    pub fn is_complete(&self) -> bool {
        self.received() == self.length()
    }

    /// Records that the command of this body was received whole, with the terminator behind the body.
    pub fn terminate(&self) {
        debug_assert!(self.is_complete(), "a body ends with its last byte");
        self.0.borrow_mut().terminated = true;
    }

    /// Whether the command of this body was received whole. Until then it may still turn out to be malformed, and a node
    /// must not get the end of it.
    pub fn is_terminated(&self) -> bool {
        self.0.borrow().terminated
    }

    /// Whether it can still be sent from its beginning.
    pub fn is_replayable(&self) -> bool {
        let state = self.0.borrow();
        state.start == 0 && !matches!(state.memory, Memory::Discarded)
    }

    /// How many more bytes can be buffered now.
    pub fn capacity(&self) -> usize {
        let state = self.0.borrow();
        let left = state.length - state.start - state.buffered.len();
        match &state.memory {
            Memory::Whole(_) | Memory::Discarded => left,
            Memory::Window(grant) => left.min(grant.bytes() - state.buffered.len()),
        }
    }

    /// Whether all that is left of it can be buffered now.
    pub fn is_ending(&self) -> bool {
        self.received() + self.capacity() == self.length()
    }

    /// Whether what is received of it is dropped.
    pub fn is_discarded(&self) -> bool {
        matches!(self.0.borrow().memory, Memory::Discarded)
    }

    /// Adds received bytes; at most [`BodyStream::capacity`] of them.
    pub fn push(&self, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        let granted = match &state.memory {
            Memory::Whole(grant) | Memory::Window(grant) => grant.bytes(),
            Memory::Discarded => {
                state.start += bytes.len();
                return;
            }
        };
        if state.buffered.is_empty() {
            // Growing by doubling could allocate up to twice the grant.
            state.buffered.reserve_exact(granted);
        }
        state.buffered.extend_from_slice(bytes);
    }

    /// Up to `max` buffered bytes from offset `from` of the body.
    pub fn copy(&self, from: usize, max: usize) -> Vec<u8> {
        let state = self.0.borrow();
        let buffered =
            from.checked_sub(state.start).and_then(|at| state.buffered.get(at..)).unwrap_or_default();
        buffered[..buffered.len().min(max)].to_vec()
    }

    /// Marks the bytes before offset `upto` as sent. With a window they make room for more.
    pub fn release(&self, upto: usize) {
        let mut state = self.0.borrow_mut();
        if matches!(state.memory, Memory::Window(_)) {
            let count = upto.saturating_sub(state.start).min(state.buffered.len());
            state.buffered.drain(..count);
            state.start += count;
        }
    }

    /// Frees the body; bytes received later are counted and dropped.
    pub fn discard(&self) {
        let mut state = self.0.borrow_mut();
        state.start += state.buffered.len();
        state.buffered = Vec::new();
        state.memory = Memory::Discarded;
    }
}

#[cfg(test)]
mod tests;

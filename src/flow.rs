//! Long values on their way through: one budget of memory for all of them, and the body of a write while it comes in and
//! goes out. No I/O.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A value beyond this is long.
pub const STREAM_THRESHOLD: usize = 64 * 1024;
/// A value is not longer.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// What is held at most of a value that the budget has no room for.
pub const WINDOW: usize = 64 * 1024;

/// Bytes that long values may take up together.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The most, and what is granted.
    bytes: Rc<Cell<(usize, usize)>>,
}

/// Part of the budget, given back when it is dropped.
#[derive(Debug)]
pub struct Grant {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(max: usize) -> Self {
        Budget { bytes: Rc::new(Cell::new((max, 0))) }
    }

    /// Another size from now on; what is granted stays so.
    pub fn resize(&self, max: usize) {
        self.bytes.set((max, self.granted()));
    }

    /// Bytes granted.
    pub fn granted(&self) -> usize {
        self.bytes.get().1
    }

    /// So many bytes, if there are as many left.
    pub fn grant(&self, bytes: usize) -> Option<Grant> {
        let (max, granted) = self.bytes.get();
        let fits = granted.checked_add(bytes).is_some_and(|sum| sum <= max);
        fits.then(|| {
            self.bytes.set((max, granted + bytes));
            Grant { budget: self.clone(), bytes }
        })
    }
}

impl Grant {
    /// How much it is.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let (max, granted) = self.budget.bytes.get();
        self.budget.bytes.set((max, granted - self.bytes));
    }
}

/// The body of a write, shared by who reads it in and who writes it out.
#[derive(Clone, Debug)]
pub struct BodyStream(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    length: usize,
    /// Where in the body the first byte held lies.
    start: usize,
    buffered: Vec<u8>,
    /// The body may be held whole.
    grant: Option<Grant>,
    /// Nobody wants it any more.
    discarded: bool,
}

/// It is the same body, not an equal one.
impl PartialEq for BodyStream {
    fn eq(&self, other: &BodyStream) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl BodyStream {
    /// A body of which nothing has come; with a grant for its whole length it is held whole.
    pub fn new(length: usize, grant: Option<Grant>) -> Self {
        BodyStream(Rc::new(RefCell::new(State {
            length,
            start: 0,
            buffered: Vec::new(),
            grant,
            discarded: false,
        })))
    }

    /// Bytes of the whole body.
    pub fn length(&self) -> usize {
        self.0.borrow().length
    }

    /// Bytes that have come.
    pub fn received(&self) -> usize {
        let state = self.0.borrow();
        state.start + state.buffered.len()
    }

    /// Whether all of it has come.
    pub fn is_complete(&self) -> bool {
        self.received() == self.length()
    }

    /// Whether it can be sent from its beginning.
    pub fn is_replayable(&self) -> bool {
        let state = self.0.borrow();
        state.start == 0 && !state.discarded
    }

    /// How many bytes more can be taken now.
    pub fn capacity(&self) -> usize {
        let state = self.0.borrow();
        let left = state.length - state.start - state.buffered.len();
        match state.grant.is_some() || state.discarded {
            true => left,
            false => left.min(WINDOW - state.buffered.len()),
        }
    }

    /// Takes what has come, as much as there is room for.
    pub fn push(&self, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        if state.discarded {
            state.start += bytes.len();
            return;
        }
        if state.grant.is_some() && state.buffered.is_empty() {
            // Growing by doubling would take up to twice what was granted.
            let length = state.length;
            state.buffered.reserve_exact(length);
        }
        state.buffered.extend_from_slice(bytes);
    }

    /// What is held from a place on, at most so much.
    pub fn copy(&self, from: usize, max: usize) -> Vec<u8> {
        let state = self.0.borrow();
        let buffered =
            from.checked_sub(state.start).and_then(|at| state.buffered.get(at..)).unwrap_or_default();
        buffered[..buffered.len().min(max)].to_vec()
    }

    /// What lies before a place was written out. Without a grant it makes room.
    pub fn release(&self, upto: usize) {
        let mut state = self.0.borrow_mut();
        if state.grant.is_none() {
            let count = upto.saturating_sub(state.start).min(state.buffered.len());
            state.buffered.drain(..count);
            state.start += count;
        }
    }

    /// Nobody wants it any more: what still comes is passed over.
    pub fn discard(&self) {
        let mut state = self.0.borrow_mut();
        state.start += state.buffered.len();
        state.buffered = Vec::new();
        state.grant = None;
        state.discarded = true;
    }
}

#[cfg(test)]
mod tests;

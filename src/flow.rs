//! Long values on their way through: one budget of memory for all of them, and the body of a write while it comes in and
//! goes out. No I/O.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A value beyond this is long.
pub const LONG: usize = 64 * 1024;
/// A value is not longer.
pub const LONGEST: usize = 4 * 1024 * 1024;
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
    pub fn new(most: usize) -> Self {
        Budget { bytes: Rc::new(Cell::new((most, 0))) }
    }

    /// Another size from now on; what is granted stays so.
    pub fn resize(&self, most: usize) {
        self.bytes.set((most, self.granted()));
    }

    /// Bytes granted.
    pub fn granted(&self) -> usize {
        self.bytes.get().1
    }

    /// So many bytes, if there are as many left.
    pub fn grant(&self, bytes: usize) -> Option<Grant> {
        let (most, granted) = self.bytes.get();
        let fits = granted.checked_add(bytes).is_some_and(|sum| sum <= most);
        fits.then(|| {
            self.bytes.set((most, granted + bytes));
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
        let (most, granted) = self.budget.bytes.get();
        self.budget.bytes.set((most, granted - self.bytes));
    }
}

/// The body of a write, shared by who reads it in and who writes it out.
#[derive(Clone, Debug)]
pub struct Flow(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    length: usize,
    /// Where in the body the first byte held lies.
    start: usize,
    held: Vec<u8>,
    /// The body may be held whole.
    grant: Option<Grant>,
    /// Nobody wants it any more.
    abandoned: bool,
}

/// It is the same body, not an equal one.
impl PartialEq for Flow {
    fn eq(&self, other: &Flow) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl Flow {
    /// A body of which nothing has come; with a grant for its whole length it is held whole.
    pub fn new(length: usize, grant: Option<Grant>) -> Self {
        Flow(Rc::new(RefCell::new(State { length, start: 0, held: Vec::new(), grant, abandoned: false })))
    }

    /// Bytes of the whole body.
    pub fn length(&self) -> usize {
        self.0.borrow().length
    }

    /// Bytes that have come.
    pub fn came(&self) -> usize {
        let state = self.0.borrow();
        state.start + state.held.len()
    }

    /// Whether all of it has come.
    pub fn is_complete(&self) -> bool {
        self.came() == self.length()
    }

    /// Whether it can be sent from its beginning.
    pub fn is_repeatable(&self) -> bool {
        let state = self.0.borrow();
        state.start == 0 && !state.abandoned
    }

    /// How many bytes more can be taken now.
    pub fn room(&self) -> usize {
        let state = self.0.borrow();
        let left = state.length - state.start - state.held.len();
        match state.grant.is_some() || state.abandoned {
            true => left,
            false => left.min(WINDOW - state.held.len()),
        }
    }

    /// Takes what has come, as much as there is room for.
    pub fn push(&self, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        if state.abandoned {
            state.start += bytes.len();
            return;
        }
        if state.grant.is_some() && state.held.is_empty() {
            // Growing by doubling would take up to twice what was granted.
            let length = state.length;
            state.held.reserve_exact(length);
        }
        state.held.extend_from_slice(bytes);
    }

    /// What is held from a place on, at most so much.
    pub fn copy(&self, from: usize, most: usize) -> Vec<u8> {
        let state = self.0.borrow();
        let held = from.checked_sub(state.start).and_then(|at| state.held.get(at..)).unwrap_or_default();
        held[..held.len().min(most)].to_vec()
    }

    /// What lies before a place was written out. Without a grant it makes room.
    pub fn written(&self, upto: usize) {
        let mut state = self.0.borrow_mut();
        if state.grant.is_none() {
            let count = upto.saturating_sub(state.start).min(state.held.len());
            state.held.drain(..count);
            state.start += count;
        }
    }

    /// Nobody wants it any more: what still comes is passed over.
    pub fn abandon(&self) {
        let mut state = self.0.borrow_mut();
        state.start += state.held.len();
        state.held = Vec::new();
        state.grant = None;
        state.abandoned = true;
    }
}

#[cfg(test)]
mod tests;

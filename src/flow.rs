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
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn a_body_comes_out_as_it_came_in_and_never_takes_more_than_its_part(
            length in 1usize..300_000,
            granted: bool,
            pieces in prop::collection::vec((1usize..70_000, 1usize..70_000), 1..200),
        ) {
            let budget = Budget::new(300_000);
            let grant = granted.then(|| budget.grant(length).unwrap());
            let (flow, body) = (Flow::new(length, grant), (0..length).map(|at| (at % 251) as u8).collect::<Vec<_>>());
            let mut out: Vec<u8> = Vec::new();
            for (read, write) in pieces.iter().cycle().take(10_000) {
                let came = flow.came();
                let count = flow.room().min(*read);
                flow.push(&body[came..came + count]);
                let most = if granted { length } else { WINDOW };
                prop_assert!(flow.0.borrow().held.len() <= most);
                let bytes = flow.copy(out.len(), *write);
                out.extend(&bytes);
                flow.written(out.len());
                prop_assert!(granted == flow.is_repeatable() || out.is_empty() == flow.is_repeatable());
                if out.len() == length {
                    break;
                }
            }
            prop_assert_eq!(out, body);
            prop_assert!(flow.is_complete());
            drop(flow);
            prop_assert_eq!(budget.granted(), 0);
        }

        #[test]
        fn grants_never_sum_to_more_than_the_budget(asks in prop::collection::vec((0usize..5000, any::<bool>()), 0..100)) {
            let budget = Budget::new(20_000);
            let mut grants: Vec<Grant> = Vec::new();
            for (bytes, drops) in asks {
                if drops && !grants.is_empty() {
                    grants.remove(bytes % grants.len());
                } else if let Some(grant) = budget.grant(bytes) {
                    grants.push(grant);
                }
                prop_assert_eq!(budget.granted(), grants.iter().map(Grant::bytes).sum::<usize>());
                prop_assert!(budget.granted() <= 20_000);
            }
        }
    }

    #[test]
    fn an_abandoned_body_is_passed_over_and_gives_its_grant_back() {
        let budget = Budget::new(LONGEST);
        let flow = Flow::new(200_000, budget.grant(200_000));
        flow.push(&[1; 1000]);
        flow.abandon();
        assert_eq!((budget.granted(), flow.room(), flow.is_repeatable()), (0, 199_000, false));
        flow.push(&[1; 199_000]);
        assert!(flow.is_complete() && flow.copy(0, 9).is_empty());
    }
}

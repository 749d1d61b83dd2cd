//! The memory budget: bytes that clients and nodes make the process hold are counted here before they are taken. Each
//! purpose has a limit of its own, so that none can take what another needs. No I/O.

use std::cell::RefCell;
use std::rc::Rc;

/// What memory is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Long values that are held whole.
    LongValue,
    /// Parts of long values that are passed on as they come.
    Window,
    /// Commands and bodies that are not whole yet.
    Input,
    /// Open requests, their bodies and answers.
    Request,
}

const PURPOSES: usize = 4;

/// Most bytes that may be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// For [`Purpose::LongValue`].
    pub long_values: usize,
    /// For [`Purpose::Window`].
    pub windows: usize,
    /// For [`Purpose::Input`].
    pub input: usize,
    /// For [`Purpose::Request`].
    pub requests: usize,
    /// For all purposes together.
    pub total: usize,
}

impl Limits {
    /// No limits.
    pub const NONE: Limits = Limits {
        long_values: usize::MAX,
        windows: usize::MAX,
        input: usize::MAX,
        requests: usize::MAX,
        total: usize::MAX,
    };

    fn of(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::LongValue => self.long_values,
            Purpose::Window => self.windows,
            Purpose::Input => self.input,
            Purpose::Request => self.requests,
        }
    }
}

#[derive(Debug)]
struct Ledger {
    limits: Limits,
    used: [usize; PURPOSES],
}

/// The budget, shared by all who take memory from it.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<Ledger>>);

/// Bytes taken from the budget, returned when this is dropped.
#[derive(Debug)]
pub struct Grant {
    budget: Budget,
    purpose: Purpose,
    bytes: usize,
}

impl Budget {
    /// A budget of which nothing is taken.
    pub fn new(limits: Limits) -> Self {
        Budget(Rc::new(RefCell::new(Ledger { limits, used: [0; PURPOSES] })))
    }

    /// A budget without limits, for simulations and tests.
    pub fn unlimited() -> Self {
        Budget::new(Limits::NONE)
    }

    /// Changes the limits; earlier grants stay valid.
    pub fn set_limits(&self, limits: Limits) {
        self.0.borrow_mut().limits = limits;
    }

    /// Bytes taken for a purpose.
    pub fn used(&self, purpose: Purpose) -> usize {
        self.0.borrow().used[purpose as usize]
    }

    /// Bytes taken for all purposes.
    pub fn total(&self) -> usize {
        self.0.borrow().used.iter().sum()
    }

    /// Bytes that may still be taken for a purpose.
    pub fn available(&self, purpose: Purpose) -> usize {
        let Ledger { limits, used } = &*self.0.borrow();
        let left = limits.of(purpose).saturating_sub(used[purpose as usize]);
        left.min(limits.total.saturating_sub(used.iter().sum()))
    }

    /// Takes `bytes`, if as many are available.
    pub fn grant(&self, purpose: Purpose, bytes: usize) -> Option<Grant> {
        (bytes <= self.available(purpose)).then(|| self.hold(purpose, bytes))
    }

    /// Counts `bytes` that are held whether the budget has room for them or not.
    pub fn hold(&self, purpose: Purpose, bytes: usize) -> Grant {
        self.0.borrow_mut().used[purpose as usize] += bytes;
        Grant { budget: self.clone(), purpose, bytes }
    }
}

impl Grant {
    /// Its size in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes that are held.
    pub fn resize(&mut self, bytes: usize) {
        let used = &mut self.budget.0.borrow_mut().used[self.purpose as usize];
        *used = *used - self.bytes + bytes;
        self.bytes = bytes;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;

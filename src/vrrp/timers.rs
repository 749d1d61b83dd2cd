//! The timers of many virtual routers: each router has at most one, and almost every advertisement changes one.
//!
//! An indexed heap that knows the position of each router's timer. A timer is changed in place in O(log n), so that no
//! stale entries accumulate as in a plain heap, and the next timer is read in O(1), unlike in a scan. docs/vrrp.md has
//! a measurement against the scan.

use std::time::Duration;

/// Position of a router without a timer.
const NO_TIMER: usize = usize::MAX;
/// Children per heap entry: four are adjacent in memory, and a heap of 255 timers has four levels below the root.
const ARITY: usize = 4;

/// At most one timer for each of a fixed number of routers, which are identified by index.
#[derive(Clone, Debug)]
pub struct Timers {
    /// Due times with their routers, a heap with the earliest first.
    heap: Vec<(Duration, usize)>,
    /// Heap position of each router's timer, or [`NO_TIMER`].
    positions: Vec<usize>,
}

impl Timers {
    /// Without timers, for this number of routers.
    pub fn new(routers: usize) -> Self {
        Timers { heap: Vec::with_capacity(routers), positions: vec![NO_TIMER; routers] }
    }

    /// Sets, changes or removes a router's timer.
    pub fn set(&mut self, router: usize, at: Option<Duration>) {
        match (at, self.positions[router]) {
            (None, NO_TIMER) => {}
            (None, position) => self.remove_at(position),
            (Some(at), NO_TIMER) => {
                let position = self.heap.len();
                self.heap.push((at, router));
                self.positions[router] = position;
                self.sift_up(position);
            }
            (Some(at), position) => {
                self.heap[position].0 = at;
                self.restore_order(position);
            }
        }
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Duration> {
        self.heap.first().map(|(at, _)| *at)
    }

    /// Removes the earliest timer if it is due, and returns its router.
    pub fn pop_due(&mut self, now: Duration) -> Option<usize> {
        let (_, router) = *self.heap.first().filter(|(at, _)| *at <= now)?;
        self.remove_at(0);
        Some(router)
    }

    fn remove_at(&mut self, position: usize) {
        let (_, router) = self.heap.swap_remove(position);
        self.positions[router] = NO_TIMER;
        if position < self.heap.len() {
            self.positions[self.heap[position].1] = position;
            self.restore_order(position);
        }
    }

    fn restore_order(&mut self, position: usize) {
        let position = self.sift_up(position);
        self.sift_down(position);
    }

    fn sift_up(&mut self, mut position: usize) -> usize {
        while position > 0 && self.heap[position] < self.heap[(position - 1) / ARITY] {
            let parent = (position - 1) / ARITY;
            self.swap(position, parent);
            position = parent;
        }
        position
    }

    fn sift_down(&mut self, mut position: usize) {
        loop {
            let children = ARITY * position + 1..(ARITY * position + 1 + ARITY).min(self.heap.len());
            let Some(earliest) = children.min_by_key(|child| self.heap[*child]) else { return };
            if self.heap[position] <= self.heap[earliest] {
                return;
            }
            self.swap(position, earliest);
            position = earliest;
        }
    }

    fn swap(&mut self, one: usize, other: usize) {
        self.heap.swap(one, other);
        self.positions[self.heap[one].1] = one;
        self.positions[self.heap[other].1] = other;
    }
}

#[cfg(test)]
mod tests;

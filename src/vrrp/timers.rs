//! The timers of many virtual routers: each has at most one, and almost every advertisement moves one.
//!
//! A heap that knows where each router's timer lies: a timer is moved in place in O(log n) and no stale entries
//! gather, as they do in a plain heap; the next one is read in O(1), as a scan of all cannot. docs/vrrp.md has it
//! measured against the scan.

use std::time::Duration;

/// Where a router has no timer.
const NO_TIMER: usize = usize::MAX;
/// Children of a place in the heap: four lie together in memory, and the heap of 255 is four high.
const ARITY: usize = 4;

/// One timer at most for each of a fixed number of routers, by their positions.
#[derive(Clone, Debug)]
pub struct Timers {
    /// Due times and routers, a heap with the earliest first.
    heap: Vec<(Duration, usize)>,
    /// Where in the heap each router's timer lies.
    positions: Vec<usize>,
}

impl Timers {
    /// No timers yet, for so many routers.
    pub fn new(routers: usize) -> Self {
        Timers { heap: Vec::with_capacity(routers), positions: vec![NO_TIMER; routers] }
    }

    /// Sets, moves or takes off a router's timer.
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

    /// Takes off a timer that is due and tells whose it was. The earliest comes first.
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

//! The timers of many virtual routers: each has at most one, and almost every advertisement moves one.
//!
//! A heap that knows where each router's timer lies: a timer is moved in place in O(log n) and no stale entries
//! gather, as they do in a plain heap; the next one is read in O(1), as a scan of all cannot. docs/vrrp.md has it
//! measured against the scan.

use std::time::Duration;

/// Where a router has no timer.
const NOWHERE: usize = usize::MAX;
/// Children of a place in the heap: four lie together in memory, and the heap of 255 is four high.
const WIDTH: usize = 4;

/// One timer at most for each of a fixed number of routers, by their positions.
#[derive(Clone, Debug)]
pub struct Timers {
    /// Due times and routers, a heap with the earliest first.
    heap: Vec<(Duration, usize)>,
    /// Where in the heap each router's timer lies.
    places: Vec<usize>,
}

impl Timers {
    /// No timers yet, for so many routers.
    pub fn new(routers: usize) -> Self {
        Timers { heap: Vec::with_capacity(routers), places: vec![NOWHERE; routers] }
    }

    /// Sets, moves or takes off a router's timer.
    pub fn set(&mut self, router: usize, at: Option<Duration>) {
        match (at, self.places[router]) {
            (None, NOWHERE) => {}
            (None, place) => self.take_off(place),
            (Some(at), NOWHERE) => {
                let place = self.heap.len();
                self.heap.push((at, router));
                self.places[router] = place;
                self.rise(place);
            }
            (Some(at), place) => {
                self.heap[place].0 = at;
                self.settle(place);
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
        self.take_off(0);
        Some(router)
    }

    fn take_off(&mut self, place: usize) {
        let (_, router) = self.heap.swap_remove(place);
        self.places[router] = NOWHERE;
        if place < self.heap.len() {
            self.places[self.heap[place].1] = place;
            self.settle(place);
        }
    }

    fn settle(&mut self, place: usize) {
        let place = self.rise(place);
        self.sink(place);
    }

    fn rise(&mut self, mut place: usize) -> usize {
        while place > 0 && self.heap[place] < self.heap[(place - 1) / WIDTH] {
            let above = (place - 1) / WIDTH;
            self.swap(place, above);
            place = above;
        }
        place
    }

    fn sink(&mut self, mut place: usize) {
        loop {
            let below = WIDTH * place + 1..(WIDTH * place + 1 + WIDTH).min(self.heap.len());
            let Some(least) = below.min_by_key(|below| self.heap[*below]) else { return };
            if self.heap[place] <= self.heap[least] {
                return;
            }
            self.swap(place, least);
            place = least;
        }
    }

    fn swap(&mut self, one: usize, other: usize) {
        self.heap.swap(one, other);
        self.places[self.heap[one].1] = one;
        self.places[self.heap[other].1] = other;
    }
}

#[cfg(test)]
mod tests;

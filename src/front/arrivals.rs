//! Arrival times of a client's input. A request's deadline counts from the arrival of its last byte, which a
//! busy loop may read much later.

use std::collections::VecDeque;
use std::time::Instant;

/// Pieces whose arrival times are stored separately; beyond them the last two are merged, with the older time.
const MAX_PIECES: usize = 64;

/// Arrival times of the bytes that were read and not consumed yet. Times are lower bounds.
#[derive(Debug, Default)]
pub(super) struct ArrivalTimes {
    /// Earliest arrival of input that is still in the kernel.
    pending_since: Option<Instant>,
    /// Length and arrival time of each piece, in order.
    pieces: VecDeque<(usize, Instant)>,
}

impl ArrivalTimes {
    /// Input has arrived, or may have, at `since` or later.
    pub fn mark_pending(&mut self, since: Instant) {
        self.pending_since.get_or_insert(since);
    }

    /// Records a read of `bytes` bytes at `now`; `drained` if no more input was waiting.
    pub fn record_read(&mut self, bytes: usize, now: Instant, drained: bool) {
        let arrival = self.pending_since.unwrap_or(now);
        if bytes > 0 {
            let is_full = self.pieces.len() >= MAX_PIECES;
            match self.pieces.back_mut().filter(|_| is_full) {
                Some((length, _)) => *length += bytes,
                None => self.pieces.push_back((bytes, arrival)),
            }
        }
        if drained {
            self.pending_since = None;
        }
    }

    /// When the byte before position `end` arrived, counted from the first byte that was not consumed.
    pub fn arrival_of(&self, end: usize) -> Option<Instant> {
        let mut remaining = end;
        for (bytes, arrival) in &self.pieces {
            if remaining <= *bytes {
                return Some(*arrival);
            }
            remaining -= bytes;
        }
        None
    }

    /// Removes `count` consumed bytes.
    pub fn consume(&mut self, mut count: usize) {
        while let Some((bytes, _)) = self.pieces.front_mut() {
            if *bytes > count {
                *bytes -= count;
                return;
            }
            count -= *bytes;
            self.pieces.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;

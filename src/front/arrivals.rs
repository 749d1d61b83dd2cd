//! Arrival times of a client's input. A request's deadline counts from the arrival of its last byte, which a
//! busy loop may read much later.

use crate::clock::Clock;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Pieces whose arrival times are stored separately; beyond them the last two are merged, with the older time.
const MAX_PIECES: usize = 64;

/// Input of a client that was read and not handled, as it goes to another process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BufferedInput {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// When they arrived; empty if it is not known.
    #[serde(skip)]
    pub arrivals: SavedArrivals,
}

/// Arrival times of a client's input in Unix time, which two processes of one machine share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedArrivals {
    /// Length and arrival time of each piece, in order.
    pub pieces: Vec<(usize, Duration)>,
    /// Earliest arrival of input that was not read, if there may be any.
    pub unread_since: Option<Duration>,
}

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

    /// The times in a form that another process can restore.
    pub fn save(&self, clock: Clock) -> SavedArrivals {
        SavedArrivals {
            pieces: self.pieces.iter().map(|(bytes, arrival)| (*bytes, clock.unix(*arrival))).collect(),
            unread_since: self.pending_since.map(|since| clock.unix(since)),
        }
    }

    /// Restores the times of `length` bytes that another process has read. What it does not say arrived by `latest`.
    pub fn restore(
        saved: &SavedArrivals,
        length: usize,
        (now, latest): (Instant, Instant),
        clock: Clock,
    ) -> Self {
        let instant = |unix: Duration| {
            let age = clock.unix(now).saturating_sub(unix);
            now.checked_sub(age).unwrap_or(now)
        };
        let mut remaining = length;
        let mut pieces = VecDeque::new();
        for (bytes, arrival) in saved.pieces.iter().take(MAX_PIECES) {
            let bytes = remaining.min(*bytes);
            pieces.push_back((bytes, instant(*arrival)));
            remaining -= bytes;
        }
        pieces.push_back((remaining, latest));
        pieces.retain(|(bytes, _)| *bytes > 0);
        ArrivalTimes { pending_since: Some(saved.unread_since.map_or(latest, instant)), pieces }
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

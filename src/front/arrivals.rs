//! When what a client has said came in. A client's time counts from the last byte of a request, and a busy loop reads it
//! later than that.

use std::collections::VecDeque;
use std::time::Instant;

/// Pieces whose time is kept apart; beyond them the last two count as one, as old as the older.
const MOST_PIECES: usize = 64;

/// The bytes that were read and not taken yet, by when they came at the earliest.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Since when what is not read may have waited.
    unread_since: Option<Instant>,
    /// Pieces in order: how many bytes, and when they came.
    pieces: VecDeque<(usize, Instant)>,
}

impl Arrivals {
    /// Something has come, or may have, by `since` at the earliest.
    pub fn ready(&mut self, since: Instant) {
        self.unread_since.get_or_insert(since);
    }

    /// So many bytes were read at `now`, and whether that was all there is.
    pub fn read(&mut self, bytes: usize, now: Instant, all: bool) {
        let came = self.unread_since.unwrap_or(now);
        if bytes > 0 {
            let is_full = self.pieces.len() >= MOST_PIECES;
            match self.pieces.back_mut().filter(|_| is_full) {
                Some((length, _)) => *length += bytes,
                None => self.pieces.push_back((bytes, came)),
            }
        }
        if all {
            self.unread_since = None;
        }
    }

    /// When the byte before position `end` came, counted from the first that was not taken.
    pub fn of(&self, end: usize) -> Option<Instant> {
        let mut left = end;
        for (bytes, came) in &self.pieces {
            if left <= *bytes {
                return Some(*came);
            }
            left -= bytes;
        }
        None
    }

    /// So many bytes were taken.
    pub fn take(&mut self, mut count: usize) {
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

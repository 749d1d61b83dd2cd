//! Local health, as in Lifeguard: a process that was stopped, starved of its core or cut off gets no answers either. It
//! suspects itself before it suspects another: its probes wait longer, and suspicions that it gathered meanwhile do not
//! count.

use std::time::Duration;

/// The worst score: probes wait so many times as long, and once more.
const MAX_SCORE: u32 = 7;

/// The score of this process; 0 is healthy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    score: u32,
}

impl Health {
    /// Its own loop was late: it could not have heard what came.
    pub fn record_delay(&mut self) {
        self.score = (self.score + 2).min(MAX_SCORE);
    }

    /// Nobody answered in time, not even the helpers: it may receive nothing.
    pub fn probe_unanswered(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// It was answered in time.
    pub fn probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score, 0 (healthy) to 7.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// A time to wait for others, made longer by the score.
    pub fn stretch(&self, span: Duration) -> Duration {
        span * (self.score + 1)
    }
}

#[cfg(test)]
mod tests;

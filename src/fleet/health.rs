//! The local health score of Lifeguard. A process that was stopped, got no processor time or lost its network receives
//! no answers, although the other members are well. It therefore lowers its own health before it suspects another: the
//! worse the score, the longer its probes wait. (Suspicions that it raised during such a delay are dropped by
//! [`super::member`].)

use std::time::Duration;

/// The worst score; see [`Health::stretch`].
const MAX_SCORE: u32 = 7;

/// The health score of this process, 0 (healthy) to [`MAX_SCORE`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    score: u32,
}

impl Health {
    /// The process was delayed and could not receive datagrams meanwhile: the score worsens by 2.
    pub fn record_delay(&mut self) {
        self.score = (self.score + 2).min(MAX_SCORE);
    }

    /// Neither the probed member nor a helper answered in time: this process may receive nothing. The score worsens
    /// by 1.
    pub fn probe_unanswered(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// A probe was answered in time: the score improves by 1.
    pub fn probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score, 0 (healthy) to 7.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// A timeout lengthened by the score: 1 to 8 times `span`.
    pub fn stretch(&self, span: Duration) -> Duration {
        span * (self.score + 1)
    }
}

#[cfg(test)]
mod tests;

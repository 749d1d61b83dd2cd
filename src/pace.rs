//! Measures how busy the event loop is and how late it reads its input. A process that was suspended or is overloaded
//! sees every reply late; that delay must not be attributed to nodes, and a busy loop is cheaper with more work per
//! iteration. No I/O and no clock.

use std::time::{Duration, Instant};

/// Time constant for smoothing the busy fraction.
const SMOOTHING: Duration = Duration::from_millis(100);
/// Busy fractions of the permitted processor time: up to the first no iteration is delayed, from the second on each is
/// delayed by a whole tick, linearly between.
const PACING_RANGE: (f64, f64) = (0.1, 0.5);

/// A wait longer than this may hide a suspension: a process that is stopped just as its wait ends reads the clock only
/// after it continues, so the whole span looks like waiting. Shorter waits hide no relevant delay.
const MIN_AMBIGUOUS_WAIT: Duration = Duration::from_millis(20);
/// How long after such a wait its input may still be found; it takes several iterations if there is much.
const AMBIGUITY_SPAN: Duration = Duration::from_millis(200);

/// Time measurements of the event loop.
#[derive(Debug)]
pub struct LoopTiming {
    /// Longest delay of an iteration: the shortest time between two scheduler calls, from the settings.
    tick: Duration,
    /// Processor cores that this process may use; may be less than one.
    cores: f64,
    /// When the last wait ended.
    woke_at: Instant,
    /// When the last iteration was done, and the pause after it.
    done_at: Instant,
    pause: Duration,
    /// The wait was interrupted, as happens when the process is stopped and continued.
    interrupted: bool,
    /// Smoothed fraction of time in which the loop worked or could not run.
    busy: f64,
    /// How late replies are read, decaying over iterations.
    lateness: Duration,
    /// Upper bound of how long the input of this iteration has waited.
    max_queued: Duration,
    /// When the last wait ended that was long enough to hide a suspension.
    long_wait: Option<Instant>,
}

impl LoopTiming {
    pub fn new(tick: Duration, cores: f64, now: Instant) -> Self {
        LoopTiming {
            tick,
            cores,
            woke_at: now,
            done_at: now,
            pause: Duration::ZERO,
            interrupted: false,
            busy: 0.0,
            lateness: Duration::ZERO,
            max_queued: Duration::ZERO,
            long_wait: None,
        }
    }

    /// Called at the end of an iteration; returns how long to pause before polling. A busy loop handles the input of a
    /// whole tick in one iteration, which costs little more than a single request.
    pub fn iteration_done(&mut self, now: Instant) -> Duration {
        if !self.interrupted {
            self.done_at = now;
        }
        let fraction =
            ((self.busy / self.cores - PACING_RANGE.0) / (PACING_RANGE.1 - PACING_RANGE.0)).clamp(0.0, 1.0);
        self.pause = self.tick.mul_f64(fraction);
        self.pause
    }

    /// The requested pause took this long. It is longer if the process was stopped in it; input has waited meanwhile.
    pub fn paused(&mut self, took: Duration) {
        self.pause = took;
    }

    /// The wait was interrupted: input since the last iteration may have waited.
    pub fn interrupted(&mut self) {
        self.interrupted = true;
    }

    /// Called when the wait is over; returns the lateness of the loop. That is an upper bound of how long the input
    /// has waited, or half of the previous lateness if that is more, and zero below a tick. If the wait returned at
    /// once, the input arrived before it; otherwise it arrived at its end.
    pub fn wait_done(&mut self, now: Instant) -> Duration {
        let (worked, asleep) = (self.done_at - self.woke_at, now - self.done_at);
        let stopped = if std::mem::take(&mut self.interrupted) { asleep } else { Duration::ZERO };
        let waited = asleep.saturating_sub(self.pause + stopped);
        if asleep > MIN_AMBIGUOUS_WAIT {
            self.long_wait = Some(now);
        }
        let late = (worked + self.pause).saturating_sub(waited) + stopped;
        self.max_queued = late;
        // Requests that were sent late get their replies late in the next iteration.
        self.lateness = late.max(self.lateness / 2);
        if self.lateness < self.tick {
            self.lateness = Duration::ZERO;
        }
        let elapsed = now - self.woke_at;
        if !elapsed.is_zero() {
            let gain = 1.0 - (-elapsed.div_duration_f64(SMOOTHING)).exp();
            let fraction = (worked + stopped).div_duration_f64(elapsed).min(1.0);
            self.busy += gain * (fraction - self.busy);
        }
        self.woke_at = now;
        self.lateness
    }

    /// Upper bound of how long the input of this iteration has waited for the loop.
    pub fn max_queued(&self) -> Duration {
        self.max_queued
    }

    /// Whether the input of this iteration may have waited for longer, because the process may have been stopped
    /// unnoticed. The kernel's receive times tell.
    pub fn may_have_been_stopped(&self, now: Instant) -> bool {
        self.long_wait.is_some_and(|at| now - at < AMBIGUITY_SPAN)
    }
}

#[cfg(test)]
mod tests;

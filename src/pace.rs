//! How busy the loop is, and how late. A process that was kept from its work, or has more of it than its processor time
//! allows, sees every answer late; it is not to blame its nodes for that, and it works cheaper in larger turns. Pure.

use std::time::{Duration, Instant};

/// Over how long the busy part of the time is smoothed.
const SMOOTHING: Duration = Duration::from_millis(100);
/// Below the first part of what it may use no turn is kept waiting; from the second on each is, for a whole tick.
const PACING_RANGE: (f64, f64) = (0.1, 0.5);

/// A wait may hide a stop: a process that is stopped as its wait ends reads the clock when it goes on, and the whole of it looks
/// like waiting. A shorter one hides nothing that counts.
const MIN_AMBIGUOUS_WAIT: Duration = Duration::from_millis(20);
/// How long after such a wait what came in it may still be found: it takes several turns where it is much.
const AMBIGUITY_SPAN: Duration = Duration::from_millis(200);

/// The loop's own time.
#[derive(Debug)]
pub struct LoopTiming {
    /// The longest that a turn is kept waiting: the settings' shortest time between two calls of the scheduler.
    tick: Duration,
    /// Part of a core that this process may use.
    cores: f64,
    woke_at: Instant,
    /// When the last turn was done, and how long the pause is that follows it.
    done_at: Instant,
    pause: Duration,
    /// The wait was interrupted, as it is when the process was stopped in it.
    interrupted: bool,
    /// Part of the time that the loop was busy, or kept from its work.
    busy: f64,
    lateness: Duration,
    /// For how long at most what is ready in this turn has waited.
    max_queued: Duration,
    /// When a wait ended last that was long enough to hide a stop.
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

    /// A turn is done: how long to pause before it is looked for more. A busy loop takes what comes within a tick in
    /// one turn, which costs little more than a single request does.
    pub fn iteration_done(&mut self, now: Instant) -> Duration {
        if !self.interrupted {
            self.done_at = now;
        }
        let part =
            ((self.busy / self.cores - PACING_RANGE.0) / (PACING_RANGE.1 - PACING_RANGE.0)).clamp(0.0, 1.0);
        self.pause = self.tick.mul_f64(part);
        self.pause
    }

    /// The pause that was asked for took so long: longer where the process was stopped in it, and what came meanwhile waited.
    pub fn paused(&mut self, took: Duration) {
        self.pause = took;
    }

    /// The wait was interrupted: whatever has come since the last turn may have waited.
    pub fn interrupted(&mut self) {
        self.interrupted = true;
    }

    /// The wait is over: for how long at most what is ready now has waited for this loop. It came before the loop
    /// began to wait where that returned at once, and at its end where it did not.
    pub fn wait_done(&mut self, now: Instant) -> Duration {
        let (worked, asleep) = (self.done_at - self.woke_at, now - self.done_at);
        let kept = if std::mem::take(&mut self.interrupted) { asleep } else { Duration::ZERO };
        let waited = asleep.saturating_sub(self.pause + kept);
        if asleep > MIN_AMBIGUOUS_WAIT {
            self.long_wait = Some(now);
        }
        let late = (worked + self.pause).saturating_sub(waited) + kept;
        self.max_queued = late;
        // What was sent late is answered late a turn on.
        self.lateness = late.max(self.lateness / 2);
        if self.lateness < self.tick {
            self.lateness = Duration::ZERO;
        }
        let whole = now - self.woke_at;
        if !whole.is_zero() {
            let gain = 1.0 - (-whole.div_duration_f64(SMOOTHING)).exp();
            let part = (worked + kept).div_duration_f64(whole).min(1.0);
            self.busy += gain * (part - self.busy);
        }
        self.woke_at = now;
        self.lateness
    }

    /// For how long at most what is ready in this turn has waited for this loop: what has come is that old.
    pub fn max_queued(&self) -> Duration {
        self.max_queued
    }

    /// Whether what is found in the turn that begins now may have waited for longer: the process may have been stopped
    /// unnoticed. The kernel tells.
    pub fn may_have_been_stopped(&self, now: Instant) -> bool {
        self.long_wait.is_some_and(|at| now - at < AMBIGUITY_SPAN)
    }
}

#[cfg(test)]
mod tests;

use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

struct Loop {
    timing: LoopTiming,
    now: Instant,
}

impl Loop {
    fn new() -> Self {
        let now = Instant::now();
        Loop { timing: LoopTiming::new(MS(2), 1.0, now), now }
    }

    /// Works, then waits beyond its pause; returns the lateness.
    fn iterate(&mut self, work: Duration, wait: Duration) -> Duration {
        self.now += work;
        self.now += self.timing.iteration_done(self.now) + wait;
        self.timing.wait_done(self.now)
    }
}

#[test]
fn an_idle_loop_is_neither_late_nor_paused() {
    let mut event_loop = Loop::new();
    for _ in 0..100 {
        assert_eq!(event_loop.iterate(MS(1), MS(19)), Duration::ZERO);
        assert_eq!(event_loop.timing.pause, Duration::ZERO);
    }
}

#[test]
fn a_saturated_loop_is_late_by_its_iterations_and_pauses_between_them() {
    let mut event_loop = Loop::new();
    for _ in 0..100 {
        event_loop.iterate(MS(40), Duration::ZERO);
    }
    assert_eq!(event_loop.iterate(MS(40), Duration::ZERO), MS(42));
    assert_eq!(event_loop.timing.pause, MS(2));
    // In the next iteration, replies to late sends are late; then the lateness decays to zero.
    assert_eq!(event_loop.iterate(MS(1), MS(50)), MS(21));
    let later: Vec<Duration> = (0..9).map(|_| event_loop.iterate(MS(1), MS(50))).collect();
    assert_eq!((later[8], event_loop.timing.pause), (Duration::ZERO, Duration::ZERO));
}

/// The pause of a busy loop is a sleep that resumes after SIGSTOP and SIGCONT without being interrupted. A request that
/// arrived while the process was stopped in it was taken to have just arrived.
#[test]
fn a_stop_during_the_pause_counts_as_waiting_time_of_input() {
    let mut event_loop = Loop::new();
    for _ in 0..100 {
        event_loop.iterate(MS(40), Duration::ZERO);
    }
    event_loop.now += MS(40);
    assert_eq!(event_loop.timing.iteration_done(event_loop.now), MS(2));
    event_loop.now += MS(150);
    event_loop.timing.paused(MS(150));
    event_loop.timing.wait_done(event_loop.now);
    assert!(event_loop.timing.max_queued() >= MS(150), "{:?}", event_loop.timing.max_queued());
}

#[test]
fn an_interrupted_wait_counts_as_lateness() {
    let mut event_loop = Loop::new();
    event_loop.iterate(MS(1), MS(9));
    event_loop.timing.interrupted();
    assert!(event_loop.iterate(MS(1), MS(5000)) >= MS(5000));
}

/// A process that is stopped just as its wait ends can't tell the stop from the wait.
#[test]
fn a_stop_may_go_unnoticed_after_a_long_wait_but_not_after_busy_iterations() {
    let mut event_loop = Loop::new();
    event_loop.iterate(MS(1), MS(400));
    assert!(event_loop.timing.may_have_been_stopped(event_loop.now));
    // Input that arrived during the stop may be found a few iterations later.
    event_loop.iterate(MS(20), Duration::ZERO);
    assert!(event_loop.timing.may_have_been_stopped(event_loop.now));
    for _ in 0..20 {
        event_loop.iterate(MS(20), Duration::ZERO);
    }
    assert!(!event_loop.timing.may_have_been_stopped(event_loop.now));
}

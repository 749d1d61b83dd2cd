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

    /// Works, then waits beyond its pause; what came is so late.
    fn iterate(&mut self, work: Duration, wait: Duration) -> Duration {
        self.now += work;
        self.now += self.timing.iteration_done(self.now) + wait;
        self.timing.wait_done(self.now)
    }
}

#[test]
fn a_loop_that_waits_for_its_work_is_neither_late_nor_kept_waiting() {
    let mut event_loop = Loop::new();
    for _ in 0..100 {
        assert_eq!(event_loop.iterate(MS(1), MS(19)), Duration::ZERO);
        assert_eq!(event_loop.timing.pause, Duration::ZERO);
    }
}

#[test]
fn a_loop_that_always_finds_more_is_late_by_its_turns_and_takes_larger_ones() {
    let mut event_loop = Loop::new();
    for _ in 0..100 {
        event_loop.iterate(MS(40), Duration::ZERO);
    }
    assert_eq!(event_loop.iterate(MS(40), Duration::ZERO), MS(42));
    assert_eq!(event_loop.timing.pause, MS(2));
    // A turn on, what was sent late is answered late; then that is over.
    assert_eq!(event_loop.iterate(MS(1), MS(50)), MS(21));
    let later: Vec<Duration> = (0..9).map(|_| event_loop.iterate(MS(1), MS(50))).collect();
    assert_eq!((later[8], event_loop.timing.pause), (Duration::ZERO, Duration::ZERO));
}

/// The pause of a busy loop is a sleep that goes on after SIGSTOP and SIGCONT, so nothing interrupts it: a request that came
/// while the process was stopped in it was taken to have just come.
#[test]
fn a_process_that_was_stopped_in_its_pause_knows_how_long_what_came_has_waited() {
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
fn a_process_that_was_stopped_while_it_waited_doubts_itself() {
    let mut event_loop = Loop::new();
    event_loop.iterate(MS(1), MS(9));
    event_loop.timing.interrupted();
    assert!(event_loop.iterate(MS(1), MS(5000)) >= MS(5000));
}

/// A process that is stopped just as its wait ends can't tell the stop from the wait.
#[test]
fn after_a_long_wait_a_stop_may_have_gone_unnoticed_and_after_turn_on_turn_it_can_not() {
    let mut event_loop = Loop::new();
    event_loop.iterate(MS(1), MS(400));
    assert!(event_loop.timing.may_have_been_stopped(event_loop.now));
    // What came in the stop may be found a few turns later.
    event_loop.iterate(MS(20), Duration::ZERO);
    assert!(event_loop.timing.may_have_been_stopped(event_loop.now));
    for _ in 0..20 {
        event_loop.iterate(MS(20), Duration::ZERO);
    }
    assert!(!event_loop.timing.may_have_been_stopped(event_loop.now));
}

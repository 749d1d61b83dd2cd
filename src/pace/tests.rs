use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

struct Turns {
    pace: Pace,
    now: Instant,
}

impl Turns {
    fn new() -> Self {
        let now = Instant::now();
        Turns { pace: Pace::new(MS(2), 1.0, now), now }
    }

    /// Works, then waits beyond its pause; what came is so late.
    fn turn(&mut self, works: Duration, waits: Duration) -> Duration {
        self.now += works;
        self.now += self.pace.waits(self.now) + waits;
        self.pace.woken(self.now)
    }
}

#[test]
fn a_loop_that_waits_for_its_work_is_neither_late_nor_kept_waiting() {
    let mut turns = Turns::new();
    for _ in 0..100 {
        assert_eq!(turns.turn(MS(1), MS(19)), Duration::ZERO);
        assert_eq!(turns.pace.pause, Duration::ZERO);
    }
}

#[test]
fn a_loop_that_always_finds_more_is_late_by_its_turns_and_takes_larger_ones() {
    let mut turns = Turns::new();
    for _ in 0..100 {
        turns.turn(MS(40), Duration::ZERO);
    }
    assert_eq!(turns.turn(MS(40), Duration::ZERO), MS(42));
    assert_eq!(turns.pace.pause, MS(2));
    // A turn on, what was sent late is answered late; then that is over.
    assert_eq!(turns.turn(MS(1), MS(50)), MS(21));
    let later: Vec<Duration> = (0..9).map(|_| turns.turn(MS(1), MS(50))).collect();
    assert_eq!((later[8], turns.pace.pause), (Duration::ZERO, Duration::ZERO));
}

/// The pause of a busy loop is a sleep that goes on after SIGSTOP and SIGCONT, so nothing interrupts it: a request that came
/// while the process was stopped in it was taken to have just come.
#[test]
fn a_process_that_was_stopped_in_its_pause_knows_how_long_what_came_has_waited() {
    let mut turns = Turns::new();
    for _ in 0..100 {
        turns.turn(MS(40), Duration::ZERO);
    }
    turns.now += MS(40);
    assert_eq!(turns.pace.waits(turns.now), MS(2));
    turns.now += MS(150);
    turns.pace.paused(MS(150));
    turns.pace.woken(turns.now);
    assert!(turns.pace.waited() >= MS(150), "{:?}", turns.pace.waited());
}

#[test]
fn a_process_that_was_stopped_while_it_waited_doubts_itself() {
    let mut turns = Turns::new();
    turns.turn(MS(1), MS(9));
    turns.pace.interrupted();
    assert!(turns.turn(MS(1), MS(5000)) >= MS(5000));
}

/// A process that is stopped just as its wait ends can't tell the stop from the wait.
#[test]
fn after_a_long_wait_a_stop_may_have_gone_unnoticed_and_after_turn_on_turn_it_can_not() {
    let mut turns = Turns::new();
    turns.turn(MS(1), MS(400));
    assert!(turns.pace.may_have_been_stopped(turns.now));
    // What came in the stop may be found a few turns later.
    turns.turn(MS(20), Duration::ZERO);
    assert!(turns.pace.may_have_been_stopped(turns.now));
    for _ in 0..20 {
        turns.turn(MS(20), Duration::ZERO);
    }
    assert!(!turns.pace.may_have_been_stopped(turns.now));
}

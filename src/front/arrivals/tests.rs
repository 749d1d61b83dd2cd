use super::*;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_command_arrives_with_its_last_byte() {
    let (start, mut arrivals) = (Instant::now(), ArrivalTimes::default());
    arrivals.mark_pending(start);
    arrivals.record_read(10, start + MS(5), true);
    arrivals.mark_pending(start + MS(100));
    arrivals.record_read(20, start + MS(300), true);
    assert_eq!(arrivals.arrival_of(10), Some(start));
    assert_eq!(arrivals.arrival_of(11), Some(start + MS(100)), "pending for long before it was read");
    arrivals.consume(15);
    assert_eq!(arrivals.arrival_of(15), Some(start + MS(100)));
    assert_eq!(arrivals.arrival_of(16), None);
}

#[test]
fn unread_input_keeps_its_arrival_time() {
    let (start, mut arrivals) = (Instant::now(), ArrivalTimes::default());
    arrivals.mark_pending(start);
    arrivals.record_read(10, start + MS(5), false);
    arrivals.mark_pending(start + MS(50));
    arrivals.record_read(10, start + MS(60), true);
    assert_eq!(arrivals.arrival_of(20), Some(start));
    // Without a pending mark the input counts as arrived when it is read.
    arrivals.record_read(1, start + MS(70), true);
    assert_eq!(arrivals.arrival_of(21), Some(start + MS(70)));
}

#[test]
fn pieces_are_limited_and_no_arrival_time_moves_later() {
    let (start, mut arrivals) = (Instant::now(), ArrivalTimes::default());
    for piece in 0..200 {
        arrivals.record_read(1, start + MS(piece), true);
    }
    assert_eq!(arrivals.pieces.len(), MAX_PIECES);
    for end in 1..=200 {
        assert!(arrivals.arrival_of(end).unwrap() <= start + MS(end as u64 - 1), "byte {end}");
    }
}

#[test]
fn restored_times_are_those_that_were_saved_and_unknown_ones_the_latest_possible() {
    let start = Instant::now();
    let mut arrivals = ArrivalTimes::default();
    for piece in 0..3 {
        arrivals.record_read(10, start + MS(100 * piece), true);
    }
    arrivals.consume(5);
    arrivals.mark_pending(start + MS(400));
    let saved = arrivals.save(Clock::new(start, MS(50_000)));
    // The other process started later; its clock agrees.
    let (now, latest) = (start + MS(900), start + MS(800));
    let clock = Clock::new(start + MS(700), MS(50_700));
    let restored = ArrivalTimes::restore(&saved, 27, (now, latest), clock);
    assert_eq!(restored.arrival_of(5), Some(start));
    assert_eq!(restored.arrival_of(6), Some(start + MS(100)));
    assert_eq!(restored.arrival_of(25), Some(start + MS(200)));
    assert_eq!(restored.arrival_of(27), Some(latest), "not said by the other process");
    assert_eq!((restored.arrival_of(28), restored.pending_since), (None, Some(start + MS(400))));
    assert_eq!(clock.unix(restored.arrival_of(5).unwrap()), MS(50_000), "before the start of this process");
    // More than there is, and nothing at all.
    let restored = ArrivalTimes::restore(&saved, 3, (now, latest), clock);
    assert_eq!((restored.arrival_of(3), restored.arrival_of(4)), (Some(start), None));
    let restored = ArrivalTimes::restore(&SavedArrivals::default(), 9, (now, latest), clock);
    assert_eq!((restored.arrival_of(9), restored.pending_since), (Some(latest), Some(latest)));
}

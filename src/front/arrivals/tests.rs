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

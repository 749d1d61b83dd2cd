use super::*;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_command_came_when_its_last_byte_did() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    arrivals.ready(start);
    arrivals.read(10, start + MS(5), true);
    arrivals.ready(start + MS(100));
    arrivals.read(20, start + MS(300), true);
    assert_eq!(arrivals.of(10), Some(start));
    assert_eq!(arrivals.of(11), Some(start + MS(100)), "told a long while before it was read");
    arrivals.take(15);
    assert_eq!(arrivals.of(15), Some(start + MS(100)));
    assert_eq!(arrivals.of(16), None);
}

#[test]
fn what_was_not_all_read_goes_on_to_wait() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    arrivals.ready(start);
    arrivals.read(10, start + MS(5), false);
    arrivals.ready(start + MS(50));
    arrivals.read(10, start + MS(60), true);
    assert_eq!(arrivals.of(20), Some(start));
    // Nothing was told of: it came as it was read.
    arrivals.read(1, start + MS(70), true);
    assert_eq!(arrivals.of(21), Some(start + MS(70)));
}

#[test]
fn pieces_are_bounded_and_none_counts_as_younger_than_it_is() {
    let (start, mut arrivals) = (Instant::now(), Arrivals::default());
    for piece in 0..200 {
        arrivals.read(1, start + MS(piece), true);
    }
    assert_eq!(arrivals.pieces.len(), MOST_PIECES);
    for end in 1..=200 {
        assert!(arrivals.of(end).unwrap() <= start + MS(end as u64 - 1), "byte {end}");
    }
}

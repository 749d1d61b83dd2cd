use super::*;
use std::thread;

#[test]
fn a_long_turn_counts_for_what_took_most_of_it() {
    let mut turns = Turns::new(Instant::now());
    turns.begin(Instant::now());
    turns.spent_on(Work::Hearing);
    turns.end();
    assert!(turns.figures().contains(&("turns_long_hearing", 0)));
    turns.begin(Instant::now());
    turns.spent_on(Work::Hearing);
    thread::sleep(LONG + Duration::from_millis(5));
    turns.spent_on(Work::Deciding);
    turns.end();
    let figures = turns.figures();
    assert!(figures.contains(&("turns", 2)) && figures.contains(&("turns_long_deciding", 1)), "{figures:?}");
}

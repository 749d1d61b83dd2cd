use super::*;
use std::thread;

#[test]
fn a_long_iteration_is_attributed_to_its_longest_kind_of_work() {
    let mut stats = LoopStats::new(Instant::now());
    stats.begin(Instant::now());
    stats.record(Work::Input);
    stats.end();
    assert!(stats.figures().contains(&("turns_long_hearing", 0)));
    stats.begin(Instant::now());
    stats.record(Work::Input);
    thread::sleep(LONG_ITERATION + Duration::from_millis(5));
    stats.record(Work::Decisions);
    stats.end();
    let figures = stats.figures();
    assert!(figures.contains(&("turns", 2)) && figures.contains(&("turns_long_deciding", 1)), "{figures:?}");
}

use super::*;
use proptest::prelude::*;

fn rule(condition: Condition, priority_decrement: u8) -> Rule {
    Rule { condition, priority_decrement, fall: 3, rise: 2 }
}

#[test]
fn a_condition_changes_after_the_configured_number_of_successive_checks() {
    let mut tracker = Tracker::new(&[rule(Condition::LoopLate, 50)]);
    let checks = [true, true, false, true, true, true, false, true, false, false];
    let held = checks.map(|found| {
        tracker.record_check(Condition::LoopLate, found);
        tracker.holds(Condition::LoopLate)
    });
    assert_eq!(held, [false, false, false, false, false, true, true, true, true, false]);
    assert!(!tracker.record_check(Condition::File, true), "not tracked");
}

#[test]
fn decrements_add_up_to_a_minimum_priority_of_one() {
    let rules = [rule(Condition::LoopLate, 50), rule(Condition::Memory, 100), rule(Condition::File, 0)];
    let mut tracker = Tracker::new(&rules);
    let hold = |tracker: &mut Tracker, it| {
        (0..3).for_each(|_| {
            tracker.record_check(it, true);
        });
    };
    hold(&mut tracker, Condition::LoopLate);
    assert_eq!((tracker.priority(200), tracker.priority(255), tracker.priority(0)), (150, 255, 0));
    hold(&mut tracker, Condition::Memory);
    assert_eq!((tracker.priority(200), tracker.priority(100)), (50, 1));
    hold(&mut tracker, Condition::File);
    assert_eq!((tracker.priority(200), tracker.priority(255)), (0, 0));
    tracker.set_rules(&rules[..1]);
    assert_eq!(tracker.priority(200), 150, "a condition that is still tracked keeps holding");
}

proptest! {
    /// A condition changes only after the number of successive checks in its rule.
    #[test]
    fn a_condition_never_changes_early(checks in prop::collection::vec(any::<bool>(), 0..60)) {
        let mut tracker = Tracker::new(&[rule(Condition::Memory, 10)]);
        for (at, found) in checks.iter().enumerate() {
            if tracker.record_check(Condition::Memory, *found) {
                let needed = if *found { 3 } else { 2 };
                prop_assert!(at + 1 >= needed);
                prop_assert!(checks[at + 1 - needed..=at].iter().all(|check| check == found));
            }
        }
    }
}

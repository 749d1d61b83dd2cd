//! The short form of the simulation, and every checker on its planted fault.

use super::checker::Breaches;
use super::planted::{self, Planted};
use super::simulation::{look_for, play};

#[test]
fn drawn_schedules_break_no_rule_and_play_the_same_again() {
    let _processor = crate::sync::processor::shared();
    let mut played = Vec::new();
    for seed in 1..=40 {
        let (breaches, counts) = play(seed, Planted::Nothing);
        assert_eq!(breaches, Breaches::default(), "seed {seed}: {counts:?}");
        played.push(counts);
    }
    // The schedules have what they are to be drawn for.
    let sum = |of: fn(&super::world::Counts) -> usize| played.iter().map(of).sum::<usize>();
    assert!(sum(|it| it.accepted) > 100 && sum(|it| it.conflicts) > 100, "{played:?}");
    assert!(sum(|it| it.crashes_at_write) > 5 && sum(|it| it.compactions) > 3, "{played:?}");
    assert!(sum(|it| it.unknown) > 5 && sum(|it| it.without_quorum) > 5, "{played:?}");
    assert_eq!(play(9, Planted::Nothing).1, played[8]);
}

#[test]
fn every_planted_fault_is_found() {
    let _processor = crate::sync::processor::shared();
    for (fault, kinds) in planted::ALL {
        let found = look_for(fault, kinds, 1);
        assert_eq!(found["found"], true, "{found}");
    }
}

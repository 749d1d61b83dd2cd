//! Short runs of the simulation, and every check on its planted fault.

use super::checker::Breaches;
use super::planted::{self, Planted};
use super::simulation::{find_planted_fault, run_schedule};

#[test]
fn random_schedules_violate_no_rule_and_a_seed_repeats_its_run() {
    let _processor = crate::sync::processor::shared();
    let mut runs = Vec::new();
    for seed in 1..=40 {
        let (breaches, counts) = run_schedule(seed, Planted::Nothing);
        assert_eq!(breaches, Breaches::default(), "seed {seed}: {counts:?}");
        runs.push(counts);
    }
    // The schedules cover the cases that they are meant to.
    let sum = |of: fn(&super::world::Counts) -> usize| runs.iter().map(of).sum::<usize>();
    assert!(sum(|it| it.accepted) > 100 && sum(|it| it.conflicts) > 100, "{runs:?}");
    assert!(sum(|it| it.crashes_at_write) > 5 && sum(|it| it.compactions) > 3, "{runs:?}");
    assert!(sum(|it| it.unknown) > 5 && sum(|it| it.without_quorum) > 5, "{runs:?}");
    assert_eq!(run_schedule(9, Planted::Nothing).1, runs[8]);
}

#[test]
fn every_planted_fault_is_found() {
    let _processor = crate::sync::processor::shared();
    for (fault, kinds) in planted::ALL {
        let found = find_planted_fault(fault, kinds, 1);
        assert_eq!(found["found"], true, "{found}");
    }
}

use super::*;

#[test]
fn fault_schedules_violate_no_rule_and_a_seed_repeats_its_run() {
    let _processor = crate::sync::processor::shared();
    for seed in 1..=120 {
        let (simulation, faults) = run_schedule(seed);
        assert_eq!(simulation.breaches, Breaches::default(), "seed {seed}: {faults:?}");
    }
    let seen = [3, 3].map(|seed| {
        let (simulation, _) = run_schedule(seed);
        (simulation.datagrams, simulation.notes.len(), simulation.now)
    });
    assert_eq!(seen[0], seen[1]);
}

use super::*;

#[test]
fn the_machine_and_the_handover_hold_under_faults() {
    let _processor = crate::sync::processor::shared();
    for (name, model) in recorded(true) {
        let checked = check(model);
        assert!(checked.broken.is_empty(), "{name}: {:?}", checked.broken);
        assert!(checked.states > 1000, "{name}: {} states", checked.states);
    }
}

fn planted(planted: Planted, priorities: [u8; 2]) -> Vec<&'static str> {
    let faults = Faults { lost: 3, doubled: 0, crashes: 0, stops: 1 };
    check(Routers { priorities: priorities.to_vec(), faults, requests: 1, planted }).broken
}

#[test]
fn deliberate_faults_are_found() {
    let _processor = crate::sync::processor::shared();
    let two = planted(Planted::TiesIgnored, [128, 128]);
    assert!(two.contains(&"good links leave exactly one Active in time"), "{two:?}");
    for fault in [Planted::RequestsForgotten, Planted::AnsweredAgain] {
        let broken = planted(fault, [192, 64]);
        assert!(broken.contains(&"at most one final answer, and no orphan"), "{fault:?}: {broken:?}");
    }
}

use super::*;

#[test]
fn at_most_one_view_per_number_is_decided_and_a_planted_fault_is_found() {
    let _processor = crate::sync::processor::shared();
    for (what, model) in recorded(true) {
        let (states, broken) = check(model);
        assert!(states > 1000 && broken.is_empty(), "{what}: {states} states, {broken:?}");
    }
    let forgets = ViewAgreement { members: 3, tries: vec![1, 1], restarts: 1, forgets: true };
    assert_eq!(check(forgets).1, ["one view of a number"]);
}

use super::*;

#[test]
fn without_loss_and_pauses_nobody_is_held_for_gone_and_with_much_of_both_heartbeats_err() {
    let _processor = crate::sync::processor::shared();
    for judge in [Judge::Fixed, Judge::Phi] {
        assert_eq!(beats(judge, 0.0, &[], 0.1, 1), 0, "{judge:?}");
        assert!(beats(judge, 0.3, &pauses(0.5, 1), 0.5, 1) > 0, "{judge:?}");
    }
    assert_eq!(members(0.1, &pauses(0.1, 1), 0.1, (true, 1)).0, 0);
}

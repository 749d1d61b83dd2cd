use super::*;

#[test]
fn heartbeats_err_under_loss_and_pauses_but_not_without() {
    let _processor = crate::sync::processor::shared();
    for detector in [Detector::Fixed, Detector::Phi] {
        assert_eq!(heartbeat_errors(detector, 0.0, &[], 0.1, 1), 0, "{detector:?}");
        assert!(heartbeat_errors(detector, 0.3, &pauses(0.5, 1), 0.5, 1) > 0, "{detector:?}");
    }
    assert_eq!(member_errors(0.1, &pauses(0.1, 1), 0.1, (true, 1)).0, 0);
}

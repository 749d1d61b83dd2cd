use super::*;

#[test]
fn timeouts_grow_with_the_score_up_to_a_limit_and_recover() {
    let (mut health, second) = (Health::default(), Duration::from_secs(1));
    assert_eq!(health.stretch(second), second);
    health.record_delay();
    health.probe_unanswered();
    assert_eq!(health.stretch(second), 4 * second);
    (0..20).for_each(|_| health.record_delay());
    assert_eq!(health.stretch(second), 8 * second);
    (0..20).for_each(|_| health.probe_answered());
    assert_eq!(health.stretch(second), second);
}

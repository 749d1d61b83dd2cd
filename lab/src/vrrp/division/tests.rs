use super::*;

#[test]
fn only_fixed_shares_keep_the_limit() {
    let _processor = crate::sync::processor::shared();
    for way in Way::ALL {
        let result = evaluate(way, 40, 1);
        let kept = result.excess == 0.0;
        assert_eq!(kept, matches!(way, Way::Fixed(..)), "{}: {result:?}", way.name());
    }
}

use super::*;

#[test]
fn fixed_parts_keep_the_limit_and_what_is_undivided_does_not() {
    let _processor = crate::sync::processor::shared();
    for way in Way::ALL {
        let weighed = weigh(way, 40, 1);
        let kept = weighed.excess == 0.0;
        assert_eq!(kept, matches!(way, Way::Fixed(..)), "{}: {weighed:?}", way.name());
    }
}

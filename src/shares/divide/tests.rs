use super::*;
use proptest::prelude::*;

fn wants(wanted: f64) -> HolderDemand {
    HolderDemand { even_share: Share::even(4.0), wanted, gives_back: true }
}

#[test]
fn one_that_wants_all_gets_all_but_the_floors() {
    let parts = divide(&[wants(3.0), wants(0.0), wants(0.0), wants(0.0)]);
    assert_eq!(parts, [812_500, 62_500, 62_500, 62_500].map(Share));
}

#[test]
fn what_is_short_goes_by_what_is_wanted_and_what_is_over_evenly() {
    let short = divide(&[wants(2.0), wants(1.0), wants(1.0), wants(1.0)]);
    assert!(short[0].0 > 3 * short[1].0 / 2 && short[1] == short[2], "{short:?}");
    let calm = divide(&[wants(0.1); 4]);
    assert_eq!(calm, [Share(250_000); 4]);
    let some = divide(&[wants(0.4), wants(0.1), wants(0.1), wants(0.1)]);
    assert!(some[0].0 >= 500_000 && some[1].0 >= 125_000, "{some:?}");
}

#[test]
fn one_that_cannot_give_back_keeps_its_even_part() {
    let parts = divide(&[wants(3.0), HolderDemand { gives_back: false, ..wants(0.0) }]);
    assert_eq!(parts[1], Share(250_000));
    assert_eq!(parts[0], Share(250_000));
}

proptest! {
    #[test]
    fn parts_sum_to_no_more_than_there_is(
        all in prop::collection::vec((1.0..50.0_f64, prop::num::f64::ANY, any::<bool>()), 0..20)
    ) {
        let all: Vec<HolderDemand> =
            all.into_iter().map(|(among, wanted, gives_back)| HolderDemand { even_share: Share::even(among), wanted, gives_back }).collect();
        let parts = divide(&all);
        let sum: u64 = parts.iter().map(|part| u64::from(part.0)).sum();
        prop_assert!(sum <= all.iter().map(|one| u64::from(one.even_share.0)).sum());
        for (part, one) in parts.iter().zip(&all) {
            // A millionth may be lost to rounding.
            prop_assert!(part.0 + 1 >= one.even_share.floor().0);
        }
    }
}

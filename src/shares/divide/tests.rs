use super::*;
use proptest::prelude::*;

fn demand(wanted: f64) -> HolderDemand {
    HolderDemand { even_share: Share::even(4.0), wanted, gives_back: true }
}

#[test]
fn a_single_demand_gets_everything_but_the_floors() {
    let shares = divide(&[demand(3.0), demand(0.0), demand(0.0), demand(0.0)]);
    assert_eq!(shares, [812_500, 62_500, 62_500, 62_500].map(Share));
}

#[test]
fn shortage_is_divided_by_demand_and_surplus_by_even_shares() {
    let short = divide(&[demand(2.0), demand(1.0), demand(1.0), demand(1.0)]);
    assert!(short[0].0 > 3 * short[1].0 / 2 && short[1] == short[2], "{short:?}");
    let calm = divide(&[demand(0.1); 4]);
    assert_eq!(calm, [Share(250_000); 4]);
    let some = divide(&[demand(0.4), demand(0.1), demand(0.1), demand(0.1)]);
    assert!(some[0].0 >= 500_000 && some[1].0 >= 125_000, "{some:?}");
}

#[test]
fn a_holder_that_cannot_give_back_keeps_its_even_share() {
    let shares = divide(&[demand(3.0), HolderDemand { gives_back: false, ..demand(0.0) }]);
    assert_eq!(shares[1], Share(250_000));
    assert_eq!(shares[0], Share(250_000));
}

proptest! {
    #[test]
    fn shares_sum_to_at_most_the_even_shares(
        holders in prop::collection::vec((1.0..50.0_f64, prop::num::f64::ANY, any::<bool>()), 0..20)
    ) {
        let holders: Vec<HolderDemand> =
            holders.into_iter().map(|(initiators, wanted, gives_back)| HolderDemand { even_share: Share::even(initiators), wanted, gives_back }).collect();
        let shares = divide(&holders);
        let sum: u64 = shares.iter().map(|share| u64::from(share.0)).sum();
        prop_assert!(sum <= holders.iter().map(|holder| u64::from(holder.even_share.0)).sum());
        for (share, holder) in shares.iter().zip(&holders) {
            // A millionth may be lost to rounding.
            prop_assert!(share.0 + 1 >= holder.even_share.floor().0);
        }
    }
}

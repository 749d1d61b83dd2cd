use super::*;

#[test]
fn units_within_the_reserve_are_worth_more_than_the_share_and_the_rest() {
    let entitlement = Entitlement { reserve: 2.0, share: 4.0 };
    let assert_worth =
        |units: f64, worth: f64| assert!((entitlement.worth(units) - worth).abs() < 1e-9, "{units}");
    assert_worth(1.0, 1.0);
    assert_worth(4.0, 2.0 + 0.7);
    assert_worth(10.0, 2.0 + 1.4 + 0.2);
}

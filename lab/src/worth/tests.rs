use super::*;

#[test]
fn what_lies_within_the_reserve_counts_most() {
    let terms = Prices { reserve: 2.0, share: 4.0 };
    let near = |units: f64, worth: f64| assert!((terms.worth(units) - worth).abs() < 1e-9, "{units}");
    near(1.0, 1.0);
    near(4.0, 2.0 + 0.7);
    near(10.0, 2.0 + 1.4 + 0.2);
}

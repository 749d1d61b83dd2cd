use super::*;
use proptest::prelude::*;

const LIMITS: Limits =
    Limits { long_values: 20_000, windows: 6_000, input: 8_000, requests: 10_000, total: 30_000 };

fn purpose() -> impl Strategy<Value = Purpose> {
    prop_oneof![Just(Purpose::LongValue), Just(Purpose::Window), Just(Purpose::Input), Just(Purpose::Request)]
}

proptest! {
    #[test]
    fn grants_never_sum_to_more_than_the_budget(
        requests in prop::collection::vec((purpose(), 0usize..5000, any::<bool>()), 0..100),
    ) {
        let budget = Budget::new(LIMITS);
        let mut grants: Vec<Grant> = Vec::new();
        for (purpose, bytes, drops) in requests {
            if drops && !grants.is_empty() {
                grants.remove(bytes % grants.len());
            } else if let Some(grant) = budget.grant(purpose, bytes) {
                grants.push(grant);
            }
            for purpose in [Purpose::LongValue, Purpose::Window, Purpose::Input, Purpose::Request] {
                let of_purpose = grants.iter().filter(|grant| grant.purpose == purpose);
                prop_assert_eq!(budget.used(purpose), of_purpose.map(Grant::bytes).sum::<usize>());
                prop_assert!(budget.used(purpose) <= LIMITS.of(purpose));
            }
            prop_assert!(budget.total() <= LIMITS.total);
        }
    }
}

#[test]
fn bytes_that_are_held_over_a_limit_leave_nothing_to_others_until_they_are_returned() {
    let budget = Budget::new(LIMITS);
    let mut held = budget.hold(Purpose::Request, 12_000);
    assert!(budget.grant(Purpose::Request, 1).is_none());
    assert_eq!((budget.available(Purpose::LongValue), budget.total()), (18_000, 12_000));
    held.resize(9_000);
    assert_eq!(budget.available(Purpose::Request), 1_000);
    drop(held);
    assert_eq!((budget.available(Purpose::Request), budget.total()), (10_000, 0));
}

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_body_comes_out_as_it_came_in_and_never_takes_more_than_its_part(
        length in 1usize..300_000,
        granted: bool,
        pieces in prop::collection::vec((1usize..70_000, 1usize..70_000), 1..200),
    ) {
        let budget = Budget::new(300_000);
        let grant = granted.then(|| budget.grant(length).unwrap());
        let (flow, body) = (Flow::new(length, grant), (0..length).map(|at| (at % 251) as u8).collect::<Vec<_>>());
        let mut out: Vec<u8> = Vec::new();
        for (read, write) in pieces.iter().cycle().take(10_000) {
            let came = flow.came();
            let count = flow.room().min(*read);
            flow.push(&body[came..came + count]);
            let most = if granted { length } else { WINDOW };
            prop_assert!(flow.0.borrow().held.len() <= most);
            let bytes = flow.copy(out.len(), *write);
            out.extend(&bytes);
            flow.written(out.len());
            prop_assert!(granted == flow.is_repeatable() || out.is_empty() == flow.is_repeatable());
            if out.len() == length {
                break;
            }
        }
        prop_assert_eq!(out, body);
        prop_assert!(flow.is_complete());
        drop(flow);
        prop_assert_eq!(budget.granted(), 0);
    }

    #[test]
    fn grants_never_sum_to_more_than_the_budget(asks in prop::collection::vec((0usize..5000, any::<bool>()), 0..100)) {
        let budget = Budget::new(20_000);
        let mut grants: Vec<Grant> = Vec::new();
        for (bytes, drops) in asks {
            if drops && !grants.is_empty() {
                grants.remove(bytes % grants.len());
            } else if let Some(grant) = budget.grant(bytes) {
                grants.push(grant);
            }
            prop_assert_eq!(budget.granted(), grants.iter().map(Grant::bytes).sum::<usize>());
            prop_assert!(budget.granted() <= 20_000);
        }
    }
}

#[test]
fn an_abandoned_body_is_passed_over_and_gives_its_grant_back() {
    let budget = Budget::new(LONGEST);
    let flow = Flow::new(200_000, budget.grant(200_000));
    flow.push(&[1; 1000]);
    flow.abandon();
    assert_eq!((budget.granted(), flow.room(), flow.is_repeatable()), (0, 199_000, false));
    flow.push(&[1; 199_000]);
    assert!(flow.is_complete() && flow.copy(0, 9).is_empty());
}

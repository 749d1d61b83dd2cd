use super::*;
use proptest::prelude::*;

#[test]
fn hash_is_fnv_1a() {
    // FNV-1a's published values.
    assert_eq!((hash(""), hash("a")), (0xcbf2_9ce4_8422_2325, 0xaf63_dc4c_8601_ec8c));
}

#[test]
fn keys_are_spread_evenly_over_candidates() {
    let candidates: Vec<u64> = (0..10).map(|number| hash(&format!("f-{number}"))).collect();
    let mut counts = [0; 10];
    (0..10_000).for_each(|key| counts[pick(hash(&format!("n-{key}")), &candidates).unwrap()] += 1);
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
}

#[test]
fn the_first_in_order_is_the_picked_candidate() {
    let candidates = [3, 1, 4, 15, 92];
    for key in 0..100 {
        let order = order(key, &candidates);
        assert_eq!(Some(order[0]), pick(key, &candidates));
        assert_eq!(order.len(), 5);
    }
    assert_eq!(pick(1, &[]), None);
}

proptest! {
    /// After each addition or removal, each key belongs to the candidate that `pick` chooses, and only the returned
    /// candidates have other keys than before.
    #[test]
    fn incremental_assignments_match_picks_and_report_all_changes(
        steps in prop::collection::vec((0..4_u8, 0..12_u64), 1..80)
    ) {
        let (mut assignments, mut keys, mut present) = (Assignments::default(), Vec::new(), Vec::new());
        for (action, number) in steps {
            let before = assignments.clone();
            let changed = match action {
                0 => { keys.push(number); assignments.add_key(number).into_iter().collect() }
                1 => { keys.retain(|key| *key != number); let owner = assignments.owner(number); assignments.remove_key(number); owner.into_iter().collect() }
                2 => { present.push(number); let mut changed = assignments.add(number); changed.push(number); changed }
                _ => { present.retain(|it| *it != number); let mut changed = assignments.remove(number); changed.push(number); changed }
            };
            present.sort_unstable();
            present.dedup();
            for key in &keys {
                prop_assert_eq!(assignments.owner(*key), pick(*key, &present).map(|at| present[at]));
            }
            for candidate in &present {
                if !changed.contains(candidate) {
                    prop_assert_eq!(assignments.keys_of(*candidate), before.keys_of(*candidate));
                }
                prop_assert!(assignments.keys_of(*candidate).iter().all(|key| assignments.owner(*key) == Some(*candidate)));
            }
        }
    }
}

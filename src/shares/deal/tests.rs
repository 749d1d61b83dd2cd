use super::*;
use proptest::prelude::*;

#[test]
fn names_hash_as_they_always_did() {
    // FNV-1a's published values.
    assert_eq!((hash(""), hash("a")), (0xcbf2_9ce4_8422_2325, 0xaf63_dc4c_8601_ec8c));
}

#[test]
fn keys_spread_evenly() {
    let candidates: Vec<u64> = (0..10).map(|number| hash(&format!("f-{number}"))).collect();
    let mut counts = [0; 10];
    (0..10_000).for_each(|key| counts[pick(hash(&format!("n-{key}")), &candidates).unwrap()] += 1);
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
}

#[test]
fn the_order_begins_with_the_pick() {
    let candidates = [3, 1, 4, 15, 92];
    for key in 0..100 {
        let order = order(key, &candidates);
        assert_eq!(Some(order[0]), pick(key, &candidates));
        assert_eq!(order.len(), 5);
    }
    assert_eq!(pick(1, &[]), None);
}

proptest! {
    /// Whatever comes and goes, each key is where a pick among those present puts it, and only those who are told
    /// of have other keys than before.
    #[test]
    fn what_is_dealt_step_by_step_is_what_is_picked(
        steps in prop::collection::vec((0..4_u8, 0..12_u64), 1..80)
    ) {
        let (mut dealt, mut keys, mut present) = (Assignments::default(), Vec::new(), Vec::new());
        for (what, number) in steps {
            let before = dealt.clone();
            let told = match what {
                0 => { keys.push(number); dealt.add_key(number).into_iter().collect() }
                1 => { keys.retain(|key| *key != number); let owner = dealt.owner(number); dealt.remove_key(number); owner.into_iter().collect() }
                2 => { present.push(number); let mut told = dealt.add(number); told.push(number); told }
                _ => { present.retain(|it| *it != number); let mut told = dealt.remove(number); told.push(number); told }
            };
            present.sort_unstable();
            present.dedup();
            for key in &keys {
                prop_assert_eq!(dealt.owner(*key), pick(*key, &present).map(|at| present[at]));
            }
            for candidate in &present {
                if !told.contains(candidate) {
                    prop_assert_eq!(dealt.keys_of(*candidate), before.keys_of(*candidate));
                }
                prop_assert!(dealt.keys_of(*candidate).iter().all(|key| dealt.owner(*key) == Some(*candidate)));
            }
        }
    }
}

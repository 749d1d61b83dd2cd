use super::*;

#[test]
fn an_object_is_sought_where_it_was_served_until_that_shard_rejects_it() {
    let mut placement = Placement::default();
    assert_eq!(placement.shard(7, Some(0)), Some(0));
    placement.record(7, 2);
    assert_eq!((placement.shard(7, Some(0)), placement.shard(7, None)), (Some(2), None));
    placement.invalidate(7, 0);
    assert_eq!(placement.shard(7, Some(0)), Some(2), "a rejection by another shard changes nothing");
    placement.invalidate(7, 2);
    assert_eq!((placement.shard(7, Some(0)), placement.len()), (Some(0), 0));
}

proptest::proptest! {
    #[test]
    fn entries_are_bounded_and_the_latest_record_wins(seen: Vec<(u64, u32)>) {
        let mut placement = Placement::default();
        for key in 1..=MAX_KEYS as u64 + 9 {
            placement.record(key, 1);
        }
        for (key, shard) in seen {
            placement.record(key, shard);
            proptest::prop_assert!(key == 0 || placement.shard(key, Some(0)) == Some(shard));
            proptest::prop_assert!(placement.len() <= MAX_KEYS && placement.shards.len() == placement.len());
        }
    }
}

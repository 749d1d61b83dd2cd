use super::*;

#[test]
fn a_piece_is_looked_for_where_it_was_served_until_it_is_turned_away_there() {
    let mut placement = Placement::default();
    assert_eq!(placement.shard(7, Some(0)), Some(0));
    placement.record(7, 2);
    assert_eq!((placement.shard(7, Some(0)), placement.shard(7, None)), (Some(2), None));
    placement.invalidate(7, 0);
    assert_eq!(placement.shard(7, Some(0)), Some(2), "that it is not elsewhere was known");
    placement.invalidate(7, 2);
    assert_eq!((placement.shard(7, Some(0)), placement.len()), (Some(0), 0));
}

proptest::proptest! {
    #[test]
    fn what_is_remembered_is_bounded_and_the_last_that_was_seen(seen: Vec<(u64, u32)>) {
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

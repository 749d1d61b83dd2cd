use super::*;

#[test]
fn the_timeout_grows_with_the_fleet_and_shrinks_with_witnesses_down_to_the_minimum() {
    let (period, start) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut suspicion = Suspicion::new(start, "a");
    let mut last = suspicion.expires(period, 2.0, 50) - start;
    assert!(last > Duration::from_secs(10) && last < Duration::from_secs(11));
    for witness in ["b", "c", "d"] {
        suspicion.witnesses.insert(witness.into());
        let next = suspicion.expires(period, 2.0, 50) - start;
        assert!(next < last);
        last = next;
    }
    assert_eq!(last, timeout_bounds(period, 2.0, 50).0);
    suspicion.witnesses.insert("e".into());
    assert_eq!(suspicion.expires(period, 2.0, 50) - start, last, "never below the minimum");
    assert_eq!(Suspicion::new(start, "a").expires(period, 2.0, 3) - start, timeout_bounds(period, 2.0, 3).0);
    assert!(timeout_bounds(period, 2.0, 3000).0 > timeout_bounds(period, 2.0, 50).0);
}

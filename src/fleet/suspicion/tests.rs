use super::*;

#[test]
fn a_suspicion_lasts_longer_in_a_large_fleet_and_shorter_with_witnesses() {
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
    assert_eq!(suspicion.expires(period, 2.0, 50) - start, last, "never sooner than the least");
    assert_eq!(Suspicion::new(start, "a").expires(period, 2.0, 3) - start, timeout_bounds(period, 2.0, 3).0);
    assert!(timeout_bounds(period, 2.0, 3000).0 > timeout_bounds(period, 2.0, 50).0);
}

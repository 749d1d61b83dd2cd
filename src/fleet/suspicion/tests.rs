use super::*;

#[test]
fn a_doubt_lasts_longer_in_a_large_fleet_and_shorter_with_witnesses() {
    let (period, start) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut doubt = Suspicion::new(start, "a");
    let mut last = doubt.ends(period, 2.0, 50) - start;
    assert!(last > Duration::from_secs(10) && last < Duration::from_secs(11));
    for witness in ["b", "c", "d"] {
        doubt.witnesses.insert(witness.into());
        let next = doubt.ends(period, 2.0, 50) - start;
        assert!(next < last);
        last = next;
    }
    assert_eq!(last, bounds(period, 2.0, 50).0);
    doubt.witnesses.insert("e".into());
    assert_eq!(doubt.ends(period, 2.0, 50) - start, last, "never sooner than the least");
    assert_eq!(Suspicion::new(start, "a").ends(period, 2.0, 3) - start, bounds(period, 2.0, 3).0);
    assert!(bounds(period, 2.0, 3000).0 > bounds(period, 2.0, 50).0);
}

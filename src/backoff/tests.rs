use super::*;

#[test]
fn pauses_double_up_to_the_maximum_and_reset_after_a_success() {
    let (first, max) = (Duration::from_millis(100), Duration::from_secs(2));
    let mut backoff = Backoff::new(first, max, 7);
    for mean in [100, 200, 400, 800, 1600, 2000, 2000].map(Duration::from_millis) {
        let pause = backoff.pause();
        assert!((mean / 2..=mean * 3 / 2).contains(&pause), "{pause:?} for {mean:?}");
    }
    for _ in 0..100 {
        assert!(backoff.pause() <= max * 3 / 2);
    }
    backoff.reset();
    assert!(backoff.pause() <= first * 3 / 2);
}

#[test]
fn clients_that_fail_together_retry_at_spread_times() {
    let slot = Duration::from_millis(10);
    let seed = |number: u64| number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut clients: Vec<_> =
        (0..100).map(|number| Backoff::new(slot * 100, slot * 800, seed(number))).collect();
    let mut at = [0; 16];
    for backoff in &mut clients {
        at[backoff.pause().as_millis() as usize / 100] += 1;
    }
    // An even spread has ten in each tenth of the span.
    assert!(at.iter().all(|count| *count <= 20), "{at:?}");
}

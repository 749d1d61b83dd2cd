use super::*;

const INTERVAL: Duration = Duration::from_millis(250);

#[test]
fn without_loss_nothing_is_taken_over() {
    let lossy = simulate(INTERVAL, 0.0, 10.0, 1);
    assert_eq!((lossy.takeovers, lossy.doubled), (0.0, 0.0));
}

#[test]
fn with_loss_it_comes_near_the_closed_form_and_is_the_same_again() {
    let _processor = crate::sync::processor::shared();
    let (simulated, closed) = (simulate(INTERVAL, 0.1, 40.0, 1), closed(INTERVAL, 0.1));
    let near = |one: f64, other: f64| (one / other - 1.0).abs() < 0.2;
    assert!(near(simulated.takeovers, closed.takeovers), "{simulated:?} {closed:?}");
    let again = simulate(INTERVAL, 0.1, 40.0, 1);
    assert_eq!(again.doubled, simulated.doubled);
    assert!(simulate(INTERVAL, 0.3, 5.0, 1).takeovers > 5.0 * simulated.takeovers);
}

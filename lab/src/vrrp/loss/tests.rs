use super::*;

const INTERVAL: Duration = Duration::from_millis(250);

#[test]
fn without_loss_there_is_no_takeover() {
    let rates = simulate(INTERVAL, 0.0, 10.0, 1);
    assert_eq!((rates.takeovers, rates.two_active), (0.0, 0.0));
}

#[test]
fn with_loss_it_agrees_with_the_closed_form_and_a_seed_repeats_its_run() {
    let _processor = crate::sync::processor::shared();
    let (simulated, closed_form) = (simulate(INTERVAL, 0.1, 40.0, 1), closed_form(INTERVAL, 0.1));
    let is_near = |one: f64, other: f64| (one / other - 1.0).abs() < 0.2;
    assert!(is_near(simulated.takeovers, closed_form.takeovers), "{simulated:?} {closed_form:?}");
    let again = simulate(INTERVAL, 0.1, 40.0, 1);
    assert_eq!(again.two_active, simulated.two_active);
    assert!(simulate(INTERVAL, 0.3, 5.0, 1).takeovers > 5.0 * simulated.takeovers);
}

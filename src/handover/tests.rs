use super::*;
use crate::interface::{Limit, Units};
use proptest::prelude::*;

const MAX_DURATION: Duration = Duration::from_secs(3);
const S: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn an_address_is_acquired_served_and_retired() {
    let mut handover = Handover::new(1, MAX_DURATION);
    let mut step = |at, event| (handover.step(S(at), 0, event), handover.duty(0).name());
    assert_eq!(step(0, Event::Withdrawn), (None, "standby"));
    assert_eq!(step(1, Event::Granted), (Some(AddressAction::Acquire), "opening"));
    assert_eq!(step(1, Event::Polled { open: 0 }), (None, "opening"));
    assert_eq!(step(2, Event::Opened), (None, "serving"));
    assert_eq!(step(2, Event::Granted), (None, "serving"));
    assert_eq!(step(3, Event::Withdrawn), (Some(AddressAction::Release), "retired"));
    assert_eq!(step(4, Event::Polled { open: 50 }), (None, "retired"));
    assert_eq!(step(5, Event::Polled { open: 0 }), (None, "standby"));
}

#[test]
fn requests_unfinished_after_the_longest_deadline_are_aborted() {
    let retired = Duty::Retired { until: S(4) };
    assert_eq!(retired.step(S(4), MAX_DURATION, Event::Polled { open: 1 }), (retired, None));
    assert_eq!(
        retired.step(S(5), MAX_DURATION, Event::Polled { open: 1 }),
        (Duty::Standby, Some(AddressAction::Abort))
    );
}

#[test]
fn a_retired_address_that_is_granted_again_is_served_again() {
    let retired = Duty::Retired { until: S(4) };
    let (opening, action) = retired.step(S(3), MAX_DURATION, Event::Granted);
    assert_eq!((opening, action), (Duty::Opening, Some(AddressAction::Acquire)));
    assert!(!opening.accepts(), "not before the address is assigned");
    assert!(opening.step(S(3), MAX_DURATION, Event::Opened).0.accepts());
}

#[test]
fn an_address_opened_after_withdrawal_is_not_served() {
    let retired = Duty::Opening.step(S(3), MAX_DURATION, Event::Withdrawn).0;
    assert_eq!(retired.step(S(3), MAX_DURATION, Event::Opened).0, retired);
}

fn settings() -> Settings {
    let limit = Limit { rate: 20.0, burst: 48.0, overdraft: 8.0 };
    let plan = |limit| Plan { reserve: 1.0, limit, weight: 1.0, worth_factor: 1.0 };
    let units = Units { largest: 8.0, ..Units::default() };
    Settings { initiators: 3, plans: vec![plan(None), plan(Some(limit))], units, ..Settings::default() }
}

#[test]
fn shares_of_all_machines_sum_to_the_whole_limit() {
    let shares = [(0.75, 0.5), (0.25, 0.5)].map(|(rate, burst)| {
        let mut settings = settings();
        Share { machines: 2, rate, burst }.divide(&mut settings);
        (settings.initiators, settings.plans[1].limit.unwrap(), settings.plans[0].limit)
    });
    let limit = |rate, burst, overdraft| Limit { rate, burst, overdraft };
    assert_eq!(shares[0], (6, limit(15.0, 24.0, 4.0), None));
    assert_eq!(shares[1], (6, limit(5.0, 24.0, 4.0), None));
}

#[test]
fn a_burst_share_below_the_largest_request_is_found() {
    let share = |burst| Share { machines: 2, rate: 0.5, burst };
    assert_eq!(share(0.1).plan_below_largest(&settings()), Some(1));
    assert_eq!(share(0.2).plan_below_largest(&settings()), None);
}

fn any_event() -> impl Strategy<Value = Event> {
    let polled = (0..3_usize).prop_map(|open| Event::Polled { open });
    prop_oneof![Just(Event::Granted), Just(Event::Withdrawn), Just(Event::Opened), polled]
}

proptest! {
    /// Requests are accepted only as Active with the address assigned, and every `Acquire` is followed by a `Release`
    /// before the next.
    #[test]
    fn requests_are_accepted_only_as_active(events in prop::collection::vec((0..5_u64, any_event()), 0..60)) {
        let (mut handover, mut now, mut granted, mut taken) = (Handover::new(1, MAX_DURATION), S(0), false, false);
        for (wait, event) in events {
            now += S(wait);
            match event {
                Event::Granted => granted = true,
                Event::Withdrawn => granted = false,
                Event::Opened | Event::Polled { .. } => {}
            }
            match handover.step(now, 0, event) {
                Some(AddressAction::Acquire) => {
                    prop_assert!(!taken);
                    taken = true;
                }
                Some(AddressAction::Release) => {
                    prop_assert!(taken);
                    taken = false;
                }
                Some(AddressAction::Abort) | None => {}
            }
            prop_assert_eq!(taken, granted);
            prop_assert!(!handover.duty(0).accepts() || granted);
        }
    }
}

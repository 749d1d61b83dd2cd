use super::*;
use crate::interface::{Limit, Units};
use proptest::prelude::*;

const FINISH: Duration = Duration::from_secs(3);
const S: fn(u64) -> Duration = Duration::from_secs;

#[test]
fn an_address_is_taken_served_and_finished() {
    let mut handover = Handover::new(1, FINISH);
    let mut step = |at, event| (handover.step(S(at), 0, event), handover.duty(0).name());
    assert_eq!(step(0, Event::Withdrawn), (None, "standby"));
    assert_eq!(step(1, Event::Granted), (Some(Order::Take), "opening"));
    assert_eq!(step(1, Event::Looked { open: 0 }), (None, "opening"));
    assert_eq!(step(2, Event::Opened), (None, "serving"));
    assert_eq!(step(2, Event::Granted), (None, "serving"));
    assert_eq!(step(3, Event::Withdrawn), (Some(Order::Release), "retired"));
    assert_eq!(step(4, Event::Looked { open: 50 }), (None, "retired"));
    assert_eq!(step(5, Event::Looked { open: 0 }), (None, "standby"));
}

#[test]
fn what_is_not_finished_when_its_time_is_over_is_ended() {
    let retired = Duty::Retired { until: S(4) };
    assert_eq!(retired.step(S(4), FINISH, Event::Looked { open: 1 }), (retired, None));
    assert_eq!(retired.step(S(5), FINISH, Event::Looked { open: 1 }), (Duty::Standby, Some(Order::End)));
}

#[test]
fn one_that_returns_while_it_finishes_serves_again() {
    let retired = Duty::Retired { until: S(4) };
    let (opening, order) = retired.step(S(3), FINISH, Event::Granted);
    assert_eq!((opening, order), (Duty::Opening, Some(Order::Take)));
    assert!(!opening.takes(), "not before the address is here");
    assert!(opening.step(S(3), FINISH, Event::Opened).0.takes());
}

#[test]
fn an_address_that_comes_late_is_not_served() {
    let retired = Duty::Opening.step(S(3), FINISH, Event::Withdrawn).0;
    assert_eq!(retired.step(S(3), FINISH, Event::Opened).0, retired);
}

fn settings() -> Settings {
    let limit = Limit { rate: 20.0, burst: 48.0, overdraft: 8.0 };
    let plan = |limit| Plan { reserve: 1.0, limit, weight: 1.0, worth_factor: 1.0 };
    let units = Units { largest: 8.0, ..Units::default() };
    Settings { initiators: 3, plans: vec![plan(None), plan(Some(limit))], units, ..Settings::default() }
}

#[test]
fn parts_of_machines_sum_to_the_whole() {
    let parts = [(0.75, 0.5), (0.25, 0.5)].map(|(rate, burst)| {
        let mut settings = settings();
        Share { machines: 2, rate, burst }.divide(&mut settings);
        (settings.initiators, settings.plans[1].limit.unwrap(), settings.plans[0].limit)
    });
    let limit = |rate, burst, overdraft| Limit { rate, burst, overdraft };
    assert_eq!(parts[0], (6, limit(15.0, 24.0, 4.0), None));
    assert_eq!(parts[1], (6, limit(5.0, 24.0, 4.0), None));
}

#[test]
fn a_part_that_leaves_no_room_for_the_largest_request_is_found() {
    let share = |burst| Share { machines: 2, rate: 0.5, burst };
    assert_eq!(share(0.1).too_small(&settings()), Some(1));
    assert_eq!(share(0.2).too_small(&settings()), None);
}

fn any_event() -> impl Strategy<Value = Event> {
    let looked = (0..3_usize).prop_map(|open| Event::Looked { open });
    prop_oneof![Just(Event::Granted), Just(Event::Withdrawn), Just(Event::Opened), looked]
}

proptest! {
    /// It takes items only as Active with the address here, and every order to take is followed by one to
    /// release before the next.
    #[test]
    fn it_serves_only_as_active(events in prop::collection::vec((0..5_u64, any_event()), 0..60)) {
        let (mut handover, mut now, mut granted, mut taken) = (Handover::new(1, FINISH), S(0), false, false);
        for (wait, event) in events {
            now += S(wait);
            match event {
                Event::Granted => granted = true,
                Event::Withdrawn => granted = false,
                Event::Opened | Event::Looked { .. } => {}
            }
            match handover.step(now, 0, event) {
                Some(Order::Take) => {
                    prop_assert!(!taken);
                    taken = true;
                }
                Some(Order::Release) => {
                    prop_assert!(taken);
                    taken = false;
                }
                Some(Order::End) | None => {}
            }
            prop_assert_eq!(taken, granted);
            prop_assert!(!handover.duty(0).takes() || granted);
        }
    }
}

use super::*;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn parameters(last: u8) -> Parameters {
    let address = [192, 0, 2, last].into();
    Parameters { interval: MS(100), preempt: true, preempt_delay: Duration::ZERO, address }
}

fn advertised_by(priority: u8, last: u8) -> Event {
    Event::Advertisement { priority, interval: MS(100), sender: [192, 0, 2, last].into() }
}

/// A router that started at time 0.
fn started(own: &Parameters, priority: u8) -> StateMachine {
    let mut machine = StateMachine::new(own, priority);
    machine.step(own, Duration::ZERO, Event::Startup);
    machine
}

/// A router that became Active at 400 ms.
fn active(own: &Parameters, priority: u8) -> StateMachine {
    let mut machine = started(own, priority);
    machine.step(own, MS(400), Event::Timer);
    assert_eq!(machine.role(), Role::Active);
    machine
}

fn reason(step: Step) -> Option<Reason> {
    step.transition.map(|transition| transition.reason)
}

#[test]
fn a_backup_becomes_active_after_three_intervals_and_the_skew_time() {
    let own = parameters(1);
    let mut machine = started(&own, 128);
    assert_eq!(machine.timer(), Some(MS(350)));
    assert_eq!(machine.step(&own, MS(349), Event::Timer), Step::default());
    let step = machine.step(&own, MS(350), Event::Timer);
    assert_eq!((step.advertise, reason(step)), (Some(128), Some(Reason::NoResponse)));
    assert_eq!(machine.timer(), Some(MS(450)));
    let step = machine.step(&own, MS(450), Event::Timer);
    assert_eq!((step.advertise, step.transition), (Some(128), None));
    assert_eq!(machine.timer(), Some(MS(550)));
}

#[test]
fn an_address_owner_becomes_active_at_startup() {
    let own = parameters(1);
    let mut machine = StateMachine::new(&own, PRIORITY_OWNER);
    let step = machine.step(&own, MS(5), Event::Startup);
    assert_eq!((step.advertise, reason(step)), (Some(255), Some(Reason::Owner)));
    assert_eq!(machine.step(&own, MS(5), Event::Startup), Step::default());
}

#[test]
fn a_backup_uses_the_interval_of_the_active_router() {
    let own = parameters(1);
    let mut machine = started(&own, 128);
    let slow = Event::Advertisement { priority: 128, interval: MS(1000), sender: [192, 0, 2, 2].into() };
    machine.step(&own, MS(300), slow);
    assert_eq!((machine.skew_time(), machine.active_down_interval()), (MS(500), MS(3500)));
    assert_eq!(machine.timer(), Some(MS(3800)));
    machine.step(&own, MS(3800), Event::Timer);
    assert_eq!(machine.timer(), Some(MS(3900)), "as Active it uses its own interval");
    assert_eq!(machine.active_interval(), MS(100));
}

#[test]
fn a_backup_preempts_a_lower_priority_unless_preempt_is_off() {
    let own = parameters(1);
    let mut machine = started(&own, 100);
    machine.step(&own, MS(300), advertised_by(99, 9));
    let due = machine.timer();
    assert_eq!(due, Some(MS(360) + Duration::from_micros(937) + Duration::from_nanos(500)));
    assert_eq!(reason(machine.step(&own, MS(361), Event::Timer)), Some(Reason::Preempts));
    let patient = Parameters { preempt: false, ..own };
    let mut machine = started(&patient, 100);
    machine.step(&patient, MS(300), advertised_by(99, 9));
    assert!(machine.timer() > due);
}

#[test]
fn the_preempt_delay_begins_with_the_first_advertisement_of_lower_priority() {
    let own = Parameters { preempt_delay: MS(1000), ..parameters(1) };
    let mut machine = started(&own, 200);
    for tenth in 1..=10 {
        machine.step(&own, MS(100 * tenth), advertised_by(100, 9));
        assert_eq!(machine.step(&own, MS(100 * tenth), Event::Timer), Step::default());
    }
    let due = machine.timer();
    machine.step(&own, MS(1100), advertised_by(100, 9));
    assert_eq!(machine.timer(), due, "the delay is over");
    assert_eq!(reason(machine.step(&own, due.unwrap(), Event::Timer)), Some(Reason::Preempts));
}

#[test]
fn after_priority_zero_a_backup_becomes_active_after_the_skew_time_alone() {
    let own = parameters(1);
    let mut machine = active(&own, 200);
    let step = machine.step(&own, MS(410), Event::Shutdown);
    assert_eq!((step.advertise, reason(step)), (Some(0), Some(Reason::Shutdown)));
    assert_eq!(machine.step(&own, MS(410), Event::Shutdown), Step::default());
    let mut backup = started(&own, 128);
    backup.step(&own, MS(200), advertised_by(0, 9));
    assert_eq!(backup.timer(), Some(MS(250)));
    assert_eq!(reason(backup.step(&own, MS(250), Event::Timer)), Some(Reason::Resigned));
    assert_eq!(backup.step(&own, MS(259), advertised_by(0, 9)), Step::default(), "it advertised just now");
    let step = backup.step(&own, MS(260), advertised_by(0, 9));
    assert_eq!(step.advertise, Some(128), "a resigning router is answered");
}

#[test]
fn of_two_active_routers_the_higher_priority_stays_and_then_the_higher_address() {
    let own = parameters(5);
    let step_with = |priority, last| {
        let mut machine = active(&own, 100);
        let step = machine.step(&own, MS(410), advertised_by(priority, last));
        (machine.role(), step.advertise, reason(step))
    };
    assert_eq!(step_with(101, 1), (Role::Backup, None, Some(Reason::HigherPriority)));
    assert_eq!(step_with(100, 6), (Role::Backup, None, Some(Reason::HigherAddress)));
    assert_eq!(step_with(100, 4), (Role::Active, Some(100), None));
    assert_eq!(step_with(99, 9), (Role::Active, Some(100), None));
}

#[test]
fn an_active_router_that_was_stopped_becomes_backup_before_it_acts() {
    let own = parameters(1);
    for event in [Event::Timer, advertised_by(50, 9), advertised_by(0, 9), Event::Priority(150)] {
        let mut machine = active(&own, 200);
        let step = machine.step(&own, MS(10_400), event);
        assert_eq!((machine.role(), step.advertise), (Role::Backup, None), "{event:?}");
        assert_eq!(reason(step), Some(Reason::Late));
        assert!(machine.timer() > Some(MS(10_400)));
    }
    let mut machine = active(&own, 200);
    let step = machine.step(&own, MS(10_400), Event::Shutdown);
    assert_eq!(
        (step.advertise, machine.role()),
        (None, Role::Initialize),
        "it no longer is Active and does not resign"
    );
    let mut owner = started(&own, PRIORITY_OWNER);
    assert_eq!(owner.step(&own, MS(10_000), Event::Timer).advertise, None);
    assert!(owner.timer().unwrap() < MS(10_001), "others yield to an owner");
}

#[test]
fn a_backup_that_was_stopped_waits_for_advertisements_before_it_becomes_active() {
    let own = parameters(1);
    let mut machine = started(&own, 128);
    assert_eq!(machine.step(&own, MS(10_000), Event::Timer), Step::default());
    assert_eq!(machine.timer(), Some(MS(10_150)));
    machine.step(&own, MS(10_050), advertised_by(200, 9));
    assert_eq!(machine.timer(), Some(MS(10_400)));
}

#[test]
fn in_maintenance_a_router_resigns_and_stays_backup() {
    let own = parameters(1);
    let mut machine = active(&own, 200);
    let step = machine.step(&own, MS(410), Event::Priority(0));
    assert_eq!((step.advertise, reason(step)), (Some(0), Some(Reason::Maintenance)));
    assert_eq!(machine.timer(), None);
    for event in [Event::Timer, advertised_by(0, 9), advertised_by(50, 9), advertised_by(100, 9)] {
        machine.step(&own, MS(500), event);
        assert_eq!(machine.timer(), None, "{event:?}");
    }
    machine.step(&own, MS(1000), Event::Priority(200));
    assert!(machine.timer().is_some_and(|at| at > MS(1000)));
}

#[test]
fn a_changed_priority_is_advertised_at_once_and_a_higher_router_takes_over() {
    let own = parameters(1);
    let mut machine = active(&own, 200);
    assert_eq!(machine.step(&own, MS(410), Event::Priority(200)), Step::default());
    let step = machine.step(&own, MS(410), Event::Priority(50));
    assert_eq!((step.advertise, step.transition), (Some(50), None));
    let step = machine.step(&own, MS(420), advertised_by(100, 2));
    assert_eq!((machine.role(), reason(step)), (Role::Backup, Some(Reason::HigherPriority)));
    let mut unstarted = StateMachine::new(&own, 1);
    unstarted.step(&own, MS(1), Event::Priority(255));
    assert_eq!(unstarted.step(&own, MS(1), Event::Startup).advertise, Some(255));
}

#[test]
fn a_rebased_router_takes_the_same_steps_earlier() {
    let own = parameters(1);
    let (one, other) = (active(&own, 200), started(&own, 100));
    for machine in [one, other, StateMachine::new(&own, 7)] {
        let (mut plain, mut rebased) = (machine, machine.rebased(MS(300)));
        assert_eq!(plain.step(&own, MS(650), Event::Timer), rebased.step(&own, MS(350), Event::Timer));
        assert_eq!(plain.timer(), rebased.timer().map(|at| at + MS(300)));
    }
}

fn any_event() -> impl Strategy<Value = Event> {
    let priority = prop_oneof![Just(0_u8), Just(100), Just(200), 1..=255_u8];
    let advertisement =
        (priority.clone(), 1..400_u32, 1..=9_u8).prop_map(|(priority, centiseconds, last)| {
            let interval = MS(10) * centiseconds;
            Event::Advertisement { priority, interval, sender: [192, 0, 2, last].into() }
        });
    let simple = prop_oneof![Just(Event::Startup), Just(Event::Shutdown), Just(Event::Timer)];
    prop_oneof![4 => advertisement, 4 => Just(Event::Timer), 1 => simple, 1 => priority.prop_map(Event::Priority)]
}

proptest! {
    /// For any sequence of events: a started router has a timer unless it is in maintenance, a state changes only with
    /// a transition, an Active router has advertised, and none acts as Active after it has been silent for three
    /// intervals.
    #[test]
    fn invariants_hold_for_any_events(events in prop::collection::vec((0..500_u64, any_event()), 1..60)) {
        let own = parameters(5);
        let (mut machine, mut now, mut last_sent) = (StateMachine::new(&own, 150), Duration::ZERO, None);
        for (wait, event) in events {
            now += MS(wait);
            let before = machine;
            let silent = last_sent.is_some_and(|at: Duration| now - at >= MS(300));
            let step = machine.step(&own, now, event);
            prop_assert_eq!(step.transition.map_or(before.role(), |it| it.to), machine.role());
            if before.role() == Role::Active && silent {
                prop_assert_eq!(step.advertise, None);
                prop_assert_ne!(machine.role(), Role::Active);
            }
            if step.advertise.is_some() {
                last_sent = Some(now);
            }
            match machine.role() {
                Role::Initialize => prop_assert_eq!(machine.timer(), None),
                Role::Backup => prop_assert_eq!(machine.timer().is_none(), machine.priority() == 0),
                Role::Active => {
                    prop_assert!(machine.priority() > 0 && last_sent.is_some());
                    prop_assert!(machine.timer().is_some_and(|at| at <= now + own.interval));
                }
            }
        }
    }
}

use super::super::machine::Reason;
use super::super::track::Rule;
use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn path() -> Path {
    Path { source: [192, 0, 2, 9].into(), destination: [192, 0, 2, 1].into() }
}

fn router(vrid: u8, priority: u8) -> Router {
    Router {
        name: format!("r{vrid}"),
        vrid,
        priority,
        addresses: vec![[192, 0, 2, 100].into(), [192, 0, 2, vrid].into()],
        parameters: Parameters {
            interval: MS(100),
            preempt: true,
            preempt_delay: Duration::ZERO,
            address: [192, 0, 2, 1].into(),
        },
        coverage: Coverage::PseudoHeader,
    }
}

fn routers(tracker: &[Rule]) -> Routers {
    let mut routers = Routers::new(vec![router(1, 200), router(2, 100)], Tracker::new(tracker));
    routers.start(Duration::ZERO, &mut Vec::new());
    routers
}

fn advertisement(vrid: u8, priority: u8) -> Advertisement {
    let Router { addresses, .. } = router(vrid, priority);
    Advertisement { vrid, priority, interval: MS(100), addresses }
}

fn receive(routers: &mut Routers, at: u64, packet: &[u8], hops: u8) -> Vec<Output> {
    let mut outputs = Vec::new();
    routers.receive(MS(at), packet, path(), Some(hops), &mut outputs);
    outputs
}

fn tick(routers: &mut Routers, at: u64) -> Vec<Output> {
    let mut outputs = Vec::new();
    routers.tick(MS(at), &mut outputs);
    outputs
}

#[test]
fn two_routers_with_opposite_priorities_change_state_independently() {
    let mut routers = routers(&[]);
    for at in [100, 200, 300, 400] {
        let packet = advertisement(2, 200).write(path(), Coverage::Message);
        receive(&mut routers, at, &packet, 255);
        tick(&mut routers, at);
    }
    assert_eq!(routers.machine(0).role(), Role::Active);
    assert_eq!(routers.machine(1).role(), Role::Backup);
    let outputs = tick(&mut routers, 761);
    let taken = |output: &Output| {
        matches!(output, Output::Changed { router: 1, transition }
                if transition.reason == Reason::NoResponse && transition.to == Role::Active)
    };
    assert!(outputs.iter().any(taken), "{outputs:?}");
    assert_eq!(routers.statistics(1).active_transitions, 1);
}

#[test]
fn each_invalid_packet_increments_its_counter_and_changes_no_state() {
    let mut routers = routers(&[]);
    let valid = advertisement(1, 250).write(path(), Coverage::PseudoHeader);
    let before = *routers.machine(0);
    let mut check_invalid = |alter: &dyn Fn(&mut Vec<u8>), hops| {
        let mut packet = valid.clone();
        alter(&mut packet);
        assert_eq!(receive(&mut routers, 50, &packet, hops), []);
        assert_eq!(*routers.machine(0), before);
    };
    check_invalid(&|_| (), 254);
    check_invalid(&|packet| packet[0] = 0x21, 255);
    check_invalid(&|packet| packet[9] ^= 1, 255);
    check_invalid(&|packet| packet.truncate(packet.len() / 2), 255);
    check_invalid(&|packet| packet[1] = 9, 255);
    let foreign = advertisement(9, 250).write(path(), Coverage::PseudoHeader);
    check_invalid(&|packet| packet.clone_from(&foreign), 255);
    let none = Advertisement { addresses: vec![], ..advertisement(1, 250) };
    check_invalid(&|packet| *packet = none.write(path(), Coverage::Message), 255);
    let errors = Errors { checksum: 2, version: 1, vrid: 1, ttl: 1, unknown_senders: 0 };
    assert_eq!(routers.errors, errors);
    let counts = Statistics { packet_length_errors: 1, address_list_errors: 1, ..Statistics::default() };
    assert_eq!(*routers.statistics(0), counts);
}

#[test]
fn an_advertisement_with_other_addresses_or_interval_is_counted_and_processed() {
    let mut routers = routers(&[]);
    let addresses = vec![[192, 0, 2, 77].into()];
    let other = Advertisement { addresses, interval: MS(500), ..advertisement(1, 250) };
    receive(&mut routers, 300, &other.write(path(), Coverage::PseudoHeader), 255);
    let statistics = *routers.statistics(0);
    assert_eq!((statistics.address_list_errors, statistics.interval_errors), (1, 1));
    assert!(routers.machine(0).timer() > Some(MS(1700)), "the interval of the sender is used");
    let mut swapped = advertisement(1, 250);
    swapped.addresses.reverse();
    receive(&mut routers, 310, &swapped.write(path(), Coverage::PseudoHeader), 255);
    assert_eq!(routers.statistics(0).address_list_errors, 1, "the order of addresses does not matter");
}

#[test]
fn an_active_address_owner_ignores_advertisements() {
    let mut routers = Routers::new(vec![router(1, 255)], Tracker::default());
    routers.start(Duration::ZERO, &mut Vec::new());
    let packet = advertisement(1, 255).write(path(), Coverage::PseudoHeader);
    assert_eq!(receive(&mut routers, 10, &packet, 255), []);
    assert_eq!(routers.machine(0).role(), Role::Active);
    assert_eq!(routers.statistics(0).ignored_as_owner, 1);
}

#[test]
fn conditions_and_a_reload_change_the_priorities() {
    let rule =
        |priority_decrement| Rule { condition: Condition::NoReadyNode, priority_decrement, fall: 2, rise: 2 };
    let mut routers = routers(&[rule(150)]);
    tick(&mut routers, 400);
    let mut outputs = Vec::new();
    assert!(!routers.record_check(MS(410), Condition::NoReadyNode, true, &mut outputs));
    assert!(routers.record_check(MS(420), Condition::NoReadyNode, true, &mut outputs));
    let advertise = |priority, router| Output::Advertise { router, priority };
    assert_eq!(outputs, [advertise(50, 0), advertise(1, 1)], "advertised at once");
    outputs.clear();
    routers.reconfigure(MS(430), &[router(1, 0)], &[rule(150)], &mut outputs);
    assert_eq!(outputs[0], advertise(0, 0));
    assert_eq!(routers.machine(0).role(), Role::Backup);
    assert_eq!(routers.statistics(0).priority_zero_sent, 1);
    outputs.clear();
    routers.shut_down(MS(440), &mut outputs);
    let ended = |output: &&Output| matches!(output, Output::Changed { transition, .. } if transition.reason == Reason::Shutdown);
    assert_eq!(outputs.iter().filter(ended).count(), 2);
    assert_eq!((routers.next_timer(), routers.indices()), (None, 0..2));
}

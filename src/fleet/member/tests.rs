use super::*;
use crate::fleet::frame::{Frame, Message};
use crate::fleet::update::MemberState;
use std::net::SocketAddr;

const PERIOD: Duration = Duration::from_millis(500);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A member that is the only seed and has bootstrapped a fleet of one.
fn alone() -> (Member, Duration) {
    let parameters = Parameters {
        name: "a".into(),
        address: address(1),
        generation: Generation(1_000),
        seeds: BTreeMap::from([("a".to_string(), address(1))]),
        period: PERIOD,
        ack_timeout: Duration::from_millis(150),
        helpers: 3,
        suspicion_periods: 6.0,
        seed: 7,
    };
    let mut member = Member::new(parameters, Duration::ZERO);
    let now = run(&mut member, Duration::ZERO, 20 * PERIOD);
    assert_eq!((member.phase(), member.view().unwrap().members.len()), (Phase::Member, 1));
    (member, now)
}

/// Wakes a member whenever a timer is due, until a time.
fn run(member: &mut Member, from: Duration, until: Duration) -> Duration {
    let mut now = from;
    while let Some(at) = member.next_timer().filter(|at| *at <= until) {
        now = now.max(at);
        member.handle(now, Event::Wake, &mut Vec::new());
    }
    until
}

/// A datagram of another member, with an update about itself.
fn datagram(name: &str, port: u16, state: MemberState) -> Event {
    let (generation, address) = (Generation(2_000), address(port));
    let update = Update { name: name.into(), address, generation, incarnation: 0, state };
    let (view, message) = (ViewId::default(), Message::Ack(0));
    let frame = Frame { from: name.into(), generation, view, message, updates: vec![update] };
    Event::Frame(Box::new(frame), address)
}

#[test]
fn a_silent_process_outside_the_view_is_forgotten_and_a_silent_member_is_kept() {
    let (mut member, now) = alone();
    member.handle(now, datagram("b", 2, MemberState::Joining), &mut Vec::new());
    let now = run(&mut member, now, now + 4 * PERIOD);
    assert_eq!(member.view().unwrap().members.len(), 2, "b has joined");
    // It announces a leave before it was ever a member: it is not admitted.
    member.handle(now, datagram("c", 3, MemberState::Leaving), &mut Vec::new());
    let now = run(&mut member, now, now + 8 * PERIOD);
    assert!(member.peers().contains_key("c"), "not forgotten yet");
    run(&mut member, now, now + 8 * PERIOD);
    assert!(!member.peers().contains_key("c"));
    assert!(member.peers().contains_key("b"), "silence alone removes no member");
}

/// Operators' programs parse this output.
#[test]
fn info_rows_and_json_match_the_recorded_ones() {
    use crate::fleet::{report, traffic::Traffic};
    let (mut member, now) = alone();
    for (name, port, state) in [("b", 2, MemberState::Alive), ("c", 3, MemberState::Leaving)] {
        member.handle(now, datagram(name, port, state), &mut Vec::new());
    }
    let traffic = Traffic { datagrams_in: 1, datagrams_out: 2, bytes_out: 3, unreadable: 4, not_sent: 5 };
    let (lines, json) = report::render(&member, traffic, now);
    assert_eq!(lines.replace('\r', ""), include_str!("../../../tests/fixtures/reports/fleet.txt"));
    assert_eq!(json + "\n", include_str!("../../../tests/fixtures/reports/fleet.json"));
}

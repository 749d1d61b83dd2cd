use super::super::machine::{Parameters, Reason, Role};
use super::super::packet::{Advertisement, Coverage};
use super::*;
use mio::Poll;
use std::net::{IpAddr, UdpSocket as StdSocket};

const INTERVAL: Duration = Duration::from_millis(100);

fn router(address: IpAddr, addresses: Vec<IpAddr>) -> Router {
    let parameters = Parameters { interval: INTERVAL, preempt: true, preempt_delay: Duration::ZERO, address };
    let name = "r".to_string();
    Router { name, vrid: 7, priority: 100, addresses, parameters, coverage: Coverage::PseudoHeader }
}

/// A driver, the socket of its only peer, which sends with this TTL or hop limit, and the path of its packets.
fn pair(own: &str, hops: u32) -> (Driver, StdSocket, Path) {
    let address: IpAddr = own.parse().unwrap();
    let peer = StdSocket::bind((address, 0)).unwrap();
    let socket = socket2::SockRef::from(&peer);
    if address.is_ipv4() {
        socket.set_ttl_v4(hops).unwrap();
    } else {
        socket.set_unicast_hops_v6(hops).unwrap();
    }
    peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let free = StdSocket::bind((address, 0)).unwrap().local_addr().unwrap();
    let interface = Interface { address: free, peers: vec![peer.local_addr().unwrap()] };
    let poll = Poll::new().unwrap();
    let routers = vec![router(address, vec![address])];
    let tokens = [Token(0)];
    let mut driver =
        Driver::start(&[interface], routers, &[], tokens, poll.registry(), Instant::now()).unwrap();
    let started = driver.poll(driver.origin);
    assert_eq!(started[0].1.reason, Reason::Startup);
    peer.connect(free).unwrap();
    (driver, peer, Path { source: address, destination: address })
}

fn advertisement(address: IpAddr) -> Advertisement {
    Advertisement { vrid: 7, priority: 200, interval: INTERVAL * 10, addresses: vec![address] }
}

/// Polls until a condition is true. The time passed in does not advance, so that no timer fires.
fn poll_until(driver: &mut Driver, what: impl Fn(&Driver) -> bool) {
    let (now, start) = (driver.origin, Instant::now());
    while !what(driver) {
        assert!(start.elapsed() < Duration::from_secs(20), "timed out");
        driver.set_readable(0);
        assert_eq!(driver.poll(now), []);
    }
}

fn both_families(test: impl Fn(&str)) {
    test("127.0.0.1");
    test("::1");
}

#[test]
fn an_advertisement_of_a_peer_with_full_hop_limit_is_processed() {
    both_families(|own| {
        let (mut driver, peer, path) = pair(own, 255);
        peer.send(&advertisement(path.source).write(path, Coverage::PseudoHeader)).unwrap();
        poll_until(&mut driver, |driver| driver.routers().statistics(0).advertisements_received == 1);
        assert_eq!(driver.routers().machine(0).active_interval(), INTERVAL * 10);
    });
}

#[test]
fn a_packet_with_a_lower_hop_limit_is_counted_and_dropped() {
    both_families(|own| {
        let (mut driver, peer, path) = pair(own, 254);
        peer.send(&advertisement(path.source).write(path, Coverage::PseudoHeader)).unwrap();
        poll_until(&mut driver, |driver| driver.routers().errors.ttl == 1);
        assert_eq!(driver.routers().statistics(0).advertisements_received, 0);
    });
}

#[test]
fn a_packet_of_an_unknown_sender_is_counted_and_dropped() {
    let (mut driver, _peer, path) = pair("127.0.0.1", 255);
    let unknown = StdSocket::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&unknown).set_ttl_v4(255).unwrap();
    let packet = advertisement(path.source).write(path, Coverage::PseudoHeader);
    unknown.send_to(&packet, driver.sockets[0].address).unwrap();
    poll_until(&mut driver, |driver| driver.routers().errors.unknown_senders == 1);
    assert_eq!(driver.routers().statistics(0).advertisements_received, 0);
}

#[test]
fn one_poll_reads_a_bounded_number_of_packets() {
    let (mut driver, peer, path) = pair("127.0.0.1", 255);
    let packet = advertisement(path.source).write(path, Coverage::PseudoHeader);
    for _ in 0..MAX_READS_PER_POLL + 50 {
        peer.send(&packet).unwrap();
    }
    driver.set_readable(0);
    driver.poll(driver.origin);
    let read = driver.routers().statistics(0).advertisements_received;
    assert!(read <= MAX_READS_PER_POLL as u64, "{read}");
    assert_eq!(driver.next_timer(driver.origin), Some(driver.origin), "the rest is due at once");
    poll_until(&mut driver, |driver| {
        driver.routers().statistics(0).advertisements_received == MAX_READS_PER_POLL as u64 + 50
    });
}

#[test]
fn advertisements_are_sent_with_valid_checksums_on_transition_and_shutdown() {
    both_families(|own| {
        let (mut driver, peer, path) = pair(own, 255);
        let now = driver.origin + INTERVAL * 4;
        let changes = driver.poll(now);
        assert_eq!(changes.len(), 1);
        assert_eq!((changes[0].1.to, changes[0].1.reason), (Role::Active, Reason::NoResponse));
        let mut packet = [0; 256];
        let length = peer.recv(&mut packet).unwrap();
        let (received, coverage) = Advertisement::read(&packet[..length], path).unwrap();
        assert_eq!((received.priority, coverage), (100, Coverage::PseudoHeader));
        assert_eq!(driver.bytes_sent, length as u64);
        let ended = driver.shut_down(now);
        assert_eq!(ended[0].1.reason, Reason::Shutdown);
        let length = peer.recv(&mut packet).unwrap();
        assert_eq!(Advertisement::read(&packet[..length], path).unwrap().0.priority, 0);
    });
}

/// Operators' programs parse this output.
#[test]
fn info_rows_and_json_match_the_recorded_ones() {
    use crate::vrrp::report::{RouterReport, Snapshot};
    let report = RouterReport {
        name: "front".into(),
        vrid: 51,
        state: "active",
        priority: 90,
        configured_priority: 100,
        addresses: vec!["192.0.2.7".parse().unwrap(), "fe80::7".parse().unwrap()],
        duty: "serving",
        open_requests: 6,
        active_down_ms: None,
        adver_ms: Some(11),
        active_interval_ms: 12,
        interval_ms: 13,
        skew_us: 14,
        statistics: crate::vrrp::routers::Statistics::default().counts(),
    };
    let (active_conditions, errors) = (vec!["discovery"], crate::vrrp::routers::Errors::default().counts());
    let snapshot =
        Snapshot { routers: vec![report], active_conditions, errors, rate_share: 0.25, burst_share: 0.5 };
    assert_eq!(snapshot.json() + "\n", include_str!("../../../tests/fixtures/reports/vrrp.json"));
    assert_eq!(snapshot.lines().replace('\r', ""), include_str!("../../../tests/fixtures/reports/vrrp.txt"));
}

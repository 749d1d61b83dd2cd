//! A process that is kept from its work: a client's time counts from when its request came, not from when it was read.

use crate::helper::*;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the process stands still as the request comes.
const HELD_UP: Duration = Duration::from_millis(400);
/// What the client waits for, of which this machine may use up some.
const WAITS: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(200);

/// A listener that accepts nothing, with its queue full: connections to it never come up.
struct Unreachable {
    listener: Socket,
    _waiting: Vec<Socket>,
}

impl Unreachable {
    fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap();
        let connect = |_| {
            let waiting = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            waiting.set_nonblocking(true).unwrap();
            // It is still being made.
            let _ = waiting.connect(&address);
            waiting
        };
        let waiting = (0..4).map(connect).collect();
        Unreachable { listener, _waiting: waiting }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap().as_socket().unwrap()
    }
}

#[test]
fn a_request_that_is_read_late_is_answered_in_its_time() {
    let node = Unreachable::start();
    let discovery = Discovery::start(&[("s1", node.address(), 3)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    // The connection is known to the program before it is held up.
    client.info();
    program.signal("STOP");
    let asked = Instant::now();
    client.request(1, 3, ",d=1000", None);
    thread::sleep(HELD_UP);
    program.signal("CONT");
    client.receive();
    let took = asked.elapsed();
    assert!(took < WAITS + SLACK, "answered after {took:?}");
}

/// The grace of a drain, and what may be sent after it by a process that is held up between its clock and its writing.
const GRACE: Duration = Duration::from_millis(1_000);
const GRACE_SLACK: Duration = Duration::from_millis(150);

/// A drain counts from when it was announced, not from when this process came to read it. A process that was held up for
/// 0.4 s sent to the last node of a shard until 1.25 s after the announcement, with a grace of 1 s: the grace counted from the
/// turn that read the list.
#[test]
fn the_grace_of_a_drain_that_is_read_late_ends_no_later() {
    let last_sent = Arc::new(Mutex::new(None));
    let seen = last_sent.clone();
    let node = Node::start(move |_, _| {
        *seen.lock().unwrap() = Some(Instant::now());
        Reply::Value(b"ok".to_vec())
    });
    let discovery = Discovery::start(&[("s1", node.address, 3)]);
    let changes = vec![("\"drain_grace_ms\":2000", "\"drain_grace_ms\":1000")];
    let program = Program::start(&discovery, Setup { changes, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    let request = |client: &mut Client, number: u64| {
        client.request(number, 3, ",d=300", None);
        client.receive();
    };
    discovery.wait_for_watch();
    request(&mut client, 1);
    program.signal("STOP");
    let announced = Instant::now();
    discovery.publish(false, &[endpoint_json("s1", node.address, 3, "leaving")]);
    thread::sleep(HELD_UP);
    program.signal("CONT");
    let mut number = 1;
    while announced.elapsed() < GRACE + 2 * HELD_UP {
        number += 1;
        request(&mut client, number);
        thread::sleep(Duration::from_millis(5));
    }
    let last = last_sent.lock().unwrap().expect("it was served before") - announced;
    assert!(last > HELD_UP, "it is still used in its grace: {last:?}");
    assert!(last < GRACE + GRACE_SLACK, "sent {last:?} after the announcement");
}

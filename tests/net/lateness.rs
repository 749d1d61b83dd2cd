//! A process that is paused: time limits count from when a message arrived, not from when the process read it.

use crate::helper::*;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// For how long the process is stopped while the message arrives.
const PAUSE: Duration = Duration::from_millis(400);
/// The request's deadline (`d=1000`), and how much later the answer may arrive on a busy machine.
const DEADLINE: Duration = Duration::from_millis(1_000);
const SLACK: Duration = Duration::from_millis(200);

/// A listener that accepts nothing and whose accept queue is full, so that connections to it are never established.
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
            // The connection is still in progress.
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
fn a_request_that_is_read_late_is_answered_by_its_deadline() {
    let node = Unreachable::start();
    let discovery = Discovery::start(&[("s1", node.address(), 3)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    // The program accepts the connection before it is stopped.
    client.info();
    program.signal("STOP");
    let asked = Instant::now();
    client.request(1, 3, ",d=1000", None);
    thread::sleep(PAUSE);
    program.signal("CONT");
    client.receive();
    let took = asked.elapsed();
    assert!(took < DEADLINE + SLACK, "answered after {took:?}");
}

/// The grace of a drain, and how much later a process may send that is delayed between reading its clock and writing.
const GRACE: Duration = Duration::from_millis(1_000);
const GRACE_SLACK: Duration = Duration::from_millis(150);

/// The grace of a drain counts from its announcement, not from when this process reads it. A process that was paused
/// for 0.4 s sent to the last node of a shard until 1.25 s after the announcement, with a grace of 1 s, because the
/// grace counted from the loop iteration that read the list.
#[test]
fn the_grace_of_a_drain_that_is_read_late_ends_no_later() {
    let last_sent = Arc::new(Mutex::new(None));
    let recorded = last_sent.clone();
    let node = Node::start(move |_, _| {
        *recorded.lock().unwrap() = Some(Instant::now());
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
    thread::sleep(PAUSE);
    program.signal("CONT");
    let mut number = 1;
    while announced.elapsed() < GRACE + 2 * PAUSE {
        number += 1;
        request(&mut client, number);
        thread::sleep(Duration::from_millis(5));
    }
    let last = last_sent.lock().unwrap().expect("a request reached the node") - announced;
    assert!(last > PAUSE, "the node is still used during its grace: {last:?}");
    assert!(last < GRACE + GRACE_SLACK, "sent {last:?} after the announcement");
}

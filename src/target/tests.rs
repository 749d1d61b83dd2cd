use super::*;
use crate::core::Operation;
use crate::interface::RequestId;
use mio::{Events, Poll};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Connections to one node, which answers on demand.
struct Harness {
    poll: Poll,
    targets: Targets,
    node: TcpListener,
    started: u64,
}

impl Harness {
    fn new(now: Instant) -> Harness {
        let node = TcpListener::bind("127.0.0.1:0").unwrap();
        let targets = Targets::new(TIMEOUT, TIMEOUT, 8, Budget::unlimited(), now);
        Harness { poll: Poll::new().unwrap(), targets, node, started: 0 }
    }

    /// Starts an attempt.
    fn start(&mut self, now: Instant) -> AttemptId {
        self.start_with_body(now, Vec::new(), now + TIMEOUT)
    }

    /// Starts an attempt with a body; the last byte has to be sent by `begin_by`.
    fn start_with_body(&mut self, now: Instant, body: Vec<u8>, begin_by: Instant) -> AttemptId {
        self.started += 1;
        let attempt = AttemptId { request: RequestId(self.started), number: 0 };
        let content = Rc::new(Content {
            operation: if body.is_empty() { Operation::Read } else { Operation::Write },
            object: String::new(),
            id: String::new(),
            attributes: String::new(),
            body,
            body_stream: None,
            extent: None,
        });
        let endpoint = Endpoint { address: self.node.local_addr().unwrap(), wire: Wire::Resp };
        let give_up_at = now + TIMEOUT;
        let start = Start { attempt, node: NodeId(1), content, give_up_at, begin_by };
        let token = Token(self.started as usize);
        self.targets.start(now, start, &endpoint, token, self.poll.registry());
        attempt
    }

    /// Accepts a new connection at the node, once a command has arrived on it.
    fn accept(&mut self, now: Instant) -> TcpStream {
        let (mut stream, _) = self.node.accept().unwrap();
        self.poll_once(now);
        assert!(stream.read(&mut [0; 512]).unwrap() > 0);
        stream
    }

    fn poll_once(&mut self, now: Instant) {
        let mut events = Events::with_capacity(8);
        self.poll.poll(&mut events, Some(TIMEOUT)).unwrap();
        events.iter().for_each(|event| self.targets.ready(now, event.token().0));
    }

    fn answer(&mut self, now: Instant, stream: &mut TcpStream) {
        let before = self.targets.ended.len();
        stream.write_all(b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n").unwrap();
        while self.targets.ended.len() == before {
            self.poll_once(now);
        }
    }
}

#[test]
fn a_timeout_closes_idle_connections_without_an_answer_since_the_attempt_started() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    for (answered, left) in [(30, 1), (50, 0)] {
        let mut harness = Harness::new(start);
        harness.start(start);
        let mut first = harness.accept(start);
        harness.start(start);
        let mut second = harness.accept(start);
        harness.answer(at(10), &mut first);
        if answered > 40 {
            // The node's last answer precedes the start of the attempt that times out.
            harness.answer(at(20), &mut second);
        }
        let silent = harness.start(at(40));
        if answered < 40 {
            harness.answer(at(60), &mut second);
        }
        harness.targets.stop(silent, Outcome::TimedOut);
        assert_eq!(harness.targets.len(), left, "answered at {answered}");
    }
}

/// Counts the bytes received on a connection until it ends.
fn received_bytes(mut stream: TcpStream) -> usize {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let (mut bytes, mut all) = ([0; 65536], 0);
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return all,
            Ok(count) => all += count,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return all,
            Err(error) => panic!("{error}"),
        }
    }
}

/// A body that is too large for the socket buffers.
fn large_body() -> Vec<u8> {
    vec![b'x'; 32 << 20]
}

#[test]
fn a_connection_established_after_the_start_deadline_carries_nothing() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    for (connected_at, starts) in [(99, true), (100, false)] {
        let mut harness = Harness::new(start);
        harness.start_with_body(start, vec![b'x'], at(100));
        // The connection is established, but this process learns of it only then.
        let (node, _) = harness.node.accept().unwrap();
        harness.poll_once(at(connected_at));
        assert_eq!(harness.targets.ended.is_empty(), starts, "connected after {connected_at} ms");
        let ended: Vec<_> = harness.targets.ended.drain(..).map(|(_, ended)| ended.outcome).collect();
        harness.targets.end(1, Outcome::Reset);
        assert_eq!(received_bytes(node) > 0, starts);
        assert!(starts || ended == [Outcome::NotConnected]);
    }
}

#[test]
fn a_partly_sent_command_is_never_completed_after_its_start_deadline() {
    let start = Instant::now();
    let end = start + Duration::from_millis(100);
    // Either the timer fires first, or the node reads more.
    for by_timer in [true, false] {
        let mut harness = Harness::new(start);
        harness.start_with_body(start, large_body(), end);
        let (mut node, _) = harness.node.accept().unwrap();
        harness.poll_once(start);
        assert!(harness.targets.next_timer() <= end);
        assert!(harness.targets.ended.is_empty());
        let mut received = 0;
        if by_timer {
            harness.targets.tick(end);
        } else {
            // Reads until the socket is writable again, which this process learns of too late.
            let mut bytes = vec![0; 1 << 20];
            while harness.targets.ended.is_empty() {
                let count = node.read(&mut bytes).unwrap();
                assert!(received + count < large_body().len(), "the last byte arrived");
                received += count;
                let mut events = Events::with_capacity(8);
                harness.poll.poll(&mut events, Some(Duration::ZERO)).unwrap();
                events.iter().for_each(|event| harness.targets.ready(end, event.token().0));
            }
        }
        assert_eq!(harness.targets.ended[0].1.outcome, Outcome::NotConnected, "by timer {by_timer}");
        assert!(received + received_bytes(node) < large_body().len());
    }
}

#[test]
fn cancelling_ends_an_attempt_unless_it_is_fully_sent() {
    let start = Instant::now();
    for (body, fully_sent) in [(Vec::new(), false), (large_body(), false), (vec![b'x'], true)] {
        let mut harness = Harness::new(start);
        let length = body.len();
        let attempt = harness.start_with_body(start, body, start + TIMEOUT);
        let (node, _) = harness.node.accept().unwrap();
        if length > 0 {
            harness.poll_once(start);
        }
        harness.targets.cancel_unsent(attempt);
        let ended: Vec<_> = harness.targets.ended.drain(..).map(|(_, ended)| ended.outcome).collect();
        assert_eq!(ended, if fully_sent { vec![] } else { vec![Outcome::NotConnected] }, "{length} bytes");
        harness.targets.end(1, Outcome::Reset);
        assert_eq!(received_bytes(node) > length, fully_sent);
    }
}

#[test]
fn a_drain_ends_an_attempt_whose_connection_is_established_after_the_grace() {
    let start = Instant::now();
    let closes = start + Duration::from_millis(100);
    let mut harness = Harness::new(start);
    harness.start(start);
    harness.targets.forbid_start_after(NodeId(2), start);
    harness.targets.forbid_start_after(NodeId(1), closes);
    assert_eq!(harness.targets.next_timer(), start, "the sweep");
    harness.targets.tick(start);
    assert!(harness.targets.ended.is_empty() && harness.targets.next_timer() <= closes);
    let (node, _) = harness.node.accept().unwrap();
    harness.poll_once(closes);
    assert_eq!(harness.targets.ended[0].1.outcome, Outcome::NotConnected);
    assert_eq!(received_bytes(node), 0);
}

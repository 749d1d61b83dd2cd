use super::*;
use crate::core::Operation;
use crate::interface::RequestId;
use mio::{Events, Poll};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const PATIENCE: Duration = Duration::from_secs(20);

/// Connections to one node, which answers when told.
struct Bench {
    poll: Poll,
    targets: Targets,
    node: TcpListener,
    begun: u64,
}

impl Bench {
    fn new(now: Instant) -> Bench {
        let node = TcpListener::bind("127.0.0.1:0").unwrap();
        let targets = Targets::new(PATIENCE, PATIENCE, 8, now);
        Bench { poll: Poll::new().unwrap(), targets, node, begun: 0 }
    }

    /// Begins an attempt.
    fn start(&mut self, now: Instant) -> AttemptId {
        self.start_by(now, Vec::new(), now + PATIENCE)
    }

    /// Begins an attempt with a body that may begin until then.
    fn start_by(&mut self, now: Instant, body: Vec<u8>, begin_by: Instant) -> AttemptId {
        self.begun += 1;
        let attempt = AttemptId { request: RequestId(self.begun), number: 0 };
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
        let give_up_at = now + PATIENCE;
        let start = Start { attempt, node: NodeId(1), content, give_up_at, begin_by };
        let token = Token(self.begun as usize);
        self.targets.start(now, start, &endpoint, token, self.poll.registry());
        attempt
    }

    /// The node's end of a connection that was just made, once a command has come on it.
    fn accept(&mut self, now: Instant) -> TcpStream {
        let (mut stream, _) = self.node.accept().unwrap();
        self.turn(now);
        assert!(stream.read(&mut [0; 512]).unwrap() > 0);
        stream
    }

    fn turn(&mut self, now: Instant) {
        let mut events = Events::with_capacity(8);
        self.poll.poll(&mut events, Some(PATIENCE)).unwrap();
        events.iter().for_each(|event| self.targets.ready(now, event.token().0));
    }

    fn answer(&mut self, now: Instant, stream: &mut TcpStream) {
        let before = self.targets.ended.len();
        stream.write_all(b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n").unwrap();
        while self.targets.ended.len() == before {
            self.turn(now);
        }
    }
}

#[test]
fn a_time_out_closes_the_idle_connections_that_were_not_answered_on_since() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    for (answered, left) in [(30, 1), (50, 0)] {
        let mut bench = Bench::new(start);
        bench.start(start);
        let mut first = bench.accept(start);
        bench.start(start);
        let mut second = bench.accept(start);
        bench.answer(at(10), &mut first);
        if answered > 40 {
            // The node was last heard of before the attempt that times out was begun.
            bench.answer(at(20), &mut second);
        }
        let silent = bench.start(at(40));
        if answered < 40 {
            bench.answer(at(60), &mut second);
        }
        bench.targets.stop(silent, Outcome::TimedOut);
        assert_eq!(bench.targets.len(), left, "answered at {answered}");
    }
}

/// All that comes on a connection, to its end.
fn all_of(mut stream: TcpStream) -> usize {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
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

/// A body that no socket takes at once.
fn large() -> Vec<u8> {
    vec![b'x'; 32 << 20]
}

#[test]
fn a_connection_that_comes_up_after_the_repeat_window_carries_nothing() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    for (up, begins) in [(99, true), (100, false)] {
        let mut bench = Bench::new(start);
        bench.start_by(start, vec![b'x'], at(100));
        // The connection is up, and this process hears of it then.
        let (node, _) = bench.node.accept().unwrap();
        bench.turn(at(up));
        assert_eq!(bench.targets.ended.is_empty(), begins, "up after {up} ms");
        let ended: Vec<_> = bench.targets.ended.drain(..).map(|(_, ended)| ended.outcome).collect();
        bench.targets.end(1, Outcome::Reset);
        assert_eq!(all_of(node) > 0, begins);
        assert!(begins || ended == [Outcome::NotConnected]);
    }
}

#[test]
fn a_command_that_is_half_out_when_its_window_ends_never_gets_its_last_byte() {
    let start = Instant::now();
    let end = start + Duration::from_millis(100);
    // Whichever comes first: its timer, or the node that reads on.
    for by_timer in [true, false] {
        let mut bench = Bench::new(start);
        bench.start_by(start, large(), end);
        let (mut node, _) = bench.node.accept().unwrap();
        bench.turn(start);
        assert!(bench.targets.next_timer() <= end);
        assert!(bench.targets.ended.is_empty());
        let mut came = 0;
        if by_timer {
            bench.targets.tick(end);
        } else {
            // Reads until there is room, which this process hears of too late.
            let mut bytes = vec![0; 1 << 20];
            while bench.targets.ended.is_empty() {
                let count = node.read(&mut bytes).unwrap();
                assert!(came + count < large().len(), "the last byte came");
                came += count;
                let mut events = Events::with_capacity(8);
                bench.poll.poll(&mut events, Some(Duration::ZERO)).unwrap();
                events.iter().for_each(|event| bench.targets.ready(end, event.token().0));
            }
        }
        assert_eq!(bench.targets.ended[0].1.outcome, Outcome::NotConnected, "by timer {by_timer}");
        assert!(came + all_of(node) < large().len());
    }
}

#[test]
fn an_attempt_whose_client_has_gone_does_not_begin_and_one_that_has_goes_on() {
    let start = Instant::now();
    for (body, begun) in [(Vec::new(), false), (large(), false), (vec![b'x'], true)] {
        let mut bench = Bench::new(start);
        let whole = body.len();
        let attempt = bench.start_by(start, body, start + PATIENCE);
        let (node, _) = bench.node.accept().unwrap();
        if whole > 0 {
            bench.turn(start);
        }
        bench.targets.withdraw(attempt);
        let ended: Vec<_> = bench.targets.ended.drain(..).map(|(_, ended)| ended.outcome).collect();
        assert_eq!(ended, if begun { vec![] } else { vec![Outcome::NotConnected] }, "{whole} bytes");
        bench.targets.end(1, Outcome::Reset);
        assert_eq!(all_of(node) > whole, begun);
    }
}

#[test]
fn a_drain_told_while_a_connection_is_made_ends_what_would_begin_after_its_grace() {
    let start = Instant::now();
    let closes = start + Duration::from_millis(100);
    let mut bench = Bench::new(start);
    bench.start(start);
    bench.targets.close_at(NodeId(2), start);
    bench.targets.close_at(NodeId(1), closes);
    assert_eq!(bench.targets.next_timer(), start, "the sweep");
    bench.targets.tick(start);
    assert!(bench.targets.ended.is_empty() && bench.targets.next_timer() <= closes);
    let (node, _) = bench.node.accept().unwrap();
    bench.turn(closes);
    assert_eq!(bench.targets.ended[0].1.outcome, Outcome::NotConnected);
    assert_eq!(all_of(node), 0);
}

//! Long values: within the budget of memory, of slow peers, and broken off beside other requests of the same connection.

use crate::helper::*;
use std::io::{Read, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use topazpath::resp::Value;

/// Bytes of a long value, and of the part of it that a node sends before it breaks off.
const LONG: usize = 1_000_000;
const PART: usize = 150_000;
/// A length that no socket buffers hold together with another value of it.
const LONGEST: usize = 4 * 1024 * 1024;
/// Commands that take up more than is buffered of one connection's input.
const UNREAD_COMMANDS: usize = 20_000;

fn long_value() -> Vec<u8> {
    vec![b'.'; LONG]
}

/// A node that breaks off the first `count` of its long values.
fn node_that_breaks_off(count: usize) -> Node {
    Node::start(move |number, _| match number <= count {
        true => Reply::BrokenOff(long_value(), PART, Gate::opened()),
        false => Reply::Value(long_value()),
    })
}

/// A body in which each byte depends on its position.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

/// The command of a write up to its body, which has this length.
fn put_head(length: usize) -> Vec<u8> {
    let list = b"c=write,t=plus,d=4000,volume=00000000000000a0,units=2,shard=-1,hosts=1";
    let command = topazpath::resp::command(&[b"OBJ.PUT", b"0000000000000001", b"id", list, b""]);
    let head = command.strip_suffix(b"$0\r\n\r\n").expect("an empty body at the end");
    [head, format!("${length}\r\n").as_bytes()].concat()
}

#[test]
fn concurrent_long_values_beyond_the_memory_budget_pass_unchanged_in_both_directions() {
    let value = Arc::new(pattern(4 * 1024 * 1024));
    let stored = value.clone();
    let node = Node::start(move |_, words| Reply::Value(words.get(4).unwrap_or(&stored).clone()));
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let setup = Setup { memory_mb: 24, aim_ms: 4000, ..Setup::default() };
    let program = Program::start(&discovery, setup);
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (address, value) = (program.resp, value.clone());
            thread::spawn(move || {
                let (mut client, start) = (Client::connect(address), Instant::now());
                // The bodies differ in length, so that a mix-up is noticed.
                let body = (number % 2 == 0).then(|| &value[number as usize..]);
                loop {
                    assert!(start.elapsed() < WAIT_LIMIT, "client {number} is never served");
                    client.request(number, -1, "", body);
                    // A slow reader: the answer has to be buffered somewhere.
                    thread::sleep(Duration::from_millis(300));
                    match client.receive() {
                        Value::Bulk(Some(got)) => {
                            return assert!(
                                got == body.unwrap_or(&value),
                                "client {number} got another value"
                            )
                        }
                        // Retries as the answer says: all clients together exceed what one node takes at a time.
                        Value::Error(line) if line.starts_with(b"BUSY") => {
                            thread::sleep(Duration::from_millis(500));
                        }
                        other => panic!("client {number}: {other:?}"),
                    }
                }
            })
        })
        .collect();
    // A short command does not wait behind them.
    let start = Instant::now();
    let mut client = Client::connect(program.resp);
    client.send(&[b"PING"]);
    assert_eq!(client.receive(), Value::Simple(b"PONG".to_vec()));
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    clients.into_iter().for_each(|client| client.join().unwrap());
    assert!(program.memory_kb() < 24 * 1024, "{} kB", program.memory_kb());
    program.wait_for_info("long_value_bytes:0");
}

#[test]
fn slow_long_answers_of_a_node_do_not_delay_its_other_requests() {
    let node = Node::start(|_, words| match words[1].last() {
        Some(b'1') => Reply::Slow(pattern(200_000), Duration::from_millis(300)),
        _ => Reply::Value(b"v".to_vec()),
    });
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, Setup::default());
    let mut slow: Vec<Client> = (0..6).map(|_| Client::connect(program.resp)).collect();
    for (at, client) in slow.iter_mut().enumerate() {
        client.request(1, 3, "", None);
        eventually("the attempt is in flight", || (node.count() > at).then_some(()));
    }
    let (mut client, start) = (Client::connect(program.resp), Instant::now());
    for _ in 0..20 {
        client.request(2, 3, "", None);
        assert_eq!(client.receive(), bulk(b"v"));
    }
    assert!(start.elapsed() < Duration::from_millis(1000), "{:?}", start.elapsed());
    slow.iter_mut().for_each(|client| assert_eq!(client.receive(), bulk(&pattern(200_000))));
}

#[test]
fn an_attempt_is_abandoned_at_once_if_the_client_closes_within_a_long_body() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    // The memory budget is too small for the whole body, so it is streamed to the node as it arrives.
    let program = Program::start(&discovery, Setup { memory_mb: 8, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    client.write(&put_head(LONGEST));
    client.write(&pattern(300_000));
    let mut other = Client::connect(program.resp);
    eventually("the attempt is in flight", || other.info().contains("attempts_out:1\r\n").then_some(()));
    drop(client);
    eventually("the attempt is abandoned", || other.info().contains("attempts_out:0\r\n").then_some(()));
    assert!(other.info().contains("requests_open:0\r\n"));
    assert_eq!(node.count(), 0, "the node received no complete command");
}

/// Guards against a write that runs and is served although its client never finished it (review/10): the terminator behind
/// a body that memory has no room for was sent to the node before the client had sent its own.
#[test]
fn a_long_write_without_its_terminator_neither_runs_nor_is_served() {
    for terminator in ["", "\r", "xy"] {
        let node = Node::echo();
        let discovery = Discovery::start(&[("s-1", node.address, 3)]);
        let program = Program::start(&discovery, Setup { memory_mb: 8, ..Setup::default() });
        let mut client = Client::connect(program.resp);
        client.write(&[&put_head(LONGEST)[..], &pattern(LONGEST), terminator.as_bytes()].concat());
        let answer = client.try_receive();
        assert!(matches!(answer, Some(Value::Error(_)) | None), "{terminator:?}: the write is served");
        program.wait_for_info("requests_open:0");
        program.wait_for_info("attempts_out:0");
        assert!(program.info_number("attempts_sent") > 0, "the body is streamed to the node");
        assert_eq!(node.count(), 0, "{terminator:?}: the node received a whole command");
    }
}

/// Guards against a write that is served before its client has sent all of it (found beside review/10): a short answer of
/// the node was passed on whenever it came.
#[test]
fn an_answer_of_a_node_that_has_not_got_the_whole_write_serves_nobody() {
    let hasty = serve(|mut stream| {
        let mut bytes = [0; 4096];
        let _ = stream.read(&mut bytes);
        let _ = stream.write_all(b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n");
        while stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
    });
    let discovery = Discovery::start(&[("s-1", hasty, 3)]);
    let program = Program::start(&discovery, Setup { memory_mb: 8, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    client.write(&put_head(LONGEST));
    client.write(&pattern(300_000));
    let answer = client.try_receive();
    assert!(matches!(answer, Some(Value::Error(_)) | None), "the write is served");
    program.wait_for_info("requests_open:0");
}

/// Guards against the loss of all requests of a connection when a node breaks off a long value behind them (review/3).
/// The client got nothing, and the log showed the attempts of the other requests cancelled 0.1 ms after the reset: the
/// answer was final for its client once it had begun at the node, and its break ended the connection.
#[test]
fn a_long_value_that_breaks_off_behind_another_answer_ends_no_request_of_its_connection() {
    let gate = Gate::default();
    let (slow, breaking) = (Node::behind(&gate), node_that_breaks_off(1));
    let discovery = Discovery::start(&[("s-1", slow.address, 1), ("s-2", breaking.address, 2)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    client.request(1, 1, "", None);
    client.request(2, 2, "", None);
    client.request(3, 1, "", None);
    eventually("the read is sent again", || (breaking.count() == 2).then_some(()));
    gate.open();
    assert_eq!(client.receive(), bulk(b"v"));
    assert!(
        client.receive() == bulk(&long_value()),
        "the value of the second attempt, and nothing of the first"
    );
    assert_eq!(client.receive(), bulk(b"v"));
    program.wait_for_info("answers_cut:0");
    program.wait_for_info("long_value_bytes:0");
}

/// Guards against the same loss where no attempt succeeds: the read is answered in its place like any other that its
/// node has reset.
#[test]
fn a_long_value_that_always_breaks_off_is_refused_in_its_place() {
    let gate = Gate::default();
    let (slow, breaking) = (Node::behind(&gate), node_that_breaks_off(usize::MAX));
    let discovery = Discovery::start(&[("s-1", slow.address, 1), ("s-2", breaking.address, 2)]);
    let program = Program::start(&discovery, Setup { deadline_ms: 1500, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    client.request(1, 1, "", None);
    client.request(2, 2, "", None);
    client.request(3, 1, "", None);
    program.wait_for_info("answers_refused:1");
    gate.open();
    assert_eq!(client.receive(), bulk(b"v"));
    assert!(matches!(client.receive(), Value::Error(line) if line.starts_with(b"BUSY")));
    assert_eq!(client.receive(), bulk(b"v"));
}

/// Guards against the loss of answers that are whole and wait for a slow reader when the long value behind them breaks
/// off (found beside review/3): the connection was closed over them.
#[test]
fn whole_answers_that_their_client_has_not_read_yet_survive_a_long_value_that_breaks_off() {
    let gate = Gate::default();
    let opened = gate.clone();
    let breaking = Node::start(move |_, _| {
        opened.wait_until_open();
        Reply::BrokenOff(long_value(), PART, Gate::opened())
    });
    let whole = Node::start(|_, _| Reply::Value(vec![b'w'; LONGEST]));
    let discovery = Discovery::start(&[("s-1", whole.address, 1), ("s-2", breaking.address, 2)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    (1..=3).for_each(|object| client.request(object, 1, "", None));
    client.request(4, 2, "", None);
    program.wait_for_info("answers_served:3");
    gate.open();
    program.wait_for_info("answers_refused:1");
    for _ in 0..3 {
        assert!(client.receive() == bulk(&vec![b'w'; LONGEST]), "a whole value");
    }
    assert!(matches!(client.receive(), Value::Error(line) if line.starts_with(b"BUSY")));
}

/// Once a part of a value is passed on, only the end of the connection tells the client that it is not whole. What was
/// answered before is read first.
#[test]
fn a_long_value_that_breaks_off_after_a_part_was_passed_on_ends_its_connection_after_that_part() {
    let node = Node::start(|_, words| match words[1].last() {
        Some(b'9') => Reply::BrokenOff(long_value(), PART, Gate::opened()),
        _ => Reply::Value(b"v".to_vec()),
    });
    let discovery = Discovery::start(&[("s-1", node.address, 1)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    client.request(1, 1, "", None);
    assert_eq!(client.receive(), bulk(b"v"));
    client.request(9, 1, "", None);
    let rest = client.receive_to_the_end().unwrap();
    let head = format!("${LONG}\r\n");
    assert!(rest.starts_with(head.as_bytes()), "{} bytes", rest.len());
    assert!(rest.len() < head.len() + LONG, "{} bytes", rest.len());
    program.wait_for_info("answers_cut:1");
    program.wait_for_info("requests_open:0");
    program.wait_for_info("long_value_bytes:0");
    let mut other = Client::connect(program.resp);
    other.request(1, 1, "", None);
    assert_eq!(other.receive(), bulk(b"v"));
}

/// Guards against a reset of the connection under what its client has not received yet (found beside review/3): a close
/// over unread commands resets, and answers that the system still held went with it.
#[test]
fn a_connection_that_ends_in_a_long_value_is_not_reset_over_unread_commands() {
    let gate = Gate::default();
    let closing = gate.clone();
    let node = Node::start(move |_, words| match words[1].last() {
        Some(b'9') => Reply::BrokenOff(long_value(), PART, closing.clone()),
        _ => Reply::Value(vec![b'w'; LONG]),
    });
    let discovery = Discovery::start(&[("s-1", node.address, 1)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    client.request(1, 1, "", None);
    client.request(9, 1, "", None);
    program.wait_for_info("answers_served:2");
    // More than the program reads while its client has as many commands open; they come once the value is begun.
    let sent = client.try_write(&b"*1\r\n$4\r\nPING\r\n".repeat(UNREAD_COMMANDS));
    gate.open();
    program.wait_for_info("answers_cut:1");
    let received = client.receive_to_the_end().expect("an orderly end");
    assert!(received.len() > LONG, "{} bytes, sent: {sent:?}", received.len());
}

/// Guards against the loss of requests behind a long value that breaks off (review/3 excuses it, the page does not): the
/// value was passed on as it came, and the end of the connection, which told that it is not whole, took them along.
#[test]
fn a_long_value_with_a_command_behind_it_is_not_begun_before_it_is_whole() {
    let (fast, breaking) = (Node::echo(), node_that_breaks_off(usize::MAX));
    let discovery = Discovery::start(&[("s-1", fast.address, 1), ("s-2", breaking.address, 2)]);
    let program = Program::start(&discovery, Setup { deadline_ms: 1500, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    client.request(9, 2, "", None);
    client.request(1, 1, "", None);
    assert!(matches!(client.receive(), Value::Error(line) if line.starts_with(b"BUSY")));
    assert_eq!(client.receive(), bulk(b"0000000000000001"));
    program.wait_for_info("answers_cut:0");
    program.wait_for_info("long_value_bytes:0");
}

/// A value that is held back for the commands behind it begins by its deadline, as its first bytes are what counts.
#[test]
fn a_long_value_that_is_held_back_begins_by_its_deadline() {
    let gate = Gate::default();
    let rest = gate.clone();
    let slow = Node::start(move |_, _| Reply::InTwoParts(long_value(), PART, rest.clone()));
    let fast = Node::echo();
    let discovery = Discovery::start(&[("s-1", fast.address, 1), ("s-2", slow.address, 2)]);
    let program = Program::start(&discovery, Setup { deadline_ms: 1000, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    let sent = Instant::now();
    client.request(9, 2, "", None);
    client.request(1, 1, "", None);
    let head = format!("${LONG}\r\n");
    assert_eq!(client.receive_bytes(head.len()), head.as_bytes());
    // The deadline, and the half second by which an answer may be late.
    assert!(sent.elapsed() < Duration::from_millis(1500), "{:?}", sent.elapsed());
    gate.open();
    assert!(client.receive_bytes(LONG) == long_value());
    assert_eq!(client.receive_bytes(2), b"\r\n");
    assert_eq!(client.receive(), bulk(b"0000000000000001"));
}

/// Guards against memory that is granted twice: a long value that is whole and waits behind another answer still takes up
/// what it was granted. The grant was returned when the connection had nothing unwritten.
#[test]
fn the_memory_of_a_whole_value_stays_granted_while_it_waits_behind_another_answer() {
    let gate = Gate::default();
    let (slow, long) = (Node::behind(&gate), node_that_breaks_off(0));
    let discovery = Discovery::start(&[("s-1", slow.address, 1), ("s-2", long.address, 2)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    client.request(1, 1, "", None);
    client.request(2, 2, "", None);
    program.wait_for_info("answers_served:1");
    let granted = program.info_number("long_value_bytes");
    gate.open();
    assert_eq!(client.receive(), bulk(b"v"));
    assert!(client.receive() == bulk(&long_value()));
    assert_eq!(granted, LONG as u64);
    program.wait_for_info("long_value_bytes:0");
}

/// Guards against a long value that stops for good (review/7): answers that wait behind it took up the window in which a
/// value without memory is read from its node.
#[test]
fn answers_that_wait_behind_a_long_value_without_memory_do_not_stop_it() {
    let gate = Gate::default();
    let rest = gate.clone();
    let long = Node::start(move |_, _| Reply::InTwoParts(pattern(LONGEST), PART, rest.clone()));
    let fast = Node::start(|_, _| Reply::Value(vec![b's'; 48 * 1024]));
    let discovery = Discovery::start(&[("s-1", fast.address, 1), ("s-2", long.address, 2)]);
    let program = Program::start(&discovery, Setup { memory_mb: 8, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    client.request(9, 2, "", None);
    (1..=2).for_each(|object| client.request(object, 1, "", None));
    program.wait_for_info("attempts_served:2");
    gate.open();
    assert!(client.try_receive() == Some(bulk(&pattern(LONGEST))), "the long value is whole");
    for _ in 0..2 {
        assert!(client.receive() == bulk(&[b's'; 48 * 1024]), "an answer behind it");
    }
}

/// Guards against the idle close of a connection whose client is still reading (review/9): what its system had not taken yet
/// was lost when it sent its next command.
#[test]
fn a_connection_is_not_idle_while_its_client_reads_a_long_value() {
    let node = Node::start(|_, _| Reply::Value(long_value()));
    let discovery = Discovery::start(&[("s-1", node.address, 1)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect_with_receive_buffer(program.resp, 64 * 1024);
    client.request(1, 1, "", None);
    program.wait_for_info("answers_served:1");
    // Longer than an idle connection stays open and lingers.
    thread::sleep(Duration::from_millis(4000));
    client.send(&[b"PING"]);
    assert!(client.try_receive() == Some(bulk(&long_value())), "the value is whole");
    assert_eq!(client.receive(), Value::Simple(b"PONG".to_vec()));
}

/// Guards against a long answer that is cut off while its node still writes it: a client that stops within its next command
/// was closed a second after that was noticed, whatever was on its way to it.
#[test]
fn a_long_answer_in_progress_survives_a_client_that_stops_within_its_next_command() {
    let node = Node::start(|_, _| Reply::Slow(long_value(), Duration::from_millis(1500)));
    let discovery = Discovery::start(&[("s-1", node.address, 1)]);
    let program = Program::start(&discovery, Setup::default());
    let mut client = Client::connect(program.resp);
    client.request(1, 1, "", None);
    program.wait_for_info("answers_long:1");
    client.write(b"*4\r\n$7\r\nOBJ.GET\r\n$16\r\n0000");
    assert!(client.try_receive() == Some(bulk(&long_value())), "the value is whole");
}

/// Guards against a bad client that is not told in time: one that stopped within a body was closed a second after that was
/// noticed, and got no answer.
#[test]
fn a_client_that_stops_within_a_body_is_told_at_once_when_its_time_is_over() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, Setup::default());
    let (mut client, start) = (Client::connect(program.resp), Instant::now());
    client.write(&put_head(LONGEST));
    client.write(&pattern(300_000));
    assert!(matches!(client.try_receive(), Some(Value::Error(_))), "an error");
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    program.wait_for_info("long_value_bytes:0");
}

/// Guards against an answer that comes seconds after its time: what memory had no room for counted as not yet sent, and its
/// client's time began when it was read.
#[test]
fn a_long_body_that_its_node_does_not_read_is_answered_in_time() {
    const DEADLINE: Duration = Duration::from_millis(1500);
    let slow = serve(|_stream| thread::sleep(4 * DEADLINE));
    let discovery = Discovery::start(&[("s-1", slow, 1)]);
    let setup = Setup { memory_mb: 8, deadline_ms: DEADLINE.as_millis() as u64, ..Setup::default() };
    let program = Program::start(&discovery, setup);
    let (mut client, start) = (Client::connect(program.resp), Instant::now());
    client.request(1, 1, "", Some(&pattern(LONGEST)));
    let answer = client.try_receive();
    // Refused, or failed if the system took all of the command for the node.
    assert!(matches!(&answer, Some(Value::Error(_))), "{answer:?}");
    // An answer may be late by half a second.
    assert!(start.elapsed() < DEADLINE + Duration::from_millis(500), "{:?}", start.elapsed());
}

/// The client's own time for sending is not a part of its deadline.
#[test]
fn a_long_body_that_its_client_writes_slowly_is_served_after_its_deadline() {
    const PIECES: usize = 10;
    let node = Node::start(|_, words| Reply::Value(words[4].len().to_string().into_bytes()));
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, Setup { memory_mb: 8, deadline_ms: 1500, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    client.write(&put_head(LONGEST));
    for piece in pattern(LONGEST).chunks(LONGEST / PIECES) {
        client.write(piece);
        thread::sleep(Duration::from_millis(300));
    }
    client.write(b"\r\n");
    assert_eq!(client.receive(), bulk(LONGEST.to_string().as_bytes()));
}

/// Known failure: requests behind a value that memory has no room for are lost with it if it breaks off (issue 42).
#[test]
fn requests_behind_a_long_value_without_memory_survive_its_break() {
    let gate = Gate::default();
    let closing = gate.clone();
    let breaking = Node::start(move |_, _| Reply::BrokenOff(vec![b'.'; LONGEST], PART, closing.clone()));
    let fast = Node::echo();
    let discovery = Discovery::start(&[("s-1", fast.address, 1), ("s-2", breaking.address, 2)]);
    let program = Program::start(&discovery, Setup { memory_mb: 8, deadline_ms: 1500, ..Setup::default() });
    let mut client = Client::connect(program.resp);
    client.request(9, 2, "", None);
    client.request(1, 1, "", None);
    eventually("the node of the request behind has run it", || (fast.count() == 1).then_some(()));
    gate.open();
    assert!(matches!(client.try_receive(), Some(Value::Error(_))), "the read is answered");
    assert_eq!(client.receive(), bulk(b"0000000000000001"));
}

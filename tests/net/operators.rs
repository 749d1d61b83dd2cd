//! The operators' door: targets out and back, drain and resume.

use crate::helper::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use topazpath::resp::Value;

fn with_door() -> Setup {
    Setup { control: true, ..Setup::default() }
}

#[test]
fn calls_are_answered_and_bad_ones_cost_nobody_anything() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_door());
    assert!(program.admin_command("ready").starts_with("200 "));
    for bad in [
        &b"fly\n"[..],
        b"disable-server\n",
        b"ready now\n",
        b"disable-server s-9\n",
        b"\xff\n",
        &[b'x'; 9999],
    ] {
        let answer = exchange(program.admin_endpoint(), bad);
        assert!(answer.starts_with("400 ") && answer.ends_with('\n'), "{answer:?}");
    }
    // Cut off: what was not said whole is not done.
    let mut cut = TcpStream::connect(program.admin_endpoint()).unwrap();
    cut.write_all(b"drain").unwrap();
    cut.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    cut.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("400 "), "{answer}");
    // Callers who hold their connections and say nothing whole.
    let held: Vec<TcpStream> = (0..100)
        .map(|_| {
            let mut stream = TcpStream::connect(program.admin_endpoint()).unwrap();
            stream.write_all(b"disable-ser").unwrap();
            stream
        })
        .collect();
    let start = Instant::now();
    assert!(program.admin_command("ready").starts_with("200 "));
    assert!(start.elapsed() < Duration::from_secs(1));
    drop(held);
    let mut client = Client::connect(program.resp);
    client.request(1, 3, "", None);
    assert_eq!(client.receive(), Value::Bulk(Some(b"0000000000000001".to_vec())));
}

#[test]
fn a_target_that_is_out_gets_nothing_whatever_discovery_says_until_it_is_called_back() {
    let (one, two) = (Node::echo(), Node::echo());
    let discovery = Discovery::start(&[("s-1", one.address, 3), ("s-2", two.address, 3)]);
    let program = Program::start(&discovery, with_door());
    let mut client = Client::connect(program.resp);
    let mut piece = 0;
    let mut ask = |count: u32| {
        for _ in 0..count {
            piece += 1;
            client.request(piece, 3, "", None);
            assert_eq!(client.receive(), Value::Bulk(Some(format!("{piece:016x}").into_bytes())));
        }
    };
    ask(20);
    assert!(program.admin_command("disable-server s-1").starts_with("200 "));
    assert!(program.admin_command("disable-server s-1").starts_with("200 "), "calls may repeat");
    let before = one.count();
    ask(20);
    // It leaves, comes back, and the list is told anew.
    discovery.publish(false, &[endpoint_json("s-1", one.address, 3, "left")]);
    discovery.wait_for_watch();
    discovery.publish(
        true,
        &[endpoint_json("s-1", one.address, 3, "active"), endpoint_json("s-2", two.address, 3, "active")],
    );
    discovery.wait_for_watch();
    program.reload(&discovery.address.to_string());
    program.wait_for_info("reloads:1");
    ask(20);
    assert_eq!(one.count(), before);
    assert!(program.admin_command("enable-server s-1").starts_with("200 "));
    // With the other one out it is the only one that can serve.
    assert!(program.admin_command("disable-server s-2").starts_with("200 "));
    ask(1);
    assert_eq!(one.count(), before + 1);
}

#[test]
fn a_drained_initiator_says_no_sends_its_clients_away_and_takes_them_again() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_door());
    let (mut idle, mut busy) = (Client::connect(program.resp), Client::connect(program.resp));
    idle.request(1, 3, "", None);
    idle.receive();
    let ping = || {
        let mut client = Client::connect(program.resp);
        client.send(&[b"PING"]);
        client.receive()
    };
    assert!(program.admin_command("drain").starts_with("200 "));
    let start = Instant::now();
    assert!(matches!(ping(), Value::Error(_)));
    assert!(program.admin_command("ready").starts_with("400 "));
    // Whoever goes on asking is answered until it is sent away between two requests.
    let mut answered = 0;
    loop {
        busy.request(2, 3, "", None);
        match busy.try_receive() {
            Some(answer) => assert_eq!(answer, Value::Bulk(Some(b"0000000000000002".to_vec()))),
            None => break,
        }
        answered += 1;
    }
    assert!(answered > 0);
    assert_eq!(idle.try_receive(), None);
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert!(program.admin_command("resume").starts_with("200 "));
    assert_eq!(ping(), Value::Simple(b"PONG".to_vec()));
    let mut client = Client::connect(program.resp);
    client.request(3, 3, "", None);
    assert_eq!(client.receive(), Value::Bulk(Some(b"0000000000000003".to_vec())));
}

#[test]
fn a_drain_after_sigterm_is_taken_a_resume_is_not_and_all_is_answered() {
    let node = Node::start(|_, words| {
        std::thread::sleep(Duration::from_millis(300));
        Reply::Value(words[1].clone())
    });
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut program = Program::start(&discovery, with_door());
    let mut client = Client::connect(program.resp);
    client.request(1, 3, "", None);
    eventually("it is out", || (node.count() == 1).then_some(()));
    program.terminate();
    eventually("it ends", || program.admin_command("ready").contains("ending").then_some(()));
    assert!(program.admin_command("drain").starts_with("200 "));
    assert!(program.admin_command("resume").starts_with("400 "));
    assert_eq!(client.receive(), Value::Bulk(Some(b"0000000000000001".to_vec())));
    assert!(program.wait().success());
}

#[test]
fn a_resume_while_connections_are_closed_keeps_those_that_are_left() {
    let gates = [Gate::default(), Gate::default()];
    let held = gates.clone();
    let node = Node::start(move |_, words| {
        held[usize::from(words[1].ends_with(b"2"))].wait_until_open();
        Reply::Value(words[1].clone())
    });
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_door());
    let (mut idle, mut busy) = (Client::connect(program.resp), Client::connect(program.resp));
    idle.send(&[b"PING"]);
    idle.receive();
    assert!(program.admin_command("drain").starts_with("200 "));
    busy.request(1, 3, "", None);
    // Its connection is read no further once the idle one is closed; a second command waits there.
    assert_eq!(idle.try_receive(), None);
    busy.request(2, 3, "", None);
    assert!(program.admin_command("resume").starts_with("200 "));
    // Nothing is answered before: a connection with nothing open would be closed by right. And in the order asked: one that a
    // later one overtakes is taken to be lost.
    for (gate, piece) in gates.iter().zip([b"0000000000000001", b"0000000000000002"]) {
        gate.open();
        assert_eq!(busy.receive(), Value::Bulk(Some(piece.to_vec())));
    }
}

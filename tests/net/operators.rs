//! The admin endpoint: disabling and enabling targets, drain and resume.

use crate::helper::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use topazpath::resp::Value;

fn with_admin_endpoint() -> Setup {
    Setup { control: true, ..Setup::default() }
}

#[test]
fn invalid_and_incomplete_commands_are_refused_and_do_not_delay_valid_commands_or_clients() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_admin_endpoint());
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
    // A command that is cut off is not carried out.
    let mut cut = TcpStream::connect(program.admin_endpoint()).unwrap();
    cut.write_all(b"drain").unwrap();
    cut.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    cut.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("400 "), "{answer}");
    // Peers that keep their connections open with incomplete commands.
    let incomplete: Vec<TcpStream> = (0..100)
        .map(|_| {
            let mut stream = TcpStream::connect(program.admin_endpoint()).unwrap();
            stream.write_all(b"disable-ser").unwrap();
            stream
        })
        .collect();
    let start = Instant::now();
    assert!(program.admin_command("ready").starts_with("200 "));
    assert!(start.elapsed() < Duration::from_secs(1));
    drop(incomplete);
    let mut client = Client::connect(program.resp);
    client.request(1, 3, "", None);
    assert_eq!(client.receive(), Value::Bulk(Some(b"0000000000000001".to_vec())));
}

#[test]
fn a_disabled_target_receives_no_request_whatever_discovery_lists_until_it_is_enabled() {
    let (one, two) = (Node::echo(), Node::echo());
    let discovery = Discovery::start(&[("s-1", one.address, 3), ("s-2", two.address, 3)]);
    let program = Program::start(&discovery, with_admin_endpoint());
    let mut client = Client::connect(program.resp);
    let mut object = 0;
    let mut read = |count: u32| {
        for _ in 0..count {
            object += 1;
            client.request(object, 3, "", None);
            assert_eq!(client.receive(), Value::Bulk(Some(format!("{object:016x}").into_bytes())));
        }
    };
    read(20);
    assert!(program.admin_command("disable-server s-1").starts_with("200 "));
    assert!(program.admin_command("disable-server s-1").starts_with("200 "), "the command may be repeated");
    let before = one.count();
    read(20);
    // The target leaves and returns, and the list is published again.
    discovery.publish(false, &[endpoint_json("s-1", one.address, 3, "left")]);
    discovery.wait_for_watch();
    discovery.publish(
        true,
        &[endpoint_json("s-1", one.address, 3, "active"), endpoint_json("s-2", two.address, 3, "active")],
    );
    discovery.wait_for_watch();
    program.reload(&discovery.address.to_string());
    program.wait_for_info("reloads:1");
    read(20);
    assert_eq!(one.count(), before);
    assert!(program.admin_command("enable-server s-1").starts_with("200 "));
    // With the other target disabled it is the only one that can serve.
    assert!(program.admin_command("disable-server s-2").starts_with("200 "));
    read(1);
    assert_eq!(one.count(), before + 1);
}

#[test]
fn a_drained_initiator_refuses_pings_closes_its_clients_and_serves_again_after_resume() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_admin_endpoint());
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
    // A client that keeps sending requests is answered until its connection is closed between two requests.
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
fn after_sigterm_drain_is_accepted_resume_is_refused_and_open_requests_are_answered() {
    let node = Node::start(|_, words| {
        std::thread::sleep(Duration::from_millis(300));
        Reply::Value(words[1].clone())
    });
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut program = Program::start(&discovery, with_admin_endpoint());
    let mut client = Client::connect(program.resp);
    client.request(1, 3, "", None);
    eventually("the attempt is in flight", || (node.count() == 1).then_some(()));
    program.terminate();
    eventually("the process is shutting down", || {
        program.admin_command("ready").contains("ending").then_some(())
    });
    assert!(program.admin_command("drain").starts_with("200 "));
    assert!(program.admin_command("resume").starts_with("400 "));
    assert_eq!(client.receive(), Value::Bulk(Some(b"0000000000000001".to_vec())));
    assert!(program.wait().success());
}

#[test]
fn a_resume_while_connections_are_being_closed_keeps_the_remaining_ones() {
    let gates = [Gate::default(), Gate::default()];
    let shared_gates = gates.clone();
    let node = Node::start(move |_, words| {
        shared_gates[usize::from(words[1].ends_with(b"3"))].wait_until_open();
        Reply::Value(words[1].clone())
    });
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_admin_endpoint());
    let (mut idle, mut busy) = (Client::connect(program.resp), Client::connect(program.resp));
    idle.send(&[b"PING"]);
    idle.receive();
    assert!(program.admin_command("drain").starts_with("200 "));
    busy.request(1, 3, "", None);
    // Once the idle connection is closed, what a busy one begins is declined.
    assert_eq!(idle.try_receive(), None);
    busy.request(2, 3, "", None);
    program.wait_for_info("requests_declined_draining:1");
    assert!(program.admin_command("resume").starts_with("200 "));
    // Nothing is answered before the resume: a connection without open requests may be closed. The answers keep the
    // order of the requests, since an answer that a later one overtakes is taken to be lost.
    gates[0].open();
    assert_eq!(busy.receive(), bulk(b"0000000000000001"));
    assert!(matches!(busy.receive(), Value::Error(line) if line.starts_with(b"BUSY")));
    // Longer than the interval at which clients are closed that were told to go elsewhere.
    std::thread::sleep(Duration::from_millis(300));
    busy.request(3, 3, "", None);
    gates[1].open();
    assert_eq!(busy.try_receive(), Some(bulk(b"0000000000000003")), "the connection is served again");
}

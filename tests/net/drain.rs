//! What clients get while service narrows: a drain by an operator, on both fronts.

use crate::helper::*;
use crate::iscsi::{data_out, setup, IscsiClient, BLOCK};
use std::thread;
use std::time::{Duration, Instant};
use topazpath::iscsi::pdu::{FINAL, NO_TAG};
use topazpath::iscsi::scsi::{Cdb, BUSY, CHECK_CONDITION, GOOD};
use topazpath::iscsi::{Opcode, Pdu};
use topazpath::resp::{self, Value};

/// A drain closes idle connections at about this time; operators' balancers have stopped sending new ones by then.
const SHED_AFTER: Duration = Duration::from_millis(500);
/// A drained initiator holds no connection for longer whose client is owed nothing.
const DRAINED_WITHIN: Duration = Duration::from_secs(4);

fn with_admin_endpoint() -> Setup {
    Setup { control: true, ..Setup::default() }
}

/// Drains the program and waits until it closes connections that are idle. Returns the time of the drain.
fn drain(program: &Program) -> Instant {
    let mut idle = Client::connect(program.resp);
    idle.send(&[b"PING"]);
    idle.receive();
    let start = Instant::now();
    assert!(program.admin_command("drain").starts_with("200 "));
    assert_eq!(idle.try_receive(), None);
    start
}

/// The retry delay of a declined request.
fn is_busy(answer: &Value) -> bool {
    matches!(answer, Value::Error(line) if line.starts_with(b"BUSY"))
}

/// An iSCSI write got no status after an operator's drain, and its connection stayed open (review/8). Here three writes are
/// open, and commands of every kind stand between their data.
#[test]
fn iscsi_writes_whose_data_are_on_their_way_at_a_drain_are_served_whatever_is_sent_between() {
    const WRITES: u32 = 3;
    const BLOCKS: usize = 8;
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut setup = Setup { control: true, deadline_ms: 5000, ..setup(None, "plus") };
    setup.iscsi = setup.iscsi.replace("unit_bytes = 512", "unit_bytes = 8192");
    let program = Program::start(&discovery, setup);
    let mut client = IscsiClient::login(program.iscsi.unwrap());
    let body: Vec<u8> = (0..BLOCKS * BLOCK).map(|byte| (byte / 3) as u8).collect();
    let mut requested = Vec::new();
    for tag in 1..=WRITES {
        client.start(tag, Cdb::transfer(true, u64::from(tag) * 64, BLOCKS as u32), &body);
        let r2t = client.connection.receive().expect("an R2T");
        assert_eq!((r2t.opcode(), r2t.task_tag()), (Some(Opcode::R2t), tag));
        requested.push(r2t);
    }
    let start = drain(&program);
    for piece in 1..BLOCKS {
        for r2t in &requested {
            client.connection.send(data_out(r2t, piece * BLOCK, &body[piece * BLOCK..][..BLOCK], false));
        }
        // Commands of other kinds are answered as ever, and new transfers are declined.
        let ping = Pdu::new(Opcode::NopOut, 50).with(20, NO_TAG).with(24, client.cmd_sn);
        client.connection.send(ping);
        let management = Pdu::new(Opcode::TaskManagementRequest, 51).with_flags(FINAL | 1).with(20, 999);
        client.connection.send(management.with(24, client.cmd_sn + 1));
        client.cmd_sn += 2;
        assert_eq!(client.connection.receive().unwrap().opcode(), Some(Opcode::NopIn));
        let answer = client.connection.receive().unwrap();
        assert_eq!((answer.opcode(), answer.header[2]), (Some(Opcode::TaskManagementResponse), 1));
        assert_eq!(client.read(5).0, BUSY);
        client.start(52, Cdb::transfer(true, 999, 2), &[1; 2 * BLOCK]);
        assert_eq!(client.finish(52, &[]).0, BUSY, "declined before any of its data are requested");
        thread::sleep(Duration::from_millis(100));
    }
    for r2t in &requested {
        client.connection.send(data_out(r2t, BLOCKS * BLOCK, &[], true));
        assert_eq!(client.finish(r2t.task_tag(), &[]).0, GOOD);
    }
    assert_eq!(node.count(), WRITES as usize, "each ran once, and nothing else did");
    assert_eq!(client.connection.receive(), None, "the connection is closed once nothing is owed");
    assert!(start.elapsed() < DRAINED_WITHIN, "{:?}", start.elapsed());
}

/// After an operator's drain 41 to 78 of 150 commands that were read got no answer (review/tried/drain.py). Here one part is
/// sent before connections are closed, and another after.
#[test]
fn bursts_of_commands_around_a_drain_are_answered_to_the_last() {
    const COMMANDS: u64 = 150;
    let node = Node::start(|_, words| {
        thread::sleep(Duration::from_millis(30));
        Reply::Value(words[1].clone())
    });
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_admin_endpoint());
    let mut client = Client::connect(program.resp);
    client.send(&[b"PING"]);
    client.receive();
    assert!(program.admin_command("drain").starts_with("200 "));
    let start = Instant::now();
    thread::sleep(Duration::from_millis(250));
    (0..COMMANDS).for_each(|object| client.request(object, 3, "", None));
    thread::sleep((start + SHED_AFTER).saturating_duration_since(Instant::now()));
    (0..COMMANDS).for_each(|object| client.request(COMMANDS + object, 3, "", None));
    for object in 0..2 * COMMANDS {
        let answer = client.try_receive().unwrap_or_else(|| panic!("no answer to command {object}"));
        let served = answer == Value::Bulk(Some(format!("{object:016x}").into_bytes()));
        assert!(served || is_busy(&answer), "{answer:?}");
    }
    assert_eq!(client.try_receive(), None, "the connection is closed once all is answered");
    assert!(start.elapsed() < DRAINED_WITHIN, "{:?}", start.elapsed());
}

/// A drain did not end: a client that sends commands without a pause was never idle (the class of review/8). It is told to go
/// elsewhere, and closed after a while.
#[test]
fn a_client_that_never_stops_sending_does_not_hold_up_a_drain() {
    let gate = Gate::default();
    let node = Node::behind(&gate);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_admin_endpoint());
    let mut client = Client::connect(program.resp);
    client.request(1, 3, "", None);
    eventually("the attempt is in flight", || (node.count() == 1).then_some(()));
    let start = drain(&program);
    let flood = resp::command(&[b"OBJ.GET", b"bad"]).repeat(20);
    let mut answers = client.split();
    let reader = thread::spawn(move || {
        let mut received = Vec::new();
        while let Some(answer) = answers.try_receive() {
            received.push(answer);
        }
        received
    });
    gate.open();
    while start.elapsed() < 2 * DRAINED_WITHIN && client.try_write(&flood).is_ok() {}
    assert!(start.elapsed() < DRAINED_WITHIN, "{:?}", start.elapsed());
    let received = reader.join().unwrap();
    assert_eq!(received.first(), Some(&bulk(b"v")), "what was accepted before is served");
    assert!(received.len() > 20);
}

/// A write whose body was on its way at a drain was served, but a command that its client had sent behind it got no answer.
#[test]
fn a_long_write_at_a_drain_is_served_and_the_commands_behind_it_are_answered() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = Program::start(&discovery, with_admin_endpoint());
    let mut client = Client::connect(program.resp);
    let body = vec![7; 1 << 20];
    let list = b"c=write,t=plus,d=4000,volume=00000000000000a0,units=2,shard=3,hosts=1";
    let command = resp::command(&[b"OBJ.PUT", b"0000000000000001", b"11", list, &body]);
    let half = command.len() / 2;
    client.write(&command[..half]);
    drain(&program);
    client.write(&[&command[half..], &resp::command(&[b"PING"])].concat());
    client.request(2, 3, "", None);
    client.request(3, 3, "", Some(&vec![7; 1 << 18]));
    assert_eq!(client.receive(), Value::Bulk(Some(body)));
    assert!(matches!(client.receive(), Value::Error(_)), "a drained initiator says no to PING");
    assert!(is_busy(&client.receive()));
    assert!(is_busy(&client.receive()));
    assert_eq!(client.try_receive(), None);
    assert_eq!(node.count(), 1);
}

/// A session with a write whose data its client had stopped sending was never idle, so that a drain did not end (the class of
/// review/8). The write is ended, and the other one that is open is served.
#[test]
fn an_iscsi_write_that_its_client_gives_up_ends_alone_and_holds_up_no_drain() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut setup = Setup { control: true, deadline_ms: 5000, ..setup(None, "plus") };
    setup.iscsi = setup.iscsi.replace("unit_bytes = 512", "unit_bytes = 8192");
    let program = Program::start(&discovery, setup);
    let mut client = IscsiClient::login(program.iscsi.unwrap());
    let body = vec![5; 2 * BLOCK];
    let begin = |client: &mut IscsiClient, tag: u32| {
        client.start(tag, Cdb::transfer(true, u64::from(tag) * 64, 2), &body);
        client.connection.receive().expect("an R2T")
    };
    let (given_up, other) = (begin(&mut client, 1), begin(&mut client, 2));
    let start = drain(&program);
    // Its client keeps the session in use, and ends the other write.
    client.connection.send(data_out(&other, BLOCK, &[5; BLOCK], true));
    assert_eq!(client.finish(2, &[]).0, GOOD);
    let begun = Instant::now();
    let answer = loop {
        let ping = Pdu::new(Opcode::NopOut, 50).with(20, NO_TAG).with(24, client.cmd_sn);
        client.connection.send(ping);
        client.cmd_sn += 1;
        let answer = client.connection.receive().expect("an answer to the write");
        if answer.opcode() != Some(Opcode::NopIn) {
            break answer;
        }
        assert!(begun.elapsed() < WAIT_LIMIT);
        thread::sleep(Duration::from_millis(50));
    };
    assert_eq!((answer.task_tag(), answer.header[3]), (given_up.task_tag(), CHECK_CONDITION));
    while client.connection.receive().is_some() {}
    assert!(start.elapsed() < DRAINED_WITHIN, "{:?}", start.elapsed());
    assert_eq!(node.count(), 1, "the write that was given up does not run");
}

/// An iSCSI write whose data were on their way when the process ended got no status.
#[test]
fn writes_that_are_not_whole_when_the_process_ends_are_declined() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut setup = Setup { control: true, deadline_ms: 1000, ..setup(None, "plus") };
    setup.iscsi = setup.iscsi.replace("unit_bytes = 512", "unit_bytes = 8192");
    let mut program = Program::start(&discovery, setup);
    let mut client = IscsiClient::login(program.iscsi.unwrap());
    let mut writer = Client::connect(program.resp);
    let list = b"c=write,t=plus,d=900,volume=00000000000000a0,units=2,shard=3,hosts=1";
    let command = resp::command(&[b"OBJ.PUT", b"0000000000000001", b"11", list, &[7; 50_000]]);
    writer.write(&command[..1000]);
    client.start(1, Cdb::transfer(true, 64, 4), &[5; 4 * BLOCK]);
    assert_eq!(client.connection.receive().unwrap().opcode(), Some(Opcode::R2t));
    program.terminate();
    assert_eq!(client.finish(1, &[]).0, BUSY);
    assert!(is_busy(&writer.receive()));
    assert_eq!((client.connection.receive(), writer.try_receive()), (None, None));
    assert!(program.wait().success());
    assert_eq!(node.count(), 0, "neither runs");
}

/// Guards against taking a client for stalled that sends the data of its writes one write after the other, slowly.
#[test]
fn iscsi_writes_whose_data_come_one_after_the_other_are_served_however_long_the_last_one_waits() {
    const BLOCKS: usize = 8;
    /// Longer in all than a client may stop within a command.
    const PAUSE: Duration = Duration::from_millis(450);
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut setup = setup(None, "plus");
    setup.iscsi = setup.iscsi.replace("unit_bytes = 512", "unit_bytes = 8192");
    let program = Program::start(&discovery, setup);
    let mut client = IscsiClient::login(program.iscsi.unwrap());
    let body = vec![5; BLOCKS * BLOCK];
    let requested = [1, 2].map(|tag| {
        client.start(tag, Cdb::transfer(true, u64::from(tag) * 64, BLOCKS as u32), &body);
        client.connection.receive().expect("an R2T")
    });
    for (r2t, pause) in requested.iter().zip([PAUSE, Duration::ZERO]) {
        for piece in 1..BLOCKS {
            let last = piece + 1 == BLOCKS;
            client.connection.send(data_out(r2t, piece * BLOCK, &body[..BLOCK], last));
            thread::sleep(pause);
        }
        assert_eq!(client.finish(r2t.task_tag(), &[]).0, GOOD);
    }
}

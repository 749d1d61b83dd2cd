//! Forwarders and their remote planners, all real processes.

use crate::helper::*;
use serde_json::Value as Json;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use topazpath::resp::Value;

/// A few planners that elect the leader of each partition. Ends them with the test.
struct Planners {
    processes: Vec<Child>,
    addresses: Vec<SocketAddr>,
    files: std::path::PathBuf,
}

impl Drop for Planners {
    fn drop(&mut self) {
        for child in &mut self.processes {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.files);
    }
}

impl Planners {
    fn start(test: u8, count: usize) -> Planners {
        // An address of this test's own: no other test can be given a port on it before a planner takes it.
        let own = Ipv4Addr::new(127, 101 + test, std::process::id() as u8, 1);
        let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind((own, 0)).unwrap()).collect();
        let sockets: Vec<_> = (0..count).map(|_| UdpSocket::bind((own, 0)).unwrap()).collect();
        let addresses: Vec<SocketAddr> = listeners.iter().map(|it| it.local_addr().unwrap()).collect();
        let vrrp: Vec<SocketAddr> = sockets.iter().map(|it| it.local_addr().unwrap()).collect();
        drop((listeners, sockets));
        let files = test_dir();
        let names: Vec<String> = (0..count).map(|number| format!("planner-{number}")).collect();
        for number in 0..count {
            let peers: Vec<SocketAddr> = vrrp.iter().copied().filter(|peer| *peer != vrrp[number]).collect();
            let text = format!(
                "listen = \"{}\"\nname = \"{}\"\nplanners = {names:?}\n[vrrp]\nvrid = 7\ninterval_ms = 50\n\
                 address = \"{}\"\npeers = {:?}\n",
                addresses[number],
                names[number],
                vrrp[number],
                to_strings(&peers)
            );
            std::fs::write(files.join(format!("{number}.toml")), text).unwrap();
        }
        let mut planners = Planners { processes: Vec::new(), addresses, files };
        planners.processes = (0..count).map(|number| planners.process(number)).collect();
        planners
    }

    fn process(&self, number: usize) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_topazpath-planner"));
        command.arg(self.files.join(format!("{number}.toml"))).stdin(Stdio::null()).spawn().unwrap()
    }

    fn kill_all(&mut self) {
        for child in &mut self.processes {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    fn forwarder(&self, discovery: &Discovery, name: &str) -> Program {
        let planners = self.addresses.clone();
        Program::start(discovery, Setup { name: name.into(), planners, limit: 40, ..Setup::default() })
    }
}

fn report(program: &Program) -> Json {
    Client::connect(program.resp).report("planners")
}

fn in_mode(program: &Program, mode: &str) {
    eventually(&format!("all partitions are {mode}"), || {
        let report = report(program);
        report["partitions"].as_array()?.iter().all(|partition| partition["mode"] == mode).then_some(())
    });
}

/// Asks for a volume of `base` that comes through two forwarders, as fast as answers come, until told to stop.
fn load(program: &Program, done: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let (address, done) = (program.resp, done.clone());
    thread::spawn(move || {
        let (mut client, mut served, mut number) = (Client::connect(address), 0, 0_u64);
        while !done.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{:016x}", number + (u64::from(address.port()) << 32));
            let list = b"c=read,t=base,d=1000,volume=00000000000000b7,units=2,shard=3,hosts=2";
            client.send(&[b"OBJ.GET", b"0000000000000001", id.as_bytes(), list]);
            match client.receive() {
                Value::Bulk(Some(_)) => served += 1,
                _ => thread::sleep(Duration::from_millis(20)),
            }
        }
        served
    })
}

/// Waits until one forwarder was granted what another does not use, which knows the volume and hardly asks for it.
fn until_moved(busy: &Program, idle: &Program) {
    let mut client = Client::connect(idle.resp);
    eventually("a part moves", || {
        let list = b"c=read,t=base,d=1000,volume=00000000000000b7,units=1,shard=3,hosts=2";
        client.send(&[b"OBJ.GET", b"0000000000000001", b"00000000000000aa", list]);
        client.receive();
        thread::sleep(Duration::from_millis(50));
        (report(busy)["granted"] == 1).then_some(())
    });
}

#[test]
fn a_part_that_one_forwarder_does_not_use_goes_to_another() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let planners = Planners::start(0, 3);
    let (busy, idle) = (planners.forwarder(&discovery, "f-1"), planners.forwarder(&discovery, "f-2"));
    let done = Arc::new(AtomicBool::new(false));
    let at_work = load(&busy, &done);
    until_moved(&busy, &idle);
    assert_eq!(report(&idle)["ceded"], 1);
    done.store(true, Ordering::Relaxed);
    assert!(at_work.join().unwrap() > 0);
    let terms = report(&busy);
    assert!(terms["partitions"]
        .as_array()
        .unwrap()
        .iter()
        .all(|it| it["led_by"].as_array().unwrap().len() == 1));
}

#[test]
fn losing_all_planners_ends_no_request_and_they_come_back() {
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let node = Node::start(move |_, words| {
        while words[1].ends_with(b"9") && !gate.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1));
        }
        Reply::Value(b"v".to_vec())
    });
    let mut planners = Planners::start(1, 2);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = planners.forwarder(&discovery, "f-1");
    in_mode(&program, "planned");
    let mut client = Client::connect(program.resp);
    let before = node.count();
    client.request(9, 3, "", None);
    eventually("it is out", || (node.count() > before).then_some(()));
    planners.kill_all();
    let mut other = Client::connect(program.resp);
    for piece in 0..20 {
        other.request(piece * 16, 3, "", None);
        assert!(matches!(other.receive(), Value::Bulk(Some(_))), "served without planners");
    }
    open.store(true, Ordering::Relaxed);
    assert!(matches!(client.receive(), Value::Bulk(Some(_))), "what was out is answered");
    in_mode(&program, "stale");
    in_mode(&program, "safe");
    planners.processes = (0..2).map(|number| planners.process(number)).collect();
    in_mode(&program, "planned");
}

#[test]
fn a_planner_that_is_stopped_is_replaced_and_plans_nothing_more_when_it_goes_on() {
    let node = Node::echo();
    let planners = Planners::start(2, 2);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = planners.forwarder(&discovery, "f-1");
    in_mode(&program, "planned");
    signal(&planners.processes[0], "STOP");
    let other = planners.addresses[1].to_string();
    eventually("the other one leads all", || {
        let report = report(&program);
        let led =
            |it: &Json| it["led_by"].as_array().is_some_and(|by| by.len() == 1 && by[0] == other.as_str());
        report["partitions"].as_array()?.iter().all(led).then_some(())
    });
    in_mode(&program, "planned");
    signal(&planners.processes[0], "CONT");
    eventually("both lead again, each its own", || {
        let report = report(&program);
        let partitions = report["partitions"].as_array()?.clone();
        let one = partitions.iter().all(|it| it["led_by"].as_array().is_some_and(|by| by.len() == 1));
        (one && partitions[0]["led_by"] != partitions[1]["led_by"]).then_some(())
    });
}

#[test]
fn garbage_on_a_planners_port_costs_nobody_else_anything() {
    let node = Node::echo();
    let planners = Planners::start(3, 1);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = planners.forwarder(&discovery, "f-1");
    in_mode(&program, "planned");
    let hello = |schema: u8| [0, 0, 0, 4, 0, schema, 1, b'x'];
    let said = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(planners.addresses[0]).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        // Until it closes; a reset is an end as well.
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    // 3 GB are announced, a message that is none, another schema, a report before the greeting.
    assert!(said(&[0xb2, 0xd0, 0x5e, 0x00]).contains("at most"));
    said(&[0, 0, 0, 3, 9, 9, 9]);
    assert!(said(&hello(3)).contains("schema 3 is not known, 2 is"));
    assert!(said(&[0, 0, 0, 1, 2]).contains("a greeting comes first"));
    // Half a message, and then nothing: it is closed after a while.
    said(&hello(2)[..6]);
    let taken = report(&program)["plans_taken"].as_u64().unwrap();
    eventually("plans go on", || {
        (report(&program)["plans_taken"].as_u64().unwrap() > taken + 3).then_some(())
    });
    in_mode(&program, "planned");
}

#[test]
fn a_forwarder_that_was_stopped_for_longer_than_its_grant_goes_by_its_own_part() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut planners = Planners::start(4, 1);
    let (busy, idle) = (planners.forwarder(&discovery, "f-1"), planners.forwarder(&discovery, "f-2"));
    let done = Arc::new(AtomicBool::new(false));
    let at_work = load(&busy, &done);
    until_moved(&busy, &idle);
    busy.signal("STOP");
    planners.kill_all();
    thread::sleep(Duration::from_millis(1500));
    busy.signal("CONT");
    // The first thing that is seen of it: nothing of the grant is in force.
    assert_eq!(report(&busy)["granted"], 0);
    done.store(true, Ordering::Relaxed);
    at_work.join().unwrap();
}

#[test]
fn a_thousand_forwarders_at_once_do_not_keep_a_planner_from_the_one_it_has() {
    let node = Node::echo();
    let planners = Planners::start(5, 1);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = planners.forwarder(&discovery, "f-1");
    in_mode(&program, "planned");
    let before = report(&program)["plans_taken"].as_u64().unwrap();
    // As many as this process may hold open, at most a thousand.
    let mut wave = Vec::new();
    for _ in 0..1000 {
        match TcpStream::connect(planners.addresses[0]) {
            Ok(mut stream) => {
                stream.write_all(&[0, 0, 0, 4, 0, 2, 1, b'x']).unwrap();
                wave.push(stream);
            }
            Err(_) => break,
        }
    }
    assert!(wave.len() > 200, "{} came", wave.len());
    // Each of them is greeted, and the one that was there has its plans all the time.
    for stream in &mut wave {
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let mut head = [0; 4];
        stream.read_exact(&mut head).unwrap();
    }
    let report = report(&program);
    assert_eq!(report["partitions"][0]["mode"], "planned", "{report}");
    assert_eq!(report["plans_untaken"], 0);
    eventually("plans go on", || {
        let taken = Client::connect(program.resp).report("planners")["plans_taken"].as_u64().unwrap();
        (taken > before + 3).then_some(())
    });
}

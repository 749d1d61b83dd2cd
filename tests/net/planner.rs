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

/// Planner processes that elect the leader of each partition. Dropping this kills them.
struct Planners {
    processes: Vec<Child>,
    addresses: Vec<SocketAddr>,
    directory: std::path::PathBuf,
}

impl Drop for Planners {
    fn drop(&mut self) {
        for child in &mut self.processes {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Planners {
    fn start(test: u8, count: usize) -> Planners {
        // An address that only this test uses, so that no other test gets one of its ports before a planner binds it.
        let ip = Ipv4Addr::new(127, 101 + test, std::process::id() as u8, 1);
        let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
        let sockets: Vec<_> = (0..count).map(|_| UdpSocket::bind((ip, 0)).unwrap()).collect();
        let addresses: Vec<SocketAddr> = listeners.iter().map(|it| it.local_addr().unwrap()).collect();
        let vrrp: Vec<SocketAddr> = sockets.iter().map(|it| it.local_addr().unwrap()).collect();
        drop((listeners, sockets));
        let directory = test_dir();
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
            std::fs::write(directory.join(format!("{number}.toml")), text).unwrap();
        }
        let mut planners = Planners { processes: Vec::new(), addresses, directory };
        planners.processes = (0..count).map(|number| planners.process(number)).collect();
        planners
    }

    fn process(&self, number: usize) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_topazpath-planner"));
        command.arg(self.directory.join(format!("{number}.toml"))).stdin(Stdio::null()).spawn().unwrap()
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

/// Sends requests for a volume of `base` that is used by two forwarders, each after the answer to the one before, until
/// `stop` is set. Returns the number of served requests.
fn spawn_load(program: &Program, stop: &Arc<AtomicBool>) -> thread::JoinHandle<usize> {
    let (address, stop) = (program.resp, stop.clone());
    thread::spawn(move || {
        let (mut client, mut served, mut number) = (Client::connect(address), 0, 0_u64);
        while !stop.load(Ordering::Relaxed) {
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

/// Waits until `busy` has a grant of the share that `idle` does not use; `idle` sends few requests for the volume.
fn wait_until_share_moves(busy: &Program, idle: &Program) {
    let mut client = Client::connect(idle.resp);
    eventually("a share moves", || {
        let list = b"c=read,t=base,d=1000,volume=00000000000000b7,units=1,shard=3,hosts=2";
        client.send(&[b"OBJ.GET", b"0000000000000001", b"00000000000000aa", list]);
        client.receive();
        thread::sleep(Duration::from_millis(50));
        (report(busy)["granted"] == 1).then_some(())
    });
}

#[test]
fn an_unused_share_of_one_forwarder_is_granted_to_another() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let planners = Planners::start(0, 3);
    let (busy, idle) = (planners.forwarder(&discovery, "f-1"), planners.forwarder(&discovery, "f-2"));
    let stop = Arc::new(AtomicBool::new(false));
    let load = spawn_load(&busy, &stop);
    wait_until_share_moves(&busy, &idle);
    assert_eq!(report(&idle)["ceded"], 1);
    stop.store(true, Ordering::Relaxed);
    assert!(load.join().unwrap() > 0);
    let terms = report(&busy);
    assert!(terms["partitions"]
        .as_array()
        .unwrap()
        .iter()
        .all(|it| it["led_by"].as_array().unwrap().len() == 1));
}

#[test]
fn losing_all_planners_ends_no_request_and_plans_resume_after_their_restart() {
    let open = Arc::new(AtomicBool::new(false));
    let is_open = open.clone();
    let node = Node::start(move |_, words| {
        while words[1].ends_with(b"9") && !is_open.load(Ordering::Relaxed) {
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
    eventually("the request is in flight", || (node.count() > before).then_some(()));
    planners.kill_all();
    let mut other = Client::connect(program.resp);
    for request in 0..20 {
        other.request(request * 16, 3, "", None);
        assert!(matches!(other.receive(), Value::Bulk(Some(_))), "served without planners");
    }
    open.store(true, Ordering::Relaxed);
    assert!(matches!(client.receive(), Value::Bulk(Some(_))), "the request in flight is answered");
    in_mode(&program, "stale");
    in_mode(&program, "safe");
    planners.processes = (0..2).map(|number| planners.process(number)).collect();
    in_mode(&program, "planned");
}

#[test]
fn a_suspended_planner_is_replaced_and_leads_its_partitions_again_after_it_resumes() {
    let node = Node::echo();
    let planners = Planners::start(2, 2);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = planners.forwarder(&discovery, "f-1");
    in_mode(&program, "planned");
    signal(&planners.processes[0], "STOP");
    let other = planners.addresses[1].to_string();
    eventually("the other one leads all", || {
        let report = report(&program);
        let is_led_by_other =
            |it: &Json| it["led_by"].as_array().is_some_and(|by| by.len() == 1 && by[0] == other.as_str());
        report["partitions"].as_array()?.iter().all(is_led_by_other).then_some(())
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
fn garbage_on_a_planners_port_does_not_affect_other_clients() {
    let node = Node::echo();
    let planners = Planners::start(3, 1);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = planners.forwarder(&discovery, "f-1");
    in_mode(&program, "planned");
    let hello = |schema: u8| [0, 0, 0, 4, 0, schema, 1, b'x'];
    let reply_to = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(planners.addresses[0]).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        // Reads until the connection is closed or reset.
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    // A length of 3 GB, a malformed message, an unsupported schema, a message before the greeting.
    assert!(reply_to(&[0xb2, 0xd0, 0x5e, 0x00]).contains("at most"));
    reply_to(&[0, 0, 0, 3, 9, 9, 9]);
    assert!(reply_to(&hello(3)).contains("schema 3 is not known, 2 is"));
    assert!(reply_to(&[0, 0, 0, 1, 2]).contains("a greeting comes first"));
    // An incomplete message: the connection is closed after a timeout.
    reply_to(&hello(2)[..6]);
    let taken = report(&program)["plans_taken"].as_u64().unwrap();
    eventually("plans continue", || {
        (report(&program)["plans_taken"].as_u64().unwrap() > taken + 3).then_some(())
    });
    in_mode(&program, "planned");
}

#[test]
fn a_forwarder_suspended_for_longer_than_its_grant_returns_to_its_even_share() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut planners = Planners::start(4, 1);
    let (busy, idle) = (planners.forwarder(&discovery, "f-1"), planners.forwarder(&discovery, "f-2"));
    let stop = Arc::new(AtomicBool::new(false));
    let load = spawn_load(&busy, &stop);
    wait_until_share_moves(&busy, &idle);
    busy.signal("STOP");
    planners.kill_all();
    thread::sleep(Duration::from_millis(1500));
    busy.signal("CONT");
    // The first report after resuming shows that the grant is no longer in force.
    assert_eq!(report(&busy)["granted"], 0);
    stop.store(true, Ordering::Relaxed);
    load.join().unwrap();
}

#[test]
fn a_thousand_new_connections_do_not_interrupt_plans_for_a_connected_forwarder() {
    let node = Node::echo();
    let planners = Planners::start(5, 1);
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let program = planners.forwarder(&discovery, "f-1");
    in_mode(&program, "planned");
    let before = report(&program)["plans_taken"].as_u64().unwrap();
    // Up to a thousand, or as many as this process may open.
    let mut connections = Vec::new();
    for _ in 0..1000 {
        match TcpStream::connect(planners.addresses[0]) {
            Ok(mut stream) => {
                stream.write_all(&[0, 0, 0, 4, 0, 2, 1, b'x']).unwrap();
                connections.push(stream);
            }
            Err(_) => break,
        }
    }
    assert!(connections.len() > 200, "{} connections", connections.len());
    // Each of them is welcomed, and the earlier client gets its plans all the time.
    for stream in &mut connections {
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        let mut head = [0; 4];
        stream.read_exact(&mut head).unwrap();
    }
    let report = report(&program);
    assert_eq!(report["partitions"][0]["mode"], "planned", "{report}");
    assert_eq!(report["plans_untaken"], 0);
    eventually("plans continue", || {
        let taken = Client::connect(program.resp).report("planners")["plans_taken"].as_u64().unwrap();
        (taken > before + 3).then_some(())
    });
}

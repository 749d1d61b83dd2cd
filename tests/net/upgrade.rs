//! A second process of the same initiator takes the place of the first.

use crate::helper::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use topazpath::resp::Value;

/// Processes of one initiator: one address, one folder.
struct Place {
    listen: SocketAddr,
    shared: PathBuf,
}

impl Place {
    fn new() -> Place {
        Place { listen: free_address(), shared: test_dir() }
    }

    fn setup(&self) -> Setup {
        Setup {
            listen: Some(self.listen),
            shared: Some(self.shared.clone()),
            control: true,
            limit: 50,
            ..Setup::default()
        }
    }

    fn start(&self, discovery: &Discovery) -> Program {
        let program = Program::spawn(discovery, self.setup());
        discovery.wait_for_watch();
        eventually("it is ready", || program.admin_command("ready").starts_with("200 ").then_some(()));
        program
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.shared);
    }
}

fn served(client: &mut Client, piece: u64) -> bool {
    client.request(piece, 3, "", None);
    client.try_receive() == Some(Value::Bulk(Some(format!("{piece:016x}").into_bytes())))
}

/// Clients that go on asking, half of them on connections they keep.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(address: SocketAddr) -> Load {
        let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let client = |number: u64| {
            let (stop, answered) = (stop.clone(), answered.clone());
            thread::spawn(move || {
                let mut client = Client::connect(address);
                while !stop.load(Ordering::Relaxed) {
                    if number.is_multiple_of(2) {
                        client = Client::connect(address);
                    }
                    assert!(served(&mut client, number), "a request of client {number} has no answer");
                    answered.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(3));
                }
            })
        };
        let threads = (0..8).map(client).collect();
        Load { stop, answered, threads }
    }

    fn goes_on(&self) {
        let before = self.answered.load(Ordering::Relaxed);
        eventually("more answers", || (self.answered.load(Ordering::Relaxed) > before + 50).then_some(()));
    }

    /// Every request had its answer.
    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

fn slow_node() -> Node {
    Node::start(|_, words| {
        thread::sleep(Duration::from_millis(10));
        Reply::Value(words[1].clone())
    })
}

#[test]
fn two_upgrades_in_a_row_lose_no_request_of_kept_and_of_new_connections() {
    let (one, two, place) = (slow_node(), slow_node(), Place::new());
    let discovery = Discovery::start(&[("s-1", one.address, 3), ("s-2", two.address, 3)]);
    let mut old = place.start(&discovery);
    let load = Load::start(place.listen);
    for _ in 0..2 {
        load.goes_on();
        let new = place.start(&discovery);
        eventually("the old one was replaced", || {
            old.admin_command("ready").contains("replaced").then_some(())
        });
        assert!(old.admin_command("drain").starts_with("400 "), "that is for the other one to do");
        load.goes_on();
        old.terminate();
        assert!(old.wait().success());
        load.goes_on();
        let taken_over = Client::connect(place.listen).info();
        assert!(!taken_over.contains("clients_taken_over:0\r\n"), "{taken_over}");
        old = new;
    }
    load.end();
}

#[test]
fn bans_hold_in_both_processes_whichever_was_called() {
    let (one, two, place) = (Node::echo(), Node::echo(), Place::new());
    let discovery = Discovery::start(&[("s-1", one.address, 3), ("s-2", two.address, 3)]);
    let mut old = place.start(&discovery);
    assert!(old.admin_command("disable-server s-1").starts_with("200 "));
    let new = place.start(&discovery);
    let banned = |program: &Program, count: u32| {
        let line = format!("nodes_banned:{count}\r\n");
        eventually(&line, || Client::connect(program.resp).info().contains(&line).then_some(()));
    };
    banned(&new, 1);
    // Called at the old one, it holds at the new one; and the other way round it ends.
    assert!(old.admin_command("disable-server s-2").starts_with("200 "));
    banned(&new, 2);
    assert!(old.admin_command("enable-server s-2").starts_with("200 "));
    banned(&new, 1);
    old.terminate();
    old.wait();
    let mut client = Client::connect(place.listen);
    (0..20).for_each(|piece| assert!(served(&mut client, piece)));
    assert_eq!((one.count(), two.count()), (0, 20));
    assert!(new.admin_command("enable-server s-1").starts_with("200 "));
    banned(&new, 0);
}

#[test]
fn an_open_request_ends_at_the_old_process_and_its_client_goes_on_at_the_new_one() {
    let place = Place::new();
    let node = Node::start(|count, words| {
        thread::sleep(Duration::from_millis(if count == 1 { 700 } else { 0 }));
        Reply::Value(words[1].clone())
    });
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut old = place.start(&discovery);
    let (mut client, mut half) = (Client::connect(place.listen), Client::connect(place.listen));
    client.request(1, 3, "", None);
    eventually("it is out", || (node.count() == 1).then_some(()));
    half.write(b"*1\r\n$4\r\nPI");
    let new = place.start(&discovery);
    old.terminate();
    assert_eq!(client.receive(), Value::Bulk(Some(b"0000000000000001".to_vec())));
    // What it had begun to say to the old process it goes on with.
    half.write(b"NG\r\n");
    assert_eq!(half.receive(), Value::Simple(b"PONG".to_vec()));
    assert!(old.wait().success());
    assert!(served(&mut client, 2));
    new.wait_for_info("clients_taken_over:2");
    assert_eq!(node.count(), 2, "nothing was sent twice");
}

#[test]
fn the_old_process_goes_on_where_the_new_one_dies_or_cannot_start() {
    let (node, place) = (Node::echo(), Place::new());
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let old = place.start(&discovery);
    // It dies before it takes over: its door cannot be had.
    let config = |door: SocketAddr| {
        let (listen, discovery) = (place.listen, discovery.address);
        Program::config("n1", listen, &format!("\"{door}\""), &discovery.to_string(), &place.setup())
    };
    let (mut command, files) = command(&config(node.address), "");
    let output = command.env("TMPDIR", &place.shared).output().unwrap();
    std::fs::remove_dir_all(files).unwrap();
    assert!(!output.status.success());
    assert!(old.admin_command("ready").starts_with("200 "));
    // It dies after it took over.
    let mut new = place.start(&discovery);
    eventually("the old one was replaced", || old.admin_command("ready").contains("replaced").then_some(()));
    new.kill();
    eventually("the old one serves", || old.admin_command("ready").starts_with("200 ").then_some(()));
    assert!(served(&mut Client::connect(place.listen), 1));
    // And the next upgrade finds it.
    let new = place.start(&discovery);
    eventually("the old one was replaced", || old.admin_command("ready").contains("replaced").then_some(()));
    assert!(new.admin_command("ready").starts_with("200 "));
}

#[test]
fn a_start_goes_on_as_ever_beside_peers_that_are_dead_silent_or_speak_something_else() {
    let (node, place) = (Node::echo(), Place::new());
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut old = place.start(&discovery);
    let meeting = old.upgrade_socket(&place.shared);
    assert!(meeting.exists());
    old.kill();
    let mut next = place.start(&discovery);
    next.kill();
    for (answer, listens) in [
        (&b""[..], true),
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", true),
        (b"tpz-upgr\xff\xff", true),
        (b"", false),
    ] {
        let _ = std::fs::remove_file(&meeting);
        let listener = UnixListener::bind(&meeting).unwrap();
        if listens {
            thread::spawn(move || {
                let (mut stream, _) = listener.accept().unwrap();
                stream.write_all(answer).unwrap();
                let _ = stream.read_to_end(&mut Vec::new());
            });
        } else {
            drop(listener);
        }
        let mut program = place.start(&discovery);
        assert!(served(&mut Client::connect(place.listen), 1), "{answer:?}");
        program.kill();
    }
    // A folder that is none.
    let setup = Setup { shared: Some(place.shared.join("none")), ..place.setup() };
    let program = Program::start(&discovery, setup);
    assert!(program.admin_command("ready").starts_with("200 "));
}

#[test]
fn a_drain_lasts_across_an_upgrade() {
    let (node, place) = (Node::echo(), Place::new());
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let old = place.start(&discovery);
    assert!(old.admin_command("drain").starts_with("200 "));
    let new = Program::spawn(&discovery, place.setup());
    assert!(new.admin_command("ready").contains("drained"));
    assert!(new.admin_command("resume").starts_with("200 "));
    assert!(served(&mut Client::connect(place.listen), 1));
}

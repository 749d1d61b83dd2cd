//! Live configuration with real planners, initiators and operator commands, under load and with killed processes.

use crate::helper::*;
use serde_json::Value as Json;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use topazpath::resp::Value;

const COUNT: usize = 3;
/// The rate limit of plan `base` in the files, in units a second: above the load of these tests.
const LIMIT: u64 = 100_000;
/// Seconds for `--within` and `--wait`: longer than any step takes on a loaded machine.
const WAIT: &str = "20";

/// Three planners with live configuration enabled. Kills them on drop.
struct Cluster {
    processes: Vec<Option<Child>>,
    addresses: Vec<SocketAddr>,
    files: PathBuf,
}

/// The exit code and the output of a command.
#[derive(Debug)]
struct CommandResult {
    code: i32,
    output: String,
    error: String,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..COUNT).for_each(|number| self.kill(number));
        let _ = std::fs::remove_dir_all(&self.files);
    }
}

impl Cluster {
    /// Starts planners with new stores.
    fn start(test: u8) -> Cluster {
        let mut cluster = Cluster::prepare(test);
        for number in 0..COUNT {
            let result = cluster.create(number);
            assert_eq!(result.code, 0, "{result:?}");
            cluster.restart(number);
        }
        cluster
    }

    /// Writes the files of planners that have no store yet.
    fn prepare(test: u8) -> Cluster {
        // A loopback address for this test alone, so that no other test gets one of its ports before a planner binds
        // it.
        let address_of_test = Ipv4Addr::new(127, 121 + test, std::process::id() as u8, 1);
        let listeners: Vec<_> =
            (0..COUNT).map(|_| TcpListener::bind((address_of_test, 0)).unwrap()).collect();
        let sockets: Vec<_> = (0..COUNT).map(|_| UdpSocket::bind((address_of_test, 0)).unwrap()).collect();
        let addresses: Vec<SocketAddr> = listeners.iter().map(|it| it.local_addr().unwrap()).collect();
        let vrrp: Vec<SocketAddr> = sockets.iter().map(|it| it.local_addr().unwrap()).collect();
        drop((listeners, sockets));
        let cluster = Cluster { processes: (0..COUNT).map(|_| None).collect(), addresses, files: test_dir() };
        let setup = Setup { limit: LIMIT, initiators: 3, ..Setup::default() };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let initiator = Program::config("any", listen, "null", "127.0.0.1:1", &setup);
        std::fs::write(cluster.files.join("initiator.json"), initiator).unwrap();
        (0..COUNT).for_each(|number| cluster.write_file(number, &vrrp));
        cluster
    }

    fn write_file(&self, number: usize, vrrp: &[SocketAddr]) {
        let names: Vec<String> = (0..COUNT).map(|number| format!("planner-{number}")).collect();
        let others: Vec<usize> = (0..COUNT).filter(|other| *other != number).collect();
        let peers: Vec<SocketAddr> = others.iter().map(|other| vrrp[*other]).collect();
        let mut text = format!(
            "listen = \"{}\"\nname = \"{}\"\nplanners = {names:?}\n[vrrp]\nvrid = 7\ninterval_ms = 50\naddress = \"{}\"\n\
             peers = {:?}\n[configuration]\ndirectory = {:?}\ninitiator = {:?}\n",
            self.addresses[number],
            names[number],
            vrrp[number],
            to_strings(&peers),
            self.files.join(format!("store-{number}")),
            self.files.join("initiator.json"),
        );
        for other in others {
            let (name, address) = (&names[other], self.addresses[other]);
            text += &format!("[[configuration.peer]]\nname = \"{name}\"\naddress = \"{address}\"\n");
        }
        std::fs::write(self.file(number), text).unwrap();
    }

    fn file(&self, number: usize) -> PathBuf {
        self.files.join(format!("{number}.toml"))
    }

    fn create(&self, number: usize) -> CommandResult {
        run(&["configuration", "create", self.file(number).to_str().unwrap()])
    }

    fn restart(&mut self, number: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_topazpath-planner"));
        self.processes[number] = Some(command.arg(self.file(number)).stdin(Stdio::null()).spawn().unwrap());
    }

    fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.processes[number].take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn planners(&self) -> String {
        to_strings(&self.addresses).join(",")
    }

    /// Runs a `configuration` subcommand with the addresses of all planners.
    fn command(&self, arguments: &[&str]) -> CommandResult {
        let planners = self.planners();
        run(&[&["configuration", arguments[0], "--planners", &planners], &arguments[1..]].concat())
    }

    /// Submits a document against an expected revision, and waits until the new revision is in force.
    fn submit(&self, expected: &str, text: &str) -> CommandResult {
        let document = self.document(text);
        let arguments =
            ["submit", "--expect", expected, "--author", "test", "--within", WAIT, "--wait", WAIT];
        self.command(&[&arguments[..], &[&document]].concat())
    }

    fn document(&self, text: &str) -> String {
        let path = self.files.join("document.toml");
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    }

    fn status(&self) -> Json {
        let result = self.command(&["status", "--json"]);
        assert_eq!(result.code, 0, "{result:?}");
        serde_json::from_str(&result.output).unwrap()
    }

    /// Waits until all running planners have a quorum and the newest revision, and this number of initiators is
    /// connected.
    fn settle(&self, initiators: usize) {
        eventually("the planners agree", || {
            let result = self.command(&["status", "--json"]);
            let status: Json = serde_json::from_str(&result.output).ok()?;
            let planners = status["planners"].as_array()?;
            let running = self.processes.iter().filter(|process| process.is_some()).count();
            let agrees = |planner: &&Json| {
                planner["status"]["quorum"] == true && planner["status"]["newest"] == status["newest"]
            };
            let settled = planners.iter().filter(agrees).count() == running;
            let connected = status["initiators"].as_array()?;
            let connected = connected.iter().filter(|it| it["connected"] == true).count();
            (settled && connected == initiators).then_some(())
        });
    }

    fn initiator(&self, discovery: &Discovery, name: &str) -> Program {
        self.initiator_with(discovery, name, Vec::new())
    }

    fn initiator_with(
        &self,
        discovery: &Discovery,
        name: &str,
        changes: Vec<(&'static str, &'static str)>,
    ) -> Program {
        let setup = Setup {
            name: name.into(),
            planners: self.addresses.clone(),
            planners_extra: "configuration = true\n",
            limit: LIMIT,
            initiators: 3,
            aim_ms: 4000,
            changes,
            ..Setup::default()
        };
        Program::start(discovery, setup)
    }

    fn newest(&self) -> u64 {
        self.status()["newest"]["number"].as_u64().unwrap()
    }
}

/// Runs `topazpath-planner` until it exits, and checks that it reports an error in one line.
fn run(arguments: &[&str]) -> CommandResult {
    let output = Command::new(env!("CARGO_BIN_EXE_topazpath-planner")).args(arguments).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let code = output.status.code().expect("an exit code");
    let result = CommandResult { code, output: text(output.stdout), error: text(output.stderr) };
    assert_eq!(result.error.lines().count(), usize::from(code != 0), "{arguments:?}: {result:?}");
    result
}

/// The revision in force at an initiator, by its own report.
fn in_force(program: &Program) -> Json {
    Client::connect(program.resp).report("planners")["configuration"].clone()
}

/// Waits until an initiator reports the revision. Its `INFO` may lag by one report interval.
fn wait_for_revision(program: &Program, number: u64) {
    eventually(&format!("revision {number}"), || (in_force(program)["number"] == number).then_some(()));
}

/// A client thread that sends an initiator one request after the other until it is stopped.
struct Load {
    done: Arc<AtomicBool>,
    worker: Option<thread::JoinHandle<(usize, usize)>>,
}

impl Load {
    /// Load on a plan with a rate limit: requests beyond it are refused.
    fn limited(program: &Program) -> Load {
        Load::start(program, "c=read,t=base,d=4000,volume=00000000000000b7,units=2,shard=3,hosts=3")
    }

    /// Load on a plan without a rate limit.
    fn unlimited(program: &Program) -> Load {
        Load::start(program, "c=read,t=plus,d=4000,volume=00000000000000a0,units=2,shard=3,hosts=3")
    }

    fn start(program: &Program, list: &'static str) -> Load {
        let done = Arc::new(AtomicBool::new(false));
        let (address, stop) = (program.resp, done.clone());
        let worker = thread::spawn(move || {
            let (mut client, mut served, mut refused, mut number) = (Client::connect(address), 0, 0, 0_u64);
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{number:08x}{:08x}", address.port());
                client.send(&[b"OBJ.GET", b"0000000000000001", id.as_bytes(), list.as_bytes()]);
                match client.receive() {
                    Value::Bulk(Some(_)) => served += 1,
                    Value::Error(_) => refused += 1,
                    other => panic!("no answer: {other:?}"),
                }
                thread::sleep(Duration::from_millis(2));
            }
            (served, refused)
        });
        Load { done, worker: Some(worker) }
    }

    /// Stops the load. Returns the numbers of served and refused requests; all were answered.
    fn stop(mut self) -> (usize, usize) {
        self.done.store(true, Ordering::Relaxed);
        self.worker.take().unwrap().join().unwrap()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Relaxed);
    }
}

#[test]
fn a_lowered_limit_holds_at_all_initiators_and_unlimited_requests_are_not_refused() {
    let (limited, free) = (Node::echo(), Node::echo());
    let discovery = Discovery::start(&[("s-1", limited.address, 3)]);
    let other = Discovery::start(&[("s-2", free.address, 3)]);
    let cluster = Cluster::start(0);
    let programs: Vec<Program> =
        (0..3).map(|number| cluster.initiator(&discovery, &format!("f-{number}"))).collect();
    // One more initiator with its own node, whose load is not limited.
    let unlimited_program = cluster.initiator(&other, "f-3");
    cluster.settle(4);
    let loads: Vec<Load> = programs.iter().map(Load::limited).collect();
    let unlimited = Load::unlimited(&unlimited_program);
    eventually("the node is used", || (limited.count() > 100).then_some(()));
    // The first revision doesn't change the limit.
    let result = cluster.submit("0", "[classes.read]\nworth = 2.5\n");
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.output.contains("in force: revision 1 at 4 initiators"), "{result:?}");
    let result = cluster.submit("1", "[classes.read]\nworth = 2.5\n[plans.base]\nceiling_rate = 30\n");
    assert_eq!(result.code, 0, "{result:?}");
    let (start, before) = (Instant::now(), limited.count());
    thread::sleep(Duration::from_secs(3));
    let units = 2 * (limited.count() - before);
    // The limit over the elapsed time, its burst and tolerance, and the requests in flight, one per client.
    let allowed = 30.0 * start.elapsed().as_secs_f64() + 16.0 + 8.0 + 6.0;
    assert!(units as f64 <= allowed, "{units} units, {allowed} are allowed");
    programs.iter().for_each(|program| wait_for_revision(program, 2));
    let counts: Vec<(usize, usize)> = loads.into_iter().map(Load::stop).collect();
    assert!(counts.iter().all(|(served, refused)| *served > 0 && *refused > 0), "{counts:?}");
    let (served, refused) = unlimited.stop();
    assert!(served > 0 && refused == 0, "{served} served, {refused} refused");
}

#[test]
fn invalid_submissions_and_commands_fail_by_exit_code_and_change_nothing() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let cluster = Cluster::start(1);
    let program = cluster.initiator(&discovery, "f-1");
    cluster.settle(1);
    assert_eq!(cluster.submit("latest", "[plans.base]\nparts = 2\n").code, 0);
    let shown = cluster.command(&["show"]);
    assert!(
        shown.output.contains("submitted by test at 2") && shown.output.contains("parts = 2"),
        "{shown:?}"
    );
    let refused = |code: i32, expected: &str, text: &str, why: &str| {
        let result = cluster.submit(expected, text);
        assert_eq!(result.code, code, "{result:?}");
        assert!(result.error.contains(why), "{why}: {result:?}");
    };
    refused(1, "1", "[plans.gold]\nparts = 2\n", "gold");
    refused(1, "1", "[plans.base\nparts = 2\n", "document.toml");
    refused(1, "1", "[plans.base]\nparts = -2\n", "parts");
    refused(1, "1", "listen = \"127.0.0.1:1\"\n", "listen");
    refused(1, "0", "[plans.base]\nparts = 3\n", "conflict: revision 1 ");
    refused(1, "7", "[plans.base]\nparts = 3\n", "conflict: revision 7 ");
    refused(2, "soon", "", "a number or `latest`");
    let author = "x".repeat(300);
    let document = cluster.document("");
    let result = cluster.command(&["submit", "--expect", "1", "--author", &author, &document]);
    assert_eq!(result.code, 2, "{result:?}");
    let result = cluster.command(&["submit", "--expect", "1", "--author", "test", "/nowhere/document.toml"]);
    assert_eq!(result.code, 2, "{result:?}");
    assert_eq!(run(&["configuration", "status"]).code, 2);
    assert_eq!(run(&["configuration"]).code, 2);
    assert_eq!(run(&[]).code, 2);
    assert_eq!(cluster.command(&["show", "9"]).code, 1);
    assert_eq!(cluster.command(&["revert", "9", "--expect", "1", "--author", "test"]).code, 1);
    let unused_address = free_address().to_string();
    assert_eq!(run(&["configuration", "status", "--planners", &unused_address]).code, 3);
    let result = run(&["configuration", "wait", "--planners", &unused_address, "--seconds", "0"]);
    assert_eq!(result.code, 3, "{result:?}");
    let result = cluster.command(&["wait", "2", "--seconds", "0"]);
    assert_eq!((result.code, result.error.contains("revision 2 is not accepted")), (4, true), "{result:?}");
    assert_eq!(cluster.newest(), 1);
    assert_eq!(cluster.command(&["show"]).output, shown.output);
    assert_eq!(in_force(&program)["number"], 1);
}

#[test]
fn changes_continue_without_one_planner_stop_without_two_and_survive_a_restart_of_all() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut cluster = Cluster::start(2);
    let programs = ["f-1", "f-2"].map(|name| cluster.initiator(&discovery, name));
    cluster.settle(2);
    let loads = programs.each_ref().map(Load::unlimited);
    let parts = |number: u64| format!("[plans.base]\nparts = {}\n", number + 1);
    let mut newest = 0;
    let mut change = |cluster: &Cluster| {
        let result = cluster.submit(&newest.to_string(), &parts(newest));
        assert_eq!(result.code, 0, "{result:?}");
        newest += 1;
        assert!(result.output.contains(&format!("revision {newest} at 2 initiators")), "{result:?}");
    };
    // Each planner is killed once, the leader among them, and restarts from its store.
    for number in 0..COUNT {
        change(&cluster);
        cluster.kill(number);
        change(&cluster);
        cluster.restart(number);
    }
    cluster.settle(2);
    cluster.kill(0);
    cluster.kill(1);
    eventually("the last planner has no quorum", || {
        let status = cluster.status();
        let planner = status["planners"][2]["status"].clone();
        (planner["quorum"] == false).then_some(())
    });
    let document = cluster.document(&parts(99));
    let result =
        cluster.command(&["submit", "--expect", "6", "--author", "test", "--within", "1", &document]);
    assert_eq!((result.code, result.error.contains("no quorum")), (3, true), "{result:?}");
    for program in &programs {
        eventually("the age grows", || (in_force(program)["age_ms"].as_u64()? > 1000).then_some(()));
        assert_eq!(in_force(program)["number"], 6);
    }
    cluster.kill(2);
    for number in 0..COUNT {
        cluster.restart(number);
    }
    cluster.settle(2);
    assert_eq!(cluster.newest(), 6);
    let shown = cluster.command(&["show"]);
    assert!(shown.output.contains("parts = 6"), "{shown:?}");
    let result = cluster.submit("6", &parts(6));
    assert_eq!(result.code, 0, "{result:?}");
    for program in &programs {
        eventually("the age is small again", || (in_force(program)["age_ms"].as_u64()? < 1000).then_some(()));
    }
    for (served, refused) in loads.map(Load::stop) {
        assert!(served > 0 && refused == 0, "{served} served, {refused} refused");
    }
}

/// Follows the operators' procedure: the other planners run and are in contact, and the leader is restarted.
#[test]
fn a_planner_that_lost_its_disk_rejoins_and_counts_for_the_majority() {
    let mut cluster = Cluster::start(8);
    cluster.settle(0);
    assert_eq!(cluster.submit("0", "[plans.base]\nparts = 2\n").code, 0);
    cluster.kill(2);
    std::fs::remove_dir_all(cluster.files.join("store-2")).unwrap();
    assert_eq!(cluster.submit("1", "[plans.base]\nparts = 3\n").code, 0);
    cluster.settle(0);
    let leader = cluster.status()["planners"][0]["status"]["leader"].clone();
    let leader = (0..2).find(|number| leader == format!("planner-{number}")).unwrap();
    assert_eq!(cluster.create(2).code, 0);
    cluster.restart(2);
    cluster.kill(leader);
    cluster.restart(leader);
    cluster.settle(0);
    assert_eq!(cluster.newest(), 2);
    // With another planner down, the majority includes the one with the new store.
    cluster.kill(0);
    let result = cluster.submit("2", "[plans.base]\nparts = 4\n");
    assert_eq!(result.code, 0, "{result:?}");
    let address = cluster.addresses[2].to_string();
    let shown = run(&["configuration", "show", "--planners", &address, "2"]);
    assert!(shown.output.contains("parts = 3"), "{shown:?}");
}

#[test]
fn a_restarted_initiator_catches_up_and_one_that_refuses_a_revision_is_named() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let cluster = Cluster::start(3);
    let stays = cluster.initiator(&discovery, "f-stays");
    let mut goes = cluster.initiator(&discovery, "f-goes");
    cluster.settle(2);
    assert_eq!(cluster.submit("0", "[plans.base]\nparts = 2\n").code, 0);
    goes.kill();
    cluster.settle(1);
    assert_eq!(cluster.submit("1", "[plans.base]\nparts = 3\nvalue_factor = 2\n").code, 0);
    assert_eq!(cluster.submit("2", "[plans.base]\nparts = 3\n").code, 0);
    drop(goes);
    let restarted = cluster.initiator(&discovery, "f-goes");
    let result = cluster.command(&["wait", "3", "--seconds", WAIT]);
    assert_eq!(result.code, 0, "{result:?}");
    wait_for_revision(&restarted, 3);
    // The plans of this initiator have other names.
    let other = cluster.initiator_with(&discovery, "f-other", vec![("\"base\"", "\"basic\"")]);
    cluster.settle(3);
    let result = cluster.submit("3", "[plans.base]\nparts = 4\n");
    assert_eq!(result.code, 4, "{result:?}");
    assert!(result.error.contains("in force at 2; refused by 1: f-other ("), "{result:?}");
    assert!(
        result.error.contains("no plan \"base\"") && result.output.contains("accepted: revision 4"),
        "{result:?}"
    );
    let status = cluster.command(&["status"]);
    let line = status.output.lines().find(|line| line.starts_with("initiator f-other: "));
    assert!(line.is_some_and(|line| line.contains("refuses 4 (")), "{status:?}");
    assert_eq!(in_force(&other)["number"], 0);
    [&stays, &restarted].into_iter().for_each(|program| wait_for_revision(program, 4));
    // It applies later revisions that fit its settings.
    let result = cluster.submit("4", "[plans.plus]\nparts = 2\n");
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.output.contains("revision 5 at 3 initiators"), "{result:?}");
}

#[test]
fn a_node_taken_out_by_a_revision_gets_no_requests_until_the_revision_is_reverted() {
    let (one, two) = (Node::echo(), Node::echo());
    let discovery = Discovery::start(&[("s-1", one.address, 3), ("s-2", two.address, 3)]);
    let cluster = Cluster::start(4);
    let program = cluster.initiator(&discovery, "f-1");
    cluster.settle(1);
    let mut client = Client::connect(program.resp);
    let mut ask = |count: u64| {
        for piece in 0..count {
            client.request(piece, 3, "", None);
            assert_eq!(client.receive(), Value::Bulk(Some(format!("{piece:016x}").into_bytes())));
        }
    };
    ask(20);
    let result = cluster.submit("latest", "nodes_out = [\"s-1\"]\n");
    assert_eq!(result.code, 0, "{result:?}");
    let before = one.count();
    ask(40);
    assert_eq!(one.count(), before);
    let compared = cluster.command(&["compare", "0", "1"]);
    assert!(compared.output.starts_with("nodes_out: "), "{compared:?}");
    let result = cluster
        .command(&["revert", "0", "--expect", "1", "--author", "test", "--within", WAIT, "--wait", WAIT]);
    assert_eq!(result.code, 0, "{result:?}");
    assert_eq!(cluster.command(&["compare", "0", "2"]).output, "");
    // With the other node out, this one is the only one that can serve.
    let result = cluster.submit("2", "nodes_out = [\"s-2\"]\n");
    assert_eq!(result.code, 0, "{result:?}");
    let before = one.count();
    ask(1);
    assert_eq!(one.count(), before + 1);
}

#[test]
fn a_store_is_created_once_and_belongs_to_one_planner() {
    let cluster = Cluster::prepare(5);
    let file = cluster.file(0);
    let start = || run(&[file.to_str().unwrap()]);
    let result = start();
    assert_eq!((result.code, result.error.contains("no store")), (1, true), "{result:?}");
    assert_eq!(cluster.create(0).code, 0);
    let result = cluster.create(0);
    assert_eq!((result.code, result.error.contains("there is a store already")), (2, true), "{result:?}");
    // The store of another planner.
    std::fs::rename(cluster.files.join("store-0"), cluster.files.join("store-1")).unwrap();
    let result = run(&[cluster.file(1).to_str().unwrap()]);
    assert_eq!((result.code, result.error.contains("another planner")), (1, true), "{result:?}");
    let result = run(&["configuration", "create", "/nowhere/planner.toml"]);
    assert_eq!(result.code, 2, "{result:?}");
}

#[test]
fn unknown_peers_and_stalled_commands_do_not_disturb_other_connections() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let cluster = Cluster::start(6);
    let program = cluster.initiator(&discovery, "f-1");
    cluster.settle(1);
    let connect = || {
        let stream = TcpStream::connect(cluster.addresses[0]).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream
    };
    let answer_to = |bytes: &[u8]| {
        let mut stream = connect();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        // Reads until the planner closes the connection or resets it.
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    // The name of no planner, the planner's own name, an unknown schema, a Raft message before the greeting, and a
    // frame that is too long.
    assert!(answer_to(&[0, 0, 0, 4, 6, 2, 1, b'x']).contains("\"x\" is not among the other planners"));
    let own_name = [&[0, 0, 0, 12, 6, 2, 9][..], b"planner-0"].concat();
    assert!(answer_to(&own_name).contains("is not among the other planners"));
    assert!(answer_to(&[0, 0, 0, 3, 8, 3, 2]).contains("schema 3 is not known, 2 is"));
    assert!(answer_to(&[0, 0, 0, 2, 7, 0]).contains("a greeting comes first"));
    assert!(answer_to(&[0, 64, 0, 0]).contains("at most"));
    // Operator connections that stop in the middle of a command, or stay open after the answer.
    let mut open_connections = Vec::new();
    for number in 0..300 {
        let mut stream = connect();
        let command: &[u8] = if number % 2 == 0 { &[0, 0, 0, 3, 8] } else { &[0, 0, 0, 3, 8, 2, 2] };
        stream.write_all(command).unwrap();
        open_connections.push(stream);
    }
    let result = cluster.submit("0", "[plans.base]\nparts = 2\n");
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.output.contains("revision 1 at 1 initiators"), "{result:?}");
    wait_for_revision(&program, 1);
    // The planner closes all of them after its timeout.
    for mut stream in open_connections {
        let end = stream.read_to_end(&mut Vec::new());
        let still_open = end.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!still_open, "a silent connection was never closed");
    }
    cluster.settle(1);
}

#[test]
fn a_planner_without_a_configuration_section_reports_that_live_configuration_is_off() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let mut cluster = Cluster::prepare(7);
    for number in 0..COUNT {
        let text = std::fs::read_to_string(cluster.file(number)).unwrap();
        let (text, _) = text.split_once("[configuration]").unwrap();
        std::fs::write(cluster.file(number), text).unwrap();
        cluster.restart(number);
    }
    let program = cluster.initiator(&discovery, "f-1");
    eventually("all partitions are planned", || {
        let report = Client::connect(program.resp).report("planners");
        report["partitions"].as_array()?.iter().all(|it| it["mode"] == "planned").then_some(())
    });
    let result = cluster.command(&["status"]);
    assert_eq!(
        (result.code, result.error.contains("live configuration is off there")),
        (3, true),
        "{result:?}"
    );
    let document = cluster.document("");
    let result = cluster.command(&["submit", "--expect", "0", "--author", "test", &document]);
    assert_eq!(
        (result.code, result.error.contains("live configuration is off there")),
        (3, true),
        "{result:?}"
    );
    assert_eq!(in_force(&program)["number"], 0);
}

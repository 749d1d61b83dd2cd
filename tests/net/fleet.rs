//! Membership among real processes of the program. What faults between them do is the laboratory's to cause.

use crate::helper::*;
use std::net::{SocketAddr, UdpSocket};
use std::process::Stdio;

/// UDP addresses that are free at the moment.
fn places(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    sockets.iter().map(|socket| socket.local_addr().unwrap()).collect()
}

/// The file of one of three seeds.
fn file(places: &[SocketAddr], own: usize) -> String {
    let seeds = places.iter().enumerate();
    let seeds: String =
        seeds.map(|(at, place)| format!("[[seed]]\nname = \"m{at}\"\naddress = \"{place}\"\n")).collect();
    format!(
        "enabled = true\nfleet = \"test\"\nname = \"m{own}\"\naddress = \"{}\"\nperiod_ms = 100\nanswer_ms = 30\n{seeds}",
        places[own]
    )
}

/// Names in the view of a process, once it is a member.
fn view(program: &Program) -> Option<Vec<String>> {
    let report = Client::connect(program.resp).report("FLEET");
    let members = report["view"]["members"].as_array().filter(|_| report["phase"] == "member")?;
    Some(members.iter().map(|it| it["name"].as_str().unwrap().to_string()).collect())
}

#[test]
fn most_of_the_seeds_bootstrap_a_fleet_another_joins_and_one_that_is_ended_leaves() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let places = places(3);
    let start =
        |own: usize| Program::start(&discovery, Setup { fleet: file(&places, own), ..Setup::default() });
    let (first, second) = (start(0), start(1));
    let wait = |program: &Program, names: &[&str]| {
        eventually("the view", || view(program).filter(|members| members == names).map(drop));
    };
    wait(&first, &["m0", "m1"]);
    wait(&second, &["m0", "m1"]);
    let mut third = start(2);
    wait(&first, &["m0", "m1", "m2"]);
    wait(&third, &["m0", "m1", "m2"]);
    third.terminate();
    assert!(third.wait().success());
    wait(&second, &["m0", "m1"]);
    first.wait_for_info("fleet_members:2");
    let mut client = Client::connect(first.resp);
    client.ask(1, 3, "", None);
    assert_eq!(bytes(client.receive()), b"0000000000000001");
}

#[test]
fn settings_that_forbid_talk_keep_the_fleet_off() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let places = places(1);
    let setup = Setup { fleet: file(&places, 0), no_peers: true, ..Setup::default() };
    let program = Program::start(&discovery, setup);
    assert!(!Client::connect(program.resp).info().contains("fleet_"));
    assert!(UdpSocket::bind(places[0]).is_ok(), "nobody listens there");
}

#[test]
fn an_unusable_fleet_file_is_one_plain_line() {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = Program::config("n1", listen, "null", "127.0.0.1:1", &Setup::default());
    let (mut command, files) = command(&config, "");
    std::fs::write(files.join("fleet.toml"), "enabled = true\nfleet = \"x\"\nname = \"\"\n").unwrap();
    let output = command.stdout(Stdio::piped()).output().unwrap();
    std::fs::remove_dir_all(files).unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && text.lines().count() == 1, "{text}");
    assert!(text.contains("fleet.toml") && text.contains("address"), "{text}");
}

#[test]
fn an_upgrade_keeps_the_member_and_one_that_dies_gives_it_back_as_another_generation() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let (places, shared, listen) = (places(3), folder(), free_address());
    let others: Vec<Program> = (1..3)
        .map(|own| Program::start(&discovery, Setup { fleet: file(&places, own), ..Setup::default() }))
        .collect();
    let start = || {
        let (listen, shared) = (Some(listen), Some(shared.clone()));
        Program::start(&discovery, Setup { fleet: file(&places, 0), listen, shared, ..Setup::default() })
    };
    let mut old = start();
    let all = ["m0", "m1", "m2"];
    let together = |program: &Program| {
        eventually("the view", || view(program).filter(|members| members == &all).map(drop));
    };
    together(&others[0]);
    let report = |program: &Program| Client::connect(program.resp).report("FLEET");
    let before = report(&others[0])["view"].clone();
    let mut new = start();
    // New connections come to the newer process.
    eventually("it has the member", || {
        let report = report(&new);
        (report["phase"] == "member" && report["view"] == before).then_some(())
    });
    old.terminate();
    assert!(old.wait().success());
    eventually("it was probed by another", || (report(&new)["peers"][0]["heard_ms"].is_u64()).then_some(()));
    assert_eq!(report(&others[0])["view"], before, "nobody has noticed");
    // The next one dies at once: the one before has the name again, in a later generation.
    let mut third = start();
    third.kill();
    let generation = |view: &serde_json::Value| view["members"][0]["life"].as_u64();
    eventually("it is back in a later generation", || {
        let view = report(&others[0])["view"].clone();
        (generation(&view) > generation(&before)).then_some(())
    });
    together(&others[1]);
    new.terminate();
    assert!(new.wait().success());
    std::fs::remove_dir_all(shared).unwrap();
}

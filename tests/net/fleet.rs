//! Membership among real processes of the program, without network faults; those are tested in the lab.

use crate::helper::*;
use std::net::{SocketAddr, UdpSocket};
use std::process::Stdio;

/// Currently free UDP addresses.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    sockets.iter().map(|socket| socket.local_addr().unwrap()).collect()
}

/// The fleet settings file of the seed at position `own`.
fn file(addresses: &[SocketAddr], own: usize) -> String {
    let seeds = addresses.iter().enumerate();
    let seeds: String =
        seeds.map(|(at, address)| format!("[[seed]]\nname = \"m{at}\"\naddress = \"{address}\"\n")).collect();
    format!(
        "enabled = true\nfleet = \"test\"\nname = \"m{own}\"\naddress = \"{}\"\nperiod_ms = 100\nanswer_ms = 30\n{seeds}",
        addresses[own]
    )
}

/// Names in the view of a process, once it is a member.
fn view(program: &Program) -> Option<Vec<String>> {
    let report = Client::connect(program.resp).report("FLEET");
    let members = report["view"]["members"].as_array().filter(|_| report["phase"] == "member")?;
    Some(members.iter().map(|member| member["name"].as_str().unwrap().to_string()).collect())
}

#[test]
fn a_majority_of_seeds_bootstraps_a_fleet_a_third_joins_and_leaves_when_terminated() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let addresses = free_addresses(3);
    let start =
        |own: usize| Program::start(&discovery, Setup { fleet: file(&addresses, own), ..Setup::default() });
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
    client.request(1, 3, "", None);
    assert_eq!(bytes(client.receive()), b"0000000000000001");
}

#[test]
fn settings_without_peers_keep_the_fleet_disabled() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let addresses = free_addresses(1);
    let setup = Setup { fleet: file(&addresses, 0), no_peers: true, ..Setup::default() };
    let program = Program::start(&discovery, setup);
    assert!(!Client::connect(program.resp).info().contains("fleet_"));
    assert!(UdpSocket::bind(addresses[0]).is_ok(), "the port is not in use");
}

#[test]
fn an_invalid_fleet_file_is_reported_in_one_line() {
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
fn an_upgrade_keeps_the_member_and_a_crashed_successor_returns_it_as_a_later_generation() {
    let node = Node::echo();
    let discovery = Discovery::start(&[("s-1", node.address, 3)]);
    let (addresses, shared, listen) = (free_addresses(3), test_dir(), free_address());
    let others: Vec<Program> = (1..3)
        .map(|own| Program::start(&discovery, Setup { fleet: file(&addresses, own), ..Setup::default() }))
        .collect();
    let start = || {
        let (listen, shared) = (Some(listen), Some(shared.clone()));
        Program::start(&discovery, Setup { fleet: file(&addresses, 0), listen, shared, ..Setup::default() })
    };
    let mut old = start();
    let all = ["m0", "m1", "m2"];
    let wait_until_joined = |program: &Program| {
        eventually("the view", || view(program).filter(|members| members == &all).map(drop));
    };
    wait_until_joined(&others[0]);
    let report = |program: &Program| Client::connect(program.resp).report("FLEET");
    let before = report(&others[0])["view"].clone();
    let mut new = start();
    // New connections reach the newer process.
    eventually("the newer process has the member", || {
        let report = report(&new);
        (report["phase"] == "member" && report["view"] == before).then_some(())
    });
    old.terminate();
    assert!(old.wait().success());
    eventually("another member has probed it", || {
        (report(&new)["peers"][0]["heard_ms"].is_u64()).then_some(())
    });
    assert_eq!(report(&others[0])["view"], before, "the others have not noticed the upgrade");
    // The third process crashes at once: the second joins again under the name, as a later generation.
    let mut third = start();
    third.kill();
    let generation = |view: &serde_json::Value| view["members"][0]["life"].as_u64();
    eventually("the member is back in a later generation", || {
        let view = report(&others[0])["view"].clone();
        (generation(&view) > generation(&before)).then_some(())
    });
    wait_until_joined(&others[1]);
    new.terminate();
    assert!(new.wait().success());
    std::fs::remove_dir_all(shared).unwrap();
}

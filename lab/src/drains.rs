//! `topazpath-lab drains`: from a drain's announcement to the last attempt at the node, and what the node list costs, where
//! discovery is asked and the grace is half a second. Real processes, nodes that write down every attempt.

use crate::arguments::Common;
use crate::load::configuration;
use crate::stand_ins::service::{node, Attempts, ListedNode, Registry};
use crate::vrrp::experiments::percentiles_ms;
use serde_json::{json, Map};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use topazpath::resp;

/// Initiators, and requests a second of each.
const HOSTS: usize = 4;
const RATE: u32 = 150;
/// The grace that [`configuration`] states, and what is allowed beyond it on a real machine.
const GRACE: Duration = Duration::from_millis(500);
const LATE: Duration = Duration::from_millis(50);
/// Shards of the nodes: the last node is alone on its own.
const SHARDS: [u32; 5] = [0, 0, 1, 1, 2];
/// The nodes that drain in turn: one of two on its shard, and the one that is alone.
const VICTIMS: [usize; 2] = [0, 4];

/// The processes, ended with this.
struct Hosts {
    children: Vec<Child>,
    folder: std::path::PathBuf,
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for child in &mut self.children {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        // What is left of a folder is the system's to clean.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Hosts {
    fn start(program: &Path, listens: &[SocketAddr], discovery: SocketAddr) -> std::io::Result<Hosts> {
        let folder = std::env::temp_dir().join(format!("topazpath-drains-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut hosts = Hosts { children: Vec::new(), folder };
        for (at, listen) in listens.iter().enumerate() {
            let file = hosts.folder.join(format!("config-{at}.json"));
            let text = configuration(*listen, discovery);
            std::fs::write(&file, text.replace("\"siblings\":1", &format!("\"siblings\":{HOSTS}")))?;
            let mut command = Command::new(program);
            command.env("NODE_CONFIG", file).env("TMPDIR", &hosts.folder);
            for part in ["TOPAZPATH_ISCSI", "TOPAZPATH_PLANNERS", "TOPAZPATH_VRRP", "TOPAZPATH_FLEET"] {
                command.env(part, hosts.folder.join("none"));
            }
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            hosts.children.push(command.spawn()?);
        }
        Ok(hosts)
    }
}

/// Asks for pieces of all shards in turn until it is over; requests without an answer end its connection.
fn client(listen: SocketAddr, over: &AtomicBool) {
    let (mut number, mut stream) = (0_u64, None::<TcpStream>);
    while !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_secs(1) / RATE);
        number += 1;
        let shard = SHARDS[number as usize % SHARDS.len()];
        let id = format!("{:08x}{number:08x}", listen.port());
        let list =
            format!("c=read,t=basic,d=2500,volume=00000000000000a{shard},units=1,shard={shard},hosts=1");
        // A piece lies on one shard.
        let piece = format!("{:016x}", 0xa0 + shard);
        let words = [&b"OBJ.GET"[..], piece.as_bytes(), id.as_bytes(), list.as_bytes()];
        let asked = stream.take().or_else(|| {
            let stream = TcpStream::connect(listen).ok()?;
            stream.set_nodelay(true).and(stream.set_read_timeout(Some(Duration::from_secs(3)))).ok()?;
            Some(stream)
        });
        let Some(mut asked) = asked else { continue };
        let mut bytes = [0; 4096];
        if asked.write_all(&resp::command(&words)).is_ok() && asked.read(&mut bytes).is_ok_and(|it| it > 0) {
            stream = Some(asked);
        }
    }
}

fn list(nodes: &[SocketAddr], renamed: usize, leaves: Option<usize>) -> Vec<ListedNode> {
    let line = |(at, address): (usize, &SocketAddr)| ListedNode {
        name: format!("s-{at}-{renamed}"),
        address: *address,
        shard: SHARDS[at],
        status: if leaves == Some(at) { "leaving" } else { "active" },
        in_slow_start: false,
    };
    nodes.iter().enumerate().map(line).collect()
}

/// True if no attempt came later than the grace allows.
pub fn run(arguments: &Common) -> Result<bool, String> {
    let told = |error: std::io::Error| error.to_string();
    let program = crate::vrrp::experiments::program()?;
    let ip = |last| Ipv4Addr::new(127, 140, std::process::id() as u8, last);
    let attempts = Attempts::default();
    let nodes: Vec<SocketAddr> = (0..SHARDS.len())
        .map(|at| node(ip(20), at, Duration::from_millis(5), attempts.clone()))
        .collect::<Result<_, _>>()
        .map_err(told)?;
    let registry = Registry::start(ip(21), list(&nodes, 0, None)).map_err(told)?;
    let listens: Vec<SocketAddr> = (1..=HOSTS as u8)
        .map(|last| TcpListener::bind((ip(last), 0)).and_then(|listener| listener.local_addr()))
        .collect::<Result<_, _>>()
        .map_err(told)?;
    let _hosts = Hosts::start(&program, &listens, registry.address).map_err(told)?;
    for listen in &listens {
        let start = Instant::now();
        while TcpStream::connect(listen).is_err() {
            if start.elapsed() > Duration::from_secs(10) {
                return Err("a process does not start".into());
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    let over = AtomicBool::new(false);
    let repeats = if arguments.short { 4 } else { 25 };
    let (others, last, asked, lines, time) = thread::scope(|scope| {
        listens.iter().for_each(|listen| {
            let over = &over;
            scope.spawn(move || client(*listen, over));
        });
        thread::sleep(Duration::from_secs(1));
        let (begun, calls) = (Instant::now(), registry.calls());
        let (mut others, mut last) = (Vec::new(), Vec::new());
        for repeat in 0..repeats {
            for (victim, seen) in [(VICTIMS[0], &mut others), (VICTIMS[1], &mut last)] {
                let announced = Instant::now();
                registry.set_list(list(&nodes, repeat, Some(victim)));
                thread::sleep(GRACE * 2);
                let attempts = crate::sync::lock(&attempts);
                // Nodes write down side by side, so that the order is not quite that of time.
                let after = attempts.iter().filter(|it| it.at > announced && it.node == victim);
                let at = after.map(|it| it.at - announced).max();
                seen.push(at.unwrap_or_default());
                drop(attempts);
                // It comes again under another name.
                registry.set_list(list(&nodes, repeat + 1, None));
                thread::sleep(Duration::from_millis(300));
            }
        }
        let (time, after) = (begun.elapsed().as_secs_f64(), registry.calls());
        over.store(true, Ordering::Relaxed);
        (others, last, after.0 - calls.0, after.1 - calls.1, time)
    });
    let (of_others, of_last) = (percentiles_ms(&others), percentiles_ms(&last));
    let (calls, lines) = (asked as f64 / time, lines as f64 / time);
    let attempts = crate::sync::lock(&attempts);
    let seen = attempts.len();
    let least = VICTIMS.iter().map(|at| attempts.iter().filter(|it| it.node == *at).count()).min();
    if least < Some(repeats * 10) {
        return Err(format!("a node saw {least:?} attempts: too few to tell"));
    }
    let late = others.iter().chain(&last).filter(|at| **at > GRACE + LATE).count();
    println!(
        "from the announcement to the last attempt, ms: others hold the shard p50 {:.1} p99 {:.1} max {:.1}; the last of its shard p50 {:.1} p99 {:.1} max {:.1}; beyond the grace {late}",
        of_others[0], of_others[1], of_others[2], of_last[0], of_last[1], of_last[2]
    );
    println!("{seen} attempts");
    println!("discovery: {calls:.2} calls and {lines:.1} lines a second of {HOSTS} initiators, {} changes in {time:.0} s", 4 * repeats);
    let mut report = Map::new();
    report.insert("others_hold_ms".into(), json!(of_others));
    report.insert("last_of_shard_ms".into(), json!(of_last));
    report.insert("beyond_grace".into(), json!(late));
    report.insert("calls_per_second".into(), json!(calls));
    report.insert("lines_per_second".into(), json!(lines));
    arguments.finish(report);
    Ok(late == 0)
}

//! `topazpath-lab drains`: measures the time from a drain's announcement to the last attempt at the node, and the
//! cost of the node list, with discovery by request and a grace of half a second. Initiators are real processes;
//! stand-in nodes record every attempt.

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

/// Number of initiators, and requests per second to each.
const INITIATORS: usize = 4;
const REQUESTS_PER_SECOND: u32 = 150;
/// The drain grace in [`configuration`], and the tolerance on it for delays of a real machine.
const GRACE: Duration = Duration::from_millis(500);
const TOLERANCE: Duration = Duration::from_millis(50);
/// Shard of each node; the last node has its shard alone.
const SHARDS: [u32; 5] = [0, 0, 1, 1, 2];
/// The nodes that drain in turn: one that shares its shard, and the one that has its shard alone.
const VICTIMS: [usize; 2] = [0, 4];

/// The initiators' processes, killed when this is dropped.
struct Initiators {
    children: Vec<Child>,
    folder: std::path::PathBuf,
}

impl Drop for Initiators {
    fn drop(&mut self) {
        for child in &mut self.children {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        // A remainder is left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Initiators {
    fn start(
        program: &Path,
        listen_addresses: &[SocketAddr],
        discovery: SocketAddr,
    ) -> std::io::Result<Initiators> {
        let folder = std::env::temp_dir().join(format!("topazpath-drains-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut initiators = Initiators { children: Vec::new(), folder };
        for (at, listen) in listen_addresses.iter().enumerate() {
            let file = initiators.folder.join(format!("config-{at}.json"));
            let text = configuration(*listen, discovery);
            std::fs::write(&file, text.replace("\"siblings\":1", &format!("\"siblings\":{INITIATORS}")))?;
            let mut command = Command::new(program);
            command.env("NODE_CONFIG", file).env("TMPDIR", &initiators.folder);
            for file in ["TOPAZPATH_ISCSI", "TOPAZPATH_PLANNERS", "TOPAZPATH_VRRP", "TOPAZPATH_FLEET"] {
                command.env(file, initiators.folder.join("none"));
            }
            command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            initiators.children.push(command.spawn()?);
        }
        Ok(initiators)
    }
}

/// Requests objects of all shards in turn until `stop` is set. A request without an answer closes the connection.
fn client(listen: SocketAddr, stop: &AtomicBool) {
    let (mut number, mut stream) = (0_u64, None::<TcpStream>);
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_secs(1) / REQUESTS_PER_SECOND);
        number += 1;
        let shard = SHARDS[number as usize % SHARDS.len()];
        let id = format!("{:08x}{number:08x}", listen.port());
        let attributes =
            format!("c=read,t=basic,d=2500,volume=00000000000000a{shard},units=1,shard={shard},hosts=1");
        // An object belongs to one shard.
        let object = format!("{:016x}", 0xa0 + shard);
        let words = [&b"OBJ.GET"[..], object.as_bytes(), id.as_bytes(), attributes.as_bytes()];
        let connection = stream.take().or_else(|| {
            let stream = TcpStream::connect(listen).ok()?;
            stream.set_nodelay(true).and(stream.set_read_timeout(Some(Duration::from_secs(3)))).ok()?;
            Some(stream)
        });
        let Some(mut connection) = connection else { continue };
        let mut bytes = [0; 4096];
        if connection.write_all(&resp::command(&words)).is_ok()
            && connection.read(&mut bytes).is_ok_and(|it| it > 0)
        {
            stream = Some(connection);
        }
    }
}

fn list(nodes: &[SocketAddr], generation: usize, leaving: Option<usize>) -> Vec<ListedNode> {
    let entry = |(at, address): (usize, &SocketAddr)| ListedNode {
        name: format!("s-{at}-{generation}"),
        address: *address,
        shard: SHARDS[at],
        status: if leaving == Some(at) { "leaving" } else { "active" },
        in_slow_start: false,
    };
    nodes.iter().enumerate().map(entry).collect()
}

/// Runs the subcommand. Returns true if no attempt arrived after the grace.
pub fn run(arguments: &Common) -> Result<bool, String> {
    let error_text = |error: std::io::Error| error.to_string();
    let program = crate::vrrp::experiments::program()?;
    let ip = |last| Ipv4Addr::new(127, 140, std::process::id() as u8, last);
    let attempts = Attempts::default();
    let nodes: Vec<SocketAddr> = (0..SHARDS.len())
        .map(|at| node(ip(20), at, Duration::from_millis(5), attempts.clone()))
        .collect::<Result<_, _>>()
        .map_err(error_text)?;
    let discovery = Registry::start(ip(21), list(&nodes, 0, None)).map_err(error_text)?;
    let listen_addresses: Vec<SocketAddr> = (1..=INITIATORS as u8)
        .map(|last| TcpListener::bind((ip(last), 0)).and_then(|listener| listener.local_addr()))
        .collect::<Result<_, _>>()
        .map_err(error_text)?;
    let _initiators =
        Initiators::start(&program, &listen_addresses, discovery.address).map_err(error_text)?;
    for listen in &listen_addresses {
        let start = Instant::now();
        while TcpStream::connect(listen).is_err() {
            if start.elapsed() > Duration::from_secs(10) {
                return Err("an initiator does not accept clients".into());
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    let stop = AtomicBool::new(false);
    let repeats = if arguments.short { 4 } else { 25 };
    let (others, last, call_count, lines, time) = thread::scope(|scope| {
        listen_addresses.iter().for_each(|listen| {
            let stop = &stop;
            scope.spawn(move || client(*listen, stop));
        });
        thread::sleep(Duration::from_secs(1));
        let (start, calls) = (Instant::now(), discovery.calls());
        let (mut others, mut last) = (Vec::new(), Vec::new());
        for repeat in 0..repeats {
            for (victim, times) in [(VICTIMS[0], &mut others), (VICTIMS[1], &mut last)] {
                let announced = Instant::now();
                discovery.set_list(list(&nodes, repeat, Some(victim)));
                thread::sleep(GRACE * 2);
                let attempts = crate::sync::lock(&attempts);
                // Nodes record concurrently, so that attempts are not strictly in order of time.
                let after = attempts.iter().filter(|it| it.at > announced && it.node == victim);
                let at = after.map(|it| it.at - announced).max();
                times.push(at.unwrap_or_default());
                drop(attempts);
                // The node is listed again under another name.
                discovery.set_list(list(&nodes, repeat + 1, None));
                thread::sleep(Duration::from_millis(300));
            }
        }
        let (time, after) = (start.elapsed().as_secs_f64(), discovery.calls());
        stop.store(true, Ordering::Relaxed);
        (others, last, after.0 - calls.0, after.1 - calls.1, time)
    });
    let (others_spread, last_spread) = (percentiles_ms(&others), percentiles_ms(&last));
    let (calls, lines) = (call_count as f64 / time, lines as f64 / time);
    let attempts = crate::sync::lock(&attempts);
    let count = attempts.len();
    let min = VICTIMS.iter().map(|at| attempts.iter().filter(|it| it.node == *at).count()).min();
    if min < Some(repeats * 10) {
        return Err(format!("a node received {min:?} attempts: too few for a result"));
    }
    let late = others.iter().chain(&last).filter(|at| **at > GRACE + TOLERANCE).count();
    println!("from the announcement to the last attempt, ms: others hold the shard p50 {:.1} p99 {:.1} max {:.1}; the last of its shard p50 {:.1} p99 {:.1} max {:.1}; beyond the grace {late}", others_spread[0], others_spread[1], others_spread[2], last_spread[0], last_spread[1], last_spread[2]);
    println!("{count} attempts");
    println!("discovery: {calls:.2} calls and {lines:.1} lines a second of {INITIATORS} initiators, {} changes in {time:.0} s", 4 * repeats);
    let mut report = Map::new();
    report.insert("others_hold_ms".into(), json!(others_spread));
    report.insert("last_of_shard_ms".into(), json!(last_spread));
    report.insert("beyond_grace".into(), json!(late));
    report.insert("calls_per_second".into(), json!(calls));
    report.insert("lines_per_second".into(), json!(lines));
    arguments.finish(report);
    Ok(late == 0)
}

//! `topazpath-lab load`: what a request costs the real program in processor time, and what it does when it has too
//! little of it. Open loop: requests have intended times, drawn ahead, and latencies count from those. With `--against`
//! another build of the program is measured in the same run, play by play in turn.

use crate::arguments::Common;
use crate::stand_ins::nodes::{Nodes, VALUE};
use crate::stand_ins::service::{ListedNode, Registry};
use hdrhistogram::Histogram;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Map};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What clients of reads and uploads wait for at most, in milliseconds; answers within the first count as in time.
const AIM: Duration = Duration::from_millis(400);
const DEADLINE_MS: u64 = 2500;
/// Connections that clients may have together.
const MOST_CONNECTIONS: usize = 300;
/// How often the allowance is looked after.
const PERIOD: Duration = Duration::from_millis(20);

/// Options of the experiment.
#[derive(clap::Args)]
pub struct Options {
    #[command(flatten)]
    pub common: Common,
    /// Another build of the program, measured beside this one.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Only this play.
    #[arg(long)]
    only: Option<String>,
    /// How often each play is played with each build.
    #[arg(long, default_value_t = 3)]
    repeats: usize,
}

/// One play.
#[derive(Clone, Copy)]
struct Play {
    name: &'static str,
    nodes: usize,
    /// How long nodes take.
    takes: Duration,
    /// Requests a second.
    rate: f64,
    /// Every request comes on a connection of its own.
    new: bool,
    /// Clients close their connection when no answer has come by then.
    leaves: Option<Duration>,
    /// Part of a core that the program may use.
    cores: Option<f64>,
}

const AT_ONCE: Play = Play {
    name: "served_8",
    nodes: 8,
    takes: Duration::ZERO,
    rate: 2000.0,
    new: false,
    leaves: None,
    cores: None,
};
const SLOW: Duration = Duration::from_millis(200);

const PLAYS: [Play; 7] = [
    AT_ONCE,
    Play { name: "served_60", nodes: 60, ..AT_ONCE },
    Play { name: "served_200", nodes: 200, ..AT_ONCE },
    Play { name: "served_new", new: true, rate: 1000.0, ..AT_ONCE },
    Play { name: "refused_8", takes: SLOW, rate: 4000.0, ..AT_ONCE },
    Play {
        name: "abandoned_8",
        takes: SLOW,
        rate: 1000.0,
        leaves: Some(Duration::from_millis(50)),
        ..AT_ONCE
    },
    Play { name: "allowance_8", rate: 8000.0, cores: Some(0.3), ..AT_ONCE },
];

/// What a play came to.
#[derive(Clone, Debug, Default)]
struct Played {
    sent: u64,
    in_time: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Connections closed by the program under a request, and clients that left.
    closed: u64,
    left: u64,
    /// Requests that found no connection.
    none_free: u64,
    /// Processor time of the program.
    cpu: Duration,
    /// Latency of served requests, in microseconds from the intended time.
    p50: u64,
    p99: u64,
}

impl Played {
    fn cost(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / (self.sent.max(1)) as f64
    }
}

/// True if every play of this build was played to its end.
pub fn run(options: &Options) -> Result<bool, String> {
    let own = crate::vrrp::experiments::program()?;
    let time = Duration::from_secs(if options.common.short { 2 } else { 5 });
    let plays: Vec<Play> = PLAYS
        .into_iter()
        .filter(|play| options.only.as_deref().is_none_or(|only| only == play.name))
        .collect();
    if plays.is_empty() {
        let names: Vec<&str> = PLAYS.iter().map(|play| play.name).collect();
        return Err(format!("--only: one of {} is allowed", names.join(", ")));
    }
    let mut builds = vec![("this", own.as_path())];
    builds.extend(options.against.as_deref().map(|path| ("against", path)));
    let mut report = Map::new();
    for play in plays {
        let mut costs: Vec<Vec<f64>> = vec![Vec::new(); builds.len()];
        for repeat in 0..options.repeats {
            for (at, (build, program)) in builds.iter().enumerate() {
                let played = one(program, &play, time, options.common.seed + repeat as u64)?;
                let in_time = played.in_time as f64 / played.sent.max(1) as f64;
                println!(
                    "{:12} {build:8} cpu/request {:7.1} us  in time {in_time:.3}  p50 {} us  p99 {} us  {played:?}",
                    play.name,
                    played.cost(),
                    played.p50,
                    played.p99
                );
                costs[at].push(played.cost());
                report.insert(
                    format!("{}_{build}_{repeat}", play.name),
                    json!({
                        "cpu_us_a_request": played.cost(), "in_time": in_time, "p50_us": played.p50,
                        "p99_us": played.p99, "sent": played.sent, "served": played.served,
                        "refused": played.refused, "failed": played.failed, "closed": played.closed,
                        "left": played.left, "none_free": played.none_free,
                    }),
                );
            }
        }
        if let [this, before] = costs.as_slice() {
            let ratio = median(this) / median(before);
            println!("{:12} this / against {ratio:.2} (medians)", play.name);
            report.insert(format!("{}_ratio", play.name), json!(ratio));
        }
    }
    options.common.finish(report);
    Ok(true)
}

fn median(figures: &[f64]) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// The program, ended with this.
struct Program {
    child: Child,
    folder: PathBuf,
    ended: Arc<AtomicBool>,
    governor: Option<thread::JoinHandle<()>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(governor) = self.governor.take() {
            // A panic there has been told on standard error.
            let _ = governor.join();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        // What is left of a folder is the system's to clean.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Processor time that a process's one thread has used.
pub fn processor(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    Duration::from_nanos(text.split(' ').next().and_then(|it| it.parse().ok()).unwrap_or(0))
}

/// Stops a process for the rest of each period once it has used its part of it; what it used too much is taken off
/// the next.
fn govern(process: u32, cores: f64, ended: &AtomicBool) {
    let signal = |name: &str| {
        let number = if name == "STOP" { nix::sys::signal::SIGSTOP } else { nix::sys::signal::SIGCONT };
        // One that has ended hears nothing.
        let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(process as i32), number);
    };
    let (start, before) = (Instant::now(), processor(process));
    let mut stopped = false;
    while !ended.load(Ordering::Relaxed) {
        let allowed = (start.elapsed() + PERIOD).mul_f64(cores);
        let over = processor(process) - before > allowed;
        if over != stopped {
            signal(if over { "STOP" } else { "CONT" });
            stopped = over;
        }
        thread::sleep(PERIOD / 20);
    }
    if stopped {
        signal("CONT");
    }
}

fn one(program: &Path, play: &Play, time: Duration, seed: u64) -> Result<Played, String> {
    let told = |error: std::io::Error| error.to_string();
    let ip = Ipv4Addr::new(127, 130, std::process::id() as u8, 1);
    let nodes = Nodes::start(ip, play.nodes, play.takes).map_err(told)?;
    let list = nodes.addresses.iter().enumerate().map(|(number, address)| ListedNode {
        name: format!("s-{number}"),
        address: *address,
        shard: number as u32,
        status: "active",
        in_slow_start: false,
    });
    let registry = Registry::start(ip, list.collect()).map_err(told)?;
    let listen = TcpListener::bind((ip, 0)).and_then(|free| free.local_addr()).map_err(told)?;
    let folder = std::env::temp_dir().join(format!("topazpath-load-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(told)?;
    std::fs::write(folder.join("config.json"), configuration(listen, registry.address)).map_err(told)?;
    let mut command = Command::new(program);
    command.env("NODE_CONFIG", folder.join("config.json")).env("TMPDIR", &folder);
    for file in ["TOPAZPATH_ISCSI", "TOPAZPATH_PLANNERS", "TOPAZPATH_VRRP", "TOPAZPATH_FLEET"] {
        command.env(file, folder.join("none"));
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    let child = command.spawn().map_err(told)?;
    let (process, ended) = (child.id(), Arc::new(AtomicBool::new(false)));
    let mut program = Program { child, folder, ended: ended.clone(), governor: None };
    let start = Instant::now();
    while std::net::TcpStream::connect(listen).is_err() {
        if start.elapsed() > Duration::from_secs(5) {
            return Err("the program does not start".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    // Its first list comes after a drawn pause.
    thread::sleep(Duration::from_millis(300));
    let mut clients = Clients::new(listen, *play, seed).map_err(told)?;
    // Connections are made and figures learned before it counts.
    clients.run(Duration::from_millis(500)).map_err(told)?;
    clients.played = Played::default();
    clients.latencies.reset();
    if let Some(cores) = play.cores {
        program.governor = Some(thread::spawn(move || govern(process, cores, &ended)));
    }
    let before = processor(process);
    clients.run(time).map_err(told)?;
    let mut played = clients.played.clone();
    played.cpu = processor(process) - before;
    (played.p50, played.p99) =
        (clients.latencies.value_at_quantile(0.5), clients.latencies.value_at_quantile(0.99));
    Ok(played)
}

pub fn configuration(listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":0.3,"memory_mb":192,"sockets":1024}},"known":null,
 "settings":{{"siblings":1,"tick_ms":2.0,"discovery":"on_request","zones":["z"],
 "classes":[
  {{"name":"read","aim_ms":{},"hard_limit_ms":{DEADLINE_MS},"worth":2,"late_worth":0.1,"effect":"read_like"}},
  {{"name":"upload","aim_ms":600,"hard_limit_ms":5000,"worth":2,"late_worth":0.2,"effect":"non_idempotent"}}],
 "service_levels":[
  {{"name":"basic","base_rate":30,"guaranteed":9,"value_factor":0.8}},
  {{"name":"priority","base_rate":90,"guaranteed":108,"parts":3,"value_factor":1.5}}],
 "domain":{{"largest":8,"unit_mean":2,"share_worth":0.3,"idle_worth":0.08,"young_limit":34}},
 "contract":{{"grace_to_answer_ms":8,"drain_grace_ms":500,"cold_from":0.18,"warm_after_ms":15000,"tip_multiple":3,"fall_ms":1000}},
 "limits":{{"attempts_cap":3,"connect_timeout_ms":250,"conn_idle_ms":30000,"retry_after":false,"may_cancel":true}}}}}}"#,
        AIM.as_millis()
    )
}

struct Connection {
    stream: TcpStream,
    /// The intended time of what it waits for.
    asked: Option<Instant>,
    sent: Instant,
    up: bool,
    output: Vec<u8>,
    input: Vec<u8>,
}

struct Clients {
    poll: Poll,
    address: SocketAddr,
    play: Play,
    random: ChaCha8Rng,
    connections: Vec<Option<Connection>>,
    idle: Vec<usize>,
    /// Intended times of requests that found no connection yet.
    waiting: VecDeque<Instant>,
    next: Instant,
    number: u64,
    played: Played,
    latencies: Histogram<u64>,
}

impl Clients {
    fn new(address: SocketAddr, play: Play, seed: u64) -> std::io::Result<Clients> {
        Ok(Clients {
            poll: Poll::new()?,
            address,
            play,
            random: ChaCha8Rng::seed_from_u64(seed),
            connections: (0..MOST_CONNECTIONS).map(|_| None).collect(),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            next: Instant::now(),
            number: 0,
            played: Played::default(),
            latencies: Histogram::new_with_bounds(1, 60_000_000, 3).map_err(std::io::Error::other)?,
        })
    }

    /// Sends and reads for a time.
    fn run(&mut self, time: Duration) -> std::io::Result<()> {
        let end = Instant::now() + time;
        let mut events = Events::with_capacity(1024);
        self.next = Instant::now();
        while Instant::now() < end {
            let now = Instant::now();
            while self.next <= now {
                self.waiting.push_back(self.next);
                let drawn = -(1.0 - self.random.random::<f64>()).ln() / self.play.rate;
                self.next += Duration::from_secs_f64(drawn);
            }
            self.send(now)?;
            if let Some(patience) = self.play.leaves {
                for id in 0..self.connections.len() {
                    let late = |it: &Connection| it.asked.is_some() && now - it.sent > patience;
                    if self.connections[id].as_ref().is_some_and(late) {
                        self.connections[id] = None;
                        self.played.left += 1;
                    }
                }
            }
            let wait = self.next.saturating_duration_since(Instant::now()).min(Duration::from_millis(5));
            self.poll.poll(&mut events, Some(wait))?;
            let ready: Vec<usize> = events.iter().map(|event| event.token().0).collect();
            ready.into_iter().for_each(|id| self.ready(id));
        }
        Ok(())
    }

    fn send(&mut self, now: Instant) -> std::io::Result<()> {
        while let Some(intended) = self.waiting.front().copied() {
            if now - intended > Duration::from_millis(DEADLINE_MS) {
                self.waiting.pop_front();
                self.played.sent += 1;
                self.played.none_free += 1;
                continue;
            }
            let id = match self.idle.pop() {
                Some(id) => id,
                None => {
                    let Some(id) = self.connections.iter().position(Option::is_none) else { return Ok(()) };
                    let mut stream = TcpStream::connect(self.address)?;
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    self.poll.registry().register(&mut stream, Token(id), interest)?;
                    let (input, output) = (Vec::new(), Vec::new());
                    let connection = Connection { stream, asked: None, sent: now, up: false, output, input };
                    self.connections[id] = Some(connection);
                    id
                }
            };
            self.waiting.pop_front();
            let command = self.command();
            self.played.sent += 1;
            if let Some(connection) = &mut self.connections[id] {
                (connection.asked, connection.sent) = (Some(intended), now);
                connection.output.extend(command);
                if connection.up {
                    flush(connection);
                }
            }
        }
        Ok(())
    }

    fn command(&mut self) -> Vec<u8> {
        self.number += 1;
        let random = &mut self.random;
        let (volume, plan) =
            (random.random_range(0..64_u64), ["basic", "priority"][random.random_range(0..2)]);
        let (object, id, units) = (random.random::<u64>(), self.number, random.random_range(1..=3_u32));
        let upload = random.random::<f64>() < 0.35;
        let shard = if upload { -1 } else { random.random_range(0..self.play.nodes as i64) };
        let class = if upload { "upload" } else { "read" };
        let list = format!(
            "c={class},t={plan},d={DEADLINE_MS},volume={volume:016x},units={units},shard={shard},hosts=1"
        );
        let (object, id) = (format!("{object:016x}"), format!("{id:016x}"));
        let mut words = vec![if upload { "OBJ.PUT" } else { "OBJ.GET" }, &object, &id, &list];
        if upload {
            words.push("hello");
        }
        let words: Vec<&[u8]> = words.into_iter().map(str::as_bytes).collect();
        topazpath::resp::command(&words)
    }

    fn ready(&mut self, id: usize) {
        let Some(connection) = &mut self.connections[id] else { return };
        if !connection.up {
            if connection.stream.peer_addr().is_err() {
                return;
            }
            connection.up = true;
            // Without it requests still go out, only later.
            let _ = connection.stream.set_nodelay(true);
        }
        flush(connection);
        let mut bytes = [0; 4096];
        let ended = loop {
            match connection.stream.read(&mut bytes) {
                Ok(0) => break true,
                Ok(count) => connection.input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break false,
                Err(_) => break true,
            }
        };
        let whole = connection.input.ends_with(b"\r\n")
            && (connection.input[0] != b'$' || connection.input.ends_with(&[VALUE, b"\r\n"].concat()));
        let answered = whole.then(|| connection.asked.take()).flatten();
        if let Some(intended) = answered {
            match connection.input[0] {
                b'$' => {
                    let took = intended.elapsed();
                    self.played.served += 1;
                    self.played.in_time += u64::from(took <= AIM);
                    // Bounded by the time of a play, within what the histogram takes.
                    self.latencies.saturating_record(took.as_micros() as u64);
                }
                _ if connection.input.starts_with(b"-BUSY") => self.played.refused += 1,
                _ => self.played.failed += 1,
            }
            connection.input.clear();
        }
        if ended || (answered.is_some() && self.play.new) {
            self.played.closed += u64::from(connection.asked.is_some());
            self.connections[id] = None;
            self.idle.retain(|other| *other != id);
        } else if answered.is_some() {
            self.idle.push(id);
        }
    }
}

/// Writes what goes. A broken connection shows when it is read.
fn flush(connection: &mut Connection) {
    while !connection.output.is_empty() {
        match connection.stream.write(&connection.output) {
            Ok(count) => drop(connection.output.drain(..count)),
            Err(_) => return,
        }
    }
}

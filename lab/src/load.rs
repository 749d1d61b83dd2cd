//! `topazpath-lab load`: measures the real program's processor time per request, and its behaviour when it has too
//! little of it. The load is an open loop: requests have random intended times, and latencies are measured from
//! these. With `--against` another build of the program is measured in the same run, alternating with this one.

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

/// Latency up to which an answer counts as in time, and the deadline of all requests in milliseconds.
const AIM: Duration = Duration::from_millis(400);
const DEADLINE_MS: u64 = 2500;
/// Maximum number of client connections.
const MAX_CONNECTIONS: usize = 300;
/// Period over which the program's processor time is limited.
const LIMIT_PERIOD: Duration = Duration::from_millis(20);

/// Options of the experiment.
#[derive(clap::Args)]
pub struct Options {
    #[command(flatten)]
    pub common: Common,
    /// Another build of the program to compare with.
    #[arg(long)]
    against: Option<PathBuf>,
    /// Run only this workload.
    #[arg(long)]
    only: Option<String>,
    /// Runs of each workload with each build.
    #[arg(long, default_value_t = 3)]
    repeats: usize,
}

/// A workload.
#[derive(Clone, Copy)]
struct Workload {
    name: &'static str,
    nodes: usize,
    /// Service time of the nodes.
    service_time: Duration,
    /// Requests per second.
    rate: f64,
    /// Whether every request uses a new connection.
    new_connections: bool,
    /// Time after which clients close a connection without an answer.
    abandon_after: Option<Duration>,
    /// Share of a core that the program may use; `None` for no limit.
    cores: Option<f64>,
}

const FAST: Workload = Workload {
    name: "served_8",
    nodes: 8,
    service_time: Duration::ZERO,
    rate: 2000.0,
    new_connections: false,
    abandon_after: None,
    cores: None,
};
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(200);

const WORKLOADS: [Workload; 7] = [
    FAST,
    Workload { name: "served_60", nodes: 60, ..FAST },
    Workload { name: "served_200", nodes: 200, ..FAST },
    Workload { name: "served_new", new_connections: true, rate: 1000.0, ..FAST },
    Workload { name: "refused_8", service_time: SLOW_SERVICE_TIME, rate: 4000.0, ..FAST },
    Workload {
        name: "abandoned_8",
        service_time: SLOW_SERVICE_TIME,
        rate: 1000.0,
        abandon_after: Some(Duration::from_millis(50)),
        ..FAST
    },
    Workload { name: "allowance_8", rate: 8000.0, cores: Some(0.3), ..FAST },
];

/// Result of a workload.
#[derive(Clone, Debug, Default)]
struct Outcome {
    sent: u64,
    in_time: u64,
    served: u64,
    refused: u64,
    failed: u64,
    /// Connections that the program closed during a request; below it those that clients closed.
    closed: u64,
    left: u64,
    /// Requests dropped because no connection was free.
    none_free: u64,
    /// Processor time of the program.
    cpu: Duration,
    /// Latency of served requests, in microseconds from the intended time.
    p50: u64,
    p99: u64,
}

impl Outcome {
    fn cost(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / (self.sent.max(1)) as f64
    }
}

/// Runs the subcommand. Returns true once every workload has been run; fails if one can't be.
pub fn run(options: &Options) -> Result<bool, String> {
    let this_program = crate::vrrp::experiments::program()?;
    let time = Duration::from_secs(if options.common.short { 2 } else { 5 });
    let workloads: Vec<Workload> = WORKLOADS
        .into_iter()
        .filter(|workload| options.only.as_deref().is_none_or(|only| only == workload.name))
        .collect();
    if workloads.is_empty() {
        let names: Vec<&str> = WORKLOADS.iter().map(|workload| workload.name).collect();
        return Err(format!("--only: one of {} is allowed", names.join(", ")));
    }
    let mut builds = vec![("this", this_program.as_path())];
    builds.extend(options.against.as_deref().map(|path| ("against", path)));
    let mut report = Map::new();
    for workload in workloads {
        let mut costs: Vec<Vec<f64>> = vec![Vec::new(); builds.len()];
        for repeat in 0..options.repeats {
            for (at, (build, program)) in builds.iter().enumerate() {
                let outcome = run_workload(program, &workload, time, options.common.seed + repeat as u64)?;
                let in_time = outcome.in_time as f64 / outcome.sent.max(1) as f64;
                println!("{:12} {build:8} cpu/request {:7.1} us  in time {in_time:.3}  p50 {} us  p99 {} us  {outcome:?}", workload.name, outcome.cost(), outcome.p50, outcome.p99);
                costs[at].push(outcome.cost());
                report.insert(
                    format!("{}_{build}_{repeat}", workload.name),
                    json!({
                        "cpu_us_a_request": outcome.cost(), "in_time": in_time, "p50_us": outcome.p50,
                        "p99_us": outcome.p99, "sent": outcome.sent, "served": outcome.served,
                        "refused": outcome.refused, "failed": outcome.failed, "closed": outcome.closed,
                        "left": outcome.left, "none_free": outcome.none_free,
                    }),
                );
            }
        }
        if let [this, before] = costs.as_slice() {
            let ratio = median(this) / median(before);
            println!("{:12} this / against {ratio:.2} (medians)", workload.name);
            report.insert(format!("{}_ratio", workload.name), json!(ratio));
        }
    }
    options.common.finish(report);
    Ok(true)
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// The program's process, killed when this is dropped.
struct Program {
    child: Child,
    folder: PathBuf,
    stop: Arc<AtomicBool>,
    limiter: Option<thread::JoinHandle<()>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(limiter) = self.limiter.take() {
            // A panic of the thread has been printed to standard error.
            let _ = limiter.join();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        // A remainder is left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Processor time used so far by a process's main thread; 0 if it can't be read.
pub fn processor_time(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    Duration::from_nanos(text.split(' ').next().and_then(|it| it.parse().ok()).unwrap_or(0))
}

/// Limits a process to a share of a core: stops it for the rest of each period once it has used its share. Excess is
/// deducted from the next period.
fn limit_processor_time(process: u32, cores: f64, stop: &AtomicBool) {
    let signal = |name: &str| {
        let number = if name == "STOP" { nix::sys::signal::SIGSTOP } else { nix::sys::signal::SIGCONT };
        // Fails if the process has ended.
        let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(process as i32), number);
    };
    let (start, before) = (Instant::now(), processor_time(process));
    let mut stopped = false;
    while !stop.load(Ordering::Relaxed) {
        let allowed = (start.elapsed() + LIMIT_PERIOD).mul_f64(cores);
        let is_over = processor_time(process) - before > allowed;
        if is_over != stopped {
            signal(if is_over { "STOP" } else { "CONT" });
            stopped = is_over;
        }
        thread::sleep(LIMIT_PERIOD / 20);
    }
    if stopped {
        signal("CONT");
    }
}

fn run_workload(program: &Path, workload: &Workload, time: Duration, seed: u64) -> Result<Outcome, String> {
    let error_text = |error: std::io::Error| error.to_string();
    let ip = Ipv4Addr::new(127, 130, std::process::id() as u8, 1);
    let nodes = Nodes::start(ip, workload.nodes, workload.service_time).map_err(error_text)?;
    let entries = nodes.addresses.iter().enumerate().map(|(number, address)| ListedNode {
        name: format!("s-{number}"),
        address: *address,
        shard: number as u32,
        status: "active",
        in_slow_start: false,
    });
    let discovery = Registry::start(ip, entries.collect()).map_err(error_text)?;
    let listen = TcpListener::bind((ip, 0)).and_then(|free| free.local_addr()).map_err(error_text)?;
    let folder = std::env::temp_dir().join(format!("topazpath-load-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(error_text)?;
    std::fs::write(folder.join("config.json"), configuration(listen, discovery.address))
        .map_err(error_text)?;
    let mut command = Command::new(program);
    command.env("NODE_CONFIG", folder.join("config.json")).env("TMPDIR", &folder);
    for file in ["TOPAZPATH_ISCSI", "TOPAZPATH_PLANNERS", "TOPAZPATH_VRRP", "TOPAZPATH_FLEET"] {
        command.env(file, folder.join("none"));
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    let child = command.spawn().map_err(error_text)?;
    let (process, stop) = (child.id(), Arc::new(AtomicBool::new(false)));
    let mut program = Program { child, folder, stop: stop.clone(), limiter: None };
    let start = Instant::now();
    while std::net::TcpStream::connect(listen).is_err() {
        if start.elapsed() > Duration::from_secs(5) {
            return Err("the program does not accept clients".into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    // The program fetches its first list after a random delay.
    thread::sleep(Duration::from_millis(300));
    let mut clients = Clients::new(listen, *workload, seed).map_err(error_text)?;
    // Warm-up: connections are made and estimates learned before the measurement.
    clients.run(Duration::from_millis(500)).map_err(error_text)?;
    clients.outcome = Outcome::default();
    clients.latencies.reset();
    if let Some(cores) = workload.cores {
        program.limiter = Some(thread::spawn(move || limit_processor_time(process, cores, &stop)));
    }
    let before = processor_time(process);
    clients.run(time).map_err(error_text)?;
    let mut outcome = clients.outcome.clone();
    outcome.cpu = processor_time(process) - before;
    (outcome.p50, outcome.p99) =
        (clients.latencies.value_at_quantile(0.5), clients.latencies.value_at_quantile(0.99));
    Ok(outcome)
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
    /// Intended time of the request in flight.
    intended: Option<Instant>,
    sent: Instant,
    connected: bool,
    output: Vec<u8>,
    input: Vec<u8>,
}

struct Clients {
    poll: Poll,
    address: SocketAddr,
    workload: Workload,
    random: ChaCha8Rng,
    connections: Vec<Option<Connection>>,
    idle: Vec<usize>,
    /// Intended times of requests that wait for a connection.
    queue: VecDeque<Instant>,
    next: Instant,
    number: u64,
    outcome: Outcome,
    latencies: Histogram<u64>,
}

impl Clients {
    fn new(address: SocketAddr, workload: Workload, seed: u64) -> std::io::Result<Clients> {
        Ok(Clients {
            poll: Poll::new()?,
            address,
            workload,
            random: ChaCha8Rng::seed_from_u64(seed),
            connections: (0..MAX_CONNECTIONS).map(|_| None).collect(),
            idle: Vec::new(),
            queue: VecDeque::new(),
            next: Instant::now(),
            number: 0,
            outcome: Outcome::default(),
            latencies: Histogram::new_with_bounds(1, 60_000_000, 3).map_err(std::io::Error::other)?,
        })
    }

    /// Runs the clients for `time`.
    fn run(&mut self, time: Duration) -> std::io::Result<()> {
        let end = Instant::now() + time;
        let mut events = Events::with_capacity(1024);
        self.next = Instant::now();
        while Instant::now() < end {
            let now = Instant::now();
            while self.next <= now {
                self.queue.push_back(self.next);
                let gap = -(1.0 - self.random.random::<f64>()).ln() / self.workload.rate;
                self.next += Duration::from_secs_f64(gap);
            }
            self.send(now)?;
            if let Some(timeout) = self.workload.abandon_after {
                for id in 0..self.connections.len() {
                    let is_abandoned = |it: &Connection| it.intended.is_some() && now - it.sent > timeout;
                    if self.connections[id].as_ref().is_some_and(is_abandoned) {
                        self.connections[id] = None;
                        self.outcome.left += 1;
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
        while let Some(intended) = self.queue.front().copied() {
            if now - intended > Duration::from_millis(DEADLINE_MS) {
                self.queue.pop_front();
                self.outcome.sent += 1;
                self.outcome.none_free += 1;
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
                    let connection =
                        Connection { stream, intended: None, sent: now, connected: false, output, input };
                    self.connections[id] = Some(connection);
                    id
                }
            };
            self.queue.pop_front();
            let command = self.command();
            self.outcome.sent += 1;
            if let Some(connection) = &mut self.connections[id] {
                (connection.intended, connection.sent) = (Some(intended), now);
                connection.output.extend(command);
                if connection.connected {
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
        let shard = if upload { -1 } else { random.random_range(0..self.workload.nodes as i64) };
        let class = if upload { "upload" } else { "read" };
        let attributes = format!(
            "c={class},t={plan},d={DEADLINE_MS},volume={volume:016x},units={units},shard={shard},hosts=1"
        );
        let (object, id) = (format!("{object:016x}"), format!("{id:016x}"));
        let mut words = vec![if upload { "OBJ.PUT" } else { "OBJ.GET" }, &object, &id, &attributes];
        if upload {
            words.push("hello");
        }
        let words: Vec<&[u8]> = words.into_iter().map(str::as_bytes).collect();
        topazpath::resp::command(&words)
    }

    fn ready(&mut self, id: usize) {
        let Some(connection) = &mut self.connections[id] else { return };
        if !connection.connected {
            if connection.stream.peer_addr().is_err() {
                return;
            }
            connection.connected = true;
            // If this fails, requests are only delayed.
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
        let is_complete = connection.input.ends_with(b"\r\n")
            && (connection.input[0] != b'$' || connection.input.ends_with(&[VALUE, b"\r\n"].concat()));
        let answered = is_complete.then(|| connection.intended.take()).flatten();
        if let Some(intended) = answered {
            match connection.input[0] {
                b'$' => {
                    let took = intended.elapsed();
                    self.outcome.served += 1;
                    self.outcome.in_time += u64::from(took <= AIM);
                    // Bounded by the duration of a workload, which is within the histogram's range.
                    self.latencies.saturating_record(took.as_micros() as u64);
                }
                _ if connection.input.starts_with(b"-BUSY") => self.outcome.refused += 1,
                _ => self.outcome.failed += 1,
            }
            connection.input.clear();
        }
        if ended || (answered.is_some() && self.workload.new_connections) {
            self.outcome.closed += u64::from(connection.intended.is_some());
            self.connections[id] = None;
            self.idle.retain(|other| *other != id);
        } else if answered.is_some() {
            self.idle.push(id);
        }
    }
}

/// Writes as much as possible. An error is noticed when the connection is read.
fn flush(connection: &mut Connection) {
    while !connection.output.is_empty() {
        match connection.stream.write(&connection.output) {
            Ok(count) => drop(connection.output.drain(..count)),
            Err(_) => return,
        }
    }
}

//! Stand-in clients of one virtual address: open-loop load, each request with its own id, over connections that are
//! reopened to wherever the address is routed now. Requests and answers are recorded for the checkers.

use crate::stand_ins::segment::Segment;
use crate::sync::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for an answer. Requests state it as their deadline `d`; 200 ms are added for the network.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Older connections are not reused, so that clients follow the address all the time. This is also well within the two
/// seconds after which an idle connection may be closed.
const MAX_CONNECTION_AGE: Duration = Duration::from_millis(300);
/// How many of the newest requests a search for recent ones covers.
const RECENT: usize = 200;
/// Max number of requests in flight.
const MAX_IN_FLIGHT: usize = 1000;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The value.
    Served,
    /// `-BUSY`: the request did not run.
    Refused,
    /// `-ERR`: the request may have run.
    Failed,
    /// The connection closed without an answer.
    Closed,
    /// No answer in time.
    TimedOut,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// When its last byte was written.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: RequestEnd,
    /// Number of answers received; more than one is a duplicate.
    pub answers: usize,
    /// The machine that accepted its connection, if one did.
    pub machine: Option<usize>,
}

/// Where clients connect to.
#[derive(Clone)]
pub enum Destination {
    /// The virtual address of a segment, which knows the machine that accepted each connection.
    Segment(Arc<Segment>),
    /// The address and number of one machine.
    Direct(SocketAddr, usize),
}

impl Destination {
    fn address(&self) -> SocketAddr {
        match self {
            Destination::Segment(segment) => segment.address,
            Destination::Direct(address, _) => *address,
        }
    }

    fn accepted(&self, client: SocketAddr) -> Option<usize> {
        match self {
            Destination::Segment(segment) => segment.accepted(client),
            Destination::Direct(_, machine) => Some(*machine),
        }
    }

    fn forget(&self, client: SocketAddr) {
        if let Destination::Segment(segment) = self {
            segment.forget(client);
        }
    }
}

/// Share of the requests that are sent, as a function of the time since the start. It moves load between clients.
pub type LoadShare = Arc<dyn Fn(Duration) -> f64 + Send + Sync>;

/// The load that clients generate.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Max requests a second.
    pub rate: f64,
    /// Number of initiators that requests name for their volume (`hosts`).
    pub initiators: usize,
    /// Share of the reads and keyed writes that are for volumes with a limit.
    pub limited: f64,
    /// Number of volumes of each of the two plans, with and without a limit.
    pub volumes: u64,
    /// Number of shards that requests name.
    pub shards: u64,
}

struct Shared {
    destination: Destination,
    requests: Mutex<Vec<SentRequest>>,
    idle: Mutex<Vec<(TcpStream, Instant)>>,
    in_flight: Mutex<usize>,
    ended: AtomicBool,
}

/// Running clients. [`Clients::end`] stops them.
pub struct Clients {
    shared: Arc<Shared>,
    arrivals: Option<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts the clients.
    pub fn start(destination: Destination, load: Load, share: LoadShare, seed: u64) -> Clients {
        let shared = Arc::new(Shared {
            destination,
            requests: Mutex::default(),
            idle: Mutex::default(),
            in_flight: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let for_thread = shared.clone();
        let arrivals = thread::spawn(move || generate(&for_thread, load, &share, seed));
        Clients { shared, arrivals: Some(arrivals) }
    }

    /// Returns when requests were served since `since`, in order.
    pub fn served_since(&self, since: Instant) -> Vec<Instant> {
        let requests = lock(&self.shared.requests);
        let served =
            requests.iter().filter(|request| request.end == RequestEnd::Served && request.ended >= since);
        let mut times: Vec<Instant> = served.map(|request| request.ended).collect();
        times.sort();
        times
    }

    /// Whether a machine has served a request that was sent since `since`.
    pub fn served_by(&self, machine: usize, since: Instant) -> bool {
        let requests = lock(&self.shared.requests);
        let by =
            |request: &&SentRequest| request.machine == Some(machine) && request.end == RequestEnd::Served;
        requests.iter().rev().take(RECENT).filter(by).any(|request| request.sent >= since)
    }

    /// Stops new requests, waits until those in flight have ended, and returns all requests.
    pub fn end(mut self) -> Vec<SentRequest> {
        self.shared.ended.store(true, Ordering::Relaxed);
        if let Some(arrivals) = self.arrivals.take() {
            // A panic there has been printed to standard error.
            let _ = arrivals.join();
        }
        while *lock(&self.shared.in_flight) > 0 {
            thread::sleep(Duration::from_millis(5));
        }
        std::mem::take(&mut *lock(&self.shared.requests))
    }
}

/// Sends requests open loop, with exponentially distributed intervals that do not depend on answers.
fn generate(shared: &Arc<Shared>, load: Load, share: &LoadShare, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut next = start;
    let mut number = 0_u64;
    while !shared.ended.load(Ordering::Relaxed) {
        next += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / load.rate);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if random.random::<f64>() >= share(next - start) {
            continue;
        }
        number += 1;
        let id = format!("{:016x}", seed << 40 ^ number);
        let command = command(&id, load, &mut random);
        let mut in_flight = lock(&shared.in_flight);
        // Bounds the number of threads; it is reached only if no initiator answers.
        if *in_flight >= MAX_IN_FLIGHT {
            continue;
        }
        *in_flight += 1;
        drop(in_flight);
        let shared = shared.clone();
        thread::spawn(move || {
            let request = send_request(&shared, id, &command);
            lock(&shared.requests).extend(request);
            *lock(&shared.in_flight) -= 1;
        });
    }
}

/// Returns a random command: a read, a keyed write, or a write that must not run twice.
fn command(id: &str, load: Load, random: &mut ChaCha8Rng) -> Vec<u8> {
    let plan = if random.random::<f64>() < load.limited { "base" } else { "plus" };
    let (class, plan) = match random.random_range(0..10_u32) {
        0..6 => ("read", plan),
        6..9 => ("write", plan),
        _ => ("append", "plus"),
    };
    let (shard, volume) = (random.random_range(0..load.shards), random.random_range(0..load.volumes));
    let volume = if plan == "base" { volume } else { volume + 1000 };
    let key: u64 = random.random();
    let list = format!(
        "c={class},t={plan},d={},k={key:016x},volume={volume:016x},units={},shard={shard},hosts={}",
        ANSWER_TIMEOUT.as_millis(),
        random.random_range(1..=8_u32),
        load.initiators,
    );
    let object = format!("{:016x}", random.random::<u64>());
    let mut words = vec![if class == "read" { "OBJ.GET" } else { "OBJ.PUT" }, &object, id, &list];
    if class != "read" {
        words.push("hello");
    }
    let mut command = format!("*{}\r\n", words.len());
    for word in words {
        command += &format!("${}\r\n{word}\r\n", word.len());
    }
    command.into_bytes()
}

/// Sends one request on an idle or a new connection and waits for its end; none if it could not be sent.
fn send_request(shared: &Shared, id: String, command: &[u8]) -> Option<SentRequest> {
    let (mut stream, opened) = connection(shared)?;
    let own = stream.local_addr().ok()?;
    if stream.write_all(command).is_err() {
        shared.destination.forget(own);
        return None;
    }
    let sent = Instant::now();
    let (end, answers) = read_answer(&mut stream, &id, sent + ANSWER_TIMEOUT + Duration::from_millis(200));
    let ended = Instant::now();
    let machine = shared.destination.accepted(own);
    if end == RequestEnd::Served && answers == 1 {
        let mut idle = lock(&shared.idle);
        idle.push((stream, opened));
    } else {
        // After a refusal or a missing answer the client connects again.
        shared.destination.forget(own);
    }
    Some(SentRequest { sent, ended, end, answers, machine })
}

/// Returns an idle or a new connection, and when it was opened.
fn connection(shared: &Shared) -> Option<(TcpStream, Instant)> {
    loop {
        let idle = lock(&shared.idle).pop();
        let Some((stream, since)) = idle else { break };
        // A connection that is closed, or has unexpected input, is not reused.
        let quiet = stream.set_nonblocking(true).is_ok()
            && matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
            && stream.set_nonblocking(false).is_ok();
        if quiet && since.elapsed() < MAX_CONNECTION_AGE {
            return Some((stream, since));
        }
        if let Ok(own) = stream.local_addr() {
            shared.destination.forget(own);
        }
    }
    let stream = TcpStream::connect_timeout(&shared.destination.address(), ANSWER_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, Instant::now()))
}

/// Reads the answer, and counts a second one that arrives with it.
fn read_answer(stream: &mut TcpStream, id: &str, until: Instant) -> (RequestEnd, usize) {
    let mut input = Vec::new();
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() || stream.set_read_timeout(Some(remaining)).is_err() {
            return (RequestEnd::TimedOut, 0);
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes) {
            Ok(0) => return (RequestEnd::Closed, 0),
            Ok(count) => input.extend(&bytes[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return (RequestEnd::TimedOut, 0);
            }
            Err(_) => return (RequestEnd::Closed, 0),
        }
        let text = String::from_utf8_lossy(&input);
        let value = format!("${}\r\n{id}\r\n", id.len());
        let (end, length) =
            if let Some(line) = text.strip_prefix('-').and_then(|rest| rest.split_once("\r\n")) {
                let end = if line.0.starts_with("BUSY") { RequestEnd::Refused } else { RequestEnd::Failed };
                (end, line.0.len() + 3)
            } else if text.len() >= value.len() {
                // The value of another request is not an answer to this one; it counts as a duplicate.
                if !text.starts_with(&value) {
                    return (RequestEnd::Served, 2);
                }
                (RequestEnd::Served, value.len())
            } else {
                continue;
            };
        let more = usize::from(input.len() > length);
        return (end, 1 + more);
    }
}

//! Stand-in clients of one virtual address: open loop, each request with its own id, over connections that are opened
//! again wherever the address leads now. What was sent and what came back is written down for the checkers.

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

/// How long a client waits for an answer: what it says as `d`, and a little for the way.
pub const PATIENCE: Duration = Duration::from_millis(1500);
/// A connection that is older is not used again, so that clients follow the address all the time. It also is well
/// within the two seconds after which the platform lets an idle one be closed.
const REUSED: Duration = Duration::from_millis(300);
/// How many items back a look for recent ones goes.
const RECENT: usize = 200;
/// Requests that may be open together.
const MOST_OPEN: usize = 1000;

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The value.
    Served,
    /// `-BUSY`: it never ran.
    Refused,
    /// `-ERR`.
    Failed,
    /// The connection ended without an answer.
    Closed,
    /// Nothing in time.
    Nothing,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Item {
    /// When its last byte was written.
    pub sent: Instant,
    /// When its end came.
    pub ended: Instant,
    /// Its end.
    pub told: Told,
    /// Answers that came for it; more than one is one too many.
    pub answers: usize,
    /// The machine that accepted its connection, if one did.
    pub machine: Option<usize>,
}

/// Where clients find who serves them.
#[derive(Clone)]
pub enum Way {
    /// A virtual address of a segment, which knows who accepted each connection.
    Segment(Arc<Segment>),
    /// One machine's own address.
    Direct(SocketAddr, usize),
}

impl Way {
    fn address(&self) -> SocketAddr {
        match self {
            Way::Segment(segment) => segment.address,
            Way::Direct(address, _) => *address,
        }
    }

    fn accepted(&self, client: SocketAddr) -> Option<usize> {
        match self {
            Way::Segment(segment) => segment.accepted(client),
            Way::Direct(_, machine) => Some(*machine),
        }
    }

    fn forget(&self, client: SocketAddr) {
        if let Way::Segment(segment) = self {
            segment.forget(client);
        }
    }
}

/// Part of the requests that are sent at a time since the start: leads that move.
pub type Part = Arc<dyn Fn(Duration) -> f64 + Send + Sync>;

/// What the clients ask for.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second, at most.
    pub rate: f64,
    /// Machines that a volume's requests come through, as requests say.
    pub hosts: usize,
    /// Part of the reads and keyed writes that are for volumes with a limit.
    pub limited: f64,
    /// Volumes of the plan with a limit, and of that without.
    pub volumes: u64,
    /// Shards that reads name.
    pub shards: u64,
}

struct Shared {
    way: Way,
    items: Mutex<Vec<Item>>,
    idle: Mutex<Vec<(TcpStream, Instant)>>,
    open: Mutex<usize>,
    ended: AtomicBool,
}

/// Clients at work. They end when told to.
pub struct Clients {
    shared: Arc<Shared>,
    arrivals: Option<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts them.
    pub fn start(way: Way, load: Load, part: Part, seed: u64) -> Clients {
        let shared = Arc::new(Shared {
            way,
            items: Mutex::default(),
            idle: Mutex::default(),
            open: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let at_work = shared.clone();
        let arrivals = thread::spawn(move || arrive(&at_work, load, &part, seed));
        Clients { shared, arrivals: Some(arrivals) }
    }

    /// When values came after a moment, in order.
    pub fn served_since(&self, since: Instant) -> Vec<Instant> {
        let items = lock(&self.shared.items);
        let served = items.iter().filter(|item| item.told == Told::Served && item.ended >= since);
        let mut times: Vec<Instant> = served.map(|item| item.ended).collect();
        times.sort();
        times
    }

    /// Whether a machine has served anything since a moment.
    pub fn served_by(&self, machine: usize, since: Instant) -> bool {
        let items = lock(&self.shared.items);
        let by = |item: &&Item| item.machine == Some(machine) && item.told == Told::Served;
        items.iter().rev().take(RECENT).filter(by).any(|item| item.sent >= since)
    }

    /// Ends them once all that is open has its end; everything that was sent.
    pub fn end(mut self) -> Vec<Item> {
        self.shared.ended.store(true, Ordering::Relaxed);
        if let Some(arrivals) = self.arrivals.take() {
            // A panic there has been told on standard error.
            let _ = arrivals.join();
        }
        while *lock(&self.shared.open) > 0 {
            thread::sleep(Duration::from_millis(5));
        }
        std::mem::take(&mut *lock(&self.shared.items))
    }
}

/// Sends at times that do not wait for answers: drawn ahead, with exponential distances.
fn arrive(shared: &Arc<Shared>, load: Load, part: &Part, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut next = start;
    let mut number = 0_u64;
    while !shared.ended.load(Ordering::Relaxed) {
        next += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / load.rate);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if random.random::<f64>() >= part(next - start) {
            continue;
        }
        number += 1;
        let id = format!("{:016x}", seed << 40 ^ number);
        let command = command(&id, load, &mut random);
        let mut open = lock(&shared.open);
        // Guards the laboratory's machine: so many are open only where nobody answers at all.
        if *open >= MOST_OPEN {
            continue;
        }
        *open += 1;
        drop(open);
        let shared = shared.clone();
        thread::spawn(move || {
            let item = ask(&shared, id, &command);
            lock(&shared.items).extend(item);
            *lock(&shared.open) -= 1;
        });
    }
}

/// A read, a keyed write, or a write that may not run twice.
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
        PATIENCE.as_millis(),
        random.random_range(1..=8_u32),
        load.hosts,
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

/// One request on a connection that is there or a new one; nothing if it could not be sent at all.
fn ask(shared: &Shared, id: String, command: &[u8]) -> Option<Item> {
    let (mut stream, opened) = connection(shared)?;
    let own = stream.local_addr().ok()?;
    if stream.write_all(command).is_err() {
        shared.way.forget(own);
        return None;
    }
    let sent = Instant::now();
    let (told, answers) = listen(&mut stream, &id, sent + PATIENCE + Duration::from_millis(200));
    let ended = Instant::now();
    let machine = shared.way.accepted(own);
    if told == Told::Served && answers == 1 {
        let mut idle = lock(&shared.idle);
        idle.push((stream, opened));
    } else {
        // Whoever is refused or gets nothing looks for the address again.
        shared.way.forget(own);
    }
    Some(Item { sent, ended, told, answers, machine })
}

/// A connection, and when it was opened.
fn connection(shared: &Shared) -> Option<(TcpStream, Instant)> {
    loop {
        let idle = lock(&shared.idle).pop();
        let Some((stream, since)) = idle else { break };
        // What is closed, or says something that nobody asked for, is not used.
        let quiet = stream.set_nonblocking(true).is_ok()
            && matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
            && stream.set_nonblocking(false).is_ok();
        if quiet && since.elapsed() < REUSED {
            return Some((stream, since));
        }
        if let Ok(own) = stream.local_addr() {
            shared.way.forget(own);
        }
    }
    let stream = TcpStream::connect_timeout(&shared.way.address(), PATIENCE).ok()?;
    stream.set_nodelay(true).ok()?;
    Some((stream, Instant::now()))
}

/// Reads the answer, and looks whether a second one comes with it.
fn listen(stream: &mut TcpStream, id: &str, until: Instant) -> (Told, usize) {
    let mut input = Vec::new();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return (Told::Nothing, 0);
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes) {
            Ok(0) => return (Told::Closed, 0),
            Ok(count) => input.extend(&bytes[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return (Told::Nothing, 0);
            }
            Err(_) => return (Told::Closed, 0),
        }
        let text = String::from_utf8_lossy(&input);
        let value = format!("${}\r\n{id}\r\n", id.len());
        let (told, length) =
            if let Some(line) = text.strip_prefix('-').and_then(|rest| rest.split_once("\r\n")) {
                let told = if line.0.starts_with("BUSY") { Told::Refused } else { Told::Failed };
                (told, line.0.len() + 3)
            } else if text.len() >= value.len() {
                // A value made for another item is none; it counts as an answer too many.
                if !text.starts_with(&value) {
                    return (Told::Served, 2);
                }
                (Told::Served, value.len())
            } else {
                continue;
            };
        let more = usize::from(input.len() > length);
        return (told, 1 + more);
    }
}

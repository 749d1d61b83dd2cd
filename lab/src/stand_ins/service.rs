//! Stand-ins for the services that initiators use: storage nodes that speak RESP2 and record every attempt, and
//! discovery, which serves the node list over HTTP with long polls. Written from the protocol's description,
//! independently of the program.

use crate::sync::lock;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One attempt as a node recorded it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When its command was read.
    pub at: Instant,
    /// The node.
    pub node: usize,
    /// The client's id of the request.
    pub request_id: String,
    /// Its class, as the command states it.
    pub class: String,
    /// Its plan.
    pub plan: String,
    /// Its volume.
    pub volume: String,
    /// Its size in units.
    pub units: f64,
}

/// All attempts of a run, in the order the nodes recorded them.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Starts a node that answers each request after `service_time`; returns its address.
pub fn node(
    ip: Ipv4Addr,
    number: usize,
    service_time: Duration,
    attempts: Attempts,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let attempts = attempts.clone();
            thread::spawn(move || serve(stream, number, service_time, &attempts));
        }
    });
    Ok(address)
}

/// Serves a connection until it ends or sends an invalid command.
fn serve(stream: TcpStream, node: usize, service_time: Duration, attempts: &Attempts) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let (mut reader, mut stream) = (BufReader::new(stream.try_clone().ok()?), stream);
    loop {
        let words = command(&mut reader)?;
        let text = |at: usize| words.get(at).map(|word| String::from_utf8_lossy(word).into_owned());
        match text(0).as_deref() {
            Some("OBJ.GET" | "OBJ.PUT") => {
                let list = text(3)?;
                let named: HashMap<&str, &str> =
                    list.split(',').filter_map(|pair| pair.split_once('=')).collect();
                let of = |name: &str| named.get(name).map(|value| value.to_string()).unwrap_or_default();
                let attempt = Attempt {
                    at: Instant::now(),
                    node,
                    request_id: text(2)?,
                    class: of("c"),
                    plan: of("t"),
                    volume: of("volume"),
                    units: of("units").parse().ok()?,
                };
                lock(attempts).push(attempt);
                thread::sleep(service_time);
                // The value is the request's id, by which a client recognizes its own answer.
                let value = text(2)?;
                write!(stream, "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).ok()?;
            }
            // Probes and other commands: an empty answer.
            _ => stream.write_all(b"*0\r\n").ok()?,
        }
    }
}

/// Reads one RESP2 command; none at the end of the connection or if it is invalid.
fn command(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count: usize = line(reader)?.strip_prefix('*')?.parse().ok().filter(|count| *count <= 16)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length: usize =
            line(reader)?.strip_prefix('$')?.parse().ok().filter(|length| *length < 1 << 20)?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word).ok()?;
        word.truncate(length);
        words.push(word);
    }
    Some(words)
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_string())
}

/// A line of the node list.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// Name of the node.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its shard.
    pub shard: u32,
    /// `active`, `leaving` or `left`.
    pub status: &'static str,
    /// Whether it starts now, in slow start.
    pub in_slow_start: bool,
}

/// A stand-in for discovery, whose list the experiment changes.
#[derive(Clone)]
pub struct Registry {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    index: u64,
    nodes: Vec<ListedNode>,
    started_ms: HashMap<String, u128>,
    /// Number of answered calls, and of the lines in the answers.
    calls: (u64, u64),
}

impl Registry {
    /// Starts discovery with a node list.
    pub fn start(ip: Ipv4Addr, nodes: Vec<ListedNode>) -> std::io::Result<Registry> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let registry = Registry { address, state: Arc::default() };
        registry.set_list(nodes);
        let state = registry.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || answer(stream, &state));
            }
        });
        Ok(registry)
    }

    /// Returns the number of answered calls, and of the lines in the answers.
    pub fn calls(&self) -> (u64, u64) {
        lock(&self.state.0).calls
    }

    /// Replaces the list and answers the waiting calls.
    pub fn set_list(&self, nodes: Vec<ListedNode>) {
        let mut state = lock(&self.state.0);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        for node in nodes.iter().filter(|node| node.in_slow_start) {
            state.started_ms.entry(node.name.clone()).or_insert(now);
        }
        state.index += 1;
        state.nodes = nodes;
        self.state.1.notify_all();
    }
}

fn answer(stream: TcpStream, state: &(Mutex<State>, Condvar)) -> Option<()> {
    let (mut reader, mut stream) = (BufReader::new(stream.try_clone().ok()?), stream);
    loop {
        let request = line(&mut reader)?;
        while !line(&mut reader)?.is_empty() {}
        let number = |name: &str| {
            let (_, rest) = request.split_once(name)?;
            rest.split(|it: char| !it.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0));
        let after = number("after=");
        let mut current = lock(&state.0);
        if let Some(after) = after {
            let waited = state.1.wait_timeout_while(current, wait, |state| state.index <= after);
            current = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        current.calls = (current.calls.0 + 1, current.calls.1 + current.nodes.len() as u64);
        let lines: Vec<String> = current
            .nodes
            .iter()
            .map(|node| {
                let since = current.started_ms.get(&node.name).copied().unwrap_or(0);
                format!(
                    r#"{{"name":"{}","address":"{}","zone":"z","type":"t","group":{},"status":"{}","weight":1.0,"since_ms":{since}}}"#,
                    node.name, node.address, node.shard, node.status
                )
            })
            .collect();
        let body =
            format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, current.index, lines.join(","));
        drop(current);
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
    }
}

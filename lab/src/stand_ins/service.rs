//! Stand-ins for what initiators talk to: storage nodes that speak RESP2 and write down every attempt, and discovery,
//! which tells a list and its changes over HTTP. Written from the project's own protocol page.

use crate::sync::lock;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One attempt as a node saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When its last byte had come.
    pub at: Instant,
    /// The node.
    pub node: usize,
    /// The client's id for the request.
    pub item: String,
    /// Its class, plan, volume and units, as the command says.
    pub class: String,
    /// Its plan.
    pub plan: String,
    /// Its volume.
    pub volume: String,
    /// Its size.
    pub units: f64,
}

/// Every attempt of a run, in the order the nodes saw them.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Starts a node that takes as long for each request; returns its address.
pub fn node(ip: Ipv4Addr, number: usize, takes: Duration, attempts: Attempts) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let attempts = attempts.clone();
            thread::spawn(move || serve(stream, number, takes, &attempts));
        }
    });
    Ok(address)
}

/// Ends with the connection.
fn serve(stream: TcpStream, node: usize, takes: Duration, attempts: &Attempts) -> Option<()> {
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
                    item: text(2)?,
                    class: of("c"),
                    plan: of("t"),
                    volume: of("volume"),
                    units: of("units").parse().ok()?,
                };
                lock(attempts).push(attempt);
                thread::sleep(takes);
                // The value names the item, so that a client knows its own answer.
                let value = text(2)?;
                write!(stream, "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).ok()?;
            }
            // Probes and whatever else: nothing to tell.
            _ => stream.write_all(b"*0\r\n").ok()?,
        }
    }
}

/// One RESP2 command.
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
pub struct Listed {
    /// The node's name.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// The shard that it holds.
    pub shard: u32,
    /// `active`, `leaving` or `left`.
    pub status: &'static str,
    /// It has just started.
    pub cold: bool,
}

/// A registry whose list the experiment changes.
#[derive(Clone)]
pub struct Registry {
    /// Where it is asked.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    index: u64,
    nodes: Vec<Listed>,
    started_ms: HashMap<String, u128>,
    /// Calls answered, and lines in them.
    calls: (u64, u64),
}

impl Registry {
    /// Starts one with this list.
    pub fn start(ip: Ipv4Addr, nodes: Vec<Listed>) -> std::io::Result<Registry> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let registry = Registry { address, state: Arc::default() };
        registry.tell(nodes);
        let state = registry.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || answer(stream, &state));
            }
        });
        Ok(registry)
    }

    /// Calls answered so far, and lines in them.
    pub fn calls(&self) -> (u64, u64) {
        lock(&self.state.0).calls
    }

    /// Tells a list from now on.
    pub fn tell(&self, nodes: Vec<Listed>) {
        let mut state = lock(&self.state.0);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        for node in nodes.iter().filter(|node| node.cold) {
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
        let mut held = lock(&state.0);
        if let Some(after) = after {
            let waited = state.1.wait_timeout_while(held, wait, |state| state.index <= after);
            held = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        held.calls = (held.calls.0 + 1, held.calls.1 + held.nodes.len() as u64);
        let lines: Vec<String> = held
            .nodes
            .iter()
            .map(|node| {
                let since = held.started_ms.get(&node.name).copied().unwrap_or(0);
                format!(
                    r#"{{"name":"{}","address":"{}","zone":"z","type":"t","group":{},"status":"{}","weight":1.0,"since_ms":{since}}}"#,
                    node.name, node.address, node.shard, node.status
                )
            })
            .collect();
        let body = format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, held.index, lines.join(","));
        drop(held);
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
    }
}

//! A stand-in for discovery that counts what it reads and writes, and sees when a change was taken.

use crate::sync::lock;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What has passed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes from clients, HTTP with its heads.
    pub read: u64,
    /// Bytes to clients.
    pub written: u64,
    /// Calls answered.
    pub calls: u64,
    /// Connections accepted.
    pub connections: u64,
}

impl Traffic {
    /// What has passed since then.
    pub fn since(self, before: Traffic) -> Traffic {
        Traffic {
            read: self.read - before.read,
            written: self.written - before.written,
            calls: self.calls - before.calls,
            connections: self.connections - before.connections,
        }
    }
}

/// Whether a call for changes is answered with the changes, or with the whole list: the protocol allows both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// The lines that changed; at the end of a wait without any, none.
    Changes,
    /// All lines.
    Whole,
}

/// A line of the node list.
#[derive(Clone, Debug)]
pub struct Line {
    /// Where the node is.
    pub address: SocketAddr,
    /// Its zone, by number.
    pub zone: usize,
}

struct Held {
    lines: Vec<(Line, u64)>,
    index: u64,
    traffic: Traffic,
    /// The newest version that a client has said it holds.
    taken: u64,
}

/// Discovery of one run.
pub struct Discovery {
    /// Where it is asked.
    pub address: SocketAddr,
    state: Arc<(Mutex<Held>, Condvar)>,
}

/// Lines of nodes that nobody has to reach.
pub fn unreachable_nodes(count: usize, zones: usize) -> Vec<Line> {
    let address = |number: usize| SocketAddr::from((Ipv4Addr::from(0x7f64_0000 + number as u32), 9));
    (0..count).map(|number| Line { address: address(number), zone: number % zones.max(1) }).collect()
}

/// A node's name.
pub fn node_name(number: usize) -> String {
    format!("s-{number:08x}")
}

impl Discovery {
    /// Starts with this list.
    pub fn start(ip: Ipv4Addr, lines: Vec<Line>, answers: Answers) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let lines = lines.into_iter().map(|line| (line, 1)).collect();
        let held = Held { lines, index: 1, traffic: Traffic::default(), taken: 0 };
        let state = Arc::new((Mutex::new(held), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                lock(&state.0).traffic.connections += 1;
                thread::spawn(move || serve(stream, &state, answers));
            }
        });
        Ok(Discovery { address, state })
    }

    /// What has passed so far.
    pub fn traffic(&self) -> Traffic {
        lock(&self.state.0).traffic
    }

    /// Another node takes the place of this one: its line changes.
    pub fn change(&self, number: usize) {
        let mut held = lock(&self.state.0);
        held.index += 1;
        let index = held.index;
        let (line, changed) = &mut held.lines[number];
        let port = if line.address.port() == 9 { 10 } else { 9 };
        line.address.set_port(port);
        *changed = index;
        self.state.1.notify_all();
    }

    /// Waits until a client asks for what comes after the list as it is now; how long that took.
    pub fn wait_until_taken(&self, patience: Duration) -> Result<Duration, String> {
        let start = Instant::now();
        let held = lock(&self.state.0);
        let index = held.index;
        let waited = self.state.1.wait_timeout_while(held, patience, |held| held.taken < index);
        let (held, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        drop(held);
        if timeout.timed_out() {
            return Err(format!("the initiator did not take a node list within {} s", patience.as_secs()));
        }
        Ok(start.elapsed())
    }
}

/// Answers the calls of one connection, until that ends.
fn serve(stream: TcpStream, state: &(Mutex<Held>, Condvar), answers: Answers) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let (mut reader, mut stream) = (BufReader::new(stream.try_clone().ok()?), stream);
    loop {
        let (after, wait, length) = request(&mut reader)?;
        let body = answer(state, after, wait, answers);
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        {
            let traffic = &mut lock(&state.0).traffic;
            traffic.read += length as u64;
            traffic.written += text.len() as u64;
            traffic.calls += 1;
        }
        stream.write_all(text.as_bytes()).ok()?;
    }
}

/// One call: after which version, how long it may wait, and its bytes.
fn request(reader: &mut impl BufRead) -> Option<(Option<u64>, Duration, usize)> {
    let mut first = String::new();
    let mut length = reader.read_line(&mut first).ok().filter(|count| *count > 0)?;
    loop {
        let mut line = String::new();
        length += reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        if line.trim_end().is_empty() {
            break;
        }
    }
    let number = |name: &str| {
        let (_, rest) = first.split_once(name)?;
        rest.split(|it: char| !it.is_ascii_digit()).next()?.parse::<u64>().ok()
    };
    Some((number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)), length))
}

fn answer(state: &(Mutex<Held>, Condvar), after: Option<u64>, wait: Duration, answers: Answers) -> String {
    let mut held = lock(&state.0);
    if let Some(after) = after {
        held.taken = held.taken.max(after);
        state.1.notify_all();
        let waited = state.1.wait_timeout_while(held, wait, |held| held.index <= after);
        held = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    let whole = after.is_none() || answers == Answers::Whole;
    let since = if whole { 0 } else { after.unwrap_or(0) };
    message(&held.lines, held.index, whole, since)
}

/// A message with all lines that changed after a version.
fn message(lines: &[(Line, u64)], index: u64, whole: bool, since: u64) -> String {
    let changed = lines.iter().enumerate().filter(|(_, (_, changed))| *changed > since);
    let texts: Vec<String> = changed.map(|(number, (line, _))| text(number, line)).collect();
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, texts.join(","))
}

fn text(number: usize, Line { address, zone }: &Line) -> String {
    let name = node_name(number);
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z{zone}","type":"m2","group":{number},"status":"active","weight":1.0,"since_ms":0}}"#
    )
}

/// A whole list as it is on the wire, and one with its last line only.
pub fn messages(nodes: usize, zones: usize) -> (String, String) {
    let lines: Vec<(Line, u64)> = unreachable_nodes(nodes, zones)
        .into_iter()
        .enumerate()
        .map(|(number, line)| (line, number as u64 + 1))
        .collect();
    let last = nodes as u64;
    (message(&lines, last, true, 0), message(&lines, last, false, last - 1))
}

//! Stand-in discovery server that counts its traffic and detects when a client has applied a change.

use crate::sync::lock;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Traffic so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes from clients, including HTTP headers.
    pub read: u64,
    /// Bytes to clients, including HTTP headers.
    pub written: u64,
    /// Calls answered.
    pub calls: u64,
    /// Connections accepted.
    pub connections: u64,
}

impl Traffic {
    /// Traffic since `before`.
    pub fn since(self, before: Traffic) -> Traffic {
        Traffic {
            read: self.read - before.read,
            written: self.written - before.written,
            calls: self.calls - before.calls,
            connections: self.connections - before.connections,
        }
    }
}

/// How a call for changes is answered; the protocol allows both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answers {
    /// With the changed entries; with none at the end of a wait without changes.
    Changes,
    /// With the whole list.
    Whole,
}

/// An entry of the node list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The node's address.
    pub address: SocketAddr,
    /// Its zone, by number.
    pub zone: usize,
}

struct State {
    entries: Vec<(Entry, u64)>,
    index: u64,
    traffic: Traffic,
    /// The newest version that a client has acknowledged by asking for later ones.
    acknowledged: u64,
}

/// Handle on the stand-in server.
pub struct Discovery {
    /// Its listening address.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Entries of nodes that do not exist, for experiments that never connect to them.
pub fn unreachable_nodes(count: usize, zones: usize) -> Vec<Entry> {
    let address = |number: usize| SocketAddr::from((Ipv4Addr::from(0x7f64_0000 + number as u32), 9));
    (0..count).map(|number| Entry { address: address(number), zone: number % zones.max(1) }).collect()
}

/// A node's name.
pub fn node_name(number: usize) -> String {
    format!("s-{number:08x}")
}

impl Discovery {
    /// Starts the server with this list. Fails if it can't listen.
    pub fn start(ip: Ipv4Addr, entries: Vec<Entry>, answers: Answers) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let entries = entries.into_iter().map(|entry| (entry, 1)).collect();
        let initial = State { entries, index: 1, traffic: Traffic::default(), acknowledged: 0 };
        let state = Arc::new((Mutex::new(initial), Condvar::new()));
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

    /// Traffic so far.
    pub fn traffic(&self) -> Traffic {
        lock(&self.state.0).traffic
    }

    /// Changes the address in a node's entry, as when another node replaces it.
    pub fn change(&self, number: usize) {
        let mut locked = lock(&self.state.0);
        locked.index += 1;
        let index = locked.index;
        let (entry, changed) = &mut locked.entries[number];
        let port = if entry.address.port() == 9 { 10 } else { 9 };
        entry.address.set_port(port);
        *changed = index;
        self.state.1.notify_all();
    }

    /// Waits until a client has applied the present list, which shows in its next call. Returns how long that took;
    /// fails after `max_wait`.
    pub fn wait_until_applied(&self, max_wait: Duration) -> Result<Duration, String> {
        let start = Instant::now();
        let locked = lock(&self.state.0);
        let index = locked.index;
        let waited = self.state.1.wait_timeout_while(locked, max_wait, |locked| locked.acknowledged < index);
        let (locked, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        drop(locked);
        if timeout.timed_out() {
            return Err(format!("the initiator did not apply a node list within {} s", max_wait.as_secs()));
        }
        Ok(start.elapsed())
    }
}

/// Serves the calls of one connection until it ends.
fn serve(stream: TcpStream, state: &(Mutex<State>, Condvar), answers: Answers) -> Option<()> {
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

/// Reads one call: the version that the client has, how long the call may wait, and its size in bytes.
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

fn answer(state: &(Mutex<State>, Condvar), after: Option<u64>, wait: Duration, answers: Answers) -> String {
    let mut locked = lock(&state.0);
    if let Some(after) = after {
        locked.acknowledged = locked.acknowledged.max(after);
        state.1.notify_all();
        let waited = state.1.wait_timeout_while(locked, wait, |locked| locked.index <= after);
        locked = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    let whole = after.is_none() || answers == Answers::Whole;
    let since = if whole { 0 } else { after.unwrap_or(0) };
    list_message(&locked.entries, locked.index, whole, since)
}

/// A message with all entries that changed after version `since`.
fn list_message(entries: &[(Entry, u64)], index: u64, whole: bool, since: u64) -> String {
    let changed = entries.iter().enumerate().filter(|(_, (_, changed))| *changed > since);
    let texts: Vec<String> = changed.map(|(number, (entry, _))| entry_json(number, entry)).collect();
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, texts.join(","))
}

fn entry_json(number: usize, Entry { address, zone }: &Entry) -> String {
    let name = node_name(number);
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z{zone}","type":"m2","group":{number},"status":"active","weight":1.0,"since_ms":0}}"#
    )
}

/// Wire form of a whole list, and of a change of its last entry.
pub fn wire_messages(nodes: usize, zones: usize) -> (String, String) {
    let entries: Vec<(Entry, u64)> = unreachable_nodes(nodes, zones)
        .into_iter()
        .enumerate()
        .map(|(number, entry)| (entry, number as u64 + 1))
        .collect();
    let last = nodes as u64;
    (list_message(&entries, last, true, 0), list_message(&entries, last, false, last - 1))
}

//! Stand-in discovery server: one thread serves hundreds of long polls. A client without a version gets the whole
//! list, one with a version the changes since then: as soon as there are any, or an empty answer when its wait is
//! over. Calls and bytes are counted per group of initiators.

use super::switch::Traffic;
use crate::sync::lock;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_EVENTS: usize = 4096;
/// Maximum interval between checks for waits that are over.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A client that sends a longer request is disconnected.
const MAX_REQUEST_BYTES: usize = 8 * 1024;

/// An entry of the node list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The node's name.
    pub name: String,
    /// The node's address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The shard that the node serves.
    pub shard: u32,
    /// `active`, `leaving` or `left`.
    pub status: &'static str,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    pub since_ms: u64,
}

/// The present Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

#[derive(Default)]
struct List {
    index: u64,
    /// Entries by name, each with the version of its last change.
    entries: BTreeMap<String, (Entry, u64)>,
}

impl List {
    /// Answer to a client that has version `after`; `None` if it has the current one.
    fn answer(&self, after: Option<u64>) -> Option<Vec<u8>> {
        match after.filter(|after| *after <= self.index) {
            Some(after) if after == self.index => None,
            after => Some(self.body(after)),
        }
    }

    fn body(&self, after: Option<u64>) -> Vec<u8> {
        let wanted = |(entry, changed): &&(Entry, u64)| match after {
            Some(after) => *changed > after,
            None => entry.status != "left",
        };
        let entries: Vec<String> =
            self.entries.values().filter(wanted).map(|(entry, _)| entry_json(entry)).collect();
        let snapshot = after.is_none();
        let body = format!(
            r#"{{"index":{},"snapshot":{snapshot},"endpoints":[{}]}}"#,
            self.index,
            entries.join(",")
        );
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

fn entry_json(entry: &Entry) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"{}","type":"t","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
        entry.name, entry.address, entry.zone, entry.shard, entry.status, entry.since_ms
    )
}

/// Stand-in discovery server; it stops when this is dropped.
pub struct DiscoveryServer {
    /// Listening address for each group.
    pub addresses: Vec<SocketAddr>,
    /// Bytes sent and received by the initiators of each group.
    pub traffic: Arc<Vec<Traffic>>,
    calls: Arc<AtomicU64>,
    list: Arc<Mutex<List>>,
    waker: Arc<Waker>,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed to standard error.
            let _ = thread.join();
        }
    }
}

impl DiscoveryServer {
    /// Starts the server with these entries and one listener per group. Fails if a socket can't be opened.
    pub fn start(ip: Ipv4Addr, groups: usize, entries: Vec<Entry>) -> std::io::Result<DiscoveryServer> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        for number in 0..groups {
            let mut listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
            poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let waker = Arc::new(Waker::new(poll.registry(), Token(groups))?);
        let traffic = Arc::new((0..groups).map(|_| Traffic::default()).collect::<Vec<_>>());
        let (calls, list, stop) = <(Arc<AtomicU64>, Arc<Mutex<List>>, Arc<AtomicBool>)>::default();
        let mut server_loop = ServerLoop {
            poll,
            next: groups + 1,
            listeners,
            connections: HashMap::new(),
            list: list.clone(),
            traffic: traffic.clone(),
            calls: calls.clone(),
        };
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                if let Err(error) = server_loop.run_iteration() {
                    eprintln!("discovery stand-in: {error}");
                    return;
                }
            }
        });
        let server = DiscoveryServer { addresses, traffic, calls, list, waker, stop, thread: Some(thread) };
        server.publish(entries);
        Ok(server)
    }

    /// Publishes changed entries. Returns the version that contains them.
    pub fn publish(&self, changed: Vec<Entry>) -> u64 {
        let mut list = lock(&self.list);
        list.index += 1;
        let index = list.index;
        for entry in changed {
            list.entries.insert(entry.name.clone(), (entry, index));
        }
        drop(list);
        // If this fails, the thread notices the change at its next periodic check.
        let _ = self.waker.wake();
        index
    }

    /// The present entries.
    pub fn entries(&self) -> Vec<Entry> {
        lock(&self.list).entries.values().map(|(entry, _)| entry.clone()).collect()
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

struct Connection {
    stream: TcpStream,
    group: usize,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The long poll in progress: the client's version, and when the wait is over.
    long_poll: Option<(u64, Instant)>,
}

struct ServerLoop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    connections: HashMap<usize, Connection>,
    next: usize,
    list: Arc<Mutex<List>>,
    traffic: Arc<Vec<Traffic>>,
    calls: Arc<AtomicU64>,
}

impl ServerLoop {
    fn run_iteration(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        match self.poll.poll(&mut events, Some(CHECK_INTERVAL)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => other?,
        }
        for event in &events {
            let Token(id) = event.token();
            if id < self.listeners.len() {
                self.accept(id)?;
            } else if id > self.listeners.len() {
                self.read(id);
            }
        }
        self.answer_all(Instant::now());
        Ok(())
    }

    fn accept(&mut self, group: usize) -> std::io::Result<()> {
        while let Ok((mut stream, _)) = self.listeners[group].accept() {
            // Nagle's algorithm would delay answers and distort the measurements.
            let _ = stream.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(self.next), interest)?;
            let connection =
                Connection { stream, group, input: Vec::new(), output: Vec::new(), long_poll: None };
            self.connections.insert(self.next, connection);
            self.next += 1;
        }
        Ok(())
    }

    fn read(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let sent = &self.traffic[connection.group].sent;
        if !connection.read(sent) || !connection.write() {
            self.connections.remove(&id);
        }
    }

    /// Answers the clients for whom there are changes or whose wait is over.
    fn answer_all(&mut self, now: Instant) {
        let list = lock(&self.list);
        // Most clients have the same version, so bodies are shared.
        let mut bodies: HashMap<Option<u64>, Vec<u8>> = HashMap::new();
        let mut closed = Vec::new();
        for (id, connection) in &mut self.connections {
            connection.take_request(now);
            let Some((after, until)) = connection.long_poll else { continue };
            let after = (after > 0).then_some(after);
            let answer = match bodies.get(&after) {
                Some(body) => Some(body.clone()),
                None => list.answer(after).inspect(|body| drop(bodies.insert(after, body.clone()))),
            };
            let answer = answer.or_else(|| (until <= now).then(|| list.body(after)));
            let Some(answer) = answer else { continue };
            connection.long_poll = None;
            self.calls.fetch_add(1, Ordering::Relaxed);
            self.traffic[connection.group].received.fetch_add(answer.len() as u64, Ordering::Relaxed);
            connection.output.extend_from_slice(&answer);
            if !connection.write() {
                closed.push(*id);
            }
        }
        closed.into_iter().for_each(|id| drop(self.connections.remove(&id)));
    }
}

impl Connection {
    /// Reads the available input; false once the connection has ended.
    fn read(&mut self, sent: &AtomicU64) -> bool {
        let mut bytes = [0; MAX_REQUEST_BYTES];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    sent.fetch_add(count as u64, Ordering::Relaxed);
                    self.input.extend_from_slice(&bytes[..count]);
                    if self.input.len() > MAX_REQUEST_BYTES {
                        return false;
                    }
                }
                Err(error) => return matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
            }
        }
    }

    /// Parses the next request if it is complete and the previous one has been answered.
    fn take_request(&mut self, now: Instant) {
        if self.long_poll.is_some() {
            return;
        }
        let Some(end) = self.input.windows(4).position(|it| it == b"\r\n\r\n") else { return };
        let request = String::from_utf8_lossy(&self.input[..end]).into_owned();
        self.input.drain(..end + 4);
        let number = |name: &str| {
            let (_, rest) = request.split_once(name)?;
            rest.split(|it: char| !it.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0));
        self.long_poll = Some((number("after=").unwrap_or(0), now + wait));
    }

    fn write(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) => return matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
            }
        }
        true
    }
}

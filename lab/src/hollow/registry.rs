//! Stand-in discovery for hundreds of watches in one thread: whole lists, and from a version on what changed, each watch
//! answered at once when something did, and with nothing at the end of its wait. It counts calls and bytes by group.

use super::switch::Counted;
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

const MOST_EVENTS: usize = 4096;
/// How often the thread looks for waits that are over, at the least.
const LOOK: Duration = Duration::from_millis(20);
/// A longer request is none.
const LONGEST_REQUEST: usize = 8 * 1024;

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The node's name.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The shard that it holds.
    pub shard: u32,
    /// `active`, `leaving` or `left`.
    pub status: &'static str,
    /// Unix time of its last start, in milliseconds; 0: long ago.
    pub since_ms: u64,
}

/// The Unix time in milliseconds, for nodes that start now.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

#[derive(Default)]
struct List {
    index: u64,
    /// Lines by name, with the version of their last change.
    lines: BTreeMap<String, (Line, u64)>,
}

impl List {
    /// An answer to who knows a version; nothing while there is nothing new.
    fn answer(&self, after: Option<u64>) -> Option<Vec<u8>> {
        match after.filter(|after| *after <= self.index) {
            Some(after) if after == self.index => None,
            after => Some(self.body(after)),
        }
    }

    fn body(&self, after: Option<u64>) -> Vec<u8> {
        let wanted = |(line, changed): &&(Line, u64)| match after {
            Some(after) => *changed > after,
            None => line.status != "left",
        };
        let lines: Vec<String> = self.lines.values().filter(wanted).map(|(line, _)| text(line)).collect();
        let snapshot = after.is_none();
        let body =
            format!(r#"{{"index":{},"snapshot":{snapshot},"endpoints":[{}]}}"#, self.index, lines.join(","));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

fn text(line: &Line) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"{}","type":"t","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
        line.name, line.address, line.zone, line.shard, line.status, line.since_ms
    )
}

/// Discovery's stand-in; it ends when it is dropped.
pub struct Registry {
    /// Where each group asks.
    pub addresses: Vec<SocketAddr>,
    /// Bytes of each group, as its initiators see them.
    pub counted: Arc<Vec<Counted>>,
    calls: Arc<AtomicU64>,
    list: Arc<Mutex<List>>,
    waker: Arc<Waker>,
    ended: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Registry {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there has been told on standard error.
            let _ = thread.join();
        }
    }
}

impl Registry {
    /// Starts one with these lines, and a listener for each group.
    pub fn start(ip: Ipv4Addr, groups: usize, lines: Vec<Line>) -> std::io::Result<Registry> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        for number in 0..groups {
            let mut listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
            poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let waker = Arc::new(Waker::new(poll.registry(), Token(groups))?);
        let counted = Arc::new((0..groups).map(|_| Counted::default()).collect::<Vec<_>>());
        let (calls, list, ended) = <(Arc<AtomicU64>, Arc<Mutex<List>>, Arc<AtomicBool>)>::default();
        let mut work = Work {
            poll,
            next: groups + 1,
            listeners,
            callers: HashMap::new(),
            list: list.clone(),
            counted: counted.clone(),
            calls: calls.clone(),
        };
        let at_work = ended.clone();
        let thread = thread::spawn(move || {
            while !at_work.load(Ordering::Relaxed) {
                if let Err(error) = work.turn() {
                    eprintln!("discovery's stand-in: {error}");
                    return;
                }
            }
        });
        let registry = Registry { addresses, counted, calls, list, waker, ended, thread: Some(thread) };
        registry.tell(lines);
        Ok(registry)
    }

    /// Tells changed lines from now on; the version that has them.
    pub fn tell(&self, changed: Vec<Line>) -> u64 {
        let mut list = lock(&self.list);
        list.index += 1;
        let index = list.index;
        for line in changed {
            list.lines.insert(line.name.clone(), (line, index));
        }
        drop(list);
        // The thread looks by itself as well, only later.
        let _ = self.waker.wake();
        index
    }

    /// The lines as they are.
    pub fn lines(&self) -> Vec<Line> {
        lock(&self.list).lines.values().map(|(line, _)| line.clone()).collect()
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

struct Caller {
    stream: TcpStream,
    group: usize,
    input: Vec<u8>,
    output: Vec<u8>,
    /// What it waits for: the version it knows, and until when.
    waits: Option<(u64, Instant)>,
}

struct Work {
    poll: Poll,
    listeners: Vec<TcpListener>,
    callers: HashMap<usize, Caller>,
    next: usize,
    list: Arc<Mutex<List>>,
    counted: Arc<Vec<Counted>>,
    calls: Arc<AtomicU64>,
}

impl Work {
    fn turn(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(MOST_EVENTS);
        match self.poll.poll(&mut events, Some(LOOK)) {
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
            // Without it answers come later, and that shows in the figures.
            let _ = stream.set_nodelay(true);
            let both = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(self.next), both)?;
            let caller = Caller { stream, group, input: Vec::new(), output: Vec::new(), waits: None };
            self.callers.insert(self.next, caller);
            self.next += 1;
        }
        Ok(())
    }

    fn read(&mut self, id: usize) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let sent = &self.counted[caller.group].sent;
        if !caller.read(sent) || !caller.write() {
            self.callers.remove(&id);
        }
    }

    /// Answers whoever there is something new for, or whose wait is over.
    fn answer_all(&mut self, now: Instant) {
        let list = lock(&self.list);
        // Most ask for the same.
        let mut bodies: HashMap<Option<u64>, Vec<u8>> = HashMap::new();
        let mut broken = Vec::new();
        for (id, caller) in &mut self.callers {
            caller.take_request(now);
            let Some((after, until)) = caller.waits else { continue };
            let after = (after > 0).then_some(after);
            let answer = match bodies.get(&after) {
                Some(body) => Some(body.clone()),
                None => list.answer(after).inspect(|body| drop(bodies.insert(after, body.clone()))),
            };
            let answer = answer.or_else(|| (until <= now).then(|| list.body(after)));
            let Some(answer) = answer else { continue };
            caller.waits = None;
            self.calls.fetch_add(1, Ordering::Relaxed);
            self.counted[caller.group].received.fetch_add(answer.len() as u64, Ordering::Relaxed);
            caller.output.extend_from_slice(&answer);
            if !caller.write() {
                broken.push(*id);
            }
        }
        broken.into_iter().for_each(|id| drop(self.callers.remove(&id)));
    }
}

impl Caller {
    /// Reads what is there; false once it is over.
    fn read(&mut self, sent: &AtomicU64) -> bool {
        let mut bytes = [0; LONGEST_REQUEST];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => {
                    sent.fetch_add(count as u64, Ordering::Relaxed);
                    self.input.extend_from_slice(&bytes[..count]);
                    if self.input.len() > LONGEST_REQUEST {
                        return false;
                    }
                }
                Err(error) => return matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
            }
        }
    }

    /// Takes the next request, once it is whole and the one before was answered.
    fn take_request(&mut self, now: Instant) {
        if self.waits.is_some() {
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
        self.waits = Some((number("after=").unwrap_or(0), now + wait));
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

//! Stand-in clients: they send on open connections as long as these last, keep those that rest, and leave now and then.

use super::history::{End, Kind, Request};
use super::wire::Wire;
use mio::net::TcpStream;
use mio::{Registry, Token};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use topazpath::resp::{self, Value};

/// A client gives up this long after its time.
const GIVES_UP_AFTER: Duration = Duration::from_millis(800);
/// Part of the writes that name no shard: new objects.
const NEW_OBJECTS: f64 = 0.3;
/// Part of the requests that are writes.
const WRITES: f64 = 0.4;

struct Conn {
    wire: Wire,
    /// The request that it waits for an answer to.
    open: Option<usize>,
}

/// All clients.
pub struct Clients {
    address: SocketAddr,
    shards: usize,
    waits: [Duration; 2],
    /// Part of the requests that come on a connection of their own.
    new_connections: f64,
    conns: HashMap<Token, Conn>,
    idle: Vec<Token>,
    /// When clients give up.
    patience: BTreeMap<(Instant, usize), Token>,
    pub requests: Vec<Request>,
}

impl Clients {
    pub fn new(address: SocketAddr, shards: usize, waits: [Duration; 2], new_connections: f64) -> Self {
        let (conns, idle, patience) = (HashMap::new(), Vec::new(), BTreeMap::new());
        Clients { address, shards, waits, new_connections, conns, idle, patience, requests: Vec::new() }
    }

    /// Opens connections that say `bytes` and no more.
    pub fn crowd(
        &mut self,
        count: usize,
        bytes: &[u8],
        registry: &Registry,
        mut token: impl FnMut() -> Token,
    ) {
        for _ in 0..count {
            let token = token();
            if let Some(mut wire) = connect(self.address, token, registry) {
                wire.write(bytes);
                self.conns.insert(token, Conn { wire, open: None });
            }
        }
    }

    /// One more request. `opens` says whether new connections are still made.
    pub fn send(
        &mut self,
        now: Instant,
        random: &mut ChaCha8Rng,
        registry: &Registry,
        opens: bool,
        token: impl FnOnce() -> Token,
    ) {
        let kind = if random.random_bool(WRITES) { Kind::Write } else { Kind::Read };
        let is_new = kind == Kind::Write && random.random_bool(NEW_OBJECTS);
        let shard = if is_new { -1 } else { random.random_range(0..self.shards as i64) };
        let waits = self.waits[usize::from(kind == Kind::Write)];
        let id = format!("{:016x}", random.random::<u64>());
        let command = command(&id, kind, shard, waits, random);
        let reuses = !opens || !random.random_bool(self.new_connections);
        let rested = reuses.then(|| self.idle.pop()).flatten();
        let reused = rested.is_some();
        let Some(token) = rested.or_else(|| {
            let token = token();
            let wire = opens.then(|| connect(self.address, token, registry)).flatten()?;
            self.conns.insert(token, Conn { wire, open: None });
            Some(token)
        }) else {
            return;
        };
        let Some(conn) = self.conns.get_mut(&token) else { return };
        conn.wire.write(&command);
        conn.open = Some(self.requests.len());
        self.patience.insert((now + waits + GIVES_UP_AFTER, self.requests.len()), token);
        self.requests.push(Request {
            id,
            kind,
            sent: Instant::now(),
            waits,
            reused,
            up: reused.then_some(now),
            end: None,
        });
    }

    /// Part of the clients with open requests close their connections.
    pub fn leave(&mut self, share: f64, random: &mut ChaCha8Rng) {
        let busy = self.conns.iter().filter(|(_, conn)| conn.open.is_some());
        let mut busy: Vec<Token> = busy.map(|(token, _)| *token).collect();
        busy.sort_unstable();
        for token in busy.into_iter().filter(|_| random.random_bool(share)) {
            self.end(token, End::Left);
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, token: Token) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let is_over = conn.wire.ready();
        if let Some(open) = conn.open.filter(|_| conn.wire.was_up()) {
            self.requests[open].up.get_or_insert_with(Instant::now);
        }
        match resp::parse(&conn.wire.input) {
            Ok(Some((value, length))) => {
                conn.wire.input.drain(..length);
                let end = match value {
                    Value::Bulk(Some(bytes)) if bytes == b"ok" => End::Answered { served: true },
                    Value::Error(_) => End::Answered { served: false },
                    other => End::Garbled(format!("{other:?}")),
                };
                let open = conn.open.take();
                let rests = !is_over && conn.wire.input.is_empty();
                if let Some(open) = open {
                    self.note(open, end);
                }
                match rests {
                    true => self.idle.push(token),
                    false => self.forget(token),
                }
            }
            Ok(None) if is_over && !conn.wire.was_up() => self.end(token, End::Unreached),
            Ok(None) if is_over => self.end(token, End::Closed),
            Ok(None) => {}
            Err(why) => self.end(token, End::Garbled(why)),
        }
    }

    fn end(&mut self, token: Token, end: End) {
        if let Some(open) = self.conns.get(&token).and_then(|conn| conn.open) {
            self.note(open, end);
        }
        self.forget(token);
    }

    fn note(&mut self, request: usize, end: End) {
        let request = &mut self.requests[request];
        // One that gave up in time is not lost; one that gave up after it was.
        let at = Instant::now();
        let gave_up = end == End::Left && at > request.sent + request.waits;
        if !gave_up {
            request.end = Some((at, end));
        }
    }

    fn forget(&mut self, token: Token) {
        self.conns.remove(&token);
        self.idle.retain(|other| *other != token);
    }

    pub fn next_timer(&self) -> Option<Instant> {
        self.patience.first_key_value().map(|((at, _), _)| *at)
    }

    /// Clients whose patience is over close their connections.
    pub fn tick(&mut self, now: Instant) {
        while let Some(entry) = self.patience.first_entry().filter(|entry| entry.key().0 <= now) {
            let request = entry.key().1;
            let token = entry.remove();
            if self.conns.get(&token).is_some_and(|conn| conn.open == Some(request)) {
                self.end(token, End::Left);
            }
        }
    }
}

fn connect(address: SocketAddr, token: Token, registry: &Registry) -> Option<Wire> {
    Wire::new(TcpStream::connect(address).ok()?, token, registry).ok()
}

fn command(id: &str, kind: Kind, shard: i64, waits: Duration, random: &mut ChaCha8Rng) -> Vec<u8> {
    let (word, class): (&[u8], _) = match kind {
        Kind::Read => (b"OBJ.GET", "read"),
        Kind::Write => (b"OBJ.PUT", "write"),
    };
    let object = format!("{:016x}", random.random::<u64>() | 1);
    let plan = if random.random_bool(0.5) { "base" } else { "plus" };
    let volume = random.random_range(1..40u64);
    let waits = waits.as_millis();
    let attributes =
        format!("c={class},t={plan},d={waits},volume={volume:016x},units=1,shard={shard},hosts=2");
    let mut words = vec![word, object.as_bytes(), id.as_bytes(), attributes.as_bytes()];
    if kind == Kind::Write {
        words.push(b"twenty bytes of body");
    }
    resp::command(&words)
}

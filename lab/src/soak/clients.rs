//! Stand-in clients: they reuse idle connections, open new ones for a share of the requests, and sometimes close a
//! connection with a request in flight. Some send several requests at once, with the read of a long value among them.

use super::history::{End, Kind, Request};
use super::long_value;
use super::wire::Wire;
use mio::net::TcpStream;
use mio::{Registry, Token};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use topazpath::resp;
use topazpath::resp::Value;

/// A client closes its connection this long after its deadline.
const GIVE_UP_DELAY: Duration = Duration::from_millis(800);
/// Share of the writes that create an object and therefore name no shard.
const NEW_OBJECTS: f64 = 0.3;
/// Share of the requests that are writes.
const WRITES: f64 = 0.4;
/// Volumes of all requests but reads of long values.
const VOLUMES: std::ops::Range<u64> = 1..40;

/// A request that is being sent.
struct Sent {
    id: String,
    kind: Kind,
    timeout: Duration,
    /// Whether its connection was used before.
    reused: bool,
}

struct Conn {
    wire: Wire,
    /// Indices of the requests in flight, in the order of their answers.
    in_flight: VecDeque<usize>,
}

/// All clients, with the requests they have sent.
pub struct Clients {
    address: SocketAddr,
    shards: usize,
    /// Deadlines of reads and writes.
    timeouts: [Duration; 2],
    /// Share of the requests sent on a new connection.
    new_connections: f64,
    conns: HashMap<Token, Conn>,
    idle: Vec<Token>,
    /// When clients give up, by time and request index.
    give_up_times: BTreeMap<(Instant, usize), Token>,
    pub requests: Vec<Request>,
}

impl Clients {
    pub fn new(address: SocketAddr, shards: usize, timeouts: [Duration; 2], new_connections: f64) -> Self {
        let (conns, idle, give_up_times) = (HashMap::new(), Vec::new(), BTreeMap::new());
        Clients {
            address,
            shards,
            timeouts,
            new_connections,
            conns,
            idle,
            give_up_times,
            requests: Vec::new(),
        }
    }

    /// Opens `count` connections that send `bytes` and nothing else.
    pub fn open_idle(
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
                self.conns.insert(token, Conn { wire, in_flight: VecDeque::new() });
            }
        }
    }

    /// Sends one random request. Without `may_connect` only idle connections are used, and nothing is sent if there is
    /// none.
    pub fn send(
        &mut self,
        now: Instant,
        random: &mut ChaCha8Rng,
        registry: &Registry,
        may_connect: bool,
        token: impl FnOnce() -> Token,
    ) {
        let kind = if random.random_bool(WRITES) { Kind::Write } else { Kind::Read };
        let is_new = kind == Kind::Write && random.random_bool(NEW_OBJECTS);
        let shard = if is_new { -1 } else { random.random_range(0..self.shards as i64) };
        let timeout = self.timeouts[usize::from(kind == Kind::Write)];
        let id = format!("{:016x}", random.random::<u64>());
        let volume = random.random_range(VOLUMES);
        let command = command(&id, kind, (shard, volume), timeout, random);
        let reuses_conn = !may_connect || !random.random_bool(self.new_connections);
        let idle_token = reuses_conn.then(|| self.idle.pop()).flatten();
        let reused = idle_token.is_some();
        let Some(token) = idle_token.or_else(|| {
            let token = token();
            let wire = may_connect.then(|| connect(self.address, token, registry)).flatten()?;
            self.conns.insert(token, Conn { wire, in_flight: VecDeque::new() });
            Some(token)
        }) else {
            return;
        };
        let Some(conn) = self.conns.get_mut(&token) else { return };
        conn.wire.write(&command);
        self.record_sent(token, Sent { id, kind, timeout, reused }, now + timeout + GIVE_UP_DELAY);
    }

    /// Sends a write, the read of a long value and another write at once on a new connection.
    pub fn send_pipeline(
        &mut self,
        now: Instant,
        random: &mut ChaCha8Rng,
        registry: &Registry,
        token: impl FnOnce() -> Token,
    ) {
        let token = token();
        let Some(wire) = connect(self.address, token, registry) else { return };
        self.conns.insert(token, Conn { wire, in_flight: VecDeque::new() });
        let give_up_at = now + self.timeouts[0].max(self.timeouts[1]) + GIVE_UP_DELAY;
        for kind in [Kind::Write, Kind::Read, Kind::Write] {
            let timeout = self.timeouts[usize::from(kind == Kind::Write)];
            let id = format!("{:016x}", random.random::<u64>());
            let (shard, volume) = match kind {
                Kind::Read => (random.random_range(0..self.shards as i64), long_value::VOLUME),
                Kind::Write => (-1, random.random_range(VOLUMES)),
            };
            let command = command(&id, kind, (shard, volume), timeout, random);
            if let Some(conn) = self.conns.get_mut(&token) {
                conn.wire.write(&command);
            }
            self.record_sent(token, Sent { id, kind, timeout, reused: false }, give_up_at);
        }
    }

    fn record_sent(&mut self, token: Token, sent: Sent, give_up_at: Instant) {
        let (number, now) = (self.requests.len(), Instant::now());
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.in_flight.push_back(number);
        }
        self.give_up_times.insert((give_up_at, number), token);
        self.requests.push(Request {
            id: sent.id,
            kind: sent.kind,
            sent: now,
            timeout: sent.timeout,
            reused: sent.reused,
            next_since: None,
            connected_at: sent.reused.then_some(now),
            end: None,
        });
    }

    /// A random share of the clients with a request in flight close their connections.
    pub fn abandon(&mut self, share: f64, random: &mut ChaCha8Rng) {
        let busy = self.conns.iter().filter(|(_, conn)| !conn.in_flight.is_empty());
        let mut busy: Vec<Token> = busy.map(|(token, _)| *token).collect();
        busy.sort_unstable();
        for token in busy.into_iter().filter(|_| random.random_bool(share)) {
            self.end(token, End::Left);
        }
    }

    /// Handles readiness of a connection.
    pub fn ready(&mut self, token: Token) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let is_closed = conn.wire.ready();
        for in_flight in conn.in_flight.iter().filter(|_| conn.wire.was_connected()) {
            self.requests[*in_flight].connected_at.get_or_insert_with(Instant::now);
        }
        while self.read_answer(token, is_closed) {}
    }

    /// Handles the next answer on a connection; true if another one may follow.
    fn read_answer(&mut self, token: Token, is_closed: bool) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        match long_value::parse(&conn.wire.input) {
            Ok(Some((value, length))) => {
                conn.wire.input.drain(..length);
                let answered = conn.in_flight.pop_front();
                let next = conn.in_flight.front().copied();
                let is_idle = !is_closed && conn.wire.input.is_empty();
                if let Some(request) = answered {
                    self.record(request, end_of(value));
                }
                match next {
                    Some(next) => self.requests[next].next_since = Some(Instant::now()),
                    None if is_idle => self.idle.push(token),
                    None => self.remove_conn(token),
                }
                return next.is_some();
            }
            Ok(None) if is_closed && !conn.wire.was_connected() => self.end(token, End::Unreached),
            Ok(None) if is_closed => match conn.in_flight.front() {
                Some(first) if long_value::has_begun(&conn.wire.input) => {
                    let value_of = self.requests[*first].id.clone();
                    self.end(token, End::CutOff { value_of });
                }
                _ => self.end(token, End::Closed),
            },
            Ok(None) => {}
            Err(why) => self.end(token, End::Garbled(why)),
        }
        false
    }

    fn end(&mut self, token: Token, end: End) {
        let in_flight = self.conns.get(&token).map(|conn| conn.in_flight.clone()).unwrap_or_default();
        in_flight.into_iter().for_each(|request| self.record(request, end.clone()));
        self.remove_conn(token);
    }

    fn record(&mut self, request: usize, end: End) {
        let request = &mut self.requests[request];
        // A client that left before its deadline excuses the missing answer; one that gave up after it does not.
        let at = Instant::now();
        let gave_up = end == End::Left && at > request.sent + request.timeout;
        if !gave_up {
            request.end = Some((at, end));
        }
    }

    fn remove_conn(&mut self, token: Token) {
        self.conns.remove(&token);
        self.idle.retain(|other| *other != token);
    }

    pub fn next_timer(&self) -> Option<Instant> {
        self.give_up_times.first_key_value().map(|((at, _), _)| *at)
    }

    /// Closes the connections of clients that give up.
    pub fn tick(&mut self, now: Instant) {
        while let Some(entry) = self.give_up_times.first_entry().filter(|entry| entry.key().0 <= now) {
            let request = entry.key().1;
            let token = entry.remove();
            if self.conns.get(&token).is_some_and(|conn| conn.in_flight.contains(&request)) {
                self.end(token, End::Left);
            }
        }
    }
}

fn connect(address: SocketAddr, token: Token, registry: &Registry) -> Option<Wire> {
    Wire::new(TcpStream::connect(address).ok()?, token, registry).ok()
}

fn end_of(answer: Value) -> End {
    match answer {
        Value::Bulk(Some(bytes)) if bytes == b"ok" || long_value::is_whole(&bytes) => {
            End::Answered { served: true }
        }
        Value::Error(_) => End::Answered { served: false },
        other => End::Garbled(format!("{:.99}", format!("{other:?}"))),
    }
}

fn command(
    id: &str,
    kind: Kind,
    (shard, volume): (i64, u64),
    timeout: Duration,
    random: &mut ChaCha8Rng,
) -> Vec<u8> {
    let (word, class): (&[u8], _) = match kind {
        Kind::Read => (b"OBJ.GET", "read"),
        Kind::Write => (b"OBJ.PUT", "write"),
    };
    let object = format!("{:016x}", random.random::<u64>() | 1);
    let plan = if random.random_bool(0.5) { "base" } else { "plus" };
    let timeout = timeout.as_millis();
    let attributes =
        format!("c={class},t={plan},d={timeout},volume={volume:016x},units=1,shard={shard},hosts=2");
    let mut words = vec![word, object.as_bytes(), id.as_bytes(), attributes.as_bytes()];
    if kind == Kind::Write {
        words.push(b"twenty bytes of body");
    }
    resp::command(&words)
}

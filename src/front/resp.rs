//! Clients that speak RESP2: `OBJ.GET`, `OBJ.PUT`, `PING` and `INFO`.

use crate::clock::Clock;
use crate::config::Wire;
use crate::conn::{Conn, ReadEnd};
use crate::core::{Answer, Content, Core, Operation, Origin};
use crate::interface::{NewRequest, RequestId, VolumeId};
use crate::resp::{self, Value};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Commands of one connection that wait for their answers; beyond it nothing more is read.
const MOST_PENDING: usize = 128;
/// Answers that a client has not read yet; beyond it nothing more is read from it.
const MOST_UNREAD: usize = 256 * 1024;
/// Unparsed input of a connection: a command of the largest size and some more.
const MOST_INPUT: usize = 2 * resp::LARGEST_BULK;
/// The answer goes out this long before the client stops waiting. Guards against a busy machine on either side.
const MARGIN: Duration = Duration::from_millis(10);
/// Part of the memory that bodies of open requests may take up.
const BODIES_PART: usize = 4;

struct Pending {
    place: u64,
    request: Option<RequestId>,
    answer: Option<Vec<u8>>,
}

struct Client {
    conn: Conn,
    /// Commands without a written answer, in order.
    pending: VecDeque<Pending>,
    next_place: u64,
    used: Instant,
    /// More input may wait in the kernel.
    paused: bool,
    /// Nothing more is read; it is closed once all is answered and written.
    closing: bool,
}

/// The listener and its clients.
pub struct Front {
    listener: Option<TcpListener>,
    clients: HashMap<usize, Client>,
    wire: Wire,
    clock: Clock,
    most: usize,
    most_bodies: usize,
    retry_after: Duration,
}

impl Front {
    /// Listens; `most` clients may be connected together.
    #[allow(clippy::too_many_arguments)]
    pub fn listen(
        address: SocketAddr,
        token: Token,
        registry: &Registry,
        wire: Wire,
        clock: Clock,
        most: usize,
        memory: usize,
        retry_after: Duration,
    ) -> std::io::Result<Self> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, token, Interest::READABLE)?;
        let most_bodies = memory / BODIES_PART;
        Ok(Front {
            listener: Some(listener),
            clients: HashMap::new(),
            wire,
            clock,
            most,
            most_bodies,
            retry_after,
        })
    }

    /// Takes new connections. Guards against running out of descriptors: past the limit the client that was
    /// idle for longest makes room; with none idle the rest waits in the kernel.
    pub fn accept(&mut self, now: Instant, registry: &Registry, mut next: impl FnMut() -> Token) {
        while self.clients.len() < self.most || self.close_an_idle_one() {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.admit(now, stream, next(), registry),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::warn!("accept: {error}");
                    return;
                }
            }
        }
    }

    fn admit(&mut self, now: Instant, stream: TcpStream, token: Token, registry: &Registry) {
        let _ = stream.set_nodelay(true);
        if let Ok(conn) = Conn::new(stream, token, registry) {
            let (pending, next_place) = (VecDeque::new(), 0);
            let client = Client { conn, pending, next_place, used: now, paused: false, closing: false };
            self.clients.insert(token.0, client);
        }
    }

    fn close_an_idle_one(&mut self) -> bool {
        let idle = self.clients.iter().filter(|(_, it)| it.pending.is_empty() && it.conn.unwritten() == 0);
        let oldest = idle.min_by_key(|(_, client)| client.used).map(|(id, _)| *id);
        oldest.is_some_and(|id| self.clients.remove(&id).is_some())
    }

    /// Something happened on a client's connection.
    pub fn ready(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.used = now;
        if client.conn.flush().is_err() {
            return self.drop_client(id, core);
        }
        self.take_input(now, id, core);
        self.write(now, id, core);
    }

    fn take_input(&mut self, now: Instant, id: usize, core: &mut Core) {
        loop {
            let Some(client) = self.clients.get_mut(&id).filter(|client| !client.closing) else { return };
            client.paused = client.pending.len() >= MOST_PENDING || client.conn.unwritten() > MOST_UNREAD;
            if client.paused {
                return;
            }
            let end = client.conn.read(MOST_INPUT);
            if end == ReadEnd::Closed {
                return self.drop_client(id, core);
            }
            let progressed = self.take_commands(now, id, core);
            if end == ReadEnd::Blocked || !progressed {
                return;
            }
        }
    }

    /// Takes the whole commands of the input; false if there was none.
    fn take_commands(&mut self, now: Instant, id: usize, core: &mut Core) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let mut at = 0;
        while client.pending.len() < MOST_PENDING && !client.closing {
            let place = client.next_place;
            let taken = match resp::parse(&client.conn.input[at..]) {
                Ok(None) => break,
                Ok(Some((value, length))) => {
                    at += length;
                    let origin = Origin { conn: id, place };
                    let over = core.held_bytes() > self.most_bodies;
                    let command = read_command(value, &self.wire, self.clock.millis(now));
                    match command {
                        Ok(Command::Ping) => Err(b"+PONG\r\n".to_vec()),
                        Ok(Command::Info) => {
                            let mut text = Vec::new();
                            resp::bulk(&mut text, core.counters.text(core.open_requests()).as_bytes());
                            Err(text)
                        }
                        // Guards against running out of memory: bodies held take a bounded part of it.
                        Ok(Command::Request(..)) if over => Err(refusal(self.retry_after)),
                        Ok(Command::Request(new, content)) => Ok(core.take(origin, new, content)),
                        Err(why) => Err(format!("-ERR {why}\r\n").into_bytes()),
                    }
                }
                Err(why) => {
                    client.closing = true;
                    Err(format!("-ERR Protocol error: {why}\r\n").into_bytes())
                }
            };
            client.next_place += 1;
            let (request, answer) = match taken {
                Ok(request) => (Some(request), None),
                Err(answer) => (None, Some(answer)),
            };
            client.pending.push_back(Pending { place, request, answer });
        }
        client.conn.input.drain(..at);
        at > 0
    }

    /// Gives a final answer to its client, in the order of the commands.
    pub fn answer(&mut self, now: Instant, origin: Origin, answer: Answer, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&origin.conn) else { return };
        let Some(pending) = client.pending.iter_mut().find(|pending| pending.place == origin.place) else {
            return;
        };
        pending.answer = Some(match answer {
            Answer::Served(value) => {
                let mut text = Vec::with_capacity(value.len() + 16);
                resp::bulk(&mut text, &value);
                text
            }
            Answer::Refused { retry_after } => refusal(retry_after),
            Answer::Failed => b"-ERR failed\r\n".to_vec(),
        });
        self.write(now, origin.conn, core);
        if self.clients.get(&origin.conn).is_some_and(|client| client.paused) {
            self.take_input(now, origin.conn, core);
            self.write(now, origin.conn, core);
        }
    }

    /// Writes the answers that are next in order; closes where that is due.
    fn write(&mut self, now: Instant, id: usize, core: &mut Core) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        while let Some(pending) = client.pending.pop_front_if(|pending| pending.answer.is_some()) {
            client.conn.push(&pending.answer.unwrap_or_default());
            client.used = now;
        }
        if client.conn.flush().is_err() {
            return self.drop_client(id, core);
        }
        if client.closing && client.pending.is_empty() && client.conn.unwritten() == 0 {
            self.clients.remove(&id);
        }
    }

    /// A client has gone away with all that it asked for.
    fn drop_client(&mut self, id: usize, core: &mut Core) {
        let Some(client) = self.clients.remove(&id) else { return };
        client.pending.iter().filter_map(|pending| pending.request).for_each(|id| core.client_gone(id));
    }

    /// Ends listening and closes clients as they become idle; true once none is left.
    pub fn shut_down(&mut self, now: Instant, core: &mut Core) -> bool {
        self.listener = None;
        let ids: Vec<usize> = self.clients.keys().copied().collect();
        for id in ids {
            // What has come is taken before the connection is closed.
            self.ready(now, id, core);
            if let Some(client) = self.clients.get_mut(&id) {
                client.closing = client.pending.is_empty();
            }
            self.write(now, id, core);
        }
        self.clients.is_empty()
    }
}

fn refusal(retry_after: Duration) -> Vec<u8> {
    match retry_after.as_millis() {
        0 => b"-BUSY\r\n".to_vec(),
        millis => format!("-BUSY {millis}\r\n").into_bytes(),
    }
}

enum Command {
    Ping,
    Info,
    Request(NewRequest, Content),
}

/// Reads a command; an error is told to the client.
fn read_command(value: Value, wire: &Wire, now: f64) -> Result<Command, String> {
    let Value::Array(Some(values)) = value else {
        return Err("a command is an array of bulk strings".into());
    };
    let words = values.into_iter().map(|value| match value {
        Value::Bulk(Some(word)) => Ok(word),
        _ => Err("a command is an array of bulk strings"),
    });
    let words: Vec<Vec<u8>> = words.collect::<Result<_, _>>()?;
    let name = words.first().map(|word| word.to_ascii_uppercase()).unwrap_or_default();
    let (operation, count) = match name.as_slice() {
        b"PING" => return Ok(Command::Ping),
        b"INFO" => return Ok(Command::Info),
        b"OBJ.GET" => (Operation::Read, 4),
        b"OBJ.PUT" => (Operation::Write, 5),
        _ => return Err("unknown command".into()),
    };
    if words.len() != count {
        return Err("wrong number of arguments".into());
    }
    let mut words = words.into_iter().skip(1);
    let mut text = |what: &str| {
        let word = words.next().unwrap_or_default();
        String::from_utf8(word).map_err(|_| format!("the {what} is not text"))
    };
    let (object, id, attributes) = (text("piece of data")?, text("id")?, text("list")?);
    let body = words.next().unwrap_or_default();
    let (new, attributes) = read_attributes(&attributes, &object, wire, now)?;
    Ok(Command::Request(new, Content { operation, object, id, attributes, body }))
}

/// Reads the list of names and values. What is passed on leaves out the deadline.
fn read_attributes(list: &str, object: &str, wire: &Wire, now: f64) -> Result<(NewRequest, String), String> {
    let mut new =
        NewRequest { key: hex(object, "piece of data")?, volume_hosts: 1.0, ..NewRequest::default() };
    let (mut class, mut plan, mut wait, mut volume, mut units, mut shard) =
        (None, None, None, None, None, None);
    let mut passed_on = Vec::new();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or_else(|| format!("{pair:?} has no value"))?;
        let position = |names: &[String]| {
            names.iter().position(|one| one == value).ok_or_else(|| format!("{name}={value} is not known"))
        };
        match name {
            "c" => class = Some(position(&wire.classes)?),
            "t" => plan = Some(position(&wire.plans)?),
            "d" => wait = Some(number(name, value)?),
            "volume" => volume = Some(VolumeId(hex(value, name)?)),
            "units" => units = Some(number(name, value)?),
            "shard" if value == "-1" => shard = Some(None),
            "shard" => shard = Some(Some(value.parse().map_err(|_| format!("shard={value} is no shard"))?)),
            "hosts" => new.volume_hosts = number(name, value)?.max(1.0),
            _ => {}
        }
        if name != "d" {
            passed_on.push(pair);
        }
    }
    let missing = |name: &str| format!("{name} is missing");
    new.class = class.ok_or_else(|| missing("c"))?;
    new.plan = plan.ok_or_else(|| missing("t"))?;
    new.volume = volume.ok_or_else(|| missing("volume"))?;
    new.units = units.ok_or_else(|| missing("units"))?;
    new.shard = shard.ok_or_else(|| missing("shard"))?;
    let wait = wait.ok_or_else(|| missing("d"))?;
    new.deadline = now + (wait - MARGIN.as_secs_f64() * 1000.0).max(1.0);
    Ok((new, passed_on.join(",")))
}

fn hex(text: &str, what: &str) -> Result<u64, String> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|_| digits)
        .ok_or_else(|| format!("the {what} is not 16 hexadecimal digits"))
}

/// A number of sensible size, not negative.
fn number(name: &str, value: &str) -> Result<f64, String> {
    let number = value.parse().ok().filter(|number| (0.0..1e9).contains(number));
    number.ok_or_else(|| format!("{name}={value} is not a number"))
}

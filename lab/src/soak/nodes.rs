//! Stand-in storage nodes: each has its own listener, answers after a random service time, and fails as the plan says.

use super::history::Attempt;
use super::long_value;
use super::wire::Wire;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use topazpath::resp::{self, Value};

/// Length of a node's accept queue.
const BACKLOG: i32 = 128;
/// An answer with a value, without the optional fields.
const SERVED: &[u8] = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";
const FAILED: &[u8] = b"-ERR failed\r\n";
/// Bytes of a long answer that a node sends before it breaks off, and the time from then until it resets the connection.
const PART: usize = 150_000;
const RESET_DELAY: Duration = Duration::from_millis(10);

/// How a node fails for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Accepts connections and does not answer.
    Unresponsive,
    /// Answers every request with an error.
    Errors,
    /// Resets existing and new connections.
    Down,
    /// Resets connections in the middle of long values.
    BreaksOff,
}

/// What a node sends next on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Answer {
    Served,
    Failed,
    /// A long value, for the request of this id.
    Long(String),
    /// The beginning of a long value, and then a reset.
    PartOfLong(String),
    Reset,
}

impl Answer {
    /// The answer of a node to a command.
    fn to(command: &Command, failure: Option<Failure>) -> Answer {
        match failure {
            Some(Failure::Errors) => Answer::Failed,
            Some(Failure::BreaksOff) if command.wants_long_value => Answer::PartOfLong(command.id.clone()),
            _ if command.wants_long_value => Answer::Long(command.id.clone()),
            _ => Answer::Served,
        }
    }
}

/// The socket behind a node's address.
enum Endpoint {
    Listening(TcpListener),
    /// Bound without listening: connections are refused, and no other process can take the port.
    Dead(#[expect(dead_code, reason = "it holds the port")] Socket),
}

struct Node {
    endpoint: Endpoint,
    address: SocketAddr,
    failure: Option<(Failure, Instant)>,
}

struct Conn {
    node: usize,
    wire: Wire,
    /// Answers not sent yet.
    pending: usize,
    /// The request whose long value was last sent here, until the next command.
    value_of: Option<String>,
}

/// All nodes and the connections to them.
pub struct Nodes {
    nodes: Vec<Node>,
    conns: HashMap<Token, Conn>,
    /// Pending answers by the time they are sent.
    answers: BTreeMap<(Instant, u64), (Token, Answer)>,
    /// When nodes recover from a failure.
    recoveries: BTreeSet<(Instant, usize)>,
    sequence: u64,
    service: [Duration; 2],
    pub attempts: Vec<Attempt>,
    /// Requests for which a node has begun a long value on a connection that it reset.
    pub reset_values: HashSet<String>,
    pub accepted: u64,
}

impl Nodes {
    /// Starts `count` nodes; those in `dead` refuse all connections.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened, or two nodes got the same address.
    pub fn start(
        host: Ipv4Addr,
        count: usize,
        dead: &BTreeSet<usize>,
        service: [Duration; 2],
        registry: &Registry,
        token: impl Fn(usize) -> Token,
    ) -> std::io::Result<Self> {
        let mut nodes = Vec::with_capacity(count);
        for number in 0..count {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.bind(&SocketAddr::from((host, 0)).into())?;
            let address = socket.local_addr()?.as_socket().ok_or(std::io::ErrorKind::InvalidInput)?;
            let endpoint = if dead.contains(&number) {
                Endpoint::Dead(socket)
            } else {
                socket.listen(BACKLOG)?;
                socket.set_nonblocking(true)?;
                let mut listener = TcpListener::from_std(socket.into());
                registry.register(&mut listener, token(number), Interest::READABLE)?;
                Endpoint::Listening(listener)
            };
            nodes.push(Node { endpoint, address, failure: None });
        }
        let addresses: BTreeSet<SocketAddr> = nodes.iter().map(|node: &Node| node.address).collect();
        if addresses.len() < count {
            // Attempts at one node would be recorded for the other.
            return Err(std::io::Error::other("two stand-in nodes have the same address"));
        }
        let (conns, answers, recoveries) = (HashMap::new(), BTreeMap::new(), BTreeSet::new());
        Ok(Nodes {
            nodes,
            conns,
            answers,
            recoveries,
            sequence: 0,
            service,
            attempts: Vec::new(),
            reset_values: HashSet::new(),
            accepted: 0,
        })
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    /// Makes `nodes` fail until `until`.
    pub fn failure(&mut self, nodes: &[usize], failure: Failure, until: Instant) {
        for node in nodes {
            self.nodes[*node].failure = Some((failure, until));
            self.recoveries.insert((until, *node));
        }
        if failure == Failure::Down {
            self.drop(nodes, |_| true);
        }
    }

    /// Ends the idle connections of `nodes`: closes and resets them alternately.
    pub fn drop_idle(&mut self, nodes: &[usize]) {
        self.drop(nodes, |conn| conn.pending == 0 && conn.wire.input.is_empty());
    }

    fn drop(&mut self, nodes: &[usize], wanted: impl Fn(&Conn) -> bool) {
        let nodes: BTreeSet<usize> = nodes.iter().copied().collect();
        let mut orderly = false;
        self.conns.retain(|_, conn| {
            if !nodes.contains(&conn.node) || !wanted(conn) {
                return true;
            }
            orderly = !orderly;
            if !orderly {
                conn.wire.reset();
            }
            self.reset_values.extend(conn.value_of.take());
            false
        });
    }

    /// Accepts the pending connections of a node.
    pub fn accept(&mut self, node: usize, registry: &Registry, mut token: impl FnMut() -> Token) {
        // A node that is down accepts too, and resets: if connections stayed in the queue, their commands would be
        // recorded as starting when the node is up again.
        let is_down = matches!(self.nodes[node].failure, Some((Failure::Down, _)));
        let Endpoint::Listening(listener) = &self.nodes[node].endpoint else { return };
        while let Ok((stream, _)) = listener.accept() {
            let token = token();
            if let Ok(wire) = Wire::new(stream, token, registry) {
                self.accepted += 1;
                if is_down {
                    wire.reset();
                    continue;
                }
                self.conns.insert(token, Conn { node, wire, pending: 0, value_of: None });
            }
        }
    }

    /// Handles readiness of a connection.
    pub fn ready(&mut self, now: Instant, token: Token, random: &mut ChaCha8Rng) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let is_closed = conn.wire.ready();
        while let Ok(Some((command, length))) = resp::parse(&conn.wire.input) {
            conn.wire.input.drain(..length);
            let Some(command) = read_command(&command) else { continue };
            conn.value_of = None;
            let (id, time_left) = (command.id.clone(), command.time_left);
            self.attempts.push(Attempt { id, node: conn.node, started_at: now, time_left });
            let failure = self.nodes[conn.node].failure.map(|(failure, _)| failure);
            if failure == Some(Failure::Unresponsive) {
                continue;
            }
            let [min, max] = self.service;
            let after = min + (max - min).mul_f64(random.random());
            self.sequence += 1;
            conn.pending += 1;
            self.answers.insert((now + after, self.sequence), (token, Answer::to(&command, failure)));
        }
        if is_closed {
            self.conns.remove(&token);
        }
    }

    pub fn next_timer(&self) -> Option<Instant> {
        let answer = self.answers.first_key_value().map(|((at, _), _)| *at);
        answer.into_iter().chain(self.recoveries.first().map(|(at, _)| *at)).min()
    }

    fn send(&mut self, now: Instant, token: Token, answer: Answer) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        // A part is followed by the reset.
        conn.pending -= usize::from(!matches!(answer, Answer::PartOfLong(_)));
        match answer {
            Answer::Served => conn.wire.write(SERVED),
            Answer::Failed => conn.wire.write(FAILED),
            Answer::Long(id) => {
                conn.wire.write(&long_value::answer());
                conn.value_of = Some(id);
            }
            Answer::PartOfLong(id) => {
                conn.wire.write(&long_value::answer()[..PART]);
                conn.value_of = Some(id);
                self.sequence += 1;
                self.answers.insert((now + RESET_DELAY, self.sequence), (token, Answer::Reset));
            }
            Answer::Reset => {
                conn.wire.reset();
                self.reset_values.extend(conn.value_of.take());
                self.conns.remove(&token);
            }
        }
    }

    /// Sends the answers that are due, and ends failures that are over.
    pub fn tick(&mut self, now: Instant) {
        while let Some(entry) = self.answers.first_entry().filter(|entry| entry.key().0 <= now) {
            let (token, answer) = entry.remove();
            self.send(now, token, answer);
        }
        while let Some((at, node)) = self.recoveries.first().copied().filter(|(at, _)| *at <= now) {
            self.recoveries.remove(&(at, node));
            self.nodes[node].failure.take_if(|(_, until)| *until <= now);
        }
    }
}

/// What a node reads of a command.
struct Command {
    id: String,
    /// The remaining time that it states.
    time_left: Duration,
    wants_long_value: bool,
}

fn read_command(command: &Value) -> Option<Command> {
    let Value::Array(Some(words)) = command else { return None };
    let word = |at: usize| match words.get(at) {
        Some(Value::Bulk(Some(bytes))) => Some(String::from_utf8_lossy(bytes).into_owned()),
        _ => None,
    };
    let attributes = word(3)?;
    let attribute = |name: &str| attributes.split(',').find_map(|pair| pair.strip_prefix(name));
    let time_left = Duration::from_millis(attribute("d=")?.parse().ok()?);
    let volume = u64::from_str_radix(attribute("volume=")?, 16).ok()?;
    Some(Command { id: word(2)?, time_left, wants_long_value: volume == long_value::VOLUME })
}

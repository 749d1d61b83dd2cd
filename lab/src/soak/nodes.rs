//! Stand-in storage nodes: each has a listener of its own, answers after a drawn time, and fails as it is told to.

use super::history::Attempt;
use super::wire::Wire;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use topazpath::resp::{self, Value};

/// Connections that a node's kernel lets in before they are accepted.
const BACKLOG: i32 = 128;
/// An answer with a value and nothing else.
const SERVED: &[u8] = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";
const FAILED: &[u8] = b"-ERR failed\r\n";

/// What a node does for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It accepts and says nothing.
    Hangs,
    /// It answers errors.
    Errors,
    /// It resets what it has, and whoever comes.
    Down,
}

/// Where a node is reached.
enum Place {
    Listens(TcpListener),
    /// A port that refuses, and is nobody else's.
    Dead(#[expect(dead_code, reason = "it holds the port")] Socket),
}

struct Node {
    place: Place,
    address: SocketAddr,
    trouble: Option<(Trouble, Instant)>,
}

struct Conn {
    node: usize,
    wire: Wire,
    /// Answers that are not out yet.
    working: usize,
}

/// All nodes and the connections to them.
pub struct Nodes {
    nodes: Vec<Node>,
    conns: HashMap<Token, Conn>,
    /// Answers by when they go out.
    due: BTreeMap<(Instant, u64), (Token, bool)>,
    /// Ends of troubles.
    recoveries: BTreeSet<(Instant, usize)>,
    sequence: u64,
    service: [Duration; 2],
    pub attempts: Vec<Attempt>,
    pub accepted: u64,
}

impl Nodes {
    /// So many nodes; `dead` of them never accept.
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
            let place = if dead.contains(&number) {
                Place::Dead(socket)
            } else {
                socket.listen(BACKLOG)?;
                socket.set_nonblocking(true)?;
                let mut listener = TcpListener::from_std(socket.into());
                registry.register(&mut listener, token(number), Interest::READABLE)?;
                Place::Listens(listener)
            };
            nodes.push(Node { place, address, trouble: None });
        }
        let addresses: BTreeSet<SocketAddr> = nodes.iter().map(|node: &Node| node.address).collect();
        if addresses.len() < count {
            // What is meant for one would be taken to have come to another.
            return Err(std::io::Error::other("two stand-in nodes have one address"));
        }
        let (conns, due, recoveries) = (HashMap::new(), BTreeMap::new(), BTreeSet::new());
        Ok(Nodes { nodes, conns, due, recoveries, sequence: 0, service, attempts: Vec::new(), accepted: 0 })
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    /// Nodes fail in some way until then.
    pub fn trouble(&mut self, nodes: &[usize], trouble: Trouble, until: Instant) {
        for node in nodes {
            self.nodes[*node].trouble = Some((trouble, until));
            self.recoveries.insert((until, *node));
        }
        if trouble == Trouble::Down {
            self.drop(nodes, |_| true);
        }
    }

    /// Ends the connections of nodes that rest, every other one in order.
    pub fn drop_idle(&mut self, nodes: &[usize]) {
        self.drop(nodes, |conn| conn.working == 0 && conn.wire.input.is_empty());
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
            false
        });
    }

    /// Newcomers at a node.
    pub fn accept(&mut self, node: usize, registry: &Registry, mut token: impl FnMut() -> Token) {
        // Left in the queue, what they write would seem to begin when it is read at last.
        let is_down = matches!(self.nodes[node].trouble, Some((Trouble::Down, _)));
        let Place::Listens(listener) = &self.nodes[node].place else { return };
        while let Ok((stream, _)) = listener.accept() {
            let token = token();
            if let Ok(wire) = Wire::new(stream, token, registry) {
                self.accepted += 1;
                if is_down {
                    wire.reset();
                    continue;
                }
                self.conns.insert(token, Conn { node, wire, working: 0 });
            }
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Instant, token: Token, random: &mut ChaCha8Rng) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let is_over = conn.wire.ready();
        while let Ok(Some((command, length))) = resp::parse(&conn.wire.input) {
            conn.wire.input.drain(..length);
            let Some((id, left)) = read_command(&command) else { continue };
            self.attempts.push(Attempt { id, node: conn.node, begun: now, left });
            let trouble = self.nodes[conn.node].trouble.map(|(trouble, _)| trouble);
            if trouble == Some(Trouble::Hangs) {
                continue;
            }
            let [least, most] = self.service;
            let after = least + (most - least).mul_f64(random.random());
            self.sequence += 1;
            conn.working += 1;
            self.due.insert((now + after, self.sequence), (token, trouble != Some(Trouble::Errors)));
        }
        if is_over {
            self.conns.remove(&token);
        }
    }

    pub fn next_timer(&self) -> Option<Instant> {
        let due = self.due.first_key_value().map(|((at, _), _)| *at);
        due.into_iter().chain(self.recoveries.first().map(|(at, _)| *at)).min()
    }

    /// Answers go out, and nodes recover.
    pub fn tick(&mut self, now: Instant) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let (token, served) = entry.remove();
            if let Some(conn) = self.conns.get_mut(&token) {
                conn.working -= 1;
                conn.wire.write(if served { SERVED } else { FAILED });
            }
        }
        while let Some((at, node)) = self.recoveries.first().copied().filter(|(at, _)| *at <= now) {
            self.recoveries.remove(&(at, node));
            self.nodes[node].trouble.take_if(|(_, until)| *until <= now);
        }
    }
}

/// The id of a command, and the time that it says is left.
fn read_command(command: &Value) -> Option<(String, Duration)> {
    let Value::Array(Some(words)) = command else { return None };
    let word = |at: usize| match words.get(at) {
        Some(Value::Bulk(Some(bytes))) => Some(String::from_utf8_lossy(bytes).into_owned()),
        _ => None,
    };
    let attributes = word(3)?;
    let left = attributes.split(',').find_map(|pair| pair.strip_prefix("d="))?.parse().ok()?;
    Some((word(2)?, Duration::from_millis(left)))
}

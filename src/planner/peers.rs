//! A planner's outgoing connections to the other planners. They carry this planner's agreement messages; the others
//! send theirs on connections that they open. A message that can't be sent is dropped: the agreement repeats what it
//! needs.

use super::frame::{self, FromPlanner, ToPlanner, LENGTH_BYTES, SCHEMA};
use super::settings::Peer;
use crate::backoff::Backoff;
use crate::conn::{Conn, Connecting};
use crate::revisions::agreement::VoterId;
use crate::shares::deal;
use mio::net::TcpStream;
use mio::{Registry, Token};
use socket2::SockRef;
use std::io;
use std::time::{Duration, Instant};

/// Timeout for connecting, and for TCP acknowledgements of sent bytes.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of heartbeats on an idle connection, so that a broken one is detected.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The first and the longest pause before the next attempt to connect.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
/// Bytes that may be queued for a planner that does not read; further messages are dropped.
const MAX_UNSENT_BYTES: usize = 1024 * 1024;
/// The longest answer, which is the reason why a greeting is refused.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

enum State {
    Down { retry: Instant },
    Connecting { deadline: Instant },
    Up { since: Instant },
}

struct Link {
    peer: Peer,
    token: Token,
    conn: Option<Conn>,
    state: State,
    last_sent: Instant,
    backoff: Backoff,
    /// The last reason for a disconnection; a repeated one is not logged again.
    last_failure: String,
}

/// Connections to all other planners.
pub(super) struct Peers {
    own: String,
    links: Vec<Link>,
}

impl Peers {
    /// The connections are opened by the first [`Peers::run_timers`]. Each takes one token, starting with `first`.
    pub fn new(own: &str, peers: &[Peer], first: Token, now: Instant) -> Self {
        let link = |(position, peer): (usize, &Peer)| Link {
            peer: peer.clone(),
            token: Token(first.0 + position),
            conn: None,
            state: State::Down { retry: now },
            last_sent: now,
            // Each link has its own sequence of random pauses.
            backoff: Backoff::new(
                RETRY_PAUSES.0,
                RETRY_PAUSES.1,
                deal::hash(&format!("{own} {}", peer.name)),
            ),
            last_failure: String::new(),
        };
        Peers { own: own.to_string(), links: peers.iter().enumerate().map(link).collect() }
    }

    /// Whether a token belongs to one of these connections.
    pub fn owns(&self, token: Token) -> bool {
        self.links.iter().any(|link| link.token == token)
    }

    /// When [`Peers::run_timers`] is due next.
    pub fn next_timer(&self) -> Option<Instant> {
        let timer = |link: &Link| match link.state {
            State::Down { retry } => retry,
            State::Connecting { deadline } => deadline,
            State::Up { .. } => link.last_sent + HEARTBEAT_INTERVAL,
        };
        self.links.iter().map(timer).min()
    }

    /// Connects, gives up attempts that took too long, and sends heartbeats.
    pub fn run_timers(&mut self, now: Instant, registry: &Registry) {
        for link in &mut self.links {
            match link.state {
                State::Down { retry } if retry <= now => link.connect(now, registry),
                State::Connecting { deadline } if deadline <= now => link.disconnect(now, "no connection"),
                State::Up { .. } if link.last_sent + HEARTBEAT_INTERVAL <= now => {
                    link.send(now, &ToPlanner::Alive)
                }
                _ => {}
            }
        }
    }

    /// Sends an agreement message if the connection is up.
    pub fn send(&mut self, now: Instant, to: VoterId, message: Vec<u8>) {
        let is_up = |link: &&mut Link| link.peer.voter == to && matches!(link.state, State::Up { .. });
        if let Some(link) = self.links.iter_mut().find(is_up) {
            link.send(now, &ToPlanner::Agreement(message));
        }
    }

    /// Handles readiness of a connection.
    pub fn ready(&mut self, now: Instant, token: Token) {
        let Some(link) = self.links.iter_mut().find(|link| link.token == token) else { return };
        if let Err(why) = link.ready(now, &self.own) {
            link.disconnect(now, &why);
        }
    }
}

impl Link {
    fn connect(&mut self, now: Instant, registry: &Registry) {
        self.state = State::Connecting { deadline: now + SILENCE_TIMEOUT };
        match connect(self.peer.address, self.token, registry) {
            Ok(conn) => self.conn = Some(conn),
            Err(error) => self.disconnect(now, &error.to_string()),
        }
    }

    fn ready(&mut self, now: Instant, own: &str) -> Result<(), String> {
        let Some(conn) = &mut self.conn else { return Ok(()) };
        if matches!(self.state, State::Connecting { .. }) {
            match conn.connecting() {
                Connecting::Pending => return Ok(()),
                Connecting::Failed => return Err("no connection".into()),
                Connecting::Up => {}
            }
            tracing::info!(planner = self.peer.name, "connected to another planner");
            self.state = State::Up { since: now };
            self.send(now, &ToPlanner::PeerHello { schema: SCHEMA, planner: own.to_string() });
        }
        let Some(conn) = &mut self.conn else { return Ok(()) };
        let end = conn.read(MAX_ANSWER_BYTES + LENGTH_BYTES);
        match frame::decode_bounded::<FromPlanner>(&mut conn.input, MAX_ANSWER_BYTES)? {
            Some(FromPlanner::Refused(why)) => return Err(format!("it refuses: {why}")),
            Some(_) => return Err("it sent a message that is not for a planner".into()),
            None => {}
        }
        conn.flush().map_err(|error| error.to_string())?;
        if end.is_over() {
            return Err("it closed".into());
        }
        Ok(())
    }

    fn send(&mut self, now: Instant, message: &ToPlanner) {
        let Some(conn) = &mut self.conn else { return };
        self.last_sent = now;
        if conn.unwritten() < MAX_UNSENT_BYTES {
            let mut output = Vec::new();
            frame::encode(message, &mut output);
            conn.push(&output);
        }
        if let Err(error) = conn.flush() {
            self.disconnect(now, &error.to_string());
        }
    }

    fn disconnect(&mut self, now: Instant, why: &str) {
        if self.last_failure != why {
            tracing::warn!(planner = self.peer.name, "no connection to another planner: {why}");
            self.last_failure = why.to_string();
        }
        if matches!(self.state, State::Up { since } if since + SILENCE_TIMEOUT <= now) {
            self.backoff.reset();
        }
        self.conn = None;
        self.state = State::Down { retry: now + self.backoff.pause() };
    }
}

/// Begins to connect, with a timeout for acknowledgements of sent bytes. Without it the kernel retransmits for minutes
/// after the network path was cut, with pauses of up to two minutes.
fn connect(address: std::net::SocketAddr, token: Token, registry: &Registry) -> io::Result<Conn> {
    let stream = TcpStream::connect(address)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    Conn::new(stream, token, registry)
}

//! A planner's connections to the other planners. Messages of the agreement go out on them; what the others say comes in on
//! connections that they make. A message that can't be sent is lost: the agreement repeats what matters.

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

/// A connection that is not up by then is given up. So is one whose bytes the far side has not acknowledged for as long.
const SILENCE: Duration = Duration::from_secs(3);
/// How often something is said on a connection, so that a broken one shows.
const ALIVE: Duration = Duration::from_millis(500);
/// The first and the longest pause before the next try.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
/// Bytes that wait for a planner that does not read; messages beyond are left out.
const MOST_UNWRITTEN: usize = 1024 * 1024;
/// The longest answer: why a greeting is refused.
const LONGEST_ANSWER: usize = 4 * 1024;

enum State {
    Down { retry: Instant },
    Connecting { until: Instant },
    Up { since: Instant },
}

struct Link {
    peer: Peer,
    token: Token,
    conn: Option<Conn>,
    state: State,
    said: Instant,
    backoff: Backoff,
    /// Why it was last lost, which is logged once.
    lost: String,
}

/// Connections to all other planners.
pub(super) struct Peers {
    own: String,
    links: Vec<Link>,
}

impl Peers {
    /// Connects at the first turn; each connection takes one token, from the first on.
    pub fn new(own: &str, peers: &[Peer], first: Token, now: Instant) -> Self {
        let link = |(position, peer): (usize, &Peer)| Link {
            peer: peer.clone(),
            token: Token(first.0 + position),
            conn: None,
            state: State::Down { retry: now },
            said: now,
            // Each draws pauses of its own.
            backoff: Backoff::new(PAUSES.0, PAUSES.1, deal::hash(&format!("{own} {}", peer.name))),
            lost: String::new(),
        };
        Peers { own: own.to_string(), links: peers.iter().enumerate().map(link).collect() }
    }

    /// Whether a token is that of a connection here.
    pub fn owns(&self, token: Token) -> bool {
        self.links.iter().any(|link| link.token == token)
    }

    /// When [`Peers::turn`] has something to do.
    pub fn next_timer(&self) -> Option<Instant> {
        let timer = |link: &Link| match link.state {
            State::Down { retry } => retry,
            State::Connecting { until } => until,
            State::Up { .. } => link.said + ALIVE,
        };
        self.links.iter().map(timer).min()
    }

    /// Connects, gives up what does not come up, and says that it is there.
    pub fn turn(&mut self, now: Instant, registry: &Registry) {
        for link in &mut self.links {
            match link.state {
                State::Down { retry } if retry <= now => link.connect(now, registry),
                State::Connecting { until } if until <= now => link.lose(now, "no connection"),
                State::Up { .. } if link.said + ALIVE <= now => link.say(now, &ToPlanner::Alive),
                _ => {}
            }
        }
    }

    /// Sends a message of the agreement, where there is a connection.
    pub fn send(&mut self, now: Instant, to: VoterId, message: Vec<u8>) {
        let is_up = |link: &&mut Link| link.peer.voter == to && matches!(link.state, State::Up { .. });
        if let Some(link) = self.links.iter_mut().find(is_up) {
            link.say(now, &ToPlanner::Agreement(message));
        }
    }

    /// Something happened on a connection.
    pub fn ready(&mut self, now: Instant, token: Token) {
        let Some(link) = self.links.iter_mut().find(|link| link.token == token) else { return };
        if let Err(why) = link.ready(now, &self.own) {
            link.lose(now, &why);
        }
    }
}

impl Link {
    fn connect(&mut self, now: Instant, registry: &Registry) {
        self.state = State::Connecting { until: now + SILENCE };
        match connect(self.peer.address, self.token, registry) {
            Ok(conn) => self.conn = Some(conn),
            Err(error) => self.lose(now, &error.to_string()),
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
            self.say(now, &ToPlanner::PeerHello { schema: SCHEMA, planner: own.to_string() });
        }
        let Some(conn) = &mut self.conn else { return Ok(()) };
        let end = conn.read(LONGEST_ANSWER + LENGTH_BYTES);
        match frame::decode_bounded::<FromPlanner>(&mut conn.input, LONGEST_ANSWER)? {
            Some(FromPlanner::Refused(why)) => return Err(format!("it refuses: {why}")),
            Some(_) => return Err("it says what is not for a planner".into()),
            None => {}
        }
        conn.flush().map_err(|error| error.to_string())?;
        if end.is_over() {
            return Err("it closed".into());
        }
        Ok(())
    }

    fn say(&mut self, now: Instant, message: &ToPlanner) {
        let Some(conn) = &mut self.conn else { return };
        self.said = now;
        if conn.unwritten() < MOST_UNWRITTEN {
            let mut output = Vec::new();
            frame::encode(message, &mut output);
            conn.push(&output);
        }
        if let Err(error) = conn.flush() {
            self.lose(now, &error.to_string());
        }
    }

    fn lose(&mut self, now: Instant, why: &str) {
        if self.lost != why {
            tracing::warn!(planner = self.peer.name, "no connection to another planner: {why}");
            self.lost = why.to_string();
        }
        if matches!(self.state, State::Up { since } if since + SILENCE <= now) {
            self.backoff.reset();
        }
        self.conn = None;
        self.state = State::Down { retry: now + self.backoff.pause() };
    }
}

/// Begins a connection that breaks when nothing of what is written is acknowledged for a while. Guards against a way that
/// was cut: without it the system tries for minutes, at pauses of up to two.
fn connect(address: std::net::SocketAddr, token: Token, registry: &Registry) -> io::Result<Conn> {
    let stream = TcpStream::connect(address)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE))?;
    Conn::new(stream, token, registry)
}

//! The client of discovery. It requests the full node list, or the changes since the list known at the start, and then
//! watches for changes by long polling over HTTP/1.1. It returns [`ListUpdate`]s.

use crate::backoff::Backoff;
use crate::conn::{Conn, Connecting, ReadEnd};
use crate::interface::{ListKind, Settings};
use mio::{Registry, Token};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Central discovery, one service for the whole fleet: how long a watch may wait there, and how much longer a response
/// may take before the connection is closed. A change must be known here within six seconds after discovery has it and
/// can be reached. An unanswered call, the pause after it and the next response take less together, and so do a
/// refusal and another call.
const CENTRAL_WAIT: Duration = Duration::from_millis(1500);
const CENTRAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(750);
/// Central discovery: the mean pause after a failure, and the range of mean pauses after a refusal for overload, which
/// double from the first to the second. Pauses grow by ten milliseconds for each initiator, so that a fleet that fails
/// together returns spread out. A pause is at most 1.5 times its mean, and after the longest one a call still fits into
/// the six seconds.
const PAUSE_PER_INITIATOR: Duration = Duration::from_millis(10);
const CENTRAL_PAUSE: Duration = Duration::from_millis(300);
const OVERLOAD_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));
/// The span over which a fleet's first calls are spread: for each initiator, and its limit.
const SPREAD_PER_INITIATOR: Duration = Duration::from_millis(100);
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Local agent, which costs nothing to ask: its changes count as known here at once, with or without a watch. So a
/// response timeout, the pause after it and the next response together have to take less than half of a drain's grace.
/// The grace divided by these gives the wait, the response timeout and the pause.
const AGENT_GRACE_DIVISORS: (u32, u32, u32) = (4, 8, 32);
/// Bounds of wait and response timeout with a local agent. With less than the lower one a busy machine would be taken
/// for a silent agent; more than the upper one gains nothing.
const AGENT_BOUNDS: (Duration, Duration) = (Duration::from_millis(40), Duration::from_secs(1));
/// Pause before reconnecting after a response. A watch has to continue within 200 ms of it.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// How long older lists are ignored before they are taken for restarted numbering.
const MAX_OLDER_SPAN: Duration = Duration::from_secs(15);
/// Longest response that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;
const MAX_HEADERS: usize = 64;
/// Most interim responses (1xx) before a final one.
const MAX_INTERIM: usize = 8;
/// Start times beyond this Unix time are invalid; sums with valid ones don't overflow.
const MAX_START_MS: f64 = 1e15;

/// A message with the node list or changes of it, in discovery's format.
#[derive(Clone, Debug, Deserialize)]
pub struct ListMessage {
    /// Version of the list.
    pub index: u64,
    /// Whether it is the full list; else changes only.
    pub snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// An entry of the node list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// The node's name, the same at every initiator.
    pub name: String,
    /// The address where this initiator reaches it.
    pub address: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The shard it holds.
    pub group: u32,
    /// Its state.
    pub status: Status,
    /// Unix time of its last start in milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// State of an entry.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Accepts requests.
    Active,
    /// Drains: finishes its requests and gets no new ones.
    Leaving,
    /// Gone.
    Left,
}

impl Endpoint {
    /// When its process started, unless that was long ago.
    pub(crate) fn started(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.since_ms / 1000.0).ok().filter(|started| !started.is_zero())
    }
}

impl ListMessage {
    /// Parses a message. A single invalid entry makes the whole message invalid; the old list stays in force.
    pub fn parse(text: &[u8]) -> Result<ListMessage, String> {
        let message: ListMessage = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        match message.endpoints.iter().find(|entry| !(0.0..MAX_START_MS).contains(&entry.since_ms)) {
            Some(bad) => Err(format!("{} started at {}", bad.name, bad.since_ms)),
            None => Ok(message),
        }
    }

    /// The kind of list event for the scheduler.
    pub fn kind(&self) -> ListKind {
        if self.snapshot {
            ListKind::Full
        } else {
            ListKind::Delta
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    /// Not connected; reconnects at this time.
    Pausing(Instant),
    /// Connecting; gives up at this time.
    Connecting(Instant),
    /// A request was sent; the response is due by this time.
    Awaiting(Instant),
}

/// A message received from discovery.
pub struct ListUpdate {
    /// The message.
    pub message: ListMessage,
    /// It answers a watch that continued from the previous message, so that its changes are new.
    pub contiguous: bool,
    /// When it had arrived.
    pub received: Instant,
}

/// The client of discovery at one address and, after a reload, at the next one as soon as that has responded.
pub struct Discovery {
    policy: PollingPolicy,
    /// The last is at the address in force; an earlier one is used until the last has sent a list.
    watches: Vec<Watch>,
    /// Version of the list received last; none before the first.
    version: Option<u64>,
    /// Version of the list known at the start; changes since then are requested.
    initial_version: Option<u64>,
    /// Since when only lists older than the current one were received.
    older_since: Option<Instant>,
    /// When the last valid message was received.
    last_message_at: Option<Instant>,
}

impl Discovery {
    /// A client that starts with the version of a known list, if there is one.
    pub fn new(
        address: SocketAddr,
        token: Token,
        now: Instant,
        initial_version: Option<u64>,
        policy: PollingPolicy,
    ) -> Self {
        Discovery {
            watches: vec![Watch::new(address, token, now, policy, initial_version.is_none())],
            policy,
            version: None,
            initial_version,
            older_since: None,
            last_message_at: None,
        }
    }

    /// Changes the address. To avoid a gap, updates from the previous address are accepted until the new one has sent a
    /// list, and the node list stays.
    pub fn set_address(&mut self, address: SocketAddr, token: Token, now: Instant) {
        if self.watches.last().is_some_and(|watch| watch.address == address) {
            return;
        }
        // Drop an address that was set in between and has not responded.
        self.watches.truncate(1);
        if self.watches[0].address != address {
            self.watches.push(Watch::new(address, token, now, self.policy, true));
        }
    }

    /// Version of the current list, received or known at the start.
    pub fn version(&self) -> Option<u64> {
        self.version.or(self.initial_version)
    }

    /// When the last valid message was received.
    pub fn last_message_at(&self) -> Option<Instant> {
        self.last_message_at
    }

    /// When [`Discovery::tick`] is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.watches.iter().map(Watch::next_timer).min()
    }

    /// Connects where that is due, and closes connections whose response timed out.
    pub fn tick(&mut self, now: Instant, registry: &Registry) {
        // Don't reconnect to an address that is no longer in force.
        let last = self.watches.len() - 1;
        let mut at = 0;
        self.watches.retain(|watch| {
            at += 1;
            at > last || watch.conn.is_some()
        });
        self.watches.iter_mut().for_each(|watch| watch.tick(now, registry));
    }

    /// Handles readiness of a connection. Returns the update if a message is complete; as far as the loop knows its
    /// input arrived after `since`.
    pub fn ready(&mut self, now: Instant, since: Instant, token: Token) -> Option<ListUpdate> {
        let at = self.watches.iter().position(|watch| watch.token == token)?;
        let received = self.watches[at].conn.as_ref().map_or(since, |conn| conn.arrived_by(now, since));
        let (message, contiguous) = self.watches[at].ready(now, self.version.or(self.initial_version))?;
        self.last_message_at = Some(now);
        if self.is_older(now, &message) {
            tracing::warn!(index = message.index, "ignoring an older node list");
            self.watches[at].request_full_list(now);
            return None;
        }
        (self.version, self.older_since) = (Some(message.index), None);
        if at + 1 == self.watches.len() {
            // The address in force has sent a list; drop the previous one.
            self.watches.drain(..at);
        }
        Some(ListUpdate { message, contiguous, received })
    }

    /// Whether a message has an older version than the current list. The list of an agent that lags behind the
    /// previous one would bring back nodes that are known to drain. A registry that restarted its numbering is
    /// accepted after a while.
    fn is_older(&mut self, now: Instant, message: &ListMessage) -> bool {
        // The numbering may differ from that of the list known at the start; changes with an older version show that.
        let version = self.version.or(self.initial_version.filter(|_| !message.snapshot));
        let older = version.is_some_and(|version| message.index < version);
        older && now - *self.older_since.get_or_insert(now) < MAX_OLDER_SPAN
    }
}

/// How an initiator polls discovery, which bounds the age of its node list.
#[derive(Clone, Copy)]
pub struct PollingPolicy {
    seed: u64,
    /// How long a watch may wait, how much longer a response may take, the mean pauses after a failure and after a
    /// refusal for overload, and the span over which the first call is spread.
    wait: Duration,
    response_timeout: Duration,
    pause: Duration,
    overloaded: (Duration, Duration),
    spread: Duration,
}

impl PollingPolicy {
    /// Derives the policy from the settings; `seed` is for the jitter of the pauses.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let initiators = settings.initiators.max(1);
        if settings.list_on_request {
            let each = |span: Duration, max| span.saturating_mul(initiators).clamp(RECONNECT_PAUSE, max);
            let spread = SPREAD_PER_INITIATOR.saturating_mul(initiators - 1).min(MAX_SPREAD);
            let pause = each(PAUSE_PER_INITIATOR, CENTRAL_PAUSE);
            let first = each(PAUSE_PER_INITIATOR, OVERLOAD_PAUSES.0);
            let overloaded = (first, each(SPREAD_PER_INITIATOR, OVERLOAD_PAUSES.1).max(first));
            return PollingPolicy {
                seed,
                wait: CENTRAL_WAIT,
                response_timeout: CENTRAL_RESPONSE_TIMEOUT,
                pause,
                overloaded,
                spread,
            };
        }
        let grace = settings.rules.drain_grace;
        let grace_part = |divisor: u32| (grace / divisor).clamp(AGENT_BOUNDS.0, AGENT_BOUNDS.1);
        let (wait, response_timeout) =
            (grace_part(AGENT_GRACE_DIVISORS.0), grace_part(AGENT_GRACE_DIVISORS.1));
        let pause = (grace / AGENT_GRACE_DIVISORS.2).min(RECONNECT_PAUSE);
        PollingPolicy {
            seed,
            wait,
            response_timeout,
            pause,
            overloaded: (pause, pause),
            spread: Duration::ZERO,
        }
    }
}

/// The connection to discovery at one address.
struct Watch {
    address: SocketAddr,
    token: Token,
    conn: Option<Conn>,
    state: State,
    policy: PollingPolicy,
    pauses: Backoff,
    overloaded: Backoff,
    /// Request the full list next, not the changes since the current one.
    full_list: bool,
    /// The pending request continues from the previous response.
    continues: bool,
}

impl Watch {
    fn new(address: SocketAddr, token: Token, now: Instant, policy: PollingPolicy, full_list: bool) -> Self {
        let PollingPolicy { seed, pause, overloaded, spread, .. } = policy;
        let (mut pauses, overloaded) =
            (Backoff::new(pause, pause, seed), Backoff::new(overloaded.0, overloaded.1, seed));
        let state = State::Pausing(now + spread.mul_f64(pauses.fraction()));
        Watch { address, token, conn: None, state, policy, pauses, overloaded, full_list, continues: false }
    }

    fn next_timer(&self) -> Instant {
        match self.state {
            State::Pausing(at) | State::Connecting(at) | State::Awaiting(at) => at,
        }
    }

    fn tick(&mut self, now: Instant, registry: &Registry) {
        if self.next_timer() > now {
            return;
        }
        if !matches!(self.state, State::Pausing(_)) {
            tracing::debug!("no response from discovery in time");
            // A late response is still accepted, but its changes may be old.
            self.continues = false;
            self.state = State::Pausing(now + self.pauses.pause());
            return;
        }
        match Conn::connect(self.address, self.token, registry) {
            Ok(conn) => {
                self.conn = Some(conn);
                self.state = State::Connecting(now + self.policy.response_timeout);
            }
            Err(_) => self.fail(now),
        }
    }

    /// Handles readiness. Returns a complete message and whether it is contiguous.
    fn ready(&mut self, now: Instant, version: Option<u64>) -> Option<(ListMessage, bool)> {
        let conn = self.conn.as_mut()?;
        if matches!(self.state, State::Connecting(_)) {
            match conn.connecting() {
                Connecting::Pending => return None,
                Connecting::Failed => {
                    self.fail(now);
                    return None;
                }
                Connecting::Up => self.request(now, version, false),
            }
        }
        let conn = self.conn.as_mut()?;
        let (flushed, end) = (conn.flush(), conn.read(MAX_RESPONSE_BYTES));
        let answer = take_response(&mut conn.input, end == ReadEnd::Closed);
        conn.free_empty_input();
        if flushed.is_err() || matches!(answer, Ok(None) if end != ReadEnd::Blocked) {
            self.fail(now);
            return None;
        }
        if let Ok(Some((code, _))) = answer {
            if code != 200 {
                // No list was sent, so no change is lost; repeat the request.
                tracing::debug!(code, "discovery refused the request, keeping the node list");
                (self.conn, self.state) = (None, State::Pausing(now + self.overloaded.pause()));
                return None;
            }
        }
        match answer.and_then(|response| response.map(|(_, body)| ListMessage::parse(&body)).transpose()) {
            Ok(None) => None,
            Ok(Some(message)) => {
                tracing::trace!(index = message.index, lines = message.endpoints.len(), "told");
                let contiguous = self.continues && !self.full_list;
                self.full_list = false;
                self.overloaded.reset();
                if end == ReadEnd::Blocked {
                    self.request(now, version.max(Some(message.index)), true);
                } else {
                    (self.conn, self.state) = (None, State::Pausing(now + RECONNECT_PAUSE));
                }
                Some((message, contiguous))
            }
            Err(why) => {
                tracing::warn!("unusable response from discovery, keeping the node list: {why}");
                // Changes may be lost with it, so request the full list.
                self.request_full_list(now);
                None
            }
        }
    }

    fn request(&mut self, now: Instant, version: Option<u64>, continues: bool) {
        self.continues = continues;
        let Some(conn) = &mut self.conn else { return };
        let query = match version.filter(|_| !self.full_list) {
            None => String::new(),
            Some(index) => format!("?after={index}&wait_ms={}", self.policy.wait.as_millis()),
        };
        conn.push(
            format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address).as_bytes(),
        );
        tracing::trace!(query, "asked");
        self.state = State::Awaiting(now + self.policy.wait + self.policy.response_timeout);
        if conn.flush().is_err() {
            self.fail(now);
        }
    }

    /// Requests the full list after a pause.
    fn request_full_list(&mut self, now: Instant) {
        self.full_list = true;
        self.fail(now);
    }

    fn fail(&mut self, now: Instant) {
        tracing::trace!("a call to discovery failed");
        self.conn = None;
        self.state = State::Pausing(now + self.pauses.pause());
    }
}

/// Removes one complete HTTP response from the input, with the interim ones (1xx) before it. Returns its status and
/// body, or nothing while it is incomplete. `ended` says that the peer has closed its sending side in order; a reset
/// doesn't count.
fn take_response(input: &mut Vec<u8>, ended: bool) -> Result<Option<(u16, Vec<u8>)>, String> {
    for _ in 0..MAX_INTERIM {
        match take_one_response(input, ended)? {
            Some((100..=199, _)) => {}
            last => return Ok(last),
        }
    }
    Err("too many interim responses".into())
}

/// Removes one response, interim or final, from the input. Returns its status and body.
fn take_one_response(input: &mut Vec<u8>, ended: bool) -> Result<Option<(u16, Vec<u8>)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let head = match answer.parse(input).map_err(|error| error.to_string())? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if input.len() >= MAX_RESPONSE_BYTES => {
            return Err("the response is too long".into())
        }
        httparse::Status::Partial => return Ok(None),
    };
    let header = |name: &str| {
        let found = answer.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
    };
    let code = answer.code.unwrap_or(0);
    let (length, coding) = (header("content-length"), header("transfer-encoding"));
    let taken = if (100..200).contains(&code) {
        // An interim response has no body, whatever its headers say.
        Some((Vec::new(), head))
    } else if let Some(coding) = coding {
        if coding != "chunked" {
            return Err(format!("transfer coding {coding} is not supported"));
        }
        take_chunks(&input[head..])?.map(|(body, length)| (body, head + length))
    } else if let Some(length) = length {
        let length: usize = length.parse().map_err(|_| "the content length is not a number")?;
        if length > MAX_RESPONSE_BYTES {
            return Err(format!("a body of {length} bytes is too long"));
        }
        input.get(head..head + length).map(|body| (body.to_vec(), head + length))
    } else {
        // Without a length the body ends when the connection is closed (RFC 9112, 6.3), and only then (8).
        if input.len() >= MAX_RESPONSE_BYTES {
            return Err("the response is too long".into());
        }
        ended.then(|| (input[head..].to_vec(), input.len()))
    };
    let Some((body, end)) = taken else { return Ok(None) };
    input.drain(..end);
    Ok(Some((code, body)))
}

/// A chunked body and its encoded length, once it is complete.
fn take_chunks(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&input[at..]) {
            Ok(httparse::Status::Complete((start, size))) => (at + start, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("a chunk has no valid size".into()),
        };
        let size = usize::try_from(size).ok().filter(|size| *size <= MAX_RESPONSE_BYTES);
        let size = size.ok_or("a chunk is too long")?;
        let Some(chunk) = input.get(start..start + size) else { return Ok(None) };
        if input.len() < start + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(chunk);
        at = start + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

#[cfg(test)]
mod tests;

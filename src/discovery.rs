//! Keeps the node list: asks discovery for what came after the list known at the start, or for the whole list, then
//! watches its changes, over HTTP/1.1.

use crate::backoff::Backoff;
use crate::conn::{Conn, Connecting, ReadEnd};
use crate::interface::{ListKind, Settings};
use mio::{Registry, Token};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Asked, one service for the whole fleet: how long a watch may wait there, and how long beyond that an answer may take
/// before the connection is given up. A change counts as told once discovery has had it for six seconds and could be
/// reached: a silent call, the pause after it and the next answer, or a refusal and another call, take less together.
const ASKED_WAIT: Duration = Duration::from_millis(1500);
const ASKED_SILENCE: Duration = Duration::from_millis(750);
/// The mean pause after a failure, and those after discovery has said that it is overbooked, which double from the first
/// to the last: those of a fleet that fail together come back spread over it, ten milliseconds for each. Pauses are half as
/// long again at most, and the longest is one that a call can follow within the six seconds.
const PAUSE_PER_HOST: Duration = Duration::from_millis(10);
const ASKED_PAUSE: Duration = Duration::from_millis(300);
const OVERBOOKED_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));
/// Over what a fleet's first calls are spread, for each initiator and at most.
const CALL_PER_HOST: Duration = Duration::from_millis(100);
const LONGEST_SPREAD: Duration = Duration::from_secs(1);
/// Pushed, an agent on this machine that costs nothing: what it has counts as told at once, watch or no watch. So all of
/// a silence, the pause after it and the next answer take less than half of a drain's grace, in these parts of it.
const PUSHED_PARTS: (u32, u32, u32) = (4, 8, 32);
/// Bounds of these: below the first a busy machine would be taken for a silent agent, beyond the second nothing is won.
const PUSHED_BOUNDS: (Duration, Duration) = (Duration::from_millis(40), Duration::from_secs(1));
/// Pause before connecting again after an answer. A watch must go on within 200 ms of it.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// How long lists older than the one held are passed over before they are taken for a numbering begun anew.
const OLDER_PATIENCE: Duration = Duration::from_secs(15);
/// A longer answer is no node list.
const LONGEST_ANSWER: usize = 2 * 1024 * 1024;
const MOST_HEADERS: usize = 64;
/// Interim answers that may come together.
const MOST_INTERIM: usize = 8;
/// A start beyond this Unix time is no time, and sums with it must not overflow.
const LATEST_START_MS: f64 = 1e15;

/// A message of the node list, as discovery words it.
#[derive(Clone, Debug, Deserialize)]
pub struct ListMessage {
    /// Version of the list.
    pub index: u64,
    /// The whole list, or changes only.
    pub snapshot: bool,
    /// Its lines.
    pub endpoints: Vec<Endpoint>,
}

/// A line of the node list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    /// The same at every initiator.
    pub name: String,
    /// Where this initiator reaches it.
    pub address: SocketAddr,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// The shard it holds.
    pub group: u32,
    /// Its state.
    pub status: Status,
    /// Unix time of its last start; 0: long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// State of a line.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Takes work.
    Active,
    /// Finishes what it has.
    Leaving,
    /// Gone.
    Left,
}

impl Endpoint {
    /// When its process started, unless that is long ago.
    pub(crate) fn started(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.since_ms / 1000.0).ok().filter(|started| !started.is_zero())
    }
}

impl ListMessage {
    /// Reads a message. A single bad line makes the whole message unusable: the old list stands.
    pub fn parse(text: &[u8]) -> Result<ListMessage, String> {
        let message: ListMessage = serde_json::from_slice(text).map_err(|error| error.to_string())?;
        match message.endpoints.iter().find(|line| !(0.0..LATEST_START_MS).contains(&line.since_ms)) {
            Some(bad) => Err(format!("{} started at {}", bad.name, bad.since_ms)),
            None => Ok(message),
        }
    }

    /// What kind of news it is for the decisions.
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
    /// Not connected; tries again then.
    Pausing(Instant),
    Connecting(Instant),
    /// An answer is due by then.
    Asked(Instant),
}

/// A message that came.
pub struct News {
    /// What it says.
    pub message: ListMessage,
    /// It answers a watch that went on from the message before: what it tells was not told earlier.
    pub fresh: bool,
    /// When it had come.
    pub came: Instant,
}

/// The node list as discovery tells it: from one address, and after a reload from the next as soon as that speaks.
pub struct Discovery {
    manner: Manner,
    /// The last is the address in force; one before it is listened to until the last has spoken.
    watches: Vec<Watch>,
    /// Version of the list held; none before it has spoken.
    held: Option<u64>,
    /// Version of the list known at the start: it asks for what came after that.
    known: Option<u64>,
    /// Since when only lists older than the one held have come.
    older_since: Option<Instant>,
    /// When something that can be read came last.
    heard: Option<Instant>,
}

impl Discovery {
    /// With the version of the list it knows.
    pub fn new(address: SocketAddr, token: Token, now: Instant, known: Option<u64>, manner: Manner) -> Self {
        Discovery {
            watches: vec![Watch::new(address, token, now, manner, known.is_none())],
            manner,
            held: None,
            known,
            older_since: None,
            heard: None,
        }
    }

    /// Goes over to another address. Guards against a gap: what the one before still tells is taken until the new
    /// one speaks, and the node list stays.
    pub fn move_to(&mut self, address: SocketAddr, token: Token, now: Instant) {
        if self.watches.last().is_some_and(|watch| watch.address == address) {
            return;
        }
        // One that was named in between and has not spoken is nobody's any more.
        self.watches.truncate(1);
        if self.watches[0].address != address {
            self.watches.push(Watch::new(address, token, now, self.manner, true));
        }
    }

    /// Version of the list held, told or known at the start.
    pub fn version(&self) -> Option<u64> {
        self.held.or(self.known)
    }

    /// When it said something last that can be read.
    pub fn heard(&self) -> Option<Instant> {
        self.heard
    }

    /// When [`Discovery::tick`] has something to do.
    pub fn next_timer(&self) -> Option<Instant> {
        self.watches.iter().map(Watch::next_timer).min()
    }

    /// Connects where that is due, and gives up connections that are silent.
    pub fn tick(&mut self, now: Instant, registry: &Registry) {
        // An address that is no longer in force is not connected to again.
        let last = self.watches.len() - 1;
        let mut at = 0;
        self.watches.retain(|watch| {
            at += 1;
            at > last || watch.conn.is_some()
        });
        self.watches.iter_mut().for_each(|watch| watch.tick(now, registry));
    }

    /// Something happened on a connection; a message may have come, as far as the loop knows since `since`.
    pub fn ready(&mut self, now: Instant, since: Instant, token: Token) -> Option<News> {
        let at = self.watches.iter().position(|watch| watch.token == token)?;
        let came = self.watches[at].conn.as_ref().map_or(since, |conn| conn.arrived_by(now, since));
        let (message, fresh) = self.watches[at].ready(now, self.held.or(self.known))?;
        self.heard = Some(now);
        if self.is_older(now, &message) {
            tracing::warn!(index = message.index, "an older node list is passed over");
            self.watches[at].ask_whole(now);
            return None;
        }
        (self.held, self.older_since) = (Some(message.index), None);
        if at + 1 == self.watches.len() {
            // The address in force has spoken; the one before is done with.
            self.watches.drain(..at);
        }
        Some(News { message, fresh, came })
    }

    /// Whether a message is of a version before the one held. Guards against an agent that lags behind the one
    /// before: its list would bring back nodes that are known to drain. A registry that counts anew is believed
    /// after a while.
    fn is_older(&mut self, now: Instant, message: &ListMessage) -> bool {
        // A list known at the start may be of another numbering; changes of an older version say so.
        let held = self.held.or(self.known.filter(|_| !message.snapshot));
        let older = held.is_some_and(|held| message.index < held);
        older && now - *self.older_since.get_or_insert(now) < OLDER_PATIENCE
    }
}

/// How one of a fleet asks, and how old its news can be.
#[derive(Clone, Copy)]
pub struct Manner {
    seed: u64,
    /// How long a watch may wait, how long beyond that an answer may take, the mean pauses after a failure and once
    /// discovery is overbooked, and over what the first call is spread.
    wait: Duration,
    silence: Duration,
    pause: Duration,
    overbooked: (Duration, Duration),
    spread: Duration,
}

impl Manner {
    /// As the settings say; the seed draws the pauses.
    pub fn new(settings: &Settings, seed: u64) -> Self {
        let hosts = settings.initiators.max(1);
        if settings.list_on_request {
            let each = |span: Duration, most| span.saturating_mul(hosts).clamp(RECONNECT_PAUSE, most);
            let spread = CALL_PER_HOST.saturating_mul(hosts - 1).min(LONGEST_SPREAD);
            let pause = each(PAUSE_PER_HOST, ASKED_PAUSE);
            let first = each(PAUSE_PER_HOST, OVERBOOKED_PAUSES.0);
            let overbooked = (first, each(CALL_PER_HOST, OVERBOOKED_PAUSES.1).max(first));
            return Manner { seed, wait: ASKED_WAIT, silence: ASKED_SILENCE, pause, overbooked, spread };
        }
        let grace = settings.rules.drain_grace;
        let part = |part: u32| (grace / part).clamp(PUSHED_BOUNDS.0, PUSHED_BOUNDS.1);
        let (wait, silence) = (part(PUSHED_PARTS.0), part(PUSHED_PARTS.1));
        let pause = (grace / PUSHED_PARTS.2).min(RECONNECT_PAUSE);
        Manner { seed, wait, silence, pause, overbooked: (pause, pause), spread: Duration::ZERO }
    }
}

/// The conversation with discovery at one address.
struct Watch {
    address: SocketAddr,
    token: Token,
    conn: Option<Conn>,
    state: State,
    manner: Manner,
    pauses: Backoff,
    overbooked: Backoff,
    /// The whole list is to be asked for, not what is newer than the list held.
    whole: bool,
    /// What was asked goes on from the answer before.
    continues: bool,
}

impl Watch {
    fn new(address: SocketAddr, token: Token, now: Instant, manner: Manner, whole: bool) -> Self {
        let Manner { seed, pause, overbooked, spread, .. } = manner;
        let (mut pauses, overbooked) =
            (Backoff::new(pause, pause, seed), Backoff::new(overbooked.0, overbooked.1, seed));
        let state = State::Pausing(now + spread.mul_f64(pauses.draw()));
        Watch { address, token, conn: None, state, manner, pauses, overbooked, whole, continues: false }
    }

    fn next_timer(&self) -> Instant {
        match self.state {
            State::Pausing(at) | State::Connecting(at) | State::Asked(at) => at,
        }
    }

    fn tick(&mut self, now: Instant, registry: &Registry) {
        if self.next_timer() > now {
            return;
        }
        if !matches!(self.state, State::Pausing(_)) {
            tracing::debug!("discovery is silent");
            // An answer that comes late after all is still taken; what it tells may have been told long ago.
            self.continues = false;
            self.state = State::Pausing(now + self.pauses.pause());
            return;
        }
        match Conn::connect(self.address, self.token, registry) {
            Ok(conn) => {
                self.conn = Some(conn);
                self.state = State::Connecting(now + self.manner.silence);
            }
            Err(_) => self.fail(now),
        }
    }

    /// Something happened on its connection; a message may have come.
    fn ready(&mut self, now: Instant, held: Option<u64>) -> Option<(ListMessage, bool)> {
        let conn = self.conn.as_mut()?;
        if matches!(self.state, State::Connecting(_)) {
            match conn.connecting() {
                Connecting::Pending => return None,
                Connecting::Failed => {
                    self.fail(now);
                    return None;
                }
                Connecting::Up => self.ask(now, held, false),
            }
        }
        let conn = self.conn.as_mut()?;
        let (flushed, end) = (conn.flush(), conn.read(LONGEST_ANSWER));
        let answer = take_answer(&mut conn.input, end == ReadEnd::Closed);
        conn.shed();
        if flushed.is_err() || matches!(answer, Ok(None) if end != ReadEnd::Blocked) {
            self.fail(now);
            return None;
        }
        if let Ok(Some((code, _))) = answer {
            if code != 200 {
                // It told nothing, so nothing is lost: what was asked is asked again.
                tracing::debug!(code, "the old node list stands");
                (self.conn, self.state) = (None, State::Pausing(now + self.overbooked.pause()));
                return None;
            }
        }
        match answer.and_then(|told| told.map(|(_, body)| ListMessage::parse(&body)).transpose()) {
            Ok(None) => None,
            Ok(Some(message)) => {
                tracing::trace!(index = message.index, lines = message.endpoints.len(), "told");
                let fresh = self.continues && !self.whole;
                self.whole = false;
                self.overbooked.reset();
                if end == ReadEnd::Blocked {
                    self.ask(now, held.max(Some(message.index)), true);
                } else {
                    (self.conn, self.state) = (None, State::Pausing(now + RECONNECT_PAUSE));
                }
                Some((message, fresh))
            }
            Err(why) => {
                tracing::warn!("the old node list stands: {why}");
                // Changes may be lost with it, so the whole list is asked for.
                self.ask_whole(now);
                None
            }
        }
    }

    fn ask(&mut self, now: Instant, held: Option<u64>, continues: bool) {
        self.continues = continues;
        let Some(conn) = &mut self.conn else { return };
        let query = match held.filter(|_| !self.whole) {
            None => String::new(),
            Some(index) => format!("?after={index}&wait_ms={}", self.manner.wait.as_millis()),
        };
        conn.push(
            format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address).as_bytes(),
        );
        tracing::trace!(query, "asked");
        self.state = State::Asked(now + self.manner.wait + self.manner.silence);
        if conn.flush().is_err() {
            self.fail(now);
        }
    }

    /// Asks for the whole list in a while.
    fn ask_whole(&mut self, now: Instant) {
        self.whole = true;
        self.fail(now);
    }

    fn fail(&mut self, now: Instant) {
        tracing::trace!("a call failed");
        self.conn = None;
        self.state = State::Pausing(now + self.pauses.pause());
    }
}

/// Takes one whole HTTP answer off the input, and the interim ones (1xx) before it: its status and body, or nothing
/// while it is not all there. The far side may have ended its sending, in order: a reset is no end.
fn take_answer(input: &mut Vec<u8>, ended: bool) -> Result<Option<(u16, Vec<u8>)>, String> {
    for _ in 0..MOST_INTERIM {
        match take_one(input, ended)? {
            Some((100..=199, _)) => {}
            last => return Ok(last),
        }
    }
    Err("interim answers without end".into())
}

/// Takes one answer off the input: its status and body.
fn take_one(input: &mut Vec<u8>, ended: bool) -> Result<Option<(u16, Vec<u8>)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let head = match answer.parse(input).map_err(|error| error.to_string())? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if input.len() >= LONGEST_ANSWER => return Err("it does not end".into()),
        httparse::Status::Partial => return Ok(None),
    };
    let header = |name: &str| {
        let found = answer.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).trim().to_ascii_lowercase())
    };
    let code = answer.code.unwrap_or(0);
    let (length, coding) = (header("content-length"), header("transfer-encoding"));
    let taken = if (100..200).contains(&code) {
        // An interim answer has no body, whatever it says.
        Some((Vec::new(), head))
    } else if let Some(coding) = coding {
        if coding != "chunked" {
            return Err(format!("its coding is {coding}"));
        }
        take_chunks(&input[head..])?.map(|(body, length)| (body, head + length))
    } else if let Some(length) = length {
        let length: usize = length.parse().map_err(|_| "its length is no number")?;
        if length > LONGEST_ANSWER {
            return Err(format!("it has {length} bytes"));
        }
        input.get(head..head + length).map(|body| (body.to_vec(), head + length))
    } else {
        // Without a length it ends with the connection (RFC 9112, 6.3), and with nothing else (8).
        if input.len() >= LONGEST_ANSWER {
            return Err("it does not end".into());
        }
        ended.then(|| (input[head..].to_vec(), input.len()))
    };
    let Some((body, end)) = taken else { return Ok(None) };
    input.drain(..end);
    Ok(Some((code, body)))
}

/// A chunked body and the bytes it takes up, once it is whole.
fn take_chunks(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, String> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&input[at..]) {
            Ok(httparse::Status::Complete((start, size))) => (at + start, size),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("a chunk has no size".into()),
        };
        let size = usize::try_from(size).ok().filter(|size| *size <= LONGEST_ANSWER);
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

//! Keeps the node list: asks discovery for the whole list, then watches its changes, over HTTP/1.1.

use crate::conn::{Conn, Connecting, ReadEnd};
use crate::interface::ListKind;
use mio::{Registry, Token};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a watch may wait at discovery. Short, so that silence shows soon.
const WAIT: Duration = Duration::from_millis(2000);
/// Beyond the wait, how long an answer may take before the connection is given up.
const SILENCE: Duration = Duration::from_millis(500);
/// Pause before connecting again. A watch must go on within 200 ms of the last answer.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// A longer answer is no node list.
const LONGEST_ANSWER: usize = 8 * 1024 * 1024;
const MOST_HEADERS: usize = 64;
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
    pub(crate) fn kind(&self) -> ListKind {
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

/// The conversation with discovery.
pub(crate) struct Discovery {
    address: SocketAddr,
    token: Token,
    conn: Option<Conn>,
    state: State,
    /// Version of the list held; none before the first whole list.
    index: Option<u64>,
}

impl Discovery {
    pub fn new(address: SocketAddr, token: Token, now: Instant) -> Self {
        Discovery { address, token, conn: None, state: State::Pausing(now), index: None }
    }

    /// When [`Discovery::tick`] has something to do.
    pub fn next_timer(&self) -> Instant {
        match self.state {
            State::Pausing(at) | State::Connecting(at) | State::Asked(at) => at,
        }
    }

    /// Connects where that is due, and gives up a connection that is silent.
    pub fn tick(&mut self, now: Instant, registry: &Registry) {
        if self.next_timer() > now {
            return;
        }
        if !matches!(self.state, State::Pausing(_)) {
            tracing::debug!("discovery is silent");
        }
        match Conn::connect(self.address, self.token, registry) {
            Ok(conn) => {
                self.conn = Some(conn);
                self.state = State::Connecting(now + SILENCE);
            }
            Err(_) => self.pause(now),
        }
    }

    /// Something happened on its connection. Adds the messages that came.
    pub fn ready(&mut self, now: Instant, news: &mut Vec<ListMessage>) {
        let Some(conn) = &mut self.conn else { return };
        if matches!(self.state, State::Connecting(_)) {
            match conn.connecting() {
                Connecting::Pending => return,
                Connecting::Failed => return self.pause(now),
                Connecting::Up => self.ask(now),
            }
        }
        let Some(conn) = &mut self.conn else { return };
        if conn.flush().is_err() {
            return self.pause(now);
        }
        let end = conn.read(LONGEST_ANSWER);
        match take_answer(&mut conn.input) {
            Ok(None) if end == ReadEnd::Blocked => {}
            Ok(Some(body)) => {
                match ListMessage::parse(&body) {
                    Ok(message) => {
                        self.index = Some(message.index);
                        news.push(message);
                    }
                    Err(why) => {
                        tracing::warn!("the old node list stands: {why}");
                        // Changes may be lost with it, so the whole list is asked for.
                        self.index = None;
                        return self.pause(now);
                    }
                }
                if end == ReadEnd::Blocked {
                    self.ask(now);
                } else {
                    self.pause(now);
                }
            }
            Ok(None) => self.pause(now),
            Err(why) => {
                tracing::warn!("unusable answer of discovery: {why}");
                self.pause(now);
            }
        }
    }

    fn ask(&mut self, now: Instant) {
        let Some(conn) = &mut self.conn else { return };
        let (query, wait) = match self.index {
            None => (String::new(), Duration::ZERO),
            Some(index) => (format!("?after={index}&wait_ms={}", WAIT.as_millis()), WAIT),
        };
        conn.push(
            format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address).as_bytes(),
        );
        self.state = State::Asked(now + wait + SILENCE);
        if conn.flush().is_err() {
            self.pause(now);
        }
    }

    fn pause(&mut self, now: Instant) {
        self.conn = None;
        self.state = State::Pausing(now + RECONNECT_PAUSE);
    }
}

/// Takes one whole HTTP answer off the input: its body, or nothing while it is not all there.
fn take_answer(input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, String> {
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
    let (length, chunked) = (header("content-length"), header("transfer-encoding"));
    let taken = if chunked.is_some_and(|coding| coding == "chunked") {
        take_chunks(&input[head..])?.map(|(body, length)| (body, head + length))
    } else {
        let length: usize = length.and_then(|text| text.parse().ok()).ok_or("it has no length")?;
        if length > LONGEST_ANSWER {
            return Err(format!("it has {length} bytes"));
        }
        input.get(head..head + length).map(|body| (body.to_vec(), head + length))
    };
    let Some((body, end)) = taken else { return Ok(None) };
    input.drain(..end);
    if code != 200 {
        return Err(format!("status {code}"));
    }
    Ok(Some(body))
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
mod tests {
    use super::*;

    const LIST: &str = r#"{"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:6379",
        "zone":"a","type":"m2","group":3,"status":"leaving","weight":1.0,"since_ms":0}]}"#;

    #[test]
    fn an_answer_is_taken_whole_however_it_is_cut() {
        let plain = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
        let (one, two) = LIST.split_at(30);
        let chunks = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
            one.len(),
            two.len()
        );
        for whole in [plain, chunks] {
            for cut in 0..whole.len() {
                assert_eq!(take_answer(&mut whole.as_bytes()[..cut].to_vec()), Ok(None), "cut at {cut}");
            }
            let mut input = [whole.as_bytes(), b"HTTP"].concat();
            let body = take_answer(&mut input).unwrap().unwrap();
            assert_eq!(ListMessage::parse(&body).unwrap().endpoints[0].status, Status::Leaving);
            assert_eq!(input, b"HTTP");
        }
    }

    #[test]
    fn answers_that_are_no_list_are_errors() {
        for bad in
            ["HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "nonsense\r\n\r\n"]
        {
            assert!(take_answer(&mut bad.as_bytes().to_vec()).is_err(), "{bad}");
        }
        for bad in [
            "{}",
            "[]",
            &LIST.replace("leaving", "asleep"),
            &LIST.replace("\"since_ms\":0", "\"since_ms\":-1"),
            &LIST.replace("\"since_ms\":0", "\"since_ms\":1e300"),
        ] {
            assert!(ListMessage::parse(bad.as_bytes()).is_err(), "{bad}");
        }
    }
}

//! A stand-in for discovery: a server that answers long polls over HTTP/1.1 with the node list and its changes.

use super::history::{ListedLine, Listing};
use super::wire::Wire;
use mio::{Registry as Poller, Token};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A node of the list.
#[derive(Clone, Debug)]
struct Line {
    name: String,
    address: SocketAddr,
    listing: Listing,
    started_ms: u128,
    /// The version of the list that changed it last.
    version: u64,
}

/// A call that waits for a version after `after`.
struct LongPoll {
    after: u64,
    until: Instant,
}

/// An answer that is sent later, as discovery is slow.
struct Delayed {
    at: Instant,
    answer: Vec<u8>,
    lines: Vec<(usize, Listing)>,
}

struct Caller {
    wire: Wire,
    waiting: Option<LongPoll>,
    delayed: Option<Delayed>,
}

/// The node list and the connections that ask for it.
pub struct Registry {
    lines: Vec<Line>,
    version: u64,
    callers: BTreeMap<Token, Caller>,
    /// No answer is sent until then.
    silent_until: Option<Instant>,
    /// Until the first, each answer is delayed by the second.
    slow: Option<(Instant, Duration)>,
    pub listed: Vec<ListedLine>,
    /// Bytes of lists written so far.
    pub written: u64,
}

impl Registry {
    /// Returns a list of nodes that are ready and warmed up.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let line = |(number, address): (usize, &SocketAddr)| Line {
            name: format!("s-{number:08x}"),
            address: *address,
            listing: Listing::Ready,
            started_ms: 0,
            version: 1,
        };
        let lines = addresses.iter().enumerate().map(line).collect();
        let (callers, listed) = (BTreeMap::new(), Vec::new());
        Registry { lines, version: 1, callers, silent_until: None, slow: None, listed, written: 0 }
    }

    /// Returns the list in the form that a process caches.
    pub fn known(&self) -> String {
        self.message(0, true)
    }

    /// Changes the state of nodes in one new version. Nodes that become ready have just started.
    pub fn change(&mut self, now: Instant, nodes: &[usize], listing: Listing) {
        self.version += 1;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        for node in nodes {
            let line = &mut self.lines[*node];
            if listing == Listing::Ready {
                line.started_ms = unix;
            }
            (line.listing, line.version) = (listing, self.version);
        }
        self.answer_waiting(now);
    }

    /// Answers all waiting calls with the whole list.
    pub fn send_whole_list(&mut self, now: Instant) {
        self.version += 1;
        let ready: Vec<Token> = self.ready_callers();
        for token in ready {
            self.answer(now, token, true);
        }
    }

    pub fn silence_until(&mut self, until: Instant) {
        self.silent_until = self.silent_until.max(Some(until));
    }

    pub fn slow_until(&mut self, until: Instant, delay: Duration) {
        self.slow = Some((until, delay));
    }

    /// Resets all connections.
    pub fn reset(&mut self) {
        self.callers.values().for_each(|caller| caller.wire.reset());
        self.callers.clear();
    }

    pub fn accept(&mut self, token: Token, wire: Wire) {
        self.callers.insert(token, Caller { wire, waiting: None, delayed: None });
    }

    /// Returns when [`Registry::tick`] has something to do.
    pub fn next_timer(&self) -> Option<Instant> {
        let due = |caller: &Caller| {
            let delayed = caller.delayed.as_ref().map(|delayed| delayed.at);
            delayed.or(caller.waiting.as_ref().map(|waiting| waiting.until))
        };
        let next = self.callers.values().filter_map(due).min();
        match self.silent_until {
            Some(until) => next.map(|at| at.max(until)),
            None => next,
        }
    }

    /// Handles readiness of a connection.
    pub fn ready(&mut self, now: Instant, token: Token, poller: &Poller) {
        let Some(caller) = self.callers.get_mut(&token) else { return };
        let is_closed = caller.wire.ready();
        while let Some(end) = caller.wire.input.windows(4).position(|it| it == b"\r\n\r\n") {
            let head: Vec<u8> = caller.wire.input.drain(..end + 4).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            let field = |name: &str| {
                let (_, rest) = head.split_once(name)?;
                rest.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let (after, wait) = (field("after="), field("wait_ms=").unwrap_or(0));
            let until = now + Duration::from_millis(if after.is_some() { wait } else { 0 });
            caller.waiting = Some(LongPoll { after: after.unwrap_or(0), until });
        }
        if is_closed {
            if let Some(mut caller) = self.callers.remove(&token) {
                caller.wire.deregister(poller);
            }
            return;
        }
        self.answer_waiting(now);
    }

    /// Answers the calls whose wait is over, and sends delayed answers that are due.
    pub fn tick(&mut self, now: Instant) {
        if self.silent_until.is_some_and(|until| until > now) {
            return;
        }
        self.silent_until = None;
        self.answer_waiting(now);
        for caller in self.callers.values_mut() {
            if let Some(Delayed { answer, lines, .. }) = caller.delayed.take_if(|it| it.at <= now) {
                caller.wire.write(&answer);
                let listed = |(node, listing)| ListedLine { node, listing, at: Instant::now() };
                self.listed.extend(lines.into_iter().map(listed));
            }
        }
    }

    fn ready_callers(&self) -> Vec<Token> {
        self.callers.iter().filter(|(_, it)| it.waiting.is_some()).map(|(token, _)| *token).collect()
    }

    fn answer_waiting(&mut self, now: Instant) {
        if self.silent_until.is_some_and(|until| until > now) {
            return;
        }
        let has_news = |waiting: &LongPoll| waiting.after < self.version || waiting.until <= now;
        let due = self.callers.iter().filter(|(_, it)| it.waiting.as_ref().is_some_and(has_news));
        for token in due.map(|(token, _)| *token).collect::<Vec<_>>() {
            self.answer(now, token, false);
        }
    }

    fn answer(&mut self, now: Instant, token: Token, whole: bool) {
        let Some(after) = self.callers.get_mut(&token).and_then(|it| it.waiting.take()).map(|it| it.after)
        else {
            return;
        };
        let whole = whole || after == 0 || after > self.version;
        let body = self.message(after, whole);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
        let lines = self.lines.iter().enumerate().filter(|(_, line)| whole || line.version > after);
        let lines: Vec<(usize, Listing)> = lines.map(|(node, line)| (node, line.listing)).collect();
        self.written += answer.len() as u64;
        let delay = self.slow.filter(|(until, _)| *until > now).map(|(_, delay)| delay);
        let Some(caller) = self.callers.get_mut(&token) else { return };
        match delay {
            Some(delay) => caller.delayed = Some(Delayed { at: now + delay, answer, lines }),
            None => {
                caller.wire.write(&answer);
                // The node list counts as sent once it is written.
                let at = Instant::now();
                self.listed.extend(lines.into_iter().map(|(node, listing)| ListedLine { node, listing, at }));
            }
        }
    }

    fn message(&self, after: u64, whole: bool) -> String {
        let wanted = |line: &&Line| match whole {
            true => line.listing != Listing::Gone,
            false => line.version > after,
        };
        let text = |line: &Line| {
            let status = match line.listing {
                Listing::Ready => "active",
                Listing::Draining => "leaving",
                Listing::Gone => "left",
            };
            let group = u64::from_str_radix(&line.name[2..], 16).unwrap_or(0);
            format!(
                r#"{{"name":"{}","address":"{}","zone":"z","type":"t","group":{group},"status":"{status}","weight":1.0,"since_ms":{}}}"#,
                line.name, line.address, line.started_ms
            )
        };
        let lines: Vec<String> = self.lines.iter().filter(wanted).map(text).collect();
        format!(r#"{{"index":{},"snapshot":{whole},"endpoints":[{}]}}"#, self.version, lines.join(","))
    }

    /// Returns the nodes that are ready and may be replaced.
    pub fn ready_nodes(&self) -> BTreeSet<usize> {
        let ready = self.lines.iter().enumerate().filter(|(_, line)| line.listing == Listing::Ready);
        ready.map(|(node, _)| node).collect()
    }
}

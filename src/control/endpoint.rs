//! The operators' listener and its few connections, one call each.

use super::{parse, reply, Call, LONGEST_LINE};
use crate::conn::Conn;
use crate::listener::{Accepted, Listener, Pending};
use mio::{Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Callers at a time. Beyond it the one that has come first makes room: it is the slowest.
const MOST_CALLERS: usize = 8;
/// Callers accepted in one turn of the loop.
const MOST_ACCEPTED: usize = 64;
/// A caller that has not said a whole call by then is told so.
const PATIENCE: Duration = Duration::from_secs(5);
/// A caller that does not read its answer, or does not close, is closed after this.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// Descriptors that the endpoint may take up.
pub const DESCRIPTORS: usize = MOST_CALLERS + 1;

struct Caller {
    conn: Conn,
    since: Instant,
    /// Since when it has its answer.
    answered: Option<Instant>,
}

/// Where operators call.
pub struct AdminEndpoint {
    listener: Listener,
    /// In the order they came: tokens only grow.
    callers: BTreeMap<usize, Caller>,
    /// Callers are let in here, and not by another process that has the same listener.
    accepts: bool,
}

impl AdminEndpoint {
    /// Callers come in by this listener.
    pub fn open(listener: Listener, token: Token, registry: &Registry) -> std::io::Result<Self> {
        let mut endpoint = AdminEndpoint { listener, callers: BTreeMap::new(), accepts: true };
        endpoint.listener.register(token, registry)?;
        Ok(endpoint)
    }

    /// Where it listens: the port may have been left to the system.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// For another process.
    pub fn listener(&self) -> &mio::net::TcpListener {
        self.listener.socket()
    }

    /// Lets callers in, or leaves them to another process that has the same listener.
    pub fn accept_callers(&mut self, yes: bool, token: Token, registry: &Registry) {
        let changed = match yes {
            true => self.listener.register(token, registry),
            false => self.listener.deregister(registry),
        };
        if let Err(error) = changed {
            tracing::warn!("the admin endpoint's listener: {error}");
        }
        self.listener.forget_age();
        self.accepts = yes;
    }

    /// Callers may wait since then.
    pub fn connections_pending(&mut self, since: Instant) {
        self.listener.ready(since);
    }

    /// When [`AdminEndpoint::turn`] has something to do.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        let end = |caller: &Caller| {
            caller.answered.map_or(caller.since + PATIENCE, |answered| answered + LAST_WORDS)
        };
        let accept_at = self.listener.accept_at(now).filter(|_| self.accepts);
        self.callers.values().map(end).chain(accept_at).min()
    }

    /// Its part of a turn of the loop: lets callers in and closes who is slow. What was called is returned; each is
    /// owed one [`AdminEndpoint::reply`].
    pub fn turn(
        &mut self,
        now: Instant,
        registry: &Registry,
        mut next: impl FnMut() -> Token,
    ) -> Vec<(usize, Call)> {
        let mut calls = Vec::new();
        for _ in 0..MOST_ACCEPTED {
            if !self.accepts || !self.listener.is_due(now) {
                break;
            }
            let Accepted { stream, .. } = match self.listener.accept() {
                Pending::Connection(accepted) => accepted,
                Pending::Empty => break,
                Pending::Failed(error) => {
                    tracing::warn!("the admin endpoint: accept: {error}");
                    break;
                }
            };
            // Guards callers against those that hold connections and say nothing.
            while self.callers.len() >= MOST_CALLERS {
                self.callers.pop_first();
            }
            let token = next();
            if let Ok(conn) = Conn::new(stream, token, registry) {
                self.callers.insert(token.0, Caller { conn, since: now, answered: None });
                // What it came with is read before the next one may send it away.
                calls.extend(self.ready(now, token.0).map(|call| (token.0, call)));
            }
        }
        let slow: Vec<usize> =
            self.callers.iter().filter(|(_, it)| now - it.since >= PATIENCE).map(|(id, _)| *id).collect();
        slow.into_iter().for_each(|id| self.reply(now, id, &Err("no whole line came".into())));
        self.callers.retain(|_, it| it.answered.is_none_or(|answered| now - answered < LAST_WORDS));
        calls
    }

    /// Something happened on a caller's connection; it may be a call.
    pub fn ready(&mut self, now: Instant, id: usize) -> Option<Call> {
        let caller = self.callers.get_mut(&id)?;
        let end = caller.conn.read(LONGEST_LINE);
        if caller.answered.is_some() {
            // Guards the answer: what comes after the call would reset the connection if it was left unread.
            caller.conn.consume(caller.conn.input.len());
            if caller.conn.flush().is_err() || end.is_over() {
                self.callers.remove(&id);
            }
            return None;
        }
        match parse(&caller.conn.input) {
            Some(Ok(call)) => return Some(call),
            Some(Err(why)) => self.reply(now, id, &Err(why)),
            None if end.is_over() => self.reply(now, id, &Err("the call is cut off".into())),
            None => {}
        }
        None
    }

    /// Answers a caller, who closes the connection then.
    pub fn reply(&mut self, now: Instant, id: usize, outcome: &Result<String, String>) {
        let Some(caller) = self.callers.get_mut(&id).filter(|caller| caller.answered.is_none()) else {
            return;
        };
        caller.answered = Some(now);
        caller.conn.push(&reply(outcome));
        caller.conn.consume(caller.conn.input.len());
        if caller.conn.flush().is_err()
            || caller.conn.unwritten() == 0 && caller.conn.shutdown_write().is_err()
        {
            self.callers.remove(&id);
        }
    }
}

//! The admin listener and its few connections, each for a single call.

use super::{parse, reply, Call, MAX_LINE_BYTES};
use crate::conn::Conn;
use crate::listener::{Accepted, Listener, Pending};
use mio::{Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Limit of callers. Beyond it the oldest one is closed, as the slowest.
const MAX_CALLERS: usize = 8;
/// Limit of callers accepted in one iteration of the loop.
const MAX_ACCEPTED_PER_ITERATION: usize = 64;
/// A caller that has not sent a complete call by then gets an error.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A caller that does not read its answer, or does not close, is closed after this time.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Descriptors that the endpoint may use.
pub const DESCRIPTORS: usize = MAX_CALLERS + 1;

struct Caller {
    conn: Conn,
    since: Instant,
    /// When it got its answer.
    answered: Option<Instant>,
}

/// The admin endpoint.
pub struct AdminEndpoint {
    listener: Listener,
    /// Ordered by age, since tokens only increase.
    callers: BTreeMap<usize, Caller>,
    /// Whether callers are accepted here, and not by another process that shares the listener.
    accepts: bool,
}

impl AdminEndpoint {
    /// Accepts callers from this listener.
    pub fn open(listener: Listener, token: Token, registry: &Registry) -> std::io::Result<Self> {
        let mut endpoint = AdminEndpoint { listener, callers: BTreeMap::new(), accepts: true };
        endpoint.listener.register(token, registry)?;
        Ok(endpoint)
    }

    /// The listening address, with the port that the system has assigned.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// The listening socket, to be passed to another process.
    pub fn listener(&self) -> &mio::net::TcpListener {
        self.listener.socket()
    }

    /// Accepts callers, or leaves them to another process that shares the listener.
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

    /// Callers may have been waiting since then.
    pub fn connections_pending(&mut self, since: Instant) {
        self.listener.ready(since);
    }

    /// When [`AdminEndpoint::run`] is due next.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        let end = |caller: &Caller| {
            caller.answered.map_or(caller.since + CALL_TIMEOUT, |answered| answered + CLOSE_TIMEOUT)
        };
        let accept_at = self.listener.accept_at(now).filter(|_| self.accepts);
        self.callers.values().map(end).chain(accept_at).min()
    }

    /// Accepts callers and closes slow ones. Returns the calls received, each of which needs one
    /// [`AdminEndpoint::reply`].
    pub fn run(
        &mut self,
        now: Instant,
        registry: &Registry,
        mut next: impl FnMut() -> Token,
    ) -> Vec<(usize, Call)> {
        let mut calls = Vec::new();
        for _ in 0..MAX_ACCEPTED_PER_ITERATION {
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
            // Guards against callers that hold connections and stay silent.
            while self.callers.len() >= MAX_CALLERS {
                self.callers.pop_first();
            }
            let token = next();
            if let Ok(conn) = Conn::new(stream, token, registry) {
                self.callers.insert(token.0, Caller { conn, since: now, answered: None });
                // Input that has already arrived is read before the next caller may displace this one.
                calls.extend(self.ready(now, token.0).map(|call| (token.0, call)));
            }
        }
        let slow: Vec<usize> =
            self.callers.iter().filter(|(_, it)| now - it.since >= CALL_TIMEOUT).map(|(id, _)| *id).collect();
        slow.into_iter().for_each(|id| self.reply(now, id, &Err("no whole line came".into())));
        self.callers.retain(|_, it| it.answered.is_none_or(|answered| now - answered < CLOSE_TIMEOUT));
        calls
    }

    /// Handles readiness of a caller's connection; returns its call once it is complete.
    pub fn ready(&mut self, now: Instant, id: usize) -> Option<Call> {
        let caller = self.callers.get_mut(&id)?;
        let end = caller.conn.read(MAX_LINE_BYTES);
        if caller.answered.is_some() {
            // Input after the call is consumed: leaving it unread would reset the connection and lose the answer.
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

    /// Sends the answer; the caller closes the connection then.
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

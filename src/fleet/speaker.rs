//! The socket of a member: carries its frames over UDP, and hands it its own lateness before anything that came.

use super::frame::{tag, Frame, MAX_DATAGRAM_BYTES};
use super::member::{Action, Event, Identity, Member};
use super::report;
use super::settings::Settings;
use super::traffic::Traffic;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// The name of its report.
pub const REPORT: &str = "fleet";
/// Datagrams read in one turn of the loop. Guards requests against a flood; the kernel drops what is too much.
const MAX_READS_PER_POLL: usize = 64;
/// Least time between two reports, for each [`PEERS_PER_REPORT_INTERVAL`] peers.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Peers that a report of [`MIN_REPORT_INTERVAL`] may have: larger ones are made more seldom.
const PEERS_PER_REPORT_INTERVAL: u32 = 64;

/// A member with its socket.
pub struct Driver {
    socket: UdpSocket,
    member: Member,
    tag: u64,
    /// Where the member's scale of time begins.
    origin: Instant,
    /// Late by more than this it may not have heard an answer.
    max_lateness: Duration,
    readable: bool,
    traffic: Traffic,
    reported: Option<Instant>,
}

impl Driver {
    /// Binds its address and begins to join, or goes on in the place of the process before.
    pub fn start(
        settings: &Settings,
        (unix, seed): (Duration, u64),
        identity: Option<Identity>,
        token: Token,
        registry: &Registry,
        now: Instant,
    ) -> Result<Self, String> {
        let bound = UdpSocket::bind(settings.address).and_then(|mut socket| {
            registry.register(&mut socket, token, Interest::READABLE)?;
            Ok(socket)
        });
        let socket = bound.map_err(|error| format!("fleet {}: {error}", settings.address))?;
        let own = settings.parameters(unix, seed);
        let member = match identity {
            Some(identity) => Member::resume(own, identity, Duration::ZERO),
            None => Member::new(own, Duration::ZERO),
        };
        Ok(Driver {
            socket,
            member,
            tag: tag(&settings.fleet),
            origin: now,
            max_lateness: settings.ack_timeout,
            readable: true,
            traffic: Traffic::default(),
            reported: None,
        })
    }

    /// Datagrams wait.
    pub fn set_readable(&mut self) {
        self.readable = true;
    }

    /// When [`Speaker::turn`] has something to do.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        if self.readable {
            return Some(now);
        }
        self.member.next_timer().map(|at| self.origin + at)
    }

    /// One turn of the loop, which came late by so much: takes what came and does what is due.
    pub fn poll(&mut self, now: Instant, late: Duration) {
        let at = now.saturating_duration_since(self.origin);
        let mut actions = Vec::new();
        if late > self.max_lateness {
            self.member.handle(at, Event::Delayed(late), &mut actions);
        }
        self.read(at, &mut actions);
        // What has come is heard before what is due: an answer may lie there that a suspicion waits for. A flood holds
        // that up for as long as an answer may take, and no longer.
        let wait = if self.readable { self.max_lateness } else { Duration::ZERO };
        if self.member.next_timer().is_some_and(|due| due + wait <= at) {
            self.member.handle(at, Event::Wake, &mut actions);
        }
        self.carry_out(actions);
    }

    /// Sends nothing from now on, and gives what the next process of this member goes on from: one of them sends at a
    /// time.
    pub fn hand_over(self) -> Identity {
        self.member.identity()
    }

    /// Announces to the others that this member leaves.
    pub fn leave(&mut self, now: Instant) {
        let mut actions = Vec::new();
        self.member.handle(now.saturating_duration_since(self.origin), Event::Leave, &mut actions);
        self.carry_out(actions);
    }

    fn read(&mut self, at: Duration, actions: &mut Vec<Action>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_READS_PER_POLL {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => {
                    self.traffic.datagrams_in += 1;
                    match Frame::read(&bytes[..length], self.tag) {
                        Ok(frame) => self.member.handle(at, Event::Frame(Box::new(frame), from), actions),
                        Err(why) => {
                            self.traffic.unreadable += 1;
                            tracing::debug!(%from, "fleet: passed over: {why}");
                        }
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.readable = false;
                    return;
                }
                // A peer that is not there is reported by the system as an error of this socket.
                Err(error) => tracing::debug!("fleet: {error}"),
            }
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, frame) => {
                    let bytes = frame.write(self.tag);
                    match self.socket.send_to(&bytes, to) {
                        Ok(count) => {
                            self.traffic.datagrams_out += 1;
                            self.traffic.bytes_out += count as u64;
                        }
                        Err(_) => self.traffic.not_sent += 1,
                    }
                }
                Action::Note { name, what, evidence } => tracing::info!(name, what, evidence, "fleet"),
            }
        }
    }

    /// Its report, as lines and as JSON, where one is due.
    pub fn due_report(&mut self, now: Instant) -> Option<(String, String)> {
        let pause = MIN_REPORT_INTERVAL * (1 + self.member.peers().len() as u32 / PEERS_PER_REPORT_INTERVAL);
        if self.reported.is_some_and(|at| now - at < pause) {
            return None;
        }
        self.reported = Some(now);
        Some(report::render(&self.member, self.traffic, now.saturating_duration_since(self.origin)))
    }
}

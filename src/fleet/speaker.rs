//! The socket of a member: carries its frames over UDP, and hands it its own lateness before anything that came.

use super::frame::{tag, Frame, MAX_BYTES};
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
const MAX_READ: usize = 64;
/// Least time between two reports, for each [`PEERS_A_REPORT`] peers.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Peers that a report of [`REPORT_PAUSE`] may have: larger ones are made more seldom.
const PEERS_A_REPORT: u32 = 64;

/// A member with its socket.
pub struct Speaker {
    socket: UdpSocket,
    member: Member,
    tag: u64,
    /// Where the member's scale of time begins.
    origin: Instant,
    /// Late by more than this it may not have heard an answer.
    patience: Duration,
    readable: bool,
    traffic: Traffic,
    reported: Option<Instant>,
}

impl Speaker {
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
        Ok(Speaker {
            socket,
            member,
            tag: tag(&settings.fleet),
            origin: now,
            patience: settings.answer,
            readable: true,
            traffic: Traffic::default(),
            reported: None,
        })
    }

    /// Datagrams wait.
    pub fn ready(&mut self) {
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
    pub fn turn(&mut self, now: Instant, late: Duration) {
        let at = now.saturating_duration_since(self.origin);
        let mut actions = Vec::new();
        if late > self.patience {
            self.member.handle(at, Event::Late(late), &mut actions);
        }
        self.read(at, &mut actions);
        // What has come is heard before what is due: an answer may lie there that a suspicion waits for. A flood holds
        // that up for as long as an answer may take, and no longer.
        let wait = if self.readable { self.patience } else { Duration::ZERO };
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
        let mut bytes = [0; MAX_BYTES + 1];
        for _ in 0..MAX_READ {
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
    pub fn info(&mut self, now: Instant) -> Option<(String, String)> {
        let pause = REPORT_PAUSE * (1 + self.member.peers().len() as u32 / PEERS_A_REPORT);
        if self.reported.is_some_and(|at| now - at < pause) {
            return None;
        }
        self.reported = Some(now);
        Some(report::of(&self.member, self.traffic, now.saturating_duration_since(self.origin)))
    }
}

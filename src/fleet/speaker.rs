//! Drives a member over UDP: passes received frames and due timers to it, and sends its frames. A delay of the process
//! is reported to the member before the datagrams that arrived meanwhile.

use super::frame::{tag, Frame, MAX_DATAGRAM_BYTES};
use super::member::{Action, Event, Identity, Member};
use super::report;
use super::settings::Settings;
use super::traffic::Traffic;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Name of the report in `INFO`.
pub const REPORT: &str = "fleet";
/// Maximum number of datagrams read in one iteration of the event loop, so that a flood does not delay requests. The
/// kernel drops what exceeds its buffer.
const MAX_READS_PER_POLL: usize = 64;
/// Minimum time between two reports, for each [`PEERS_PER_REPORT_INTERVAL`] peers.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of peers for which the time between reports grows by [`MIN_REPORT_INTERVAL`], since larger reports cost more.
const PEERS_PER_REPORT_INTERVAL: u32 = 64;

/// A member with its UDP socket.
pub struct Driver {
    socket: UdpSocket,
    member: Member,
    tag: u64,
    /// The zero of the member's scale of time.
    origin: Instant,
    /// A delay longer than this is reported to the member, since it may have missed an ack.
    max_lateness: Duration,
    readable: bool,
    traffic: Traffic,
    reported: Option<Instant>,
}

impl Driver {
    /// Binds the address and begins to join, or resumes the member of the preceding process. `unix` is the present Unix
    /// time, `seed` that of the random numbers. Fails if the address cannot be bound.
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

    /// The socket has become readable.
    pub fn set_readable(&mut self) {
        self.readable = true;
    }

    /// When [`Driver::poll`] is to be called next.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        if self.readable {
            return Some(now);
        }
        self.member.next_timer().map(|at| self.origin + at)
    }

    /// One iteration of the event loop, which was delayed by `late`: handles received datagrams and due timers.
    pub fn poll(&mut self, now: Instant, late: Duration) {
        let at = now.saturating_duration_since(self.origin);
        let mut actions = Vec::new();
        if late > self.max_lateness {
            self.member.handle(at, Event::Delayed(late), &mut actions);
        }
        self.read(at, &mut actions);
        // Received datagrams are handled before due timers: an ack among them may end a suspicion. A flood delays the
        // timers by at most the ack timeout.
        let wait = if self.readable { self.max_lateness } else { Duration::ZERO };
        if self.member.next_timer().is_some_and(|due| due + wait <= at) {
            self.member.handle(at, Event::Wake, &mut actions);
        }
        self.carry_out(actions);
    }

    /// Closes the socket and returns the state from which the next process resumes this member: only one of the two
    /// processes sends.
    pub fn hand_over(self) -> Identity {
        self.member.identity()
    }

    /// Begins to leave and announces it to the others.
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
                            tracing::debug!(%from, "fleet: dropped a datagram: {why}");
                        }
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.readable = false;
                    return;
                }
                // The kernel reports an unreachable peer as an error of this socket.
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

    /// The member's report as rows of `INFO` and as JSON, if one is due.
    pub fn due_report(&mut self, now: Instant) -> Option<(String, String)> {
        let pause = MIN_REPORT_INTERVAL * (1 + self.member.peers().len() as u32 / PEERS_PER_REPORT_INTERVAL);
        if self.reported.is_some_and(|at| now - at < pause) {
            return None;
        }
        self.reported = Some(now);
        Some(report::render(&self.member, self.traffic, now.saturating_duration_since(self.origin)))
    }
}

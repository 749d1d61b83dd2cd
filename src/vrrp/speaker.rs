//! Drives the virtual routers of a process over UDP: passes received packets and due timers to them, and sends their
//! advertisements to each peer's unicast address.

use super::machine::Transition;
use super::packet::{Path, MAX_PACKET_BYTES, REQUIRED_HOP_LIMIT};
use super::routers::{Output, Router, Routers};
use super::settings::Interface;
use super::track::{Condition, Rule, Tracker};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use nix::cmsg_space;
use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags, SockaddrStorage};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{ErrorKind, IoSliceMut};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// Maximum number of packets read from one interface in one iteration of the event loop, so that a flood does not delay
/// requests. The kernel drops what exceeds its buffer.
const MAX_READS_PER_POLL: usize = 128;
/// Size of the kernel's receive buffer: some thousand advertisements of a few addresses.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// The socket of one interface.
struct InterfaceSocket {
    socket: UdpSocket,
    address: SocketAddr,
    peers: Vec<SocketAddr>,
    /// Packets may be waiting.
    readable: bool,
}

/// Metadata of a received packet.
struct Received {
    length: usize,
    from: SocketAddr,
    hops: Option<u8>,
}

/// The virtual routers of a process with their sockets.
pub struct Driver {
    sockets: Vec<InterfaceSocket>,
    routers: Routers,
    outputs: Vec<Output>,
    /// The zero of the routers' scale of time.
    origin: Instant,
    /// Number of sent payload bytes.
    pub bytes_sent: u64,
    /// Number of advertisements that the kernel refused to send.
    pub send_errors: u64,
}

impl Driver {
    /// Binds the interfaces, each with one token, and starts the routers. The error names the address that could not be
    /// bound.
    pub fn start(
        interfaces: &[Interface],
        routers: Vec<Router>,
        rules: &[Rule],
        tokens: impl IntoIterator<Item = Token>,
        registry: &Registry,
        now: Instant,
    ) -> Result<Self, String> {
        let mut sockets = Vec::new();
        for (interface, token) in interfaces.iter().zip(tokens) {
            let bound = bind(interface.address).and_then(|mut socket| {
                registry.register(&mut socket, token, Interest::READABLE)?;
                Ok(socket)
            });
            let socket = bound.map_err(|error| format!("{}: {error}", interface.address))?;
            let (address, peers) = (interface.address, interface.peers.clone());
            sockets.push(InterfaceSocket { socket, address, peers, readable: true });
        }
        let routers = Routers::new(routers, Tracker::new(rules));
        let mut driver =
            Driver { sockets, routers, outputs: Vec::new(), origin: now, bytes_sent: 0, send_errors: 0 };
        driver.routers.start(Duration::ZERO, &mut driver.outputs);
        Ok(driver)
    }

    /// The routers.
    pub fn routers(&self) -> &Routers {
        &self.routers
    }

    /// A time on the routers' scale.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.origin)
    }

    /// The socket of an interface, by position, has become readable.
    pub fn set_readable(&mut self, interface: usize) {
        if let Some(entry) = self.sockets.get_mut(interface) {
            entry.readable = true;
        }
    }

    /// When [`Driver::poll`] is to be called next.
    pub fn next_timer(&self, now: Instant) -> Option<Instant> {
        if self.sockets.iter().any(|entry| entry.readable) {
            return Some(now);
        }
        self.routers.next_timer().map(|at| self.origin + at)
    }

    /// One iteration of the event loop: handles received packets, fires due timers, sends advertisements. Returns the
    /// transitions by router, which the caller must act on first: after a stop of the process they tell that another
    /// host has taken over.
    pub fn poll(&mut self, now: Instant) -> Vec<(usize, Transition)> {
        for at in 0..self.sockets.len() {
            self.read(now, at);
        }
        let at = self.since_start(now);
        self.routers.tick(at, &mut self.outputs);
        self.carry_out()
    }

    /// Records the result of a check of a condition.
    pub fn record_check(
        &mut self,
        now: Instant,
        condition: Condition,
        found: bool,
    ) -> Vec<(usize, Transition)> {
        let at = self.since_start(now);
        if self.routers.record_check(at, condition, found, &mut self.outputs) {
            tracing::info!(condition = condition.name(), holds = found, "VRRP condition");
        }
        self.carry_out()
    }

    /// Applies changed priorities and tracking rules.
    pub fn reconfigure(
        &mut self,
        now: Instant,
        routers: &[Router],
        rules: &[Rule],
    ) -> Vec<(usize, Transition)> {
        let at = self.since_start(now);
        self.routers.reconfigure(at, routers, rules, &mut self.outputs);
        self.carry_out()
    }

    /// Shuts the routers down; the Active ones resign.
    pub fn shut_down(&mut self, now: Instant) -> Vec<(usize, Transition)> {
        let at = self.since_start(now);
        self.routers.shut_down(at, &mut self.outputs);
        self.carry_out()
    }

    fn read(&mut self, now: Instant, at: usize) {
        if !self.sockets[at].readable {
            return;
        }
        let mut packet = [0; MAX_PACKET_BYTES + 1];
        for _ in 0..MAX_READS_PER_POLL {
            let entry = &mut self.sockets[at];
            let received = match receive(&entry.socket, &mut packet) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    entry.readable = false;
                    return;
                }
                // The kernel reports unreachable peers as errors of this socket; further packets may be waiting.
                Err(_) => continue,
            };
            let Some(Received { length, from, hops }) = received else { continue };
            // Only packets of configured peers are processed.
            if !entry.peers.contains(&from) {
                self.routers.errors.unknown_senders += 1;
                continue;
            }
            let path = Path { source: from.ip(), destination: entry.address.ip() };
            let now = self.since_start(now);
            self.routers.receive(now, &packet[..length], path, hops, &mut self.outputs);
        }
    }

    fn carry_out(&mut self) -> Vec<(usize, Transition)> {
        let mut changes = Vec::new();
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Advertise { router, priority } => self.advertise(router, priority),
                Output::Changed { router, transition } => {
                    let (own, machine) = (self.routers.router(router), self.routers.machine(router));
                    tracing::info!(
                        router = own.name,
                        vrid = own.vrid,
                        from = transition.from.name(),
                        to = transition.to.name(),
                        reason = ?transition.reason,
                        priority = machine.priority(),
                        "VRRP transition"
                    );
                    changes.push((router, transition));
                }
            }
        }
        changes
    }

    fn advertise(&mut self, router: usize, priority: u8) {
        let family = self.routers.router(router).family();
        let of_family = |entry: &&InterfaceSocket| super::packet::Family::of(entry.address.ip()) == family;
        for entry in self.sockets.iter().filter(of_family) {
            for peer in &entry.peers {
                let path = Path { source: entry.address.ip(), destination: peer.ip() };
                let packet = self.routers.packet(router, priority, path);
                // A failed advertisement is not repeated: the next one follows after an interval.
                match entry.socket.send_to(&packet, *peer) {
                    Ok(length) => self.bytes_sent += length as u64,
                    Err(_) => self.send_errors += 1,
                }
            }
        }
    }
}

/// A UDP socket that sends with the maximum TTL or hop limit and reports that of received packets.
fn bind(address: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    if address.is_ipv4() {
        socket.set_ttl_v4(u32::from(REQUIRED_HOP_LIMIT))?;
        setsockopt(&socket, sockopt::Ipv4RecvTtl, &true)?;
    } else {
        socket.set_only_v6(true)?;
        socket.set_unicast_hops_v6(u32::from(REQUIRED_HOP_LIMIT))?;
        setsockopt(&socket, sockopt::Ipv6RecvHopLimit, &true)?;
    }
    // Keeps packets of peers during a burst. The kernel may grant less.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(UdpSocket::from_std(socket.into()))
}

/// Receives one packet; `None` if the kernel reports no source address.
fn receive(socket: &UdpSocket, packet: &mut [u8]) -> std::io::Result<Option<Received>> {
    socket.try_io(|| {
        let mut space = cmsg_space!(i32, i32);
        let mut slices = [IoSliceMut::new(packet)];
        let flags = MsgFlags::MSG_DONTWAIT;
        let message = recvmsg::<SockaddrStorage>(socket.as_raw_fd(), &mut slices, Some(&mut space), flags)?;
        let hops = message.cmsgs()?.find_map(|control| match control {
            ControlMessageOwned::Ipv4Ttl(hops) | ControlMessageOwned::Ipv6HopLimit(hops) => {
                u8::try_from(hops).ok()
            }
            _ => None,
        });
        let from = message.address.as_ref().and_then(|address| {
            let four = address.as_sockaddr_in().map(|it| SocketAddr::V4((*it).into()));
            four.or_else(|| address.as_sockaddr_in6().map(|it| SocketAddr::V6((*it).into())))
        });
        let length = message.bytes;
        Ok(from.map(|from| Received { length, from, hops }))
    })
}

#[cfg(test)]
mod tests;

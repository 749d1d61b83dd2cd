//! A stand-in for the network segment that machines share: it carries their advertisements, with loss, delay,
//! duplication, reordering and cuts one way as told, and it routes TCP connections for the virtual address to the
//! machine that announced last, as a switch does that learns where an address is.
//!
//! Each machine has an IP address of its own on loopback. The segment holds a second socket on each of these, to which
//! the others send what is for that machine, and from which they hear it: so both ends of a path have the IP
//! addresses that they would have without it, as checksums and ties want it.

use crate::sync::lock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How soon a connection to a machine must be up.
const CONNECT: Duration = Duration::from_millis(250);
/// How often threads look whether the segment has ended.
const LOOK: Duration = Duration::from_millis(50);

/// What happens to what one machine says to another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Nothing passes.
    pub cut: bool,
    /// Part of the packets that are lost.
    pub loss: f64,
    /// Part that comes twice.
    pub duplicated: f64,
    /// Every packet takes as long.
    pub delay: Duration,
    /// And up to as much longer: later ones may come first.
    pub jitter: Duration,
}

/// A machine as the segment knows it.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    /// Where it hears advertisements.
    pub own: SocketAddr,
    /// Where the others send what is for it.
    pub relay: SocketAddr,
    /// Where it serves the virtual address.
    pub serves: SocketAddr,
}

struct Shared {
    ports: Vec<Port>,
    links: Mutex<HashMap<(usize, usize), Link>>,
    /// Who announced last, and since when that has not changed.
    route: Mutex<Option<(usize, Instant)>>,
    /// When each machine announced last.
    announced: Mutex<HashMap<usize, Instant>>,
    /// Connections of clients by their own address, and the machine that accepted each.
    accepted: Mutex<HashMap<SocketAddr, usize>>,
    ended: AtomicBool,
}

/// The segment. It ends when it is dropped.
pub struct Segment {
    shared: Arc<Shared>,
    /// Where clients find the virtual address.
    pub address: SocketAddr,
}

impl Drop for Segment {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        // Wakes whoever waits for a client.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT);
    }
}

impl Segment {
    /// Starts one for machines with these IP addresses; `virtual_ip` is where clients connect.
    pub fn start(ips: &[Ipv4Addr], virtual_ip: Ipv4Addr, seed: u64) -> std::io::Result<Segment> {
        let mut relays = Vec::new();
        let mut ports = Vec::new();
        for ip in ips {
            let relay = UdpSocket::bind((*ip, 0))?;
            socket2::SockRef::from(&relay).set_ttl_v4(255)?;
            relay.set_read_timeout(Some(LOOK))?;
            // The system's choice of ports that are free on an address of this run's own.
            let own = UdpSocket::bind((*ip, 0))?.local_addr()?;
            let serves = TcpListener::bind((*ip, 0))?.local_addr()?;
            ports.push(Port { own, relay: relay.local_addr()?, serves });
            relays.push(Arc::new(relay));
        }
        let shared = Arc::new(Shared {
            ports,
            links: Mutex::default(),
            route: Mutex::default(),
            announced: Mutex::default(),
            accepted: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let (late, delayed) = channel::<Delayed>();
        let (relays_late, shared_late) = (relays.clone(), shared.clone());
        thread::spawn(move || deliver_late(&relays_late, &shared_late, &delayed));
        for to in 0..relays.len() {
            let (relays, shared, late) = (relays.clone(), shared.clone(), late.clone());
            let random = ChaCha8Rng::seed_from_u64(seed ^ (to as u64) << 32);
            thread::spawn(move || relay(&relays, to, &shared, &late, random));
        }
        let listener = TcpListener::bind((virtual_ip, 0))?;
        let address = listener.local_addr()?;
        let shared_route = shared.clone();
        thread::spawn(move || route(&listener, &shared_route));
        Ok(Segment { shared, address })
    }

    /// The ports of the machines, in the order of their addresses.
    pub fn ports(&self) -> &[Port] {
        &self.shared.ports
    }

    /// Changes what happens on the way from one machine to another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        lock(&self.shared.links).insert((from, to), link);
    }

    /// The machine that the virtual address leads to, and since when.
    pub fn route(&self) -> Option<(usize, Instant)> {
        *lock(&self.shared.route)
    }

    /// When a machine announced last.
    pub fn announced(&self, machine: usize) -> Option<Instant> {
        lock(&self.shared.announced).get(&machine).copied()
    }

    /// The machine that accepted a client's connection, by the client's own address; none if nobody did.
    pub fn accepted(&self, client: SocketAddr) -> Option<usize> {
        lock(&self.shared.accepted).get(&client).copied()
    }

    /// Forgets a client's connection.
    pub fn forget(&self, client: SocketAddr) {
        lock(&self.shared.accepted).remove(&client);
    }
}

/// A packet on its way: when it arrives, a number that keeps the order, from, to, bytes.
type Delayed = (Instant, u64, usize, usize, Vec<u8>);

fn relay(
    relays: &[Arc<UdpSocket>],
    to: usize,
    shared: &Shared,
    late: &Sender<Delayed>,
    mut random: ChaCha8Rng,
) {
    let (mut packet, mut number) = ([0; 8192], 0);
    while !shared.ended.load(Ordering::Relaxed) {
        let Ok((length, source)) = relays[to].recv_from(&mut packet) else { continue };
        let Some(from) = shared.ports.iter().position(|port| port.own == source) else { continue };
        let packet = &packet[..length];
        // The switch sees what is said also where it then gets lost. Priority 0 announces nothing.
        if packet.get(2).is_some_and(|priority| *priority > 0) {
            lock(&shared.announced).insert(from, Instant::now());
            let mut route = lock(&shared.route);
            if route.is_none_or(|(machine, _)| machine != from) {
                *route = Some((from, Instant::now()));
            }
        }
        let link = lock(&shared.links).get(&(from, to)).copied().unwrap_or_default();
        if link.cut || random.random::<f64>() < link.loss {
            continue;
        }
        let copies = 1 + usize::from(random.random::<f64>() < link.duplicated);
        for _ in 0..copies {
            let wait = link.delay + link.jitter.mul_f64(random.random());
            if wait.is_zero() {
                // A machine that is not there hears nothing.
                let _ = relays[from].send_to(packet, shared.ports[to].own);
            } else {
                number += 1;
                // Only the segment's end stops the other side.
                let _ = late.send((Instant::now() + wait, number, from, to, packet.to_vec()));
            }
        }
    }
}

fn deliver_late(relays: &[Arc<UdpSocket>], shared: &Shared, delayed: &std::sync::mpsc::Receiver<Delayed>) {
    let mut waiting = BinaryHeap::new();
    while !shared.ended.load(Ordering::Relaxed) {
        let now = Instant::now();
        while waiting.peek().is_some_and(|Reverse((at, ..)): &Reverse<Delayed>| *at <= now) {
            if let Some(Reverse((_, _, from, to, packet))) = waiting.pop() {
                let _ = relays[from].send_to(&packet, shared.ports[to].own);
            }
        }
        let next = waiting.peek().map_or(LOOK, |Reverse((at, ..))| at.saturating_duration_since(now));
        match delayed.recv_timeout(next.min(LOOK)) {
            Ok(packet) => waiting.push(Reverse(packet)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Hands each connection to the machine that announced last. One that nobody accepts is closed.
fn route(listener: &TcpListener, shared: &Arc<Shared>) {
    for client in listener.incoming() {
        if shared.ended.load(Ordering::Relaxed) {
            return;
        }
        let Ok(client) = client else { continue };
        let shared = shared.clone();
        thread::spawn(move || {
            let machine = lock(&shared.route).map(|(machine, _)| machine);
            let (Some(machine), Ok(own)) = (machine, client.peer_addr()) else { return };
            let Ok(server) = TcpStream::connect_timeout(&shared.ports[machine].serves, CONNECT) else {
                return;
            };
            lock(&shared.accepted).insert(own, machine);
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else { return };
            thread::spawn(move || carry(from_client, to_server));
            carry(server, client);
        });
    }
}

/// Carries bytes one way until either end closes, and then closes both ways: a peer that resets has gone for good.
fn carry(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 * 1024];
    loop {
        match from.read(&mut bytes) {
            Ok(count) if count > 0 && to.write_all(&bytes[..count]).is_ok() => {}
            _ => {
                let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
                return;
            }
        }
    }
}

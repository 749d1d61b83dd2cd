//! A stand-in for the network segment that machines share. It relays their datagrams with configurable loss, delay,
//! duplication, reordering and one-way cuts, and it routes TCP connections for the virtual address to the machine that
//! announced last, as a learning switch does.
//!
//! Each machine has its own IP address on loopback. The segment has a second socket on each of these, the relay: the
//! other machines send to it, and it forwards from the sender's relay. So both ends of a path have the IP addresses
//! that they would have without the segment, which checksums and the resolution of ties depend on.

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

/// Time limit for connecting to a machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How often threads check whether the segment has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Faults of the link from one machine to another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Drops all packets.
    pub cut: bool,
    /// Share of lost packets.
    pub loss: f64,
    /// Share of duplicated packets.
    pub duplicated: f64,
    /// Delay of every packet.
    pub delay: Duration,
    /// Max additional random delay, which reorders packets.
    pub jitter: Duration,
}

/// The addresses of a machine on the segment.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    /// UDP address at which it receives.
    pub own: SocketAddr,
    /// UDP address to which the others send for it.
    pub relay: SocketAddr,
    /// TCP address at which it serves the virtual address.
    pub listen: SocketAddr,
}

struct Shared {
    ports: Vec<Port>,
    links: Mutex<HashMap<(usize, usize), Link>>,
    /// The machine that announced last, and since when that has not changed.
    route: Mutex<Option<(usize, Instant)>>,
    /// When each machine announced last.
    announced: Mutex<HashMap<usize, Instant>>,
    /// The machine that accepted each connection, by the client's address.
    accepted: Mutex<HashMap<SocketAddr, usize>>,
    ended: AtomicBool,
}

/// The segment. Dropping it ends its threads.
pub struct Segment {
    shared: Arc<Shared>,
    /// The address that stands for the virtual address.
    pub address: SocketAddr,
}

impl Drop for Segment {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts clients.
        let _ = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT);
    }
}

impl Segment {
    /// Starts a segment for machines with these IP addresses; clients connect at `virtual_ip`.
    pub fn start(ips: &[Ipv4Addr], virtual_ip: Ipv4Addr, seed: u64) -> std::io::Result<Segment> {
        let mut relays = Vec::new();
        let mut ports = Vec::new();
        for ip in ips {
            let relay = UdpSocket::bind((*ip, 0))?;
            socket2::SockRef::from(&relay).set_ttl_v4(255)?;
            relay.set_read_timeout(Some(CHECK_INTERVAL))?;
            // Ports that the system chooses. They stay free, as no other run uses the IP address.
            let own = UdpSocket::bind((*ip, 0))?.local_addr()?;
            let listen = TcpListener::bind((*ip, 0))?.local_addr()?;
            ports.push(Port { own, relay: relay.local_addr()?, listen });
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
        let (delay_queue, delayed) = channel::<Delayed>();
        let (delayed_relays, delayed_shared) = (relays.clone(), shared.clone());
        thread::spawn(move || deliver_delayed(&delayed_relays, &delayed_shared, &delayed));
        for to in 0..relays.len() {
            let (relays, shared, delay_queue) = (relays.clone(), shared.clone(), delay_queue.clone());
            let random = ChaCha8Rng::seed_from_u64(seed ^ (to as u64) << 32);
            thread::spawn(move || relay(&relays, to, &shared, &delay_queue, random));
        }
        let listener = TcpListener::bind((virtual_ip, 0))?;
        let address = listener.local_addr()?;
        let shared_route = shared.clone();
        thread::spawn(move || route(&listener, &shared_route));
        Ok(Segment { shared, address })
    }

    /// Returns the addresses of the machines, in the order of `ips`.
    pub fn ports(&self) -> &[Port] {
        &self.shared.ports
    }

    /// Sets the faults of the link from one machine to another.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        lock(&self.shared.links).insert((from, to), link);
    }

    /// Returns the machine that the virtual address is routed to, and since when.
    pub fn route(&self) -> Option<(usize, Instant)> {
        *lock(&self.shared.route)
    }

    /// Returns when a machine announced last.
    pub fn announced(&self, machine: usize) -> Option<Instant> {
        lock(&self.shared.announced).get(&machine).copied()
    }

    /// Returns the machine that accepted a client's connection, by the client's address, if one did.
    pub fn accepted(&self, client: SocketAddr) -> Option<usize> {
        lock(&self.shared.accepted).get(&client).copied()
    }

    /// Removes a client's connection from the record.
    pub fn forget(&self, client: SocketAddr) {
        lock(&self.shared.accepted).remove(&client);
    }
}

/// A packet in transit: arrival time, sequence number for a stable order, sender, receiver, bytes.
type Delayed = (Instant, u64, usize, usize, Vec<u8>);

fn relay(
    relays: &[Arc<UdpSocket>],
    to: usize,
    shared: &Shared,
    delay_queue: &Sender<Delayed>,
    mut random: ChaCha8Rng,
) {
    let (mut packet, mut number) = ([0; 8192], 0);
    while !shared.ended.load(Ordering::Relaxed) {
        let Ok((length, source)) = relays[to].recv_from(&mut packet) else { continue };
        let Some(from) = shared.ports.iter().position(|port| port.own == source) else { continue };
        let packet = &packet[..length];
        // The switch learns from packets that are lost afterwards too. Priority 0 gives up the address.
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
            let delay = link.delay + link.jitter.mul_f64(random.random());
            if delay.is_zero() {
                // Packets for a machine that does not run are lost.
                let _ = relays[from].send_to(packet, shared.ports[to].own);
            } else {
                number += 1;
                // The receiving thread ends only with the segment.
                let _ = delay_queue.send((Instant::now() + delay, number, from, to, packet.to_vec()));
            }
        }
    }
}

fn deliver_delayed(relays: &[Arc<UdpSocket>], shared: &Shared, delayed: &std::sync::mpsc::Receiver<Delayed>) {
    let mut waiting = BinaryHeap::new();
    while !shared.ended.load(Ordering::Relaxed) {
        let now = Instant::now();
        while waiting.peek().is_some_and(|Reverse((at, ..)): &Reverse<Delayed>| *at <= now) {
            if let Some(Reverse((_, _, from, to, packet))) = waiting.pop() {
                let _ = relays[from].send_to(&packet, shared.ports[to].own);
            }
        }
        let next =
            waiting.peek().map_or(CHECK_INTERVAL, |Reverse((at, ..))| at.saturating_duration_since(now));
        match delayed.recv_timeout(next.min(CHECK_INTERVAL)) {
            Ok(packet) => waiting.push(Reverse(packet)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Forwards each connection to the machine that announced last, and closes it if that does not accept it.
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
            let Ok(server) = TcpStream::connect_timeout(&shared.ports[machine].listen, CONNECT_TIMEOUT)
            else {
                return;
            };
            lock(&shared.accepted).insert(own, machine);
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else { return };
            thread::spawn(move || copy(from_client, to_server));
            copy(server, client);
        });
    }
}

/// Copies bytes one way until either end closes, then closes that direction at both: a peer that resets does not
/// return.
fn copy(mut from: TcpStream, mut to: TcpStream) {
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

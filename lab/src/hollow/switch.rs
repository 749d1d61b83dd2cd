//! UDP switch for the datagrams of the fleet and of the planners' elections. Each port has a relay socket to which the
//! others send, and from which they receive its datagrams. The switch counts bytes per port and drops datagrams between
//! regions that are cut off from each other.

use super::Cut;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Maximum interval between checks whether to stop.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const MAX_EVENTS: usize = 1024;
const MAX_DATAGRAM_BYTES: usize = 8192;

/// Payload bytes sent and received, of one port or one group of initiators.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Sent by it.
    pub sent: AtomicU64,
    /// Received by it.
    pub received: AtomicU64,
}

/// Addresses of a port.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    /// Address of its owner's socket.
    pub own: SocketAddr,
    /// Address to which the others send.
    pub relay: SocketAddr,
    /// Its region.
    pub region: usize,
}

/// The switch; it stops when this is dropped.
pub struct Switch {
    /// All ports, in the order of the places given to [`Switch::start`].
    pub ports: Vec<Port>,
    /// Traffic of each port.
    pub traffic: Arc<Vec<Traffic>>,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Switch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed to standard error.
            let _ = thread.join();
        }
    }
}

impl Switch {
    /// Starts the switch with a port for each IP address and region. Fails if a socket can't be opened.
    pub fn start(places: &[(Ipv4Addr, usize)], cut: Arc<Cut>) -> std::io::Result<Switch> {
        let poll = Poll::new()?;
        let (mut ports, mut sockets) = (Vec::new(), Vec::new());
        for (number, (ip, region)) in places.iter().enumerate() {
            let mut socket = UdpSocket::bind(SocketAddr::from((*ip, 0)))?;
            // Elections ignore advertisements whose TTL is not 255, as VRRP requires.
            socket2::SockRef::from(&socket).set_ttl_v4(255)?;
            poll.registry().register(&mut socket, Token(number), Interest::READABLE)?;
            let relay = socket.local_addr()?;
            // The system picks a free port; only this run uses the IP address, so it stays free.
            let own = std::net::UdpSocket::bind((*ip, 0))?.local_addr()?;
            ports.push(Port { own, relay, region: *region });
            sockets.push(socket);
        }
        let traffic = Arc::new(ports.iter().map(|_| Traffic::default()).collect::<Vec<_>>());
        let stop = Arc::new(AtomicBool::new(false));
        let (stop_requested, thread_traffic, thread_ports) = (stop.clone(), traffic.clone(), ports.clone());
        let thread = thread::spawn(move || {
            let by_source = thread_ports.iter().enumerate().map(|(at, port)| (port.own, at)).collect();
            let mut switch_loop =
                SwitchLoop { poll, sockets, ports: thread_ports, by_source, traffic: thread_traffic, cut };
            while !stop_requested.load(Ordering::Relaxed) {
                if let Err(error) = switch_loop.run_iteration() {
                    eprintln!("datagram switch: {error}");
                    return;
                }
            }
        });
        Ok(Switch { ports, traffic, stop, thread: Some(thread) })
    }
}

struct SwitchLoop {
    poll: Poll,
    sockets: Vec<UdpSocket>,
    ports: Vec<Port>,
    by_source: HashMap<SocketAddr, usize>,
    traffic: Arc<Vec<Traffic>>,
    cut: Arc<Cut>,
}

impl SwitchLoop {
    fn run_iteration(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        match self.poll.poll(&mut events, Some(CHECK_INTERVAL)) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            other => other?,
        }
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for event in &events {
            let Token(to) = event.token();
            // Errors report that a port's owner is not running.
            while let Some((length, source)) = receive(&self.sockets[to], &mut bytes) {
                self.forward(&bytes[..length], source, to);
            }
        }
        Ok(())
    }

    fn forward(&self, datagram: &[u8], source: SocketAddr, to: usize) {
        let Some(from) = self.by_source.get(&source) else { return };
        let length = datagram.len() as u64;
        self.traffic[*from].sent.fetch_add(length, Ordering::Relaxed);
        if self.cut.separates(self.ports[*from].region, self.ports[to].region) {
            return;
        }
        self.traffic[to].received.fetch_add(length, Ordering::Relaxed);
        // Fails if the owner is not running.
        let _ = self.sockets[*from].send_to(datagram, self.ports[to].own);
    }
}

/// Receives a datagram and its source; `None` if none is pending. Skips errors, which report an owner that is not
/// running.
fn receive(socket: &UdpSocket, bytes: &mut [u8]) -> Option<(usize, SocketAddr)> {
    loop {
        match socket.recv_from(bytes) {
            Ok(received) => return Some(received),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
            Err(_) => {}
        }
    }
}

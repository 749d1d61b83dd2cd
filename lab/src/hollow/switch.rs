//! The network under the fleet's and the planners' datagrams: each port has a second socket to which the others send, and
//! from which they hear it. It counts what passes, and lets nothing pass between regions that are cut off from each other.

use super::Cut;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How often the thread looks whether it is to end.
const LOOK: Duration = Duration::from_millis(50);
const MOST_EVENTS: usize = 1024;
const LONGEST: usize = 8192;

/// Bytes of payload that came from and went to a port.
#[derive(Debug, Default)]
pub struct Counted {
    /// From it.
    pub sent: AtomicU64,
    /// To it.
    pub received: AtomicU64,
}

/// Where a port is.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    /// Where its owner hears.
    pub own: SocketAddr,
    /// Where the others send.
    pub relay: SocketAddr,
    /// Its region.
    pub region: usize,
}

/// The switch; it ends when it is dropped.
pub struct Switch {
    /// All ports, in the order that they were asked for.
    pub ports: Vec<Port>,
    /// What passed at each.
    pub counted: Arc<Vec<Counted>>,
    ended: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Switch {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there has been told on standard error.
            let _ = thread.join();
        }
    }
}

impl Switch {
    /// Starts one with a port at each address.
    pub fn start(places: &[(Ipv4Addr, usize)], cut: Arc<Cut>) -> std::io::Result<Switch> {
        let poll = Poll::new()?;
        let (mut ports, mut sockets) = (Vec::new(), Vec::new());
        for (number, (ip, region)) in places.iter().enumerate() {
            let mut socket = UdpSocket::bind(SocketAddr::from((*ip, 0)))?;
            // Elections pass over what may have come from further away.
            socket2::SockRef::from(&socket).set_ttl_v4(255)?;
            poll.registry().register(&mut socket, Token(number), Interest::READABLE)?;
            let relay = socket.local_addr()?;
            // The system's choice of a port that is free on an address of this run's own.
            let own = std::net::UdpSocket::bind((*ip, 0))?.local_addr()?;
            ports.push(Port { own, relay, region: *region });
            sockets.push(socket);
        }
        let counted = Arc::new(ports.iter().map(|_| Counted::default()).collect::<Vec<_>>());
        let ended = Arc::new(AtomicBool::new(false));
        let (at_work, counts, known) = (ended.clone(), counted.clone(), ports.clone());
        let thread = thread::spawn(move || {
            let by_source = known.iter().enumerate().map(|(at, port)| (port.own, at)).collect();
            let mut work = Work { poll, sockets, ports: known, by_source, counted: counts, cut };
            while !at_work.load(Ordering::Relaxed) {
                if let Err(error) = work.turn() {
                    eprintln!("the datagrams' switch: {error}");
                    return;
                }
            }
        });
        Ok(Switch { ports, counted, ended, thread: Some(thread) })
    }
}

struct Work {
    poll: Poll,
    sockets: Vec<UdpSocket>,
    ports: Vec<Port>,
    by_source: HashMap<SocketAddr, usize>,
    counted: Arc<Vec<Counted>>,
    cut: Arc<Cut>,
}

impl Work {
    fn turn(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(MOST_EVENTS);
        match self.poll.poll(&mut events, Some(LOOK)) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            other => other?,
        }
        let mut bytes = [0; LONGEST];
        for event in &events {
            let Token(to) = event.token();
            // An error is that a port's owner is not there.
            while let Some((length, source)) = receive(&self.sockets[to], &mut bytes) {
                self.pass(&bytes[..length], source, to);
            }
        }
        Ok(())
    }

    fn pass(&self, datagram: &[u8], source: SocketAddr, to: usize) {
        let Some(from) = self.by_source.get(&source) else { return };
        let length = datagram.len() as u64;
        self.counted[*from].sent.fetch_add(length, Ordering::Relaxed);
        if self.cut.is_between(self.ports[*from].region, self.ports[to].region) {
            return;
        }
        self.counted[to].received.fetch_add(length, Ordering::Relaxed);
        // An owner that is not there hears nothing.
        let _ = self.sockets[*from].send_to(datagram, self.ports[to].own);
    }
}

/// A datagram, unless none waits; what the system tells of an owner that is not there is passed over.
fn receive(socket: &UdpSocket, bytes: &mut [u8]) -> Option<(usize, SocketAddr)> {
    loop {
        match socket.recv_from(bytes) {
            Ok(came) => return Some(came),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
            Err(_) => {}
        }
    }
}

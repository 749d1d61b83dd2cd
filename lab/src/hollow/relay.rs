//! TCP relays between initiators and planners, one listener for each pair of a group of initiators and a planner. They
//! count traffic, delay everything between regions that are cut off from each other, and close connections on demand.

use super::switch::Traffic;
use super::Cut;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Maximum interval between checks whether to stop, to close connections or to resume after a cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_EVENTS: usize = 4096;
/// Maximum bytes queued for an end that does not read; beyond that nothing is read from the other end.
const MAX_QUEUED_BYTES: usize = 1 << 20;
const READ_BYTES: usize = 64 * 1024;

/// Which initiators a listener serves, and the planner it connects them to.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The group of initiators that use it.
    pub group: usize,
    /// Their region.
    pub region: usize,
    /// The planner's region.
    pub planner_region: usize,
    /// The planner.
    pub planner: SocketAddr,
}

/// The relays; they stop when this is dropped.
pub struct Relay {
    /// Listening addresses for initiators, one per route.
    pub addresses: Vec<SocketAddr>,
    /// Bytes sent and received by the initiators of each group.
    pub traffic: Arc<Vec<Traffic>>,
    /// Connections to close in the next iteration, in thousandths of those that are open.
    pending_closes: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed to standard error.
            let _ = thread.join();
        }
    }
}

impl Relay {
    /// Starts a listener for each route. Fails if a socket can't be opened.
    pub fn start(ip: Ipv4Addr, routes: Vec<Route>, cut: Arc<Cut>) -> std::io::Result<Relay> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        for number in 0..routes.len() {
            let mut listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
            poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let groups = routes.iter().map(|route| route.group + 1).max().unwrap_or(0);
        let traffic = Arc::new((0..groups).map(|_| Traffic::default()).collect::<Vec<_>>());
        let (stop, pending_closes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let mut relay_loop = RelayLoop {
            poll,
            listeners,
            next: routes.len(),
            routes,
            pairs: BTreeMap::new(),
            traffic: traffic.clone(),
            cut,
            pending_closes: pending_closes.clone(),
            was_cut: false,
            close_from: 0,
        };
        let stop_requested = stop.clone();
        let thread = thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                if let Err(error) = relay_loop.run_iteration() {
                    eprintln!("planner relay: {error}");
                    return;
                }
            }
        });
        Ok(Relay { addresses, traffic, pending_closes, stop, thread: Some(thread) })
    }

    /// Closes this many thousandths of the open connections; successive calls close different ones.
    pub fn close_connections(&self, thousandths: u64) {
        self.pending_closes.store(thousandths, Ordering::Relaxed);
    }
}

/// An initiator's connection and the relay's connection to the planner.
struct Pair {
    route: usize,
    /// The initiator's and the planner's end, each with the bytes queued for it.
    ends: [(TcpStream, Vec<u8>); 2],
}

struct RelayLoop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    routes: Vec<Route>,
    /// By the initiator's token, an even offset past the listeners' tokens; the planner's token is the next one.
    pairs: BTreeMap<usize, Pair>,
    next: usize,
    traffic: Arc<Vec<Traffic>>,
    cut: Arc<Cut>,
    pending_closes: Arc<AtomicU64>,
    /// Whether a region was cut off in the last iteration.
    was_cut: bool,
    /// Token at which the choice of connections to close continues.
    close_from: usize,
}

impl RelayLoop {
    fn run_iteration(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        match self.poll.poll(&mut events, Some(CHECK_INTERVAL)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => other?,
        }
        for event in &events {
            let Token(id) = event.token();
            if id < self.listeners.len() {
                self.accept(id)?;
            } else {
                self.forward(self.pair_token(id));
            }
        }
        let is_cut = self.cut.is_active();
        if self.was_cut && !is_cut {
            // Readiness is edge-triggered: what arrived during the cut is not reported again.
            let all: Vec<usize> = self.pairs.keys().copied().collect();
            all.into_iter().for_each(|first| self.forward(first));
        }
        self.was_cut = is_cut;
        self.close_some();
        Ok(())
    }

    fn pair_token(&self, id: usize) -> usize {
        let offset = id - self.listeners.len();
        id - offset % 2
    }

    fn accept(&mut self, listener: usize) -> std::io::Result<()> {
        while let Ok((mut initiator, _)) = self.listeners[listener].accept() {
            // A planner that is not running resets the connection, which closes the pair.
            let Ok(mut planner) = TcpStream::connect(self.routes[listener].planner) else { continue };
            // Nagle's algorithm would delay the forwarded bytes and distort the measurements.
            let _ = initiator.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut initiator, Token(self.next), interest)?;
            self.poll.registry().register(&mut planner, Token(self.next + 1), interest)?;
            let ends = [(initiator, Vec::new()), (planner, Vec::new())];
            self.pairs.insert(self.next, Pair { route: listener, ends });
            self.next += 2;
        }
        Ok(())
    }

    /// Forwards available bytes in both directions; closes the pair if either end has closed.
    fn forward(&mut self, first: usize) {
        let Some(pair) = self.pairs.get_mut(&first) else { return };
        let route = self.routes[pair.route];
        let is_blocked = self.cut.separates(route.region, route.planner_region);
        let traffic = &self.traffic[route.group];
        let mut open = true;
        for (from, forwarded) in [(0, &traffic.sent), (1, &traffic.received)] {
            let [initiator, planner] = &mut pair.ends;
            let (source, target) = if from == 0 { (initiator, planner) } else { (planner, initiator) };
            open &= forward_one_way(&mut source.0, target, forwarded, is_blocked);
        }
        if !open {
            self.pairs.remove(&first);
        }
    }

    fn close_some(&mut self) {
        let thousandths = self.pending_closes.swap(0, Ordering::Relaxed) as usize;
        let count = (self.pairs.len() * thousandths).div_ceil(1000);
        let after = self.pairs.range(self.close_from..).map(|(first, _)| *first);
        let victims: Vec<usize> = after.chain(self.pairs.keys().copied()).step_by(7).take(count).collect();
        for first in victims {
            self.pairs.remove(&first);
            self.close_from = first + 1;
        }
    }
}

/// Forwards one direction; false once an end has closed. While blocked it still reads, queues the bytes and notices a
/// close: initiators that are cut off give up and reconnect all the time, and unnoticed closes would use up the
/// descriptors.
fn forward_one_way(
    source: &mut TcpStream,
    target: &mut (TcpStream, Vec<u8>),
    forwarded: &AtomicU64,
    is_blocked: bool,
) -> bool {
    let mut bytes = [0; READ_BYTES];
    loop {
        if !is_blocked && !write(target) {
            return false;
        }
        if target.1.len() >= MAX_QUEUED_BYTES {
            return true;
        }
        match source.read(&mut bytes) {
            Ok(0) => return false,
            Ok(count) => {
                forwarded.fetch_add(count as u64, Ordering::Relaxed);
                target.1.extend_from_slice(&bytes[..count]);
            }
            Err(error) => return is_pending(&error),
        }
    }
}

fn write((stream, queued): &mut (TcpStream, Vec<u8>)) -> bool {
    while !queued.is_empty() {
        match stream.write(queued) {
            Ok(count) => drop(queued.drain(..count)),
            Err(error) => return is_pending(&error),
        }
    }
    true
}

/// Whether the operation is to be tried again later. `NotConnected` means that the connection is still being
/// established.
fn is_pending(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected)
}

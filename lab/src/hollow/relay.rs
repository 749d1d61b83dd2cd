//! TCP relays between initiators and planners, one listener for each group of initiators and planner. They count what
//! passes, hold everything up between regions that are cut off from each other, and cut connections as told.

use super::switch::Counted;
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

/// How often the thread looks whether it is to end, to cut, or to go on with what was held up.
const LOOK: Duration = Duration::from_millis(20);
const MOST_EVENTS: usize = 4096;
/// Bytes that wait for an end that does not read: no more is read from the other.
const MOST_WAITING: usize = 1 << 20;
const READ: usize = 64 * 1024;

/// Whom a listener leads to, and for whom.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    /// The group of initiators that use it.
    pub group: usize,
    /// Their region.
    pub region: usize,
    /// The planner's region.
    pub planner_region: usize,
    /// The planner.
    pub planner: SocketAddr,
}

/// The relays; they end when this is dropped.
pub struct Relay {
    /// Where the initiators connect, by way.
    pub addresses: Vec<SocketAddr>,
    /// What passed for each group, as its initiators see it.
    pub counted: Arc<Vec<Counted>>,
    /// Connections that are still to be cut, in thousandths of all that are open.
    cuts: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there has been told on standard error.
            let _ = thread.join();
        }
    }
}

impl Relay {
    /// Starts listeners for these ways.
    pub fn start(ip: Ipv4Addr, ways: Vec<Way>, cut: Arc<Cut>) -> std::io::Result<Relay> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        for number in 0..ways.len() {
            let mut listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
            poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let groups = ways.iter().map(|way| way.group + 1).max().unwrap_or(0);
        let counted = Arc::new((0..groups).map(|_| Counted::default()).collect::<Vec<_>>());
        let (ended, cuts) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let mut work = Work {
            poll,
            listeners,
            next: ways.len(),
            ways,
            pairs: BTreeMap::new(),
            counted: counted.clone(),
            cut,
            cuts: cuts.clone(),
            held: false,
            cut_from: 0,
        };
        let at_work = ended.clone();
        let thread = thread::spawn(move || {
            while !at_work.load(Ordering::Relaxed) {
                if let Err(error) = work.turn() {
                    eprintln!("the planners' relay: {error}");
                    return;
                }
            }
        });
        Ok(Relay { addresses, counted, cuts, ended, thread: Some(thread) })
    }

    /// Cuts so many thousandths of the connections that are open, in turn.
    pub fn cut_connections(&self, thousandths: u64) {
        self.cuts.store(thousandths, Ordering::Relaxed);
    }
}

/// Two connections that are carried to each other.
struct Pair {
    way: usize,
    /// Of the initiator, and to the planner, with what waits to be written to each.
    ends: [(TcpStream, Vec<u8>); 2],
}

struct Work {
    poll: Poll,
    listeners: Vec<TcpListener>,
    ways: Vec<Way>,
    /// By the lower of two tokens: an even number beyond the listeners for the initiator, and the next for the planner.
    pairs: BTreeMap<usize, Pair>,
    next: usize,
    counted: Arc<Vec<Counted>>,
    cut: Arc<Cut>,
    cuts: Arc<AtomicU64>,
    /// A cut was in force in the last turn.
    held: bool,
    /// Where the next connections to cut are looked for.
    cut_from: usize,
}

impl Work {
    fn turn(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(MOST_EVENTS);
        match self.poll.poll(&mut events, Some(LOOK)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            other => other?,
        }
        for event in &events {
            let Token(id) = event.token();
            if id < self.listeners.len() {
                self.accept(id)?;
            } else {
                self.carry(self.first_of(id));
            }
        }
        let held = self.cut.is_on();
        if self.held && !held {
            // What came while it was held up is not told again.
            let all: Vec<usize> = self.pairs.keys().copied().collect();
            all.into_iter().for_each(|first| self.carry(first));
        }
        self.held = held;
        self.cut_some();
        Ok(())
    }

    fn first_of(&self, id: usize) -> usize {
        let beyond = id - self.listeners.len();
        id - beyond % 2
    }

    fn accept(&mut self, listener: usize) -> std::io::Result<()> {
        while let Ok((mut initiator, _)) = self.listeners[listener].accept() {
            // One that is not there resets, which closes the pair.
            let Ok(mut planner) = TcpStream::connect(self.ways[listener].planner) else { continue };
            // Without it what is carried comes later, and that shows in the figures.
            let _ = initiator.set_nodelay(true);
            let both = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut initiator, Token(self.next), both)?;
            self.poll.registry().register(&mut planner, Token(self.next + 1), both)?;
            let ends = [(initiator, Vec::new()), (planner, Vec::new())];
            self.pairs.insert(self.next, Pair { way: listener, ends });
            self.next += 2;
        }
        Ok(())
    }

    /// Carries what is there both ways; a pair with an end that is over is closed.
    fn carry(&mut self, first: usize) {
        let Some(pair) = self.pairs.get_mut(&first) else { return };
        let way = self.ways[pair.way];
        let is_held = self.cut.is_between(way.region, way.planner_region);
        let counted = &self.counted[way.group];
        let mut open = true;
        for (from, passed) in [(0, &counted.sent), (1, &counted.received)] {
            let [initiator, planner] = &mut pair.ends;
            let (source, target) = if from == 0 { (initiator, planner) } else { (planner, initiator) };
            open &= pass(&mut source.0, target, passed, is_held);
        }
        if !open {
            self.pairs.remove(&first);
        }
    }

    fn cut_some(&mut self) {
        let thousandths = self.cuts.swap(0, Ordering::Relaxed) as usize;
        let count = (self.pairs.len() * thousandths).div_ceil(1000);
        let after = self.pairs.range(self.cut_from..).map(|(first, _)| *first);
        let victims: Vec<usize> = after.chain(self.pairs.keys().copied()).step_by(7).take(count).collect();
        for first in victims {
            self.pairs.remove(&first);
            self.cut_from = first + 1;
        }
    }
}

/// Carries one way; false once it is over. While it is held up what comes is taken and kept for later, and an end is seen
/// all the same. Guards the descriptors: who is cut off gives up and comes again for as long as that lasts.
fn pass(
    source: &mut TcpStream,
    target: &mut (TcpStream, Vec<u8>),
    passed: &AtomicU64,
    is_held: bool,
) -> bool {
    let mut bytes = [0; READ];
    loop {
        if !is_held && !write(target) {
            return false;
        }
        if target.1.len() >= MOST_WAITING {
            return true;
        }
        match source.read(&mut bytes) {
            Ok(0) => return false,
            Ok(count) => {
                passed.fetch_add(count as u64, Ordering::Relaxed);
                target.1.extend_from_slice(&bytes[..count]);
            }
            Err(error) => return is_pending(&error),
        }
    }
}

fn write((stream, waiting): &mut (TcpStream, Vec<u8>)) -> bool {
    while !waiting.is_empty() {
        match stream.write(waiting) {
            Ok(count) => drop(waiting.drain(..count)),
            Err(error) => return is_pending(&error),
        }
    }
    true
}

/// It is neither over nor broken; a connection that is being made is told as not connected.
fn is_pending(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted | ErrorKind::NotConnected)
}

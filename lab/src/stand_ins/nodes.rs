//! Many stand-in storage nodes on one thread, for measurements where nodes must use little processor time. Every
//! request takes the same time, regardless of load.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The value of every answer.
pub const VALUE: &[u8] = b"hello";
const ANSWER: &[u8] = b"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n";

/// Running nodes. Dropping it stops them.
pub struct Nodes {
    /// Address of each node.
    pub addresses: Vec<SocketAddr>,
    ended: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there has been printed to standard error.
            let _ = thread.join();
        }
    }
}

impl Nodes {
    /// Starts `count` nodes that answer each request after `service_time`.
    pub fn start(ip: Ipv4Addr, count: usize, service_time: Duration) -> std::io::Result<Nodes> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        for number in 0..count {
            let mut listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
            poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let ended = Arc::new(AtomicBool::new(false));
        let should_stop = ended.clone();
        let thread = thread::spawn(move || {
            let mut event_loop = EventLoop {
                poll,
                listeners,
                conns: HashMap::new(),
                next: count,
                service_time,
                pending: VecDeque::new(),
            };
            while !should_stop.load(Ordering::Relaxed) {
                if let Err(error) = event_loop.run_once() {
                    eprintln!("stand-in nodes: {error}");
                    return;
                }
            }
        });
        Ok(Nodes { addresses, ended, thread: Some(thread) })
    }
}

struct EventLoop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    conns: HashMap<usize, (TcpStream, Vec<u8>)>,
    next: usize,
    service_time: Duration,
    /// Pending answers in the order they are due.
    pending: VecDeque<(Instant, usize)>,
}

impl EventLoop {
    fn run_once(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(1024);
        let wait = Duration::from_millis(20);
        let first = self.pending.front().map(|(at, _)| at.saturating_duration_since(Instant::now()));
        self.poll.poll(&mut events, Some(first.unwrap_or(wait).min(wait)))?;
        for event in &events {
            let Token(id) = event.token();
            match self.listeners.get(id) {
                Some(listener) => {
                    while let Ok((mut stream, _)) = listener.accept() {
                        stream.set_nodelay(true)?;
                        self.poll.registry().register(&mut stream, Token(self.next), Interest::READABLE)?;
                        self.conns.insert(self.next, (stream, Vec::new()));
                        self.next += 1;
                    }
                }
                None => self.ready(id),
            }
        }
        let now = Instant::now();
        while let Some((_, id)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            if let Some((stream, _)) = self.conns.get_mut(&id) {
                // A peer that does not accept this little data has gone, which a read reports.
                let _ = stream.write(ANSWER);
            }
        }
        Ok(())
    }

    fn ready(&mut self, id: usize) {
        let Some((stream, input)) = self.conns.get_mut(&id) else { return };
        let mut bytes = [0; 16 * 1024];
        loop {
            match stream.read(&mut bytes) {
                Ok(0) => return drop(self.conns.remove(&id)),
                Ok(count) => input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return drop(self.conns.remove(&id)),
            }
        }
        let mut commands = 0;
        while let Ok(Some((_, length))) = topazpath::resp::parse(input) {
            input.drain(..length);
            commands += 1;
        }
        for _ in 0..commands {
            self.pending.push_back((Instant::now() + self.service_time, id));
        }
    }
}

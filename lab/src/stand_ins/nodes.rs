//! Many storage nodes in one thread, for plays where nodes must cost next to nothing: each takes the same time for
//! every request, whatever comes together.

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

/// Nodes at work; they end with this.
pub struct Nodes {
    /// Where each is.
    pub addresses: Vec<SocketAddr>,
    ended: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic there has been told on standard error.
            let _ = thread.join();
        }
    }
}

impl Nodes {
    /// Starts so many.
    pub fn start(ip: Ipv4Addr, count: usize, takes: Duration) -> std::io::Result<Nodes> {
        let poll = Poll::new()?;
        let mut listeners = Vec::new();
        for number in 0..count {
            let mut listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
            poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let ended = Arc::new(AtomicBool::new(false));
        let at_work = ended.clone();
        let thread = thread::spawn(move || {
            let mut work =
                Work { poll, listeners, conns: HashMap::new(), next: count, takes, due: VecDeque::new() };
            while !at_work.load(Ordering::Relaxed) {
                if let Err(error) = work.turn() {
                    eprintln!("stand-in nodes: {error}");
                    return;
                }
            }
        });
        Ok(Nodes { addresses, ended, thread: Some(thread) })
    }
}

struct Work {
    poll: Poll,
    listeners: Vec<TcpListener>,
    conns: HashMap<usize, (TcpStream, Vec<u8>)>,
    next: usize,
    takes: Duration,
    /// Answers to come, in order.
    due: VecDeque<(Instant, usize)>,
}

impl Work {
    fn turn(&mut self) -> std::io::Result<()> {
        let mut events = Events::with_capacity(1024);
        let wait = Duration::from_millis(20);
        let first = self.due.front().map(|(at, _)| at.saturating_duration_since(Instant::now()));
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
        while let Some((_, id)) = self.due.pop_front_if(|(at, _)| *at <= now) {
            if let Some((stream, _)) = self.conns.get_mut(&id) {
                // Who does not take so little has gone; that shows when it is read.
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
            self.due.push_back((Instant::now() + self.takes, id));
        }
    }
}

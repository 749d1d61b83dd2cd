//! Hot upgrade: a second process of the same initiator connects to the running one, takes over its listening sockets
//! and its state, and then its clients as they become idle. docs/design.md gives the reasons.
//!
//! The processes meet at a Unix socket in `$TMPDIR`, named after the clients' address. Without that directory,
//! without Unix sockets, or with a peer that is silent, dead or of another schema, the new process starts normally.

pub mod frame;
pub mod link;

use crate::front::BufferedInput;
use crate::tokens::{Kind, Tokens};
use frame::{Frame, HandoverState, ListenerAddress};
use link::{Link, LinkRead};
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long the successor waits for each answer of the predecessor at its start.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the predecessor reports its resource usage and silent peers are dropped.
const USAGE_INTERVAL: Duration = Duration::from_millis(20);
/// Limit of connected processes that have not taken over.
const MAX_CANDIDATES: usize = 4;

/// Path of the socket for the initiator with this client address.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    Some(
        Path::new(&directory)
            .join(format!("topazpath-{}-{}.sock", listen.ip(), listen.port()).replace(':', "_")),
    )
}

/// The predecessor, as seen by the starting process until it is ready to take over.
pub struct Predecessor {
    link: Link,
    /// The same connection, to change the timeouts of the stream.
    stream: std::os::unix::net::UnixStream,
    listeners: Vec<(ListenerAddress, OwnedFd)>,
    /// The admin listener was taken.
    admin: bool,
}

impl Predecessor {
    /// Connects and asks for the listeners; `None` if no process is running.
    pub fn connect(path: &Path) -> Result<Option<Predecessor>, String> {
        let stream = match std::os::unix::net::UnixStream::connect(path) {
            Ok(stream) => stream,
            // No process listens there: the file does not exist, or is left over from a process that has ended.
            Err(error) => {
                use std::io::ErrorKind::{ConnectionRefused, NotFound};
                let not_running = [NotFound, ConnectionRefused].contains(&error.kind());
                return if not_running { Ok(None) } else { Err(error.to_string()) };
            }
        };
        // Guards the start against a process that does not answer.
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(|error| error.to_string())?;
        stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).map_err(|error| error.to_string())?;
        let copy = stream.try_clone().map_err(|error| error.to_string())?;
        let mut link = Link::new(UnixStream::from_std(copy))?;
        link.send(&Frame::RequestListeners, Vec::new())?;
        let mut predecessor = Predecessor { link, stream, listeners: Vec::new(), admin: false };
        match predecessor.receive()? {
            (Frame::Listeners(addresses), descriptors) => {
                predecessor.listeners = addresses.into_iter().zip(descriptors).collect();
                Ok(Some(predecessor))
            }
            _ => Err("the other process did not send its listeners".into()),
        }
    }

    fn receive(&mut self) -> Result<(Frame, Vec<OwnedFd>), String> {
        let start = Instant::now();
        self.link.flush()?;
        loop {
            if let Some(frame) = self.link.next()? {
                return Ok(frame);
            }
            // A frame that arrives in many small pieces must not take longer than a silent peer.
            if start.elapsed() >= RESPONSE_TIMEOUT {
                return Err("timed out waiting for the other process".into());
            }
            if self.link.read()? == LinkRead::Ended {
                return Err("the other process has ended".into());
            }
        }
    }

    /// Returns the listener for an address, if the predecessor has sent one.
    pub fn listener(&mut self, address: ListenerAddress) -> Option<TcpListener> {
        let at = self.listeners.iter().position(|(offered, _)| *offered == address)?;
        self.admin |= matches!(address, ListenerAddress::Control(_));
        let listener = std::net::TcpListener::from(self.listeners.remove(at).1);
        listener.set_nonblocking(true).ok()?;
        Some(TcpListener::from_std(listener))
    }

    /// Takes over: from here on the predecessor accepts no clients. Returns its state, or `None` if it does not
    /// answer.
    fn take_over(&mut self) -> Result<Option<Box<HandoverState>>, String> {
        let answer =
            self.link.send(&Frame::TakeOver { admin: self.admin }, Vec::new()).and_then(|()| self.receive());
        match answer {
            Ok((Frame::State(state), _)) => Ok(Some(state)),
            Ok((Frame::Refused, _)) => Err("another process is taking over already".into()),
            Ok(_) => Err("unexpected frame from the other process".into()),
            Err(why) => {
                tracing::warn!("only the listeners were taken over: {why}");
                Ok(None)
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It has connected or has the listeners, but has not taken over.
    Candidate,
    /// It has taken over from this process.
    Successor,
    /// This process has taken over from it.
    Predecessor,
}

struct Peer {
    link: Link,
    role: Role,
    since: Instant,
    /// It has announced its shutdown.
    closing: bool,
}

/// Events of the upgrade protocol for the loop.
pub enum UpgradeEvent {
    /// A process asks for the listeners.
    ListenersRequested(usize),
    /// A process takes over, with or without the admin listener.
    TakeOver { peer: usize, admin_listener: bool },
    /// The predecessor has handed over a client and its unprocessed input.
    Client(TcpStream, BufferedInput),
    /// An operator has taken a target out of service at the other process, or returned it to service.
    Ban { name: String, unix: Duration, out: bool },
    /// Descriptors and bytes of memory that the predecessor uses.
    Usage(usize, usize),
    /// The predecessor has ended.
    PredecessorGone,
    /// The successor died: this process has to serve clients again.
    SuccessorGone,
}

/// Connections to other processes of this initiator.
pub struct Upgrade {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    token: Token,
    peers: BTreeMap<usize, Peer>,
    accept_pending: bool,
    next_check: Instant,
}

impl Upgrade {
    /// Starts without a connection to another process.
    pub fn new(path: Option<PathBuf>, token: Token, now: Instant) -> Self {
        Upgrade {
            path,
            listener: None,
            token,
            peers: BTreeMap::new(),
            accept_pending: false,
            next_check: now,
        }
    }

    /// Takes over from the predecessor. Returns its state, or `None` if it does not answer.
    pub fn take_over(
        &mut self,
        mut predecessor: Predecessor,
        registry: &Registry,
        tokens: &mut Tokens,
        now: Instant,
    ) -> Result<Option<Box<HandoverState>>, String> {
        let state = predecessor.take_over()?;
        let token = tokens.next(Kind::Upgrade);
        let registered = predecessor.stream.set_nonblocking(true).and_then(|()| {
            registry.register(predecessor.link.source(), token, Interest::READABLE | Interest::WRITABLE)
        });
        match registered {
            Ok(()) => {
                let peer =
                    Peer { link: predecessor.link, role: Role::Predecessor, since: now, closing: false };
                self.peers.insert(token.0, peer);
            }
            Err(error) => tracing::warn!("the connection to the predecessor cannot be watched: {error}"),
        }
        Ok(state)
    }

    /// Listens for the next process. If that fails, only hot upgrades are unavailable.
    pub fn listen(&mut self, registry: &Registry) {
        let Some(path) = &self.path else { return };
        // The file is left over, or belongs to the predecessor.
        let _ = std::fs::remove_file(path);
        let opened = UnixListener::bind(path).and_then(|mut listener| {
            registry.register(&mut listener, self.token, Interest::READABLE)?;
            Ok(listener)
        });
        match opened {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => tracing::warn!("{}: hot upgrade is not available: {error}", path.display()),
        }
    }

    /// A process waits to be accepted.
    pub fn connections_pending(&mut self) {
        self.accept_pending = true;
    }

    /// When [`Upgrade::run`] is due next.
    pub fn next_timer(&self) -> Option<Instant> {
        (!self.peers.is_empty()).then_some(self.next_check)
    }

    /// Accepts other processes, drops silent ones, and reports this process's resource usage to the successor.
    pub fn run(
        &mut self,
        now: Instant,
        registry: &Registry,
        tokens: &mut Tokens,
        usage: impl FnOnce() -> (usize, usize),
    ) -> Vec<UpgradeEvent> {
        let mut events = Vec::new();
        if std::mem::take(&mut self.accept_pending) {
            while let Some(Ok((mut stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
                let candidates = self.peers.values().filter(|peer| peer.role == Role::Candidate).count();
                let token = tokens.next(Kind::Upgrade);
                let interest = Interest::READABLE | Interest::WRITABLE;
                if candidates >= MAX_CANDIDATES || registry.register(&mut stream, token, interest).is_err() {
                    continue;
                }
                match Link::new(stream) {
                    Ok(link) => {
                        let peer = Peer { link, role: Role::Candidate, since: now, closing: false };
                        self.peers.insert(token.0, peer);
                        events.extend(self.ready(token.0));
                    }
                    Err(why) => tracing::warn!("rejected a connection from another process: {why}"),
                }
            }
        }
        if self.next_check <= now {
            self.next_check = now + USAGE_INTERVAL;
            // Guards against processes that connect and then stay silent; a starting process takes over within this
            // time.
            self.peers
                .retain(|_, peer| peer.role != Role::Candidate || now - peer.since < 10 * RESPONSE_TIMEOUT);
            if self.successor().is_some() {
                let (descriptors, bytes) = usage();
                self.send_to_successor(&Frame::Usage(descriptors, bytes), Vec::new());
            }
        }
        events
    }

    /// Handles readiness of a peer's connection.
    pub fn ready(&mut self, id: usize) -> Vec<UpgradeEvent> {
        let mut events = Vec::new();
        let Some(peer) = self.peers.get_mut(&id) else { return events };
        // Readiness is notified only once: reads until nothing is left.
        let open = loop {
            // A peer that has closed takes nothing more, but what it sent before is still there.
            let _ = peer.link.flush();
            let end = peer.link.read().unwrap_or_else(|why| {
                tracing::debug!("another process: {why}");
                LinkRead::Ended
            });
            if !peer.handle_frames(id, &mut events) || end == LinkRead::Ended {
                break false;
            }
            if end == LinkRead::Blocked {
                break true;
            }
        };
        if !open {
            if let Some(peer) = self.peers.remove(&id) {
                match peer.role {
                    Role::Predecessor => events.push(UpgradeEvent::PredecessorGone),
                    Role::Successor if !peer.closing => events.push(UpgradeEvent::SuccessorGone),
                    _ => {}
                }
            }
        }
        events
    }

    /// Sends the listeners to the process that asked for them.
    pub fn send_listeners(&mut self, id: usize, listeners: Vec<(ListenerAddress, &TcpListener)>) {
        let copies = listeners.into_iter().map(|(address, listener)| {
            listener.as_fd().try_clone_to_owned().map(|descriptor| (address, descriptor))
        });
        let Ok(copies) = copies.collect::<std::io::Result<Vec<_>>>() else { return self.refuse(id) };
        let (addresses, descriptors) = copies.into_iter().unzip();
        self.send_to(id, &Frame::Listeners(addresses), descriptors);
    }

    /// Sends the state to the process that takes over; false if another one has taken over already.
    pub fn send_state(&mut self, id: usize, state: impl FnOnce() -> HandoverState) -> bool {
        if self.successor().is_some() {
            self.refuse(id);
            return false;
        }
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        peer.role = Role::Successor;
        // The next process has to find the successor.
        self.listener = None;
        let mut state = state();
        if postcard::to_stdvec(&state.scheduler).is_ok_and(|bytes| bytes.len() > frame::MAX_FRAME_BYTES / 2) {
            tracing::warn!("the state of the scheduler is too large to be handed over");
            state.scheduler = None;
        }
        self.send_to(id, &Frame::State(Box::new(state)), Vec::new());
        true
    }

    fn refuse(&mut self, id: usize) {
        self.send_to(id, &Frame::Refused, Vec::new());
    }

    /// Whether the successor can be sent another client now.
    pub fn can_send_client(&self) -> bool {
        self.successor().is_some_and(|id| self.peers[&id].link.can_queue())
    }

    /// Whether everything that was sent to the successor is with the kernel, which keeps it if this process ends.
    pub fn is_flushed(&self) -> bool {
        self.successor().is_none_or(|id| self.peers[&id].link.is_flushed())
    }

    /// Hands a client over to the successor.
    pub fn send_client(&mut self, stream: TcpStream, input: BufferedInput) {
        self.send_to_successor(&Frame::Client(input), vec![std::net::TcpStream::from(stream).into()]);
    }

    /// Tells the other process that an operator has taken a target out of service, or returned it to service.
    pub fn send_ban(&mut self, name: &str, unix: Duration, out: bool) {
        let peers = self.peers.iter().filter(|(_, peer)| peer.role != Role::Candidate);
        for id in peers.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_to(id, &Frame::Ban { name: name.to_string(), unix, out }, Vec::new());
        }
    }

    /// Announces an orderly shutdown: the predecessor does not have to take clients back.
    pub fn end(&mut self) {
        for id in self.peers.keys().copied().collect::<Vec<_>>() {
            self.send_to(id, &Frame::Closing, Vec::new());
        }
    }

    fn successor(&self) -> Option<usize> {
        self.peers.iter().find(|(_, peer)| peer.role == Role::Successor).map(|(id, _)| *id)
    }

    fn send_to_successor(&mut self, frame: &Frame, descriptors: Vec<OwnedFd>) {
        if let Some(id) = self.successor() {
            self.send_to(id, frame, descriptors);
        }
    }

    fn send_to(&mut self, id: usize, frame: &Frame, descriptors: Vec<OwnedFd>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        // The end of the connection is detected by the next read.
        if let Err(why) = peer.link.send(frame, descriptors).and_then(|()| peer.link.flush()) {
            tracing::debug!("another process: {why}");
        }
    }
}

impl Peer {
    /// Handles all frames that were received whole; false if the connection is to be closed.
    fn handle_frames(&mut self, id: usize, events: &mut Vec<UpgradeEvent>) -> bool {
        loop {
            match self.link.next() {
                Ok(Some((frame, descriptors))) => {
                    if !self.handle(id, frame, descriptors, events) {
                        return false;
                    }
                }
                Ok(None) => return true,
                Err(why) => {
                    tracing::warn!("closing the connection to another process: {why}");
                    return false;
                }
            }
        }
    }

    /// Handles a frame; false if a peer in this role must not send it.
    fn handle(
        &mut self,
        id: usize,
        frame: Frame,
        descriptors: Vec<OwnedFd>,
        events: &mut Vec<UpgradeEvent>,
    ) -> bool {
        match (self.role, frame) {
            (Role::Candidate, Frame::RequestListeners) => events.push(UpgradeEvent::ListenersRequested(id)),
            (Role::Candidate, Frame::TakeOver { admin }) => {
                events.push(UpgradeEvent::TakeOver { peer: id, admin_listener: admin })
            }
            (Role::Predecessor, Frame::Client(input)) => {
                for descriptor in descriptors {
                    let stream = std::net::TcpStream::from(descriptor);
                    events.push(UpgradeEvent::Client(TcpStream::from_std(stream), input.clone()));
                }
            }
            (Role::Predecessor, Frame::Usage(descriptors, bytes)) => {
                events.push(UpgradeEvent::Usage(descriptors, bytes))
            }
            (Role::Predecessor | Role::Successor, Frame::Ban { name, unix, out }) => {
                events.push(UpgradeEvent::Ban { name, unix, out });
            }
            (_, Frame::Closing) => self.closing = true,
            // The state arrived after the timeout, and this process has started without it.
            (Role::Predecessor, Frame::State(_)) => {}
            _ => {
                tracing::warn!("unexpected frame from another process");
                return false;
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;

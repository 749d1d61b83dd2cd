//! A new version under load: a second process of the same initiator finds the one that runs, takes its listening sockets
//! and its state, and then its clients as they become idle. docs/design.md says why it is done so.
//!
//! They meet at a Unix socket in `$TMPDIR`, named after the clients' address. Without a folder, without Unix sockets and
//! with a peer that is silent, dead or of another schema, a start goes on as ever.

pub mod frame;
pub mod link;

use crate::tokens::{Kind, Tokens};
use frame::{Frame, HandoverState, ListenerAddress};
use link::Link;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The process before has so long for each answer at the start.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the older process says what it holds, and looks for clients that have become idle.
const USAGE_INTERVAL: Duration = Duration::from_millis(20);
/// Peers at a time that have not taken over.
const MAX_CANDIDATES: usize = 4;

/// Where processes of the initiator at an address meet.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(
        Path::new(&folder)
            .join(format!("topazpath-{}-{}.sock", listen.ip(), listen.port()).replace(':', "_")),
    )
}

/// The process that ran before, from the newer one's side, until that is built up.
pub struct Predecessor {
    link: Link,
    /// The same connection, for its settings.
    stream: std::os::unix::net::UnixStream,
    listeners: Vec<(ListenerAddress, OwnedFd)>,
    /// The operators' listener was taken.
    admin: bool,
}

impl Predecessor {
    /// Asks for the listeners; nothing if no process runs there.
    pub fn connect(path: &Path) -> Result<Option<Predecessor>, String> {
        let stream = match std::os::unix::net::UnixStream::connect(path) {
            Ok(stream) => stream,
            // Whatever is there is left over from a process that is gone, or nothing ever was.
            Err(error) => {
                use std::io::ErrorKind::{ConnectionRefused, NotFound};
                let none = [NotFound, ConnectionRefused].contains(&error.kind());
                return if none { Ok(None) } else { Err(error.to_string()) };
            }
        };
        // Guards the start against a process that is there and says nothing.
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(|error| error.to_string())?;
        stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).map_err(|error| error.to_string())?;
        let other = stream.try_clone().map_err(|error| error.to_string())?;
        let mut link = Link::new(UnixStream::from_std(other))?;
        link.send(&Frame::RequestListeners, Vec::new())?;
        let mut predecessor = Predecessor { link, stream, listeners: Vec::new(), admin: false };
        match predecessor.receive()? {
            (Frame::Listeners(addresses), descriptors) => {
                predecessor.listeners = addresses.into_iter().zip(descriptors).collect();
                Ok(Some(predecessor))
            }
            _ => Err("the other process does not give its listeners".into()),
        }
    }

    fn receive(&mut self) -> Result<(Frame, Vec<OwnedFd>), String> {
        let start = Instant::now();
        self.link.flush()?;
        loop {
            if let Some(frame) = self.link.next()? {
                return Ok(frame);
            }
            // A frame in many small pieces takes no longer than a silent one.
            if start.elapsed() >= RESPONSE_TIMEOUT {
                return Err("the other process is silent".into());
            }
            if !self.link.read()? {
                return Err("the other process has ended".into());
            }
        }
    }

    /// The listener at a place, if it has one.
    pub fn listener(&mut self, path: ListenerAddress) -> Option<TcpListener> {
        let at = self.listeners.iter().position(|(one, _)| *one == path)?;
        self.admin |= matches!(path, ListenerAddress::Control(_));
        let listener = std::net::TcpListener::from(self.listeners.remove(at).1);
        listener.set_nonblocking(true).ok()?;
        Some(TcpListener::from_std(listener))
    }

    /// Takes over: from here on the other process lets nobody in. Its state, unless it does not answer.
    fn take_over(&mut self) -> Result<Option<Box<HandoverState>>, String> {
        let answer =
            self.link.send(&Frame::TakeOver { admin: self.admin }, Vec::new()).and_then(|()| self.receive());
        match answer {
            Ok((Frame::State(state), _)) => Ok(Some(state)),
            Ok((Frame::Refused, _)) => Err("another process is taking over already".into()),
            Ok(_) => Err("the other process speaks out of turn".into()),
            Err(why) => {
                tracing::warn!("nothing is taken over but the listeners: {why}");
                Ok(None)
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It has said nothing yet, or has the listeners.
    Candidate,
    /// It took over.
    Successor,
    /// This process took over from it.
    Predecessor,
}

struct Peer {
    link: Link,
    role: Role,
    since: Instant,
    /// It has said that it ends.
    closing: bool,
}

/// What the loop hears of other processes.
pub enum UpgradeEvent {
    /// One wants the listeners.
    ListenersRequested(usize),
    /// One takes over, and the operators' listener too or not.
    TakeOver { peer: usize, admin: bool },
    /// A client comes over.
    Client(TcpStream, Vec<u8>),
    /// An operator has taken a target out there, or called it back.
    Ban { name: String, unix: Duration, out: bool },
    /// What the older one holds.
    Usage(usize, usize),
    /// The older one is gone.
    PredecessorGone,
    /// The newer one died: clients are this process's again.
    SuccessorGone,
}

/// The other processes of this initiator, as seen from this one.
pub struct Upgrade {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    token: Token,
    peers: BTreeMap<usize, Peer>,
    accept_pending: bool,
    next_check: Instant,
}

impl Upgrade {
    /// Knows of no other process.
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

    /// Takes over from the process before; its state, as far as it gives one.
    pub fn take_over(
        &mut self,
        mut predecessor: Predecessor,
        registry: &Registry,
        tokens: &mut Tokens,
        now: Instant,
    ) -> Result<Option<Box<HandoverState>>, String> {
        let state = predecessor.take_over()?;
        let token = tokens.next(Kind::Upgrade);
        let watched = predecessor.stream.set_nonblocking(true).and_then(|()| {
            registry.register(predecessor.link.source(), token, Interest::READABLE | Interest::WRITABLE)
        });
        match watched {
            Ok(()) => {
                let peer =
                    Peer { link: predecessor.link, role: Role::Predecessor, since: now, closing: false };
                self.peers.insert(token.0, peer);
            }
            Err(error) => tracing::warn!("the process predecessor is not events any more: {error}"),
        }
        Ok(state)
    }

    /// Listens for the next process. Where that cannot be, there is no upgrade without a gap, and all else goes on.
    pub fn listen(&mut self, registry: &Registry) {
        let Some(path) = &self.path else { return };
        // What is there is left over, or belongs to the process that this one took over from.
        let _ = std::fs::remove_file(path);
        let opened = UnixListener::bind(path).and_then(|mut listener| {
            registry.register(&mut listener, self.token, Interest::READABLE)?;
            Ok(listener)
        });
        match opened {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => tracing::warn!("{}: no upgrade without a gap: {error}", path.display()),
        }
    }

    /// The next process knocks.
    pub fn connections_pending(&mut self) {
        self.accept_pending = true;
    }

    /// When [`Upgrade::turn`] has something to do.
    pub fn next_timer(&self) -> Option<Instant> {
        (!self.peers.is_empty()).then_some(self.next_check)
    }

    /// Lets other processes in, drops those that are silent, and says to the newer one what this one holds.
    pub fn turn(
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
                    Err(why) => tracing::warn!("a process is not let in: {why}"),
                }
            }
        }
        if self.next_check <= now {
            self.next_check = now + USAGE_INTERVAL;
            // Guards against processes that connect and do not go on; one that is built up takes over within it.
            self.peers
                .retain(|_, peer| peer.role != Role::Candidate || now - peer.since < 10 * RESPONSE_TIMEOUT);
            if self.successor().is_some() {
                let (descriptors, bytes) = usage();
                self.send_to_successor(&Frame::Usage(descriptors, bytes), Vec::new());
            }
        }
        events
    }

    /// Something happened on a peer's connection.
    pub fn ready(&mut self, id: usize) -> Vec<UpgradeEvent> {
        let mut events = Vec::new();
        let Some(peer) = self.peers.get_mut(&id) else { return events };
        let open = loop {
            let open = match peer.link.flush().and_then(|()| peer.link.read()) {
                Ok(open) => open,
                Err(why) => {
                    tracing::debug!("another process: {why}");
                    false
                }
            };
            let mut any = false;
            let failed = loop {
                match peer.link.next() {
                    Ok(Some((frame, descriptors))) => {
                        any = true;
                        if !peer.handle(id, frame, descriptors, &mut events) {
                            break true;
                        }
                    }
                    Ok(None) => break false,
                    Err(why) => {
                        tracing::warn!("another process is not events any more: {why}");
                        break true;
                    }
                }
            };
            if failed || !open {
                break false;
            }
            if !any {
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

    /// Gives the listeners to the process that asked.
    pub fn send_listeners(&mut self, id: usize, listeners: Vec<(ListenerAddress, &TcpListener)>) {
        let copies = listeners.into_iter().map(|(path, listener)| {
            listener.as_fd().try_clone_to_owned().map(|descriptor| (path, descriptor))
        });
        let Ok(copies) = copies.collect::<std::io::Result<Vec<_>>>() else { return self.refuse(id) };
        let (addresses, descriptors) = copies.into_iter().unzip();
        self.send_to(id, &Frame::Listeners(addresses), descriptors);
    }

    /// Gives this process's state to the one that takes over; false if another one did before.
    pub fn send_state(&mut self, id: usize, state: impl FnOnce() -> HandoverState) -> bool {
        if self.successor().is_some() {
            self.refuse(id);
            return false;
        }
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        peer.role = Role::Successor;
        // The next process is to find the newer one.
        self.listener = None;
        let mut state = state();
        if postcard::to_stdvec(&state.scheduler).is_ok_and(|bytes| bytes.len() > frame::MAX_FRAME_BYTES / 2) {
            tracing::warn!("what the scheduler learned is too much to be handed over");
            state.scheduler = None;
        }
        self.send_to(id, &Frame::State(Box::new(state)), Vec::new());
        true
    }

    fn refuse(&mut self, id: usize) {
        self.send_to(id, &Frame::Refused, Vec::new());
    }

    /// Clients that the newer process takes now.
    pub fn can_send_client(&self) -> bool {
        self.successor().is_some_and(|id| self.peers[&id].link.can_queue())
    }

    /// Gives a client to the newer process.
    pub fn send_client(&mut self, stream: TcpStream, input: Vec<u8>) {
        self.send_to_successor(&Frame::Client(input), vec![std::net::TcpStream::from(stream).into()]);
    }

    /// Tells the other process that an operator has taken a target out, or called it back.
    pub fn send_ban(&mut self, name: &str, unix: Duration, out: bool) {
        let peers = self.peers.iter().filter(|(_, peer)| peer.role != Role::Candidate);
        for id in peers.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_to(id, &Frame::Ban { name: name.to_string(), unix, out }, Vec::new());
        }
    }

    /// This process ends in order, and the older one is not to take up anything for it.
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
        // An end of the connection shows where it is read.
        if let Err(why) = peer.link.send(frame, descriptors).and_then(|()| peer.link.flush()) {
            tracing::debug!("another process: {why}");
        }
    }
}

impl Peer {
    /// Takes one thing said, as far as it is this peer's to say; false if it is not.
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
                events.push(UpgradeEvent::TakeOver { peer: id, admin: admin })
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
            // A state that comes after its time was waited for.
            (Role::Predecessor, Frame::State(_)) => {}
            _ => {
                tracing::warn!("another process speaks out of turn");
                return false;
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;

//! A new version under load: a second process of the same initiator finds the one that runs, takes its listening sockets
//! and its state, and then its clients as they become idle. docs/design.md says why it is done so.
//!
//! They meet at a Unix socket in `$TMPDIR`, named after the clients' address. Without a folder, without Unix sockets and
//! with a peer that is silent, dead or of another schema, a start goes on as ever.

pub mod frame;
pub mod link;

use crate::tokens::{Kind, Tokens};
use frame::{Carried, Frame, Place};
use link::Link;
use mio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The process before has so long for each answer at the start.
const PATIENCE: Duration = Duration::from_secs(1);
/// How often the older process says what it holds, and looks for clients that have become idle.
const LOOKS: Duration = Duration::from_millis(20);
/// Peers at a time that have not taken over.
const MOST_PEERS: usize = 4;

/// Where processes of the initiator at an address meet.
pub fn meeting_place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(
        Path::new(&folder)
            .join(format!("topazpath-{}-{}.sock", listen.ip(), listen.port()).replace(':', "_")),
    )
}

/// The process that ran before, from the newer one's side, until that is built up.
pub struct Before {
    link: Link,
    /// The same connection, for its settings.
    stream: std::os::unix::net::UnixStream,
    listeners: Vec<(Place, OwnedFd)>,
    /// The operators' listener was taken.
    admin: bool,
}

impl Before {
    /// Asks for the listeners; nothing if no process runs there.
    pub fn find(place: &Path) -> Result<Option<Before>, String> {
        let stream = match std::os::unix::net::UnixStream::connect(place) {
            Ok(stream) => stream,
            // Whatever is there is left over from a process that is gone, or nothing ever was.
            Err(error) => {
                use std::io::ErrorKind::{ConnectionRefused, NotFound};
                let none = [NotFound, ConnectionRefused].contains(&error.kind());
                return if none { Ok(None) } else { Err(error.to_string()) };
            }
        };
        // Guards the start against a process that is there and says nothing.
        stream.set_read_timeout(Some(PATIENCE)).map_err(|error| error.to_string())?;
        stream.set_write_timeout(Some(PATIENCE)).map_err(|error| error.to_string())?;
        let other = stream.try_clone().map_err(|error| error.to_string())?;
        let mut link = Link::new(UnixStream::from_std(other))?;
        link.send(&Frame::Ask, Vec::new())?;
        let mut before = Before { link, stream, listeners: Vec::new(), admin: false };
        match before.answer()? {
            (Frame::Listeners(places), descriptors) => {
                before.listeners = places.into_iter().zip(descriptors).collect();
                Ok(Some(before))
            }
            _ => Err("the other process does not give its listeners".into()),
        }
    }

    fn answer(&mut self) -> Result<(Frame, Vec<OwnedFd>), String> {
        let start = Instant::now();
        self.link.flush()?;
        loop {
            if let Some(frame) = self.link.next()? {
                return Ok(frame);
            }
            // A frame in many small pieces takes no longer than a silent one.
            if start.elapsed() >= PATIENCE {
                return Err("the other process is silent".into());
            }
            if !self.link.read()? {
                return Err("the other process has ended".into());
            }
        }
    }

    /// The listener at a place, if it has one.
    pub fn listener(&mut self, place: Place) -> Option<TcpListener> {
        let at = self.listeners.iter().position(|(one, _)| *one == place)?;
        self.admin |= matches!(place, Place::Control(_));
        let listener = std::net::TcpListener::from(self.listeners.remove(at).1);
        listener.set_nonblocking(true).ok()?;
        Some(TcpListener::from_std(listener))
    }

    /// Takes over: from here on the other process lets nobody in. Its state, unless it does not answer.
    fn take(&mut self) -> Result<Option<Box<Carried>>, String> {
        let answer =
            self.link.send(&Frame::Take { door: self.admin }, Vec::new()).and_then(|()| self.answer());
        match answer {
            Ok((Frame::State(carried), _)) => Ok(Some(carried)),
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
    Caller,
    /// It took over.
    Newer,
    /// This process took over from it.
    Older,
}

struct Peer {
    link: Link,
    role: Role,
    since: Instant,
    /// It has said that it ends.
    ends: bool,
}

/// What the loop hears of other processes.
pub enum Heard {
    /// One wants the listeners.
    Asked(usize),
    /// One takes over, and the operators' listener too or not.
    Take { peer: usize, admin: bool },
    /// A client comes over.
    Client(TcpStream, Vec<u8>),
    /// An operator has taken a target out there, or called it back.
    Ban { name: String, unix: Duration, out: bool },
    /// What the older one holds.
    Holds(usize, usize),
    /// The older one is gone.
    OlderGone,
    /// The newer one died: clients are this process's again.
    NewerGone,
}

/// The other processes of this initiator, as seen from this one.
pub struct Upgrade {
    place: Option<PathBuf>,
    listener: Option<UnixListener>,
    token: Token,
    peers: BTreeMap<usize, Peer>,
    knocked: bool,
    next_look: Instant,
}

impl Upgrade {
    /// Knows of no other process.
    pub fn new(place: Option<PathBuf>, token: Token, now: Instant) -> Self {
        Upgrade { place, listener: None, token, peers: BTreeMap::new(), knocked: false, next_look: now }
    }

    /// Takes over from the process before; its state, as far as it gives one.
    pub fn take_over(
        &mut self,
        mut before: Before,
        registry: &Registry,
        tokens: &mut Tokens,
        now: Instant,
    ) -> Result<Option<Box<Carried>>, String> {
        let carried = before.take()?;
        let token = tokens.next(Kind::Upgrade);
        let watched = before.stream.set_nonblocking(true).and_then(|()| {
            registry.register(before.link.source(), token, Interest::READABLE | Interest::WRITABLE)
        });
        match watched {
            Ok(()) => {
                let peer = Peer { link: before.link, role: Role::Older, since: now, ends: false };
                self.peers.insert(token.0, peer);
            }
            Err(error) => tracing::warn!("the process before is not heard any more: {error}"),
        }
        Ok(carried)
    }

    /// Listens for the next process. Where that cannot be, there is no upgrade without a gap, and all else goes on.
    pub fn listen(&mut self, registry: &Registry) {
        let Some(place) = &self.place else { return };
        // What is there is left over, or belongs to the process that this one took over from.
        let _ = std::fs::remove_file(place);
        let opened = UnixListener::bind(place).and_then(|mut listener| {
            registry.register(&mut listener, self.token, Interest::READABLE)?;
            Ok(listener)
        });
        match opened {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => tracing::warn!("{}: no upgrade without a gap: {error}", place.display()),
        }
    }

    /// The next process knocks.
    pub fn connections_pending(&mut self) {
        self.knocked = true;
    }

    /// When [`Upgrade::turn`] has something to do.
    pub fn next_timer(&self) -> Option<Instant> {
        (!self.peers.is_empty()).then_some(self.next_look)
    }

    /// Lets other processes in, drops those that are silent, and says to the newer one what this one holds.
    pub fn turn(
        &mut self,
        now: Instant,
        registry: &Registry,
        tokens: &mut Tokens,
        holds: impl FnOnce() -> (usize, usize),
    ) -> Vec<Heard> {
        let mut heard = Vec::new();
        if std::mem::take(&mut self.knocked) {
            while let Some(Ok((mut stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
                let callers = self.peers.values().filter(|peer| peer.role == Role::Caller).count();
                let token = tokens.next(Kind::Upgrade);
                let interest = Interest::READABLE | Interest::WRITABLE;
                if callers >= MOST_PEERS || registry.register(&mut stream, token, interest).is_err() {
                    continue;
                }
                match Link::new(stream) {
                    Ok(link) => {
                        let peer = Peer { link, role: Role::Caller, since: now, ends: false };
                        self.peers.insert(token.0, peer);
                        heard.extend(self.ready(token.0));
                    }
                    Err(why) => tracing::warn!("a process is not let in: {why}"),
                }
            }
        }
        if self.next_look <= now {
            self.next_look = now + LOOKS;
            // Guards against processes that connect and do not go on; one that is built up takes over within it.
            self.peers.retain(|_, peer| peer.role != Role::Caller || now - peer.since < 10 * PATIENCE);
            if self.newer().is_some() {
                let (descriptors, bytes) = holds();
                self.tell_newer(&Frame::Holds(descriptors, bytes), Vec::new());
            }
        }
        heard
    }

    /// Something happened on a peer's connection.
    pub fn ready(&mut self, id: usize) -> Vec<Heard> {
        let mut heard = Vec::new();
        let Some(peer) = self.peers.get_mut(&id) else { return heard };
        let open = loop {
            let open = match peer.link.flush().and_then(|()| peer.link.read()) {
                Ok(open) => open,
                Err(why) => {
                    tracing::debug!("another process: {why}");
                    false
                }
            };
            let mut any = false;
            let fault = loop {
                match peer.link.next() {
                    Ok(Some((frame, descriptors))) => {
                        any = true;
                        if !peer.take(id, frame, descriptors, &mut heard) {
                            break true;
                        }
                    }
                    Ok(None) => break false,
                    Err(why) => {
                        tracing::warn!("another process is not heard any more: {why}");
                        break true;
                    }
                }
            };
            if fault || !open {
                break false;
            }
            if !any {
                break true;
            }
        };
        if !open {
            if let Some(peer) = self.peers.remove(&id) {
                match peer.role {
                    Role::Older => heard.push(Heard::OlderGone),
                    Role::Newer if !peer.ends => heard.push(Heard::NewerGone),
                    _ => {}
                }
            }
        }
        heard
    }

    /// Gives the listeners to the process that asked.
    pub fn give_listeners(&mut self, id: usize, listeners: Vec<(Place, &TcpListener)>) {
        let copies = listeners.into_iter().map(|(place, listener)| {
            listener.as_fd().try_clone_to_owned().map(|descriptor| (place, descriptor))
        });
        let Ok(copies) = copies.collect::<std::io::Result<Vec<_>>>() else { return self.refuse(id) };
        let (places, descriptors) = copies.into_iter().unzip();
        self.tell(id, &Frame::Listeners(places), descriptors);
    }

    /// Gives this process's state to the one that takes over; false if another one did before.
    pub fn give_state(&mut self, id: usize, state: impl FnOnce() -> Carried) -> bool {
        if self.newer().is_some() {
            self.refuse(id);
            return false;
        }
        let Some(peer) = self.peers.get_mut(&id) else { return false };
        peer.role = Role::Newer;
        // The next process is to find the newer one.
        self.listener = None;
        let mut state = state();
        if postcard::to_stdvec(&state.scheduler).is_ok_and(|bytes| bytes.len() > frame::MOST_BYTES / 2) {
            tracing::warn!("what the scheduler learned is too much to be handed over");
            state.scheduler = None;
        }
        self.tell(id, &Frame::State(Box::new(state)), Vec::new());
        true
    }

    fn refuse(&mut self, id: usize) {
        self.tell(id, &Frame::Refused, Vec::new());
    }

    /// Clients that the newer process takes now.
    pub fn room_for_clients(&self) -> bool {
        self.newer().is_some_and(|id| self.peers[&id].link.has_room())
    }

    /// Gives a client to the newer process.
    pub fn give_client(&mut self, stream: TcpStream, input: Vec<u8>) {
        self.tell_newer(&Frame::Client(input), vec![std::net::TcpStream::from(stream).into()]);
    }

    /// Tells the other process that an operator has taken a target out, or called it back.
    pub fn tell_ban(&mut self, name: &str, unix: Duration, out: bool) {
        let peers = self.peers.iter().filter(|(_, peer)| peer.role != Role::Caller);
        for id in peers.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.tell(id, &Frame::Ban { name: name.to_string(), unix, out }, Vec::new());
        }
    }

    /// This process ends in order, and the older one is not to take up anything for it.
    pub fn end(&mut self) {
        for id in self.peers.keys().copied().collect::<Vec<_>>() {
            self.tell(id, &Frame::Ends, Vec::new());
        }
    }

    fn newer(&self) -> Option<usize> {
        self.peers.iter().find(|(_, peer)| peer.role == Role::Newer).map(|(id, _)| *id)
    }

    fn tell_newer(&mut self, frame: &Frame, descriptors: Vec<OwnedFd>) {
        if let Some(id) = self.newer() {
            self.tell(id, frame, descriptors);
        }
    }

    fn tell(&mut self, id: usize, frame: &Frame, descriptors: Vec<OwnedFd>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        // An end of the connection shows where it is read.
        if let Err(why) = peer.link.send(frame, descriptors).and_then(|()| peer.link.flush()) {
            tracing::debug!("another process: {why}");
        }
    }
}

impl Peer {
    /// Takes one thing said, as far as it is this peer's to say; false if it is not.
    fn take(&mut self, id: usize, frame: Frame, descriptors: Vec<OwnedFd>, heard: &mut Vec<Heard>) -> bool {
        match (self.role, frame) {
            (Role::Caller, Frame::Ask) => heard.push(Heard::Asked(id)),
            (Role::Caller, Frame::Take { door }) => heard.push(Heard::Take { peer: id, admin: door }),
            (Role::Older, Frame::Client(input)) => {
                for descriptor in descriptors {
                    let stream = std::net::TcpStream::from(descriptor);
                    heard.push(Heard::Client(TcpStream::from_std(stream), input.clone()));
                }
            }
            (Role::Older, Frame::Holds(descriptors, bytes)) => heard.push(Heard::Holds(descriptors, bytes)),
            (Role::Older | Role::Newer, Frame::Ban { name, unix, out }) => {
                heard.push(Heard::Ban { name, unix, out });
            }
            (_, Frame::Ends) => self.ends = true,
            // A state that comes after its time was waited for.
            (Role::Older, Frame::State(_)) => {}
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

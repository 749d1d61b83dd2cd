//! A buffered non-blocking TCP connection, as every wire here needs one. It knows no protocol.

use crate::tcp_info::TcpInfo;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Instant;

/// Room a read asks for at once.
const READ_BYTES: usize = 64 * 1024;

/// What is written is kept in pieces of about this size.
const PIECE_BYTES: usize = 64 * 1024;

thread_local! {
    /// Where reads go first: a connection keeps only what has come, not the room for more.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// What a read found at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// Nothing more for now.
    Blocked,
    /// The limit of unread input was reached; more may be waiting.
    Paused,
    /// The far side has ended its sending.
    Closed,
    /// The connection broke: what has come of a message may not be all of it.
    Broken,
}

impl ReadEnd {
    /// Whether nothing more will come.
    pub fn is_over(self) -> bool {
        matches!(self, ReadEnd::Closed | ReadEnd::Broken)
    }
}

/// The state of a connection that is being made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connecting {
    Pending,
    Up,
    Failed,
}

pub struct Conn {
    stream: TcpStream,
    /// What has come and was not consumed yet.
    pub input: Vec<u8>,
    /// What is to be written, in pieces: a long value comes in as such, and is not moved together.
    output: VecDeque<Vec<u8>>,
    /// Bytes of all pieces, and what of the first was written.
    unwritten: usize,
    written: usize,
    /// Something of what is to be written has gone out.
    begun: bool,
}

impl Conn {
    pub fn new(mut stream: TcpStream, token: Token, registry: &Registry) -> std::io::Result<Self> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let (input, output) = (Vec::new(), VecDeque::new());
        Ok(Conn { stream, input, output, unwritten: 0, written: 0, begun: false })
    }

    pub fn connect(address: SocketAddr, token: Token, registry: &Registry) -> std::io::Result<Self> {
        Conn::new(TcpStream::connect(address)?, token, registry)
    }

    /// Whether a connection that was begun is up. Small requests must not wait for one another's
    /// acknowledgements, so Nagle's algorithm goes off here.
    pub fn connecting(&self) -> Connecting {
        if !matches!(self.stream.take_error(), Ok(None)) {
            return Connecting::Failed;
        }
        match self.stream.peer_addr() {
            Ok(_) => match self.stream.set_nodelay(true) {
                Ok(()) => Connecting::Up,
                Err(_) => Connecting::Failed,
            },
            Err(error) if error.kind() == ErrorKind::NotConnected => Connecting::Pending,
            Err(_) => Connecting::Failed,
        }
    }

    /// Reads what is there, until `limit` bytes lie unconsumed. Only a read that finds nothing says that there is no
    /// more: one may give less than there is (POSIX, `read`), and readiness is told once.
    pub fn read(&mut self, limit: usize) -> ReadEnd {
        read_all(&mut self.stream, &mut self.input, limit)
    }

    /// When what waits to be read had come, where the loop takes it that nothing came before `since`.
    pub fn arrived_by(&self, now: Instant, since: Instant) -> Instant {
        TcpInfo::of(self.stream.as_fd()).map_or(since, |info| info.arrived_by(now, since))
    }

    /// Takes off what was consumed. Guards against connections that keep the room of their largest message.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        self.free_empty_input();
    }

    /// Lets go of the room of an input that was consumed.
    pub fn free_empty_input(&mut self) {
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Lets go of the connection, with what was read of it and not taken. It was all written.
    pub fn into_parts(mut self, registry: &Registry) -> std::io::Result<(TcpStream, Vec<u8>)> {
        registry.deregister(&mut self.stream)?;
        Ok((self.stream, self.input))
    }

    /// Tells the far side that nothing more follows what was written.
    pub fn shutdown_write(&self) -> std::io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Write)
    }

    /// Adds to what is to be written.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unwritten += bytes.len();
        match self.output.back_mut().filter(|last| last.len() + bytes.len() <= PIECE_BYTES) {
            Some(last) => last.extend_from_slice(bytes),
            None if bytes.is_empty() => {}
            None => self.output.push_back(bytes.to_vec()),
        }
    }

    /// Bytes not handed to the kernel yet.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    /// Whether any byte of what is to be written has gone out.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Writes as much as goes; an error means that the connection broke.
    pub fn flush(&mut self) -> std::io::Result<()> {
        while let Some(piece) = self.output.front() {
            match self.stream.write(&piece[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    (self.written, self.unwritten, self.begun) =
                        (self.written + count, self.unwritten - count, true);
                    if self.written == piece.len() {
                        self.output.pop_front();
                        self.written = 0;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        // An idle connection keeps no room.
        (self.output, self.begun) = (VecDeque::new(), false);
        Ok(())
    }
}

/// Appends to `input` what a stream has, until `limit` bytes lie there.
fn read_all(stream: &mut impl Read, input: &mut Vec<u8>, limit: usize) -> ReadEnd {
    READ_BUFFER.with_borrow_mut(|buffer| loop {
        let room = limit.saturating_sub(input.len()).min(READ_BYTES);
        if room == 0 {
            return ReadEnd::Paused;
        }
        match stream.read(&mut buffer[..room]) {
            Ok(0) => return ReadEnd::Closed,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadEnd::Blocked,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadEnd::Broken,
        }
    })
}

#[cfg(test)]
mod tests;

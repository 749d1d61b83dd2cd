//! A buffered non-blocking TCP connection, used by every protocol here. It knows no protocol itself.

use crate::tcp_info::{self, TcpInfo};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Instant;

/// Buffer size of one read, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Output is queued in chunks of about this size, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Unused capacity that an input buffer may keep beside its content, in bytes.
const MAX_SPARE_BYTES: usize = 4 * 1024;

thread_local! {
    /// Shared read buffer, so that a connection keeps only received bytes and no spare capacity.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Why reading stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// No more input for now.
    Blocked,
    /// The limit of unconsumed input was reached; more may be waiting.
    Paused,
    /// The peer has closed its sending side.
    Closed,
    /// The connection failed; a message that was received may be incomplete.
    Broken,
}

impl ReadEnd {
    /// Whether no more input will arrive.
    pub fn is_over(self) -> bool {
        matches!(self, ReadEnd::Closed | ReadEnd::Broken)
    }
}

/// The state of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connecting {
    Pending,
    Up,
    Failed,
}

pub struct Conn {
    stream: TcpStream,
    /// Received bytes that were not consumed yet.
    pub input: Vec<u8>,
    /// Output in chunks; a long value is its own chunk and is not copied together with others.
    output: VecDeque<Vec<u8>>,
    /// Bytes left in all chunks, and bytes of the first chunk that were written.
    unwritten: usize,
    written: usize,
    /// Some of the queued output was written.
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

    /// The state of a connection attempt. Small requests must not wait for one another's acknowledgements, so this
    /// turns Nagle's algorithm off once the connection is up.
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

    /// Reads until there is no more input or `limit` bytes are unconsumed. It reads until a read would block, since a
    /// read may return less than is available (POSIX, `read`) and readiness is notified only once.
    pub fn read(&mut self, limit: usize) -> ReadEnd {
        read_all(&mut self.stream, &mut self.input, limit)
    }

    /// When the unread input had arrived, if as far as the loop knows nothing arrived before `since`.
    pub fn arrived_by(&self, now: Instant, since: Instant) -> Instant {
        TcpInfo::of(self.stream.as_fd()).map_or(since, |info| info.arrived_by(now, since))
    }

    /// Removes consumed input. Frees what the rest doesn't need, so that a connection doesn't keep the capacity of its
    /// largest message.
    pub fn consume(&mut self, count: usize) {
        self.input.drain(..count);
        self.free_empty_input();
        if self.input.capacity() > 2 * self.input.len() + MAX_SPARE_BYTES {
            self.input.shrink_to_fit();
        }
    }

    /// Frees the input buffer if all of it was consumed.
    pub fn free_empty_input(&mut self) {
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Returns the socket and the input not yet consumed. All output has to be written.
    pub fn into_parts(mut self, registry: &Registry) -> std::io::Result<(TcpStream, Vec<u8>)> {
        registry.deregister(&mut self.stream)?;
        Ok((self.stream, self.input))
    }

    /// Closes the sending side: nothing follows the output written so far.
    pub fn shutdown_write(&self) -> std::io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Write)
    }

    /// Queues output.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unwritten += bytes.len();
        match self.output.back_mut().filter(|last| last.len() + bytes.len() <= CHUNK_BYTES) {
            Some(last) => last.extend_from_slice(bytes),
            None if bytes.is_empty() => {}
            None => self.output.push_back(bytes.to_vec()),
        }
    }

    /// Queues output without copying it, unless it fits into the last chunk.
    pub fn push_owned(&mut self, bytes: Vec<u8>) {
        if bytes.len() < CHUNK_BYTES {
            return self.push(&bytes);
        }
        self.unwritten += bytes.len();
        self.output.push_back(bytes);
    }

    /// Writes the beginning of `bytes`, which must not be empty, at once and queues the rest; nothing may be queued
    /// already. Takes the bytes only if the socket accepted some of them, and returns whether it did.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn begin(&mut self, bytes: &mut Vec<u8>) -> std::io::Result<bool> {
        debug_assert_eq!(self.unwritten, 0, "the output would not be in order");
        let count = loop {
            match self.stream.write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => break count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        };
        if count < bytes.len() {
            (self.unwritten, self.written, self.begun) = (bytes.len() - count, count, true);
            self.output.push_back(std::mem::take(bytes));
        }
        *bytes = Vec::new();
        Ok(true)
    }

    /// Drops all queued output.
    pub fn discard_output(&mut self) {
        (self.output, self.begun) = (VecDeque::new(), false);
        (self.unwritten, self.written) = (0, 0);
    }

    /// Queued bytes not yet passed to the kernel.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    /// Bytes that were passed to the kernel and that the peer has not received yet: it reads slowly, or not at all. A
    /// reset of the connection would lose them.
    pub fn undelivered(&self) -> usize {
        tcp_info::unacknowledged(self.stream.as_fd())
    }

    /// Whether any byte of the queued output was written.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Writes as much as the socket accepts; an error means that the connection failed.
    pub fn flush(&mut self) -> std::io::Result<()> {
        while let Some(chunk) = self.output.front() {
            match self.stream.write(&chunk[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    (self.written, self.unwritten, self.begun) =
                        (self.written + count, self.unwritten - count, true);
                    if self.written == chunk.len() {
                        self.output.pop_front();
                        self.written = 0;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        // An idle connection keeps no buffer.
        (self.output, self.begun) = (VecDeque::new(), false);
        Ok(())
    }
}

/// Appends the stream's input to `input` until that holds `limit` bytes.
fn read_all(stream: &mut impl Read, input: &mut Vec<u8>, limit: usize) -> ReadEnd {
    READ_BUFFER.with_borrow_mut(|buffer| loop {
        let space = limit.saturating_sub(input.len()).min(READ_BYTES);
        if space == 0 {
            return ReadEnd::Paused;
        }
        match stream.read(&mut buffer[..space]) {
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

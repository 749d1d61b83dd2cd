//! A buffered non-blocking connection of a stand-in.

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

const READ_BYTES: usize = 64 * 1024;

/// A connection with its unparsed input and unsent output.
pub struct Wire {
    stream: TcpStream,
    pub input: Vec<u8>,
    output: Vec<u8>,
    is_closed: bool,
    was_connected: bool,
}

impl Wire {
    pub fn new(mut stream: TcpStream, token: Token, registry: &Registry) -> std::io::Result<Self> {
        // On failure answers are only delayed.
        let _ = stream.set_nodelay(true);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Wire { stream, input: Vec::new(), output: Vec::new(), is_closed: false, was_connected: false })
    }

    /// Reads and writes as much as possible without blocking; true once the peer has closed the connection.
    pub fn ready(&mut self) -> bool {
        self.was_connected |= self.stream.peer_addr().is_ok();
        self.flush();
        let mut bytes = [0; READ_BYTES];
        while !self.is_closed {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.is_closed = true,
                Ok(count) => self.input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.is_closed = true,
            }
        }
        self.is_closed
    }

    /// Whether the connection was ever established.
    pub fn was_connected(&self) -> bool {
        self.was_connected
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.flush();
    }

    fn flush(&mut self) {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(count) => {
                    self.output.drain(..count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Still connecting, send buffer full, or closed, which a read will report.
                Err(_) => return,
            }
        }
    }

    /// Makes the connection end with a reset when it is dropped.
    pub fn reset(&self) {
        // On failure the peer sees an orderly close.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Stops watching the connection for events.
    pub fn deregister(&mut self, registry: &Registry) {
        // The connection is closed right after, which deregisters it too.
        let _ = registry.deregister(&mut self.stream);
    }
}

//! A non-blocking connection of a stand-in.

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

const READ_BYTES: usize = 64 * 1024;

/// A connection with what came and what is still to go out.
pub struct Wire {
    stream: TcpStream,
    pub input: Vec<u8>,
    output: Vec<u8>,
    is_over: bool,
    was_up: bool,
}

impl Wire {
    pub fn new(mut stream: TcpStream, token: Token, registry: &Registry) -> std::io::Result<Self> {
        // Without it answers still go out, only later.
        let _ = stream.set_nodelay(true);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Wire { stream, input: Vec::new(), output: Vec::new(), is_over: false, was_up: false })
    }

    /// Reads what is there and writes what goes; true once the far side has ended.
    pub fn ready(&mut self) -> bool {
        self.was_up |= self.stream.peer_addr().is_ok();
        self.flush();
        let mut bytes = [0; READ_BYTES];
        while !self.is_over {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.is_over = true,
                Ok(count) => self.input.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.is_over = true,
            }
        }
        self.is_over
    }

    /// Whether the far side ever accepted it.
    pub fn was_up(&self) -> bool {
        self.was_up
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
                // The connection is being made, is full, or is over, which a read will tell.
                Err(_) => return,
            }
        }
    }

    /// Closes it so that the far side sees a reset.
    pub fn reset(&self) {
        // Without it the far side sees an end in order.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// It is watched no more.
    pub fn leave(&mut self, registry: &Registry) {
        // It is closed right after.
        let _ = registry.deregister(&mut self.stream);
    }
}

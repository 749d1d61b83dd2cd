//! Waves of many idle clients. They run on a separate thread, so that opening them does not delay the other stand-ins.

use super::wire::Wire;
use mio::net::TcpStream;
use mio::{Events, Poll, Token};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::thread::JoinHandle;
use std::time::Duration;

/// What the connections of a wave send, in rotation: nothing, a PING, an incomplete command.
const PAYLOADS: [&[u8]; 3] = [b"", b"*1\r\n$4\r\nPING\r\n", b"*4\r\n$7\r\nOBJ"];
/// How often new waves are checked for while the connections have no events.
const POLL_TIMEOUT: Duration = Duration::from_millis(10);

/// Handle of the thread. Dropping it closes all its connections.
pub struct Crowd {
    waves: Option<Sender<usize>>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts the thread; its connections go to `address`.
    pub fn start(address: SocketAddr) -> Self {
        let (waves, commands) = channel();
        let thread = std::thread::spawn(move || {
            if let Err(error) = serve(address, &commands) {
                eprintln!("the thread of idle clients ends: {error}");
            }
        });
        Crowd { waves: Some(waves), thread: Some(thread) }
    }

    /// Opens `count` connections at once and closes those of the previous wave.
    pub fn wave(&self, count: usize) {
        // If the thread has ended, it has printed the reason.
        let _ = self.waves.as_ref().map(|waves| waves.send(count));
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.waves = None;
        // The thread returns no value; a panic has been printed.
        self.thread.take().map(JoinHandle::join);
    }
}

fn serve(address: SocketAddr, commands: &Receiver<usize>) -> std::io::Result<()> {
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(1024);
    let mut wires: Vec<Wire> = Vec::new();
    loop {
        match commands.try_recv() {
            Ok(count) => {
                wires.clear();
                for number in 0..count {
                    let stream = TcpStream::connect(address)?;
                    let mut wire = Wire::new(stream, Token(number), poll.registry())?;
                    wire.write(PAYLOADS[number % PAYLOADS.len()]);
                    wires.push(wire);
                }
            }
            Err(TryRecvError::Empty) => {}
            Err(TryRecvError::Disconnected) => return Ok(()),
        }
        match poll.poll(&mut events, Some(POLL_TIMEOUT)) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
            other => other?,
        }
        for event in &events {
            // Events of the previous wave may still be queued.
            wires.get_mut(event.token().0).map(Wire::ready);
        }
    }
}

//! Idle clients by the hundred. They live on a thread of their own, so that opening them delays no other stand-in.

use super::wire::Wire;
use mio::net::TcpStream;
use mio::{Events, Poll, Token};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::thread::JoinHandle;
use std::time::Duration;

/// What the connections of a wave say in turn: nothing, something that asks for no work, half of a command.
const SAYINGS: [&[u8]; 3] = [b"", b"*1\r\n$4\r\nPING\r\n", b"*4\r\n$7\r\nOBJ"];
/// How often connections are seen to while no wave comes.
const PAUSE: Duration = Duration::from_millis(10);

/// The thread; its connections end with it.
pub struct Crowd {
    waves: Option<Sender<usize>>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Connections will go to this address.
    pub fn start(address: SocketAddr) -> Self {
        let (waves, orders) = channel();
        let thread = std::thread::spawn(move || {
            if let Err(error) = serve(address, &orders) {
                eprintln!("the crowd ends: {error}");
            }
        });
        Crowd { waves: Some(waves), thread: Some(thread) }
    }

    /// Opens so many connections at once, in place of those of the wave before.
    pub fn wave(&self, count: usize) {
        // A thread that ended has said why.
        let _ = self.waves.as_ref().map(|waves| waves.send(count));
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.waves = None;
        // It has no result.
        self.thread.take().map(JoinHandle::join);
    }
}

fn serve(address: SocketAddr, orders: &Receiver<usize>) -> std::io::Result<()> {
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(1024);
    let mut wires: Vec<Wire> = Vec::new();
    loop {
        match orders.try_recv() {
            Ok(count) => {
                wires.clear();
                for number in 0..count {
                    let stream = TcpStream::connect(address)?;
                    let mut wire = Wire::new(stream, Token(number), poll.registry())?;
                    wire.write(SAYINGS[number % SAYINGS.len()]);
                    wires.push(wire);
                }
            }
            Err(TryRecvError::Empty) => {}
            Err(TryRecvError::Disconnected) => return Ok(()),
        }
        match poll.poll(&mut events, Some(PAUSE)) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
            other => other?,
        }
        for event in &events {
            // Events of the wave before may still be there.
            wires.get_mut(event.token().0).map(Wire::ready);
        }
    }
}

//! A TCP relay that counts bytes.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// Bytes forwarded in each direction, and connections accepted.
#[derive(Default)]
struct Counts {
    to_target: AtomicU64,
    from_target: AtomicU64,
    connections: AtomicU64,
}

/// A relay in front of one target.
pub struct Relay {
    /// Its listening address.
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

impl Relay {
    /// Starts a relay to `target`. Fails if it can't listen.
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((ip, 0))?;
        let relay = Relay { address: listener.local_addr()?, counts: Arc::default() };
        let counts = relay.counts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // If the target is not reachable, the client sees its connection closed.
                let _ = forward(stream, target, &counts);
            }
        });
        Ok(relay)
    }

    /// Bytes to and from the target so far.
    pub fn bytes(&self) -> (u64, u64) {
        (self.counts.to_target.load(Ordering::Relaxed), self.counts.from_target.load(Ordering::Relaxed))
    }

    /// Connections established so far.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }
}

fn forward(client: TcpStream, target: SocketAddr, counts: &Arc<Counts>) -> std::io::Result<()> {
    let server = TcpStream::connect(target)?;
    counts.connections.fetch_add(1, Ordering::Relaxed);
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_again, server_again) = (client.try_clone()?, server.try_clone()?);
    let (there, back) = (counts.clone(), counts.clone());
    thread::spawn(move || copy(client, server, &there.to_target));
    thread::spawn(move || copy(server_again, client_again, &back.from_target));
    Ok(())
}

/// Copies one direction until either side closes, then closes both.
fn copy(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            break;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
    // They may be closed already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

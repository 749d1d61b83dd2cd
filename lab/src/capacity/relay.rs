//! A relay of TCP connections that counts the bytes that pass.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// Bytes that passed, by direction, and the connections made.
#[derive(Default)]
struct Counts {
    to_target: AtomicU64,
    from_target: AtomicU64,
    connections: AtomicU64,
}

/// One relay.
pub struct Relay {
    /// Where it is connected to.
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

impl Relay {
    /// Passes on what comes to a target, and back.
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((ip, 0))?;
        let relay = Relay { address: listener.local_addr()?, counts: Arc::default() };
        let counts = relay.counts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // Who is not let through sees a close, as from a target that is gone.
                let _ = pass(stream, target, &counts);
            }
        });
        Ok(relay)
    }

    /// Bytes to the target and from it, so far.
    pub fn bytes(&self) -> (u64, u64) {
        (self.counts.to_target.load(Ordering::Relaxed), self.counts.from_target.load(Ordering::Relaxed))
    }

    /// Connections made so far.
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }
}

fn pass(client: TcpStream, target: SocketAddr, counts: &Arc<Counts>) -> std::io::Result<()> {
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

/// Until either side ends; then both do.
fn copy(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length) = from.read(&mut bytes) {
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            break;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
    // They may have ended already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

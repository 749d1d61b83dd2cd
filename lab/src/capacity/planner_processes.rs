//! Real planners as child processes, each behind a relay that counts bytes.

use super::initiator::{own_address, own_folder, program};
use super::relay::Relay;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a planner may take to start.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Running planners; their processes are killed when this is dropped.
pub struct Planners {
    children: Vec<Child>,
    folder: PathBuf,
    relays: Vec<Relay>,
}

impl Drop for Planners {
    fn drop(&mut self) {
        for child in &mut self.children {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        // A remainder is left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Planners {
    /// Starts `count` planners and waits until each accepts forwarders. Fails if one takes too long.
    pub fn start(count: usize) -> Result<Planners, String> {
        let program = program()?.with_file_name("topazpath-planner");
        let error_text = |error: std::io::Error| error.to_string();
        let ip = own_address(3);
        let tcp: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>().map_err(error_text)?;
        let udp: Vec<UdpSocket> =
            (0..count).map(|_| UdpSocket::bind((ip, 0))).collect::<Result<_, _>>().map_err(error_text)?;
        let listen_addresses: Vec<SocketAddr> =
            tcp.iter().map(TcpListener::local_addr).collect::<Result<_, _>>().map_err(error_text)?;
        let election_addresses: Vec<SocketAddr> =
            udp.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>().map_err(error_text)?;
        drop((tcp, udp));
        let names: Vec<String> = (0..count).map(|number| format!("p-{number}")).collect();
        let mut planners = Planners { children: Vec::new(), folder: own_folder()?, relays: Vec::new() };
        for number in 0..count {
            let peers: Vec<String> = election_addresses
                .iter()
                .filter(|it| **it != election_addresses[number])
                .map(SocketAddr::to_string)
                .collect();
            let text = format!(
                "listen = \"{}\"\nname = \"{}\"\nplanners = {names:?}\n[vrrp]\nvrid = 1\ninterval_ms = 100\n\
                 address = \"{}\"\npeers = {peers:?}\n",
                listen_addresses[number], names[number], election_addresses[number]
            );
            let file = planners.folder.join(format!("{number}.toml"));
            std::fs::write(&file, text).map_err(error_text)?;
            let mut command = Command::new(&program);
            command.arg(file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            planners.children.push(command.spawn().map_err(error_text)?);
        }
        for listen in listen_addresses {
            wait_until_accepting(listen)?;
            planners.relays.push(Relay::start(own_address(4), listen).map_err(error_text)?);
        }
        Ok(planners)
    }

    /// Addresses of the relays, to which forwarders connect.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(|relay| relay.address).collect()
    }

    /// Bytes to and from planners so far.
    pub fn bytes(&self) -> f64 {
        self.relays.iter().map(Relay::bytes).map(|(to, from)| (to + from) as f64).sum()
    }

    /// Whether a forwarder has connected to every planner.
    pub fn are_connected(&self) -> bool {
        self.relays.iter().all(|relay| relay.connections() > 0)
    }

    /// Mean resident memory of a planner in bytes.
    pub fn memory(&self) -> Result<f64, String> {
        let all: Result<Vec<f64>, String> =
            self.children.iter().map(|child| super::meter::resident_memory(child.id())).collect();
        let all = all?;
        Ok(all.iter().sum::<f64>() / all.len() as f64)
    }
}

fn wait_until_accepting(listen: SocketAddr) -> Result<(), String> {
    let start = Instant::now();
    while TcpStream::connect(listen).is_err() {
        if start.elapsed() > TIMEOUT {
            return Err("a planner does not accept forwarders".into());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

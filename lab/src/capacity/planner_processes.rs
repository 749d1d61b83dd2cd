//! Real planners as processes, each behind a relay that counts what passes.

use super::initiator::{own_address, own_folder, program};
use super::relay::Relay;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a planner may take to start.
const PATIENCE: Duration = Duration::from_secs(30);

/// Running planners; their processes end with this.
pub struct Planners {
    children: Vec<Child>,
    folder: PathBuf,
    relays: Vec<Relay>,
}

impl Drop for Planners {
    fn drop(&mut self) {
        for child in &mut self.children {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        // What is left of a folder is the system's to clean.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Planners {
    /// Starts so many, and waits until each lets forwarders in.
    pub fn start(count: usize) -> Result<Planners, String> {
        let program = program()?.with_file_name("topazpath-planner");
        let told = |error: std::io::Error| error.to_string();
        let ip = own_address(3);
        let tcp: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>().map_err(told)?;
        let udp: Vec<UdpSocket> =
            (0..count).map(|_| UdpSocket::bind((ip, 0))).collect::<Result<_, _>>().map_err(told)?;
        let listens: Vec<SocketAddr> =
            tcp.iter().map(TcpListener::local_addr).collect::<Result<_, _>>().map_err(told)?;
        let hears: Vec<SocketAddr> =
            udp.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>().map_err(told)?;
        drop((tcp, udp));
        let names: Vec<String> = (0..count).map(|place| format!("p-{place}")).collect();
        let mut planners = Planners { children: Vec::new(), folder: own_folder()?, relays: Vec::new() };
        for place in 0..count {
            let peers: Vec<String> =
                hears.iter().filter(|it| **it != hears[place]).map(SocketAddr::to_string).collect();
            let text = format!(
                "listen = \"{}\"\nname = \"{}\"\nplanners = {names:?}\n[vrrp]\nvrid = 1\ninterval_ms = 100\n\
                 address = \"{}\"\npeers = {peers:?}\n",
                listens[place], names[place], hears[place]
            );
            let file = planners.folder.join(format!("{place}.toml"));
            std::fs::write(&file, text).map_err(told)?;
            let mut command = Command::new(&program);
            command.arg(file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
            planners.children.push(command.spawn().map_err(told)?);
        }
        for listen in listens {
            wait_for(listen)?;
            planners.relays.push(Relay::start(own_address(4), listen).map_err(told)?);
        }
        Ok(planners)
    }

    /// Where forwarders connect: the relays.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(|relay| relay.address).collect()
    }

    /// Bytes to planners and from them, so far.
    pub fn bytes(&self) -> f64 {
        self.relays.iter().map(Relay::bytes).map(|(to, from)| (to + from) as f64).sum()
    }

    /// Whether forwarders are connected to all.
    pub fn are_connected(&self) -> bool {
        self.relays.iter().all(|relay| relay.connections() > 0)
    }

    /// Resident memory of each, in bytes, on the mean.
    pub fn memory(&self) -> Result<f64, String> {
        let all: Result<Vec<f64>, String> =
            self.children.iter().map(|child| super::meter::resident(child.id())).collect();
        let all = all?;
        Ok(all.iter().sum::<f64>() / all.len() as f64)
    }
}

fn wait_for(listen: SocketAddr) -> Result<(), String> {
    let start = Instant::now();
    while TcpStream::connect(listen).is_err() {
        if start.elapsed() > PATIENCE {
            return Err("a planner does not start".into());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

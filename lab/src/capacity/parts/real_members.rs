//! Membership among real processes: what they send on real sockets, by their own count of each datagram, and the
//! processor time that they take.

use super::super::discovery::{unreachable_nodes, Answers, Discovery};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup};
use super::super::scale::Scale;
use super::super::target;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// How long members may take to come together.
const PATIENCE: Duration = Duration::from_secs(60);
/// Members that may begin a fleet.
const SEEDS: usize = 3;
/// Nodes listed at each.
const NODES: usize = 8;

/// Its figures.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let sizes: &[usize] = scale.pick(&[2, 3, 5, 8], &[3, 10, 30, 60]);
    let (mut processor, mut bytes) = (Vec::new(), Vec::new());
    for size in sizes {
        let discovery = Discovery::start(own_address(2), unreachable_nodes(NODES, 1), Answers::Changes)
            .map_err(|error| format!("discovery: {error}"))?;
        let members = start(*size, &discovery)?;
        let (mut cores, mut sent): (Vec<f64>, Vec<f64>) = Default::default();
        for _ in 0..scale.repeats() {
            let (part, rate) = watch(&members, scale.watch())?;
            cores.push(part);
            sent.push(rate);
        }
        processor.push(Point::of(*size as f64, &cores));
        bytes.push(Point::of(*size as f64, &sent));
    }
    let figure = |name: &str, unit: &str, points| {
        Figure::new(name, Role::Initiator, "members", unit, points, target::INITIATORS)
    };
    Ok(vec![
        figure("members: processor of a real process at rest", "of a core", processor)
            .within(target::CONTROL_CORES)
            .note("the whole process, with discovery's client"),
        figure("members: bytes both ways of a real process at rest", "bytes/s", bytes)
            .within(target::CONTROL_BYTES_PER_SECOND)
            .note("payload of the datagrams at the real sockets"),
    ])
}

/// Processor time as a part of a core, and bytes a second both ways, of one on the mean.
fn watch(members: &[Initiator], time: Duration) -> Result<(f64, f64), String> {
    let count = members.len() as f64;
    let processor = || members.iter().map(Initiator::processor).sum::<f64>() / count;
    let bytes = || members.iter().map(bytes_out).sum::<Result<f64, String>>().map(|sum| sum / count);
    let (start, bytes_before) = (Instant::now(), bytes()?);
    let before = processor();
    std::thread::sleep(time);
    let used = processor() - before;
    let sent = bytes()? - bytes_before;
    let seconds = start.elapsed().as_secs_f64();
    // What is sent by one is received by another.
    Ok((used / seconds, 2.0 * sent / seconds))
}

/// Starts members, and waits until each sees all.
fn start(size: usize, discovery: &Discovery) -> Result<Vec<Initiator>, String> {
    let addresses = free_addresses(size).map_err(|error| error.to_string())?;
    let seed = |(number, address): (usize, &SocketAddr)| {
        format!("[[seed]]\nname = \"m-{number}\"\naddress = \"{address}\"\n")
    };
    let seeds: String = addresses.iter().take(SEEDS).enumerate().map(seed).collect();
    let mut members = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let fleet = format!(
            "enabled = true\nfleet = \"capacity\"\nname = \"m-{number}\"\naddress = \"{address}\"\n{seeds}"
        );
        let setup = Setup { fleet: Some(fleet), ..Setup::of(discovery.address, 1) };
        members.push(Initiator::start(&setup)?);
    }
    let start = Instant::now();
    for member in &members {
        while member.count("fleet_members")? < size as f64 {
            if start.elapsed() > PATIENCE {
                let seconds = PATIENCE.as_secs();
                return Err(format!("{size} real members did not come together within {seconds} s"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(members)
}

/// Addresses for datagrams that nobody has; all are held together, so that each is another.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((own_address(6), 0))).collect::<Result<_, _>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

/// Bytes of all datagrams that a member has sent.
fn bytes_out(member: &Initiator) -> Result<f64, String> {
    let text = member.ask(&[b"INFO", b"FLEET"])?;
    let report: serde_json::Value =
        serde_json::from_str(&text).map_err(|error| format!("INFO FLEET: {error}"))?;
    let bytes = report["counters"]["bytes_out"].as_f64();
    bytes.ok_or_else(|| format!("INFO FLEET has no bytes_out: {text:.200}"))
}

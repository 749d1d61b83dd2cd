//! Membership of real processes: their traffic by their own counters, and their processor time.

use super::super::discovery::{unreachable_nodes, Answers, Discovery};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup};
use super::super::scale::Scale;
use super::super::target;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// How long members may take to see each other.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Seed members for the bootstrap of the fleet.
const SEEDS: usize = 3;
/// Nodes in each member's list.
const NODES: usize = 8;

/// All figures of real processes.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let sizes: &[usize] = scale.pick(&[2, 3, 5, 8], &[3, 10, 30, 60]);
    let (mut processor, mut bytes) = (Vec::new(), Vec::new());
    for size in sizes {
        let discovery = Discovery::start(own_address(2), unreachable_nodes(NODES, 1), Answers::Changes)
            .map_err(|error| format!("discovery: {error}"))?;
        let members = start(*size, &discovery)?;
        let (mut cores, mut sent): (Vec<f64>, Vec<f64>) = Default::default();
        for _ in 0..scale.repeats() {
            let (core_share, rate) = measure_rest(&members, scale.rest_duration())?;
            cores.push(core_share);
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
            .with_budget(target::CONTROL_CORES)
            .with_note("the whole process, with discovery's client"),
        figure("members: bytes both ways of a real process at rest", "bytes/s", bytes)
            .with_budget(target::CONTROL_BYTES_PER_SECOND)
            .with_note("payload of the datagrams at the real sockets"),
    ])
}

/// Mean share of a core and mean bytes per second, both directions, of a member.
fn measure_rest(members: &[Initiator], time: Duration) -> Result<(f64, f64), String> {
    let count = members.len() as f64;
    let processor = || members.iter().map(Initiator::processor).sum::<f64>() / count;
    let bytes = || members.iter().map(bytes_out).sum::<Result<f64, String>>().map(|sum| sum / count);
    let (start, bytes_before) = (Instant::now(), bytes()?);
    let before = processor();
    std::thread::sleep(time);
    let used = processor() - before;
    let sent = bytes()? - bytes_before;
    let seconds = start.elapsed().as_secs_f64();
    // Each datagram is sent by one member and received by another.
    Ok((used / seconds, 2.0 * sent / seconds))
}

/// Starts members and waits until each sees all others. Fails if that takes too long.
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
        while member.info_number("fleet_members")? < size as f64 {
            if start.elapsed() > TIMEOUT {
                let seconds = TIMEOUT.as_secs();
                return Err(format!("{size} real members did not see each other within {seconds} s"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(members)
}

/// Free UDP addresses. All sockets are open at the same time, so that the addresses are distinct.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind((own_address(6), 0))).collect::<Result<_, _>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

/// Payload bytes of all datagrams that a member has sent.
fn bytes_out(member: &Initiator) -> Result<f64, String> {
    let text = member.request(&[b"INFO", b"FLEET"])?;
    let report: serde_json::Value =
        serde_json::from_str(&text).map_err(|error| format!("INFO FLEET: {error}"))?;
    let bytes = report["counters"]["bytes_out"].as_f64();
    bytes.ok_or_else(|| format!("INFO FLEET has no bytes_out: {text:.200}"))
}

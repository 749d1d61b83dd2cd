//! Membership: traffic and processor time of a member, by size of the fleet.

use super::super::figure::{Figure, Point, Role};
use super::super::members_adapter::Members;
use super::super::meter::timed;
use super::super::scale::Scale;
use super::super::target;
use super::real_members;
use std::time::Duration;

/// Costs at one size per member and virtual second, with a value for each repeat.
#[derive(Default)]
struct Costs {
    processor_us: Vec<f64>,
    datagrams: Vec<f64>,
    bytes: Vec<f64>,
}

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let sizes: &[usize] = scale.pick(&[3, 10, 20, 40], &[3, 30, 100, 300, 460]);
    let mut all = Vec::new();
    for size in sizes {
        all.push((*size as f64, costs(*size, scale)?));
    }
    let figure = |name: &str, unit: &str, values: fn(&Costs) -> &Vec<f64>| {
        let points = all.iter().map(|(size, costs)| Point::of(*size, values(costs))).collect();
        Figure::new(name, Role::Initiator, "members", unit, points, target::INITIATORS)
    };
    let mut figures = vec![
        figure("members: processor at rest", "us/s", |costs| &costs.processor_us)
            .scaled(1e-6, "of a core")
            .with_budget(target::CONTROL_CORES)
            .with_note("virtual time: with the world around the member, without the sockets"),
        figure("members: bytes both ways at rest", "bytes/s", |costs| &costs.bytes)
            .with_budget(target::CONTROL_BYTES_PER_SECOND)
            .with_note("sent and received are the same on the mean; payload of the datagrams"),
        figure("members: datagrams both ways at rest", "datagrams/s", |costs| &costs.datagrams),
    ];
    figures.extend(real_members::measure(scale)?);
    Ok(figures)
}

fn costs(size: usize, scale: &Scale) -> Result<Costs, String> {
    let mut members = Members::start(size, scale.seed)?;
    // By then the updates caused by the start have been disseminated.
    members.advance(scale.pick(Duration::from_secs(5), Duration::from_secs(10)));
    let time = if size > 500 { Duration::from_secs(4) } else { Duration::from_secs(10) };
    let member_seconds = size as f64 * time.as_secs_f64();
    let mut costs = Costs::default();
    for _ in 0..scale.repeats() {
        let (_, seconds) = timed(|| members.advance(time))?;
        costs.processor_us.push(seconds * 1e6 / member_seconds);
        let sent = members.count_traffic(time);
        // Each datagram is sent by one member and received by another.
        costs.datagrams.push(2.0 * sent.datagrams / member_seconds);
        costs.bytes.push(2.0 * sent.bytes / member_seconds);
    }
    Ok(costs)
}

//! A fresh real initiator: memory by nodes listed and by volumes, processor time at rest and per request, and
//! connections to nodes.

use super::super::discovery::{unreachable_nodes, Answers, Discovery, Entry};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup};
use super::super::load::{Load, Outcome};
use super::super::scale::Scale;
use super::super::target;
use crate::stand_ins::nodes::Nodes;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which the work of a start is over.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Stand-in nodes in the measurement by volumes.
const NODES_FOR_VOLUMES: usize = 8;

/// A value for each repeat.
type Repeats = Vec<f64>;

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let mut figures = at_rest(scale)?;
    figures.extend(under_load(scale)?);
    figures.push(by_volumes(scale)?);
    Ok(figures)
}

fn at_rest(scale: &Scale) -> Result<Vec<Figure>, String> {
    let (mut memory, mut processor) = (Vec::new(), Vec::new());
    for nodes in scale.nodes() {
        let (mut bytes, mut cores): (Repeats, Repeats) = Default::default();
        for _ in 0..scale.repeats() {
            let (_discovery, initiator) = start(unreachable_nodes(*nodes, target::ZONES as usize))?;
            std::thread::sleep(SETTLE_TIME);
            bytes.push(initiator.memory()?);
            cores.push(initiator.processor_within(scale.rest_duration()));
        }
        memory.push(Point::of(*nodes as f64, &bytes));
        processor.push(Point::of(*nodes as f64, &cores));
    }
    let figure = |name: &str, unit: &str, points| {
        Figure::new(name, Role::Initiator, "nodes", unit, points, target::NODES)
    };
    Ok(vec![
        figure("process: memory at rest", "bytes", memory).with_budget(target::CONTROL_MEMORY_BYTES),
        figure("process: processor at rest", "of a core", processor)
            .with_budget(target::CONTROL_CORES)
            .with_note("without planners and fleet: discovery's client and the loop"),
    ])
}

fn under_load(scale: &Scale) -> Result<Vec<Figure>, String> {
    let (mut cost, mut connections, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for nodes in scale.nodes() {
        let (mut us, mut held, mut bytes): (Repeats, Repeats, Repeats) = Default::default();
        for _ in 0..scale.repeats() {
            let stand_ins = stand_ins(*nodes)?;
            let (_discovery, initiator) = start(entries(&stand_ins))?;
            let mut load = Load::start(&initiator, target::VOLUMES_PER_INITIATOR as u64, *nodes as u64)?;
            // Connects to every node before the measurement.
            check_served(load.send(2 * *nodes as u64)?)?;
            let before = initiator.processor();
            let outcome = load.send_for(scale.pick(Duration::from_millis(800), Duration::from_secs(3)))?;
            check_served(outcome)?;
            us.push((initiator.processor() - before) * 1e6 / outcome.answered as f64);
            held.push(initiator.info_number("node_connections")?);
            bytes.push(initiator.memory()?);
        }
        cost.push(Point::of(*nodes as f64, &us));
        connections.push(Point::of(*nodes as f64, &held));
        memory.push(Point::of(*nodes as f64, &bytes));
    }
    let cores_per_us = target::REQUESTS_PER_INITIATOR / 1e6;
    let connections = Figure::new(
        "process: connections to nodes",
        Role::Node,
        "nodes",
        "connections",
        connections,
        target::NODES,
    );
    let connections_per_node = connections.at_target / target::NODES * target::INITIATORS;
    Ok(vec![
        Figure::new("process: processor of a request", Role::Initiator, "nodes", "us", cost, target::NODES)
            .scaled(cores_per_us, "of a core")
            .with_budget(target::REQUEST_CORES)
            .with_note("500 requests a second, one at a time; at the target times 1,391 requests a second"),
        Figure::new("process: memory under load", Role::Initiator, "nodes", "bytes", memory, target::NODES)
            .with_budget(target::CONTROL_MEMORY_BYTES),
        connections.with_note("of one initiator, after requests to every shard, one at a time"),
        Figure::worked_out(
            "process: connections at a node",
            Role::Node,
            "connections",
            connections_per_node,
            "of 460 initiators",
        ),
    ])
}

fn by_volumes(scale: &Scale) -> Result<Figure, String> {
    let sizes: &[u64] = scale.pick(&[50, 100, 200, 400], &[65, 1000, 3000, 10_000, 30_000]);
    let mut points = Vec::new();
    for volumes in sizes {
        let mut bytes = Repeats::new();
        for _ in 0..scale.repeats() {
            let stand_ins = stand_ins(NODES_FOR_VOLUMES)?;
            let (_discovery, initiator) = start(entries(&stand_ins))?;
            let mut load = Load::start(&initiator, *volumes, NODES_FOR_VOLUMES as u64)?;
            check_served(load.send(*volumes)?)?;
            bytes.push(initiator.memory()?);
        }
        points.push(Point::of(*volumes as f64, &bytes));
    }
    let target_size = target::VOLUMES_PER_INITIATOR;
    let figure =
        Figure::new("process: memory by volumes", Role::Initiator, "volumes", "bytes", points, target_size);
    Ok(figure.with_budget(target::CONTROL_MEMORY_BYTES).with_note("each volume asked for once; 8 nodes"))
}

fn stand_ins(count: usize) -> Result<Nodes, String> {
    Nodes::start(own_address(5), count, Duration::ZERO).map_err(|error| format!("stand-in nodes: {error}"))
}

fn entries(nodes: &Nodes) -> Vec<Entry> {
    nodes.addresses.iter().map(|address| Entry { address: *address, zone: 0 }).collect()
}

fn start(entries: Vec<Entry>) -> Result<(Discovery, Initiator), String> {
    let zones = entries.iter().map(|entry| entry.zone + 1).max().unwrap_or(1);
    let discovery = Discovery::start(own_address(2), entries, Answers::Changes)
        .map_err(|error| format!("discovery: {error}"))?;
    let initiator = Initiator::start(&Setup::of(discovery.address, zones))?;
    discovery.wait_until_applied(TIMEOUT)?;
    Ok((discovery, initiator))
}

/// Fails if more than a tenth was not served, because the measurement would then be of refusals.
fn check_served(outcome: Outcome) -> Result<(), String> {
    if outcome.served * 10 < outcome.answered * 9 {
        return Err(format!("process: only {} of {} requests were served", outcome.served, outcome.answered));
    }
    Ok(())
}

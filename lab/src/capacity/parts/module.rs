//! The decision module: processor time per request, by nodes listed and by volumes.

use super::super::decision::{Setup, Simulation};
use super::super::figure::{Figure, Point, Role};
use super::super::meter::timed;
use super::super::scale::Scale;
use super::super::target;
use std::time::Duration;

/// Interval between two requests at low load.
const CALM_INTERVAL: Duration = Duration::from_millis(20);
/// Nodes listed while volumes grow.
const NODES_FOR_VOLUMES: u32 = 60;

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let node_sizes: &[u32] = scale.pick(&[8, 20, 60, 120], &[8, 60, 200, 460, 730, 1000]);
    let volume_sizes: &[u64] = scale.pick(&[100, 300, 1000, 3000], &[100, 1000, 10_000, 30_000, 100_000]);
    let calm = points(node_sizes, scale, |nodes| request_cost(Setup::of(nodes), CALM_INTERVAL, scale))?;
    let loaded = points(node_sizes, scale, |nodes| {
        let setup = Setup { initiators: target::INITIATORS as u32, ..Setup::of(nodes) };
        request_cost(setup, interval_at_target(nodes), scale)
    })?;
    let volumes = points(volume_sizes, scale, |volumes| {
        let setup = Setup { volumes, limited: true, ..Setup::of(NODES_FOR_VOLUMES) };
        request_cost(setup, Duration::from_millis(1), scale)
    })?;
    let cores_per_us = target::REQUESTS_PER_INITIATOR / 1e6;
    let initiator =
        |name: &str, axis: &str, points, size| Figure::new(name, Role::Initiator, axis, "us", points, size);
    Ok(vec![
        initiator("module: a request, calm", "nodes", calm, target::NODES)
            .scaled(cores_per_us, "of a core")
            .with_budget(target::REQUEST_CORES)
            .with_note("one request every 20 ms; at the target times 1,391 requests a second"),
        initiator("module: a request, at the target's rate a node", "nodes", loaded, target::NODES)
            .scaled(cores_per_us, "of a core")
            .with_budget(target::REQUEST_CORES)
            .with_note("each node has 1.9 requests a second of this initiator, 460 initiators"),
        initiator("module: a request, by volumes", "volumes", volumes, target::VOLUMES_PER_INITIATOR)
            .with_note("60 nodes, a limit for each volume; beside the figures by nodes, not on top of them"),
    ])
}

/// Interval between two requests at which each node gets the same rate as at the target size.
fn interval_at_target(nodes: u32) -> Duration {
    let each = target::REQUESTS_PER_INITIATOR / target::NODES;
    Duration::from_secs_f64(1.0 / (each * f64::from(nodes)))
}

fn points<T: Copy + Into<u64>>(
    sizes: &[T],
    scale: &Scale,
    cost: impl Fn(T) -> Result<f64, String>,
) -> Result<Vec<Point>, String> {
    let point = |size: &T| {
        let repeats: Result<Vec<f64>, String> = (0..scale.repeats()).map(|_| cost(*size)).collect();
        let count: u64 = (*size).into();
        Ok(Point::of(count as f64, &repeats?))
    };
    sizes.iter().map(point).collect()
}

/// Processor time per request in microseconds, after every node and every volume has been used once.
fn request_cost(setup: Setup, interval: Duration, scale: &Scale) -> Result<f64, String> {
    let max = u64::from(setup.nodes).max(setup.volumes);
    let (warm_up, count) = (scale.pick(300, 2000).max(max), scale.pick(300, 2000));
    let mut simulation = Simulation::new(setup);
    (0..warm_up).for_each(|_| simulation.request(interval, false));
    let before = simulation.sent;
    let (_, seconds) = timed(|| (0..count).for_each(|_| simulation.request(interval, false)))?;
    if (simulation.sent - before) * 10 < count * 9 {
        return Err(format!(
            "module: {} of {count} requests were sent at {} nodes: the module is overloaded",
            simulation.sent - before,
            setup.nodes
        ));
    }
    Ok(seconds * 1e6 / count as f64)
}

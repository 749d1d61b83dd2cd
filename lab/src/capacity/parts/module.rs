//! The decision module: processor time a request, by nodes listed and by volumes.

use super::super::decision::{Setup, World};
use super::super::figure::{Figure, Point, Role};
use super::super::meter::timed;
use super::super::scale::Scale;
use super::super::target;
use std::time::Duration;

/// Between two requests where nothing is crowded.
const CALM: Duration = Duration::from_millis(20);
/// Nodes listed while volumes grow.
const NODES_FOR_VOLUMES: u32 = 60;

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let node_sizes: &[u32] = scale.pick(&[8, 20, 60, 120], &[8, 60, 200, 460, 730, 1000]);
    let volume_sizes: &[u64] = scale.pick(&[100, 300, 1000, 3000], &[100, 1000, 10_000, 30_000, 100_000]);
    let calm = points(node_sizes, scale, |nodes| request_cost(Setup::of(nodes), CALM, scale))?;
    let loaded = points(node_sizes, scale, |nodes| {
        let setup = Setup { initiators: target::INITIATORS as u32, ..Setup::of(nodes) };
        request_cost(setup, gap_at_target(nodes), scale)
    })?;
    let volumes = points(volume_sizes, scale, |volumes| {
        let setup = Setup { volumes, limited: true, ..Setup::of(NODES_FOR_VOLUMES) };
        request_cost(setup, Duration::from_millis(1), scale)
    })?;
    let of_a_core = target::REQUESTS_PER_INITIATOR / 1e6;
    let initiator =
        |name: &str, axis: &str, points, size| Figure::new(name, Role::Initiator, axis, "us", points, size);
    Ok(vec![
        initiator("module: a request, calm", "nodes", calm, target::NODES)
            .times(of_a_core, "of a core")
            .within(target::REQUEST_CORES)
            .note("one request every 20 ms; at the target times 1,391 requests a second"),
        initiator("module: a request, at the target's rate a node", "nodes", loaded, target::NODES)
            .times(of_a_core, "of a core")
            .within(target::REQUEST_CORES)
            .note("each node has 1.9 requests a second of this initiator, 460 initiators"),
        initiator("module: a request, by volumes", "volumes", volumes, target::VOLUMES_PER_INITIATOR)
            .note("60 nodes, a limit for each volume; beside the figures by nodes, not on top of them"),
    ])
}

/// Between two requests of an initiator where each node gets what it gets at the target.
fn gap_at_target(nodes: u32) -> Duration {
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

/// Microseconds of processor a request, once every node and every volume was asked for.
fn request_cost(setup: Setup, gap: Duration, scale: &Scale) -> Result<f64, String> {
    let most = u64::from(setup.nodes).max(setup.volumes);
    let (warm, count) = (scale.pick(300, 2000).max(most), scale.pick(300, 2000));
    let mut world = World::new(setup);
    (0..warm).for_each(|_| world.request(gap, false));
    let before = world.sent;
    let (_, seconds) = timed(|| (0..count).for_each(|_| world.request(gap, false)))?;
    if (world.sent - before) * 10 < count * 9 {
        return Err(format!(
            "module: {} of {count} requests were sent at {} nodes: it is not calm",
            world.sent - before,
            setup.nodes
        ));
    }
    Ok(seconds * 1e6 / count as f64)
}

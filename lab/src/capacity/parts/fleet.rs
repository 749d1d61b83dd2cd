//! One initiator with many nodes: what it needs over the same simulated day with the usual number of nodes and with 4
//! and 16 times as many, under the same traffic, compared with the operators' limits.

use super::super::figure::{Figure, Role};
use super::super::scale::Scale;
use crate::soak::plan::{Fault, Plan};
use crate::soak::rig::{self, Figures};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The usual number of nodes, and 4 and 16 times as many.
const SIZES: [usize; 3] = [200, 800, 3_200];
const DAY: Duration = ms(8_000);
const DAY_SHORT: Duration = ms(4_000);
const MEGABYTE: f64 = 1_048_576.0;

/// Faults injected on one day.
struct Scene {
    name: &'static str,
    faults: Vec<(Duration, Fault)>,
}

/// A row of the operators' table: a measured value, and its limit as a function of its value at the usual size and of
/// the number of nodes in thousands.
struct Row {
    name: &'static str,
    unit: &'static str,
    value: fn(&Figures) -> f64,
    limit: fn(f64, f64) -> f64,
}

const ROWS: [Row; 6] = [
    Row {
        name: "processor",
        unit: "s",
        value: |figures| figures.processor.as_secs_f64(),
        limit: |usual, thousands| 1.4 * usual + 0.02 + 0.03 * thousands,
    },
    Row {
        name: "memory",
        unit: "MB",
        value: |figures| figures.memory as f64 / MEGABYTE,
        limit: |usual, thousands| 1.5 * usual + 8.0 + 4.0 * thousands,
    },
    Row {
        name: "descriptors",
        unit: "descriptors",
        value: |figures| figures.descriptors as f64,
        limit: |usual, _| 2.0 * usual + 40.0,
    },
    Row {
        name: "connections made to nodes",
        unit: "connections",
        value: |figures| figures.node_connections as f64,
        limit: |usual, _| 2.5 * usual + 40.0,
    },
    Row {
        name: "bytes of lists",
        unit: "KB",
        value: |figures| figures.list_bytes as f64 / 1024.0,
        limit: |usual, thousands| 2.0 * usual + 64.0 + 500.0 * thousands,
    },
    // The share not served instead of the share served, so that less is better as in the other rows.
    Row {
        name: "share not served",
        unit: "part",
        value: |figures| 1.0 - figures.served as f64 / figures.requests.max(1) as f64,
        limit: |usual, _| 1.0 - 0.85 * (1.0 - usual),
    },
];

fn scenes() -> Vec<Scene> {
    let replace = |share, steps, pause| Fault::Replace { share, steps, pause };
    let scene = |name, faults: Vec<(u64, Fault)>| {
        let faults = faults.into_iter().map(|(at, fault)| (ms(at), fault)).collect();
        Scene { name, faults }
    };
    vec![
        scene("rest", vec![]),
        scene("whole lists", (1..8).map(|time| (time * 400, Fault::WholeList)).collect()),
        scene("a third drains at once", vec![(800, replace(1.0 / 3.0, 1, ms(0)))]),
        scene("a quarter is replaced in steps", vec![(500, replace(0.25, 6, ms(300)))]),
        scene(
            "discovery is down over a release",
            vec![(500, replace(0.25, 3, ms(400))), (700, Fault::Silence { lasts: ms(2_000) })],
        ),
        scene("half of the nodes come back cold", vec![(300, replace(0.5, 1, ms(0)))]),
    ]
}

/// All figures of the part. Each scene also has a row for the initiator's start.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let mut figures = Vec::new();
    for scene in scenes() {
        let day = scale.pick(DAY_SHORT, DAY);
        let play = |nodes: &usize| {
            let plan = Plan::of_size(scale.seed, *nodes, scene.faults.clone(), day);
            rig::play(&plan).map(|outcome| outcome.figures)
        };
        let figures_by_size: Vec<Figures> = SIZES.iter().map(play).collect::<Result<_, _>>()?;
        for (nodes, measured) in SIZES.iter().zip(&figures_by_size).skip(1) {
            figures.extend(ROWS.iter().map(|row| figure(&scene, row, *nodes, &figures_by_size[0], measured)));
            figures.push(start_figure(&scene, *nodes, measured));
        }
    }
    Ok(figures)
}

fn figure(scene: &Scene, row: &Row, nodes: usize, usual: &Figures, measured: &Figures) -> Figure {
    let (usual, value) = ((row.value)(usual), (row.value)(measured));
    let limit = (row.limit)(usual, nodes as f64 / 1_000.0);
    let name = format!("fleet, {}: {} at {nodes} nodes", scene.name, row.name);
    let note = format!("{usual:.3} at {} nodes", SIZES[0]);
    let mut figure = Figure::worked_out(&name, Role::Initiator, row.unit, value, &note).with_budget(limit);
    figure.how = super::super::figure::How::Measured;
    figure
}

/// The operators require that an initiator is ready within ten seconds.
fn start_figure(scene: &Scene, nodes: usize, measured: &Figures) -> Figure {
    let name = format!("fleet, {}: from its start to clients let in at {nodes} nodes", scene.name);
    let value = measured.started_within.as_secs_f64();
    let mut figure =
        Figure::worked_out(&name, Role::Initiator, "s", value, "with a known list").with_budget(10.0);
    figure.how = super::super::figure::How::Measured;
    figure
}

//! An idle fleet: measures what the control plane costs an initiator, hollow and real, in traffic, processor and
//! memory.

use super::Scene;
use crate::hollow::processes::Real;
use crate::hollow::rig::{Rig, HOLLOW_ASIDE, REAL_ASIDE};
use crate::hollow::switch::Traffic;
use crate::load::processor_time;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use topazpath::process::resident_memory;

/// Budgets of an initiator's control plane: share of a core, memory in megabytes, bytes per second.
const PROCESSOR_BUDGET: f64 = 0.032;
const MEMORY_BUDGET_MB: f64 = 256.0;
const BYTES_BUDGET: f64 = 2048.0;
const MEGABYTE: f64 = 1048576.0;

/// Totals since the start of the run.
#[derive(Clone, Default)]
struct Sums {
    /// Processor time in seconds of each worker; below it of each real initiator and of each planner.
    workers: Vec<f64>,
    real: Vec<f64>,
    planners: Vec<f64>,
    /// Bytes sent and received by each fleet port; below it by each traffic group to planners and to discovery.
    fleet: Vec<(u64, u64)>,
    to_planners: Vec<(u64, u64)>,
    to_discovery: Vec<(u64, u64)>,
    calls: u64,
}

fn byte_totals(traffic: &[Traffic]) -> Vec<(u64, u64)> {
    let of = |it: &Traffic| (it.sent.load(Ordering::Relaxed), it.received.load(Ordering::Relaxed));
    traffic.iter().map(of).collect()
}

fn sums(rig: &mut Rig) -> Sums {
    let used = |process: u32| processor_time(process).as_secs_f64();
    Sums {
        workers: rig.workers.iter().map(|worker| used(worker.process.id())).collect(),
        real: rig.real.iter_mut().filter_map(Real::process).map(|it| used(it.id())).collect(),
        planners: rig.planners.running().map(|it| used(it.id())).collect(),
        fleet: byte_totals(&rig.switch.traffic),
        to_planners: byte_totals(&rig.relay.traffic),
        to_discovery: byte_totals(&rig.discovery.traffic),
        calls: rig.discovery.calls(),
    }
}

/// Bytes per second, sent and received, summed over some counters.
fn rate(before: &[(u64, u64)], after: &[(u64, u64)], which: &[usize], seconds: f64) -> (f64, f64) {
    let mut sum = (0, 0);
    for at in which {
        sum.0 += after[*at].0 - before[*at].0;
        sum.1 += after[*at].1 - before[*at].1;
    }
    (sum.0 as f64 / seconds, sum.1 as f64 / seconds)
}

/// Mean bytes per second of some initiators: fleet, planners, discovery and total.
fn bytes(before: &Sums, after: &Sums, ports: &[usize], groups: &[usize], seconds: f64) -> Value {
    let per_initiator = |(sent, received): (f64, f64)| {
        let count = ports.len() as f64;
        (sent / count, received / count)
    };
    let fleet = per_initiator(rate(&before.fleet, &after.fleet, ports, seconds));
    let planners = per_initiator(rate(&before.to_planners, &after.to_planners, groups, seconds));
    let discovery = per_initiator(rate(&before.to_discovery, &after.to_discovery, groups, seconds));
    let sent = fleet.0 + planners.0 + discovery.0;
    let received = fleet.1 + planners.1 + discovery.1;
    let pair = |(sent, received): (f64, f64)| json!({ "sent": sent, "received": received });
    json!({
        "fleet": pair(fleet), "planners": pair(planners), "discovery": pair(discovery),
        "sent": sent, "received": received, "both_ways": sent + received,
    })
}

/// Bytes per second of one kind of traffic, both directions summed.
fn bytes_of(traffic: &Value, kind: &str) -> f64 {
    let of = |direction: &str| traffic[kind][direction].as_f64().unwrap_or(0.0);
    of("sent") + of("received")
}

/// Leaves the fleet idle and compares the resources used with the budgets.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let before = sums(rig);
    let start = Instant::now();
    rig.wait(Duration::from_secs(rig.sizes.rest_s))?;
    let seconds = start.elapsed().as_secs_f64();
    let after = sums(rig);
    let used_share = |before: &[f64], after: &[f64]| -> Vec<f64> {
        after.iter().zip(before).map(|(after, before)| (after - before) / seconds).collect()
    };
    let workers = used_share(&before.workers, &after.workers);
    let (real, planners) =
        (used_share(&before.real, &after.real), used_share(&before.planners, &after.planners));
    let hollow = rig.sizes.hollow();
    let mean_hollow_share = workers.iter().sum::<f64>() / hollow as f64;
    // All groups of initiators: the regions and the two that are counted apart.
    let all: Vec<usize> = (0..rig.sizes.initiators).collect();
    let groups: Vec<usize> = (0..=REAL_ASIDE).collect();
    let traffic = bytes(&before, &after, &all, &groups, seconds);
    let aside = rig.sizes.aside();
    let of_hollow = bytes(&before, &after, &[0], &[HOLLOW_ASIDE], seconds);
    let of_real = bytes(&before, &after, &[aside], &[REAL_ASIDE], seconds);
    let memory = |process: u32| resident_memory(process).unwrap_or(0) as f64 / MEGABYTE;
    let in_workers: f64 = rig
        .workers
        .iter()
        .map(|worker| memory(worker.process.id()) - worker.empty_bytes as f64 / MEGABYTE)
        .sum();
    let hollow_mb = in_workers / hollow as f64;
    let memories: Vec<f64> =
        rig.real.iter_mut().filter_map(Real::process).map(|it| memory(it.id())).collect();
    let planner_mb: Vec<f64> = rig.planners.running().map(|it| memory(it.id())).collect();
    let (real_mb, real_share) =
        (memories.last().copied().unwrap_or(0.0), real.last().copied().unwrap_or(0.0));
    let hollow_aside_mb = memory(rig.workers[0].process.id());
    let ratio = |real: f64, hollow: f64| if hollow > 0.0 { json!(real / hollow) } else { Value::Null };
    let total = |traffic: &Value| traffic["both_ways"].as_f64().unwrap_or(f64::MAX);
    let holds =
        real_share <= PROCESSOR_BUDGET && real_mb <= MEMORY_BUDGET_MB && total(&traffic) <= BYTES_BUDGET;
    let mut scene = Scene::new("rest", seconds, None, holds);
    let serving = &real[..real.len().saturating_sub(1)];
    scene.add_figure(
        "budgets",
        json!({ "processor_part": PROCESSOR_BUDGET, "memory_mb": MEMORY_BUDGET_MB, "bytes_a_second": BYTES_BUDGET }),
    );
    scene.add_figure("processor_part_hollow", json!(mean_hollow_share));
    scene.add_figure("processor_part_real_aside", json!(real_share));
    scene.add_figure("processor_part_hollow_aside", json!(workers[0]));
    scene
        .add_figure("processor_part_real_serving", json!(serving.iter().sum::<f64>() / serving.len() as f64));
    scene.add_figure("processor_part_planners", json!(planners));
    scene.add_figure("bytes_a_second", traffic);
    scene.add_figure("memory_mb_hollow", json!(hollow_mb));
    scene.add_figure("memory_mb_real", json!(memories));
    scene.add_figure("memory_mb_planners", json!(planner_mb));
    scene.add_figure("discovery_calls_a_second", json!((after.calls - before.calls) as f64 / seconds));
    scene.add_figure("volumes_each", json!(rig.sizes.volumes.0));
    scene.add_figure(
        "real_over_hollow",
        json!({
            "processor": ratio(real_share, workers[0]),
            "bytes": ratio(total(&of_real), total(&of_hollow)),
            "bytes_planners": ratio(bytes_of(&of_real, "planners"), bytes_of(&of_hollow, "planners")),
            "bytes_discovery": ratio(bytes_of(&of_real, "discovery"), bytes_of(&of_hollow, "discovery")),
            "memory": ratio(real_mb, hollow_aside_mb),
            "real_bytes": of_real, "hollow_bytes": of_hollow,
            "real_memory_mb": real_mb, "hollow_process_memory_mb": hollow_aside_mb,
        }),
    );
    Ok(scene)
}

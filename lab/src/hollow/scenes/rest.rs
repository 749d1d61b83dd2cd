//! Nothing happens: what control costs an initiator, hollow and real, at the sockets and in the processes.

use super::Scene;
use crate::hollow::processes::Real;
use crate::hollow::rig::{Rig, HOLLOW_ASIDE, REAL_ASIDE};
use crate::hollow::switch::Counted;
use crate::load::processor;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use topazpath::process::resident_memory;

/// What an initiator may spend on control: part of a core, memory in megabytes, bytes a second.
const PROCESSOR: f64 = 0.032;
const MEMORY_MB: f64 = 256.0;
const BYTES: f64 = 2048.0;
const MEGABYTE: f64 = 1048576.0;

/// Sums since the start of the run.
#[derive(Clone, Default)]
struct Sums {
    /// Of each worker, of each real initiator and of each planner, in seconds.
    workers: Vec<f64>,
    real: Vec<f64>,
    planners: Vec<f64>,
    /// Bytes sent and received: of fleet ports, and of groups to planners and to discovery.
    fleet: Vec<(u64, u64)>,
    to_planners: Vec<(u64, u64)>,
    to_discovery: Vec<(u64, u64)>,
    calls: u64,
}

fn both(counted: &[Counted]) -> Vec<(u64, u64)> {
    let of = |it: &Counted| (it.sent.load(Ordering::Relaxed), it.received.load(Ordering::Relaxed));
    counted.iter().map(of).collect()
}

fn sums(rig: &mut Rig) -> Sums {
    let used = |process: u32| processor(process).as_secs_f64();
    Sums {
        workers: rig.workers.iter().map(|worker| used(worker.process.id())).collect(),
        real: rig.real.iter_mut().filter_map(Real::process).map(|it| used(it.id())).collect(),
        planners: rig.planners.running().map(|it| used(it.id())).collect(),
        fleet: both(&rig.switch.counted),
        to_planners: both(&rig.relay.counted),
        to_discovery: both(&rig.registry.counted),
        calls: rig.registry.calls(),
    }
}

/// Bytes a second, sent and received, of some counters together.
fn rate(before: &[(u64, u64)], after: &[(u64, u64)], which: &[usize], seconds: f64) -> (f64, f64) {
    let mut sum = (0, 0);
    for at in which {
        sum.0 += after[*at].0 - before[*at].0;
        sum.1 += after[*at].1 - before[*at].1;
    }
    (sum.0 as f64 / seconds, sum.1 as f64 / seconds)
}

/// Bytes a second of some initiators: fleet, planners, discovery, all.
fn bytes(before: &Sums, after: &Sums, ports: &[usize], groups: &[usize], seconds: f64) -> Value {
    let each = |(sent, received): (f64, f64)| {
        let count = ports.len() as f64;
        (sent / count, received / count)
    };
    let fleet = each(rate(&before.fleet, &after.fleet, ports, seconds));
    let planners = each(rate(&before.to_planners, &after.to_planners, groups, seconds));
    let discovery = each(rate(&before.to_discovery, &after.to_discovery, groups, seconds));
    let sent = fleet.0 + planners.0 + discovery.0;
    let received = fleet.1 + planners.1 + discovery.1;
    let pair = |(sent, received): (f64, f64)| json!({ "sent": sent, "received": received });
    json!({
        "fleet": pair(fleet), "planners": pair(planners), "discovery": pair(discovery),
        "sent": sent, "received": received, "both_ways": sent + received,
    })
}

/// Bytes a second both ways of one kind.
fn part_of(traffic: &Value, kind: &str) -> f64 {
    let of = |way: &str| traffic[kind][way].as_f64().unwrap_or(0.0);
    of("sent") + of("received")
}

/// Rests, and sets what was used against the budgets.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let before = sums(rig);
    let start = Instant::now();
    rig.rest(Duration::from_secs(rig.sizes.rest_s))?;
    let seconds = start.elapsed().as_secs_f64();
    let after = sums(rig);
    let part = |before: &[f64], after: &[f64]| -> Vec<f64> {
        after.iter().zip(before).map(|(after, before)| (after - before) / seconds).collect()
    };
    let workers = part(&before.workers, &after.workers);
    let (real, planners) = (part(&before.real, &after.real), part(&before.planners, &after.planners));
    let hollow = rig.sizes.hollow();
    let each = workers.iter().sum::<f64>() / hollow as f64;
    // The others' groups are all but those that are counted apart.
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
    let (real_mb, real_part) = (memories.last().copied().unwrap_or(0.0), real.last().copied().unwrap_or(0.0));
    let hollow_aside_mb = memory(rig.workers[0].process.id());
    let ratio = |real: f64, hollow: f64| if hollow > 0.0 { json!(real / hollow) } else { Value::Null };
    let total = |traffic: &Value| traffic["both_ways"].as_f64().unwrap_or(f64::MAX);
    let holds = real_part <= PROCESSOR && real_mb <= MEMORY_MB && total(&traffic) <= BYTES;
    let mut scene = Scene::new("rest", seconds, None, holds);
    let serving = &real[..real.len().saturating_sub(1)];
    scene.tell(
        "budgets",
        json!({ "processor_part": PROCESSOR, "memory_mb": MEMORY_MB, "bytes_a_second": BYTES }),
    );
    scene.tell("processor_part_hollow", json!(each));
    scene.tell("processor_part_real_aside", json!(real_part));
    scene.tell("processor_part_hollow_aside", json!(workers[0]));
    scene.tell("processor_part_real_serving", json!(serving.iter().sum::<f64>() / serving.len() as f64));
    scene.tell("processor_part_planners", json!(planners));
    scene.tell("bytes_a_second", traffic);
    scene.tell("memory_mb_hollow", json!(hollow_mb));
    scene.tell("memory_mb_real", json!(memories));
    scene.tell("memory_mb_planners", json!(planner_mb));
    scene.tell("discovery_calls_a_second", json!((after.calls - before.calls) as f64 / seconds));
    scene.tell("volumes_each", json!(rig.sizes.volumes.0));
    scene.tell(
        "real_over_hollow",
        json!({
            "processor": ratio(real_part, workers[0]),
            "bytes": ratio(total(&of_real), total(&of_hollow)),
            "bytes_planners": ratio(part_of(&of_real, "planners"), part_of(&of_hollow, "planners")),
            "bytes_discovery": ratio(part_of(&of_real, "discovery"), part_of(&of_hollow, "discovery")),
            "memory": ratio(real_mb, hollow_aside_mb),
            "real_bytes": of_real, "hollow_bytes": of_hollow,
            "real_memory_mb": real_mb, "hollow_process_memory_mb": hollow_aside_mb,
        }),
    );
    Ok(scene)
}

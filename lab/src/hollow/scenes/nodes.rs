//! A tenth of the nodes leaves the list at once and returns in slow start. Measures the time until all initiators have
//! received both changes, and whether the load on the returned nodes stays within the slow-start limit.

use super::{max, slow_start_load, spread, Scene, SlowStartLoad};
use crate::hollow::files::{slow_start_units, SLOW_START};
use crate::hollow::registry::{now_ms, Entry};
use crate::hollow::rig::Rig;
use serde_json::json;
use std::time::{Duration, Instant};

/// Budget in seconds; the same as for a change of primary.
const BUDGET_S: f64 = 12.0;
const TIMEOUT: Duration = Duration::from_secs(40);
const ABSENCE: Duration = Duration::from_secs(3);

/// Removes the nodes from the list and adds them again.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let count = rig.sizes.nodes / 10;
    // Two nodes that clients use, and many that are only listed.
    let used = [1, 2];
    let first = rig.sizes.alive as u32;
    let is_victim = |entry: &Entry| {
        used.contains(&entry.shard) || (first..first + count as u32 - 2).contains(&entry.shard)
    };
    let victims: Vec<Entry> = rig
        .discovery
        .entries()
        .into_iter()
        .filter(|entry| entry.status == "active" && is_victim(entry))
        .collect();
    let removal =
        rig.publish(victims.iter().map(|entry| Entry { status: "left", ..entry.clone() }).collect());
    let removal_times = rig.wait_until_received(removal, TIMEOUT)?;
    rig.wait(ABSENCE)?;
    let start = Instant::now();
    let since_ms = now_ms();
    let addition = rig.publish(victims.iter().map(|entry| Entry { since_ms, ..entry.clone() }).collect());
    let addition_times = rig.wait_until_received(addition, TIMEOUT)?;
    rig.wait(if rig.sizes.short { Duration::from_secs(6) } else { SLOW_START })?;
    let loads: Vec<SlowStartLoad> =
        used.iter().map(|node| slow_start_load(rig, *node as usize, start)).collect();
    let hollow = rig.sizes.hollow();
    let all_received = removal_times.len() == hollow && addition_times.len() == hollow;
    let seconds = max(&removal_times).max(max(&addition_times));
    let within_limit = loads.iter().all(|load| load.units > 0.0 && load.is_within_limit());
    let mut scene =
        Scene::new("nodes", seconds, Some(BUDGET_S), all_received && seconds <= BUDGET_S && within_limit);
    scene.add_figure("gone", json!(victims.len()));
    scene.add_figure("gone_told_s", spread(&removal_times));
    scene.add_figure("back_told_s", spread(&addition_times));
    scene.add_figure("cold_loads", json!(loads));
    scene.add_figure("cold_units_serving", json!(slow_start_units(rig.sizes.serving().len())));
    Ok(scene)
}

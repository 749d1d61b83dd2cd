//! A shard's node drains and a new node, in slow start, takes its place. Measures the time until all initiators know
//! and use it, and whether the load on it stays within the slow-start limit.

use super::{max, slow_start_load, spread, Scene};
use crate::hollow::files::{slow_start_units, DRAIN_GRACE, SLOW_START};
use crate::hollow::processes::wait_until;
use crate::hollow::registry::{now_ms, Entry};
use crate::hollow::rig::Rig;
use crate::sync::lock;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The operators' budget in seconds.
const BUDGET_S: f64 = 12.0;
/// How much longer to wait for late initiators after the drain.
const EXTRA_WAIT: Duration = Duration::from_secs(40);

/// Moves the first shard to the spare node.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let entries = rig.discovery.entries();
    let old = entries.iter().find(|entry| entry.shard == 0 && entry.status == "active").cloned();
    let old = old.ok_or("no active node serves the first shard")?;
    let spare = rig.sizes.alive;
    let new = Entry { name: "n-new".into(), address: rig.alive[spare], since_ms: now_ms(), ..old.clone() };
    let start = Instant::now();
    let version = rig.publish(vec![Entry { status: "leaving", ..old.clone() }, new]);
    let times = rig.wait_until_received(version, DRAIN_GRACE)?;
    rig.wait(DRAIN_GRACE.saturating_sub(start.elapsed()))?;
    rig.publish(vec![Entry { status: "left", ..old }]);
    let serving = rig.sizes.serving().len();
    wait_until(EXTRA_WAIT, Duration::from_millis(50), || {
        Ok(users(rig, spare, start).len() >= serving && rig.received(version)?.len() >= rig.sizes.hollow())
    })?;
    let times = if times.len() < rig.sizes.hollow() { rig.received(version)? } else { times };
    let used: Vec<f64> = users(rig, spare, start).into_values().collect();
    // Measures the whole slow start; the short variant takes only its beginning, when the limit is lowest.
    rig.wait(if rig.sizes.short { Duration::ZERO } else { SLOW_START.saturating_sub(start.elapsed()) })?;
    let load = slow_start_load(rig, spare, start);
    let seconds = max(&times).max(max(&used));
    let all_switched = times.len() == rig.sizes.hollow() && used.len() == serving;
    let mut scene = Scene::new(
        "primary",
        seconds,
        Some(BUDGET_S),
        all_switched && seconds <= BUDGET_S && load.is_within_limit(),
    );
    scene.add_figure("told_s", spread(&times));
    scene.add_figure("used_s", spread(&used));
    scene.add_figure("cold_load", json!(load));
    scene.add_figure("cold_units_serving", json!(slow_start_units(serving)));
    scene.add_figure("cold_units_fleet", json!(slow_start_units(rig.sizes.initiators)));
    Ok(scene)
}

/// Real initiators whose requests reached a node since a moment, with the seconds until the first request.
fn users(rig: &Rig, node: usize, since: Instant) -> BTreeMap<usize, f64> {
    let mut users = BTreeMap::new();
    for attempt in lock(&rig.attempts).iter().filter(|it| it.node == node && it.at >= since) {
        if let Some(who) = rig.sender(&attempt.request_id) {
            users.entry(who).or_insert((attempt.at - since).as_secs_f64());
        }
    }
    users
}

//! A shard's node drains and another takes its place, cold: until all know and use it, and whether what they send it stays
//! within what it bears.

use super::{cold_load, most, spread, Scene};
use crate::hollow::files::{cold_units, COLD, GRACE};
use crate::hollow::processes::until;
use crate::hollow::registry::{now_ms, Line};
use crate::hollow::rig::Rig;
use crate::sync::lock;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The operators' budget.
const BUDGET: f64 = 12.0;
/// How much longer is waited for those that take longer.
const PATIENCE: Duration = Duration::from_secs(40);

/// Moves the first shard.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let lines = rig.registry.lines();
    let old = lines.iter().find(|line| line.shard == 0 && line.status == "active").cloned();
    let old = old.ok_or("no node holds the first shard")?;
    let spare = rig.sizes.alive;
    let new = Line { name: "n-new".into(), address: rig.alive[spare], since_ms: now_ms(), ..old.clone() };
    let start = Instant::now();
    let version = rig.tell(vec![Line { status: "leaving", ..old.clone() }, new]);
    let times = rig.until_told(version, GRACE)?;
    rig.rest(GRACE.saturating_sub(start.elapsed()))?;
    rig.tell(vec![Line { status: "left", ..old }]);
    let serving = rig.sizes.serving().len();
    until(PATIENCE, Duration::from_millis(50), || {
        Ok(users(rig, spare, start).len() >= serving && rig.told(version)?.len() >= rig.sizes.hollow())
    })?;
    let times = if times.len() < rig.sizes.hollow() { rig.told(version)? } else { times };
    let used: Vec<f64> = users(rig, spare, start).into_values().collect();
    // Cold for longer than this, it bears more.
    rig.rest(if rig.sizes.short { Duration::ZERO } else { COLD.saturating_sub(start.elapsed()) })?;
    let load = cold_load(rig, spare, start);
    let seconds = most(&times).max(most(&used));
    let all = times.len() == rig.sizes.hollow() && used.len() == serving;
    let mut scene = Scene::new("primary", seconds, Some(BUDGET), all && seconds <= BUDGET && load.is_borne());
    scene.tell("told_s", spread(&times));
    scene.tell("used_s", spread(&used));
    scene.tell("cold_load", json!(load));
    scene.tell("cold_units_serving", json!(cold_units(serving)));
    scene.tell("cold_units_fleet", json!(cold_units(rig.sizes.initiators)));
    Ok(scene)
}

/// Real initiators that a node has served since a moment, with the seconds until the first request.
fn users(rig: &Rig, node: usize, since: Instant) -> BTreeMap<usize, f64> {
    let mut users = BTreeMap::new();
    for attempt in lock(&rig.attempts).iter().filter(|it| it.node == node && it.at >= since) {
        if let Some(who) = rig.sender(&attempt.request_id) {
            users.entry(who).or_insert((attempt.at - since).as_secs_f64());
        }
    }
    users
}

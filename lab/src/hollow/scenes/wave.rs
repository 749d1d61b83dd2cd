//! A tenth of the initiators is killed at once and comes back: until all are in the members' view and have the list.

use super::Scene;
use crate::hollow::rig::Rig;
use serde_json::json;
use std::time::{Duration, Instant};

/// How long they are away.
const AWAY: Duration = Duration::from_secs(3);
/// How long the fleet may take.
const PATIENCE: Duration = Duration::from_secs(180);

/// A tenth of the initiators, real ones among them.
pub fn victims(rig: &Rig) -> Vec<usize> {
    let count = rig.sizes.initiators / 10;
    let real = (rig.sizes.serving().len() / 10).max(1);
    // The first four are the seeds and the one that is measured alone.
    let hollow = 4..4 + count.saturating_sub(real);
    hollow.chain(rig.sizes.serving().take(real)).collect()
}

/// Kills and starts them again.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let victims = victims(rig);
    let real = victims.iter().filter(|who| **who >= rig.sizes.hollow()).count();
    let before = rig.registry.calls();
    let start = Instant::now();
    rig.kill(&victims)?;
    rig.rest(AWAY)?;
    let back = Instant::now();
    rig.start_again(&victims)?;
    let whole = rig.whole(PATIENCE)?;
    let why = if whole.is_none() { rig.why_not("the fleet was not one again") } else { String::new() };
    let seconds = back.elapsed().as_secs_f64();
    let mut scene = Scene::new("wave", seconds, None, whole.is_some());
    scene.tell("killed", json!(victims.len()));
    scene.tell("killed_real", json!(real));
    scene.tell("away_s", json!((back - start).as_secs_f64()));
    let calls = rig.registry.calls() - before;
    scene.tell("discovery_calls_a_second", json!(calls as f64 / start.elapsed().as_secs_f64()));
    if !why.is_empty() {
        scene.tell("why", json!(why));
    }
    Ok(scene)
}

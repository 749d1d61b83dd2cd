//! A tenth of the initiators is killed at once and restarted. Measures the time until all are in one view and have the
//! node list.

use super::Scene;
use crate::hollow::rig::Rig;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time between kill and restart.
const DOWNTIME: Duration = Duration::from_secs(3);
/// How long the fleet may take to recover.
const TIMEOUT: Duration = Duration::from_secs(180);

/// Numbers of a tenth of the initiators, including real ones.
pub fn victims(rig: &Rig) -> Vec<usize> {
    let count = rig.sizes.initiators / 10;
    let real = (rig.sizes.serving().len() / 10).max(1);
    // The first four are the one that is measured alone and the three seeds.
    let hollow = 4..4 + count.saturating_sub(real);
    hollow.chain(rig.sizes.serving().take(real)).collect()
}

/// Kills and restarts them.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let victims = victims(rig);
    let real = victims.iter().filter(|who| **who >= rig.sizes.hollow()).count();
    let before = rig.discovery.calls();
    let start = Instant::now();
    rig.kill(&victims)?;
    rig.wait(DOWNTIME)?;
    let restarted = Instant::now();
    rig.start_initiators(&victims)?;
    let one_view = rig.wait_for_one_view(TIMEOUT)?;
    let states = if one_view.is_none() {
        rig.describe_states("the fleet did not return to one view")
    } else {
        String::new()
    };
    let seconds = restarted.elapsed().as_secs_f64();
    let mut scene = Scene::new("wave", seconds, None, one_view.is_some());
    scene.add_figure("killed", json!(victims.len()));
    scene.add_figure("killed_real", json!(real));
    scene.add_figure("away_s", json!((restarted - start).as_secs_f64()));
    let calls = rig.discovery.calls() - before;
    scene.add_figure("discovery_calls_a_second", json!(calls as f64 / start.elapsed().as_secs_f64()));
    if !states.is_empty() {
        scene.add_figure("why", json!(states));
    }
    Ok(scene)
}

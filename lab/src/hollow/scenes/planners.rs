//! One planner is killed, then a second, then both restart. Measures the modes of the initiators' partitions meanwhile,
//! and the time until all are planned again.

use super::Scene;
use crate::hollow::rig::Rig;
use crate::hollow::REGIONS;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// How long all partitions must stay planned to count as planned again.
const STABLE_FOR: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Observations after a change.
struct Recovery {
    /// Seconds until all partitions of all initiators were planned again; `None` if they never were.
    seconds: Option<f64>,
    /// Maximum number of partitions, over all initiators, that were stale at the same time; below it the same for safe.
    stale: usize,
    safe: usize,
}

impl Recovery {
    fn json(&self) -> Value {
        json!({ "planned_again_s": self.seconds, "most_stale": self.stale, "most_safe": self.safe })
    }
}

fn wait_for_recovery(rig: &mut Rig) -> Result<Recovery, String> {
    let (start, mut last) = (Instant::now(), Duration::ZERO);
    let mut recovery = Recovery { seconds: None, stale: 0, safe: 0 };
    while start.elapsed() < TIMEOUT {
        let all = rig.states()?;
        let now = start.elapsed();
        recovery.stale = recovery.stale.max(all.iter().map(|it| it.stale).sum());
        recovery.safe = recovery.safe.max(all.iter().map(|it| it.safe).sum());
        let planned = all.len() == rig.sizes.initiators && all.iter().all(|it| it.planned == REGIONS);
        if !planned {
            last = now;
        } else if now - last >= STABLE_FOR {
            recovery.seconds = Some(last.as_secs_f64());
            break;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(recovery)
}

/// Kills and restarts the planners.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let start = Instant::now();
    rig.planners.kill(0);
    let one = wait_for_recovery(rig)?;
    rig.planners.kill(1);
    let two = wait_for_recovery(rig)?;
    rig.planners.start(0)?;
    rig.planners.start(1)?;
    let back = wait_for_recovery(rig)?;
    let all = [&one, &two, &back];
    let holds = all.iter().all(|it| it.seconds.is_some());
    let mut scene = Scene::new("planners", start.elapsed().as_secs_f64(), None, holds);
    scene.add_figure("one_killed", one.json());
    scene.add_figure("two_killed", two.json());
    scene.add_figure("both_back", back.json());
    scene.add_figure("partitions", json!(rig.sizes.initiators * REGIONS));
    Ok(scene)
}

//! One planner is killed, then a second, then both come back: how initiators' partitions stand meanwhile, and until all
//! are planned again.

use super::Scene;
use crate::hollow::rig::Rig;
use crate::hollow::REGIONS;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// All planned for so long counts as planned again.
const CALM: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(100);

/// What was seen after a change.
struct Settled {
    /// Seconds until the last partition of the last initiator was planned again; none if that never came.
    seconds: Option<f64>,
    /// Partitions over all initiators that were at most stale and safe at once.
    stale: usize,
    safe: usize,
}

impl Settled {
    fn json(&self) -> Value {
        json!({ "planned_again_s": self.seconds, "most_stale": self.stale, "most_safe": self.safe })
    }
}

fn settle(rig: &mut Rig) -> Result<Settled, String> {
    let (start, mut last) = (Instant::now(), Duration::ZERO);
    let mut settled = Settled { seconds: None, stale: 0, safe: 0 };
    while start.elapsed() < PATIENCE {
        let all = rig.standings()?;
        let now = start.elapsed();
        settled.stale = settled.stale.max(all.iter().map(|it| it.stale).sum());
        settled.safe = settled.safe.max(all.iter().map(|it| it.safe).sum());
        let planned = all.len() == rig.sizes.initiators && all.iter().all(|it| it.planned == REGIONS);
        if !planned {
            last = now;
        } else if now - last >= CALM {
            settled.seconds = Some(last.as_secs_f64());
            break;
        }
        std::thread::sleep(LOOK);
    }
    Ok(settled)
}

/// Kills and starts them.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let start = Instant::now();
    rig.planners.kill(0);
    let one = settle(rig)?;
    rig.planners.kill(1);
    let two = settle(rig)?;
    rig.planners.start(0)?;
    rig.planners.start(1)?;
    let back = settle(rig)?;
    let all = [&one, &two, &back];
    let holds = all.iter().all(|it| it.seconds.is_some());
    let mut scene = Scene::new("planners", start.elapsed().as_secs_f64(), None, holds);
    scene.tell("one_killed", one.json());
    scene.tell("two_killed", two.json());
    scene.tell("both_back", back.json());
    scene.tell("partitions", json!(rig.sizes.initiators * REGIONS));
    Ok(scene)
}

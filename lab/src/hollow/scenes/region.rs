//! A region, a third of the initiators and one planner, is cut off from the other two and joined again: what both sides are
//! meanwhile, and until they are one.

use super::Scene;
use crate::hollow::messages::Standing;
use crate::hollow::rig::{region, Rig};
use crate::hollow::REGIONS;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The region that is cut off.
const CUT_OFF: usize = 2;
const PATIENCE: Duration = Duration::from_secs(180);
const LOOK: Duration = Duration::from_millis(200);
/// Initiators that are told one by one.
const MOST_TOLD: usize = 12;

/// Cuts and joins.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let cut = rig.cut.clone();
    cut.begin(CUT_OFF);
    let rested = rig.rest(Duration::from_secs(rig.sizes.cut_s));
    let during = rested.and_then(|()| rig.standings());
    // Also where a process was lost.
    cut.end();
    let during = during?;
    let joined = Instant::now();
    let whole = rig.whole(PATIENCE)?;
    let view_s = joined.elapsed().as_secs_f64();
    let planned = crate::hollow::processes::until(PATIENCE, LOOK, || {
        Ok(rig.standings()?.iter().all(|it| it.planned == REGIONS))
    })?;
    let seconds = joined.elapsed().as_secs_f64();
    let answered = during.len() == rig.sizes.initiators;
    let mut scene = Scene::new("region", seconds, None, answered && whole.is_some() && planned.is_some());
    let side = |off: bool| summary(during.iter().filter(|it| (region(it.who) == CUT_OFF) == off));
    scene.tell("cut_s", json!(rig.sizes.cut_s));
    scene.tell("at_its_end_cut_off", side(true));
    scene.tell("at_its_end_others", side(false));
    scene.tell("one_view_after_s", json!(whole.map(|_| view_s)));
    scene.tell("planned_after_s", json!(planned.map(|_| seconds)));
    if whole.is_none() {
        scene.tell("why", json!(rig.why_not("the fleet was not one again")));
    }
    if planned.is_none() {
        let all = rig.standings()?;
        let not_planned = all.iter().filter(|it| it.planned != REGIONS);
        let told = not_planned.map(|it| json!([it.who, it.planned, it.stale, it.safe]));
        scene.tell("not_planned", told.take(MOST_TOLD).collect());
        scene.tell("answering", json!(all.len()));
    }
    Ok(scene)
}

/// How many stand how.
fn summary<'a>(all: impl Iterator<Item = &'a Standing>) -> Value {
    let (mut quorate, mut count, mut views) = (0, 0, BTreeMap::<usize, usize>::new());
    let mut partitions = [0; 3];
    for it in all {
        count += 1;
        quorate += usize::from(it.quorate);
        *views.entry(it.members).or_default() += 1;
        for (sum, mode) in partitions.iter_mut().zip([it.planned, it.stale, it.safe]) {
            *sum += mode;
        }
    }
    let [planned, stale, safe] = partitions;
    json!({
        "initiators": count, "quorate": quorate, "initiators_by_members_seen": views,
        "partitions_planned": planned, "partitions_stale": stale, "partitions_safe": safe,
    })
}

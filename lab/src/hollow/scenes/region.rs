//! A region, a third of the initiators and one planner, is cut off from the other two and reconnected. Records the
//! state of both sides at the end of the cut, and measures the time until all share one view and are planned again.

use super::Scene;
use crate::hollow::messages::Standing;
use crate::hollow::rig::{region, Rig};
use crate::hollow::REGIONS;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The region that is cut off.
const CUT_REGION: usize = 2;
const TIMEOUT: Duration = Duration::from_secs(180);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of initiators listed one by one.
const MAX_LISTED: usize = 12;

/// Cuts the region off and reconnects it.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    let cut = rig.cut.clone();
    cut.begin(CUT_REGION);
    let waited = rig.wait(Duration::from_secs(rig.sizes.cut_s));
    let during = waited.and_then(|()| rig.states());
    // Reconnects even if a process was lost.
    cut.end();
    let during = during?;
    let joined = Instant::now();
    let one_view = rig.wait_for_one_view(TIMEOUT)?;
    let view_s = joined.elapsed().as_secs_f64();
    let planned = crate::hollow::processes::wait_until(TIMEOUT, POLL_INTERVAL, || {
        Ok(rig.states()?.iter().all(|it| it.planned == REGIONS))
    })?;
    let seconds = joined.elapsed().as_secs_f64();
    let answered = during.len() == rig.sizes.initiators;
    let mut scene = Scene::new("region", seconds, None, answered && one_view.is_some() && planned.is_some());
    let side = |cut_off: bool| summary(during.iter().filter(|it| (region(it.who) == CUT_REGION) == cut_off));
    scene.add_figure("cut_s", json!(rig.sizes.cut_s));
    scene.add_figure("at_its_end_cut_off", side(true));
    scene.add_figure("at_its_end_others", side(false));
    scene.add_figure("one_view_after_s", json!(one_view.map(|_| view_s)));
    scene.add_figure("planned_after_s", json!(planned.map(|_| seconds)));
    if one_view.is_none() {
        scene.add_figure("why", json!(rig.describe_states("the fleet did not return to one view")));
    }
    if planned.is_none() {
        let all = rig.states()?;
        let not_planned = all.iter().filter(|it| it.planned != REGIONS);
        let rows = not_planned.map(|it| json!([it.who, it.planned, it.stale, it.safe]));
        scene.add_figure("not_planned", rows.take(MAX_LISTED).collect());
        scene.add_figure("answering", json!(all.len()));
    }
    Ok(scene)
}

/// Counts of initiators and partitions by state.
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

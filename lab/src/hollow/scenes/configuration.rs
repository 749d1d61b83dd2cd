//! A series of configuration changes. Measures the time from submission until each is in force at every initiator that
//! wasn't killed; in a second variant initiators and a planner are killed and connections are closed meanwhile.

use super::wave::victims;
use super::{max, spread, Scene};
use crate::hollow::messages::unix_micros;
use crate::hollow::rig::{InForce, Rig};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Limits in seconds on the time from submission to in force everywhere: the operators' budget, and for the median.
const BUDGET_S: f64 = 9.0;
const MEDIAN_BUDGET_S: f64 = 1.0;
/// Number of changes, and the interval between them.
const CHANGES: usize = 10;
const CHANGE_INTERVAL: Duration = Duration::from_secs(6);
const CHANGE_INTERVAL_SHORT: Duration = Duration::from_secs(1);
/// Interval at which real initiators are asked for the revision in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long to wait for the last change.
const TIMEOUT: Duration = Duration::from_secs(30);
/// With faults: the changes before which initiators are killed and restarted, those before which a planner is, and how
/// many thousandths of the connections are closed before each change.
const KILL_INITIATORS_AT: usize = 2;
const RESTART_INITIATORS_AT: usize = 4;
const KILL_PLANNER_AT: usize = 5;
const RESTART_PLANNER_AT: usize = 7;
const CLOSED_THOUSANDTHS: u64 = 10;

/// An accepted revision.
struct Accepted {
    number: u64,
    hash: String,
    /// Times just before the submission and just after the command reported acceptance, in Unix microseconds.
    submitted: u64,
    accepted: u64,
}

/// Submits the changes without faults.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    run_changes(rig, "configuration", false)
}

/// Submits the changes under faults.
pub fn play_with_faults(rig: &mut Rig) -> Result<Scene, String> {
    run_changes(rig, "configuration-faults", true)
}

fn run_changes(rig: &mut Rig, name: &'static str, faults: bool) -> Result<Scene, String> {
    let interval = if rig.sizes.short { CHANGE_INTERVAL_SHORT } else { CHANGE_INTERVAL };
    let killed = if faults { victims(rig) } else { Vec::new() };
    let (mut accepted, mut not_accepted, mut observed) = (Vec::new(), Vec::new(), Vec::new());
    let start = Instant::now();
    for number in 0..CHANGES {
        if faults {
            inject_faults(rig, number, &killed)?;
        }
        let submitted = unix_micros();
        // A different value for each change of both scenes.
        let worth = 0.05 + 0.001 * number as f64 + if faults { 0.02 } else { 0.0 };
        match rig.planners.submit(&format!("[costs]\nidle_worth = {worth}\n")) {
            Ok((number, hash)) => {
                accepted.push(Accepted { number, hash, submitted, accepted: unix_micros() })
            }
            Err(error) => not_accepted.push(error),
        }
        collect_until(rig, start + interval * (number as u32 + 1), &mut observed)?;
    }
    let last = accepted.last().map_or(u64::MAX, |it| it.number);
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until && initiators_with(&observed, last).len() < rig.sizes.initiators {
        collect_until(rig, Instant::now() + POLL_INTERVAL, &mut observed)?;
    }
    let missing = rig.sizes.initiators - initiators_with(&observed, last).len();
    let undisturbed: BTreeSet<usize> =
        (0..rig.sizes.initiators).filter(|who| !killed.contains(who)).collect();
    let times: Vec<(f64, f64)> =
        accepted.iter().map(|it| in_force_everywhere(it, &observed, &undisturbed)).collect();
    let from_accepted: Vec<f64> = times.iter().map(|(_, from)| *from).collect();
    let from_submitted: Vec<f64> = times.iter().map(|(from, _)| *from).collect();
    let never_accepted = never_accepted(&accepted, &observed);
    let median = spread(&from_submitted)["p50"].as_f64().unwrap_or(f64::INFINITY);
    let seconds = max(&from_submitted);
    let all_in_force = accepted.len() == CHANGES && missing == 0 && never_accepted == 0;
    let mut scene = Scene::new(
        name,
        seconds,
        Some(BUDGET_S),
        all_in_force && seconds < BUDGET_S && median < MEDIAN_BUDGET_S,
    );
    scene.add_figure("accepted", json!(accepted.len()));
    scene.add_figure("not_accepted", json!(not_accepted));
    scene.add_figure("from_accepted_s", spread(&from_accepted));
    scene.add_figure("from_submitted_s", spread(&from_submitted));
    scene.add_figure("each_initiator_s", spread_per_initiator(&accepted, &observed, &undisturbed));
    scene.add_figure("missing_at_the_end", json!(missing));
    scene.add_figure("initiators_on_never_accepted", json!(never_accepted));
    scene.add_figure("killed_initiators", json!(killed.len()));
    Ok(scene)
}

fn inject_faults(rig: &mut Rig, number: usize, killed: &[usize]) -> Result<(), String> {
    rig.relay.close_connections(CLOSED_THOUSANDTHS);
    match number {
        KILL_INITIATORS_AT => rig.kill(killed),
        RESTART_INITIATORS_AT => rig.start_initiators(killed),
        KILL_PLANNER_AT => {
            rig.planners.kill(0);
            Ok(())
        }
        RESTART_PLANNER_AT => rig.planners.start(0),
        _ => Ok(()),
    }
}

fn collect_until(rig: &mut Rig, until: Instant, observed: &mut Vec<InForce>) -> Result<(), String> {
    loop {
        observed.extend(rig.revisions()?);
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        std::thread::sleep(left.min(POLL_INTERVAL));
    }
}

/// Initiators at which this revision or a later one came into force.
fn initiators_with(observed: &[InForce], number: u64) -> BTreeSet<usize> {
    observed.iter().filter(|it| it.number >= number).map(|it| it.who).collect()
}

/// When this revision or a later one was first observed in force at each initiator.
fn first_seen(accepted: &Accepted, observed: &[InForce]) -> BTreeMap<usize, u64> {
    let mut first = BTreeMap::new();
    for it in observed.iter().filter(|it| it.number >= accepted.number) {
        first.entry(it.who).and_modify(|at: &mut u64| *at = (*at).min(it.at)).or_insert(it.at);
    }
    first
}

/// Seconds from the submission and from the acceptance of a revision until it was in force at all initiators in `of`;
/// infinite if it never was.
fn in_force_everywhere(accepted: &Accepted, observed: &[InForce], of: &BTreeSet<usize>) -> (f64, f64) {
    let first = first_seen(accepted, observed);
    let last = of.iter().map(|who| first.get(who).copied()).try_fold(0, |last, at| Some(at?.max(last)));
    let after = |from: u64| last.map_or(f64::INFINITY, |last: u64| last.saturating_sub(from) as f64 / 1e6);
    (after(accepted.submitted), after(accepted.accepted))
}

/// Spread over all revisions and initiators of the seconds from submission to in force.
fn spread_per_initiator(accepted: &[Accepted], observed: &[InForce], of: &BTreeSet<usize>) -> Value {
    let mut times = Vec::new();
    for it in accepted {
        let first = first_seen(it, observed);
        let of = first.iter().filter(|(who, _)| of.contains(who));
        times.extend(of.map(|(_, at)| at.saturating_sub(it.submitted) as f64 / 1e6));
    }
    spread(&times)
}

/// Number of initiators observed with a content that was not accepted under its number in this scene.
fn never_accepted(accepted: &[Accepted], observed: &[InForce]) -> usize {
    let first = accepted.first().map_or(u64::MAX, |it| it.number);
    let known = |it: &&InForce| {
        // Revisions accepted before this scene can't be checked here.
        it.number < first
            || accepted.iter().any(|own| own.number == it.number && it.hash.starts_with(&own.hash))
    };
    observed.iter().filter(|it| !known(it)).map(|it| it.who).collect::<BTreeSet<_>>().len()
}

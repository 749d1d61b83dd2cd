//! Changes of configuration one after another: from their submission until each is in force at every initiator in reach,
//! undisturbed, or while initiators and a planner are killed and connections are cut.

use super::wave::victims;
use super::{most, spread, Scene};
use crate::hollow::messages::unix_micros;
use crate::hollow::rig::{InForce, Rig};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// From accepted to in force everywhere, in seconds: the operators' budget, and what is wanted at the median.
const BUDGET: f64 = 9.0;
const MEDIAN: f64 = 1.0;
/// How many, and from one to the next.
const CHANGES: usize = 10;
const PAUSE: Duration = Duration::from_secs(6);
const PAUSE_SHORT: Duration = Duration::from_secs(1);
/// How often real initiators are asked what is in force.
const LOOK: Duration = Duration::from_millis(50);
/// How long the last may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// With faults: after which changes initiators are killed and start again, after which a planner is, and how many
/// thousandths of the connections are cut after each change.
const INITIATORS_KILLED: usize = 2;
const INITIATORS_BACK: usize = 4;
const PLANNER_KILLED: usize = 5;
const PLANNER_BACK: usize = 7;
const CONNECTIONS_CUT: u64 = 10;

/// A revision that was accepted.
struct Accepted {
    number: u64,
    hash: String,
    /// Just before it was submitted and just after the command said that it was accepted, in Unix microseconds.
    submitted: u64,
    accepted: u64,
}

/// Submits them, undisturbed.
pub fn play(rig: &mut Rig) -> Result<Scene, String> {
    change(rig, "configuration", false)
}

/// Submits them under faults.
pub fn play_with_faults(rig: &mut Rig) -> Result<Scene, String> {
    change(rig, "configuration-faults", true)
}

fn change(rig: &mut Rig, name: &'static str, faults: bool) -> Result<Scene, String> {
    let pause = if rig.sizes.short { PAUSE_SHORT } else { PAUSE };
    let killed = if faults { victims(rig) } else { Vec::new() };
    let (mut accepted, mut refused, mut seen) = (Vec::new(), Vec::new(), Vec::new());
    let start = Instant::now();
    for number in 0..CHANGES {
        if faults {
            disturb(rig, number, &killed)?;
        }
        let submitted = unix_micros();
        // Another figure each time, over both of these scenes.
        let worth = 0.05 + 0.001 * number as f64 + if faults { 0.02 } else { 0.0 };
        match rig.planners.submit(&format!("[costs]\nidle_worth = {worth}\n")) {
            Ok((number, hash)) => {
                accepted.push(Accepted { number, hash, submitted, accepted: unix_micros() })
            }
            Err(why) => refused.push(why),
        }
        look(rig, start + pause * (number as u32 + 1), &mut seen)?;
    }
    let last = accepted.last().map_or(u64::MAX, |it| it.number);
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until && holding(&seen, last).len() < rig.sizes.initiators {
        look(rig, Instant::now() + LOOK, &mut seen)?;
    }
    let missing = rig.sizes.initiators - holding(&seen, last).len();
    let steady: BTreeSet<usize> = (0..rig.sizes.initiators).filter(|who| !killed.contains(who)).collect();
    let times: Vec<(f64, f64)> = accepted.iter().map(|it| in_force_everywhere(it, &seen, &steady)).collect();
    let from_accepted: Vec<f64> = times.iter().map(|(_, from)| *from).collect();
    let from_submitted: Vec<f64> = times.iter().map(|(from, _)| *from).collect();
    let never_accepted = never_accepted(&accepted, &seen);
    let median = spread(&from_submitted)["p50"].as_f64().unwrap_or(f64::INFINITY);
    let seconds = most(&from_submitted);
    let all = accepted.len() == CHANGES && missing == 0 && never_accepted == 0;
    let mut scene = Scene::new(name, seconds, Some(BUDGET), all && seconds < BUDGET && median < MEDIAN);
    scene.tell("accepted", json!(accepted.len()));
    scene.tell("not_accepted", json!(refused));
    scene.tell("from_accepted_s", spread(&from_accepted));
    scene.tell("from_submitted_s", spread(&from_submitted));
    scene.tell("each_initiator_s", each(&accepted, &seen, &steady));
    scene.tell("missing_at_the_end", json!(missing));
    scene.tell("initiators_on_never_accepted", json!(never_accepted));
    scene.tell("killed_initiators", json!(killed.len()));
    Ok(scene)
}

fn disturb(rig: &mut Rig, number: usize, killed: &[usize]) -> Result<(), String> {
    rig.relay.cut_connections(CONNECTIONS_CUT);
    match number {
        INITIATORS_KILLED => rig.kill(killed),
        INITIATORS_BACK => rig.start_again(killed),
        PLANNER_KILLED => {
            rig.planners.kill(0);
            Ok(())
        }
        PLANNER_BACK => rig.planners.start(0),
        _ => Ok(()),
    }
}

fn look(rig: &mut Rig, until: Instant, seen: &mut Vec<InForce>) -> Result<(), String> {
    loop {
        seen.extend(rig.revisions()?);
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        std::thread::sleep(left.min(LOOK));
    }
}

/// Initiators where a revision or a later one came into force.
fn holding(seen: &[InForce], number: u64) -> BTreeSet<usize> {
    seen.iter().filter(|it| it.number >= number).map(|it| it.who).collect()
}

/// When a revision or a later one was first seen in force at each initiator.
fn first_seen(accepted: &Accepted, seen: &[InForce]) -> BTreeMap<usize, u64> {
    let mut first = BTreeMap::new();
    for it in seen.iter().filter(|it| it.number >= accepted.number) {
        first.entry(it.who).and_modify(|at: &mut u64| *at = (*at).min(it.at)).or_insert(it.at);
    }
    first
}

/// Seconds from its submission and from its acceptance until a revision was in force at the last of some initiators;
/// infinite where it never was.
fn in_force_everywhere(accepted: &Accepted, seen: &[InForce], of: &BTreeSet<usize>) -> (f64, f64) {
    let first = first_seen(accepted, seen);
    let last = of.iter().map(|who| first.get(who).copied()).try_fold(0, |last, at| Some(at?.max(last)));
    let after = |from: u64| last.map_or(f64::INFINITY, |last: u64| last.saturating_sub(from) as f64 / 1e6);
    (after(accepted.submitted), after(accepted.accepted))
}

/// Over all revisions and initiators, seconds from submission to in force.
fn each(accepted: &[Accepted], seen: &[InForce], of: &BTreeSet<usize>) -> Value {
    let mut times = Vec::new();
    for it in accepted {
        let first = first_seen(it, seen);
        let of = first.iter().filter(|(who, _)| of.contains(who));
        times.extend(of.map(|(_, at)| at.saturating_sub(it.submitted) as f64 / 1e6));
    }
    spread(&times)
}

/// Initiators that were seen on a content that was not accepted under its number in this scene.
fn never_accepted(accepted: &[Accepted], seen: &[InForce]) -> usize {
    let first = accepted.first().map_or(u64::MAX, |it| it.number);
    let known = |it: &&InForce| {
        // What was accepted before this scene is not known here.
        it.number < first
            || accepted.iter().any(|own| own.number == it.number && it.hash.starts_with(&own.hash))
    };
    seen.iter().filter(|it| !known(it)).map(|it| it.who).collect::<BTreeSet<_>>().len()
}

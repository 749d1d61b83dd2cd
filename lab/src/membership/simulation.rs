//! `topazpath-lab fleet-sim`: membership in virtual time. Runs thousands of random fault schedules with every rule
//! checked, and measures the time to detect a crashed member, false detections under loss and pauses compared with
//! other failure detectors, and the cost by the size of the fleet.

use super::world::{Breaches, Fault, Network, Settings, Simulation, TimedFault};
use super::{comparison, model};
use crate::arguments::Parts;
use crate::vrrp::experiments::percentiles_ms;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Map, Value};
use std::time::{Duration, Instant};

const PARTS: [&str; 6] = ["schedules", "detection", "loss", "cost", "model", "replay"];
const SECOND: Duration = Duration::from_secs(1);

/// Runs the selected parts; true if no rule was violated.
pub fn run(parts: &Parts) -> Result<bool, String> {
    parts.check(&PARTS)?;
    let (short, seed) = (parts.common.short, parts.common.seed);
    let mut report = Map::new();
    let mut sound = true;
    if parts.want("schedules") {
        let (part, breaches) = schedules(if short { 2_000 } else { 100_000 }, seed)?;
        sound &= breaches.sum() == 0;
        report.insert("schedules".into(), part);
    }
    if parts.want("detection") {
        report.insert("detection".into(), detection(if short { 20 } else { 300 }, seed));
    }
    if parts.want("loss") {
        report.insert("loss".into(), comparison::compare(if short { 0.5 } else { 40.0 }, seed));
    }
    if parts.want("cost") {
        let sizes: &[usize] = if short { &[3, 30, 100] } else { &[3, 30, 300, 1000, 3000] };
        report.insert("cost".into(), json!(sizes.iter().map(|size| cost(*size, seed)).collect::<Vec<_>>()));
    }
    if parts.want("model") {
        let part = model::recorded(short).into_iter().map(|(name, model)| {
            let (states, broken) = model::check(model);
            println!("  {name:<36} {states:>9} states  broken {broken:?}");
            sound &= broken.is_empty();
            json!({ "name": name, "states": states, "broken": broken })
        });
        report.insert("model".into(), part.collect());
    }
    if parts.asked_for("replay") {
        sound &= replay(seed);
    }
    parts.common.finish(report);
    Ok(sound)
}

/// Runs the schedule of one seed and prints all recorded notes, to investigate a violation.
fn replay(seed: u64) -> bool {
    let (simulation, faults) = run_schedule(seed);
    faults.iter().for_each(|it| println!("{:?} for {:?}: {:?}", it.at, it.lasts, it.fault));
    for note in &simulation.notes {
        println!(
            "{:>10.3} n{:04}  {:<8} {}  {}",
            note.at.as_secs_f64(),
            note.by,
            note.what,
            note.name,
            note.evidence
        );
    }
    for index in 0..simulation.size() {
        let Some(member) = simulation.member(index) else { continue };
        let view = member.view().map(|view| {
            let generations =
                view.members.values().map(|line| (&line.name, line.generation.0 % 1_000_000_000));
            (view.id, generations.collect::<Vec<_>>())
        });
        println!(
            "n{index:04} {} generation {} {view:?}",
            member.phase().name(),
            member.generation().0 % 1_000_000_000
        );
    }
    println!("{:?}", simulation.breaches);
    simulation.breaches.sum() == 0
}

/// Returns a random schedule of faults for `size` members, and when the last fault is over.
pub fn random_schedule(size: usize, seed: u64) -> (Vec<TimedFault>, Duration) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(1..=5);
    let mut end = 10 * SECOND;
    let faults = (0..count).map(|_| {
        let at = Duration::from_millis(random.random_range(0..30_000));
        // From 0.1 s to a minute, log-uniform.
        let lasts = Duration::from_secs_f64(0.1 * 600_f64.powf(random.random()));
        let one = |random: &mut ChaCha8Rng| random.random_range(0..size);
        let some = |random: &mut ChaCha8Rng| -> Vec<usize> {
            let part = [0.0, 0.34, 0.5, 1.0][random.random_range(0..4)];
            let some: Vec<usize> = (0..size).filter(|_| random.random::<f64>() < part).collect();
            if some.is_empty() {
                vec![one(random)]
            } else {
                some
            }
        };
        let (a, b) = (one(&mut random), one(&mut random));
        let fault = match random.random_range(0..8) {
            0 => Fault::Pause(some(&mut random)),
            1 => Fault::Kill(some(&mut random)),
            2 => Fault::Cut(a, b),
            3 => Fault::Split(some(&mut random)),
            4 => Fault::Deaf(a),
            5 => Fault::Mute(a),
            6 => Fault::Flap(a, b),
            _ => Fault::Bad(Network {
                loss: 0.3 * random.random::<f64>(),
                doubled: 0.2 * random.random::<f64>(),
                delay: Duration::from_millis(random.random_range(0..20)),
                jitter: Duration::from_millis(random.random_range(0..60)),
            }),
        };
        end = end.max(at + lasts);
        TimedFault { at, lasts, fault }
    });
    let faults = faults.collect();
    (faults, end)
}

/// Runs the schedule of a seed, and checks at the end that all members are in one view.
pub fn run_schedule(seed: u64) -> (Simulation, Vec<TimedFault>) {
    let size = 3 + (seed % 5) as usize;
    let (faults, end) = random_schedule(size, seed);
    let mut simulation = Simulation::new(Settings::default(), size, seed);
    faults.iter().for_each(|fault| simulation.schedule(fault.clone()));
    simulation.run(end);
    // Several times longer than the longest suspicion, a view change and a join in succession.
    for _ in 0..12 {
        simulation.run(simulation.now + 10 * SECOND);
        if simulation.is_settled() {
            break;
        }
    }
    simulation.check_settled();
    (simulation, faults)
}

fn schedules(count: u64, seed: u64) -> Result<(Value, Breaches), String> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let start = Instant::now();
    let results = std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads)
            .map(|thread| {
                scope.spawn(move || {
                    let (mut all, mut broken, mut faults, mut views) =
                        (Breaches::default(), Vec::new(), 0, 0);
                    for seed in (seed..seed + count).filter(|seed| seed % threads == thread) {
                        let (simulation, schedule) = run_schedule(seed);
                        all.add(simulation.breaches);
                        faults += schedule.len();
                        views += simulation.notes.iter().filter(|note| note.what == "view").count();
                        if simulation.breaches.sum() > 0 {
                            broken.push((seed, simulation.breaches));
                        }
                    }
                    (all, broken, faults, views)
                })
            })
            .collect();
        running.into_iter().map(|it| it.join()).collect::<Result<Vec<_>, _>>()
    });
    let results = results.map_err(|_| "a simulation panicked")?;
    let (mut all, mut broken, mut faults, mut views) = (Breaches::default(), Vec::new(), 0, 0);
    for (breaches, seeds, fault_count, view_count) in results {
        all.add(breaches);
        broken.extend(seeds);
        (faults, views) = (faults + fault_count, views + view_count);
    }
    broken.sort_by_key(|(seed, _)| *seed);
    for (seed, breaches) in broken.iter().take(10) {
        println!("seed {seed}: {breaches:?}");
    }
    println!(
        "{count} schedules, {faults} faults, {views} views entered, {:.0} s: {all:?}",
        start.elapsed().as_secs_f64()
    );
    Ok((json!({ "schedules": count, "faults": faults, "views_entered": views, "breaches": all }), all))
}

/// Returns a fleet whose members are in one view; none if that takes longer than 600 s.
fn settled_fleet(settings: Settings, size: usize, seed: u64) -> Option<Simulation> {
    let mut simulation = Simulation::new(settings, size, seed);
    for _ in 0..600 {
        simulation.run(simulation.now + SECOND);
        if simulation.is_settled() {
            return Some(simulation);
        }
    }
    None
}

/// Measures the time from the crash of a member to the first suspicion and to its removal, and the time between the two
/// relative to the min suspicion timeout of the settings.
fn detection(repeats: u64, seed: u64) -> Value {
    let settings = Settings::default();
    println!(
        "a member is killed: first suspicion and gone, in ms; from the first suspicion to gone over the least suspicion"
    );
    let rows = [3, 5, 10, 30].map(|size| {
        let (mut suspicions, mut removals, mut durations) = (Vec::new(), Vec::new(), Vec::new());
        for repeat in 0..repeats {
            let Some(mut simulation) = settled_fleet(settings, size, seed + repeat) else { continue };
            simulation.run(simulation.now + 10 * SECOND);
            let (killed, victim) = (simulation.now, (repeat as usize * 7 + 1) % size);
            simulation.schedule(TimedFault { at: killed, lasts: 600 * SECOND, fault: Fault::Kill(vec![victim]) });
            simulation.run(killed + 120 * SECOND);
            let name = format!("n{victim:04}");
            let first = |what: &str| {
                let note = simulation.notes.iter().find(|it| it.at >= killed && it.what == what && it.name == name);
                note.map(|note| note.at - killed)
            };
            let (suspicion, gone) = (first("suspect"), first("gone"));
            suspicions.extend(suspicion);
            removals.extend(gone);
            durations.extend(gone.zip(suspicion).map(|(gone, suspicion)| gone.saturating_sub(suspicion)));
        }
        let (min_timeout, _) = topazpath::fleet::suspicion::timeout_bounds(settings.period, settings.suspicion_periods, size);
        let (suspicion, gone) = (percentiles_ms(&suspicions), percentiles_ms(&removals));
        let ratio = percentiles_ms(&durations).map(|duration| duration / (min_timeout.as_secs_f64() * 1000.0));
        println!(
            "  {size:>3} members  n {:>3}  suspicion p50 {:>6.0} p99 {:>6.0}  gone p50 {:>6.0} p99 {:>6.0}  least {:>6.0}  over {:.2} {:.2}",
            removals.len(), suspicion[0], suspicion[1], gone[0], gone[1], min_timeout.as_secs_f64() * 1000.0, ratio[0], ratio[1]
        );
        json!({ "members": size, "n": removals.len(), "doubt_ms": suspicion, "gone_ms": gone, "over_least": ratio })
    });
    json!(rows)
}

/// Measures datagrams, bytes and processor time per member and second in a fleet of `size`.
fn cost(size: usize, seed: u64) -> Value {
    let Some(mut simulation) = settled_fleet(Settings::default(), size, seed) else {
        println!("  {size:>5} members did not come together");
        return json!({ "members": size });
    };
    let joined = simulation.now;
    simulation.run(simulation.now + 10 * SECOND);
    (simulation.datagrams, simulation.bytes, simulation.counts_bytes) = (0, 0, true);
    let time = 20 * SECOND;
    simulation.run(simulation.now + time);
    simulation.counts_bytes = false;
    let start = Instant::now();
    simulation.run(simulation.now + time);
    let cpu = start.elapsed().as_secs_f64() / size as f64 / time.as_secs_f64();
    let of = |count: u64| count as f64 / size as f64 / time.as_secs_f64();
    let (datagrams, bytes) = (of(simulation.datagrams) / 2.0, of(simulation.bytes));
    println!(
        "  {size:>5} members  together after {:>4.0} s  {datagrams:.1} datagrams  {bytes:.0} bytes  {:.1} us of processor a member and second",
        joined.as_secs_f64(), cpu * 1e6
    );
    json!({ "members": size, "together_s": joined.as_secs_f64(), "datagrams": datagrams, "bytes": bytes, "cpu": cpu })
}

#[cfg(test)]
mod tests;

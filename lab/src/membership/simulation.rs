//! `topazpath-lab fleet-sim`: membership in virtual time. Fault schedules drawn by the thousand with every rule
//! checked, how soon a dead member is known, what loss and pauses do against other ways, what it costs by the size of
//! the fleet.

use super::world::{Breaches, Fault, Network, Terms, Timed, World};
use super::{comparison, model};
use crate::arguments::Parts;
use crate::vrrp::experiments::spread;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Map, Value};
use std::time::{Duration, Instant};

const PARTS: [&str; 6] = ["schedules", "detection", "loss", "cost", "model", "replay"];
const SECOND: Duration = Duration::from_secs(1);

/// True if no rule broke.
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
        report.insert("loss".into(), comparison::weigh(if short { 0.5 } else { 40.0 }, seed));
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

/// Plays the schedule of one seed and prints all that was noted, to investigate a broken rule.
fn replay(seed: u64) -> bool {
    let (world, faults) = play(seed);
    faults.iter().for_each(|it| println!("{:?} for {:?}: {:?}", it.at, it.lasts, it.fault));
    for note in &world.notes {
        println!(
            "{:>10.3} n{:04}  {:<8} {}  {}",
            note.at.as_secs_f64(),
            note.by,
            note.what,
            note.name,
            note.evidence
        );
    }
    for who in 0..world.size() {
        let Some(member) = world.member(who) else { continue };
        let view = member.view().map(|view| {
            let generations =
                view.members.values().map(|line| (&line.name, line.generation.0 % 1_000_000_000));
            (view.id, generations.collect::<Vec<_>>())
        });
        println!(
            "n{who:04} {} generation {} {view:?}",
            member.phase().name(),
            member.generation().0 % 1_000_000_000
        );
    }
    println!("{:?}", world.breaches);
    world.breaches.sum() == 0
}

/// A schedule of faults for so many members, from one seed, and when the last of them is over.
pub fn draw(size: usize, seed: u64) -> (Vec<Timed>, Duration) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let count = random.random_range(1..=5);
    let mut over = 10 * SECOND;
    let faults = (0..count).map(|_| {
        let at = Duration::from_millis(random.random_range(0..30_000));
        // From a tenth of a second to a minute, short ones as often as long ones.
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
        over = over.max(at + lasts);
        Timed { at, lasts, fault }
    });
    let faults = faults.collect();
    (faults, over)
}

/// Plays a schedule and looks at the end whether all came together again.
pub fn play(seed: u64) -> (World, Vec<Timed>) {
    let size = 3 + (seed % 5) as usize;
    let (faults, over) = draw(size, seed);
    let mut world = World::new(Terms::default(), size, seed);
    faults.iter().for_each(|fault| world.plan(fault.clone()));
    world.run(over);
    // Longer than the longest suspicion, a view and a join take one after another, several times over.
    for _ in 0..12 {
        world.run(world.now + 10 * SECOND);
        if world.is_settled() {
            break;
        }
    }
    world.settle();
    (world, faults)
}

fn schedules(count: u64, seed: u64) -> Result<(Value, Breaches), String> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let start = Instant::now();
    let plays = std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads)
            .map(|thread| {
                scope.spawn(move || {
                    let (mut all, mut broken, mut faults, mut views) =
                        (Breaches::default(), Vec::new(), 0, 0);
                    for seed in (seed..seed + count).filter(|seed| seed % threads == thread) {
                        let (world, schedule) = play(seed);
                        all.add(world.breaches);
                        faults += schedule.len();
                        views += world.notes.iter().filter(|note| note.what == "view").count();
                        if world.breaches.sum() > 0 {
                            broken.push((seed, world.breaches));
                        }
                    }
                    (all, broken, faults, views)
                })
            })
            .collect();
        running.into_iter().map(|it| it.join()).collect::<Result<Vec<_>, _>>()
    });
    let plays = plays.map_err(|_| "a play panicked")?;
    let (mut all, mut broken, mut faults, mut views) = (Breaches::default(), Vec::new(), 0, 0);
    for (breaches, seeds, drawn, entered) in plays {
        all.add(breaches);
        broken.extend(seeds);
        (faults, views) = (faults + drawn, views + entered);
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

/// A fleet that has come together; nothing if it does not within a stated time.
fn together(terms: Terms, size: usize, seed: u64) -> Option<World> {
    let mut world = World::new(terms, size, seed);
    for _ in 0..600 {
        world.run(world.now + SECOND);
        if world.is_settled() {
            return Some(world);
        }
    }
    None
}

/// From the death of a member to the first suspicion and to the first view without it; and from that suspicion on
/// against the least that the settings allow.
fn detection(repeats: u64, seed: u64) -> Value {
    let terms = Terms::default();
    println!(
        "a member is killed: first suspicion and gone, in ms; from the first suspicion to gone over the least suspicion"
    );
    let rows = [3, 5, 10, 30].map(|size| {
        let (mut suspicions, mut gones, mut lasted) = (Vec::new(), Vec::new(), Vec::new());
        for repeat in 0..repeats {
            let Some(mut world) = together(terms, size, seed + repeat) else { continue };
            world.run(world.now + 10 * SECOND);
            let (killed, victim) = (world.now, (repeat as usize * 7 + 1) % size);
            world.plan(Timed { at: killed, lasts: 600 * SECOND, fault: Fault::Kill(vec![victim]) });
            world.run(killed + 120 * SECOND);
            let name = format!("n{victim:04}");
            let first = |what: &str| {
                let noted = world.notes.iter().find(|it| it.at >= killed && it.what == what && it.name == name);
                noted.map(|noted| noted.at - killed)
            };
            let (suspicion, gone) = (first("suspect"), first("gone"));
            suspicions.extend(suspicion);
            gones.extend(gone);
            lasted.extend(gone.zip(suspicion).map(|(gone, suspicion)| gone.saturating_sub(suspicion)));
        }
        let (least, _) = topazpath::fleet::suspicion::timeout_bounds(terms.period, terms.suspicion_periods, size);
        let (suspicion, gone) = (spread(&suspicions), spread(&gones));
        let over = spread(&lasted).map(|lasted| lasted / (least.as_secs_f64() * 1000.0));
        println!(
            "  {size:>3} members  n {:>3}  suspicion p50 {:>6.0} p99 {:>6.0}  gone p50 {:>6.0} p99 {:>6.0}  least {:>6.0}  over {:.2} {:.2}",
            gones.len(), suspicion[0], suspicion[1], gone[0], gone[1], least.as_secs_f64() * 1000.0, over[0], over[1]
        );
        json!({ "members": size, "n": gones.len(), "doubt_ms": suspicion, "gone_ms": gone, "over_least": over })
    });
    json!(rows)
}

/// Datagrams, bytes and processor time a member and second, by size.
fn cost(size: usize, seed: u64) -> Value {
    let Some(mut world) = together(Terms::default(), size, seed) else {
        println!("  {size:>5} members did not come together");
        return json!({ "members": size });
    };
    let joined = world.now;
    world.run(world.now + 10 * SECOND);
    (world.datagrams, world.bytes, world.counts_bytes) = (0, 0, true);
    let time = 20 * SECOND;
    world.run(world.now + time);
    world.counts_bytes = false;
    let start = Instant::now();
    world.run(world.now + time);
    let cpu = start.elapsed().as_secs_f64() / size as f64 / time.as_secs_f64();
    let of = |count: u64| count as f64 / size as f64 / time.as_secs_f64();
    let (datagrams, bytes) = (of(world.datagrams) / 2.0, of(world.bytes));
    println!(
        "  {size:>5} members  together after {:>4.0} s  {datagrams:.1} datagrams  {bytes:.0} bytes  {:.1} us of processor a member and second",
        joined.as_secs_f64(), cpu * 1e6
    );
    json!({ "members": size, "together_s": joined.as_secs_f64(), "datagrams": datagrams, "bytes": bytes, "cpu": cpu })
}

#[cfg(test)]
mod tests;

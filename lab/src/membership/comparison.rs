//! Other ways to tell who is gone, weighed against the one that was built: heartbeats of all to all with a fixed
//! time-out, the same judged by phi accrual, and the program's own members that do not know when they were late.

use super::world::{Fault, Network, Terms, Timed, World};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::time::Duration;

const SIZE: usize = 5;
const PERIOD: f64 = 0.5;
/// Heartbeats are held for over after so long: about when the members here hold one for gone.
const TIMEOUT: f64 = 4.2;
/// Phi beyond which a member is held for gone, and beats that the estimate is of (as the method's paper has them).
const PHI: f64 = 8.0;
const WINDOW: usize = 100;

/// How a silence is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Judge {
    Fixed,
    Phi,
}

/// Times in which one process is stopped.
fn pauses(hours: f64, seed: u64) -> Vec<(f64, f64, usize)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut at, mut all) = (0.0, Vec::new());
    while at < hours * 3600.0 {
        at += 20.0 * random.random::<f64>();
        all.push((at, 2.0 * random.random::<f64>(), random.random_range(0..SIZE)));
    }
    all
}

/// How often one held another for gone that was there, by what it had heard itself.
fn beats(judge: Judge, loss: f64, pauses: &[(f64, f64, usize)], hours: f64, seed: u64) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let stopped: Vec<Vec<(f64, f64)>> = (0..SIZE)
        .map(|who| pauses.iter().filter(|it| it.2 == who).map(|it| (it.0, it.0 + it.1)).collect())
        .collect();
    // A process that is stopped does what was due once it goes on.
    let goes_on = |who: usize, at: f64| {
        let after = stopped[who].partition_point(|(from, _)| *from <= at);
        let last = after.checked_sub(1).map(|it| stopped[who][it]);
        last.filter(|(_, to)| *to > at).map_or(at, |(_, to)| to)
    };
    let mut wrong = 0;
    for (sender, observer) in (0..SIZE * SIZE).map(|it| (it / SIZE, it % SIZE)).filter(|(a, b)| a != b) {
        let (mut at, mut last, mut gaps): (f64, f64, VecDeque<f64>) = (0.0, 0.0, VecDeque::new());
        while at < hours * 3600.0 {
            at = goes_on(sender, at + PERIOD);
            if random.random::<f64>() < loss {
                continue;
            }
            let heard = goes_on(observer, at + 0.001 * random.random::<f64>());
            let gap = heard - last;
            let limit = match judge {
                Judge::Fixed => TIMEOUT,
                Judge::Phi => phi_limit(&gaps),
            };
            wrong += usize::from(gap > limit);
            gaps.push_back(gap);
            gaps.truncate(WINDOW);
            if gaps.len() == WINDOW {
                gaps.pop_front();
            }
            last = heard;
        }
    }
    wrong
}

/// The silence at which phi is reached: gaps are taken to be normally distributed.
fn phi_limit(gaps: &VecDeque<f64>) -> f64 {
    if gaps.len() < 10 {
        return TIMEOUT;
    }
    let count = gaps.len() as f64;
    let mean = gaps.iter().sum::<f64>() / count;
    let deviation = (gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count).sqrt().max(0.1);
    // Beyond so many deviations a normal tail holds less than ten to the minus phi.
    mean + deviation * (2.0 * PHI * std::f64::consts::LN_10 - (4.0 * PHI).ln()).sqrt()
}

/// Members of the program taken out of the view in that time, and suspicions.
fn members(
    loss: f64,
    pauses: &[(f64, f64, usize)],
    hours: f64,
    (tells_lateness, seed): (bool, u64),
) -> (usize, usize) {
    let mut world = World::new(Terms::default(), SIZE, seed);
    world.tells_lateness = tells_lateness;
    let second = Duration::from_secs(1);
    world.run(20 * second);
    let (begin, time) = (world.now, Duration::from_secs_f64(hours * 3600.0));
    world.plan(Timed { at: begin, lasts: time, fault: Fault::Bad(Network { loss, ..Network::default() }) });
    for (at, lasts, who) in pauses {
        let (at, lasts) = (begin + Duration::from_secs_f64(*at), Duration::from_secs_f64(*lasts));
        world.plan(Timed { at, lasts, fault: Fault::Pause(vec![*who]) });
    }
    world.run(begin + time);
    let of = |what: &'static str| world.notes.iter().filter(move |it| it.at >= begin && it.what == what);
    // Who is out of the view says so itself once.
    let out = of("joining").count();
    (out, of("suspect").count())
}

/// One table: members held for gone that were there, per 1,000 member-hours.
pub fn weigh(hours: f64, seed: u64) -> Value {
    println!("five members, {hours} h each: held for gone though there, per 1,000 member-hours (suspicions per member and hour)");
    println!("  loss   pauses   heartbeats     phi   without own lateness               built");
    let mut rows = Vec::new();
    for loss in [0.0, 0.01, 0.1, 0.3] {
        for paused in [false, true] {
            let pauses = if paused { pauses(hours, seed) } else { Vec::new() };
            let per = |count: usize| count as f64 / (SIZE as f64 * hours) * 1000.0;
            let fixed = per(beats(Judge::Fixed, loss, &pauses, hours, seed));
            let phi = per(beats(Judge::Phi, loss, &pauses, hours, seed));
            let (untold, untold_suspicions) = members(loss, &pauses, hours, (false, seed));
            let (built, suspicions) = members(loss, &pauses, hours, (true, seed));
            let [suspicions, untold_suspicions] =
                [suspicions, untold_suspicions].map(|it| it as f64 / SIZE as f64 / hours);
            println!(
                "  {loss:<5}  {paused:<6} {fixed:>12.0} {phi:>7.0} {:>11.0} ({untold_suspicions:>8.1}) {:>7.0} ({suspicions:>8.1})",
                per(untold),
                per(built)
            );
            rows.push(json!({
                "loss": loss, "pauses": paused, "heartbeats": fixed, "phi": phi,
                "without_own_lateness": per(untold), "its_doubts_per_hour": untold_suspicions,
                "built": per(built), "doubts_per_hour": suspicions,
            }));
        }
    }
    json!(rows)
}

#[cfg(test)]
mod tests;

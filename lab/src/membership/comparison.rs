//! Compares the program's failure detection with alternatives: all-to-all heartbeats with a fixed timeout, the same
//! with phi accrual, and the program's members without knowledge of their own delays.

use super::world::{Fault, Network, Settings, Simulation, TimedFault};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::time::Duration;

const SIZE: usize = 5;
const PERIOD: f64 = 0.5;
/// Timeout of heartbeats in seconds: about the time after which the program's members declare one gone.
const TIMEOUT: f64 = 4.2;
/// Phi above which a member is declared gone, and the number of heartbeats in the estimate (both from the method's
/// paper).
const PHI: f64 = 8.0;
const WINDOW: usize = 100;

/// A failure detector based on heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Detector {
    Fixed,
    Phi,
}

/// Returns random pauses of processes: start and length in seconds, and the process.
fn pauses(hours: f64, seed: u64) -> Vec<(f64, f64, usize)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut at, mut all) = (0.0, Vec::new());
    while at < hours * 3600.0 {
        at += 20.0 * random.random::<f64>();
        all.push((at, 2.0 * random.random::<f64>(), random.random_range(0..SIZE)));
    }
    all
}

/// Returns how often a member declared a running one gone from the heartbeats that it received.
fn heartbeat_errors(
    detector: Detector,
    loss: f64,
    pauses: &[(f64, f64, usize)],
    hours: f64,
    seed: u64,
) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let stopped: Vec<Vec<(f64, f64)>> = (0..SIZE)
        .map(|index| pauses.iter().filter(|it| it.2 == index).map(|it| (it.0, it.0 + it.1)).collect())
        .collect();
    // What falls due while a process is stopped happens when it continues.
    let resumes_at = |index: usize, at: f64| {
        let after = stopped[index].partition_point(|(from, _)| *from <= at);
        let last = after.checked_sub(1).map(|it| stopped[index][it]);
        last.filter(|(_, to)| *to > at).map_or(at, |(_, to)| to)
    };
    let mut errors = 0;
    for (sender, observer) in (0..SIZE * SIZE).map(|it| (it / SIZE, it % SIZE)).filter(|(a, b)| a != b) {
        let (mut at, mut last, mut gaps): (f64, f64, VecDeque<f64>) = (0.0, 0.0, VecDeque::new());
        while at < hours * 3600.0 {
            at = resumes_at(sender, at + PERIOD);
            if random.random::<f64>() < loss {
                continue;
            }
            let received = resumes_at(observer, at + 0.001 * random.random::<f64>());
            let gap = received - last;
            let limit = match detector {
                Detector::Fixed => TIMEOUT,
                Detector::Phi => phi_limit(&gaps),
            };
            errors += usize::from(gap > limit);
            gaps.push_back(gap);
            gaps.truncate(WINDOW);
            if gaps.len() == WINDOW {
                gaps.pop_front();
            }
            last = received;
        }
    }
    errors
}

/// Returns the silence at which phi is reached, assuming normally distributed intervals.
fn phi_limit(gaps: &VecDeque<f64>) -> f64 {
    if gaps.len() < 10 {
        return TIMEOUT;
    }
    let count = gaps.len() as f64;
    let mean = gaps.iter().sum::<f64>() / count;
    let deviation = (gaps.iter().map(|gap| (gap - mean).powi(2)).sum::<f64>() / count).sqrt().max(0.1);
    // Number of deviations beyond which the tail of a normal distribution is below ten to the minus phi.
    mean + deviation * (2.0 * PHI * std::f64::consts::LN_10 - (4.0 * PHI).ln()).sqrt()
}

/// Simulates the program's members; returns how many were removed from the view, and the suspicions.
fn member_errors(
    loss: f64,
    pauses: &[(f64, f64, usize)],
    hours: f64,
    (reports_delays, seed): (bool, u64),
) -> (usize, usize) {
    let mut simulation = Simulation::new(Settings::default(), SIZE, seed);
    simulation.reports_delays = reports_delays;
    let second = Duration::from_secs(1);
    simulation.run(20 * second);
    let (begin, time) = (simulation.now, Duration::from_secs_f64(hours * 3600.0));
    simulation.schedule(TimedFault {
        at: begin,
        lasts: time,
        fault: Fault::Bad(Network { loss, ..Network::default() }),
    });
    for (at, lasts, index) in pauses {
        let (at, lasts) = (begin + Duration::from_secs_f64(*at), Duration::from_secs_f64(*lasts));
        simulation.schedule(TimedFault { at, lasts, fault: Fault::Pause(vec![*index]) });
    }
    simulation.run(begin + time);
    let of = |what: &'static str| simulation.notes.iter().filter(move |it| it.at >= begin && it.what == what);
    // A member that was removed from the view notes once that it joins again.
    let out = of("joining").count();
    (out, of("suspect").count())
}

/// Prints and returns the table: running members declared gone, per 1,000 member-hours.
pub fn compare(hours: f64, seed: u64) -> Value {
    println!("five members, {hours} h each: held for gone though there, per 1,000 member-hours (suspicions per member and hour)");
    println!("  loss   pauses   heartbeats     phi   without own lateness               built");
    let mut rows = Vec::new();
    for loss in [0.0, 0.01, 0.1, 0.3] {
        for paused in [false, true] {
            let pauses = if paused { pauses(hours, seed) } else { Vec::new() };
            let per = |count: usize| count as f64 / (SIZE as f64 * hours) * 1000.0;
            let fixed = per(heartbeat_errors(Detector::Fixed, loss, &pauses, hours, seed));
            let phi = per(heartbeat_errors(Detector::Phi, loss, &pauses, hours, seed));
            let (unaware, unaware_suspicions) = member_errors(loss, &pauses, hours, (false, seed));
            let (built, suspicions) = member_errors(loss, &pauses, hours, (true, seed));
            let [suspicions, unaware_suspicions] =
                [suspicions, unaware_suspicions].map(|it| it as f64 / SIZE as f64 / hours);
            println!(
                "  {loss:<5}  {paused:<6} {fixed:>12.0} {phi:>7.0} {:>11.0} ({unaware_suspicions:>8.1}) {:>7.0} ({suspicions:>8.1})",
                per(unaware),
                per(built)
            );
            rows.push(json!({
                "loss": loss, "pauses": paused, "heartbeats": fixed, "phi": phi,
                "without_own_lateness": per(unaware), "its_doubts_per_hour": unaware_suspicions,
                "built": per(built), "doubts_per_hour": suspicions,
            }));
        }
    }
    json!(rows)
}

#[cfg(test)]
mod tests;

//! Compares ways to divide a volume's limit between two machines that cannot communicate, in virtual time, under the
//! same demand and failures: the worth that each way serves, and the excess over the limit.

use crate::worth::BASE;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The limit of plan `base` at `palermo-centro`: rate in units a second, burst and overdraft in units.
const RATE: f64 = 19.0;
const BURST: f64 = 48.0;
const OVERDRAFT: f64 = 8.0;
/// The demand that a volume is sized for, in units a second.
const SIZE: f64 = 4.7;
/// Step of virtual time.
const STEP: Duration = Duration::from_millis(20);
/// Max duration of a request: for how long a retired machine may still send.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(3);

/// A way to divide a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// Each machine applies the whole limit by itself.
    Whole,
    /// The machine that takes over starts with an empty bucket, at the whole rate.
    Empty,
    /// The machine that takes over starts with an empty bucket after the max duration of a request.
    Delayed,
    /// Each machine has a fixed share; the values are the first machine's shares of rate and burst.
    Fixed(f64, f64),
}

impl Way {
    /// The ways that are compared.
    pub const ALL: [Way; 8] = [
        Way::Whole,
        Way::Empty,
        Way::Delayed,
        Way::Fixed(0.5, 0.5),
        Way::Fixed(0.75, 0.75),
        Way::Fixed(0.75, 0.5),
        Way::Fixed(0.9, 0.5),
        Way::Fixed(0.9, 0.9),
    ];

    /// Returns its name in the report.
    pub fn name(self) -> String {
        match self {
            Way::Whole => "whole".into(),
            Way::Empty => "empty".into(),
            Way::Delayed => "delayed".into(),
            Way::Fixed(rate, burst) => format!("fixed {rate} {burst}"),
        }
    }

    /// Returns a machine's shares of rate and burst.
    fn share(self, machine: usize) -> (f64, f64) {
        match self {
            Way::Fixed(rate, burst) if machine == 0 => (rate, burst),
            Way::Fixed(rate, burst) => (1.0 - rate, 1.0 - burst),
            _ => (1.0, 1.0),
        }
    }
}

/// Which machines serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The first machine serves.
    First,
    /// The first crashed; the second serves.
    Second,
    /// The machines are cut off from each other, and clients reach both.
    Both,
}

/// The result of a way.
#[derive(Clone, Copy, Debug, Default)]
pub struct WayResult {
    /// Worth served in phase `First`, relative to an undivided limit.
    pub first: f64,
    /// The same in phase `Second`.
    pub second: f64,
    /// The same in phase `Both`.
    pub both: f64,
    /// Greatest excess of a window over the limit with its overdraft, in units; 0 if the limit was kept.
    pub excess: f64,
}

#[derive(Clone, Copy)]
struct Bucket {
    level: f64,
    /// It grants nothing before this time.
    from: Duration,
}

/// Simulates a way with a number of volumes.
pub fn evaluate(way: Way, volumes: usize, seed: u64) -> WayResult {
    let mut sum = WayResult::default();
    let (mut worth, mut whole) = ([0.0; 3], [0.0; 3]);
    for volume in 0..volumes {
        let seed = seed.wrapping_mul(1_000_003) + volume as u64;
        let (served, excess) = simulate(way, seed);
        // The reference: the same demand on one machine with an undivided limit.
        let (alone, _) = simulate(Way::Whole, seed);
        for at in 0..3 {
            worth[at] += served[at];
            whole[at] += if at == 2 { alone[0] } else { alone[at] };
        }
        sum.excess = sum.excess.max(excess);
    }
    sum.first = worth[0] / whole[0];
    sum.second = worth[1] / whole[1];
    sum.both = worth[2] / whole[2];
    sum
}

/// Simulates one volume over phases of a minute each; returns the worth a second in each kind of phase, and the excess.
fn simulate(way: Way, seed: u64) -> ([f64; 3], f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // 20 % of the volumes demand three times their size all the time, 25 % eight times in surges, the rest 80 %.
    let kind: f64 = random.random();
    let minute = Duration::from_secs(60);
    let phases = [Phase::First, Phase::Second, Phase::First, Phase::Both, Phase::First, Phase::Second];
    let mut buckets = [0, 1].map(|it| Bucket { level: OVERDRAFT * way.share(it).1, from: Duration::ZERO });
    let (mut worth, mut time) = ([0.0; 3], [0.0; 3]);
    let (mut window, mut excess) = (0.0_f64, 0.0_f64);
    let mut now = Duration::ZERO;
    let mut waiting = 0.0_f64;
    let mut second = 0.0_f64;
    let mut next_second = Duration::from_secs(1);
    let mut size: f64 = f64::from(random.random_range(1..=8_u32));
    for (number, phase) in phases.iter().enumerate() {
        // The machine that starts to serve takes over from one that crashed or is cut off.
        let starting: &[usize] = match phase {
            Phase::First => &[0],
            Phase::Second | Phase::Both => &[1],
        };
        for machine in starting.iter().filter(|_| number > 0) {
            let bucket = &mut buckets[*machine];
            match way {
                Way::Whole => bucket.level = BURST.min(bucket.level.max(OVERDRAFT)),
                Way::Empty => *bucket = Bucket { level: 0.0, from: now },
                Way::Delayed => *bucket = Bucket { level: 0.0, from: now + MAX_REQUEST_TIME },
                Way::Fixed(..) => {}
            }
        }
        let at = match phase {
            Phase::First => 0,
            Phase::Second => 1,
            Phase::Both => 2,
        };
        let end = now + minute;
        while now < end {
            now += STEP;
            let step = STEP.as_secs_f64();
            for (machine, bucket) in buckets.iter_mut().enumerate() {
                if now >= bucket.from {
                    let (rate, burst) = way.share(machine);
                    bucket.level = (bucket.level + RATE * rate * step).min(BURST * burst);
                }
            }
            window = (window - RATE * step).max(0.0);
            let surge = now.as_secs() % 30 < 9;
            let rate = match kind {
                kind if kind < 0.2 => 3.0 * SIZE,
                kind if kind < 0.45 && surge => 8.0 * SIZE,
                _ => 0.8 * SIZE,
            };
            waiting += rate * step;
            // A request is sent when there are units for it; one that waits longer than its max duration is dropped.
            waiting = waiting.min(rate * MAX_REQUEST_TIME.as_secs_f64() + size);
            while waiting >= size {
                let machine = match phase {
                    Phase::First => 0,
                    Phase::Second => 1,
                    Phase::Both => usize::from(random.random::<bool>()),
                };
                let bucket = &mut buckets[machine];
                if now < bucket.from || bucket.level < size {
                    break;
                }
                bucket.level -= size;
                waiting -= size;
                second += size;
                window += size;
                excess = excess.max(window - BURST - OVERDRAFT);
                size = f64::from(random.random_range(1..=8_u32));
            }
            if now >= next_second {
                let units = std::mem::take(&mut second);
                worth[at] += BASE.worth(units);
                time[at] += 1.0;
                next_second += Duration::from_secs(1);
            }
        }
    }
    (std::array::from_fn(|at| worth[at] / time[at]), excess.max(0.0))
}

#[cfg(test)]
mod tests;

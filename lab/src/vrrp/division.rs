//! The ways to divide a volume's limit between two machines that cannot ask each other, against the same demand and
//! the same mishaps, in virtual time: how much worth each way serves, and by how much it exceeds the limit.

use crate::worth::BASE;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The terms of plan `base` at `palermo-centro`: units a second of the limit, at once, by how much overdrawn.
const RATE: f64 = 19.0;
const BURST: f64 = 48.0;
const SLACK: f64 = 8.0;
/// Units a second that a volume is sized for.
const SIZE: f64 = 4.7;
/// Step of virtual time.
const STEP: Duration = Duration::from_millis(20);
/// What an item may last: for how long a retired machine may still send.
const FINISH: Duration = Duration::from_secs(3);

/// A way to divide a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// Each machine takes the whole limit for its own, whatever it heard.
    Whole,
    /// The one that takes over begins with an empty store, at the whole rate.
    Empty,
    /// It begins with an empty store after as long as an item may last.
    Delayed,
    /// Each machine has a fixed part: of the rate and of what may go at once, for the first.
    Fixed(f64, f64),
}

impl Way {
    /// Those that are weighed.
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

    /// Its name.
    pub fn name(self) -> String {
        match self {
            Way::Whole => "whole".into(),
            Way::Empty => "empty".into(),
            Way::Delayed => "delayed".into(),
            Way::Fixed(rate, burst) => format!("fixed {rate} {burst}"),
        }
    }

    /// A machine's part of the rate, and of what may go at once.
    fn part(self, machine: usize) -> (f64, f64) {
        match self {
            Way::Fixed(rate, burst) if machine == 0 => (rate, burst),
            Way::Fixed(rate, burst) => (1.0 - rate, 1.0 - burst),
            _ => (1.0, 1.0),
        }
    }
}

/// Who serves, and with what mishap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The first machine serves.
    First,
    /// It died; the second serves.
    Second,
    /// Neither hears the other, and clients get to both.
    Both,
}

/// What a way came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weighed {
    /// Worth served over that of an undivided limit, in each phase.
    pub first: f64,
    /// Likewise.
    pub second: f64,
    /// Likewise.
    pub both: f64,
    /// The most units by which a window exceeded the limit with its slack; none: it was kept.
    pub excess: f64,
}

#[derive(Clone, Copy)]
struct Store {
    level: f64,
    /// It gives nothing before.
    from: Duration,
}

/// Weighs a way with this many volumes.
pub fn weigh(way: Way, volumes: usize, seed: u64) -> Weighed {
    let mut sum = Weighed::default();
    let (mut worth, mut whole) = ([0.0; 3], [0.0; 3]);
    for volume in 0..volumes {
        let seed = seed.wrapping_mul(1_000_003) + volume as u64;
        let (served, excess) = play(way, seed);
        // What one machine could serve that is alone all the time: the same demand on an undivided limit.
        let (alone, _) = play(Way::Whole, seed);
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

/// One volume over phases of a minute each, in turn; worth in each phase a second, and the excess.
fn play(way: Way, seed: u64) -> ([f64; 3], f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // A fifth ask for three times their size all day, a quarter for eight times in surges, the rest for little.
    let kind: f64 = random.random();
    let minute = Duration::from_secs(60);
    let phases = [Phase::First, Phase::Second, Phase::First, Phase::Both, Phase::First, Phase::Second];
    let mut stores = [0, 1].map(|it| Store { level: SLACK * way.part(it).1, from: Duration::ZERO });
    let (mut worth, mut time) = ([0.0; 3], [0.0; 3]);
    let (mut bucket, mut excess) = (0.0_f64, 0.0_f64);
    let mut now = Duration::ZERO;
    let mut wanted = 0.0_f64;
    let mut second = 0.0_f64;
    let mut next_second = Duration::from_secs(1);
    let mut size: f64 = f64::from(random.random_range(1..=8_u32));
    for (number, phase) in phases.iter().enumerate() {
        // Whoever begins to serve takes over from one that is dead, or that it does not hear.
        let begins: &[usize] = match phase {
            Phase::First => &[0],
            Phase::Second | Phase::Both => &[1],
        };
        for machine in begins.iter().filter(|_| number > 0) {
            let store = &mut stores[*machine];
            match way {
                Way::Whole => store.level = BURST.min(store.level.max(SLACK)),
                Way::Empty => *store = Store { level: 0.0, from: now },
                Way::Delayed => *store = Store { level: 0.0, from: now + FINISH },
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
            for (machine, store) in stores.iter_mut().enumerate() {
                if now >= store.from {
                    let (rate, burst) = way.part(machine);
                    store.level = (store.level + RATE * rate * step).min(BURST * burst);
                }
            }
            bucket = (bucket - RATE * step).max(0.0);
            let surge = now.as_secs() % 30 < 9;
            let rate = match kind {
                kind if kind < 0.2 => 3.0 * SIZE,
                kind if kind < 0.45 && surge => 8.0 * SIZE,
                _ => 0.8 * SIZE,
            };
            wanted += rate * step;
            // A request goes when its units are there; what waits for longer than it lasts has gone away.
            wanted = wanted.min(rate * FINISH.as_secs_f64() + size);
            while wanted >= size {
                let machine = match phase {
                    Phase::First => 0,
                    Phase::Second => 1,
                    Phase::Both => usize::from(random.random::<bool>()),
                };
                let store = &mut stores[machine];
                if now < store.from || store.level < size {
                    break;
                }
                store.level -= size;
                wanted -= size;
                second += size;
                bucket += size;
                excess = excess.max(bucket - BURST - SLACK);
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

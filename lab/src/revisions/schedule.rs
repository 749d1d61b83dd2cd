//! Schedules drawn from a seed: how many voters, what is done to them and when, who proposes what.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The faults and most proposals fall into so much of the beginning.
const BUSY: Duration = Duration::from_secs(25);
/// One schedule in so many has enough proposals for snapshots.
const LONG_SCHEDULES: u64 = 8;

/// What happens to what is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    /// Part that is lost, and part that comes twice.
    pub loss: f64,
    pub doubled: f64,
    /// Every message takes as long, and up to as much longer: later ones overtake earlier ones.
    pub delay: Duration,
    pub jitter: Duration,
}

impl Default for Network {
    fn default() -> Self {
        let (delay, jitter) = (Duration::from_millis(5), Duration::from_millis(20));
        Network { loss: 0.0, doubled: 0.0, delay, jitter }
    }
}

/// What is done to the planners, and undone after a while.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Processes are killed, and started again at the end.
    Kill(Vec<usize>),
    /// A process dies at a write, before or after it is on disk, and is started again at the end.
    CrashAtWrite { who: usize, write: u64, after: bool },
    /// Processes are stopped, and go on at the end.
    Pause(Vec<usize>),
    /// Nothing passes from the first to the second.
    CutOneWay(usize, usize),
    /// Nothing passes between the two.
    Cut(usize, usize),
    /// Some don't hear the others, nor the others them.
    Split(Vec<usize>),
    /// The network loses, doubles and delays.
    Bad(Network),
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub struct Timed {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// A new document against what the replica has.
    Current,
    /// Against an older revision.
    Stale,
    /// Against a revision that never was.
    Forged,
    /// A proposal that was submitted before, with its id.
    Again,
    /// A document that is no good.
    Invalid,
    /// The content of an older revision against what the replica has.
    Back,
    /// New documents at all replicas at once.
    Everywhere,
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub voters: usize,
    pub faults: Vec<Timed>,
    /// When the last fault is over.
    pub over: Duration,
    /// Who is asked what, and when.
    pub submissions: Vec<(Duration, usize, Submission)>,
}

/// Draws the schedule of a seed.
pub fn draw(seed: u64) -> Schedule {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut faults = Vec::new();
    let mut over = BUSY;
    for _ in 0..random.random_range(1..=7) {
        let at = Duration::from_secs_f64(BUSY.as_secs_f64() * random.random::<f64>());
        // From a tenth of a second to half a minute, short ones as often as long ones.
        let lasts = Duration::from_secs_f64(0.1 * 300_f64.powf(random.random()));
        over = over.max(at + lasts);
        faults.push(Timed { at, lasts, fault: draw_fault(&mut random, voters) });
    }
    let long = seed % LONG_SCHEDULES == 1;
    let count = if long { random.random_range(250..400) } else { random.random_range(5..60) };
    let mut submissions: Vec<_> = (0..count)
        .map(|_| {
            let at = over.as_secs_f64() * random.random::<f64>();
            (Duration::from_secs_f64(at), random.random_range(0..voters), draw_submission(&mut random))
        })
        .collect();
    submissions.sort_by_key(|(at, _, _)| *at);
    Schedule { voters, faults, over, submissions }
}

fn draw_fault(random: &mut ChaCha8Rng, voters: usize) -> Fault {
    let one = random.random_range(0..voters);
    let other = (one + random.random_range(1..voters)) % voters;
    let part = [0.0, 0.34, 0.5, 1.0][random.random_range(0..4)];
    let mut some: Vec<usize> = (0..voters).filter(|_| random.random::<f64>() < part).collect();
    if some.is_empty() {
        some.push(one);
    }
    match random.random_range(0..8) {
        0 => Fault::Kill(some),
        1 | 2 => Fault::CrashAtWrite { who: one, write: random.random_range(0..20), after: random.random() },
        3 => Fault::Pause(some),
        4 => Fault::CutOneWay(one, other),
        5 => Fault::Cut(one, other),
        6 => Fault::Split(some),
        _ => Fault::Bad(Network {
            loss: 0.4 * random.random::<f64>(),
            doubled: 0.3 * random.random::<f64>(),
            delay: Duration::from_millis(random.random_range(0..50)),
            jitter: Duration::from_millis(random.random_range(0..400)),
        }),
    }
}

fn draw_submission(random: &mut ChaCha8Rng) -> Submission {
    match random.random_range(0..20) {
        0..=9 => Submission::Current,
        10 | 11 => Submission::Stale,
        12 => Submission::Forged,
        13..=15 => Submission::Again,
        16 => Submission::Invalid,
        17 => Submission::Back,
        _ => Submission::Everywhere,
    }
}

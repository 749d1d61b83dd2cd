//! Random schedules from a seed: the number of voters, the faults, and the proposals of clients.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Faults start within this time from the beginning.
const FAULT_PERIOD: Duration = Duration::from_secs(25);
/// One schedule out of this number has enough proposals for snapshots.
const LONG_SCHEDULE_INTERVAL: u64 = 8;

/// Properties of the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    /// Shares of messages that are lost and duplicated.
    pub loss: f64,
    pub doubled: f64,
    /// Delay of every message, and the max additional random delay, which reorders messages.
    pub delay: Duration,
    pub jitter: Duration,
}

impl Default for Network {
    fn default() -> Self {
        let (delay, jitter) = (Duration::from_millis(5), Duration::from_millis(20));
        Network { loss: 0.0, doubled: 0.0, delay, jitter }
    }
}

/// A fault, which ends after a while.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Processes are killed, and restarted at the end.
    Kill(Vec<usize>),
    /// A process crashes at a write, before or after it is durable, and is restarted at the end.
    CrashAtWrite { who: usize, write: u64, after: bool },
    /// Processes are stopped, and continued at the end.
    Pause(Vec<usize>),
    /// Messages from the first to the second are lost.
    CutOneWay(usize, usize),
    /// Messages between the two are lost.
    Cut(usize, usize),
    /// Messages between these planners and all others are lost.
    Split(Vec<usize>),
    /// The network loses, duplicates and delays as stated.
    Bad(Network),
}

/// A fault with its start and duration.
#[derive(Clone, Debug)]
pub struct Timed {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

/// What a client submits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// A new document, expecting the replica's newest revision.
    Current,
    /// A new document, expecting an older revision.
    Stale,
    /// A new document, expecting a revision that does not exist.
    Forged,
    /// An earlier proposal with the same id.
    Again,
    /// An invalid document.
    Invalid,
    /// The document of an older revision, expecting the replica's newest revision.
    Back,
    /// New documents at all replicas at the same time.
    Everywhere,
}

/// A schedule of faults and submissions.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub voters: usize,
    pub faults: Vec<Timed>,
    /// When the last fault has ended.
    pub over: Duration,
    /// Time, replica and kind of each submission.
    pub submissions: Vec<(Duration, usize, Submission)>,
}

/// Returns the schedule of a seed.
pub fn random_schedule(seed: u64) -> Schedule {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut faults = Vec::new();
    let mut over = FAULT_PERIOD;
    for _ in 0..random.random_range(1..=7) {
        let at = Duration::from_secs_f64(FAULT_PERIOD.as_secs_f64() * random.random::<f64>());
        // From 0.1 s to 30 s, log-uniform.
        let lasts = Duration::from_secs_f64(0.1 * 300_f64.powf(random.random()));
        over = over.max(at + lasts);
        faults.push(Timed { at, lasts, fault: random_fault(&mut random, voters) });
    }
    let long = seed % LONG_SCHEDULE_INTERVAL == 1;
    let count = if long { random.random_range(250..400) } else { random.random_range(5..60) };
    let mut submissions: Vec<_> = (0..count)
        .map(|_| {
            let at = over.as_secs_f64() * random.random::<f64>();
            (Duration::from_secs_f64(at), random.random_range(0..voters), random_submission(&mut random))
        })
        .collect();
    submissions.sort_by_key(|(at, _, _)| *at);
    Schedule { voters, faults, over, submissions }
}

fn random_fault(random: &mut ChaCha8Rng, voters: usize) -> Fault {
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

fn random_submission(random: &mut ChaCha8Rng) -> Submission {
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

//! What a seed stands for: the fleet, the traffic and the faults of one run, drawn once and replayed the same.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
/// Sizes of the node list, small ones more often: most faults need no large fleet.
const SIZES: [usize; 8] = [12, 24, 60, 60, 200, 200, 800, 3_200];
const SIZES_SHORT: [usize; 4] = [12, 60, 200, 800];
/// The longest time that a process may be held up at once.
const LONGEST_HOLD: u64 = 150;
/// Part of the requests that come on a connection of their own, as a rule.
const NEW_CONNECTIONS: f64 = 0.15;
/// Sets the draws of extended runs apart from the plain ones.
const EXTENDED: u64 = 0x6578_7465_6e64;
/// Part of the extended runs with a crowd, its waves at most, and its size at most: by the descriptors, and in all.
const WITH_CROWD: f64 = 0.7;
const MOST_WAVES: usize = 4;
const MOST_CROWD: usize = 20;
const LARGEST_CROWD: usize = 5_000;
/// What follows SIGTERM at most, and how long after it.
const MOST_END_SIGNALS: usize = 6;
const END_SIGNALS_WITHIN: u64 = 3_000;
/// Faults of one run.
const FAULTS: std::ops::RangeInclusive<usize> = 3..=7;

/// One thing that goes wrong. Shares are parts of all nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nodes drain in steps, then leave, and come back as cold ones.
    Replace { share: f64, steps: usize, pause: Duration },
    /// The whole list is told.
    WholeList,
    /// Discovery answers nothing.
    Silence { lasts: Duration },
    /// Discovery answers late.
    Slow { lasts: Duration, delay: Duration },
    /// All connections to discovery are reset.
    ResetDiscovery,
    /// Nodes accept and do not answer.
    Hang { share: f64, lasts: Duration },
    /// Nodes refuse connections and reset those they have.
    Down { share: f64, lasts: Duration },
    /// Nodes answer an error.
    Errors { share: f64, lasts: Duration },
    /// Nodes close or reset the connections that rest.
    DropIdle { share: f64 },
    /// Clients close connections with requests open on them.
    ClientsLeave { share: f64 },
    /// The process is stopped and goes on, several times.
    Hold { times: usize, each: Duration, pause: Duration },
    /// So many idle connections are opened at once.
    Crowd { count: usize },
    /// SIGHUP several times in quick succession.
    Reload { times: usize, pause: Duration },
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// Nodes listed, one a shard.
    pub nodes: usize,
    /// Initiators that the settings name; one of them is real.
    pub initiators: u32,
    pub requests_per_second: f64,
    /// Part of the requests that come on a connection of their own.
    pub new_connections: f64,
    /// Deadlines of reads and writes.
    pub deadlines: [Duration; 2],
    /// Connections that are opened, say nothing or little, and stay.
    pub crowd: usize,
    /// Connections that say half a command and stay.
    pub half_said: usize,
    /// Nodes that never accept, as a part of all.
    pub dead_share: f64,
    /// How long a node takes over a request, at least and at most.
    pub service: [Duration; 2],
    /// The faults, by when they begin.
    pub faults: Vec<(Duration, Fault)>,
    /// When the process is asked to end.
    pub ends: Duration,
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// What follows the first SIGTERM, by how long after it.
    pub end_signals: Vec<(Duration, EndSignal)>,
}

/// Something that happens to a process that was asked to end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndSignal {
    /// SIGTERM once more.
    Terminate,
    /// SIGHUP.
    Reload,
    /// SIGSTOP, and SIGCONT so long after it.
    Hold(Duration),
}

impl Plan {
    /// The run of a seed.
    pub fn draw(seed: u64, short: bool) -> Plan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let sizes: &[usize] = if short { &SIZES_SHORT } else { &SIZES };
        let nodes = *sizes.choose(&mut random).unwrap_or(&60);
        let ends = if short { ms(4_000) } else { ms(random.random_range(6_000..10_000)) };
        let count = random.random_range(FAULTS);
        let last = ends.as_millis() as u64;
        let mut faults: Vec<(Duration, Fault)> =
            (0..count).map(|_| (ms(random.random_range(500..last)), fault(&mut random))).collect();
        faults.sort_by_key(|(at, _)| *at);
        let read = ms(random.random_range(500..2_500));
        let write = read + ms(random.random_range(0..1_500));
        Plan {
            seed,
            nodes,
            initiators: *[1, 3, 10, 300].choose(&mut random).unwrap_or(&3),
            requests_per_second: random.random_range(10.0..80.0),
            new_connections: NEW_CONNECTIONS,
            deadlines: [read, write],
            crowd: if random.random_bool(0.3) { random.random_range(20..200) } else { 0 },
            half_said: random.random_range(0..4),
            dead_share: if random.random_bool(0.5) { random.random_range(0.05..0.3) } else { 0.0 },
            service: [ms(2), ms(random.random_range(20..200))],
            faults,
            ends,
            descriptors: *[256, 512, 1_024].choose(&mut random).unwrap_or(&512),
            end_signals: Vec::new(),
        }
    }

    /// The run of a seed with crowds in waves while half of the requests come on new connections, and with signals in series
    /// around its end.
    pub fn draw_extended(seed: u64, short: bool) -> Plan {
        let mut plan = Plan::draw(seed, short);
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ EXTENDED);
        plan.new_connections = 0.5;
        if random.random_bool(WITH_CROWD) {
            let count = (plan.descriptors * random.random_range(1..=MOST_CROWD)).min(LARGEST_CROWD);
            // The last may come into the end of the process.
            let last = plan.ends.as_millis() as u64 + 200;
            let waves = random.random_range(1..=MOST_WAVES);
            let wave = |_| (ms(random.random_range(500..last)), Fault::Crowd { count });
            plan.faults.extend((0..waves).map(wave).collect::<Vec<_>>());
            plan.faults.sort_by_key(|(at, _)| *at);
        }
        let signals = random.random_range(0..=MOST_END_SIGNALS);
        plan.end_signals = (0..signals).map(|_| end_signal(&mut random)).collect();
        plan
    }

    /// A day without drawn faults for so many nodes: the same traffic at every size.
    pub fn of_size(seed: u64, nodes: usize, faults: Vec<(Duration, Fault)>, ends: Duration) -> Plan {
        Plan {
            seed,
            nodes,
            initiators: 300,
            requests_per_second: 20.0,
            new_connections: NEW_CONNECTIONS,
            deadlines: [ms(2_000), ms(3_000)],
            crowd: 0,
            half_said: 0,
            dead_share: 0.0,
            service: [ms(20), ms(120)],
            faults,
            ends,
            descriptors: 512,
            end_signals: Vec::new(),
        }
    }

    /// Whether idle clients may fill the descriptors.
    pub fn is_crowded(&self) -> bool {
        let waves = self.faults.iter().any(|(_, fault)| matches!(fault, Fault::Crowd { .. }));
        self.crowd > 0 || waves
    }

    /// From SIGTERM to SIGKILL, the earliest that the pages allow: the longest deadline, of which 3 s count, and 0.7 s.
    pub fn grace(&self) -> Duration {
        self.deadlines[0].max(self.deadlines[1]).min(ms(3_000)) + ms(700)
    }
}

fn end_signal(random: &mut ChaCha8Rng) -> (Duration, EndSignal) {
    let after = ms(random.random_range(1..END_SIGNALS_WITHIN));
    let signal = match random.random_range(0..3) {
        0 => EndSignal::Terminate,
        1 => EndSignal::Reload,
        _ => EndSignal::Hold(ms(random.random_range(20..LONGEST_HOLD))),
    };
    (after, signal)
}

fn fault(random: &mut ChaCha8Rng) -> Fault {
    let share = random.random_range(0.05..0.4);
    let lasts = ms(random.random_range(300..3_000));
    match random.random_range(0..12) {
        0 | 1 => {
            let (steps, pause) = (random.random_range(1..6), ms(random.random_range(100..500)));
            Fault::Replace { share, steps, pause }
        }
        2 => Fault::WholeList,
        3 => Fault::Silence { lasts },
        4 => Fault::Slow { lasts, delay: ms(random.random_range(20..200)) },
        5 => Fault::ResetDiscovery,
        6 => Fault::Hang { share, lasts },
        7 => Fault::Down { share, lasts },
        8 => Fault::Errors { share, lasts },
        9 => Fault::DropIdle { share },
        10 => Fault::ClientsLeave { share },
        _ if random.random_bool(0.5) => Fault::Hold {
            times: random.random_range(1..6),
            each: ms(random.random_range(20..LONGEST_HOLD)),
            pause: ms(random.random_range(20..300)),
        },
        _ => Fault::Reload { times: random.random_range(1..6), pause: ms(random.random_range(5..300)) },
    }
}

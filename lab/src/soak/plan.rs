//! The plan of one run: fleet, traffic and faults, all determined by a seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
/// Sizes of the node list; small ones are more frequent, as most faults need no large fleet.
const NODE_COUNTS: [usize; 8] = [12, 24, 60, 60, 200, 200, 800, 3_200];
const SHORT_NODE_COUNTS: [usize; 4] = [12, 60, 200, 800];
/// The longest time for which the process is stopped at once, in milliseconds.
const MAX_HOLD_MS: u64 = 150;
/// Share of the requests sent on a new connection, except in extended runs.
const NEW_CONNECTIONS: f64 = 0.15;
/// Share of the requests of extended runs in whose place a pipeline with a long value is sent.
const PIPELINES: f64 = 0.2;
/// Mixed into the seed of extended runs, so that their draws differ from those of plain runs.
const EXTENDED_SEED_MASK: u64 = 0x6578_7465_6e64;
/// Share of the extended runs with waves of idle connections, and the limits of these: number of waves, connections of
/// a wave as a multiple of the descriptor limit, and connections of a wave.
const CROWD_PROBABILITY: f64 = 0.7;
const MAX_WAVES: usize = 4;
const MAX_CROWD_PER_DESCRIPTOR: usize = 20;
const MAX_CROWD: usize = 5_000;
/// Max number of signals after SIGTERM, and their max delay after it in milliseconds.
const MAX_END_SIGNALS: usize = 6;
const MAX_END_SIGNAL_DELAY_MS: u64 = 3_000;
/// Number of faults in a run.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 3..=7;

/// A fault. A `share` is a fraction of all nodes, or of all clients in `ClientsLeave`.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nodes drain in steps, then leave, and come back in slow start.
    Replace { share: f64, steps: usize, pause: Duration },
    /// Discovery sends the whole list.
    WholeList,
    /// Discovery does not answer.
    Silence { lasts: Duration },
    /// Discovery delays its answers.
    Slow { lasts: Duration, delay: Duration },
    /// All connections to discovery are reset.
    ResetDiscovery,
    /// Nodes accept connections and do not answer.
    Hang { share: f64, lasts: Duration },
    /// Nodes reset existing and new connections.
    Down { share: f64, lasts: Duration },
    /// Nodes answer with errors.
    Errors { share: f64, lasts: Duration },
    /// Nodes reset connections in the middle of long values.
    BreakOff { share: f64, lasts: Duration },
    /// Nodes close or reset idle connections.
    DropIdle { share: f64 },
    /// Clients close connections with a request in flight.
    ClientsLeave { share: f64 },
    /// The process is stopped (SIGSTOP) and continued, several times.
    Hold { times: usize, each: Duration, pause: Duration },
    /// `count` idle connections are opened at once.
    Crowd { count: usize },
    /// Several SIGHUPs in quick succession.
    Reload { times: usize, pause: Duration },
}

/// The plan of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// Listed nodes, one for each shard.
    pub nodes: usize,
    /// Number of initiators in the settings; only one runs.
    pub initiators: u32,
    pub requests_per_second: f64,
    /// Share of the requests sent on a new connection.
    pub new_connections: f64,
    /// Share of the requests in whose place a write, the read of a long value and another write are sent at once.
    pub pipelines: f64,
    /// Deadlines of reads and writes.
    pub deadlines: [Duration; 2],
    /// Connections that are opened, send nothing, and stay open.
    pub crowd: usize,
    /// Connections that send an incomplete command and stay open.
    pub half_said: usize,
    /// Share of the nodes that refuse all connections.
    pub dead_share: f64,
    /// Min and max service time of a node.
    pub service: [Duration; 2],
    /// The faults with their start, counted from the start of the run.
    pub faults: Vec<(Duration, Fault)>,
    /// When SIGTERM is sent.
    pub ends: Duration,
    /// Limit of the process's descriptors.
    pub descriptors: usize,
    /// What follows the first SIGTERM, with the delay after it.
    pub end_signals: Vec<(Duration, EndSignal)>,
}

/// Something that happens to the process during its graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndSignal {
    /// SIGTERM once more.
    Terminate,
    /// SIGHUP.
    Reload,
    /// SIGSTOP, and SIGCONT after this time.
    Hold(Duration),
}

impl Plan {
    /// Returns the plan of a seed.
    pub fn draw(seed: u64, short: bool) -> Plan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let sizes: &[usize] = if short { &SHORT_NODE_COUNTS } else { &NODE_COUNTS };
        let nodes = *sizes.choose(&mut random).unwrap_or(&60);
        let ends = if short { ms(4_000) } else { ms(random.random_range(6_000..10_000)) };
        let count = random.random_range(FAULT_COUNT);
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
            pipelines: 0.0,
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

    /// Returns the extended plan of a seed: waves of idle connections, half of the requests on new connections, several
    /// requests at once with long values that break off, and series of signals during shutdown.
    pub fn draw_extended(seed: u64, short: bool) -> Plan {
        let mut plan = Plan::draw(seed, short);
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ EXTENDED_SEED_MASK);
        plan.new_connections = 0.5;
        if random.random_bool(CROWD_PROBABILITY) {
            let count = (plan.descriptors * random.random_range(1..=MAX_CROWD_PER_DESCRIPTOR)).min(MAX_CROWD);
            // The last wave may fall into the shutdown of the process.
            let last = plan.ends.as_millis() as u64 + 200;
            let waves = random.random_range(1..=MAX_WAVES);
            let wave = |_| (ms(random.random_range(500..last)), Fault::Crowd { count });
            plan.faults.extend((0..waves).map(wave).collect::<Vec<_>>());
            plan.faults.sort_by_key(|(at, _)| *at);
        }
        let signals = random.random_range(0..=MAX_END_SIGNALS);
        plan.end_signals = (0..signals).map(|_| end_signal(&mut random)).collect();
        plan.pipelines = PIPELINES;
        let share = random.random_range(0.3..1.0);
        let begins = ms(random.random_range(0..plan.ends.as_millis() as u64 / 2));
        let lasts = ms(random.random_range(1_000..4_000));
        plan.faults.push((begins, Fault::BreakOff { share, lasts }));
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Returns a plan for `nodes` nodes with the given faults and the same traffic at every size.
    pub fn of_size(seed: u64, nodes: usize, faults: Vec<(Duration, Fault)>, ends: Duration) -> Plan {
        Plan {
            seed,
            nodes,
            initiators: 300,
            requests_per_second: 20.0,
            new_connections: NEW_CONNECTIONS,
            pipelines: 0.0,
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

    /// Whether idle clients may use up the descriptors.
    pub fn is_crowded(&self) -> bool {
        let waves = self.faults.iter().any(|(_, fault)| matches!(fault, Fault::Crowd { .. }));
        self.crowd > 0 || waves
    }

    /// Returns the time from SIGTERM to SIGKILL: the longest deadline, capped at 3 s, plus 0.7 s. No supervisor may
    /// kill the process earlier.
    pub fn grace(&self) -> Duration {
        self.deadlines[0].max(self.deadlines[1]).min(ms(3_000)) + ms(700)
    }
}

fn end_signal(random: &mut ChaCha8Rng) -> (Duration, EndSignal) {
    let after = ms(random.random_range(1..MAX_END_SIGNAL_DELAY_MS));
    let signal = match random.random_range(0..3) {
        0 => EndSignal::Terminate,
        1 => EndSignal::Reload,
        _ => EndSignal::Hold(ms(random.random_range(20..MAX_HOLD_MS))),
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
            each: ms(random.random_range(20..MAX_HOLD_MS)),
            pause: ms(random.random_range(20..300)),
        },
        _ => Fault::Reload { times: random.random_range(1..6), pause: ms(random.random_range(5..300)) },
    }
}

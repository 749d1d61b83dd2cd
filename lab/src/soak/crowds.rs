//! `topazpath-lab crowds`: waves of idle connections against few descriptors, while requests come on new connections and
//! on those in service. What nodes are told and when answers come is judged by the clients' time alone.

use super::history::{Attempt, End, History, Request};
use super::plan::{Fault, Plan};
use super::rig;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
/// Connections of a wave; none is what the others are held against.
const CROWDS: [usize; 5] = [0, 150, 400, 1_500, 5_000];
const DESCRIPTORS: [usize; 2] = [256, 1_024];
/// Waves, when the first begins, and how far apart they are.
const WAVES: u32 = 4;
const FIRST_WAVE: Duration = ms(1_000);
const BETWEEN_WAVES: Duration = ms(2_500);
/// How long the process is held up at once where it is, how long it runs in between, and how often that is.
const HOLD: Duration = ms(150);
const BETWEEN_HOLDS: Duration = ms(500);
const HOLDS: usize = 16;
/// When a run asks the process to end: after the last wave and the longest deadline.
const ENDS: Duration = ms(11_500);
const REQUESTS_PER_SECOND: f64 = 40.0;
const NEW_CONNECTIONS: f64 = 0.5;
const DEADLINES: [Duration; 2] = [ms(1_000), ms(2_000)];
const NODES: usize = 24;
/// A node may be told so much more than its client has left, beside the time that the process was held up.
const TOLD_SLACK: Duration = ms(50);
/// An answer may come so long after its client's time, for the stand-ins' own sockets.
const ANSWER_SLACK: Duration = ms(50);

/// The longest answer that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 10_000_000;

/// Options of the command.
#[derive(clap::Args)]
pub struct Options {
    /// The seed of the traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Only waves of so many connections.
    #[arg(long)]
    crowd: Option<usize>,
    /// Only against so many descriptors.
    #[arg(long)]
    descriptors: Option<usize>,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Connections of a wave.
    pub crowd: usize,
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Whether the process is held up again and again.
    pub held_up: bool,
}

impl Scene {
    fn plan(&self, seed: u64) -> Plan {
        let waves = (0..WAVES).filter(|_| self.crowd > 0);
        let wave = |number| (FIRST_WAVE + BETWEEN_WAVES * number, Fault::Crowd { count: self.crowd });
        let mut faults: Vec<(Duration, Fault)> = waves.map(wave).collect();
        if self.held_up {
            faults.push((ms(0), Fault::Hold { times: HOLDS, each: HOLD, pause: BETWEEN_HOLDS }));
        }
        Plan {
            requests_per_second: REQUESTS_PER_SECOND,
            new_connections: NEW_CONNECTIONS,
            deadlines: DEADLINES,
            descriptors: self.descriptors,
            ..Plan::of_size(seed, NODES, faults, ENDS)
        }
    }
}

/// What was seen of requests that came on connections of one kind.
#[derive(Debug)]
pub struct Seen {
    pub requests: usize,
    pub refused: usize,
    /// Closed without an answer, as the pages allow it for new connections of a crowd.
    pub shut: usize,
    /// Answers after the client's time, and the latest.
    pub late: usize,
    pub latest: Duration,
    /// Requests of which a node was told too much, and the most that one was told beyond its client's time.
    pub told_too_much: usize,
    pub most_beyond: Duration,
    /// Microseconds until the answer of those that were served.
    pub served: Histogram<u64>,
}

/// What came of a scene.
#[derive(Debug)]
pub struct Outcome {
    /// On connections that had rested: clients in service.
    pub in_service: Seen,
    /// On connections of their own.
    pub new: Seen,
}

impl Outcome {
    /// Whether no node was told too much and no answer came late.
    pub fn holds(&self) -> bool {
        [&self.in_service, &self.new].into_iter().all(|seen| seen.late == 0 && seen.told_too_much == 0)
    }
}

/// Plays a scene.
///
/// # Errors
///
/// The process or a stand-in does not start.
pub fn play(scene: &Scene, seed: u64) -> Result<Outcome, String> {
    let history = rig::play(&scene.plan(seed))?.history;
    let in_service = seen(&history, |request| request.reused);
    let new = seen(&history, |request| !request.reused);
    Ok(Outcome { in_service, new })
}

/// When a client's time begins: with its request on a connection that is up.
fn begins(request: &Request) -> Instant {
    request.up.map_or(request.sent, |up| up.max(request.sent))
}

fn seen(history: &History, wanted: impl Fn(&Request) -> bool) -> Seen {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    let excused =
        history.standstill + history.holds.iter().map(|(from, to)| *to - *from).max().unwrap_or_default();
    let served = Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("the bounds are valid");
    let mut seen = Seen {
        requests: 0,
        refused: 0,
        shut: 0,
        late: 0,
        latest: Duration::ZERO,
        told_too_much: 0,
        most_beyond: Duration::ZERO,
        served,
    };
    // What comes after SIGTERM is another experiment's.
    let before_end =
        |request: &&Request| history.terminated.is_none_or(|at| request.sent + request.waits < at);
    for request in history.requests.iter().filter(|request| wanted(request)).filter(before_end) {
        let over = begins(request) + request.waits;
        seen.requests += 1;
        match &request.end {
            Some((at, End::Answered { served })) => {
                seen.refused += usize::from(!served);
                if *served {
                    seen.served.saturating_record((*at - request.sent).as_micros() as u64);
                }
                let late = at.saturating_duration_since(over);
                seen.latest = seen.latest.max(late);
                seen.late += usize::from(late > ANSWER_SLACK + excused);
            }
            Some((_, End::Closed | End::Unreached)) => seen.shut += 1,
            // Nothing came until the client gave up, long after its time.
            Some((_, End::Left | End::Garbled(_))) | None => seen.late += 1,
        }
        let own = attempts.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let beyond = own.iter().map(|it| (it.begun + it.left).saturating_duration_since(over)).max();
        let beyond = beyond.unwrap_or_default();
        seen.most_beyond = seen.most_beyond.max(beyond);
        seen.told_too_much += usize::from(beyond > TOLD_SLACK + excused);
    }
    seen
}

/// True if every scene holds.
pub fn run(options: &Options) -> Result<bool, String> {
    println!("| crowd | descriptors | held up | connections | requests | refused | shut | served 99% | told beyond, most | over the slack | late | latest |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut holds = true;
    for descriptors in DESCRIPTORS.into_iter().filter(|it| options.descriptors.is_none_or(|only| only == *it))
    {
        for held_up in [false, true] {
            for crowd in CROWDS.into_iter().filter(|it| options.crowd.is_none_or(|only| only == *it)) {
                let scene = Scene { crowd, descriptors, held_up };
                let outcome = play(&scene, options.seed)?;
                holds &= outcome.holds();
                print(&scene, "in service", &outcome.in_service);
                print(&scene, "new", &outcome.new);
            }
        }
    }
    Ok(holds)
}

fn print(scene: &Scene, connections: &str, seen: &Seen) {
    let tail = Duration::from_micros(seen.served.value_at_quantile(0.99));
    println!(
        "| {} | {} | {} | {connections} | {} | {} | {} | {tail:.1?} | {:.0?} | {} | {} | {:.0?} |",
        scene.crowd,
        scene.descriptors,
        if scene.held_up { "yes" } else { "no" },
        seen.requests,
        seen.refused,
        seen.shut,
        seen.most_beyond,
        seen.told_too_much,
        seen.late,
        seen.latest
    );
}

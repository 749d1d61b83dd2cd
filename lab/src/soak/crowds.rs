//! `topazpath-lab crowds`: waves of idle connections against a low descriptor limit, while requests arrive on new and
//! on established connections. The remaining time told to nodes and the time of answers are compared with the clients'
//! deadlines.

use super::history::{Attempt, End, History, Request};
use super::plan::{Fault, Plan};
use super::rig;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
/// Connections of a wave; 0 is the baseline.
const CROWD_SIZES: [usize; 5] = [0, 150, 400, 1_500, 5_000];
const DESCRIPTOR_LIMITS: [usize; 2] = [256, 1_024];
/// Number of waves, time of the first, and the interval between them.
const WAVES: u32 = 4;
const FIRST_WAVE: Duration = ms(1_000);
const WAVE_INTERVAL: Duration = ms(2_500);
/// How long the process is stopped at a time, how long it runs in between, and how many times it is stopped.
const HOLD: Duration = ms(150);
const HOLD_INTERVAL: Duration = ms(500);
const HOLDS: usize = 16;
/// When SIGTERM is sent: after the last wave and the longest deadline.
const TERMINATE_AT: Duration = ms(11_500);
const REQUESTS_PER_SECOND: f64 = 40.0;
const NEW_CONNECTIONS: f64 = 0.5;
const DEADLINES: [Duration; 2] = [ms(1_000), ms(2_000)];
const NODES: usize = 24;
/// A node may be told a remaining time that exceeds its client's by this, plus the time that the process was stopped.
const TIME_LEFT_SLACK: Duration = ms(50);
/// Allowed lateness of an answer, for the delay of the stand-ins' own sockets.
const ANSWER_SLACK: Duration = ms(50);

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_MICROS: u64 = 10_000_000;

/// Options of the command.
#[derive(clap::Args)]
pub struct Options {
    /// The seed of the traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Only waves of this number of connections.
    #[arg(long)]
    crowd: Option<usize>,
    /// Only with this limit of descriptors.
    #[arg(long)]
    descriptors: Option<usize>,
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Connections of a wave.
    pub crowd: usize,
    /// Limit of the process's descriptors.
    pub descriptors: usize,
    /// Whether the process is stopped repeatedly.
    pub held_up: bool,
}

impl Scene {
    fn plan(&self, seed: u64) -> Plan {
        let waves = (0..WAVES).filter(|_| self.crowd > 0);
        let wave = |number| (FIRST_WAVE + WAVE_INTERVAL * number, Fault::Crowd { count: self.crowd });
        let mut faults: Vec<(Duration, Fault)> = waves.map(wave).collect();
        if self.held_up {
            faults.push((ms(0), Fault::Hold { times: HOLDS, each: HOLD, pause: HOLD_INTERVAL }));
        }
        Plan {
            requests_per_second: REQUESTS_PER_SECOND,
            new_connections: NEW_CONNECTIONS,
            deadlines: DEADLINES,
            descriptors: self.descriptors,
            ..Plan::of_size(seed, NODES, faults, TERMINATE_AT)
        }
    }
}

/// Results of the requests on one kind of connection.
#[derive(Debug)]
pub struct Summary {
    pub requests: usize,
    pub refused: usize,
    /// Closed without an answer, which is allowed for new connections while descriptors are short.
    pub closed: usize,
    /// Answers after the client's deadline by more than the slack, and the greatest lateness.
    pub late: usize,
    pub max_lateness: Duration,
    /// Requests of which a node was told too long a remaining time, and the greatest excess.
    pub excessive_time_left: usize,
    pub max_excess: Duration,
    /// Latency of served requests, in microseconds.
    pub served: Histogram<u64>,
}

/// The results of a scene.
#[derive(Debug)]
pub struct Outcome {
    /// Requests on reused connections.
    pub in_service: Summary,
    /// Requests on new connections.
    pub new: Summary,
}

impl Outcome {
    /// Whether no node was told too long a remaining time and no answer was late.
    pub fn holds(&self) -> bool {
        [&self.in_service, &self.new]
            .into_iter()
            .all(|summary| summary.late == 0 && summary.excessive_time_left == 0)
    }
}

/// Runs a scene.
///
/// # Errors
///
/// The process or a stand-in does not start.
pub fn play(scene: &Scene, seed: u64) -> Result<Outcome, String> {
    let history = rig::play(&scene.plan(seed))?.history;
    let in_service = summarize(&history, |request| request.reused);
    let new = summarize(&history, |request| !request.reused);
    Ok(Outcome { in_service, new })
}

/// Returns when a client's deadline starts to run: when the request is sent and the connection is established.
fn deadline_start(request: &Request) -> Instant {
    request.connected_at.map_or(request.sent, |connected_at| connected_at.max(request.sent))
}

fn summarize(history: &History, wanted: impl Fn(&Request) -> bool) -> Summary {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    let excused =
        history.standstill + history.holds.iter().map(|(from, to)| *to - *from).max().unwrap_or_default();
    let served = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("the bounds are valid");
    let mut summary = Summary {
        requests: 0,
        refused: 0,
        closed: 0,
        late: 0,
        max_lateness: Duration::ZERO,
        excessive_time_left: 0,
        max_excess: Duration::ZERO,
        served,
    };
    // Requests with a deadline after SIGTERM are covered by the soak.
    let before_end =
        |request: &&Request| history.terminated.is_none_or(|at| request.sent + request.timeout < at);
    for request in history.requests.iter().filter(|request| wanted(request)).filter(before_end) {
        let deadline = deadline_start(request) + request.timeout;
        summary.requests += 1;
        match &request.end {
            Some((at, End::Answered { served })) => {
                summary.refused += usize::from(!served);
                if *served {
                    summary.served.saturating_record((*at - request.sent).as_micros() as u64);
                }
                let late = at.saturating_duration_since(deadline);
                summary.max_lateness = summary.max_lateness.max(late);
                summary.late += usize::from(late > ANSWER_SLACK + excused);
            }
            Some((_, End::Closed | End::Unreached)) => summary.closed += 1,
            // No answer until the client gave up, which it does only after its deadline.
            Some((_, End::Left | End::Garbled(_) | End::CutOff { .. })) | None => summary.late += 1,
        }
        let own = attempts.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        let excess =
            own.iter().map(|it| (it.started_at + it.time_left).saturating_duration_since(deadline)).max();
        let excess = excess.unwrap_or_default();
        summary.max_excess = summary.max_excess.max(excess);
        summary.excessive_time_left += usize::from(excess > TIME_LEFT_SLACK + excused);
    }
    summary
}

/// Runs the selected scenes and prints a table; true if none has a late answer or a node told too long a time.
pub fn run(options: &Options) -> Result<bool, String> {
    println!("| crowd | descriptors | held up | connections | requests | refused | shut | served 99% | told beyond, most | over the slack | late | latest |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut holds = true;
    for descriptors in
        DESCRIPTOR_LIMITS.into_iter().filter(|it| options.descriptors.is_none_or(|only| only == *it))
    {
        for held_up in [false, true] {
            for crowd in CROWD_SIZES.into_iter().filter(|it| options.crowd.is_none_or(|only| only == *it)) {
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

fn print(scene: &Scene, connections: &str, summary: &Summary) {
    let tail = Duration::from_micros(summary.served.value_at_quantile(0.99));
    println!(
        "| {} | {} | {} | {connections} | {} | {} | {} | {tail:.1?} | {:.0?} | {} | {} | {:.0?} |",
        scene.crowd,
        scene.descriptors,
        if scene.held_up { "yes" } else { "no" },
        summary.requests,
        summary.refused,
        summary.closed,
        summary.max_excess,
        summary.excessive_time_left,
        summary.late,
        summary.max_lateness
    );
}

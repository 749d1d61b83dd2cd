//! `topazpath-lab settings`: draws random settings, simulates a fleet of the real core and scheduler with each in
//! virtual time, and checks every rule on the recorded history.

use super::check::Breaches;
use super::world::simulate;
use crate::arguments::Common;
use serde_json::{json, Map};
use std::time::Duration;

/// Virtual time in which requests arrive in one simulation.
pub const TIME: Duration = Duration::from_secs(10);

/// Options of the experiment.
#[derive(clap::Args)]
pub struct Options {
    #[command(flatten)]
    common: Common,
    /// Number of settings to try.
    #[arg(long, default_value_t = 200)]
    seeds: u64,
}

/// Simulates all seeds, in parallel; true if no rule was violated.
pub fn run(options: &Options) -> Result<bool, String> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let first = options.common.seed;
    let runs = std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads)
            .map(|thread| {
                scope.spawn(move || {
                    let seeds = (first..first + options.seeds).filter(|seed| seed % threads == thread);
                    seeds
                        .map(|seed| (seed, simulate(seed, TIME)))
                        .map(|(seed, seen)| (seed, seen.check(), seen.requests.len(), seen.attempts.len()))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        running.into_iter().map(|it| it.join()).collect::<Result<Vec<_>, _>>()
    });
    let mut runs = runs.map_err(|_| "a simulation panicked")?.concat();
    runs.sort_by_key(|(seed, ..)| *seed);
    let (mut all, mut requests, mut attempts) = (Breaches::default(), 0, 0);
    for (seed, breaches, asked, sent) in &runs {
        if breaches.sum() > 0 {
            println!("seed {seed}: {breaches:?}");
        }
        all.add(breaches);
        (requests, attempts) = (requests + asked, attempts + sent);
    }
    println!("{} settings, {requests} requests, {attempts} attempts: {all:?}", runs.len());
    let mut report = Map::new();
    report.insert("settings".into(), json!(runs.len()));
    report.insert("requests".into(), json!(requests));
    report.insert("attempts".into(), json!(attempts));
    report.insert("rule_breaches".into(), json!(all.sum()));
    report.insert("breaches".into(), json!(all));
    options.common.finish(report);
    Ok(all.sum() == 0)
}

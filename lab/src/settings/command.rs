//! `topazpath-lab settings`: settings drawn at random, each played through the real core and scheduler in virtual time,
//! and every rule checked on what was seen.

use super::check::Breaches;
use super::world::play;
use crate::arguments::Common;
use serde_json::{json, Map};
use std::time::Duration;

/// Virtual time of one play, before it is left to end.
pub const TIME: Duration = Duration::from_secs(10);

/// Options of the experiment.
#[derive(clap::Args)]
pub struct Options {
    #[command(flatten)]
    common: Common,
    /// How many settings are tried.
    #[arg(long, default_value_t = 200)]
    seeds: u64,
}

/// True if no rule broke.
pub fn run(options: &Options) -> Result<bool, String> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let first = options.common.seed;
    let plays = std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads)
            .map(|thread| {
                scope.spawn(move || {
                    let seeds = (first..first + options.seeds).filter(|seed| seed % threads == thread);
                    seeds
                        .map(|seed| (seed, play(seed, TIME)))
                        .map(|(seed, seen)| (seed, seen.check(), seen.requests.len(), seen.attempts.len()))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        running.into_iter().map(|it| it.join()).collect::<Result<Vec<_>, _>>()
    });
    let mut plays = plays.map_err(|_| "a play panicked")?.concat();
    plays.sort_by_key(|(seed, ..)| *seed);
    let (mut all, mut requests, mut attempts) = (Breaches::default(), 0, 0);
    for (seed, breaches, asked, sent) in &plays {
        if breaches.sum() > 0 {
            println!("seed {seed}: {breaches:?}");
        }
        all.add(breaches);
        (requests, attempts) = (requests + asked, attempts + sent);
    }
    println!("{} settings, {requests} requests, {attempts} attempts: {all:?}", plays.len());
    let mut report = Map::new();
    report.insert("settings".into(), json!(plays.len()));
    report.insert("requests".into(), json!(requests));
    report.insert("attempts".into(), json!(attempts));
    report.insert("rule_breaches".into(), json!(all.sum()));
    report.insert("breaches".into(), json!(all));
    options.common.finish(report);
    Ok(all.sum() == 0)
}

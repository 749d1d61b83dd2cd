//! `topazpath-lab soak`: runs the real process between stand-in clients, nodes and discovery, and injects faults. A
//! seed determines the plan of traffic and faults, so a run can be repeated. Checkers examine what the stand-ins
//! recorded.

mod checker;
mod clients;
mod crowd;
pub mod crowds;
mod history;
mod long_value;
mod nodes;
pub mod plan;
mod process;
mod registry;
pub mod rig;
mod wire;

use checker::Breach;
use plan::Plan;
use serde_json::json;

/// Violations of a run that are printed individually.
const MAX_PRINTED: usize = 8;

/// Options of the command.
#[derive(clap::Args)]
pub struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// With waves of idle connections, half of the requests on new connections, several requests at once with long values
    /// that break off, and series of signals during shutdown.
    #[arg(long)]
    extended: bool,
    /// Short runs and small fleets.
    #[arg(long)]
    short: bool,
    /// Prints the plan of each seed.
    #[arg(long)]
    plan: bool,
    /// One JSON object for each run.
    #[arg(long)]
    json: bool,
}

/// Runs all seeds; true if no rule was violated.
pub fn run(options: &Options) -> Result<bool, String> {
    let mut sound = true;
    for seed in options.seed..options.seed + options.seeds {
        sound &= play(seed, options)?.is_empty();
    }
    Ok(sound)
}

fn play(seed: u64, options: &Options) -> Result<Vec<Breach>, String> {
    let plan = match options.extended {
        true => Plan::draw_extended(seed, options.short),
        false => Plan::draw(seed, options.short),
    };
    if options.plan {
        println!("{plan:#?}");
    }
    let played = rig::play(&plan)?;
    let breaches = checker::check(&played.history);
    let (figures, standstill) = (played.figures, played.history.standstill);
    if options.json {
        let broken: Vec<String> = breaches.iter().map(|it| format!("{}: {}", it.rule, it.what)).collect();
        println!(
            "{}",
            json!({"seed": seed, "nodes": plan.nodes, "faults": plan.faults.len(), "requests": figures.requests,
                "served": figures.served, "attempts": figures.attempts, "processor_s": figures.processor.as_secs_f64(),
                "node_connections": figures.node_connections, "standstill_ms": standstill.as_millis() as u64,
                "breaches": broken})
        );
        return Ok(breaches);
    }
    println!(
        "seed {seed}: {} nodes, {} faults, {} requests, {} served, {} attempts, {:.2} s of processor, the stand-ins \
         stood still for {standstill:?}, {} handshakes dropped: {} breaches",
        plan.nodes,
        plan.faults.len(),
        figures.requests,
        figures.served,
        figures.attempts,
        figures.processor.as_secs_f64(),
        figures.overflows,
        breaches.len()
    );
    for breach in breaches.iter().take(MAX_PRINTED) {
        println!("  {}: {}", breach.rule, breach.what);
    }
    Ok(breaches)
}

#[cfg(test)]
mod tests;

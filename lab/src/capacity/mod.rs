//! `topazpath-lab capacity`: measures how each cost grows with the size of the fleet and estimates it at the size that
//! operators expect. It drives real code: the decision module, the discovery client, membership, both ends of the
//! planner link, and whole processes of the program. The result is a [`Report`], printed as a table, Markdown or JSON.

pub mod child;
mod decision;
mod discovery;
mod figure;
mod fit;
mod initiator;
mod load;
mod members_adapter;
mod meter;
mod parts;
mod planner_processes;
mod relay;
mod report;
mod scale;
mod target;

use crate::arguments::Common;
use crate::hollow;
use figure::{Figure, Role};
pub use initiator::{own_address, own_folder, program};
use report::Report;
use scale::Scale;
use serde_json::Value;
use std::path::PathBuf;

/// Measures one part.
type Measure = fn(&Scale) -> Result<Vec<Figure>, String>;

/// The parts by name, as taken by `--only`.
const PARTS: [(&str, Measure); 9] = [
    ("module", parts::module::measure),
    ("nodes", parts::nodes::measure),
    ("members", parts::members::measure),
    ("planners", parts::planners::measure),
    ("connections", parts::connections::measure),
    ("process", parts::process::measure),
    ("configuration", parts::configuration::measure),
    ("regions", parts::regions::measure),
    ("fleet", parts::fleet::measure),
];

/// Name of the part that runs the hollow fleet.
const HOLLOW: &str = "hollow";

/// Memory needed for the largest sizes with a margin, in the short and in the full variant.
const MAX_MEMORY_BYTES: (f64, f64) = (512.0 * 1_048_576.0, 2048.0 * 1_048_576.0);

/// Command line options.
#[derive(clap::Args)]
pub struct Options {
    /// Print the report as one JSON object on the last line.
    #[arg(long)]
    json: bool,
    /// Use small sizes and a single repeat.
    #[arg(long)]
    short: bool,
    /// Run only this part (default: all).
    #[arg(long)]
    only: Option<String>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measurements of each figure (default 3; with --short 1).
    #[arg(long, value_parser = clap::value_parser!(u8).range(1..=50))]
    repeats: Option<u8>,
    /// Print Markdown tables for the documentation instead of the plain table.
    #[arg(long)]
    markdown: bool,
    /// Measure nothing; read reports printed by `--json`. Several reports of different parts are merged into one.
    #[arg(long, value_delimiter = ',')]
    from: Vec<PathBuf>,
}

/// Runs the subcommand. Returns true if every part was measured and every scene of the hollow fleet holds. A figure
/// that misses its budget is a result, not a failure; a scene that does not hold is a failure.
pub fn run(options: &Options) -> Result<bool, String> {
    let report = if options.from.is_empty() { measure(options)? } else { read_all(&options.from)? };
    if options.markdown {
        print!("{}", report.markdown());
    } else {
        print!("{}", report.table());
    }
    if options.json {
        println!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?);
    }
    Ok(report.not_run.is_empty() && all_scenes_hold(&report.hollow))
}

/// Whether all scenes of the hollow fleet hold; true if there was no such run.
fn all_scenes_hold(hollow: &Value) -> bool {
    let scenes = hollow["scenes"].as_array().map(Vec::as_slice).unwrap_or_default();
    scenes.iter().all(|scene| scene["holds"] == true)
}

/// Reads a saved report from the last line of a file.
fn read(file: &PathBuf) -> Result<Report, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let last = text.lines().last().unwrap_or_default();
    serde_json::from_str(last)
        .map_err(|error| format!("{}: its last line is not a report: {error}", file.display()))
}

/// Merges saved reports into one and computes the sums and the ranking of all figures.
///
/// # Errors
///
/// A file is not a report, a figure is in two of them, or they were made with different sizes, seeds or targets.
fn read_all(files: &[PathBuf]) -> Result<Report, String> {
    let mut all = Report::default();
    for (number, file) in files.iter().enumerate() {
        let report = read(file)?;
        let with_file = |error: String| format!("{}: {error}", file.display());
        if number == 0 {
            (all.short, all.seed, all.target) = (report.short, report.seed, report.target.clone());
        }
        if (report.short, report.seed, &report.target) != (all.short, all.seed, &all.target) {
            return Err(with_file("sizes, seed or target differ from the first file".into()));
        }
        // Sums are computed again from all parts.
        let measured = report.figures.into_iter().filter(|figure| !figure.name.starts_with(SUMS_PREFIX));
        for figure in measured {
            if all.figures.iter().any(|it| it.name == figure.name) {
                return Err(with_file(format!("{:?} is also in an earlier file", figure.name)));
            }
            all.figures.push(figure);
        }
        if !report.hollow.is_null() {
            if !all.hollow.is_null() {
                return Err(with_file("a run of hollow initiators is also in an earlier file".into()));
            }
            all.hollow = report.hollow;
        }
        all.not_run.extend(report.not_run);
    }
    Ok(all.with_sums_and_ranking())
}

fn measure(options: &Options) -> Result<Report, String> {
    let scale = Scale { short: options.short, seed: options.seed, repeats: options.repeats.map(usize::from) };
    let wanted = |name: &str| options.only.as_deref().is_none_or(|only| only == name);
    if !wanted(HOLLOW) && !PARTS.iter().any(|(name, _)| wanted(name)) {
        let names: Vec<&str> = PARTS.iter().map(|(name, _)| *name).chain([HOLLOW]).collect();
        let only = options.only.as_deref().unwrap_or_default();
        return Err(format!("--only {only}: one of {} is allowed", names.join(", ")));
    }
    check(&scale, wanted("connections"))?;
    let target = target::SIZE.iter().map(|(name, value)| (name.to_string(), *value)).collect();
    let mut report = Report { short: scale.short, seed: scale.seed, target, ..Report::default() };
    for (name, measure) in PARTS.iter().filter(|(name, _)| wanted(name)) {
        eprintln!("capacity: {name}");
        match measure(&scale) {
            Ok(figures) => report.figures.extend(figures),
            Err(error) => report.not_run.push(format!("{name}: {error}")),
        }
    }
    if wanted(HOLLOW) {
        eprintln!("capacity: {HOLLOW}");
        match run_hollow(&scale) {
            Ok(hollow_report) => report.hollow = hollow_report,
            Err(error) => report.not_run.push(format!("{HOLLOW}: {error}")),
        }
    }
    Ok(report.with_sums_and_ranking())
}

/// Runs a whole fleet of hollow and real initiators. Its scenes say which budgets were missed.
fn run_hollow(scale: &Scale) -> Result<Value, String> {
    let common = Common { short: scale.short, json: true, seed: scale.seed };
    let hollow_report = hollow::run(&hollow::Options::default().sizes(&common)?)?;
    serde_json::to_value(&hollow_report).map_err(|error| error.to_string())
}

/// Fails, before anything is started, if the machine has less memory or fewer descriptors than the run needs.
fn check(scale: &Scale, connections: bool) -> Result<(), String> {
    meter::need_memory(scale.pick(MAX_MEMORY_BYTES.0, MAX_MEMORY_BYTES.1))?;
    // One for the listener of each stand-in node, and one for its connection.
    meter::need_descriptors(2 * scale.nodes().iter().max().copied().unwrap_or(0))?;
    match connections {
        true => parts::connections::check(scale),
        false => Ok(()),
    }
}

impl Report {
    /// Adds the sums and the ranking that follow from all figures.
    fn with_sums_and_ranking(mut self) -> Report {
        self.figures.extend(sums(&self.figures));
        self.ranking = report::rank(&self.figures, &target::LINES);
        self
    }
}

/// Prefix of the names of figures that sum several parts.
const SUMS_PREFIX: &str = "together: ";

/// Sums over several parts; a sum is left out if one of its parts was not measured.
fn sums(figures: &[Figure]) -> Vec<Figure> {
    let sum = |names: &[&str]| -> Option<f64> {
        names.iter().map(|name| figures.iter().find(|it| it.name == *name).map(|it| it.at_target)).sum()
    };
    let bytes = sum(&[
        "nodes: bytes both ways at rest",
        "members: bytes both ways at rest",
        "planners: bytes both ways on the link, by volumes in use",
    ]);
    let processor = sum(&["planners: processor of a forwarder at rest", "members: processor at rest"]);
    let requests = sum(&["process: processor of a request", "connections: processor of handshakes"]);
    let memory = sum(&["process: memory under load", "connections: memory of those held"]);
    let of = |name: &str, unit: &str, value: Option<f64>, budget: f64, note: &str| {
        value.map(|value| Figure::worked_out(name, Role::Initiator, unit, value, note).with_budget(budget))
    };
    let all = [
        of(
            "together: control bytes both ways",
            "bytes/s",
            bytes,
            target::CONTROL_BYTES_PER_SECOND,
            "discovery, members and planners",
        ),
        of(
            "together: control processor at rest",
            "of a core",
            processor,
            target::CONTROL_CORES,
            "the real process with three planners, and a member",
        ),
        of(
            "together: processor of requests and handshakes",
            "of a core",
            requests,
            target::REQUEST_CORES,
            "at the mean rate",
        ),
        of(
            "together: memory",
            "bytes",
            memory,
            target::CONTROL_MEMORY_BYTES,
            "under load, with idle clients",
        ),
    ];
    all.into_iter().flatten().collect()
}

#[cfg(test)]
mod tests;

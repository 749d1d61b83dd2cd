//! `topazpath-lab capacity`: how each cost grows with the size of the fleet, and what it comes to at the size that
//! operators expect. The real parts are driven: the decision module, discovery's client, members, both ends of planners,
//! and whole processes of the program.

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

/// The parts, by the names that `--only` takes.
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

/// The name of the run of hollow initiators among the parts.
const HOLLOW: &str = "hollow";

/// Memory that the largest sizes take, with some to spare, in short and in full.
const MEMORY_BYTES: (f64, f64) = (512.0 * 1_048_576.0, 2048.0 * 1_048_576.0);

/// Options of the command.
#[derive(clap::Args)]
pub struct Options {
    /// One JSON object on the last line.
    #[arg(long)]
    json: bool,
    /// Small sizes, one repeat.
    #[arg(long)]
    short: bool,
    /// Only this part; without it, all.
    #[arg(long)]
    only: Option<String>,
    /// Seeds everything that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How often each figure is measured (3; with --short once).
    #[arg(long, value_parser = clap::value_parser!(u8).range(1..=50))]
    repeats: Option<u8>,
    /// Tables for the pages, instead of the table for people.
    #[arg(long)]
    markdown: bool,
    /// Measures nothing, and reads what `--json` printed: one report, or several of different parts as one.
    #[arg(long, value_delimiter = ',')]
    from: Vec<PathBuf>,
}

/// True if every part was measured and every scene of the hollow fleet holds. What misses its budget is a result, not a
/// failure; a scene that does not hold is one.
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
    Ok(report.not_run.is_empty() && scenes_hold(&report.hollow))
}

/// Whether all scenes of a run of hollow initiators hold, if there was one.
fn scenes_hold(hollow: &Value) -> bool {
    let scenes = hollow["scenes"].as_array().map(Vec::as_slice).unwrap_or_default();
    scenes.iter().all(|scene| scene["holds"] == true)
}

/// A saved report: the last line of the file.
fn read(file: &PathBuf) -> Result<Report, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let last = text.lines().last().unwrap_or_default();
    serde_json::from_str(last)
        .map_err(|error| format!("{}: its last line is no report: {error}", file.display()))
}

/// Several saved reports as one: all figures, and what follows from all of them together.
///
/// # Errors
///
/// A file is no report, or two of them hold one figure, or were made with other sizes or seeds.
fn read_all(files: &[PathBuf]) -> Result<Report, String> {
    let mut all = Report::default();
    for (number, file) in files.iter().enumerate() {
        let one = read(file)?;
        let named = |why: String| format!("{}: {why}", file.display());
        if number == 0 {
            (all.short, all.seed, all.target) = (one.short, one.seed, one.target.clone());
        }
        if (one.short, one.seed, &one.target) != (all.short, all.seed, &all.target) {
            return Err(named("other sizes, another seed or another target than the file before".into()));
        }
        // Reckoned anew from all parts.
        let measured = one.figures.into_iter().filter(|figure| !figure.name.starts_with(TOGETHER));
        for figure in measured {
            if all.figures.iter().any(|it| it.name == figure.name) {
                return Err(named(format!("{:?} is in a file before as well", figure.name)));
            }
            all.figures.push(figure);
        }
        if !one.hollow.is_null() {
            if !all.hollow.is_null() {
                return Err(named("a run of hollow initiators is in a file before as well".into()));
            }
            all.hollow = one.hollow;
        }
        all.not_run.extend(one.not_run);
    }
    Ok(all.concluded())
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
            Err(why) => report.not_run.push(format!("{name}: {why}")),
        }
    }
    if wanted(HOLLOW) {
        eprintln!("capacity: {HOLLOW}");
        match play_hollow(&scale) {
            Ok(played) => report.hollow = played,
            Err(why) => report.not_run.push(format!("{HOLLOW}: {why}")),
        }
    }
    Ok(report.concluded())
}

/// Plays a whole fleet of hollow and real initiators; what missed its budget in it is told in its scenes.
fn play_hollow(scale: &Scale) -> Result<Value, String> {
    let common = Common { short: scale.short, json: true, seed: scale.seed };
    let played = hollow::run(&hollow::Options::default().sizes(&common)?)?;
    serde_json::to_value(&played).map_err(|error| error.to_string())
}

/// An error, before anything is started, if the machine allows less than the run needs.
fn check(scale: &Scale, connections: bool) -> Result<(), String> {
    meter::need_memory(scale.pick(MEMORY_BYTES.0, MEMORY_BYTES.1))?;
    // A stand-in node listens, and each holds a connection.
    meter::need_descriptors(2 * scale.nodes().iter().max().copied().unwrap_or(0))?;
    match connections {
        true => parts::connections::check(scale),
        false => Ok(()),
    }
}

impl Report {
    /// With what follows from all of its figures.
    fn concluded(mut self) -> Report {
        self.figures.extend(together(&self.figures));
        self.ranking = report::rank(&self.figures, &target::LINES);
        self
    }
}

/// What the figures of several parts together are named by first.
const TOGETHER: &str = "together: ";

/// What several parts come to together, where all of them were measured.
fn together(figures: &[Figure]) -> Vec<Figure> {
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
        value.map(|value| Figure::worked_out(name, Role::Initiator, unit, value, note).within(budget))
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

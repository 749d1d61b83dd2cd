//! `topazpath-lab fleet-script FILE`: runs a script of faults against real processes and writes a timeline of faults,
//! phases, views and log lines, one JSON object a line, on one clock.

use super::processes::{Breaches, Rig};
use crate::arguments::Common;
use crate::stand_ins::segment::Link;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of processes that one machine can run without disturbing the result.
const MEMBERS: std::ops::RangeInclusive<usize> = 3..=30;
/// Max length of a script in seconds.
const MAX_SECONDS: u64 = 600;
/// How often each process is queried.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Options of the command.
#[derive(clap::Args)]
pub struct Options {
    #[command(flatten)]
    common: Common,
    /// Path of the script.
    script: PathBuf,
    /// File for the timeline; standard output by default.
    #[arg(long)]
    timeline: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Script {
    members: usize,
    seconds: u64,
    #[serde(default)]
    seed: u64,
    /// Members that the faults may remove from a view.
    #[serde(default)]
    may_go: Vec<usize>,
    #[serde(default)]
    fault: Vec<Fault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Fault {
    kind: Kind,
    at_ms: u64,
    for_ms: u64,
    #[serde(default)]
    who: Vec<usize>,
    #[serde(default)]
    to: Vec<usize>,
    #[serde(default)]
    loss: f64,
    #[serde(default)]
    duplicated: f64,
    #[serde(default)]
    delay_ms: u64,
    #[serde(default)]
    jitter_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
enum Kind {
    /// `who` are stopped, and continued at the end.
    Pause,
    /// `who` are killed, and started again at the end.
    Kill,
    /// Datagrams from `who` to `to` are lost.
    Cut,
    /// Datagrams between `who` and all others are lost.
    Split,
    /// Datagrams to `who` are lost.
    Deaf,
    /// Datagrams from `who` are lost.
    Mute,
    /// Datagrams of all members are lost, duplicated and delayed as stated.
    Network,
}

impl Script {
    fn read(path: &Path) -> Result<Script, String> {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
        Script::parse(&text)
    }

    fn parse(text: &str) -> Result<Script, String> {
        let script: Script = toml::from_str(text).map_err(|error| error.message().replace('\n', " "))?;
        if !MEMBERS.contains(&script.members) {
            return Err(format!("members: {} to {} are allowed", MEMBERS.start(), MEMBERS.end()));
        }
        if !(1..=MAX_SECONDS).contains(&script.seconds) {
            return Err(format!("seconds: 1 to {MAX_SECONDS} are allowed"));
        }
        let known = |all: &[usize]| all.iter().all(|who| *who < script.members);
        if !known(&script.may_go) {
            return Err(format!("may_go: members are numbered 0 to {}", script.members - 1));
        }
        for (at, fault) in script.fault.iter().enumerate() {
            let needs = fault.kind != Kind::Network;
            if !known(&fault.who) || !known(&fault.to) || (needs && fault.who.is_empty()) {
                return Err(format!("fault {at}: who and to are members 0 to {}", script.members - 1));
            }
            if fault.kind == Kind::Cut && fault.to.is_empty() {
                return Err(format!("fault {at}: a cut needs `to`"));
            }
            if !(0.0..=1.0).contains(&fault.loss) || !(0.0..=1.0).contains(&fault.duplicated) {
                return Err(format!("fault {at}: loss and duplicated are shares, 0 to 1"));
            }
            if fault.at_ms + fault.for_ms > script.seconds * 1000 {
                return Err(format!("fault {at}: it does not end within `seconds`"));
            }
        }
        Ok(script)
    }
}

/// The output of events, with the Unix time in milliseconds.
struct Timeline {
    output: Box<dyn Write>,
}

impl Timeline {
    fn add(&mut self, what: &str, of: Value) -> Result<(), String> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        writeln!(self.output, "{}", json!({ "ms": now.as_millis() as u64, "what": what, "of": of }))
            .map_err(|error| format!("timeline: {error}"))
    }
}

/// Returns the links, from and to, that a fault cuts.
fn cut_links(fault: &Fault, members: usize) -> Vec<(usize, usize)> {
    let pairs = (0..members).flat_map(|a| (0..members).filter(move |b| a != *b).map(move |b| (a, b)));
    let in_who = |who: &usize| fault.who.contains(who);
    let is_cut = |(a, b): &(usize, usize)| match fault.kind {
        Kind::Cut => in_who(a) && fault.to.contains(b),
        Kind::Split => in_who(a) != in_who(b),
        Kind::Deaf => in_who(b),
        Kind::Mute => in_who(a),
        Kind::Pause | Kind::Kill | Kind::Network => false,
    };
    pairs.filter(is_cut).collect()
}

/// Sets all links according to the active faults.
fn set_links(rig: &Rig, members: usize, active: &[&Fault]) {
    let network = active.iter().rev().find(|fault| fault.kind == Kind::Network);
    let uncut = network.map_or(Link::default(), |fault| Link {
        cut: false,
        loss: fault.loss,
        duplicated: fault.duplicated,
        delay: Duration::from_millis(fault.delay_ms),
        jitter: Duration::from_millis(fault.jitter_ms),
    });
    let cut: Vec<(usize, usize)> = active.iter().flat_map(|fault| cut_links(fault, members)).collect();
    for (a, b) in (0..members).flat_map(|a| (0..members).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        rig.segment.set_link(a, b, Link { cut: cut.contains(&(a, b)), ..uncut });
    }
}

/// Starts or ends the effect of a fault on processes.
fn apply(rig: &mut Rig, fault: &Fault, begins: bool) -> Result<(), String> {
    match (fault.kind, begins) {
        (Kind::Pause, true) => rig.stop(&fault.who),
        (Kind::Pause, false) => rig.resume(&fault.who),
        (Kind::Kill, true) => fault.who.iter().for_each(|who| rig.machines[*who].kill()),
        (Kind::Kill, false) => {
            for who in &fault.who {
                rig.machines[*who].start().map_err(|error| error.to_string())?;
            }
        }
        _ => {}
    }
    Ok(())
}

/// Runs a script; returns the violations, and the time at the end until all were in one view.
fn run_script(
    program: &Path,
    script: &Script,
    place: u8,
    timeline: &mut Timeline,
) -> Result<(Breaches, Duration), String> {
    let members = script.members;
    let mut rig =
        Rig::start(program, members, place, script.seed, true).map_err(|error| error.to_string())?;
    let all: Vec<usize> = (0..members).collect();
    rig.wait_for_common_view(&all)?;
    let start = Instant::now();
    let mut steps: Vec<(Duration, usize, bool)> = Vec::new();
    for (number, fault) in script.fault.iter().enumerate() {
        steps.push((Duration::from_millis(fault.at_ms), number, true));
        steps.push((Duration::from_millis(fault.at_ms + fault.for_ms), number, false));
    }
    steps.sort();
    let (mut active, mut logged): (Vec<usize>, Vec<usize>) = (Vec::new(), vec![0; members]);
    let mut reported: Vec<Option<Value>> = vec![None; members];
    while start.elapsed() < Duration::from_secs(script.seconds) || !steps.is_empty() {
        while steps.first().is_some_and(|(at, ..)| *at <= start.elapsed()) {
            let (_, number, begins) = steps.remove(0);
            let fault = &script.fault[number];
            active.retain(|it| *it != number);
            if begins {
                active.push(number);
            }
            apply(&mut rig, fault, begins)?;
            let faults: Vec<&Fault> = active.iter().map(|number| &script.fault[*number]).collect();
            set_links(&rig, members, &faults);
            timeline.add(
                if begins { "fault" } else { "mended" },
                json!({ "kind": fault.kind, "who": fault.who }),
            )?;
        }
        for who in 0..members {
            let status = rig.ask(who).map(|status| status.summary());
            if let Some(status) = status.filter(|status| reported[who].as_ref() != Some(status)) {
                timeline.add("says", json!({ "member": rig.names[who], "of": status }))?;
                reported[who] = Some(status);
            }
            let log = rig.machines[who].log();
            let lines: Vec<&str> = log.lines().filter(|line| line.contains("fleet")).collect();
            for line in &lines[logged[who].min(lines.len())..] {
                timeline.add("log", json!({ "member": rig.names[who], "line": line }))?;
            }
            logged[who] = lines.len();
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    let settled = rig.wait_for_common_view(&all)?;
    let mut breaches = rig.check(&script.may_go, &all);
    breaches.requests_lost = rig.count_unserved(&all);
    timeline.add("settled", json!({ "ms": settled.as_millis() as u64, "breaches": breaches }))?;
    Ok((breaches, settled))
}

/// Runs the script of the command line; true if no rule was violated.
pub fn run(options: &Options) -> Result<bool, String> {
    let shown = options.script.display();
    let script = Script::read(&options.script).map_err(|why| format!("{shown}: {why}"))?;
    let program = crate::vrrp::experiments::program()?;
    let output: Box<dyn Write> = match &options.timeline {
        Some(path) => {
            Box::new(std::fs::File::create(path).map_err(|error| format!("{}: {error}", path.display()))?)
        }
        None => Box::new(std::io::stdout()),
    };
    let (breaches, settled) = run_script(&program, &script, 90, &mut Timeline { output })?;
    println!("{shown}: settled {} ms after the last fault  {breaches:?}", settled.as_millis());
    let mut report = Map::new();
    report.insert("breaches".into(), json!(breaches));
    report.insert("settled_ms".into(), json!(settled.as_millis() as u64));
    options.common.finish(report);
    Ok(breaches.none())
}

#[cfg(test)]
mod tests;

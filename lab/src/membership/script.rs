//! `topazpath-lab fleet-script FILE`: a script of faults among real processes, and a timeline of what came of it:
//! faults, phases, views and log lines as JSON, a line each, on one clock.

use super::processes::{Breaches, Rig};
use crate::arguments::Common;
use crate::stand_ins::segment::Link;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Processes that one machine plays well.
const MEMBERS: std::ops::RangeInclusive<usize> = 3..=30;
const LONGEST: u64 = 600;
/// How often everybody is asked.
const SAMPLED: Duration = Duration::from_millis(50);

/// Options of the command.
#[derive(clap::Args)]
pub struct Options {
    #[command(flatten)]
    common: Common,
    /// The script.
    script: PathBuf,
    /// Where the timeline goes; without it, to standard output.
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
    /// Members that may be taken out of a view by what is done.
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
    /// Stopped, and continued.
    Pause,
    /// Killed, and started again.
    Kill,
    /// What `who` say does not reach `to`.
    Cut,
    /// `who` and all others do not hear each other.
    Split,
    /// `who` can say, and hear nothing.
    Deaf,
    /// `who` hear, and what they say is lost.
    Mute,
    /// All datagrams are lost, doubled and late by so much.
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
        if !(1..=LONGEST).contains(&script.seconds) {
            return Err(format!("seconds: 1 to {LONGEST} are allowed"));
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
                return Err(format!("fault {at}: loss and duplicated are parts, 0 to 1"));
            }
            if fault.at_ms + fault.for_ms > script.seconds * 1000 {
                return Err(format!("fault {at}: it is not over within `seconds`"));
            }
        }
        Ok(script)
    }
}

/// What is written down, with the time since the epoch.
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

/// The ways between members that a fault closes.
fn closed(fault: &Fault, members: usize) -> Vec<(usize, usize)> {
    let pairs = (0..members).flat_map(|a| (0..members).filter(move |b| a != *b).map(move |b| (a, b)));
    let in_who = |who: &usize| fault.who.contains(who);
    let shuts = |(a, b): &(usize, usize)| match fault.kind {
        Kind::Cut => in_who(a) && fault.to.contains(b),
        Kind::Split => in_who(a) != in_who(b),
        Kind::Deaf => in_who(b),
        Kind::Mute => in_who(a),
        Kind::Pause | Kind::Kill | Kind::Network => false,
    };
    pairs.filter(shuts).collect()
}

/// How all links are while these faults are under way.
fn set_links(rig: &Rig, members: usize, under_way: &[&Fault]) {
    let network = under_way.iter().rev().find(|fault| fault.kind == Kind::Network);
    let usual = network.map_or(Link::default(), |fault| Link {
        cut: false,
        loss: fault.loss,
        duplicated: fault.duplicated,
        delay: Duration::from_millis(fault.delay_ms),
        jitter: Duration::from_millis(fault.jitter_ms),
    });
    let shut: Vec<(usize, usize)> = under_way.iter().flat_map(|fault| closed(fault, members)).collect();
    for (a, b) in (0..members).flat_map(|a| (0..members).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        rig.segment.set_link(a, b, Link { cut: shut.contains(&(a, b)), ..usual });
    }
}

/// Begins or ends what is done to processes.
fn act(rig: &mut Rig, fault: &Fault, begins: bool) -> Result<(), String> {
    match (fault.kind, begins) {
        (Kind::Pause, true) => rig.stop(&fault.who),
        (Kind::Pause, false) => rig.go_on(&fault.who),
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

/// Plays a script; what was broken, and how long it took at the end until all were in one view.
fn play(
    program: &Path,
    script: &Script,
    place: u8,
    timeline: &mut Timeline,
) -> Result<(Breaches, Duration), String> {
    let members = script.members;
    let mut rig =
        Rig::start(program, members, place, script.seed, true).map_err(|error| error.to_string())?;
    let all: Vec<usize> = (0..members).collect();
    rig.together(&all)?;
    let start = Instant::now();
    let mut steps: Vec<(Duration, usize, bool)> = Vec::new();
    for (number, fault) in script.fault.iter().enumerate() {
        steps.push((Duration::from_millis(fault.at_ms), number, true));
        steps.push((Duration::from_millis(fault.at_ms + fault.for_ms), number, false));
    }
    steps.sort();
    let (mut under_way, mut logged): (Vec<usize>, Vec<usize>) = (Vec::new(), vec![0; members]);
    let mut reported: Vec<Option<Value>> = vec![None; members];
    while start.elapsed() < Duration::from_secs(script.seconds) || !steps.is_empty() {
        while steps.first().is_some_and(|(at, ..)| *at <= start.elapsed()) {
            let (_, number, begins) = steps.remove(0);
            let fault = &script.fault[number];
            under_way.retain(|it| *it != number);
            if begins {
                under_way.push(number);
            }
            act(&mut rig, fault, begins)?;
            let faults: Vec<&Fault> = under_way.iter().map(|number| &script.fault[*number]).collect();
            set_links(&rig, members, &faults);
            timeline.add(
                if begins { "fault" } else { "mended" },
                json!({ "kind": fault.kind, "who": fault.who }),
            )?;
        }
        for who in 0..members {
            let said = rig.ask(who).map(|said| said.summary());
            if let Some(said) = said.filter(|said| reported[who].as_ref() != Some(said)) {
                timeline.add("says", json!({ "member": rig.names[who], "of": said }))?;
                reported[who] = Some(said);
            }
            let log = rig.machines[who].log();
            let lines: Vec<&str> = log.lines().filter(|line| line.contains("fleet")).collect();
            for line in &lines[logged[who].min(lines.len())..] {
                timeline.add("log", json!({ "member": rig.names[who], "line": line }))?;
            }
            logged[who] = lines.len();
        }
        std::thread::sleep(SAMPLED);
    }
    let settled = rig.together(&all)?;
    let mut breaches = rig.check(&script.may_go, &all);
    breaches.requests_lost = rig.lost(&all);
    timeline.add("settled", json!({ "ms": settled.as_millis() as u64, "breaches": breaches }))?;
    Ok((breaches, settled))
}

/// True if no rule broke.
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
    let (breaches, settled) = play(&program, &script, 90, &mut Timeline { output })?;
    println!("{shown}: settled {} ms after the last fault  {breaches:?}", settled.as_millis());
    let mut report = Map::new();
    report.insert("breaches".into(), json!(breaches));
    report.insert("settled_ms".into(), json!(settled.as_millis() as u64));
    options.common.finish(report);
    Ok(breaches.none())
}

#[cfg(test)]
mod tests;

//! `topazpath-lab vrrp`: what the address's move costs and whether a rule breaks.

use super::division::{self, Way};
use super::takeover::{self, Kind, Outcome, Plan};
use super::{cost, loss, model};
use crate::arguments::{Common, Parts};
use crate::check::Breaches;
use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The interval that `deploy/vrrp.toml` states.
const DEFAULT: Duration = Duration::from_millis(250);

/// Its parts.
const PARTS: [&str; 7] = ["takeover", "intervals", "planted", "loss", "cost", "ways", "model"];

/// True if no rule broke and the planted fault was found.
pub fn run(parts: &Parts) -> Result<bool, String> {
    parts.check(&PARTS)?;
    let (program, arguments) = (program()?, &parts.common);
    let wanted = |part: &str| parts.want(part);
    let mut report = Map::new();
    let mut sound = true;
    if wanted("takeover") {
        let (part, breaches) = takeovers(&program, arguments)?;
        sound &= breaches.none();
        report.insert("takeover".into(), part);
    }
    if wanted("intervals") {
        let (part, breaches) = intervals(&program, arguments)?;
        sound &= breaches.none();
        report.insert("intervals".into(), part);
    }
    if wanted("planted") {
        let (part, found) = planted(&program, arguments)?;
        sound &= found;
        report.insert("planted".into(), part);
    }
    if wanted("loss") {
        report.insert("loss".into(), losses(arguments));
    }
    if wanted("cost") {
        report.insert("cost".into(), costs(arguments)?);
    }
    if wanted("ways") {
        report.insert("ways".into(), ways(arguments));
    }
    if wanted("model") {
        let (part, holds) = models(arguments);
        sound &= holds;
        report.insert("model".into(), part);
    }
    arguments.finish(report);
    Ok(sound)
}

/// The real program, built as this one is. Under cargo it is built first, so that it is the present one.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut folder = own.parent().ok_or("this program lies nowhere")?;
    // Tests lie one folder further down.
    if folder.ends_with("deps") {
        folder = folder.parent().unwrap_or(folder);
    }
    let program = folder.join("topazpath");
    if let Some(cargo) = std::env::var_os("CARGO") {
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--package", "topazpath", "--bins"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let built = build.status().map_err(|error| format!("cargo: {error}"))?;
        if !built.success() {
            return Err("the program could not be built".into());
        }
    }
    program.exists().then_some(program).ok_or_else(|| "build the program first: cargo build --release".into())
}

/// Runs plans at the same time.
fn together(program: &Path, plans: Vec<Plan>) -> Result<Vec<Outcome>, String> {
    std::thread::scope(|scope| {
        let running: Vec<_> =
            plans.into_iter().map(|plan| scope.spawn(move || takeover::run(program, plan))).collect();
        let ended = running.into_iter().map(|it| it.join().map_err(|_| "a run panicked".to_string())?);
        ended.collect()
    })
}

fn takeovers(program: &Path, arguments: &Common) -> Result<(Value, Breaches), String> {
    let repeats = if arguments.short { 2 } else { 20 };
    let kinds = [Kind::Kill, Kind::Freeze, Kind::Term, Kind::Cut, Kind::Lossy];
    let plan = |(place, kind): (usize, &Kind)| Plan {
        kind: *kind,
        repeats,
        interval: DEFAULT,
        divided: true,
        limited: 0.5,
        seed: arguments.seed + place as u64,
        place: place as u8,
    };
    let outcomes = together(program, kinds.iter().enumerate().map(plan).collect())?;
    let mut part = Map::new();
    let mut all = Breaches::default();
    println!("interval {} ms: gap in ms", DEFAULT.as_millis());
    for outcome in &outcomes {
        all = all.combined_with(outcome.breaches);
        for kind in [Kind::Kill, Kind::Freeze, Kind::Term, Kind::Return, Kind::Cut, Kind::Lossy] {
            let gaps: Vec<Duration> =
                outcome.gaps.iter().filter(|(it, _)| *it == kind).map(|(_, gap)| *gap).collect();
            if gaps.is_empty() {
                continue;
            }
            let name = format!("{kind:?}").to_lowercase();
            let gap = spread(&gaps);
            println!(
                "  {name:<7} n {:>3}  p50 {:>6.0}  p99 {:>6.0}  max {:>6.0}   served {} of {}   {:?}",
                gaps.len(),
                gap[0],
                gap[1],
                gap[2],
                outcome.served,
                outcome.sent,
                outcome.breaches
            );
            part.insert(
                name,
                json!({
                    "n": gaps.len(),
                    "gap_ms": { "p50": gap[0], "p99": gap[1], "max": gap[2] },
                    "least_ms": millis(outcome.least),
                    "skew_ms": millis(outcome.skew),
                    "breaches": outcome.breaches,
                    "sent": outcome.sent,
                    "served": outcome.served,
                }),
            );
        }
    }
    part.insert("interval_ms".into(), json!(DEFAULT.as_millis() as u64));
    Ok((Value::Object(part), all))
}

fn intervals(program: &Path, arguments: &Common) -> Result<(Value, Breaches), String> {
    let repeats = if arguments.short { 2 } else { 20 };
    let intervals = [50, 100, 250, 500].map(Duration::from_millis);
    let plan = |(place, interval): (usize, &Duration)| Plan {
        kind: Kind::Kill,
        repeats,
        interval: *interval,
        divided: true,
        limited: 0.0,
        seed: arguments.seed + 100 + place as u64,
        place: 10 + place as u8,
    };
    let outcomes = together(program, intervals.iter().enumerate().map(plan).collect())?;
    let (mut part, mut all) = (Vec::new(), Breaches::default());
    println!("kill, by interval: gap over Active_Down_Interval");
    for (interval, outcome) in intervals.iter().zip(&outcomes) {
        all = all.combined_with(outcome.breaches);
        let of = |kind: Kind| -> Vec<Duration> {
            outcome.gaps.iter().filter(|(it, _)| *it == kind).map(|(_, gap)| *gap).collect()
        };
        let (gap, returned, least) =
            (spread(&of(Kind::Kill)), spread(&of(Kind::Return)), millis(outcome.least));
        let over = gap.map(|gap| gap / least);
        println!(
            "  {:>4} ms  least {least:>6.0} ms  p50 {:.3}  p99 {:.3}  max {:.3}   {:?}",
            interval.as_millis(),
            over[0],
            over[1],
            over[2],
            outcome.breaches
        );
        part.push(json!({
            "interval_ms": interval.as_millis() as u64,
            "least_ms": least,
            "gap_ms": { "p50": gap[0], "p99": gap[1], "max": gap[2] },
            "return_gap_ms": { "p50": returned[0], "p99": returned[1], "max": returned[2] },
            "over_least": { "p50": over[0], "p99": over[1], "max": over[2] },
            "breaches": outcome.breaches,
        }));
    }
    Ok((json!(part), all))
}

/// Two machines that each take the limits for their own while neither hears the other: the checker is to find it.
fn planted(program: &Path, arguments: &Common) -> Result<(Value, bool), String> {
    let plan = Plan {
        kind: Kind::Cut,
        repeats: 2,
        interval: DEFAULT,
        divided: false,
        limited: 1.0,
        seed: arguments.seed + 200,
        place: 20,
    };
    let outcome = takeover::run(program, plan)?;
    let found = outcome.breaches.limit_breaches > 0;
    println!("planted: two whole limits during a cut, found: {found}   {:?}", outcome.breaches);
    Ok((json!({ "found": found, "breaches": outcome.breaches }), found))
}

fn losses(arguments: &Common) -> Value {
    let hours = if arguments.short { 10.0 } else { 1000.0 };
    println!(
        "loss, {hours} h: false takeovers an hour, part of the time with two Active (simulated, closed form)"
    );
    let part = [0.0, 0.05, 0.1, 0.3].map(|lost| {
        let simulated = loss::simulate(DEFAULT, lost, hours, arguments.seed);
        let closed = loss::closed(DEFAULT, lost);
        println!(
            "  {:>3.0} %  takeovers {:>8.3} {:>8.3}   two Active {:.2e} {:.2e}",
            lost * 100.0,
            simulated.takeovers,
            closed.takeovers,
            simulated.doubled,
            closed.doubled
        );
        json!({
            "loss": lost,
            "hours": hours,
            "false_takeovers_per_hour": simulated.takeovers,
            "closed_takeovers_per_hour": closed.takeovers,
            "two_active_share": simulated.doubled,
            "closed_two_active_share": closed.doubled,
        })
    });
    json!(part)
}

fn costs(arguments: &Common) -> Result<Value, String> {
    let time = Duration::from_secs(if arguments.short { 1 } else { 10 });
    println!("cost at an interval of {} ms", cost::INTERVAL.as_millis());
    let mut part = Vec::new();
    for (place, routers) in [1, 16, 255].into_iter().enumerate() {
        let cost = cost::measure(routers, place as u8, time)?;
        let (made, plain) = cost::timers(routers, 1_000_000, arguments.seed);
        println!(
            "  {routers:>3} routers  processor active {:.4} backup {:.4}  {:>7.0} B/s   timer {made:>5.1} ns, scan {plain:>6.1} ns",
            cost.active, cost.backup, cost.bytes
        );
        part.push(json!({
            "routers": routers,
            "processor_active": cost.active,
            "processor_backup": cost.backup,
            "bytes_per_second": cost.bytes,
            "timers_ns": made,
            "scan_ns": plain,
        }));
    }
    Ok(json!(part))
}

fn ways(arguments: &Common) -> Value {
    let volumes = if arguments.short { 100 } else { 2000 };
    println!(
        "ways to divide a limit, {volumes} volumes: worth over that of one machine alone, excess in units"
    );
    let part: Vec<Value> = Way::ALL
        .into_iter()
        .map(|way| {
            let weighed = division::weigh(way, volumes, arguments.seed);
            println!(
                "  {:<14} first {:.4}  second {:.4}  both {:.4}  excess {:>6.1}",
                way.name(),
                weighed.first,
                weighed.second,
                weighed.both,
                weighed.excess
            );
            json!({
                "way": way.name(),
                "first": weighed.first,
                "second": weighed.second,
                "both": weighed.both,
                "excess_units": weighed.excess,
            })
        })
        .collect();
    json!(part)
}

fn models(arguments: &Common) -> (Value, bool) {
    println!("model checking");
    let mut all = true;
    let part: Vec<Value> = model::recorded(arguments.short)
        .into_iter()
        .map(|(name, checked)| {
            let start = Instant::now();
            let faults = format!("{:?}", checked.faults);
            let checked = model::check(checked);
            all &= checked.broken.is_empty();
            let took = start.elapsed().as_secs_f64();
            println!("  {name:<30} {:>9} states  {took:>6.1} s  broken {:?}", checked.states, checked.broken);
            json!({ "name": name, "faults": faults, "states": checked.states, "broken": checked.broken })
        })
        .collect();
    (json!(part), all)
}

/// Median, 99th percentile and maximum, in milliseconds.
pub fn spread(spans: &[Duration]) -> [f64; 3] {
    let mut sorted: Vec<f64> = spans.iter().map(|span| millis(*span)).collect();
    sorted.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let rank = (part * sorted.len() as f64).ceil() as usize;
        sorted.get(rank.max(1) - 1).copied().unwrap_or_default()
    };
    [at(0.5), at(0.99), at(1.0)]
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

#[cfg(test)]
mod tests;

//! `topazpath-lab vrrp`: measures takeovers of the virtual address and their cost, and checks the rules.

use super::division::{self, Way};
use super::takeover::{self, Kind, Outcome, Plan};
use super::{cost, loss, model};
use crate::arguments::{Common, Parts};
use crate::check::Breaches;
use serde_json::{json, Map, Value};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The interval of advertisements in `deploy/vrrp.toml`.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(250);

/// The parts of this command.
const PARTS: [&str; 7] = ["takeover", "intervals", "planted", "loss", "cost", "ways", "model"];

/// Runs the selected parts; true if no rule was violated and the planted fault was found.
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
        report.insert("ways".into(), compare_ways(arguments));
    }
    if wanted("model") {
        let (part, holds) = models(arguments);
        sound &= holds;
        report.insert("model".into(), part);
    }
    arguments.finish(report);
    Ok(sound)
}

/// Returns the path of the real program, in the profile of this one. Under cargo it is built first, so that it is up to
/// date.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut folder = own.parent().ok_or("the path of this program has no folder")?;
    // Test executables are one folder deeper.
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

/// Runs plans concurrently.
fn run_together(program: &Path, plans: Vec<Plan>) -> Result<Vec<Outcome>, String> {
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
        interval: DEFAULT_INTERVAL,
        divided: true,
        limited: 0.5,
        seed: arguments.seed + place as u64,
        place: place as u8,
    };
    let outcomes = run_together(program, kinds.iter().enumerate().map(plan).collect())?;
    let mut part = Map::new();
    let mut all = Breaches::default();
    println!("interval {} ms: gap in ms", DEFAULT_INTERVAL.as_millis());
    for outcome in &outcomes {
        all = all.combined_with(outcome.breaches);
        for kind in [Kind::Kill, Kind::Freeze, Kind::Term, Kind::Return, Kind::Cut, Kind::Lossy] {
            let gaps: Vec<Duration> =
                outcome.gaps.iter().filter(|(it, _)| *it == kind).map(|(_, gap)| *gap).collect();
            if gaps.is_empty() {
                continue;
            }
            let name = format!("{kind:?}").to_lowercase();
            let gap = percentiles_ms(&gaps);
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
                    "least_ms": millis(outcome.min_gap),
                    "skew_ms": millis(outcome.skew),
                    "breaches": outcome.breaches,
                    "sent": outcome.sent,
                    "served": outcome.served,
                }),
            );
        }
    }
    part.insert("interval_ms".into(), json!(DEFAULT_INTERVAL.as_millis() as u64));
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
    let outcomes = run_together(program, intervals.iter().enumerate().map(plan).collect())?;
    let (mut part, mut all) = (Vec::new(), Breaches::default());
    println!("kill, by interval: gap over Active_Down_Interval");
    for (interval, outcome) in intervals.iter().zip(&outcomes) {
        all = all.combined_with(outcome.breaches);
        let of = |kind: Kind| -> Vec<Duration> {
            outcome.gaps.iter().filter(|(it, _)| *it == kind).map(|(_, gap)| *gap).collect()
        };
        let (gap, returned, min_gap) =
            (percentiles_ms(&of(Kind::Kill)), percentiles_ms(&of(Kind::Return)), millis(outcome.min_gap));
        let ratio = gap.map(|gap| gap / min_gap);
        println!(
            "  {:>4} ms  least {min_gap:>6.0} ms  p50 {:.3}  p99 {:.3}  max {:.3}   {:?}",
            interval.as_millis(),
            ratio[0],
            ratio[1],
            ratio[2],
            outcome.breaches
        );
        part.push(json!({
            "interval_ms": interval.as_millis() as u64,
            "least_ms": min_gap,
            "gap_ms": { "p50": gap[0], "p99": gap[1], "max": gap[2] },
            "return_gap_ms": { "p50": returned[0], "p99": returned[1], "max": returned[2] },
            "over_least": { "p50": ratio[0], "p99": ratio[1], "max": ratio[2] },
            "breaches": outcome.breaches,
        }));
    }
    Ok((json!(part), all))
}

/// Runs two machines that each apply the whole limits while they are cut off from each other, which the checker has to
/// find.
fn planted(program: &Path, arguments: &Common) -> Result<(Value, bool), String> {
    let plan = Plan {
        kind: Kind::Cut,
        repeats: 2,
        interval: DEFAULT_INTERVAL,
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
    let part = [0.0, 0.05, 0.1, 0.3].map(|loss_rate| {
        let simulated = loss::simulate(DEFAULT_INTERVAL, loss_rate, hours, arguments.seed);
        let closed_form = loss::closed_form(DEFAULT_INTERVAL, loss_rate);
        println!(
            "  {:>3.0} %  takeovers {:>8.3} {:>8.3}   two Active {:.2e} {:.2e}",
            loss_rate * 100.0,
            simulated.takeovers,
            closed_form.takeovers,
            simulated.two_active,
            closed_form.two_active
        );
        json!({
            "loss": loss_rate,
            "hours": hours,
            "false_takeovers_per_hour": simulated.takeovers,
            "closed_takeovers_per_hour": closed_form.takeovers,
            "two_active_share": simulated.two_active,
            "closed_two_active_share": closed_form.two_active,
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
        let (timers, scan) = cost::timers(routers, 1_000_000, arguments.seed);
        println!(
            "  {routers:>3} routers  processor active {:.4} backup {:.4}  {:>7.0} B/s   timer {timers:>5.1} ns, scan {scan:>6.1} ns",
            cost.active, cost.backup, cost.bytes
        );
        part.push(json!({
            "routers": routers,
            "processor_active": cost.active,
            "processor_backup": cost.backup,
            "bytes_per_second": cost.bytes,
            "timers_ns": timers,
            "scan_ns": scan,
        }));
    }
    Ok(json!(part))
}

fn compare_ways(arguments: &Common) -> Value {
    let volumes = if arguments.short { 100 } else { 2000 };
    println!(
        "ways to divide a limit, {volumes} volumes: worth over that of one machine alone, excess in units"
    );
    let part: Vec<Value> = Way::ALL
        .into_iter()
        .map(|way| {
            let result = division::evaluate(way, volumes, arguments.seed);
            println!(
                "  {:<14} first {:.4}  second {:.4}  both {:.4}  excess {:>6.1}",
                way.name(),
                result.first,
                result.second,
                result.both,
                result.excess
            );
            json!({
                "way": way.name(),
                "first": result.first,
                "second": result.second,
                "both": result.both,
                "excess_units": result.excess,
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

/// Returns median, 99th percentile and maximum in milliseconds.
pub fn percentiles_ms(spans: &[Duration]) -> [f64; 3] {
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

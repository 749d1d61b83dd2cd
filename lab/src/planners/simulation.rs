//! `topazpath-lab planners-sim`: shares in virtual time, under faults, at scale.

use super::world::{simulate, Division, Outcome, Planted, Scenario};
use crate::arguments::{Common, Parts};
use crate::sync::lock;
use serde_json::{json, Map, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use topazpath::shares::planner::{Planner, Settings};
use topazpath::shares::store::Store;
use topazpath::shares::{
    deal, Demand, ForwarderId, PlannerId, ProbeResult, Resource, Share, MAX_MOVE_DURATION,
};

/// The parts of this command.
const PARTS: [&str; 4] = ["faults", "skew", "outage", "scale"];

/// Runs the selected parts; true if no limit was exceeded and the planted faults were found.
pub fn run(parts: &Parts) -> Result<bool, String> {
    parts.check(&PARTS)?;
    let arguments = &parts.common;
    let wanted = |part: &str| parts.want(part);
    let mut report = Map::new();
    let mut sound = true;
    if wanted("faults") {
        let (part, kept) = faults(arguments);
        sound &= kept;
        report.insert("faults".into(), part);
    }
    if wanted("skew") {
        report.insert("skew".into(), skew(arguments));
    }
    if wanted("outage") {
        report.insert("outage".into(), outage(arguments));
    }
    if wanted("scale") {
        report.insert("scale".into(), scale(arguments)?);
    }
    arguments.finish(report);
    Ok(sound)
}

fn base(seed: u64) -> Scenario {
    Scenario {
        forwarders: 4,
        planners: 3,
        volumes: 2,
        time: Duration::from_secs(60),
        faults: false,
        lead_duration: (6.0, 24.0),
        load: 0.9,
        division: Division::Planned,
        planted: Planted::Nothing,
        seed,
        outage: None,
    }
}

/// Simulates many seeds on all processors, and returns the sum of the outcomes, with the greatest excess.
fn simulate_many(count: u64, of: impl Fn(u64) -> Scenario + Sync) -> Outcome {
    let (next, sum) = (AtomicU64::new(0), Mutex::new(Outcome::default()));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= count {
                    return;
                }
                let outcome = simulate(of(seed));
                let mut sum = lock(&sum);
                sum.oversubscribed += outcome.oversubscribed;
                sum.excess = sum.excess.max(outcome.excess);
                sum.demanded += outcome.demanded;
                sum.sent += outcome.sent;
                sum.worth += outcome.worth;
                sum.outage_worth += outcome.outage_worth;
                sum.faults += outcome.faults;
                sum.plans += outcome.plans;
            });
        }
    });
    sum.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn faults(arguments: &Common) -> (Value, bool) {
    let minutes = if arguments.short { 500 } else { 100_000 };
    let faulty = |planted| {
        move |seed| {
            let seed = arguments.seed.wrapping_mul(1_000_000_007) + seed;
            // Every third schedule has seven forwarders, so that shares move from several to several.
            let forwarders = [2, 4, 7][seed as usize % 3];
            Scenario { forwarders, faults: true, lead_duration: (2.0, 8.0), load: 1.5, planted, ..base(seed) }
        }
    };
    let start = Instant::now();
    let outcome = simulate_many(minutes, faulty(Planted::Nothing));
    let kept = outcome.oversubscribed == 0 && outcome.excess <= 1e-6;
    println!("faults: {minutes} schedules of a virtual minute, {} faults, {} plans taken, {:.0} s: parts over the whole {} times, excess {:.3} units", outcome.faults, outcome.plans, start.elapsed().as_secs_f64(), outcome.oversubscribed, outcome.excess);
    let mut found = true;
    let mut planted = Map::new();
    for (name, fault) in [("reclaims early", Planted::ReclaimsEarly), ("not young", Planted::NotYoung)] {
        let outcome = simulate_many(200, faulty(fault));
        println!("  planted, {name}: found {} times in 200 schedules", outcome.oversubscribed);
        found &= outcome.oversubscribed > 0;
        planted.insert(name.replace(' ', "_"), json!(outcome.oversubscribed));
    }
    let part = json!({
        "virtual_minutes": minutes,
        "faults": outcome.faults,
        "plans": outcome.plans,
        "oversummed": outcome.oversubscribed,
        "excess_units": outcome.excess,
        "planted_found": planted,
    });
    (part, kept && found)
}

fn skew(arguments: &Common) -> Value {
    let runs = if arguments.short { 8 } else { 200 };
    println!("skewed use, lead moves every 6 to 24 s: units sent of those asked for, and worth over that of an oracle");
    let part: Vec<Value> = [0.6, 0.9, 1.2]
        .into_iter()
        .map(|load| {
            let of = |division| simulate_many(runs, |seed| Scenario { division, load, time: Duration::from_secs(120), ..base(arguments.seed * 7919 + seed) });
            let [even, planned, oracle] = [Division::Even, Division::Planned, Division::Oracle].map(of);
            let gain = |of: fn(&Outcome) -> f64| (of(&planned) - of(&even)) / (of(&oracle) - of(&even));
            let (units, worth) = (gain(|it| it.sent), gain(|it| it.worth));
            println!("  load {load}: units even {:.4} planned {:.4} oracle {:.4}; worth even {:.4} planned {:.4}; of the way: units {units:.3} worth {worth:.3}", even.sent / even.demanded, planned.sent / planned.demanded, oracle.sent / oracle.demanded, even.worth / oracle.worth, planned.worth / oracle.worth,);
            json!({
                "load": load,
                "sent": { "even": even.sent / even.demanded, "planned": planned.sent / planned.demanded, "oracle": oracle.sent / oracle.demanded },
                "worth": { "even": even.worth / oracle.worth, "planned": planned.worth / oracle.worth },
                "of_the_way_units": units,
                "of_the_way_worth": worth,
            })
        })
        .collect();
    json!(part)
}

fn outage(arguments: &Common) -> Value {
    let runs = if arguments.short { 8 } else { 200 };
    let away = (Duration::from_secs(30), Duration::from_secs(90));
    let of = |division, outage| {
        simulate_many(runs, |seed| Scenario {
            division,
            outage,
            load: 0.9,
            time: Duration::from_secs(120),
            ..base(arguments.seed * 104_729 + seed)
        })
    };
    let planned = of(Division::Planned, Some(away));
    // The same load with running planners, without an outage.
    let with_planners = {
        let running = |division| {
            simulate_many(runs, |seed| Scenario {
                division,
                planners: if division == Division::Planned { 3 } else { 0 },
                outage: None,
                load: 0.9,
                time: Duration::from_secs(120),
                ..base(arguments.seed * 104_729 + seed)
            })
        };
        running(Division::Planned).worth / 2.0
    };
    let even = of(Division::Even, Some(away)).outage_worth;
    let (over_with, over_even) = (planned.outage_worth / with_planners, planned.outage_worth / even);
    println!("planners away for 60 s: worth {over_with:.4} of that with planners, {over_even:.4} of the even split; excess {:.3}", planned.excess);
    json!({ "over_with_planners": over_with, "over_even": over_even, "excess_units": planned.excess })
}

/// Measures the cost of one round of reports for the planners, by the size of the fleet.
fn scale(arguments: &Common) -> Result<Value, String> {
    let sizes: &[(usize, usize)] =
        if arguments.short { &[(10, 20), (100, 200)] } else { &[(10, 20), (100, 200), (1000, 1000)] };
    println!("scale, 10,000 volumes, 3 planners: a plan's time in microseconds, and per round of reports");
    let mut part = Vec::new();
    for (forwarders, nodes) in sizes {
        let round = rounds(*forwarders, *nodes, 10_000, 3);
        println!("  {forwarders:>5} forwarders {nodes:>5} nodes: plan p50 {:>7.1} p99 {:>8.1} max {:>8.1} us; round {:>7.1} ms; {:>6.0} B/forwarder; probes {:.2} a node and interval (all: {forwarders}); {:>6.1} MB", round.p50, round.p99, round.max, round.round, round.bytes, round.probes, round.memory);
        part.push(json!({
            "forwarders": forwarders,
            "nodes": nodes,
            "plan_us": { "p50": round.p50, "p99": round.p99, "max": round.max },
            "round_ms": round.round,
            "bytes_per_forwarder_and_interval": round.bytes,
            "probes_per_node_and_interval": round.probes,
            "probes_if_all_probe": forwarders,
            "memory_mb": round.memory,
        }));
    }
    Ok(json!(part))
}

/// Mean cost of a round of reports.
pub struct Round {
    /// Time of one plan, in microseconds.
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
    /// Time of all plans of all planners, in milliseconds.
    pub round: f64,
    /// Bytes of reports and plans per forwarder.
    pub bytes: f64,
    /// Number of forwarders that probe a node.
    pub probes: f64,
    /// Megabytes of memory of planners and forwarders' stores together.
    pub memory: f64,
}

/// Simulates rounds of reports with moving load, and measures the cost of those after the warm-up.
pub fn rounds(forwarders: usize, nodes: usize, volumes: usize, planners: usize) -> Round {
    let names: Vec<u64> = (0..planners).map(|at| deal::hash(&format!("p-{at}"))).collect();
    let node_keys: Vec<u64> = (0..nodes).map(|at| deal::hash(&format!("n-{at}"))).collect();
    let before = resident();
    let mut all: Vec<Planner> =
        names.iter().map(|name| Planner::new(Settings::default(), PlannerId(*name), 1)).collect();
    for (at, planner) in all.iter_mut().enumerate() {
        let own: Vec<u64> =
            node_keys.iter().copied().filter(|key| deal::pick(*key, &names) == Some(at)).collect();
        planner.set_nodes(&own);
    }
    let mut stores: Vec<Store> = (0..forwarders)
        .map(|at| Store::new(ForwarderId(deal::hash(&format!("f-{at}"))), 1, planners, Duration::ZERO))
        .collect();
    // Each volume is used through three forwarders. One has most of the load, another after some rounds.
    let initiators = 3.min(forwarders);
    let keys: Vec<u64> = (0..volumes).map(|at| deal::hash(&format!("v-{at}"))).collect();
    let owners: Vec<usize> = keys.iter().map(|key| deal::pick(*key, &names).unwrap_or(0)).collect();
    let mut by_forwarder: Vec<Vec<usize>> = vec![Vec::new(); forwarders];
    for volume in 0..volumes {
        for initiator in 0..initiators {
            by_forwarder[(volume + initiator * 7) % forwarders].push(volume);
        }
    }
    let even_share = Share::even(initiators as f64);
    let (mut times, mut bytes, mut total_time) = (Vec::new(), 0, Duration::ZERO);
    let (count, warm_up) = (30, 10);
    let mut now = MAX_MOVE_DURATION;
    for round in 0..count {
        now += Duration::from_millis(100);
        for at in 0..forwarders {
            for (partition, planner) in all.iter_mut().enumerate() {
                let demands = by_forwarder[at]
                    .iter()
                    .filter(|volume| owners[**volume] == partition)
                    .map(|volume| {
                        let is_leader = (volume + (round / 7) * 7) % forwarders == at;
                        let wanted = if is_leader { 1.0 } else { 0.05 };
                        Demand { resource: Resource::Limit(keys[*volume]), even_share, wanted }
                    })
                    .collect();
                let probed: Vec<ProbeResult> = stores[at]
                    .probes()
                    .map(|node| ProbeResult {
                        node,
                        response_time: Some(Duration::from_millis(1)),
                        age: Duration::ZERO,
                    })
                    .collect();
                let report = stores[at].build_report(now, partition, demands, probed);
                let start = Instant::now();
                let plan = planner.handle_report(now, &report);
                let spent = start.elapsed();
                if round >= warm_up {
                    times.push(spent.as_secs_f64() * 1e6);
                    total_time += spent;
                    bytes += size(&report) + plan.as_ref().map_or(0, size);
                }
                if let Some(plan) = plan {
                    // No message is lost here, so that each plan is newer than the one before and is taken.
                    let _ = stores[at].apply_plan(now, partition, &plan, |_| Some(even_share));
                }
            }
        }
    }
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    let probed: usize = stores.iter().map(|store| store.probes().count()).sum();
    let measured = (count - warm_up) as f64;
    Round {
        p50: at(0.5),
        p99: at(0.99),
        max: at(1.0),
        round: total_time.as_secs_f64() * 1000.0 / measured,
        bytes: bytes as f64 / measured / forwarders as f64,
        probes: probed as f64 / nodes as f64,
        memory: (resident() - before).max(0.0),
    }
}

/// Returns the encoded size in bytes.
fn size(message: &impl serde::Serialize) -> usize {
    // Encoding fails only for sequences of unknown length, which no message has.
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

/// Returns the resident memory of this process in megabytes.
fn resident() -> f64 {
    topazpath::process::resident_memory(std::process::id()).map_or(0.0, |bytes| bytes as f64 / 1_048_576.0)
}

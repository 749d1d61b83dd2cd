//! Live configuration: what a document and a change weigh, and what it takes to check, to apply and to take over.

use super::super::decision::{self, Setup, Simulation};
use super::super::figure::{Figure, Point, Role};
use super::super::meter::timed;
use super::super::scale::Scale;
use super::super::target;
use std::hint::black_box;
use std::time::Duration;
use topazpath::interface::{Plan, Settings};
use topazpath::revisions::delta::Delta;
use topazpath::revisions::document::{Document, Names, PlanOverrides};
use topazpath::revisions::{RevisionId, RevisionNumber, Update, UpdateContent};

/// Runs per measurement of operations that take a few microseconds.
const RUNS: u32 = 10;
/// Nodes listed while limits are changed, and the interval between two requests.
const NODES: u32 = 60;
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);
/// Units per second of the new limits, more than are requested.
const LIMIT_RATE: f64 = 100_001.0;

/// Costs at one size, with a value for each repeat.
#[derive(Default)]
struct Costs {
    whole_bytes: Vec<f64>,
    change_bytes: Vec<f64>,
    check_us: Vec<f64>,
    apply_us: Vec<f64>,
    difference_us: Vec<f64>,
}

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let sizes: &[usize] = scale.pick(&[10, 20, 50, 100], &[10, 30, 100, 300, 1000]);
    let mut all = Vec::new();
    for size in sizes {
        all.push((*size as f64, costs(*size, scale)?));
    }
    let figure = |name: &str, role: Role, unit: &str, values: fn(&Costs) -> &Vec<f64>| {
        let points = all.iter().map(|(size, costs)| Point::of(*size, values(costs))).collect();
        Figure::new(name, role, "keys", unit, points, target::CONFIGURATION_KEYS)
    };
    let reconfigure_points = reconfigure_costs(scale)?;
    let initiator = Role::Initiator;
    let changes_per_second = target::CHANGES_PER_DAY / target::DAY_S;
    Ok(vec![
        figure("configuration: a whole document", initiator, "bytes", |costs| &costs.whole_bytes)
            .with_note("100 keys are assumed"),
        figure("configuration: a change of one key", initiator, "bytes", |costs| &costs.change_bytes)
            .scaled(changes_per_second, "bytes/s")
            .with_budget(target::CONTROL_BYTES_PER_SECOND)
            .with_note("550 changes a day; the message without the link's head and the answer"),
        figure("configuration: check", Role::Operator, "us", |costs| &costs.check_us),
        figure("configuration: apply", initiator, "us", |costs| &costs.apply_us),
        Figure::new(
            "configuration: the module takes over another limit",
            initiator,
            "volumes",
            "us",
            reconfigure_points,
            target::VOLUMES_PER_INITIATOR,
        ),
        figure("configuration: difference of two documents", Role::Planner, "us", |costs| {
            &costs.difference_us
        }),
    ])
}

/// Microseconds that the module takes to apply a new limit of every volume, by volumes in use.
fn reconfigure_costs(scale: &Scale) -> Result<Vec<Point>, String> {
    let sizes: &[u64] = scale.pick(&[10, 30, 65, 200], &[10, 65, 1000, 10_000, 30_000]);
    let mut points = Vec::new();
    for volumes in sizes {
        let mut simulation = Simulation::new(Setup { volumes: *volumes, limited: true, ..Setup::of(NODES) });
        (0..*volumes).for_each(|_| simulation.request(REQUEST_INTERVAL, false));
        let mut repeats = Vec::new();
        for _ in 0..scale.repeats() {
            let rate = |run: u32| LIMIT_RATE + f64::from(run % 2);
            let (result, seconds) =
                timed(|| (0..RUNS).try_for_each(|run| simulation.reconfigure(rate(run))))?;
            result?;
            repeats.push(seconds * 1e6 / f64::from(RUNS));
        }
        points.push(Point::of(*volumes as f64, &repeats));
    }
    Ok(points)
}

fn name(number: usize) -> String {
    format!("plan-{number:04}")
}

/// A document with this many keys, one per plan.
pub fn document(keys: usize) -> Document {
    let figures =
        |number: usize| PlanOverrides { guaranteed: Some(100.0 + number as f64), ..PlanOverrides::default() };
    Document {
        plans: (0..keys).map(|number| (name(number), figures(number))).collect(),
        ..Document::default()
    }
}

/// Settings that contain the document's plans.
fn settings(keys: usize) -> (Settings, Names) {
    let plan = Plan { reserve: 0.0, limit: None, weight: 1.0, worth_factor: 1.0 };
    let base = decision::settings(Setup::of(8));
    let mut settings = Settings { plans: vec![plan; keys], ..base };
    settings.units.base_rates = vec![10.0; keys];
    let classes = (0..settings.classes.len()).map(|number| format!("class-{number}")).collect();
    (settings, Names { classes, plans: (0..keys).map(name).collect() })
}

/// Bytes of an update on the wire, without the link's header.
pub fn bytes(number: u64, document: &Document, content: UpdateContent) -> Result<f64, String> {
    let id = RevisionId { number: RevisionNumber(number), hash: document.hash() };
    let update = Update { id, content };
    postcard::to_stdvec(&update).map(|bytes| bytes.len() as f64).map_err(|error| error.to_string())
}

fn costs(keys: usize, scale: &Scale) -> Result<Costs, String> {
    let older = document(keys);
    let mut newer = older.clone();
    newer.plans.insert(name(keys / 2), PlanOverrides { guaranteed: Some(7.0), ..PlanOverrides::default() });
    let (base, names) = settings(keys);
    let mut costs = Costs::default();
    let per_run_us = |seconds: f64| seconds * 1e6 / f64::from(RUNS);
    for _ in 0..scale.repeats() {
        costs.whole_bytes.push(bytes(1, &older, UpdateContent::Full(older.clone()))?);
        let compute_delta = || drop(black_box(Delta::between(&older, &newer)));
        let ((), seconds) = timed(|| (0..RUNS).for_each(|_| compute_delta()))?;
        costs.difference_us.push(per_run_us(seconds));
        let delta = Delta::between(&older, &newer);
        let old_id = RevisionId { number: RevisionNumber(1), hash: older.hash() };
        costs.change_bytes.push(bytes(2, &newer, UpdateContent::Changes { base: old_id, delta })?);
        let (checked, seconds) = timed(|| (0..RUNS).try_for_each(|_| newer.check()))?;
        checked.map_err(|error| error.to_string())?;
        costs.check_us.push(per_run_us(seconds));
        let (applied, seconds) = timed(|| (0..RUNS).try_for_each(|_| newer.apply(&base, &names).map(drop)))?;
        applied.map_err(|error| error.to_string())?;
        costs.apply_us.push(per_run_us(seconds));
    }
    Ok(costs)
}

//! Planners and forwarders: size of reports and plans, duration of a round of plans, and traffic of the real link.

use super::super::child::planners_memory;
use super::super::discovery::{Answers, Discovery, Entry};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup};
use super::super::load::Load;
use super::super::planner_processes::Planners;
use super::super::scale::Scale;
use super::super::target;
use crate::planners::simulation::{rounds, Round};
use crate::stand_ins::nodes::Nodes;
use std::time::{Duration, Instant};

/// Rounds per second: a forwarder reports every 100 ms.
const ROUNDS_PER_SECOND: f64 = 10.0;
/// Interval within which a round of plans must finish.
const INTERVAL_MS: f64 = 100.0;
/// Stand-in nodes behind the real initiator.
const NODES: usize = 8;
/// A new forwarder returns nothing of its shares for five seconds: it is measured during the first of them, and again
/// once they are over.
const NEW_UNTIL: Duration = Duration::from_secs(3);
const SETTLED_AFTER: Duration = Duration::from_secs(6);

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let mut figures = in_proportion(scale)?;
    figures.extend(all_volumes(scale)?);
    figures.push(memory(scale)?);
    figures.extend(link(scale)?);
    Ok(figures)
}

fn forwarders(scale: &Scale) -> &'static [usize] {
    scale.pick(&[5, 10, 20, 40], &[10, 30, 100, 300, 460, 1000])
}

/// Volumes of this many forwarders if each has as many as at the target size.
fn volumes_of(forwarders: usize) -> usize {
    (target::VOLUMES / target::INITIATORS * forwarders as f64).round() as usize
}

/// Nodes in the same proportion to forwarders as at the target size.
fn nodes_of(forwarders: usize) -> usize {
    (target::NODES / target::INITIATORS * forwarders as f64).round() as usize
}

/// Rounds by number of forwarders, one for each repeat.
fn by_forwarders(scale: &Scale, volumes: impl Fn(usize) -> usize) -> Vec<(f64, Vec<Round>)> {
    let sizes = forwarders(scale).iter();
    sizes
        .map(|size| {
            let run_once = |_| rounds(*size, nodes_of(*size), volumes(*size), target::PLANNERS);
            (*size as f64, (0..scale.repeats()).map(run_once).collect())
        })
        .collect()
}

fn figure(
    name: &str,
    role: Role,
    unit: &str,
    results: &[(f64, Vec<Round>)],
    value: fn(&Round) -> f64,
) -> Figure {
    let point = |(size, rounds): &(f64, Vec<Round>)| {
        Point::of(*size, &rounds.iter().map(value).collect::<Vec<f64>>())
    };
    let points = results.iter().map(point).collect();
    Figure::new(name, role, "forwarders", unit, points, target::INITIATORS)
}

fn in_proportion(scale: &Scale) -> Result<Vec<Figure>, String> {
    let results = by_forwarders(scale, volumes_of);
    Ok(vec![
        figure("planners: bytes both ways", Role::Initiator, "bytes/s", &results, |it| {
            it.bytes * ROUNDS_PER_SECOND
        })
        .with_budget(target::CONTROL_BYTES_PER_SECOND)
        .with_note(
            "virtual time, 22 volumes a forwarder, each through three; 10,000 at the target are assumed",
        ),
        figure("planners: a round of all plans on one core", Role::Planner, "ms", &results, |it| it.round)
            .with_budget(INTERVAL_MS)
            .with_note("all partitions on one planner, as after the loss of two; volumes in proportion"),
        figure("planners: one plan", Role::Planner, "us", &results, |it| it.p50),
    ])
}

fn all_volumes(scale: &Scale) -> Result<Vec<Figure>, String> {
    let volumes = scale.pick(500, target::VOLUMES as usize);
    let results = by_forwarders(scale, |_| volumes);
    let counted = |name: &str| format!("{name}, {volumes} volumes");
    Ok(vec![
        figure(&counted("planners: bytes both ways"), Role::Initiator, "bytes/s", &results, |it| {
            it.bytes * ROUNDS_PER_SECOND
        })
        .with_budget(target::CONTROL_BYTES_PER_SECOND),
        figure(&counted("planners: a round of all plans on one core"), Role::Planner, "ms", &results, |it| {
            it.round
        })
        .with_budget(INTERVAL_MS),
    ])
}

fn memory(scale: &Scale) -> Result<Figure, String> {
    let mut points = Vec::new();
    for size in forwarders(scale) {
        let run_once = |_| planners_memory(*size, nodes_of(*size), volumes_of(*size), target::PLANNERS);
        let repeats: Result<Vec<f64>, String> = (0..scale.repeats()).map(run_once).collect();
        points.push(Point::of(*size as f64, &repeats?));
    }
    let name = "planners: memory of three planners and all forwarders' stores";
    let figure = Figure::new(name, Role::Planner, "forwarders", "bytes", points, target::INITIATORS);
    Ok(figure.with_note("one fresh process a size; an upper bound of a planner's"))
}

/// Measurements on the real link.
#[derive(Default)]
struct Link {
    rest_bytes: Vec<f64>,
    rest_processor: Vec<f64>,
    new_processor: Vec<f64>,
    loaded_bytes: Vec<f64>,
    planner_memory: Vec<f64>,
}

fn link(scale: &Scale) -> Result<Vec<Figure>, String> {
    let by_planners = in_parallel(&[1, 2, 3, 5], |planners| measure_link(planners as usize, None, scale))?;
    let volume_sizes: &[u64] = scale.pick(&[1, 5, 20, 65], &[1, 10, 30, 65, 200, 600]);
    let by_volumes =
        in_parallel(volume_sizes, |volumes| measure_link(target::PLANNERS, Some(volumes), scale))?;
    let points = |results: &[(f64, Link)], values: fn(&Link) -> &Vec<f64>| -> Vec<Point> {
        results.iter().map(|(size, link)| Point::of(*size, values(link))).collect()
    };
    let planners = target::PLANNERS as f64;
    let rest = points(&by_planners, |link| &link.rest_bytes);
    let processor = points(&by_planners, |link| &link.rest_processor);
    let new_forwarder = points(&by_planners, |link| &link.new_processor);
    let loaded = points(&by_volumes, |link| &link.loaded_bytes);
    let memory = points(&by_volumes, |link| &link.planner_memory);
    let name = "planners: bytes both ways on the link, by volumes in use";
    Ok(vec![
        Figure::new(
            "planners: bytes both ways on the link at rest",
            Role::Initiator,
            "planners",
            "bytes/s",
            rest,
            planners,
        )
        .with_budget(target::CONTROL_BYTES_PER_SECOND)
        .with_note("a real initiator without requests and real planners, counted by relays"),
        Figure::new(
            "planners: processor of a forwarder at rest",
            Role::Initiator,
            "planners",
            "of a core",
            processor,
            planners,
        )
        .with_budget(target::CONTROL_CORES)
        .with_note("the whole real process without requests, from 6 s after its start on"),
        Figure::new(
            "planners: processor of a forwarder in its first 3 s",
            Role::Initiator,
            "planners",
            "of a core",
            new_forwarder,
            planners,
        )
        .with_note("the whole real process without requests"),
        Figure::new(
            name,
            Role::Initiator,
            "volumes in use",
            "bytes/s",
            loaded,
            target::VOLUMES_PER_INITIATOR,
        )
        .with_budget(target::CONTROL_BYTES_PER_SECOND)
        .with_note("a real initiator at up to 500 requests a second, three real planners, counted by relays"),
        Figure::new(
            "planners: memory of a real planner",
            Role::Planner,
            "volumes in use",
            "bytes",
            memory,
            target::VOLUMES,
        )
        .with_note("one forwarder; three planners, each with a third of the volumes"),
    ])
}

/// Measures all sizes at the same time, since none of them takes much of a core.
fn in_parallel(
    sizes: &[u64],
    measure: impl Fn(u64) -> Result<Link, String> + Sync,
) -> Result<Vec<(f64, Link)>, String> {
    std::thread::scope(|scope| {
        let measure = &measure;
        let start = |size: &u64| {
            let size = *size;
            scope.spawn(move || measure(size).map(|link| (size as f64, link)))
        };
        let threads: Vec<_> = sizes.iter().map(start).collect();
        let finished = threads.into_iter().map(|it| it.join());
        finished.map(|it| it.unwrap_or_else(|_| Err("planners: a thread panicked".into()))).collect()
    })
}

/// Measures a real initiator with planners: at rest, or under reads of this many volumes.
fn measure_link(planners: usize, volumes: Option<u64>, scale: &Scale) -> Result<Link, String> {
    let error_text = |error: std::io::Error| error.to_string();
    let planners = Planners::start(planners)?;
    let nodes = Nodes::start(own_address(5), NODES, Duration::ZERO).map_err(error_text)?;
    let entries = nodes.addresses.iter().map(|address| Entry { address: *address, zone: 0 }).collect();
    let discovery = Discovery::start(own_address(2), entries, Answers::Changes).map_err(error_text)?;
    let setup = Setup { planners: planners.addresses(), ..Setup::of(discovery.address, 1) };
    let initiator = Initiator::start(&setup)?;
    discovery.wait_until_applied(Duration::from_secs(20))?;
    let mut load = volumes.map(|volumes| Load::start(&initiator, volumes, NODES as u64)).transpose()?;
    let mut run_for = |time: Duration| match &mut load {
        Some(load) => load.send_for(time).map(drop),
        None => {
            std::thread::sleep(time);
            Ok(())
        }
    };
    let (start, before) = (Instant::now(), initiator.processor());
    run_for(NEW_UNTIL)?;
    let new_forwarder = (initiator.processor() - before) / start.elapsed().as_secs_f64();
    run_for(SETTLED_AFTER - NEW_UNTIL)?;
    if !planners.are_connected() {
        return Err("planners: the initiator did not connect to all of them".into());
    }
    let mut link = Link { new_processor: vec![new_forwarder], ..Link::default() };
    for _ in 0..scale.repeats() {
        let (start, bytes, processor) = (Instant::now(), planners.bytes(), initiator.processor());
        run_for(scale.pick(Duration::from_millis(700), Duration::from_secs(3)))?;
        let seconds = start.elapsed().as_secs_f64();
        let bytes = (planners.bytes() - bytes) / seconds;
        if volumes.is_some() {
            link.loaded_bytes.push(bytes);
            link.planner_memory.push(planners.memory()?);
        } else {
            link.rest_bytes.push(bytes);
            link.rest_processor.push((initiator.processor() - processor) / seconds);
        }
    }
    Ok(link)
}

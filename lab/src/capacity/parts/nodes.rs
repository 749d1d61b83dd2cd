//! The node list: time to parse and to apply it, and the traffic between discovery and its client.

use super::super::decision::{Setup, Simulation};
use super::super::discovery::{unreachable_nodes, wire_messages, Answers, Discovery, Traffic};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup as InitiatorSetup};
use super::super::meter::timed;
use super::super::scale::Scale;
use super::super::target;
use std::time::{Duration, Instant};
use topazpath::discovery::ListMessage;
use topazpath::interface::NodeState;

/// Maximum time for the initiator to apply a list.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Costs at one size, with a value for each repeat.
#[derive(Default)]
struct Costs {
    /// Microseconds to parse a message and to apply it in the module, for the whole list and for a change of one entry.
    parse_whole: Vec<f64>,
    parse_change: Vec<f64>,
    apply_whole: Vec<f64>,
    apply_change: Vec<f64>,
    /// Bytes of the whole list.
    bytes_whole: Vec<f64>,
}

/// Measurements of the real client with the stand-in for discovery, with a value for each repeat.
#[derive(Default)]
struct ClientCosts {
    /// Bytes and calls per second at rest.
    bytes: Vec<f64>,
    calls: Vec<f64>,
    /// Per change: processor time in microseconds, bytes, and seconds until it was applied.
    change_processor: Vec<f64>,
    change_bytes: Vec<f64>,
    change_applied: Vec<f64>,
    /// Bytes until the first list was applied.
    start_bytes: Vec<f64>,
}

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let mut figures = in_process(scale)?;
    figures.extend(with_changes(scale)?);
    figures.extend(with_whole_lists(scale)?);
    Ok(figures)
}

fn by_nodes(scale: &Scale, name: &str, role: Role, unit: &str, values: impl Fn(usize) -> Vec<f64>) -> Figure {
    let sizes = scale.nodes().iter().enumerate();
    let points = sizes.map(|(place, size)| Point::of(*size as f64, &values(place))).collect();
    Figure::new(name, role, "nodes", unit, points, target::NODES)
}

fn in_process(scale: &Scale) -> Result<Vec<Figure>, String> {
    let all: Result<Vec<Costs>, String> = scale.nodes().iter().map(|nodes| costs(*nodes, scale)).collect();
    let all = all?;
    let figure = |name: &str, unit: &str, values: fn(&Costs) -> &Vec<f64>| {
        by_nodes(scale, name, Role::Initiator, unit, |place| values(&all[place]).clone())
    };
    Ok(vec![
        figure("nodes: read a whole list", "us", |costs| &costs.parse_whole),
        figure("nodes: read a change of one line", "us", |costs| &costs.parse_change),
        figure("nodes: the module takes a whole list", "us", |costs| &costs.apply_whole),
        figure("nodes: the module takes a change of one line", "us", |costs| &costs.apply_change),
        figure("nodes: a whole list", "bytes", |costs| &costs.bytes_whole),
    ])
}

fn costs(nodes: usize, scale: &Scale) -> Result<Costs, String> {
    let (whole, change) = wire_messages(nodes, target::ZONES as usize);
    let runs = scale.pick(5, 20);
    let parse = |text: &str| -> Result<f64, String> {
        let (results, seconds) =
            timed(|| (0..runs).map(|_| ListMessage::parse(text.as_bytes())).collect::<Vec<_>>())?;
        results.into_iter().collect::<Result<Vec<_>, _>>()?;
        Ok(seconds * 1e6 / f64::from(runs))
    };
    let mut simulation = Simulation::new(Setup { zones: target::ZONES as u32, ..Setup::of(nodes as u32) });
    let mut costs = Costs::default();
    for _ in 0..scale.repeats() {
        costs.parse_whole.push(parse(&whole)?);
        costs.parse_change.push(parse(&change)?);
        let (_, seconds) = timed(|| (0..runs).for_each(|_| simulation.apply_list()))?;
        costs.apply_whole.push(seconds * 1e6 / f64::from(runs));
        let (_, seconds) = timed(|| {
            (0..runs).for_each(|run| {
                let state = if run % 2 == 0 { NodeState::Draining } else { NodeState::Ready };
                simulation.apply_change(0, state);
            })
        })?;
        costs.apply_change.push(seconds * 1e6 / f64::from(runs));
        costs.bytes_whole.push(whole.len() as f64);
    }
    Ok(costs)
}

fn with_changes(scale: &Scale) -> Result<Vec<Figure>, String> {
    let all = measure_clients(scale, Answers::Changes)?;
    let figure = |name: &str, role: Role, unit: &str, values: fn(&ClientCosts) -> &Vec<f64>| {
        by_nodes(scale, name, role, unit, |place| values(&all[place]).clone())
    };
    Ok(vec![
        figure("nodes: bytes both ways at rest", Role::Initiator, "bytes/s", |it| &it.bytes)
            .with_budget(target::CONTROL_BYTES_PER_SECOND)
            .with_note("discovery answers with changes"),
        figure("nodes: bytes until the first list", Role::Initiator, "bytes", |it| &it.start_bytes),
        figure("nodes: bytes both ways of a change", Role::Initiator, "bytes", |it| &it.change_bytes),
        figure("nodes: processor of a change", Role::Initiator, "us", |it| &it.change_processor)
            .with_note("the whole real process: client, node list, module"),
        figure("nodes: until a change is taken", Role::Initiator, "s", |it| &it.change_applied)
            .with_budget(target::PRIMARY_CHANGE_S)
            .with_note("one initiator; until it asks for what comes after"),
        figure("nodes: bytes both ways of a day's restarts", Role::Initiator, "bytes", |it| &it.change_bytes)
            .scaled(2.0 * target::RESTARTS_PER_DAY / target::DAY_S, "bytes/s")
            .with_budget(target::CONTROL_BYTES_PER_SECOND)
            .with_note("300 a day, each one change as it leaves and one as it is back"),
        figure("nodes: calls at rest", Role::Discovery, "calls/s", |it| &it.calls)
            .scaled(target::INITIATORS, "calls/s of the fleet"),
    ])
}

fn with_whole_lists(scale: &Scale) -> Result<Vec<Figure>, String> {
    let all = measure_clients(scale, Answers::Whole)?;
    let figure = |name: &str, unit: &str, values: fn(&ClientCosts) -> &Vec<f64>| {
        by_nodes(scale, name, Role::Initiator, unit, |place| values(&all[place]).clone())
    };
    let at_rest = figure("nodes: bytes both ways at rest, whole lists", "bytes/s", |it| &it.bytes)
        .with_budget(target::CONTROL_BYTES_PER_SECOND)
        .with_note("discovery answers every call with the whole list, which the protocol allows");
    let fleet = at_rest.at_target * target::INITIATORS;
    Ok(vec![
        at_rest,
        figure("nodes: processor of a change, whole lists", "us", |it| &it.change_processor),
        Figure::worked_out(
            "nodes: bytes at rest of the fleet, whole lists",
            Role::Discovery,
            "bytes/s",
            fleet,
            "one initiator's, times 460",
        ),
    ])
}

fn measure_clients(scale: &Scale, answers: Answers) -> Result<Vec<ClientCosts>, String> {
    scale.nodes().iter().map(|nodes| measure_client(*nodes, answers, scale)).collect()
}

/// Measures one real initiator with the stand-in for discovery: at its start, at rest, and during changes.
fn measure_client(nodes: usize, answers: Answers, scale: &Scale) -> Result<ClientCosts, String> {
    let zones = target::ZONES as usize;
    let discovery = Discovery::start(own_address(2), unreachable_nodes(nodes, zones), answers)
        .map_err(|error| format!("discovery: {error}"))?;
    let initiator = Initiator::start(&InitiatorSetup::of(discovery.address, zones))?;
    discovery.wait_until_applied(APPLY_TIMEOUT)?;
    let sum = |traffic: Traffic| (traffic.read + traffic.written) as f64;
    let mut costs = ClientCosts::default();
    costs.start_bytes.push(sum(discovery.traffic()));
    for _ in 0..scale.repeats() {
        let (start, before) = (Instant::now(), discovery.traffic());
        std::thread::sleep(scale.rest_duration());
        let (passed, seconds) = (discovery.traffic().since(before), start.elapsed().as_secs_f64());
        costs.bytes.push(sum(passed) / seconds);
        costs.calls.push(passed.calls as f64 / seconds);
        let count = scale.pick(3, 10);
        let (before, processor) = (discovery.traffic(), initiator.processor());
        let mut applied_s = 0.0;
        for change in 0..count {
            discovery.change(change % nodes);
            applied_s += discovery.wait_until_applied(APPLY_TIMEOUT)?.as_secs_f64();
        }
        let count = count as f64;
        costs.change_processor.push((initiator.processor() - processor) * 1e6 / count);
        costs.change_bytes.push(sum(discovery.traffic().since(before)) / count);
        costs.change_applied.push(applied_s / count);
    }
    Ok(costs)
}

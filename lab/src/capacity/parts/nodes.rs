//! The node list: what it takes to read it and to take it over, and what discovery and its client say to each other.

use super::super::decision::{Setup, World};
use super::super::discovery::{messages, unreachable_nodes, Answers, Discovery, Traffic};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup as InitiatorSetup};
use super::super::meter::timed;
use super::super::scale::Scale;
use super::super::target;
use std::time::{Duration, Instant};
use topazpath::discovery::ListMessage;
use topazpath::interface::NodeState;

/// A list that is not taken by then is lost.
const PATIENCE: Duration = Duration::from_secs(20);

/// What one size came to, a value for each repeat.
#[derive(Default)]
struct Costs {
    /// Reading a message, and taking it over in the module: the whole list, and a change of one line.
    parse_whole: Vec<f64>,
    parse_change: Vec<f64>,
    take_whole: Vec<f64>,
    take_change: Vec<f64>,
    /// Bytes of the whole list.
    bytes_whole: Vec<f64>,
}

/// What the real client and discovery came to, a value for each repeat.
#[derive(Default)]
struct Conversation {
    /// Bytes and calls a second at rest.
    bytes: Vec<f64>,
    calls: Vec<f64>,
    /// Processor time, bytes and time until it was taken, of a change.
    change_processor: Vec<f64>,
    change_bytes: Vec<f64>,
    change_taken: Vec<f64>,
    /// Bytes until the first list was taken.
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
        figure("nodes: the module takes a whole list", "us", |costs| &costs.take_whole),
        figure("nodes: the module takes a change of one line", "us", |costs| &costs.take_change),
        figure("nodes: a whole list", "bytes", |costs| &costs.bytes_whole),
    ])
}

fn costs(nodes: usize, scale: &Scale) -> Result<Costs, String> {
    let (whole, change) = messages(nodes, target::ZONES as usize);
    let runs = scale.pick(5, 20);
    let read = |text: &str| -> Result<f64, String> {
        let (read, seconds) =
            timed(|| (0..runs).map(|_| ListMessage::parse(text.as_bytes())).collect::<Vec<_>>())?;
        read.into_iter().collect::<Result<Vec<_>, _>>()?;
        Ok(seconds * 1e6 / f64::from(runs))
    };
    let mut world = World::new(Setup { zones: target::ZONES as u32, ..Setup::of(nodes as u32) });
    let mut costs = Costs::default();
    for _ in 0..scale.repeats() {
        costs.parse_whole.push(read(&whole)?);
        costs.parse_change.push(read(&change)?);
        let (_, seconds) = timed(|| (0..runs).for_each(|_| world.take_list()))?;
        costs.take_whole.push(seconds * 1e6 / f64::from(runs));
        let (_, seconds) = timed(|| {
            (0..runs).for_each(|run| {
                let state = if run % 2 == 0 { NodeState::Draining } else { NodeState::Ready };
                world.take_change(0, state);
            })
        })?;
        costs.take_change.push(seconds * 1e6 / f64::from(runs));
        costs.bytes_whole.push(whole.len() as f64);
    }
    Ok(costs)
}

fn with_changes(scale: &Scale) -> Result<Vec<Figure>, String> {
    let all = conversations(scale, Answers::Changes)?;
    let figure = |name: &str, role: Role, unit: &str, values: fn(&Conversation) -> &Vec<f64>| {
        by_nodes(scale, name, role, unit, |place| values(&all[place]).clone())
    };
    Ok(vec![
        figure("nodes: bytes both ways at rest", Role::Initiator, "bytes/s", |it| &it.bytes)
            .within(target::CONTROL_BYTES_PER_SECOND)
            .note("discovery answers with changes"),
        figure("nodes: bytes until the first list", Role::Initiator, "bytes", |it| &it.start_bytes),
        figure("nodes: bytes both ways of a change", Role::Initiator, "bytes", |it| &it.change_bytes),
        figure("nodes: processor of a change", Role::Initiator, "us", |it| &it.change_processor)
            .note("the whole real process: client, node list, module"),
        figure("nodes: until a change is taken", Role::Initiator, "s", |it| &it.change_taken)
            .within(target::PRIMARY_CHANGE_S)
            .note("one initiator; until it asks for what comes after"),
        figure("nodes: bytes both ways of a day's restarts", Role::Initiator, "bytes", |it| &it.change_bytes)
            .times(2.0 * target::RESTARTS_PER_DAY / target::DAY_S, "bytes/s")
            .within(target::CONTROL_BYTES_PER_SECOND)
            .note("300 a day, each one change as it leaves and one as it is back"),
        figure("nodes: calls at rest", Role::Discovery, "calls/s", |it| &it.calls)
            .times(target::INITIATORS, "calls/s of the fleet"),
    ])
}

fn with_whole_lists(scale: &Scale) -> Result<Vec<Figure>, String> {
    let all = conversations(scale, Answers::Whole)?;
    let figure = |name: &str, unit: &str, values: fn(&Conversation) -> &Vec<f64>| {
        by_nodes(scale, name, Role::Initiator, unit, |place| values(&all[place]).clone())
    };
    let at_rest = figure("nodes: bytes both ways at rest, whole lists", "bytes/s", |it| &it.bytes)
        .within(target::CONTROL_BYTES_PER_SECOND)
        .note("discovery answers every call with the whole list, which the protocol allows");
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

fn conversations(scale: &Scale, answers: Answers) -> Result<Vec<Conversation>, String> {
    scale.nodes().iter().map(|nodes| conversation(*nodes, answers, scale)).collect()
}

/// One real initiator against discovery: its start, rest, and changes.
fn conversation(nodes: usize, answers: Answers, scale: &Scale) -> Result<Conversation, String> {
    let zones = target::ZONES as usize;
    let discovery = Discovery::start(own_address(2), unreachable_nodes(nodes, zones), answers)
        .map_err(|error| format!("discovery: {error}"))?;
    let initiator = Initiator::start(&InitiatorSetup::of(discovery.address, zones))?;
    discovery.wait_until_taken(PATIENCE)?;
    let sum = |traffic: Traffic| (traffic.read + traffic.written) as f64;
    let mut seen = Conversation::default();
    seen.start_bytes.push(sum(discovery.traffic()));
    for _ in 0..scale.repeats() {
        let (start, before) = (Instant::now(), discovery.traffic());
        std::thread::sleep(scale.watch());
        let (passed, seconds) = (discovery.traffic().since(before), start.elapsed().as_secs_f64());
        seen.bytes.push(sum(passed) / seconds);
        seen.calls.push(passed.calls as f64 / seconds);
        let count = scale.pick(3, 10);
        let (before, processor) = (discovery.traffic(), initiator.processor());
        let mut taken = 0.0;
        for change in 0..count {
            discovery.change(change % nodes);
            taken += discovery.wait_until_taken(PATIENCE)?.as_secs_f64();
        }
        let count = count as f64;
        seen.change_processor.push((initiator.processor() - processor) * 1e6 / count);
        seen.change_bytes.push(sum(discovery.traffic().since(before)) / count);
        seen.change_taken.push(taken / count);
    }
    Ok(seen)
}

//! The program's own state machine and handover under a model checker: two or three routers, advertisements that are
//! lost, doubled and reordered, machines that crash, come back, stop and go on. Time goes in quarters of an interval;
//! priorities are multiples of 64, so that every timer falls on one.
//!
//! From each state that is reached the links are then made good, and what must come true is looked for.

use stateright::{Checker, Model, Property};
use std::net::IpAddr;
use std::time::Duration;
use topazpath::handover::{self, AddressAction, Duty};
use topazpath::vrrp::machine::{Event, Parameters, Role, StateMachine};

/// A quarter of an interval, and the interval.
const TICK: Duration = Duration::from_millis(64);
const INTERVAL: Duration = Duration::from_millis(256);
/// Where now lies: what is three intervals old is as old as can matter.
const NOW: Duration = Duration::from_millis(3 * 256);
/// An item may last so long: two intervals.
const FINISH: Duration = Duration::from_millis(2 * 256);
/// Once links are good, one router is Active within so many quarters: the longest wait of a router that was stopped
/// (its Active_Down_Interval), then that of the one which takes over, and one interval to hear it.
pub const BOUND: usize = 36;

/// What is checked.
#[derive(Clone, Debug)]
pub struct Routers {
    /// Priorities, all multiples of 64.
    pub priorities: Vec<u8>,
    /// Packets that may be lost, and doubled; crashes; stops.
    pub faults: Faults,
    /// Items that clients send.
    pub items: u8,
    /// A deliberate fault.
    pub planted: Planted,
}

/// How much may go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Packets that may be lost.
    pub lost: u8,
    /// Packets that may come twice.
    pub doubled: u8,
    /// Machines that may crash; they may come back.
    pub crashes: u8,
    /// Machines that may be stopped; they go on.
    pub stops: u8,
}

/// What is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Nothing.
    Nothing,
    /// A router leaves advertisements of its own priority alone.
    TiesIgnored,
    /// A router that was retired forgets what it took.
    ItemsForgotten,
    /// An item's end is told again when its address returns.
    AnsweredAgain,
}

/// How a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Power {
    /// It runs.
    On,
    /// It lost all it knew.
    Off,
    /// It is stopped, and knows nothing of it.
    Stopped,
}

/// An item of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Item {
    /// Not sent.
    Unsent,
    /// A machine has it.
    Taken(u8),
    /// The machine that had it crashed.
    Lost,
    /// A machine took it and let it go without an answer.
    Orphaned,
    /// So many answers came.
    Answered(u8),
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    power: Power,
    machine: StateMachine,
    duty: Duty,
}

/// A packet on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Packet {
    to: u8,
    from: u8,
    priority: u8,
    /// It was on its way when time went on: it arrives or is lost before time goes on again.
    old: bool,
}

/// A state of all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    nodes: Vec<Node>,
    packets: Vec<Packet>,
    items: Vec<Item>,
    /// Who announced last: where clients get to.
    route: Option<u8>,
    left: Faults,
}

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time goes on by a quarter of an interval.
    Tick,
    /// A packet arrives.
    Deliver(usize),
    /// A packet is lost.
    Lose(usize),
    /// A packet arrives and stays on its way.
    Double(usize),
    /// A machine loses power.
    Crash(usize),
    /// It comes back, knowing nothing.
    Restart(usize),
    /// A machine is stopped.
    Stop(usize),
    /// It goes on.
    Continue(usize),
    /// A client sends an item to where the address leads.
    Send(usize),
    /// The machine that has an item answers it.
    Answer(usize),
}

fn parameters(at: usize) -> Parameters {
    let address = IpAddr::from([192, 0, 2, at as u8 + 1]);
    Parameters { interval: INTERVAL, preempt: true, preempt_delay: Duration::ZERO, address }
}

impl Routers {
    fn step(&self, world: &mut World, at: usize, event: Event) {
        let own = parameters(at);
        if self.planted == Planted::TiesIgnored {
            if let Event::Advertisement { priority, .. } = event {
                if priority == world.nodes[at].machine.priority() {
                    return;
                }
            }
        }
        let step = world.nodes[at].machine.step(&own, NOW, event);
        if let Some(priority) = step.advertise {
            world.announce(at, priority);
        }
        let Some(transition) = step.transition else { return };
        match (transition.from, transition.to) {
            (_, Role::Active) => {
                self.duty(world, at, handover::Event::Granted);
                // Nothing stands between it and the address here.
                self.duty(world, at, handover::Event::Opened);
            }
            (Role::Active, _) => self.duty(world, at, handover::Event::Withdrawn),
            _ => {}
        }
    }

    fn duty(&self, world: &mut World, at: usize, event: handover::Event) {
        let (duty, order) = world.nodes[at].duty.step(NOW, FINISH, event);
        world.nodes[at].duty = duty;
        for item in &mut world.items {
            match (*item, order) {
                (Item::Taken(by), Some(AddressAction::Abort)) if by as usize == at => {
                    *item = Item::Answered(1)
                }
                (Item::Taken(by), Some(AddressAction::Release))
                    if by as usize == at && self.planted == Planted::ItemsForgotten =>
                {
                    *item = Item::Orphaned;
                }
                (Item::Answered(count), Some(AddressAction::Acquire))
                    if self.planted == Planted::AnsweredAgain =>
                {
                    *item = Item::Answered(count + 1);
                }
                _ => {}
            }
        }
    }

    fn deliver(&self, world: &mut World, packet: Packet) {
        let to = packet.to as usize;
        let sender = parameters(packet.from as usize).address;
        if world.nodes[to].power == Power::On {
            let (priority, interval) = (packet.priority, INTERVAL);
            self.step(world, to, Event::Advertisement { priority, interval, sender });
        }
    }

    /// Time goes on: all that is due fires, machine by machine, until nothing is.
    fn tick(&self, world: &mut World) {
        for node in &mut world.nodes {
            node.machine = node.machine.rebased(TICK);
            if let Duty::Retired { until } = &mut node.duty {
                *until = until.saturating_sub(TICK);
            }
        }
        for packet in &mut world.packets {
            packet.old = true;
        }
        for at in 0..world.nodes.len() {
            if world.nodes[at].power == Power::On {
                self.fire(world, at);
            }
        }
    }

    fn fire(&self, world: &mut World, at: usize) {
        while world.nodes[at].machine.timer().is_some_and(|due| due <= NOW) {
            self.step(world, at, Event::Timer);
        }
        let open = world.items.iter().filter(|item| **item == Item::Taken(at as u8)).count();
        self.duty(world, at, handover::Event::Polled { open });
    }

    fn wake(&self, world: &mut World, at: usize) {
        world.nodes[at].power = Power::On;
        // What waits at its socket is read before its timers fire.
        let (waiting, rest) = world.packets.iter().partition(|packet| packet.to as usize == at);
        world.packets = rest;
        let waiting: Vec<Packet> = waiting;
        waiting.into_iter().for_each(|packet| self.deliver(world, packet));
        self.fire(world, at);
    }

    /// Makes everything good and lets time go on; true if in the end exactly one machine serves, has the address, and
    /// every item that a live machine took is answered.
    fn heals(&self, world: &World) -> bool {
        let mut world = world.clone();
        for at in 0..world.nodes.len() {
            if world.nodes[at].power == Power::Stopped {
                self.wake(&mut world, at);
            }
        }
        if world.nodes.iter().all(|node| node.power == Power::Off) {
            return true;
        }
        let mut since = None;
        for now in 0..BOUND + 8 {
            // Good links deliver at once, and in order.
            while !world.packets.is_empty() {
                let packet = world.packets.remove(0);
                self.deliver(&mut world, packet);
            }
            for item in &mut world.items {
                if let Item::Taken(by) = *item {
                    if world.nodes[by as usize].power == Power::On {
                        *item = Item::Answered(1);
                    }
                }
            }
            if !world.is_single() {
                since = None;
            } else if since.is_none() {
                since = Some(now);
            }
            self.tick(&mut world);
        }
        let live =
            |item: &Item| matches!(item, Item::Taken(by) if world.nodes[*by as usize].power == Power::On);
        since.is_some_and(|since| since <= BOUND) && !world.items.iter().any(live)
    }
}

impl World {
    fn announce(&mut self, from: usize, priority: u8) {
        if priority > 0 {
            self.route = Some(from as u8);
        }
        let nodes = self.nodes.len();
        for to in 0..nodes {
            // Guards the size of the model: what is too much on its way at once is lost, as at a full queue.
            if to != from
                && self.nodes[to].power != Power::Off
                && self.packets.len() < nodes * (nodes - 1) + 2
            {
                self.packets.push(Packet { to: to as u8, from: from as u8, priority, old: false });
            }
        }
        self.packets.sort();
    }

    /// Exactly one machine is Active and serves, and the address leads to it.
    fn is_single(&self) -> bool {
        let active =
            |(_, node): &(usize, &Node)| node.power == Power::On && node.machine.role() == Role::Active;
        let mut active = self.nodes.iter().enumerate().filter(active);
        match (active.next(), active.next()) {
            (Some((at, node)), None) => node.duty.accepts() && self.route == Some(at as u8),
            _ => false,
        }
    }
}

impl Model for Routers {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let node = |(at, priority): (usize, &u8)| Node {
            power: Power::On,
            machine: StateMachine::new(&parameters(at), *priority),
            duty: Duty::Standby,
        };
        let mut world = World {
            nodes: self.priorities.iter().enumerate().map(node).collect(),
            packets: Vec::new(),
            items: vec![Item::Unsent; usize::from(self.items)],
            route: None,
            left: self.faults,
        };
        for at in 0..world.nodes.len() {
            self.step(&mut world, at, Event::Startup);
        }
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if !world
            .packets
            .iter()
            .any(|packet| packet.old && world.nodes[packet.to as usize].power == Power::On)
        {
            actions.push(Action::Tick);
        }
        for (at, packet) in world.packets.iter().enumerate() {
            // Equal packets do the same.
            if world.packets[..at].contains(packet) {
                continue;
            }
            if world.nodes[packet.to as usize].power == Power::On {
                actions.push(Action::Deliver(at));
                if world.left.doubled > 0 {
                    actions.push(Action::Double(at));
                }
            }
            if world.left.lost > 0 {
                actions.push(Action::Lose(at));
            }
        }
        for (at, node) in world.nodes.iter().enumerate() {
            match node.power {
                Power::On => {
                    if world.left.crashes > 0 {
                        actions.push(Action::Crash(at));
                    }
                    if world.left.stops > 0 {
                        actions.push(Action::Stop(at));
                    }
                }
                Power::Off => actions.push(Action::Restart(at)),
                Power::Stopped => actions.push(Action::Continue(at)),
            }
        }
        for (at, item) in world.items.iter().enumerate() {
            match item {
                Item::Unsent if world.route.is_some() => actions.push(Action::Send(at)),
                Item::Taken(by) if world.nodes[*by as usize].power == Power::On => {
                    actions.push(Action::Answer(at));
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::Tick => self.tick(&mut world),
            Action::Deliver(at) => {
                let packet = world.packets.remove(at);
                self.deliver(&mut world, packet);
            }
            Action::Lose(at) => {
                world.left.lost -= 1;
                world.packets.remove(at);
            }
            Action::Double(at) => {
                world.left.doubled -= 1;
                let packet = world.packets[at];
                self.deliver(&mut world, packet);
            }
            Action::Crash(at) => {
                world.left.crashes -= 1;
                let node = &mut world.nodes[at];
                node.power = Power::Off;
                node.machine = StateMachine::new(&parameters(at), self.priorities[at]);
                node.duty = Duty::Standby;
                world.packets.retain(|packet| packet.to as usize != at);
                for item in &mut world.items {
                    if *item == Item::Taken(at as u8) {
                        *item = Item::Lost;
                    }
                }
            }
            Action::Restart(at) => {
                world.nodes[at].power = Power::On;
                self.step(&mut world, at, Event::Startup);
            }
            Action::Stop(at) => {
                world.left.stops -= 1;
                world.nodes[at].power = Power::Stopped;
            }
            Action::Continue(at) => self.wake(&mut world, at),
            Action::Send(item) => {
                let to = world.route? as usize;
                let node = &world.nodes[to];
                // A machine that does not serve refuses, or nobody is there: the client comes again.
                (node.power == Power::On && node.duty.accepts()).then_some(())?;
                world.items[item] = Item::Taken(to as u8);
            }
            Action::Answer(item) => world.items[item] = Item::Answered(1),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one final answer, and no orphan", |_, world: &World| {
                world.items.iter().all(|item| !matches!(item, Item::Orphaned | Item::Answered(2..)))
            }),
            Property::always("a router that runs has a way on", |_, world: &World| {
                let stuck = |node: &Node| node.power == Power::On && node.machine.timer().is_none();
                !world.nodes.iter().any(stuck)
            }),
            Property::always("it takes items only as Active", |_, world: &World| {
                world.nodes.iter().all(|node| !node.duty.accepts() || node.machine.role() == Role::Active)
            }),
            Property::always(
                "good links leave exactly one Active in time",
                |model: &Routers, world: &World| model.heals(world),
            ),
            Property::sometimes("two are Active", |_, world: &World| {
                world.nodes.iter().filter(|node| node.duty.accepts()).count() > 1
            }),
            Property::sometimes("an item is answered by a retired machine", |_, world: &World| {
                let retired = |at: u8| matches!(world.nodes[at as usize].duty, Duty::Retired { .. });
                world.items.iter().any(|item| matches!(item, Item::Taken(by) if retired(*by)))
            }),
        ]
    }
}

/// What a check came to.
#[derive(Clone, Debug)]
pub struct Checked {
    /// States that were visited.
    pub states: usize,
    /// Properties that do not hold, or never came true.
    pub broken: Vec<&'static str>,
}

/// Visits all states.
pub fn check(model: Routers) -> Checked {
    let names: Vec<(&str, bool)> = model
        .properties()
        .iter()
        .map(|property| (property.name, property.expectation == stateright::Expectation::Always))
        .collect();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = model.checker().threads(threads).spawn_bfs().join();
    let found = |(name, always): &(&'static str, bool)| checker.discovery(name).is_some() == *always;
    let broken = names.iter().filter(|it| found(it)).map(|(name, _)| *name).collect();
    Checked { states: checker.unique_state_count(), broken }
}

/// The checks that the docs record, with the faults that each allows.
pub fn recorded(short: bool) -> Vec<(&'static str, Routers)> {
    let faults = |lost, doubled, crashes, stops| Faults { lost, doubled, crashes, stops };
    let model = |priorities: &[u8], faults, items| Routers {
        priorities: priorities.to_vec(),
        faults,
        items,
        planted: Planted::Nothing,
    };
    let mut all = vec![
        ("two routers, loss", model(&[192, 64], faults(3, 1, 0, 0), 1)),
        ("two routers, crash and stop", model(&[192, 64], faults(0, 0, 1, 1), 1)),
        ("two of the same priority", model(&[128, 128], faults(2, 0, 1, 0), 1)),
    ];
    if !short {
        all.push(("two routers, all faults", model(&[192, 64], faults(3, 1, 1, 1), 1)));
        all.push(("three routers, loss and crash", model(&[192, 128, 64], faults(2, 0, 1, 0), 1)));
        all.push(("three routers, stop", model(&[192, 128, 64], faults(1, 0, 0, 1), 1)));
    }
    all
}

#[cfg(test)]
mod tests;

//! Model checking of the program's VRRP state machine and handover: two or three routers, lost, duplicated and
//! reordered advertisements, and machines that crash, restart, stop and continue. Time advances in quarters of an
//! interval; priorities are multiples of 64, so that every timer falls on a quarter.
//!
//! From each reached state the links are also restored, and the routers have to recover within a bound.

use stateright::{Checker, Model, Property};
use std::net::IpAddr;
use std::time::Duration;
use topazpath::handover::{self, AddressAction, Duty};
use topazpath::vrrp::machine::{Event, Parameters, Role, StateMachine};

/// The step of time, a quarter of an interval, and the interval.
const TICK: Duration = Duration::from_millis(64);
const INTERVAL: Duration = Duration::from_millis(256);
/// The present time in the model. Older times than three intervals ago make no difference.
const NOW: Duration = Duration::from_millis(3 * 256);
/// Max duration of a request: two intervals.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(2 * 256);
/// Max number of quarters from the restoration of the links until exactly one router is Active: the
/// Active_Down_Interval of a router that was stopped, that of the one which takes over, and one interval to receive its
/// advertisement.
pub const RECOVERY_BOUND: usize = 36;

/// The parameters of a model.
#[derive(Clone, Debug)]
pub struct Routers {
    /// Priorities, all multiples of 64.
    pub priorities: Vec<u8>,
    /// The number of faults of each kind.
    pub faults: Faults,
    /// Number of requests that clients send.
    pub requests: u8,
    /// A planted fault.
    pub planted: Planted,
}

/// Max number of faults of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Packets that may be lost.
    pub lost: u8,
    /// Packets that may be duplicated.
    pub doubled: u8,
    /// Crashes of machines, which may restart.
    pub crashes: u8,
    /// Stops of machines, which may continue.
    pub stops: u8,
}

/// A planted fault of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// None.
    Nothing,
    /// A router ignores advertisements with its own priority.
    TiesIgnored,
    /// A retired router drops its requests without an answer.
    RequestsForgotten,
    /// A request is answered again when the address returns.
    AnsweredAgain,
}

/// The state of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Power {
    /// It runs.
    On,
    /// Crashed: it lost its state.
    Off,
    /// Stopped: it keeps its state and does not notice.
    Stopped,
}

/// The state of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// Not sent yet.
    Unsent,
    /// In flight at a machine.
    InFlight(u8),
    /// In flight at a machine that crashed.
    Lost,
    /// Dropped without an answer by a running machine.
    Orphaned,
    /// Answered this many times.
    Answered(u8),
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    power: Power,
    machine: StateMachine,
    duty: Duty,
}

/// A packet in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Packet {
    to: u8,
    from: u8,
    priority: u8,
    /// Whether it was sent before the last step of time: it arrives or is lost before the next.
    is_due: bool,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    nodes: Vec<Node>,
    packets: Vec<Packet>,
    requests: Vec<Request>,
    /// The machine that announced last, which clients reach.
    route: Option<u8>,
    faults_left: Faults,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Time advances by a quarter of an interval.
    Tick,
    /// A packet arrives.
    Deliver(usize),
    /// A packet is lost.
    Lose(usize),
    /// A packet arrives and stays in transit.
    Duplicate(usize),
    /// A machine crashes.
    Crash(usize),
    /// A crashed machine restarts with its initial state.
    Restart(usize),
    /// A machine is stopped.
    Stop(usize),
    /// A stopped machine continues.
    Continue(usize),
    /// A client sends a request to the machine that the address is routed to.
    Send(usize),
    /// A machine answers its request.
    Answer(usize),
}

fn parameters(at: usize) -> Parameters {
    let address = IpAddr::from([192, 0, 2, at as u8 + 1]);
    Parameters { interval: INTERVAL, preempt: true, preempt_delay: Duration::ZERO, address }
}

impl Routers {
    fn step(&self, state: &mut State, at: usize, event: Event) {
        let own = parameters(at);
        if self.planted == Planted::TiesIgnored {
            if let Event::Advertisement { priority, .. } = event {
                if priority == state.nodes[at].machine.priority() {
                    return;
                }
            }
        }
        let step = state.nodes[at].machine.step(&own, NOW, event);
        if let Some(priority) = step.advertise {
            state.announce(at, priority);
        }
        let Some(transition) = step.transition else { return };
        match (transition.from, transition.to) {
            (_, Role::Active) => {
                self.duty(state, at, handover::Event::Granted);
                // In the model the address is acquired at once.
                self.duty(state, at, handover::Event::Opened);
            }
            (Role::Active, _) => self.duty(state, at, handover::Event::Withdrawn),
            _ => {}
        }
    }

    fn duty(&self, state: &mut State, at: usize, event: handover::Event) {
        let (duty, action) = state.nodes[at].duty.step(NOW, MAX_REQUEST_TIME, event);
        state.nodes[at].duty = duty;
        for request in &mut state.requests {
            match (*request, action) {
                (Request::InFlight(by), Some(AddressAction::Abort)) if by as usize == at => {
                    *request = Request::Answered(1)
                }
                (Request::InFlight(by), Some(AddressAction::Release))
                    if by as usize == at && self.planted == Planted::RequestsForgotten =>
                {
                    *request = Request::Orphaned;
                }
                (Request::Answered(count), Some(AddressAction::Acquire))
                    if self.planted == Planted::AnsweredAgain =>
                {
                    *request = Request::Answered(count + 1);
                }
                _ => {}
            }
        }
    }

    fn deliver(&self, state: &mut State, packet: Packet) {
        let to = packet.to as usize;
        let sender = parameters(packet.from as usize).address;
        if state.nodes[to].power == Power::On {
            let (priority, interval) = (packet.priority, INTERVAL);
            self.step(state, to, Event::Advertisement { priority, interval, sender });
        }
    }

    /// Advances time and fires all timers that are due, machine by machine.
    fn tick(&self, state: &mut State) {
        for node in &mut state.nodes {
            node.machine = node.machine.rebased(TICK);
            if let Duty::Retired { until } = &mut node.duty {
                *until = until.saturating_sub(TICK);
            }
        }
        for packet in &mut state.packets {
            packet.is_due = true;
        }
        for at in 0..state.nodes.len() {
            if state.nodes[at].power == Power::On {
                self.fire(state, at);
            }
        }
    }

    fn fire(&self, state: &mut State, at: usize) {
        while state.nodes[at].machine.timer().is_some_and(|due| due <= NOW) {
            self.step(state, at, Event::Timer);
        }
        let open = state.requests.iter().filter(|request| **request == Request::InFlight(at as u8)).count();
        self.duty(state, at, handover::Event::Polled { open });
    }

    fn resume(&self, state: &mut State, at: usize) {
        state.nodes[at].power = Power::On;
        // Packets that wait at its socket are read before its timers fire.
        let (waiting, rest) = state.packets.iter().partition(|packet| packet.to as usize == at);
        state.packets = rest;
        let waiting: Vec<Packet> = waiting;
        waiting.into_iter().for_each(|packet| self.deliver(state, packet));
        self.fire(state, at);
    }

    /// Restores links and stopped machines and advances time; true if within the bound exactly one machine is Active,
    /// serves and has the address, and all requests at running machines are answered.
    fn recovers(&self, state: &State) -> bool {
        let mut state = state.clone();
        for at in 0..state.nodes.len() {
            if state.nodes[at].power == Power::Stopped {
                self.resume(&mut state, at);
            }
        }
        if state.nodes.iter().all(|node| node.power == Power::Off) {
            return true;
        }
        let mut since = None;
        for now in 0..RECOVERY_BOUND + 8 {
            // Restored links deliver at once and in order.
            while !state.packets.is_empty() {
                let packet = state.packets.remove(0);
                self.deliver(&mut state, packet);
            }
            for request in &mut state.requests {
                if let Request::InFlight(by) = *request {
                    if state.nodes[by as usize].power == Power::On {
                        *request = Request::Answered(1);
                    }
                }
            }
            if !state.is_single() {
                since = None;
            } else if since.is_none() {
                since = Some(now);
            }
            self.tick(&mut state);
        }
        let live = |request: &Request| matches!(request, Request::InFlight(by) if state.nodes[*by as usize].power == Power::On);
        since.is_some_and(|since| since <= RECOVERY_BOUND) && !state.requests.iter().any(live)
    }
}

impl State {
    fn announce(&mut self, from: usize, priority: u8) {
        if priority > 0 {
            self.route = Some(from as u8);
        }
        let nodes = self.nodes.len();
        for to in 0..nodes {
            // Bounds the size of the model: packets beyond a max number in transit are lost, as at a full queue.
            if to != from
                && self.nodes[to].power != Power::Off
                && self.packets.len() < nodes * (nodes - 1) + 2
            {
                self.packets.push(Packet { to: to as u8, from: from as u8, priority, is_due: false });
            }
        }
        self.packets.sort();
    }

    /// Whether exactly one machine is Active and serves, and the address is routed to it.
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
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let node = |(at, priority): (usize, &u8)| Node {
            power: Power::On,
            machine: StateMachine::new(&parameters(at), *priority),
            duty: Duty::Standby,
        };
        let mut state = State {
            nodes: self.priorities.iter().enumerate().map(node).collect(),
            packets: Vec::new(),
            requests: vec![Request::Unsent; usize::from(self.requests)],
            route: None,
            faults_left: self.faults,
        };
        for at in 0..state.nodes.len() {
            self.step(&mut state, at, Event::Startup);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if !state
            .packets
            .iter()
            .any(|packet| packet.is_due && state.nodes[packet.to as usize].power == Power::On)
        {
            actions.push(Action::Tick);
        }
        for (at, packet) in state.packets.iter().enumerate() {
            // Equal packets have the same effect.
            if state.packets[..at].contains(packet) {
                continue;
            }
            if state.nodes[packet.to as usize].power == Power::On {
                actions.push(Action::Deliver(at));
                if state.faults_left.doubled > 0 {
                    actions.push(Action::Duplicate(at));
                }
            }
            if state.faults_left.lost > 0 {
                actions.push(Action::Lose(at));
            }
        }
        for (at, node) in state.nodes.iter().enumerate() {
            match node.power {
                Power::On => {
                    if state.faults_left.crashes > 0 {
                        actions.push(Action::Crash(at));
                    }
                    if state.faults_left.stops > 0 {
                        actions.push(Action::Stop(at));
                    }
                }
                Power::Off => actions.push(Action::Restart(at)),
                Power::Stopped => actions.push(Action::Continue(at)),
            }
        }
        for (at, request) in state.requests.iter().enumerate() {
            match request {
                Request::Unsent if state.route.is_some() => actions.push(Action::Send(at)),
                Request::InFlight(by) if state.nodes[*by as usize].power == Power::On => {
                    actions.push(Action::Answer(at));
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => self.tick(&mut state),
            Action::Deliver(at) => {
                let packet = state.packets.remove(at);
                self.deliver(&mut state, packet);
            }
            Action::Lose(at) => {
                state.faults_left.lost -= 1;
                state.packets.remove(at);
            }
            Action::Duplicate(at) => {
                state.faults_left.doubled -= 1;
                let packet = state.packets[at];
                self.deliver(&mut state, packet);
            }
            Action::Crash(at) => {
                state.faults_left.crashes -= 1;
                let node = &mut state.nodes[at];
                node.power = Power::Off;
                node.machine = StateMachine::new(&parameters(at), self.priorities[at]);
                node.duty = Duty::Standby;
                state.packets.retain(|packet| packet.to as usize != at);
                for request in &mut state.requests {
                    if *request == Request::InFlight(at as u8) {
                        *request = Request::Lost;
                    }
                }
            }
            Action::Restart(at) => {
                state.nodes[at].power = Power::On;
                self.step(&mut state, at, Event::Startup);
            }
            Action::Stop(at) => {
                state.faults_left.stops -= 1;
                state.nodes[at].power = Power::Stopped;
            }
            Action::Continue(at) => self.resume(&mut state, at),
            Action::Send(request) => {
                let to = state.route? as usize;
                let node = &state.nodes[to];
                // A machine that does not serve or run refuses the connection, and the client tries again.
                (node.power == Power::On && node.duty.accepts()).then_some(())?;
                state.requests[request] = Request::InFlight(to as u8);
            }
            Action::Answer(request) => state.requests[request] = Request::Answered(1),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one final answer, and no orphan", |_, state: &State| {
                state
                    .requests
                    .iter()
                    .all(|request| !matches!(request, Request::Orphaned | Request::Answered(2..)))
            }),
            Property::always("a router that runs has a way on", |_, state: &State| {
                let stuck = |node: &Node| node.power == Power::On && node.machine.timer().is_none();
                !state.nodes.iter().any(stuck)
            }),
            Property::always("it takes items only as Active", |_, state: &State| {
                state.nodes.iter().all(|node| !node.duty.accepts() || node.machine.role() == Role::Active)
            }),
            Property::always(
                "good links leave exactly one Active in time",
                |model: &Routers, state: &State| model.recovers(state),
            ),
            Property::sometimes("two are Active", |_, state: &State| {
                state.nodes.iter().filter(|node| node.duty.accepts()).count() > 1
            }),
            Property::sometimes("an item is answered by a retired machine", |_, state: &State| {
                let retired = |at: u8| matches!(state.nodes[at as usize].duty, Duty::Retired { .. });
                state.requests.iter().any(|request| matches!(request, Request::InFlight(by) if retired(*by)))
            }),
        ]
    }
}

/// The result of a check.
#[derive(Clone, Debug)]
pub struct Checked {
    /// Number of visited states.
    pub states: usize,
    /// Properties that are violated, or are never reached.
    pub broken: Vec<&'static str>,
}

/// Visits all states and checks all properties.
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

/// Returns the models whose results the docs record; `short` selects the smallest.
pub fn recorded(short: bool) -> Vec<(&'static str, Routers)> {
    let faults = |lost, doubled, crashes, stops| Faults { lost, doubled, crashes, stops };
    let model = |priorities: &[u8], faults, requests| Routers {
        priorities: priorities.to_vec(),
        faults,
        requests,
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

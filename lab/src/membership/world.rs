//! Simulates the members of a fleet in virtual time: the real protocol code of each, a network that loses, delays,
//! duplicates and cuts off datagrams, processes that are stopped, killed and restarted, and clocks that drift. One seed
//! determines everything.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use topazpath::fleet::frame::Frame;
use topazpath::fleet::member::{Action, Event, Member, Parameters, Phase};
use topazpath::fleet::suspicion::timeout_bounds;
use topazpath::fleet::update::Generation;
use topazpath::fleet::view::{View, ViewId};

/// Unix time at which each simulation starts, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Max relative error of the rate of a clock.
const DRIFT: f64 = 0.01;

/// The settings of all members.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub period: Duration,
    pub ack_timeout: Duration,
    pub helpers: usize,
    pub suspicion_periods: f64,
    /// Number of members that are seeds.
    pub seeds: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            period: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(150),
            helpers: 3,
            suspicion_periods: 6.0,
            seeds: 3,
        }
    }
}

/// Properties of the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    /// Shares of datagrams that are lost and duplicated.
    pub loss: f64,
    pub doubled: f64,
    /// Delay of every datagram, and the max additional random delay.
    pub delay: Duration,
    pub jitter: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            loss: 0.0,
            doubled: 0.0,
            delay: Duration::from_micros(200),
            jitter: Duration::from_millis(1),
        }
    }
}

/// A fault, which ends after a while.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Processes are stopped, and continued at the end.
    Pause(Vec<usize>),
    /// Processes are killed, and restarted at the end.
    Kill(Vec<usize>),
    /// Datagrams from the first to the second are lost.
    Cut(usize, usize),
    /// Datagrams between these members and all others are lost.
    Split(Vec<usize>),
    /// Datagrams to a member are lost.
    Deaf(usize),
    /// Datagrams from a member are lost.
    Mute(usize),
    /// A link alternates between up and down every half second.
    Flap(usize, usize),
    /// The network loses, duplicates and delays as stated.
    Bad(Network),
}

/// A fault with its start and duration.
#[derive(Clone, Debug)]
pub struct TimedFault {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    FaultBegins(usize),
    FaultEnds(usize),
    Arrival { to: usize, from: usize, frame: usize },
    Wake { index: usize, number: u64 },
}

struct Process {
    name: String,
    address: SocketAddr,
    member: Option<Member>,
    /// Start of its process, and the rate of its clock.
    origin: Duration,
    drift: f64,
    generations: u64,
    paused: Option<Duration>,
    inbox: Vec<(Frame, SocketAddr)>,
    /// Number of its newest wake-up; older ones are ignored.
    wake_number: u64,
    wake_at: Option<Duration>,
    /// Since when it has run and been connected to most of the members; `Duration::MAX` if it is not now.
    healthy_since: Duration,
}

/// An event noted by a member, with its time.
#[derive(Clone, Debug)]
pub struct Note {
    pub at: Duration,
    pub by: usize,
    pub name: String,
    pub what: &'static str,
    pub evidence: String,
}

/// Number of violations of each rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Breaches {
    /// Different views with the same number.
    pub split_views: usize,
    /// Generations that were removed from a view and are in a later one.
    pub revived: usize,
    /// Members removed although they had been connected to most of the members for longer than a suspicion lasts.
    pub false_gone: usize,
    /// Running members that are not in the common view some time after the last fault.
    pub unsettled: usize,
}

impl Breaches {
    pub fn sum(&self) -> usize {
        self.split_views + self.revived + self.false_gone + self.unsettled
    }

    pub fn add(&mut self, other: Breaches) {
        self.split_views += other.split_views;
        self.revived += other.revived;
        self.false_gone += other.false_gone;
        self.unsettled += other.unsettled;
    }
}

/// The members, the network between them and what was recorded.
pub struct Simulation {
    pub now: Duration,
    settings: Settings,
    queue: BinaryHeap<Reverse<(Duration, u64, Scheduled)>>,
    order: u64,
    processes: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
    frames: HashMap<usize, Frame>,
    last_frame: usize,
    network: Network,
    faults: Vec<TimedFault>,
    active_faults: Vec<usize>,
    random: ChaCha8Rng,
    views: BTreeMap<ViewId, View>,
    pub notes: Vec<Note>,
    pub breaches: Breaches,
    pub datagrams: u64,
    pub bytes: u64,
    /// Whether bytes are counted, which costs processor time.
    pub counts_bytes: bool,
    /// Whether a process that was stopped learns how long, as from its clock. Without it the comparison measures the
    /// effect.
    pub reports_delays: bool,
}

impl Simulation {
    /// Creates a fleet of `size` members, which start at once.
    pub fn new(settings: Settings, size: usize, seed: u64) -> Simulation {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..size).map(|at| {
            let address = SocketAddr::from((Ipv4Addr::from(0x7f01_0000 + at as u32), 7200));
            Process {
                name: format!("n{at:04}"),
                address,
                member: None,
                origin: Duration::ZERO,
                drift: 1.0 + DRIFT * (2.0 * random.random::<f64>() - 1.0),
                generations: 0,
                paused: None,
                inbox: Vec::new(),
                wake_number: 0,
                wake_at: None,
                healthy_since: Duration::ZERO,
            }
        });
        let processes: Vec<Process> = processes.collect();
        let by_address = processes.iter().enumerate().map(|(at, it)| (it.address, at)).collect();
        let mut simulation = Simulation {
            now: Duration::ZERO,
            settings,
            queue: BinaryHeap::new(),
            order: 0,
            processes,
            by_address,
            frames: HashMap::new(),
            last_frame: 0,
            network: Network::default(),
            faults: Vec::new(),
            active_faults: Vec::new(),
            random,
            views: BTreeMap::new(),
            notes: Vec::new(),
            breaches: Breaches::default(),
            datagrams: 0,
            bytes: 0,
            counts_bytes: false,
            reports_delays: true,
        };
        (0..size).for_each(|index| simulation.start(index));
        simulation
    }

    pub fn schedule(&mut self, timed: TimedFault) {
        let (at, number) = (timed.at, self.faults.len());
        self.push(at, Scheduled::FaultBegins(number));
        self.push(at + timed.lasts, Scheduled::FaultEnds(number));
        self.faults.push(timed);
    }

    fn push(&mut self, at: Duration, what: Scheduled) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, what)));
    }

    fn start(&mut self, index: usize) {
        let seeds = self.processes.iter().take(self.settings.seeds);
        let seeds = seeds.map(|it| (it.name.clone(), it.address)).collect();
        let seed = self.random.random();
        let process = &mut self.processes[index];
        // Without this, two starts within a millisecond would have the same generation; a real process takes longer to
        // start.
        process.generations += 1;
        let generation = Generation(EPOCH_MS + self.now.as_millis() as u64 + process.generations);
        let own = Parameters {
            name: process.name.clone(),
            address: process.address,
            generation,
            seeds,
            period: self.settings.period,
            ack_timeout: self.settings.ack_timeout,
            helpers: self.settings.helpers,
            suspicion_periods: self.settings.suspicion_periods,
            seed,
        };
        process.origin = self.now;
        process.member = Some(Member::new(own, Duration::ZERO));
        process.healthy_since = self.now;
        self.handle_events(index, vec![Event::Wake]);
    }

    fn local_time(&self, index: usize) -> Duration {
        let process = &self.processes[index];
        (self.now - process.origin).mul_f64(process.drift)
    }

    /// Hands events to a member and carries out the resulting actions.
    fn handle_events(&mut self, index: usize, events: Vec<Event>) {
        let local_time = self.local_time(index);
        let process = &mut self.processes[index];
        if process.paused.is_some() {
            return;
        }
        let Some(member) = &mut process.member else { return };
        let before = member.view().map(|view| view.id);
        let mut actions = Vec::new();
        events.into_iter().for_each(|event| member.handle(local_time, event, &mut actions));
        let next = member.next_timer();
        let new_view = member.view().filter(|view| Some(view.id) != before).cloned();
        if let Some(view) = new_view {
            self.check_view(view);
        }
        let process = &mut self.processes[index];
        let at = next.map(|at| (process.origin + at.div_f64(process.drift)).max(self.now));
        if at != process.wake_at || at.is_some_and(|at| at <= self.now) {
            process.wake_number += 1;
            process.wake_at = at;
            let number = process.wake_number;
            if let Some(at) = at {
                // Compensates for rounding in the conversion between clocks.
                self.push(at + Duration::from_micros(10), Scheduled::Wake { index, number });
            }
        }
        for action in actions {
            match action {
                Action::Send(to, frame) => self.send(index, to, frame),
                Action::Note { name, what, evidence } => {
                    self.notes.push(Note { at: self.now, by: index, name, what, evidence });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, frame: Frame) {
        self.datagrams += 1;
        if self.counts_bytes {
            self.bytes += frame.write(0).len() as u64;
        }
        let Some(to) = self.by_address.get(&to).copied() else { return };
        if self.is_cut(from, to) || self.random.random::<f64>() < self.network.loss {
            return;
        }
        let copies = 1 + usize::from(self.random.random::<f64>() < self.network.doubled);
        for _ in 0..copies {
            let latency = self.network.delay + self.network.jitter.mul_f64(self.random.random());
            self.last_frame += 1;
            self.frames.insert(self.last_frame, frame.clone());
            self.push(self.now + latency, Scheduled::Arrival { to, from, frame: self.last_frame });
        }
    }

    /// Whether the link is cut in this direction now.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.active_faults.iter().any(|number| match &self.faults[*number].fault {
            Fault::Cut(a, b) => (*a, *b) == (from, to),
            Fault::Split(side) => side.contains(&from) != side.contains(&to),
            Fault::Deaf(index) => *index == to,
            Fault::Mute(index) => *index == from,
            Fault::Flap(a, b) => {
                let on = (self.now.as_millis() / 500).is_multiple_of(2);
                on && [(*a, *b), (*b, *a)].contains(&(from, to))
            }
            _ => false,
        })
    }

    /// Runs the simulation until then.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            match what {
                Scheduled::FaultBegins(number) => self.begin_fault(number),
                Scheduled::FaultEnds(number) => self.end_fault(number),
                Scheduled::Arrival { to, from, frame } => {
                    let Some(frame) = self.frames.remove(&frame) else { continue };
                    let source = self.processes[from].address;
                    if self.processes[to].paused.is_some() {
                        self.processes[to].inbox.push((frame, source));
                    } else {
                        self.handle_events(to, vec![Event::Frame(Box::new(frame), source)]);
                    }
                }
                Scheduled::Wake { index, number } => {
                    if self.processes[index].wake_number == number {
                        self.processes[index].wake_at = None;
                        self.handle_events(index, vec![Event::Wake]);
                    }
                }
            }
        }
        self.now = until;
    }

    fn begin_fault(&mut self, number: usize) {
        self.active_faults.push(number);
        match self.faults[number].fault.clone() {
            Fault::Pause(index) => index.into_iter().for_each(|index| {
                let now = self.now;
                self.processes[index].paused.get_or_insert(now);
            }),
            Fault::Kill(index) => index.into_iter().for_each(|index| {
                let process = &mut self.processes[index];
                (process.member, process.paused, process.wake_at) = (None, None, None);
                process.wake_number += 1;
                process.inbox.clear();
            }),
            Fault::Bad(network) => self.network = network,
            _ => {}
        }
        self.update_health();
    }

    fn end_fault(&mut self, number: usize) {
        self.active_faults.retain(|it| *it != number);
        match self.faults[number].fault.clone() {
            Fault::Pause(index) => index.into_iter().for_each(|index| self.resume(index)),
            Fault::Kill(index) => index.into_iter().for_each(|index| {
                if self.processes[index].member.is_none() {
                    self.start(index);
                }
            }),
            Fault::Bad(_) => self.network = Network::default(),
            _ => {}
        }
        self.update_health();
    }

    /// Continues a stopped process: it learns how long it was stopped, and then receives what arrived meanwhile.
    fn resume(&mut self, index: usize) {
        let Some(since) = self.processes[index].paused.take() else { return };
        let delay = self.reports_delays.then_some(Event::Delayed(self.now - since));
        let mut events: Vec<Event> = delay.into_iter().collect();
        let inbox = std::mem::take(&mut self.processes[index].inbox);
        // A socket's receive buffer holds a limited number of datagrams.
        events.extend(inbox.into_iter().take(256).map(|(frame, from)| Event::Frame(Box::new(frame), from)));
        self.handle_events(index, events);
    }

    /// Whether a process runs and has links both ways to most of the members.
    fn is_healthy(&self, index: usize) -> bool {
        let runs =
            |index: usize| self.processes[index].member.is_some() && self.processes[index].paused.is_none();
        let linked = |other: usize| !self.is_cut(index, other) && !self.is_cut(other, index);
        let flaps = |number: &usize| match self.faults[*number].fault {
            Fault::Flap(a, b) => [a, b].contains(&index),
            _ => false,
        };
        let others = (0..self.processes.len()).filter(|it| *it == index || (runs(*it) && linked(*it)));
        runs(index) && others.count() > self.processes.len() / 2 && !self.active_faults.iter().any(flaps)
    }

    fn update_health(&mut self) {
        for index in 0..self.processes.len() {
            if !self.is_healthy(index) {
                self.processes[index].healthy_since = Duration::MAX;
            } else if self.processes[index].healthy_since == Duration::MAX {
                self.processes[index].healthy_since = self.now;
            }
        }
    }

    /// Checks a view that a member has entered against the earlier ones.
    fn check_view(&mut self, view: View) {
        if let Some(known) = self.views.get(&view.id) {
            self.breaches.split_views += usize::from(*known != view);
            return;
        }
        let generations = |view: &View| -> Vec<(String, Generation)> {
            view.members.values().map(|line| (line.name.clone(), line.generation)).collect()
        };
        let own = self.views.range(..view.id).filter(|(id, _)| id.bootstrap == view.id.bootstrap);
        let own: Vec<&View> = own.map(|(_, view)| view).collect();
        // A generation that was removed must not return.
        let last = own.last().map(|view| generations(view)).unwrap_or_default();
        let was_in =
            |generation: &(String, Generation)| own.iter().any(|view| generations(view).contains(generation));
        self.breaches.revived +=
            generations(&view).iter().filter(|it| !last.contains(it) && was_in(it)).count();
        let (_, longest) =
            timeout_bounds(self.settings.period, self.settings.suspicion_periods, view.members.len() + 1);
        for (name, generation) in last.iter().filter(|it| !generations(&view).contains(it)) {
            let removed = self.processes.iter().find(|process| process.name == *name);
            let still_connected = removed.filter(|process| {
                let same = process.member.as_ref().is_some_and(|member| {
                    member.generation() == *generation
                        && !matches!(member.phase(), Phase::Leaving | Phase::Left)
                });
                let since = process.healthy_since;
                same && since != Duration::MAX && self.now.saturating_sub(since) > longest
            });
            self.breaches.false_gone += usize::from(still_connected.is_some());
        }
        self.views.insert(view.id, view);
    }

    /// Counts the running members that are not in a view of exactly the running members.
    pub fn check_settled(&mut self) {
        let running: Vec<&Process> = self.processes.iter().filter(|it| it.member.is_some()).collect();
        let wanted: Vec<(String, Generation)> = running
            .iter()
            .filter_map(|it| it.member.as_ref().map(|member| (it.name.clone(), member.generation())))
            .collect();
        let settled = |process: &&&Process| {
            let Some(member) = &process.member else { return false };
            let generations = member.view().map(|view| {
                view.members.values().map(|line| (line.name.clone(), line.generation)).collect::<Vec<_>>()
            });
            member.phase() == Phase::Member && generations.as_ref() == Some(&wanted)
        };
        self.breaches.unsettled += running.len() - running.iter().filter(settled).count();
    }

    /// Whether all running members are in one view of exactly these.
    pub fn is_settled(&mut self) -> bool {
        let before = self.breaches;
        self.check_settled();
        let settled = self.breaches == before;
        self.breaches = before;
        settled
    }

    pub fn member(&self, index: usize) -> Option<&Member> {
        self.processes[index].member.as_ref()
    }

    pub fn size(&self) -> usize {
        self.processes.len()
    }
}

#[cfg(test)]
mod tests;

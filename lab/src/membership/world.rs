//! Members of a fleet in virtual time: the real pure code of each, a network between them that loses, delays, doubles
//! and is cut, processes that are stopped, killed and started again, clocks that drift. All of it from one seed.

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

/// Unix time at which each play begins, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Clocks run so much faster or slower at most.
const DRIFT: f64 = 0.01;

/// What each member is set up with.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub period: Duration,
    pub answer: Duration,
    pub helpers: usize,
    pub suspicion_periods: f64,
    /// How many of the members are seeds.
    pub seeds: usize,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            period: Duration::from_millis(500),
            answer: Duration::from_millis(150),
            helpers: 3,
            suspicion_periods: 6.0,
            seeds: 3,
        }
    }
}

/// What happens to what is said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    /// Part that is lost, and part that comes twice.
    pub loss: f64,
    pub doubled: f64,
    /// Every datagram takes as long, and up to as much longer.
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

/// What is done to the fleet, and undone after a while.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Processes are stopped.
    Pause(Vec<usize>),
    /// Processes are killed, and started again.
    Kill(Vec<usize>),
    /// Nothing passes from one to the other.
    Cut(usize, usize),
    /// The members are in two halves that do not hear each other.
    Split(Vec<usize>),
    /// A member can say, and hears nothing.
    Deaf(usize),
    /// A member hears, and what it says is lost.
    Mute(usize),
    /// A link is up and down by half seconds.
    Flap(usize, usize),
    /// All datagrams are lost, doubled and late by so much.
    Bad(Network),
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub struct Timed {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Begins(usize),
    Ends(usize),
    Arrives { to: usize, from: usize, frame: usize },
    Wakes { who: usize, number: u64 },
}

struct Machine {
    name: String,
    address: SocketAddr,
    member: Option<Member>,
    /// When its process began, and how fast its clock runs.
    origin: Duration,
    drift: f64,
    generations: u64,
    paused: Option<Duration>,
    inbox: Vec<(Frame, SocketAddr)>,
    /// Numbers its wake-ups: an older one is void.
    wakes: u64,
    wakes_at: Option<Duration>,
    /// Since when nothing keeps it from most of the others.
    well_since: Duration,
}

/// Something that was seen, with its time.
#[derive(Clone, Debug)]
pub struct Noted {
    pub at: Duration,
    pub by: usize,
    pub name: String,
    pub what: &'static str,
    pub evidence: String,
}

/// What broke.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Breaches {
    /// Two views of one number that differ.
    pub split_views: usize,
    /// A generation that was out of a view and is in a later one.
    pub revived: usize,
    /// A member was taken out though nothing had kept it from most of the view for as long as a suspicion lasts.
    pub false_gone: usize,
    /// Members that are not where they belong once all has been well for a while.
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

/// The world.
pub struct World {
    pub now: Duration,
    terms: Terms,
    queue: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    order: u64,
    machines: Vec<Machine>,
    by_address: HashMap<SocketAddr, usize>,
    frames: HashMap<usize, Frame>,
    last_frame: usize,
    network: Network,
    faults: Vec<Timed>,
    under_way: Vec<usize>,
    random: ChaCha8Rng,
    views: BTreeMap<ViewId, View>,
    pub notes: Vec<Noted>,
    pub breaches: Breaches,
    pub datagrams: u64,
    pub bytes: u64,
    /// Whether bytes are counted, which takes time.
    pub counts_bytes: bool,
    /// Whether a process that was stopped is told by its clock; without it is another way that is weighed.
    pub tells_lateness: bool,
}

impl World {
    /// A fleet of so many, all of which start within a second.
    pub fn new(terms: Terms, size: usize, seed: u64) -> World {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let machines = (0..size).map(|at| {
            let address = SocketAddr::from((Ipv4Addr::from(0x7f01_0000 + at as u32), 7200));
            Machine {
                name: format!("n{at:04}"),
                address,
                member: None,
                origin: Duration::ZERO,
                drift: 1.0 + DRIFT * (2.0 * random.random::<f64>() - 1.0),
                generations: 0,
                paused: None,
                inbox: Vec::new(),
                wakes: 0,
                wakes_at: None,
                well_since: Duration::ZERO,
            }
        });
        let machines: Vec<Machine> = machines.collect();
        let by_address = machines.iter().enumerate().map(|(at, it)| (it.address, at)).collect();
        let mut world = World {
            now: Duration::ZERO,
            terms,
            queue: BinaryHeap::new(),
            order: 0,
            machines,
            by_address,
            frames: HashMap::new(),
            last_frame: 0,
            network: Network::default(),
            faults: Vec::new(),
            under_way: Vec::new(),
            random,
            views: BTreeMap::new(),
            notes: Vec::new(),
            breaches: Breaches::default(),
            datagrams: 0,
            bytes: 0,
            counts_bytes: false,
            tells_lateness: true,
        };
        (0..size).for_each(|who| world.start(who));
        world
    }

    pub fn plan(&mut self, timed: Timed) {
        let (at, number) = (timed.at, self.faults.len());
        self.push(at, Happening::Begins(number));
        self.push(at + timed.lasts, Happening::Ends(number));
        self.faults.push(timed);
    }

    fn push(&mut self, at: Duration, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, what)));
    }

    fn start(&mut self, who: usize) {
        let seeds = self.machines.iter().take(self.terms.seeds);
        let seeds = seeds.map(|it| (it.name.clone(), it.address)).collect();
        let seed = self.random.random();
        let machine = &mut self.machines[who];
        // Two starts within a millisecond would be one generation: a process takes longer to start.
        machine.generations += 1;
        let generation = Generation(EPOCH_MS + self.now.as_millis() as u64 + machine.generations);
        let own = Parameters {
            name: machine.name.clone(),
            address: machine.address,
            generation,
            seeds,
            period: self.terms.period,
            ack_timeout: self.terms.answer,
            helpers: self.terms.helpers,
            suspicion_periods: self.terms.suspicion_periods,
            seed,
        };
        machine.origin = self.now;
        machine.member = Some(Member::new(own, Duration::ZERO));
        machine.well_since = self.now;
        self.act(who, vec![Event::Wake]);
    }

    fn local(&self, who: usize) -> Duration {
        let machine = &self.machines[who];
        (self.now - machine.origin).mul_f64(machine.drift)
    }

    /// Hands events to a member and carries out what comes back.
    fn act(&mut self, who: usize, events: Vec<Event>) {
        let local = self.local(who);
        let machine = &mut self.machines[who];
        if machine.paused.is_some() {
            return;
        }
        let Some(member) = &mut machine.member else { return };
        let before = member.view().map(|view| view.id);
        let mut actions = Vec::new();
        events.into_iter().for_each(|event| member.handle(local, event, &mut actions));
        let next = member.next_timer();
        let entered = member.view().filter(|view| Some(view.id) != before).cloned();
        if let Some(view) = entered {
            self.entered(view);
        }
        let machine = &mut self.machines[who];
        let at = next.map(|at| (machine.origin + at.div_f64(machine.drift)).max(self.now));
        if at != machine.wakes_at || at.is_some_and(|at| at <= self.now) {
            machine.wakes += 1;
            machine.wakes_at = at;
            let number = machine.wakes;
            if let Some(at) = at {
                // A clock that runs fast or slow is not met to the nanosecond.
                self.push(at + Duration::from_micros(10), Happening::Wakes { who, number });
            }
        }
        for action in actions {
            match action {
                Action::Send(to, frame) => self.send(who, to, frame),
                Action::Note { name, what, evidence } => {
                    self.notes.push(Noted { at: self.now, by: who, name, what, evidence });
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
            let takes = self.network.delay + self.network.jitter.mul_f64(self.random.random());
            self.last_frame += 1;
            self.frames.insert(self.last_frame, frame.clone());
            self.push(self.now + takes, Happening::Arrives { to, from, frame: self.last_frame });
        }
    }

    /// Whether nothing passes this way now.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.under_way.iter().any(|number| match &self.faults[*number].fault {
            Fault::Cut(a, b) => (*a, *b) == (from, to),
            Fault::Split(side) => side.contains(&from) != side.contains(&to),
            Fault::Deaf(who) => *who == to,
            Fault::Mute(who) => *who == from,
            Fault::Flap(a, b) => {
                let on = (self.now.as_millis() / 500).is_multiple_of(2);
                on && [(*a, *b), (*b, *a)].contains(&(from, to))
            }
            _ => false,
        })
    }

    /// Plays on until then.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            match what {
                Happening::Begins(number) => self.begins(number),
                Happening::Ends(number) => self.ends(number),
                Happening::Arrives { to, from, frame } => {
                    let Some(frame) = self.frames.remove(&frame) else { continue };
                    let source = self.machines[from].address;
                    if self.machines[to].paused.is_some() {
                        self.machines[to].inbox.push((frame, source));
                    } else {
                        self.act(to, vec![Event::Frame(Box::new(frame), source)]);
                    }
                }
                Happening::Wakes { who, number } => {
                    if self.machines[who].wakes == number {
                        self.machines[who].wakes_at = None;
                        self.act(who, vec![Event::Wake]);
                    }
                }
            }
        }
        self.now = until;
    }

    fn begins(&mut self, number: usize) {
        self.under_way.push(number);
        match self.faults[number].fault.clone() {
            Fault::Pause(who) => who.into_iter().for_each(|who| {
                let now = self.now;
                self.machines[who].paused.get_or_insert(now);
            }),
            Fault::Kill(who) => who.into_iter().for_each(|who| {
                let machine = &mut self.machines[who];
                (machine.member, machine.paused, machine.wakes_at) = (None, None, None);
                machine.wakes += 1;
                machine.inbox.clear();
            }),
            Fault::Bad(network) => self.network = network,
            _ => {}
        }
        self.look_who_is_well();
    }

    fn ends(&mut self, number: usize) {
        self.under_way.retain(|it| *it != number);
        match self.faults[number].fault.clone() {
            Fault::Pause(who) => who.into_iter().for_each(|who| self.go_on(who)),
            Fault::Kill(who) => who.into_iter().for_each(|who| {
                if self.machines[who].member.is_none() {
                    self.start(who);
                }
            }),
            Fault::Bad(_) => self.network = Network::default(),
            _ => {}
        }
        self.look_who_is_well();
    }

    /// A process goes on: it learns how late it is, and then what came meanwhile.
    fn go_on(&mut self, who: usize) {
        let Some(since) = self.machines[who].paused.take() else { return };
        let late = self.tells_lateness.then_some(Event::Delayed(self.now - since));
        let mut events: Vec<Event> = late.into_iter().collect();
        let inbox = std::mem::take(&mut self.machines[who].inbox);
        // The kernel keeps so many datagrams of a socket.
        events.extend(inbox.into_iter().take(256).map(|(frame, from)| Event::Frame(Box::new(frame), from)));
        self.act(who, events);
    }

    /// Whether a machine runs, and hears and is heard by most of all.
    fn is_well(&self, who: usize) -> bool {
        let runs = |who: usize| self.machines[who].member.is_some() && self.machines[who].paused.is_none();
        let both = |other: usize| !self.is_cut(who, other) && !self.is_cut(other, who);
        let flaps = |number: &usize| match self.faults[*number].fault {
            Fault::Flap(a, b) => [a, b].contains(&who),
            _ => false,
        };
        let others = (0..self.machines.len()).filter(|it| *it == who || (runs(*it) && both(*it)));
        runs(who) && others.count() > self.machines.len() / 2 && !self.under_way.iter().any(flaps)
    }

    fn look_who_is_well(&mut self) {
        for who in 0..self.machines.len() {
            if !self.is_well(who) {
                self.machines[who].well_since = Duration::MAX;
            } else if self.machines[who].well_since == Duration::MAX {
                self.machines[who].well_since = self.now;
            }
        }
    }

    /// Somebody goes by a view: is it the one that all others have of this number?
    fn entered(&mut self, view: View) {
        if let Some(known) = self.views.get(&view.id) {
            self.breaches.split_views += usize::from(*known != view);
            return;
        }
        let generations = |view: &View| -> Vec<(String, Generation)> {
            view.members.values().map(|line| (line.name.clone(), line.generation)).collect()
        };
        let own = self.views.range(..view.id).filter(|(id, _)| id.bootstrap == view.id.bootstrap);
        let own: Vec<&View> = own.map(|(_, view)| view).collect();
        // Once out, a generation stays out.
        let last = own.last().map(|view| generations(view)).unwrap_or_default();
        let was_in =
            |generation: &(String, Generation)| own.iter().any(|view| generations(view).contains(generation));
        self.breaches.revived +=
            generations(&view).iter().filter(|it| !last.contains(it) && was_in(it)).count();
        let (_, longest) =
            timeout_bounds(self.terms.period, self.terms.suspicion_periods, view.members.len() + 1);
        for (name, generation) in last.iter().filter(|it| !generations(&view).contains(it)) {
            let gone = self.machines.iter().find(|machine| machine.name == *name);
            let there = gone.filter(|machine| {
                let same = machine.member.as_ref().is_some_and(|member| {
                    member.generation() == *generation
                        && !matches!(member.phase(), Phase::Leaving | Phase::Left)
                });
                let since = machine.well_since;
                same && since != Duration::MAX && self.now.saturating_sub(since) > longest
            });
            self.breaches.false_gone += usize::from(there.is_some());
        }
        self.views.insert(view.id, view);
    }

    /// Once all has been well for a while, everybody that runs is in one view, with everybody else, and nobody else is.
    pub fn settle(&mut self) {
        let running: Vec<&Machine> = self.machines.iter().filter(|it| it.member.is_some()).collect();
        let wanted: Vec<(String, Generation)> = running
            .iter()
            .filter_map(|it| it.member.as_ref().map(|member| (it.name.clone(), member.generation())))
            .collect();
        let settled = |machine: &&&Machine| {
            let Some(member) = &machine.member else { return false };
            let generations = member.view().map(|view| {
                view.members.values().map(|line| (line.name.clone(), line.generation)).collect::<Vec<_>>()
            });
            member.phase() == Phase::Member && generations.as_ref() == Some(&wanted)
        };
        self.breaches.unsettled += running.len() - running.iter().filter(settled).count();
    }

    /// Whether everybody that runs is in the same view with everybody else.
    pub fn is_settled(&mut self) -> bool {
        let before = self.breaches;
        self.settle();
        let settled = self.breaches == before;
        self.breaches = before;
        settled
    }

    pub fn member(&self, who: usize) -> Option<&Member> {
        self.machines[who].member.as_ref()
    }

    pub fn size(&self) -> usize {
        self.machines.len()
    }
}

#[cfg(test)]
mod tests;

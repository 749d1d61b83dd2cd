//! `topazpath-lab fleet`: membership among real processes of the program. Processes are stopped and continued, killed
//! and started again, cut one way and both, their datagrams lost, doubled and late; what each of them says of the fleet
//! is recorded and checked.

use crate::arguments::Parts;
use crate::stand_ins::machines::{FleetSetup, Machine, Setup};
use crate::stand_ins::segment::{Link, Segment};
use crate::stand_ins::service::{node, Attempts, ListedNode, Registry};
use serde::Serialize;
use serde_json::{json, Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use topazpath::resp::{self, Value as Resp};

/// Longer than anything here takes on a loaded machine.
const PATIENCE: Duration = Duration::from_secs(60);
/// What each process is set up with: a suspicion lasts 0.8 to 2.4 s.
const PERIOD: Duration = Duration::from_millis(200);
const ANSWER: Duration = Duration::from_millis(60);
/// How often each is asked what it knows.
const SAMPLED: Duration = Duration::from_millis(50);

/// What one process says of the fleet.
#[derive(Clone, Debug)]
pub struct Said {
    phase: String,
    generation: u64,
    quorate: bool,
    view: Option<(Id, Lives)>,
    states: BTreeMap<String, String>,
}

impl Said {
    /// What a timeline tells of it.
    pub fn summary(&self) -> Value {
        json!({ "phase": self.phase, "life": self.generation, "quorate": self.quorate, "view": self.view, "states": self.states })
    }

    fn read(report: &Value) -> Option<Said> {
        let view = report["view"].as_object().map(|view| {
            let members = view["members"].as_array().into_iter().flatten();
            let members =
                members.filter_map(|it| Some((it["name"].as_str()?.to_string(), it["life"].as_u64()?)));
            let id = (view["founding"].as_u64().unwrap_or(0), view["number"].as_u64().unwrap_or(0));
            (id, members.collect())
        });
        let states = report["peers"].as_array()?.iter().filter_map(|peer| {
            Some((peer["name"].as_str()?.to_string(), peer["state"].as_str()?.to_string()))
        });
        Some(Said {
            phase: report["phase"].as_str()?.to_string(),
            generation: report["life"].as_u64()?,
            quorate: report["quorate"].as_bool()?,
            view,
            states: states.collect(),
        })
    }
}

/// What was broken, over all samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Two views of one number that differ.
    pub split_views: usize,
    /// A generation that was out of a view and is in a later one.
    pub revived: usize,
    /// Members that were taken out though nothing was done to them that allows it.
    pub false_gone: usize,
    /// Members that are dead and still in the view at the end.
    pub missed_gone: usize,
    /// Requests that got no answer from a process that ran.
    pub requests_lost: usize,
}

impl Breaches {
    pub fn none(&self) -> bool {
        *self == Breaches::default()
    }
}

/// Founding and number of a view, and its members with their generations.
type Id = (u64, u64);
type Lives = BTreeMap<String, u64>;

/// Everything that was recorded of one play.
#[derive(Default)]
struct History {
    views: BTreeMap<Id, Lives>,
    /// Ids at which two views differ, counted once each.
    split: BTreeSet<Id>,
}

impl History {
    fn add(&mut self, said: &Said) {
        let Some((id, members)) = &said.view else { return };
        match self.views.get(id) {
            Some(known) if known != members => drop(self.split.insert(*id)),
            Some(_) => {}
            None => drop(self.views.insert(*id, members.clone())),
        }
    }

    /// `allowed`: the members that may be taken out; `running`: those that are to be in the last view.
    fn check(&self, allowed: &[String], running: &[String]) -> Breaches {
        let mut breaches = Breaches { split_views: self.split.len(), ..Breaches::default() };
        let mut out: BTreeSet<(u64, String, u64)> = BTreeSet::new();
        let mut last: Option<(&Id, &Lives)> = None;
        for (id, members) in &self.views {
            if let Some((before, known)) = last.filter(|(before, _)| before.0 == id.0) {
                for (name, generation) in
                    known.iter().filter(|(name, generation)| members.get(*name) != Some(generation))
                {
                    out.insert((before.0, name.clone(), *generation));
                    breaches.false_gone += usize::from(!allowed.contains(name));
                }
            }
            let back = members
                .iter()
                .filter(|(name, generation)| out.contains(&(id.0, name.to_string(), **generation)));
            breaches.revived += back.count();
            last = Some((id, members));
        }
        let left = last.into_iter().flat_map(|(_, members)| members.keys());
        breaches.missed_gone = left.filter(|name| !running.contains(name)).count();
        breaches
    }
}

/// Real processes of the program on a segment.
pub struct Rig {
    pub segment: Segment,
    pub machines: Vec<Machine>,
    listens: Vec<SocketAddr>,
    pub names: Vec<String>,
    history: History,
    /// Who is stopped, and would not answer.
    stopped: BTreeSet<usize>,
    /// Keep discovery and the node there.
    _registry: Registry,
}

impl Rig {
    /// `twin`: one more machine, which is off, with the name of the last. `fleet`: whether it is switched on.
    pub fn start(program: &Path, size: usize, place: u8, seed: u64, fleet: bool) -> std::io::Result<Rig> {
        let twin = size - 1;
        // Addresses of this run's own, so that no other can be given a port on them.
        let ip = |last: u8| Ipv4Addr::new(127, 150 + place, std::process::id() as u8, last);
        let ips: Vec<Ipv4Addr> = (0..=size).map(|at| ip(1 + at as u8)).collect();
        let segment = Segment::start(&ips, ip(250), seed)?;
        let address = node(ip(251), 0, Duration::from_millis(2), Attempts::default())?;
        let listed =
            ListedNode { name: "s-1".into(), address, shard: 0, status: "active", in_slow_start: false };
        let registry = Registry::start(ip(252), vec![listed])?;
        let names: Vec<String> = (0..=size).map(|at| format!("m-{}", at.min(twin))).collect();
        let seeds = names.iter().zip(segment.ports()).take(3);
        let seeds: Vec<(String, SocketAddr)> = seeds.map(|(name, port)| (name.clone(), port.relay)).collect();
        let (mut machines, mut listens) = (Vec::new(), Vec::new());
        for (at, port) in segment.ports().iter().enumerate() {
            let folder =
                std::env::temp_dir().join(format!("topazpath-fleet-{}-{place}-{at}", std::process::id()));
            let part = FleetSetup {
                port: *port,
                name: names[at].clone(),
                seeds: seeds.clone(),
                period: PERIOD,
                answer: ANSWER,
            };
            let setup = Setup {
                name: names[at].clone(),
                listen: port.listen,
                vrrp: None,
                planners: Vec::new(),
                fleet: fleet.then_some(part),
                discovery: registry.address,
                limit: 80.0,
            };
            listens.push(port.listen);
            machines.push(Machine::new(program, folder, setup)?);
        }
        for machine in machines.iter_mut().take(size) {
            machine.start()?;
        }
        Ok(Rig {
            segment,
            machines,
            listens,
            names,
            history: History::default(),
            stopped: BTreeSet::new(),
            _registry: registry,
        })
    }

    /// What a process says now, unless it does not run or is stopped.
    pub fn ask(&mut self, who: usize) -> Option<Said> {
        if self.stopped.contains(&who) {
            return None;
        }
        let report = ask(self.listens[who], &[b"INFO", b"FLEET"])?;
        let said = Said::read(&serde_json::from_slice(&report).ok()?)?;
        self.history.add(&said);
        Some(said)
    }

    /// Until the processes named are all members of one view that has just their names.
    pub fn together(&mut self, who: &[usize]) -> Result<Duration, String> {
        let names: BTreeSet<String> = who.iter().map(|who| self.names[*who].clone()).collect();
        self.until("they are together in one view", |rig| {
            let said: Vec<Said> = who.iter().filter_map(|who| rig.ask(*who)).collect();
            let views: BTreeSet<_> = said.iter().filter_map(|said| said.view.clone()).collect();
            let first = views.iter().next().map(|(_, members)| members.keys().cloned().collect());
            let all =
                said.len() == who.len() && said.iter().all(|said| said.phase == "member" && said.quorate);
            let calm = said.iter().all(|said| said.states.values().all(|state| state == "alive"));
            (all && calm && views.len() == 1 && first == Some(names.clone())).then_some(())
        })
    }

    fn until(
        &mut self,
        what: &str,
        mut check: impl FnMut(&mut Rig) -> Option<()>,
    ) -> Result<Duration, String> {
        let start = Instant::now();
        while check(self).is_none() {
            if start.elapsed() > PATIENCE {
                let logs: Vec<String> = self.machines.iter().map(Machine::log).collect();
                return Err(format!("never came true: {what}\n{}", logs.join("\n---\n")));
            }
            std::thread::sleep(SAMPLED);
        }
        Ok(start.elapsed())
    }

    /// Records what all of them say for a time.
    fn watch(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            (0..SIZE).for_each(|who| drop(self.ask(who)));
            std::thread::sleep(SAMPLED);
        }
    }

    pub fn stop(&mut self, who: &[usize]) {
        self.stopped.extend(who);
        who.iter().for_each(|who| self.machines[*who].signal("STOP"));
    }

    pub fn go_on(&mut self, who: &[usize]) {
        self.stopped.retain(|it| !who.contains(it));
        who.iter().for_each(|who| self.machines[*who].signal("CONT"));
    }

    fn cut(&self, pairs: &[(usize, usize)], cut: bool) {
        pairs.iter().for_each(|(a, b)| self.segment.set_link(*a, *b, Link { cut, ..Link::default() }));
    }

    fn everywhere(&self, link: Link) {
        let size = SIZE;
        let pairs = (0..size).flat_map(|a| (0..size).filter(move |b| a != *b).map(move |b| (a, b)));
        pairs.for_each(|(a, b)| self.segment.set_link(a, b, link));
    }

    /// What was broken, where these may be taken out and those run.
    pub fn check(&self, may_go: &[usize], running: &[usize]) -> Breaches {
        let named = |who: &[usize]| who.iter().map(|who| self.names[*who].clone()).collect::<Vec<_>>();
        self.history.check(&named(may_go), &named(running))
    }

    /// Each process that runs serves a request; how many did not.
    pub fn lost(&self, who: &[usize]) -> usize {
        let served = |who: &&usize| {
            let id = format!("{:016x}", **who + 1);
            let list = b"c=read,t=plus,d=1500,volume=00000000000000a0,units=2,shard=0,hosts=1";
            ask(self.listens[**who], &[b"OBJ.GET", b"00000000000000aa", id.as_bytes(), list]).is_some()
        };
        who.iter().filter(|who| !served(who)).count()
    }
}

/// The bulk string that comes back.
fn ask(address: SocketAddr, words: &[&[u8]]) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(250)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(&resp::command(words)).ok()?;
    let (mut input, mut bytes) = (Vec::new(), [0; 16 * 1024]);
    loop {
        match resp::parse(&input) {
            Ok(Some((Resp::Bulk(value), _))) => return value,
            Ok(None) => {}
            _ => return None,
        }
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => input.extend(&bytes[..count]),
            _ => return None,
        }
    }
}

/// What is done to five processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scene {
    /// Nothing.
    Calm,
    /// One is stopped for less, and for longer, than a suspicion lasts.
    ShortPause,
    LongPause,
    /// All are stopped at once.
    AllPaused,
    /// One is killed, and stays away; or comes back at once.
    Killed,
    KilledAndBack,
    /// One does not hear another, the others hear both.
    OneWay,
    /// Two are cut off from three.
    Split,
    /// One can say and not hear, or hear and not say.
    Deaf,
    Mute,
    /// Three in ten datagrams are lost, some come twice, late and out of order.
    Lossy,
    /// A link is up and down by half seconds.
    Flapping,
    /// Datagrams of others, and what is none.
    Noise,
    /// Three in five are started again one after another.
    Rolling,
    /// One ends in order.
    Leaves,
    /// Four in five are killed at once and come back, so that most of the view is over.
    Wave,
    /// One gets a tenth of its processor time.
    Starved,
    /// Another process takes the name of one that is there.
    TwoNames,
}

pub const SCENES: [Scene; 18] = [
    Scene::Calm,
    Scene::ShortPause,
    Scene::LongPause,
    Scene::AllPaused,
    Scene::Killed,
    Scene::KilledAndBack,
    Scene::OneWay,
    Scene::Split,
    Scene::Deaf,
    Scene::Mute,
    Scene::Lossy,
    Scene::Flapping,
    Scene::Noise,
    Scene::Rolling,
    Scene::Leaves,
    Scene::Wave,
    Scene::Starved,
    Scene::TwoNames,
];

/// What a scene came to.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    pub scene: Scene,
    /// From the first start to one view of all, and from the end of the fault to one view of all that run.
    pub formed_ms: u64,
    pub settled_ms: u64,
    /// From the fault to the first view without its victim, where there is one.
    pub gone_ms: Option<u64>,
    /// Members that knew that they sat in the smaller part.
    pub knew: usize,
    pub views: usize,
    pub breaches: Breaches,
}

const SIZE: usize = 5;

/// Plays a scene.
pub fn play(program: &Path, scene: Scene, place: u8, seed: u64) -> Result<Played, String> {
    let mut rig = Rig::start(program, SIZE, place, seed, true).map_err(|error| error.to_string())?;
    let all: Vec<usize> = (0..SIZE).collect();
    let formed = rig.together(&all)?;
    let (mut allowed, mut running, mut gone, mut knew) = (Vec::new(), all.clone(), None, 0);
    let secs = Duration::from_secs;
    // The one that bootstrapped the fleet, which tries first for other views.
    let victim = 0;
    match scene {
        Scene::Calm => rig.watch(secs(3)),
        Scene::ShortPause => {
            rig.stop(&[victim]);
            rig.watch(Duration::from_millis(300));
            rig.go_on(&[victim]);
            rig.watch(secs(3));
        }
        Scene::LongPause => {
            allowed.push(victim);
            rig.stop(&[victim]);
            gone = Some(until_gone(&mut rig, victim)?);
            rig.go_on(&[victim]);
        }
        Scene::AllPaused => {
            rig.stop(&all);
            std::thread::sleep(secs(5));
            rig.go_on(&all);
            rig.watch(secs(4));
        }
        Scene::Killed => {
            allowed.push(victim);
            rig.machines[victim].kill();
            running.retain(|who| *who != victim);
            gone = Some(until_gone(&mut rig, victim)?);
        }
        Scene::KilledAndBack => {
            allowed.push(victim);
            rig.machines[victim].kill();
            rig.machines[victim].start().map_err(|error| error.to_string())?;
            rig.watch(secs(2));
        }
        Scene::OneWay => {
            rig.cut(&[(1, 2), (3, victim)], true);
            rig.watch(secs(8));
            rig.cut(&[(1, 2), (3, victim)], false);
        }
        Scene::Split => {
            allowed.extend([0, 1]);
            let pairs: Vec<(usize, usize)> =
                [0, 1].iter().flat_map(|a| [2, 3, 4].map(|b| [(*a, b), (b, *a)])).flatten().collect();
            rig.cut(&pairs, true);
            gone = Some(until_gone(&mut rig, victim)?);
            rig.until("the smaller part knows that it is", |rig| {
                let small = [0, 1].map(|who| rig.ask(who).is_some_and(|said| !said.quorate));
                (small == [true; 2]).then_some(())
            })?;
            knew = 2;
            rig.cut(&pairs, false);
        }
        Scene::Deaf | Scene::Mute => {
            allowed.push(victim);
            let pairs =
                (1..SIZE).map(|other| if scene == Scene::Deaf { (other, victim) } else { (victim, other) });
            let pairs: Vec<(usize, usize)> = pairs.collect();
            rig.cut(&pairs, true);
            gone = Some(until_gone(&mut rig, victim)?);
            rig.cut(&pairs, false);
        }
        Scene::Lossy => {
            let (delay, jitter) = (Duration::from_millis(2), Duration::from_millis(30));
            rig.everywhere(Link { cut: false, loss: 0.3, duplicated: 0.2, delay, jitter });
            rig.watch(secs(15));
            rig.everywhere(Link::default());
        }
        Scene::Flapping => {
            for _ in 0..8 {
                rig.cut(&[(1, 2), (2, 1)], true);
                rig.watch(Duration::from_millis(500));
                rig.cut(&[(1, 2), (2, 1)], false);
                rig.watch(Duration::from_millis(500));
            }
        }
        Scene::Noise => make_noise(&mut rig)?,
        Scene::Rolling => {
            for who in [0, 2, 4] {
                allowed.push(who);
                rig.machines[who].signal("TERM");
                if !rig.machines[who].wait(PATIENCE) {
                    return Err("a process did not end in order".into());
                }
                rig.machines[who].start().map_err(|error| error.to_string())?;
                rig.together(&all)?;
            }
        }
        Scene::Wave => {
            allowed.extend(&all);
            for who in 0..SIZE - 1 {
                rig.machines[who].kill();
            }
            for who in 0..SIZE - 1 {
                rig.machines[who].start().map_err(|error| error.to_string())?;
            }
        }
        Scene::Starved => {
            allowed.push(victim);
            let start = Instant::now();
            while start.elapsed() < secs(8) {
                rig.stop(&[victim]);
                std::thread::sleep(Duration::from_millis(90));
                rig.go_on(&[victim]);
                std::thread::sleep(Duration::from_millis(10));
                drop(rig.ask(1));
            }
        }
        Scene::TwoNames => {
            let (older, twin) = (SIZE - 1, SIZE);
            allowed.push(older);
            rig.machines[twin].start().map_err(|error| error.to_string())?;
            rig.until("the older one gives way", |rig| {
                rig.ask(older).filter(|said| said.phase == "aside").map(drop)
            })?;
            running = vec![0, 1, 2, 3, twin];
        }
        Scene::Leaves => {
            allowed.push(victim);
            rig.machines[victim].signal("TERM");
            running.retain(|who| *who != victim);
            gone = Some(until_gone(&mut rig, victim)?);
        }
    }
    let settled = rig.together(&running)?;
    rig.watch(secs(1));
    let mut breaches = rig.check(&allowed, &running);
    breaches.requests_lost = rig.lost(&running);
    Ok(Played {
        scene,
        formed_ms: formed.as_millis() as u64,
        settled_ms: settled.as_millis() as u64,
        gone_ms: gone.map(|gone| gone.as_millis() as u64),
        knew,
        views: rig.history.views.len(),
        breaches,
    })
}

/// Until most of the others have a view without the generation that a member has now.
fn until_gone(rig: &mut Rig, victim: usize) -> Result<Duration, String> {
    let name = rig.names[victim].clone();
    let last = rig.history.views.values().next_back().and_then(|members| members.get(&name).copied());
    rig.until("a view without it", |rig| {
        let without = |rig: &mut Rig, who: usize| {
            let view = rig.ask(who).and_then(|said| said.view);
            view.is_some_and(|(_, members)| members.get(&name).copied() != last)
        };
        let others = (0..SIZE).filter(|who| *who != victim);
        (others.filter(|who| without(rig, *who)).count() > SIZE / 2).then_some(())
    })
}

/// Datagrams that are none, of another version, of another fleet, too long, and in a member's name from elsewhere.
fn make_noise(rig: &mut Rig) -> Result<(), String> {
    use topazpath::fleet::frame::{tag, Frame, Message};
    use topazpath::fleet::update::Generation;
    use topazpath::fleet::view::ViewId;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|error| error.to_string())?;
    let forged = |name: &str, generation: u64, message: Message| Frame {
        from: name.into(),
        generation: Generation(generation),
        view: ViewId { bootstrap: u64::MAX, number: 9 },
        message,
        updates: vec![],
    };
    let generation = rig.ask(1).map_or(0, |said| said.generation);
    let sound = forged("m-1", generation, Message::Ping(1)).write(tag("lab"));
    for _ in 0..200 {
        for port in rig.segment.ports() {
            let datagrams = [
                sound.clone(),
                forged("m-1", generation, Message::NameTaken(Generation(u64::MAX - 1))).write(tag("lab")),
                forged("m-2", generation, Message::Ping(1)).write(tag("another")),
                sound[..sound.len() / 2].to_vec(),
                [&[7], &sound[1..]].concat(),
                vec![0xff; 9000],
                Vec::new(),
            ];
            for datagram in datagrams {
                socket.send_to(&datagram, port.own).map_err(|error| error.to_string())?;
            }
        }
        rig.watch(Duration::from_millis(10));
    }
    Ok(())
}

/// Requests a second of each process while membership's cost beside them is measured.
const RATE: u32 = 400;

/// What requests cost and how long they take at five processes, with the fleet or without: processor time of a process
/// and second, in milliseconds; latency at the median and the 99th percentile, in microseconds; requests not served.
fn service(program: &Path, place: u8, fleet: bool, time: Duration) -> Result<(f64, f64, f64, usize), String> {
    let mut rig = Rig::start(program, SIZE, place, 1, fleet).map_err(|error| error.to_string())?;
    if fleet {
        rig.together(&(0..SIZE).collect::<Vec<_>>())?;
    }
    std::thread::sleep(Duration::from_secs(1));
    let processes: Vec<u32> = rig.machines.iter().filter_map(Machine::process).collect();
    let used = || processes.iter().map(|process| crate::load::processor(*process)).sum::<Duration>();
    let (before, start) = (used(), Instant::now());
    let clients: Vec<_> = rig.listens[..SIZE].iter().map(|listen| (*listen, time)).collect();
    let taken = std::thread::scope(|scope| {
        let running: Vec<_> =
            clients.iter().map(|(listen, time)| scope.spawn(move || client(*listen, *time))).collect();
        running.into_iter().map(|it| it.join().unwrap_or_default()).collect::<Vec<_>>()
    });
    let cpu = (used() - before).as_secs_f64() * 1000.0 / start.elapsed().as_secs_f64() / SIZE as f64;
    let lost = taken.iter().map(|(_, lost)| lost).sum();
    let all: Vec<Duration> = taken.into_iter().flat_map(|(latencies, _)| latencies).collect();
    let [p50, p99, _] = crate::vrrp::experiments::spread(&all).map(|millis| millis * 1000.0);
    Ok((cpu, p50, p99, lost))
}

/// One connection, on which requests have intended times; latencies count from those.
fn client(listen: SocketAddr, time: Duration) -> (Vec<Duration>, usize) {
    let (mut latencies, mut lost) = (Vec::new(), 0);
    let Ok(mut stream) = TcpStream::connect(listen) else { return (latencies, 1) };
    // Without these a late answer shows as what it is, only later.
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(Duration::from_secs(2))));
    let (start, mut number) = (Instant::now(), 0_u32);
    while start.elapsed() < time {
        number += 1;
        let due = start + Duration::from_secs(1) * number / RATE;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let id = format!("{number:016x}");
        let list = b"c=read,t=plus,d=1500,volume=00000000000000a0,units=2,shard=0,hosts=1";
        let command = resp::command(&[b"OBJ.GET", b"00000000000000aa", id.as_bytes(), list]);
        let mut bytes = [0; 4096];
        match stream.write_all(&command).and_then(|()| stream.read(&mut bytes)) {
            Ok(count) if count > 0 && bytes[0] == b'$' => latencies.push(due.elapsed()),
            _ => lost += 1,
        }
    }
    (latencies, lost)
}

fn services(program: &Path, repeats: u64, time: Duration) -> Result<Value, String> {
    println!(
        "service at {RATE} requests a second of each of five processes, without and with the fleet, in turn"
    );
    let mut rows = Vec::new();
    for repeat in 0..repeats {
        let [without, with] = [false, true].map(|fleet| service(program, 60 + repeat as u8, fleet, time));
        let (without, with) = (without?, with?);
        println!(
            "  processor {:.2} {:.2} ms a second  p50 {:.0} {:.0} us  p99 {:.0} {:.0} us  not served {} {}",
            without.0, with.0, without.1, with.1, without.2, with.2, without.3, with.3
        );
        rows.push(json!({ "without": without, "with": with }));
    }
    Ok(json!(rows))
}

/// True if no rule broke.
pub fn run(parts: &Parts) -> Result<bool, String> {
    let names: Vec<String> = SCENES.iter().map(|scene| format!("{scene:?}").to_lowercase()).collect();
    let known: Vec<&str> = names.iter().map(String::as_str).chain(["service"]).collect();
    parts.check(&known)?;
    let program = crate::vrrp::experiments::program()?;
    let repeats = if parts.common.short { 1 } else { 5 };
    let (mut report, mut sound) = (Map::new(), true);
    let wanted = SCENES.iter().zip(&names).filter(|(_, name)| parts.want(name));
    for (place, (scene, name)) in wanted.enumerate() {
        let mut plays = Vec::new();
        for repeat in 0..repeats {
            let played = play(&program, *scene, place as u8, parts.common.seed + repeat)?;
            println!(
                "  {name:<14} formed {:>5} ms  gone {:>6}  settled {:>5} ms  views {:>2}  {:?}",
                played.formed_ms,
                played.gone_ms.map_or("-".into(), |gone| format!("{gone} ms")),
                played.settled_ms,
                played.views,
                played.breaches
            );
            sound &= played.breaches.none();
            plays.push(played);
        }
        report.insert(name.clone(), json!(plays));
    }
    if parts.want("service") {
        let (repeats, time) = if parts.common.short { (2, 4) } else { (5, 8) };
        report.insert("service".into(), services(&program, repeats, Duration::from_secs(time))?);
    }
    parts.common.finish(report);
    Ok(sound)
}

#[cfg(test)]
mod tests;

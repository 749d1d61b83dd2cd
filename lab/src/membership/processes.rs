//! `topazpath-lab fleet`: membership among real processes of the program. Processes are stopped and continued, killed
//! and restarted, cut off one way and both ways, and their datagrams lost, duplicated and delayed. What each of them
//! reports about the fleet is recorded and checked.

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

/// Time limit of every wait; longer than any takes on a loaded machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Probe interval and time limit of answers of each process; with them a suspicion lasts 0.8 to 2.4 s.
const PERIOD: Duration = Duration::from_millis(200);
const ACK_TIMEOUT: Duration = Duration::from_millis(60);
/// How often each process is queried.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What one process reports about the fleet.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    phase: String,
    generation: u64,
    quorate: bool,
    view: Option<(Id, Generations)>,
    states: BTreeMap<String, String>,
}

impl MemberStatus {
    /// Returns its entry for a timeline.
    pub fn summary(&self) -> Value {
        json!({ "phase": self.phase, "life": self.generation, "quorate": self.quorate, "view": self.view, "states": self.states })
    }

    fn read(report: &Value) -> Option<MemberStatus> {
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
        Some(MemberStatus {
            phase: report["phase"].as_str()?.to_string(),
            generation: report["life"].as_u64()?,
            quorate: report["quorate"].as_bool()?,
            view,
            states: states.collect(),
        })
    }
}

/// Number of violations of each rule, over all samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Breaches {
    /// Pairs of different views with the same number.
    pub split_views: usize,
    /// Generations that were removed from a view and are in a later one.
    pub revived: usize,
    /// Members that were removed without a fault that allows it.
    pub false_gone: usize,
    /// Members that do not run and are still in the view at the end.
    pub missed_gone: usize,
    /// Requests that a running process did not answer.
    pub requests_lost: usize,
}

impl Breaches {
    pub fn none(&self) -> bool {
        *self == Breaches::default()
    }
}

/// Id of a view: bootstrap and number.
type Id = (u64, u64);
/// The members of a view with their generations.
type Generations = BTreeMap<String, u64>;

/// All views recorded in one run.
#[derive(Default)]
struct History {
    views: BTreeMap<Id, Generations>,
    /// Ids with different views.
    split: BTreeSet<Id>,
}

impl History {
    fn add(&mut self, status: &MemberStatus) {
        let Some((id, members)) = &status.view else { return };
        match self.views.get(id) {
            Some(known) if known != members => drop(self.split.insert(*id)),
            Some(_) => {}
            None => drop(self.views.insert(*id, members.clone())),
        }
    }

    /// Checks the recorded views. Members in `allowed` may be removed; only those in `running` may be in the last view.
    fn check(&self, allowed: &[String], running: &[String]) -> Breaches {
        let mut breaches = Breaches { split_views: self.split.len(), ..Breaches::default() };
        let mut out: BTreeSet<(u64, String, u64)> = BTreeSet::new();
        let mut last: Option<(&Id, &Generations)> = None;
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
        let remaining = last.into_iter().flat_map(|(_, members)| members.keys());
        breaches.missed_gone = remaining.filter(|name| !running.contains(name)).count();
        breaches
    }
}

/// Real processes of the program on one segment.
pub struct Rig {
    pub segment: Segment,
    pub machines: Vec<Machine>,
    listens: Vec<SocketAddr>,
    pub names: Vec<String>,
    history: History,
    /// Processes that are stopped and therefore not queried.
    stopped: BTreeSet<usize>,
    /// Keeps the stand-in for discovery alive.
    _registry: Registry,
}

impl Rig {
    /// Starts `size` processes, with membership enabled if `fleet`. One more machine, the twin, has the name of the
    /// last and is not started.
    pub fn start(program: &Path, size: usize, place: u8, seed: u64, fleet: bool) -> std::io::Result<Rig> {
        let twin = size - 1;
        // IP addresses that no other run uses, so that none of the ports chosen on them is taken.
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
                answer: ACK_TIMEOUT,
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

    /// Queries and records the status of a process; none if it does not run or is stopped.
    pub fn ask(&mut self, index: usize) -> Option<MemberStatus> {
        if self.stopped.contains(&index) {
            return None;
        }
        let report = ask(self.listens[index], &[b"INFO", b"FLEET"])?;
        let status = MemberStatus::read(&serde_json::from_slice(&report).ok()?)?;
        self.history.add(&status);
        Some(status)
    }

    /// Waits until the given processes are the members of one view, and no others are; returns the time that took.
    pub fn wait_for_common_view(&mut self, indices: &[usize]) -> Result<Duration, String> {
        let names: BTreeSet<String> = indices.iter().map(|index| self.names[*index].clone()).collect();
        self.wait_until("they are together in one view", |rig| {
            let status: Vec<MemberStatus> = indices.iter().filter_map(|index| rig.ask(*index)).collect();
            let views: BTreeSet<_> = status.iter().filter_map(|status| status.view.clone()).collect();
            let first = views.iter().next().map(|(_, members)| members.keys().cloned().collect());
            let all = status.len() == indices.len()
                && status.iter().all(|status| status.phase == "member" && status.quorate);
            let all_alive = status.iter().all(|status| status.states.values().all(|state| state == "alive"));
            (all && all_alive && views.len() == 1 && first == Some(names.clone())).then_some(())
        })
    }

    fn wait_until(
        &mut self,
        what: &str,
        mut check: impl FnMut(&mut Rig) -> Option<()>,
    ) -> Result<Duration, String> {
        let start = Instant::now();
        while check(self).is_none() {
            if start.elapsed() > WAIT_TIMEOUT {
                let logs: Vec<String> = self.machines.iter().map(Machine::log).collect();
                return Err(format!("timed out waiting until {what}\n{}", logs.join("\n---\n")));
            }
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        Ok(start.elapsed())
    }

    /// Queries and records the status of all processes for a time.
    fn sample_for(&mut self, time: Duration) {
        let start = Instant::now();
        while start.elapsed() < time {
            (0..SIZE).for_each(|index| drop(self.ask(index)));
            std::thread::sleep(SAMPLE_INTERVAL);
        }
    }

    pub fn stop(&mut self, indices: &[usize]) {
        self.stopped.extend(indices);
        indices.iter().for_each(|index| self.machines[*index].signal("STOP"));
    }

    pub fn resume(&mut self, indices: &[usize]) {
        self.stopped.retain(|it| !indices.contains(it));
        indices.iter().for_each(|index| self.machines[*index].signal("CONT"));
    }

    fn cut(&self, pairs: &[(usize, usize)], cut: bool) {
        pairs.iter().for_each(|(a, b)| self.segment.set_link(*a, *b, Link { cut, ..Link::default() }));
    }

    fn set_all_links(&self, link: Link) {
        let size = SIZE;
        let pairs = (0..size).flat_map(|a| (0..size).filter(move |b| a != *b).map(move |b| (a, b)));
        pairs.for_each(|(a, b)| self.segment.set_link(a, b, link));
    }

    /// Checks the recorded views: `may_go` may be removed, and `running` run at the end.
    pub fn check(&self, may_go: &[usize], running: &[usize]) -> Breaches {
        let named =
            |indices: &[usize]| indices.iter().map(|index| self.names[*index].clone()).collect::<Vec<_>>();
        self.history.check(&named(may_go), &named(running))
    }

    /// Sends a request to each of the processes, and returns how many did not answer it.
    pub fn count_unserved(&self, indices: &[usize]) -> usize {
        let served = |index: &&usize| {
            let id = format!("{:016x}", **index + 1);
            let list = b"c=read,t=plus,d=1500,volume=00000000000000a0,units=2,shard=0,hosts=1";
            ask(self.listens[**index], &[b"OBJ.GET", b"00000000000000aa", id.as_bytes(), list]).is_some()
        };
        indices.iter().filter(|index| !served(index)).count()
    }
}

/// Sends a command and returns the bulk string of the answer, if any.
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

/// A fault injected into a fleet of five processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scene {
    /// No fault.
    Calm,
    /// One is stopped for less, or for longer, than a suspicion lasts.
    ShortPause,
    LongPause,
    /// All are stopped at once.
    AllPaused,
    /// One is killed, and stays away or comes back at once.
    Killed,
    KilledAndBack,
    /// Two links are cut one way.
    OneWay,
    /// Two are cut off from the other three.
    Split,
    /// One does not receive, or its datagrams are lost.
    Deaf,
    Mute,
    /// 30 % of the datagrams are lost, some are duplicated, delayed and reordered.
    Lossy,
    /// A link alternates between up and down every half second.
    Flapping,
    /// Invalid and forged datagrams arrive.
    Noise,
    /// Three of five are restarted one after another.
    Rolling,
    /// One shuts down gracefully.
    Leaves,
    /// Four of five are killed at once and come back, so that the view loses its quorum.
    Wave,
    /// One is stopped for 90 % of the time.
    Starved,
    /// Another process starts with the name of a running one.
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

/// The result of a scene.
#[derive(Clone, Debug, Serialize)]
pub struct SceneResult {
    pub scene: Scene,
    /// Time from the start until all are in one view, and from the end of the fault until all that run are.
    pub formed_ms: u64,
    pub settled_ms: u64,
    /// Time from the fault until most of the others have a view without its victim, if it has one.
    pub gone_ms: Option<u64>,
    /// Members of the minority that reported that they have no quorum.
    pub knew: usize,
    pub views: usize,
    pub breaches: Breaches,
}

const SIZE: usize = 5;

/// Runs a scene.
pub fn run_scene(program: &Path, scene: Scene, place: u8, seed: u64) -> Result<SceneResult, String> {
    let mut rig = Rig::start(program, SIZE, place, seed, true).map_err(|error| error.to_string())?;
    let all: Vec<usize> = (0..SIZE).collect();
    let formed = rig.wait_for_common_view(&all)?;
    let (mut allowed, mut running, mut gone, mut knew) = (Vec::new(), all.clone(), None, 0);
    let secs = Duration::from_secs;
    // The member that bootstrapped the fleet, which proposes new views first.
    let victim = 0;
    match scene {
        Scene::Calm => rig.sample_for(secs(3)),
        Scene::ShortPause => {
            rig.stop(&[victim]);
            rig.sample_for(Duration::from_millis(300));
            rig.resume(&[victim]);
            rig.sample_for(secs(3));
        }
        Scene::LongPause => {
            allowed.push(victim);
            rig.stop(&[victim]);
            gone = Some(wait_until_gone(&mut rig, victim)?);
            rig.resume(&[victim]);
        }
        Scene::AllPaused => {
            rig.stop(&all);
            std::thread::sleep(secs(5));
            rig.resume(&all);
            rig.sample_for(secs(4));
        }
        Scene::Killed => {
            allowed.push(victim);
            rig.machines[victim].kill();
            running.retain(|index| *index != victim);
            gone = Some(wait_until_gone(&mut rig, victim)?);
        }
        Scene::KilledAndBack => {
            allowed.push(victim);
            rig.machines[victim].kill();
            rig.machines[victim].start().map_err(|error| error.to_string())?;
            rig.sample_for(secs(2));
        }
        Scene::OneWay => {
            rig.cut(&[(1, 2), (3, victim)], true);
            rig.sample_for(secs(8));
            rig.cut(&[(1, 2), (3, victim)], false);
        }
        Scene::Split => {
            allowed.extend([0, 1]);
            let pairs: Vec<(usize, usize)> =
                [0, 1].iter().flat_map(|a| [2, 3, 4].map(|b| [(*a, b), (b, *a)])).flatten().collect();
            rig.cut(&pairs, true);
            gone = Some(wait_until_gone(&mut rig, victim)?);
            rig.wait_until("the minority reports that it has no quorum", |rig| {
                let small = [0, 1].map(|index| rig.ask(index).is_some_and(|status| !status.quorate));
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
            gone = Some(wait_until_gone(&mut rig, victim)?);
            rig.cut(&pairs, false);
        }
        Scene::Lossy => {
            let (delay, jitter) = (Duration::from_millis(2), Duration::from_millis(30));
            rig.set_all_links(Link { cut: false, loss: 0.3, duplicated: 0.2, delay, jitter });
            rig.sample_for(secs(15));
            rig.set_all_links(Link::default());
        }
        Scene::Flapping => {
            for _ in 0..8 {
                rig.cut(&[(1, 2), (2, 1)], true);
                rig.sample_for(Duration::from_millis(500));
                rig.cut(&[(1, 2), (2, 1)], false);
                rig.sample_for(Duration::from_millis(500));
            }
        }
        Scene::Noise => make_noise(&mut rig)?,
        Scene::Rolling => {
            for index in [0, 2, 4] {
                allowed.push(index);
                rig.machines[index].signal("TERM");
                if !rig.machines[index].wait(WAIT_TIMEOUT) {
                    return Err("a process did not shut down gracefully".into());
                }
                rig.machines[index].start().map_err(|error| error.to_string())?;
                rig.wait_for_common_view(&all)?;
            }
        }
        Scene::Wave => {
            allowed.extend(&all);
            for index in 0..SIZE - 1 {
                rig.machines[index].kill();
            }
            for index in 0..SIZE - 1 {
                rig.machines[index].start().map_err(|error| error.to_string())?;
            }
        }
        Scene::Starved => {
            allowed.push(victim);
            let start = Instant::now();
            while start.elapsed() < secs(8) {
                rig.stop(&[victim]);
                std::thread::sleep(Duration::from_millis(90));
                rig.resume(&[victim]);
                std::thread::sleep(Duration::from_millis(10));
                drop(rig.ask(1));
            }
        }
        Scene::TwoNames => {
            let (older, twin) = (SIZE - 1, SIZE);
            allowed.push(older);
            rig.machines[twin].start().map_err(|error| error.to_string())?;
            rig.wait_until("the older one has given up its name", |rig| {
                rig.ask(older).filter(|status| status.phase == "aside").map(drop)
            })?;
            running = vec![0, 1, 2, 3, twin];
        }
        Scene::Leaves => {
            allowed.push(victim);
            rig.machines[victim].signal("TERM");
            running.retain(|index| *index != victim);
            gone = Some(wait_until_gone(&mut rig, victim)?);
        }
    }
    let settled = rig.wait_for_common_view(&running)?;
    rig.sample_for(secs(1));
    let mut breaches = rig.check(&allowed, &running);
    breaches.requests_lost = rig.count_unserved(&running);
    Ok(SceneResult {
        scene,
        formed_ms: formed.as_millis() as u64,
        settled_ms: settled.as_millis() as u64,
        gone_ms: gone.map(|gone| gone.as_millis() as u64),
        knew,
        views: rig.history.views.len(),
        breaches,
    })
}

/// Waits until most of the others have a view without the member's present generation; returns the time that took.
fn wait_until_gone(rig: &mut Rig, victim: usize) -> Result<Duration, String> {
    let name = rig.names[victim].clone();
    let last = rig.history.views.values().next_back().and_then(|members| members.get(&name).copied());
    rig.wait_until("there is a view without it", |rig| {
        let without = |rig: &mut Rig, index: usize| {
            let view = rig.ask(index).and_then(|status| status.view);
            view.is_some_and(|(_, members)| members.get(&name).copied() != last)
        };
        let others = (0..SIZE).filter(|index| *index != victim);
        (others.filter(|index| without(rig, *index)).count() > SIZE / 2).then_some(())
    })
}

/// Sends datagrams that are truncated, empty, too long, random, of another version or fleet, or forged in a member's
/// name.
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
    let generation = rig.ask(1).map_or(0, |status| status.generation);
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
        rig.sample_for(Duration::from_millis(10));
    }
    Ok(())
}

/// Rate of requests at each process while the cost of membership is measured, in requests a second.
const RATE: u32 = 400;

/// Measures requests at five processes, with or without membership. Returns the processor time of a process in
/// milliseconds a second, the median and 99th percentile of latency in microseconds, and the requests not served.
fn measure_service(
    program: &Path,
    place: u8,
    fleet: bool,
    time: Duration,
) -> Result<(f64, f64, f64, usize), String> {
    let mut rig = Rig::start(program, SIZE, place, 1, fleet).map_err(|error| error.to_string())?;
    if fleet {
        rig.wait_for_common_view(&(0..SIZE).collect::<Vec<_>>())?;
    }
    std::thread::sleep(Duration::from_secs(1));
    let processes: Vec<u32> = rig.machines.iter().filter_map(Machine::process).collect();
    let used = || processes.iter().map(|process| crate::load::processor_time(*process)).sum::<Duration>();
    let (before, start) = (used(), Instant::now());
    let clients: Vec<_> = rig.listens[..SIZE].iter().map(|listen| (*listen, time)).collect();
    let outcomes = std::thread::scope(|scope| {
        let running: Vec<_> =
            clients.iter().map(|(listen, time)| scope.spawn(move || run_client(*listen, *time))).collect();
        running.into_iter().map(|it| it.join().unwrap_or_default()).collect::<Vec<_>>()
    });
    let cpu = (used() - before).as_secs_f64() * 1000.0 / start.elapsed().as_secs_f64() / SIZE as f64;
    let unserved = outcomes.iter().map(|(_, unserved)| unserved).sum();
    let all: Vec<Duration> = outcomes.into_iter().flat_map(|(latencies, _)| latencies).collect();
    let [p50, p99, _] = crate::vrrp::experiments::percentiles_ms(&all).map(|millis| millis * 1000.0);
    Ok((cpu, p50, p99, unserved))
}

/// Sends requests at fixed times on one connection, and returns the latencies counted from these times, and the
/// requests not served.
fn run_client(listen: SocketAddr, time: Duration) -> (Vec<Duration>, usize) {
    let (mut latencies, mut unserved) = (Vec::new(), 0);
    let Ok(mut stream) = TcpStream::connect(listen) else { return (latencies, 1) };
    // Without these options late answers only take longer to show.
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
            _ => unserved += 1,
        }
    }
    (latencies, unserved)
}

fn compare_service(program: &Path, repeats: u64, time: Duration) -> Result<Value, String> {
    println!(
        "service at {RATE} requests a second of each of five processes, without and with the fleet, in turn"
    );
    let mut rows = Vec::new();
    for repeat in 0..repeats {
        let [without, with] =
            [false, true].map(|fleet| measure_service(program, 60 + repeat as u8, fleet, time));
        let (without, with) = (without?, with?);
        println!(
            "  processor {:.2} {:.2} ms a second  p50 {:.0} {:.0} us  p99 {:.0} {:.0} us  not served {} {}",
            without.0, with.0, without.1, with.1, without.2, with.2, without.3, with.3
        );
        rows.push(json!({ "without": without, "with": with }));
    }
    Ok(json!(rows))
}

/// Runs the selected scenes; true if no rule was violated.
pub fn run(parts: &Parts) -> Result<bool, String> {
    let names: Vec<String> = SCENES.iter().map(|scene| format!("{scene:?}").to_lowercase()).collect();
    let known: Vec<&str> = names.iter().map(String::as_str).chain(["service"]).collect();
    parts.check(&known)?;
    let program = crate::vrrp::experiments::program()?;
    let repeats = if parts.common.short { 1 } else { 5 };
    let (mut report, mut sound) = (Map::new(), true);
    let wanted = SCENES.iter().zip(&names).filter(|(_, name)| parts.want(name));
    for (place, (scene, name)) in wanted.enumerate() {
        let mut runs = Vec::new();
        for repeat in 0..repeats {
            let result = run_scene(&program, *scene, place as u8, parts.common.seed + repeat)?;
            println!(
                "  {name:<14} formed {:>5} ms  gone {:>6}  settled {:>5} ms  views {:>2}  {:?}",
                result.formed_ms,
                result.gone_ms.map_or("-".into(), |gone| format!("{gone} ms")),
                result.settled_ms,
                result.views,
                result.breaches
            );
            sound &= result.breaches.none();
            runs.push(result);
        }
        report.insert(name.clone(), json!(runs));
    }
    if parts.want("service") {
        let (repeats, time) = if parts.common.short { (2, 4) } else { (5, 8) };
        report.insert("service".into(), compare_service(&program, repeats, Duration::from_secs(time))?);
    }
    parts.common.finish(report);
    Ok(sound)
}

#[cfg(test)]
mod tests;

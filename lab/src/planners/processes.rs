//! `topazpath-lab planners`: four forwarders and three planners as real processes under skewed load. The planners are
//! killed in the middle of a surge, a node drains while none is there, and they come back in one wave.

use crate::arguments::Common;
use crate::check::{check, Breaches, Conditions, Drain};
use crate::stand_ins::clients::{Clients, Destination, Load, LoadShare, RequestEnd, SentRequest};
use crate::stand_ins::machines::{Machine, Setup, BURST, OVERDRAFT};
use crate::stand_ins::service::{node, Attempt, Attempts, ListedNode, Registry};
use crate::worth::Entitlement;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

const FORWARDERS: usize = 4;
const PLANNERS: usize = 3;
/// Limit of a volume of plan `base` in units a second, and the prices of its units; they match the machines' settings.
const LIMIT: f64 = 80.0;
const ENTITLEMENT: Entitlement = Entitlement { reserve: 20.0, share: 40.0 };
/// Requests a second of the forwarder with most of the load, which wants three times its even share. The others send an
/// eighth of it, so that all together want about the limit.
const LEADER_RATE: f64 = 24.0;
/// How long one forwarder has most of the load before another takes over.
const LEAD_DURATION: Duration = Duration::from_secs(6);
/// Time after the start that is not measured: a new forwarder does not use its whole share for five seconds.
const START_UP: Duration = Duration::from_secs(7);
/// Measured time with planners, before the outage and after it.
const PLANNED_TIME: Duration = Duration::from_secs(18);

/// The result of one run.
struct Outcome {
    breaches: Breaches,
    /// Requests that failed or lost their connection within half a second after the planners were killed.
    ended: usize,
    /// Worth a second of the limited volumes before, during and after the outage.
    worth: [f64; 3],
    sent: usize,
    served: usize,
}

/// Runs with planners and with an even split at the same time; true if no rule was violated and the loss of the
/// planners ended no request.
pub fn run(arguments: &Common) -> Result<bool, String> {
    let program = crate::vrrp::experiments::program()?;
    let outage = Duration::from_secs(if arguments.short { 12 } else { 60 });
    let both = [(true, 60), (false, 61)].map(|(planned, place)| (planned, place, &program));
    let [planned, even] = std::thread::scope(|scope| {
        both.map(|(planned, place, program)| {
            scope.spawn(move || {
                run_once(program, planned, place, outage, arguments.seed).map_err(|error| error.to_string())
            })
        })
        .map(|it| it.join().unwrap_or_else(|_| Err("a run panicked".into())))
    });
    let (planned, even) = (planned?, even?);
    let over_with = planned.worth[1] / ((planned.worth[0] + planned.worth[2]) / 2.0);
    let over_even = planned.worth[1] / even.worth[1];
    let sound = planned.breaches.none() && even.breaches.none() && planned.ended == 0;
    println!(
        "planners killed for {} s: {:?}, ended by it {}; served {} of {}",
        outage.as_secs(),
        planned.breaches,
        planned.ended,
        planned.served,
        planned.sent
    );
    println!("worth a second: planned {:.2} {:.2} {:.2}, even split {:.2} {:.2} {:.2}; in the outage {over_with:.3} of that with planners, {over_even:.3} of the even split", planned.worth[0], planned.worth[1], planned.worth[2], even.worth[0], even.worth[1], even.worth[2]);
    let mut report = Map::new();
    let mut insert = |name: &str, value: Value| report.insert(name.into(), value);
    insert("outage_s", json!(outage.as_secs()));
    insert("breaches", json!(planned.breaches));
    insert("lost", json!(planned.breaches.orphans));
    insert("ended_by_planner_loss", json!(planned.ended));
    insert("sent", json!(planned.sent));
    insert("served", json!(planned.served));
    insert("worth", json!({ "planned": planned.worth, "even": even.worth }));
    insert("outage_over_with_planners", json!(over_with));
    insert("outage_over_even", json!(over_even));
    arguments.finish(report);
    Ok(sound)
}

fn run_once(
    program: &Path,
    planned: bool,
    place: u8,
    outage: Duration,
    seed: u64,
) -> std::io::Result<Outcome> {
    // IP addresses that no other run uses, so that none of the ports chosen on them is taken.
    let ip = |last| Ipv4Addr::new(127, place, std::process::id() as u8, last);
    let attempts = Attempts::default();
    let nodes: Vec<SocketAddr> = (0..3)
        .map(|it| node(ip(20), it, Duration::from_millis(5), attempts.clone()))
        .collect::<Result<_, _>>()?;
    let registry = Registry::start(ip(21), list(&nodes, "active"))?;
    let folder = std::env::temp_dir().join(format!("topazpath-lab-{}-{place}", std::process::id()));
    let mut planners = Planners::prepare(program, &folder, ip(30))?;
    if planned {
        planners.start()?;
    }
    let listens: Vec<SocketAddr> = (1..=FORWARDERS as u8)
        .map(|last| TcpListener::bind((ip(last), 0)).and_then(|listener| listener.local_addr()))
        .collect::<Result<_, _>>()?;
    let mut machines = Vec::new();
    for (at, listen) in listens.iter().enumerate() {
        let setup = Setup {
            name: format!("f-{at}"),
            listen: *listen,
            vrrp: None,
            planners: if planned { planners.addresses.clone() } else { Vec::new() },
            fleet: None,
            discovery: registry.address,
            limit: LIMIT,
        };
        let mut machine = Machine::new(program, folder.join(format!("f-{at}")), setup)?;
        machine.start()?;
        machines.push(machine);
    }
    std::thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    let load = Load { rate: LEADER_RATE, initiators: FORWARDERS, limited: 0.8, volumes: 1, shards: 2 };
    let clients: Vec<Clients> = (0..FORWARDERS)
        .map(|at| {
            let share: LoadShare = Arc::new(move |since| {
                let leader = (since.as_secs() / LEAD_DURATION.as_secs()) as usize * 3 % FORWARDERS;
                if leader == at {
                    1.0
                } else {
                    0.125
                }
            });
            Clients::start(Destination::Direct(listens[at], at), load, share, seed * 100 + at as u64)
        })
        .collect();
    std::thread::sleep(START_UP + PLANNED_TIME);
    let killed = Instant::now();
    planners.kill();
    registry.set_list(list(&nodes, "leaving"));
    let drains = vec![Drain { node: 2, since: Instant::now(), until: None }];
    std::thread::sleep(outage);
    let back = Instant::now();
    if planned {
        planners.start()?;
    }
    std::thread::sleep(PLANNED_TIME);
    let end = Instant::now();
    let requests: Vec<SentRequest> = clients.into_iter().flat_map(Clients::end).collect();
    let attempts = attempts.lock().map_err(|_| std::io::Error::other("a node's thread panicked"))?;
    let conditions = Conditions { limit: (LIMIT, BURST + OVERDRAFT), drains, outages: Vec::new() };
    // The grants in force expire within the first second of the outage, and new ones take as long after it.
    let pause = Duration::from_secs(2);
    let between = |from, to| worth(&attempts, from, to);
    Ok(Outcome {
        breaches: check(&requests, &attempts, &conditions),
        ended: requests.iter().filter(|request| is_ended_by(request, killed)).count(),
        worth: [between(start + START_UP, killed), between(killed, back), between(back + pause, end)],
        sent: requests.len(),
        served: requests.iter().filter(|request| request.end == RequestEnd::Served).count(),
    })
}

fn is_ended_by(request: &SentRequest, killed: Instant) -> bool {
    let after = request.ended >= killed && request.ended < killed + Duration::from_millis(500);
    after && request.sent < killed && matches!(request.end, RequestEnd::Failed | RequestEnd::Closed)
}

/// Returns the worth a second of the units sent for volumes with a limit; units within the reserve have the highest
/// price.
fn worth(attempts: &[Attempt], from: Instant, to: Instant) -> f64 {
    let mut seconds: BTreeMap<(&str, u64), f64> = BTreeMap::new();
    for attempt in attempts.iter().filter(|it| it.plan == "base" && it.at >= from && it.at < to) {
        *seconds.entry((&attempt.volume, (attempt.at - from).as_secs())).or_default() += attempt.units;
    }
    seconds.values().map(|units| ENTITLEMENT.worth(*units)).sum::<f64>() / (to - from).as_secs_f64()
}

fn list(nodes: &[SocketAddr], last: &'static str) -> Vec<ListedNode> {
    let listed = |(at, address): (usize, &SocketAddr)| ListedNode {
        name: format!("n-{at}"),
        address: *address,
        shard: at.min(1) as u32,
        status: if at == nodes.len() - 1 { last } else { "active" },
        in_slow_start: false,
    };
    nodes.iter().enumerate().map(listed).collect()
}

/// The planner processes, which are killed and started together.
struct Planners {
    program: PathBuf,
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    running: Vec<Child>,
}

impl Drop for Planners {
    fn drop(&mut self) {
        self.kill();
        // A folder that cannot be removed is left to the system's cleaning of temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Planners {
    fn prepare(program: &Path, folder: &Path, ip: Ipv4Addr) -> std::io::Result<Planners> {
        std::fs::create_dir_all(folder)?;
        let tcp: Vec<_> = (0..PLANNERS).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>()?;
        let udp: Vec<_> = (0..PLANNERS).map(|_| UdpSocket::bind((ip, 0))).collect::<Result<_, _>>()?;
        let addresses: Vec<SocketAddr> = tcp.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let vrrp_addresses: Vec<SocketAddr> =
            udp.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        let names: Vec<String> = (0..PLANNERS).map(|at| format!("p-{at}")).collect();
        for at in 0..PLANNERS {
            let peers: Vec<String> = vrrp_addresses
                .iter()
                .filter(|it| **it != vrrp_addresses[at])
                .map(SocketAddr::to_string)
                .collect();
            let text = format!(
                "listen = \"{}\"\nname = \"{}\"\nplanners = {names:?}\n[vrrp]\nvrid = 1\ninterval_ms = 100\n\
                 address = \"{}\"\npeers = {peers:?}\n",
                addresses[at], names[at], vrrp_addresses[at]
            );
            std::fs::write(folder.join(format!("{at}.toml")), text)?;
        }
        let program = program.with_file_name("topazpath-planner");
        Ok(Planners { program, folder: folder.to_path_buf(), addresses, running: Vec::new() })
    }

    fn start(&mut self) -> std::io::Result<()> {
        for at in 0..PLANNERS {
            let mut command = Command::new(&self.program);
            command.arg(self.folder.join(format!("{at}.toml")));
            self.running.push(command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()?);
        }
        Ok(())
    }

    fn kill(&mut self) {
        for mut child in self.running.drain(..) {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

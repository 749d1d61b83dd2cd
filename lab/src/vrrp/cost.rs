//! Measures the cost of virtual routers in one process: processor time and bytes, and the timers compared with a scan.

use crate::stand_ins::segment::Port;
use mio::{Events, Poll, Token};
use nix::time::{clock_gettime, ClockId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, UdpSocket};
use std::time::{Duration, Instant};
use topazpath::vrrp::machine::Parameters;
use topazpath::vrrp::packet::Coverage;
use topazpath::vrrp::routers::Router;
use topazpath::vrrp::settings::Interface;
use topazpath::vrrp::speaker::Driver;
use topazpath::vrrp::timers::Timers;

/// The interval of advertisements.
pub const INTERVAL: Duration = Duration::from_millis(100);

/// The cost of a number of routers.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Share of one processor for the process that is Active for all routers.
    pub active: f64,
    /// Share of one processor for the process that is Backup for all routers.
    pub backup: f64,
    /// Bytes of advertisements a second that the Active process sends.
    pub bytes: f64,
}

/// Runs two sets of routers, one Active and one Backup for all, that exchange advertisements over UDP in real time.
pub fn measure(routers: usize, place: u8, time: Duration) -> Result<Cost, String> {
    let ip = |last| Ipv4Addr::new(127, 120 + place, std::process::id() as u8, last);
    let ports: Vec<Port> = [1, 2]
        .map(|last| {
            let own = UdpSocket::bind((ip(last), 0)).and_then(|socket| socket.local_addr());
            own.map(|own| Port { own, relay: own, listen: own })
        })
        .into_iter()
        .collect::<Result<_, _>>()
        .map_err(|error| error.to_string())?;
    std::thread::scope(|scope| {
        let running: Vec<_> = [0, 1]
            .map(|at| {
                let (own, peer) = (ports[at].own, ports[1 - at].own);
                let interface = Interface { address: own, peers: vec![peer] };
                let routers = (0..routers).map(|number| router(number, own.ip(), [200, 100][at])).collect();
                scope.spawn(move || run_routers(interface, routers, time))
            })
            .into_iter()
            .collect();
        let ended: Result<Vec<(f64, f64)>, String> =
            running.into_iter().map(|it| it.join().map_err(|_| "a speaker panicked".to_string())?).collect();
        let ended = ended?;
        Ok(Cost { active: ended[0].0, backup: ended[1].0, bytes: ended[0].1 })
    })
}

fn router(number: usize, address: IpAddr, priority: u8) -> Router {
    Router {
        name: format!("r-{number}"),
        vrid: number as u8 + 1,
        priority,
        addresses: vec![IpAddr::from([192, 0, 2, number as u8])],
        parameters: Parameters { interval: INTERVAL, preempt: true, preempt_delay: Duration::ZERO, address },
        coverage: Coverage::PseudoHeader,
    }
}

/// Runs routers for a time; returns the processor share and bytes a second after their roles have settled.
fn run_routers(interface: Interface, routers: Vec<Router>, time: Duration) -> Result<(f64, f64), String> {
    let mut poll = Poll::new().map_err(|error| error.to_string())?;
    let start = Instant::now();
    let mut driver = Driver::start(&[interface], routers, &[], [Token(0)], poll.registry(), start)?;
    let mut events = Events::with_capacity(16);
    let (settled, mut start_of_measurement) = (start + INTERVAL * 6, None);
    while start.elapsed() < INTERVAL * 6 + time {
        let now = Instant::now();
        if now >= settled && start_of_measurement.is_none() {
            start_of_measurement = Some((now, processor()?, driver.bytes_sent));
        }
        let wait = driver.next_timer(now).unwrap_or(now + INTERVAL).saturating_duration_since(now);
        match poll.poll(&mut events, Some(wait)) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
            other => other.map_err(|error| error.to_string())?,
        }
        if !events.is_empty() {
            driver.set_readable(0);
        }
        driver.poll(Instant::now());
    }
    let (since, before, bytes) = start_of_measurement.ok_or("it never settled")?;
    let wall = since.elapsed().as_secs_f64();
    let used = (processor()? - before).as_secs_f64();
    Ok((used / wall, (driver.bytes_sent - bytes) as f64 / wall))
}

/// Returns the processor time of this thread.
fn processor() -> Result<Duration, String> {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).map_err(|error| error.to_string())
}

/// Measures the nanoseconds for moving one timer and reading the next, as for every received advertisement: with the
/// program's `Timers`, and with a scan of all timers.
pub fn timers(routers: usize, moves: usize, seed: u64) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let sequence: Vec<(usize, Duration)> = (0..moves)
        .map(|number| {
            let late = Duration::from_micros(number as u64 + random.random_range(300_000..400_000));
            (random.random_range(0..routers), late)
        })
        .collect();
    let per_move = |start: Instant| start.elapsed().as_nanos() as f64 / moves as f64;
    let (mut timers, start) = (Timers::new(routers), Instant::now());
    for (router, at) in &sequence {
        timers.set(*router, Some(*at));
        black_box(timers.next());
    }
    let timers_ns = per_move(start);
    let (mut scanned, start) = (vec![None::<Duration>; routers], Instant::now());
    for (router, at) in &sequence {
        scanned[*router] = Some(*at);
        black_box(scanned.iter().flatten().min());
    }
    (timers_ns, per_move(start))
}

//! What virtual routers cost in one process: processor time and bytes, and the timers against a plain scan.

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

/// What so many routers cost.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Part of one processor, of the router that is Active for all and of the one that is Backup.
    pub active: f64,
    /// Likewise.
    pub backup: f64,
    /// Bytes of advertisements a second.
    pub bytes: f64,
}

/// Two processes' worth of routers, one Active for all and one Backup, that hear each other over UDP in real time.
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
                scope.spawn(move || speak(interface, routers, time))
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

/// Runs routers for a time; the processor share and bytes a second after they have settled.
fn speak(interface: Interface, routers: Vec<Router>, time: Duration) -> Result<(f64, f64), String> {
    let mut poll = Poll::new().map_err(|error| error.to_string())?;
    let start = Instant::now();
    let mut speaker = Driver::start(&[interface], routers, &[], [Token(0)], poll.registry(), start)?;
    let mut events = Events::with_capacity(16);
    let (settled, mut marked) = (start + INTERVAL * 6, None);
    while start.elapsed() < INTERVAL * 6 + time {
        let now = Instant::now();
        if now >= settled && marked.is_none() {
            marked = Some((now, processor()?, speaker.bytes_sent));
        }
        let wait = speaker.next_timer(now).unwrap_or(now + INTERVAL).saturating_duration_since(now);
        match poll.poll(&mut events, Some(wait)) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
            other => other.map_err(|error| error.to_string())?,
        }
        if !events.is_empty() {
            speaker.set_readable(0);
        }
        speaker.poll(Instant::now());
    }
    let (since, before, bytes) = marked.ok_or("it never settled")?;
    let wall = since.elapsed().as_secs_f64();
    let used = (processor()? - before).as_secs_f64();
    Ok((used / wall, (speaker.bytes_sent - bytes) as f64 / wall))
}

/// Processor time of this thread.
fn processor() -> Result<Duration, String> {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).map_err(|error| error.to_string())
}

/// Nanoseconds for moving one timer and reading the next, as every advertisement that is heard asks for: the timers
/// made for it, and a plain scan.
pub fn timers(routers: usize, moves: usize, seed: u64) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let moved: Vec<(usize, Duration)> = (0..moves)
        .map(|number| {
            let late = Duration::from_micros(number as u64 + random.random_range(300_000..400_000));
            (random.random_range(0..routers), late)
        })
        .collect();
    let per_move = |start: Instant| start.elapsed().as_nanos() as f64 / moves as f64;
    let (mut made, start) = (Timers::new(routers), Instant::now());
    for (router, at) in &moved {
        made.set(*router, Some(*at));
        black_box(made.next());
    }
    let made = per_move(start);
    let (mut plain, start) = (vec![None::<Duration>; routers], Instant::now());
    for (router, at) in &moved {
        plain[*router] = Some(*at);
        black_box(plain.iter().flatten().min());
    }
    (made, per_move(start))
}

//! Idle client connections of one real initiator: their memory, when they are closed, and the resulting handshakes.

use super::super::discovery::{unreachable_nodes, Answers, Discovery};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup};
use super::super::scale::Scale;
use super::super::target;
use super::super::{fit, meter};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Nodes in the initiator's list.
const NODES: usize = 60;
/// Maximum time for idle connections to be closed.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks which of them are closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Duration of the measurement at rest; shorter than any idle timeout.
const REST_DURATION: Duration = Duration::from_millis(500);

/// Numbers of connections to open.
pub fn sizes(scale: &Scale) -> &'static [usize] {
    scale.pick(&[200, 500, 1000, 2000], &[500, 1500, 3000, 5652, 6000])
}

/// Measurements of one fresh process.
struct Idle {
    /// Connections opened.
    opened: f64,
    /// Connections still open when memory was read.
    still_open: f64,
    /// Bytes in excess of a fresh process without clients.
    memory: f64,
    /// Share of a core used at rest.
    rest: f64,
    /// Processor time per connection of open, `PING` and close, in microseconds.
    handshake: f64,
    /// Seconds from a connection's last answer until it was closed: median, and below it the maximum.
    closed_half: f64,
    closed_last: f64,
}

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let mut all = Vec::new();
    for size in sizes(scale) {
        let repeats: Result<Vec<Idle>, String> = (0..scale.repeats()).map(|_| measure_idle(*size)).collect();
        all.push((*size as f64, repeats?));
    }
    let points = |value: fn(&Idle) -> f64| -> Vec<Point> {
        let point = |(size, repeats): &(f64, Vec<Idle>)| {
            Point::of(*size, &repeats.iter().map(value).collect::<Vec<f64>>())
        };
        all.iter().map(point).collect()
    };
    let by_held = all.iter().map(|(_, repeats)| {
        let of = |value: fn(&Idle) -> f64| repeats.iter().map(value).collect::<Vec<f64>>();
        Point::of(fit::median(&of(|it| it.still_open)), &of(|it| it.memory))
    });
    let figure = |name: &str, unit: &str, points: Vec<Point>| {
        Figure::new(name, Role::Initiator, "connections", unit, points, target::CONNECTIONS_PER_INITIATOR)
    };
    let handshake = figure("connections: open, PING and close", "us", points(|it| it.handshake));
    let closed = figure("connections: idle until closed, half of them", "s", points(|it| it.closed_half));
    let handshake_figures = handshakes(closed.at_target, handshake.at_target);
    let mut figures = vec![
        figure("connections: memory of those held", "bytes", by_held.collect())
            .with_budget(target::CONTROL_MEMORY_BYTES)
            .with_note(
                "fresh process with clients less fresh process without, pages of files left out; by connections open when it was read",
            ),
        figure("connections: held of those opened", "of all", points(|it| it.still_open / it.opened)),
        figure("connections: processor at rest", "of a core", points(|it| it.rest)),
        handshake,
        closed,
        figure("connections: idle until closed, the last", "s", points(|it| it.closed_last)),
    ];
    figures.extend(handshake_figures);
    Ok(figures)
}

/// Handshakes in a fleet of the target size whose clients send requests at random times.
fn handshakes(closed_after: f64, cost_us: f64) -> Vec<Figure> {
    let share = new_connection_share(closed_after, target::REQUESTS_PER_SECOND / target::CONNECTIONS);
    let handshakes_per_second = share * target::REQUESTS_PER_INITIATOR;
    let of = |name: &str, unit: &str, value: f64, note: &str| {
        Figure::worked_out(name, Role::Initiator, unit, value, note)
    };
    vec![
        of(
            "connections: requests on a new connection",
            "of all",
            share,
            "requests at random times, each 4.1 s on the mean",
        ),
        of(
            "connections: handshakes of an initiator",
            "a second",
            handshakes_per_second,
            "their share of 1,391 requests a second",
        ),
        of(
            "connections: processor of handshakes",
            "of a core",
            handshakes_per_second * cost_us / 1e6,
            "handshakes a second, times the cost of one",
        )
        .with_budget(target::REQUEST_CORES),
        of(
            "connections: handshakes of the fleet",
            "a second",
            handshakes_per_second * target::INITIATORS,
            "460 initiators",
        ),
    ]
}

/// Share of requests that find their connection closed, because the previous one is longer ago than the idle timeout.
/// Requests of a connection arrive as a Poisson process with this rate.
pub fn new_connection_share(closed_after_s: f64, rate: f64) -> f64 {
    (-closed_after_s * rate).exp()
}

/// Opens connections to a fresh process, sends one request on each and waits until all are closed.
fn measure_idle(size: usize) -> Result<Idle, String> {
    let empty = {
        let (_discovery, initiator) = start()?;
        meter::anonymous_memory(initiator.process())?
    };
    let (_discovery, initiator) = start()?;
    let before = initiator.processor();
    let mut clients = Vec::with_capacity(size);
    for _ in 0..size {
        clients.push(Some(open(initiator.listen)?));
    }
    let (opened, start) = (initiator.processor(), Instant::now());
    let memory = meter::anonymous_memory(initiator.process())? - empty;
    let mut closed = Vec::with_capacity(size);
    remove_closed(&mut clients, &mut closed);
    let still_open = (size - closed.len()) as f64;
    std::thread::sleep(REST_DURATION);
    let rest = (initiator.processor() - opened) / start.elapsed().as_secs_f64();
    while closed.len() < size {
        if start.elapsed() > TIMEOUT {
            return Err(format!(
                "{} of {size} idle connections were not closed within 30 s",
                size - closed.len()
            ));
        }
        std::thread::sleep(CHECK_INTERVAL);
        remove_closed(&mut clients, &mut closed);
    }
    let handshake = (initiator.processor() - before) * 1e6 / size as f64;
    let closed_last = closed.iter().copied().fold(0.0, f64::max);
    let closed_half = fit::median(&closed);
    Ok(Idle { opened: size as f64, still_open, memory, rest, handshake, closed_half, closed_last })
}

fn start() -> Result<(Discovery, Initiator), String> {
    let discovery = Discovery::start(own_address(2), unreachable_nodes(NODES, 1), Answers::Changes)
        .map_err(|error| format!("discovery: {error}"))?;
    let initiator = Initiator::start(&Setup::of(discovery.address, 1))?;
    discovery.wait_until_applied(Duration::from_secs(20))?;
    Ok((discovery, initiator))
}

/// Opens a connection and sends one request. Returns the connection and the time of the answer.
fn open(address: SocketAddr) -> Result<(TcpStream, Instant), String> {
    let open = || -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.write_all(&topazpath::resp::command(&[b"PING"]))?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer)?;
        if answer != *b"+PONG\r\n" {
            return Err(std::io::Error::other("PING was not answered with PONG"));
        }
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    open().map(|stream| (stream, Instant::now())).map_err(|error| format!("idle connection: {error}"))
}

/// Removes the closed connections and records how long each was idle.
fn remove_closed(clients: &mut [Option<(TcpStream, Instant)>], closed: &mut Vec<f64>) {
    for client in clients {
        let Some((stream, since)) = client else { continue };
        let mut byte = [0];
        match stream.read(&mut byte) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => {
                closed.push(since.elapsed().as_secs_f64());
                *client = None;
            }
        }
    }
}

/// Fails if the part needs too many descriptors: a client has one here, and one in the initiator's process.
pub fn check(scale: &Scale) -> Result<(), String> {
    let max = sizes(scale).iter().max().copied().unwrap_or(0);
    meter::need_descriptors(max).map_err(|error| format!("connections: {error}"))
}

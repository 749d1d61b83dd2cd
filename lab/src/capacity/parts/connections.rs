//! Idle client connections of one real initiator: what they take, when they are closed, and the handshakes that follow.

use super::super::discovery::{unreachable_nodes, Answers, Discovery};
use super::super::figure::{Figure, Point, Role};
use super::super::initiator::{own_address, Initiator, Setup};
use super::super::scale::Scale;
use super::super::target;
use super::super::{fit, meter};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Nodes listed at this initiator.
const NODES: usize = 60;
/// How long idle connections are watched at most.
const PATIENCE: Duration = Duration::from_secs(30);
/// Between two looks at which of them are closed.
const LOOK: Duration = Duration::from_millis(25);
/// How long they are watched at rest: less than any of them is kept.
const REST: Duration = Duration::from_millis(500);

/// Connections to be opened.
pub fn sizes(scale: &Scale) -> &'static [usize] {
    scale.pick(&[200, 500, 1000, 2000], &[500, 1500, 3000, 5652, 6000])
}

/// What one fresh process came to.
struct Idle {
    /// Connections opened.
    opened: f64,
    /// Of these, open when memory was read.
    held: f64,
    /// Bytes beyond those of a fresh process without clients.
    memory: f64,
    /// Part of a core at rest.
    rest: f64,
    /// Processor time of open, `PING` and close, in microseconds each.
    handshake: f64,
    /// When half of the connections, and the last, were closed, in seconds after their own last answer.
    closed_half: f64,
    closed_last: f64,
}

/// All figures of the part.
pub fn measure(scale: &Scale) -> Result<Vec<Figure>, String> {
    let mut all = Vec::new();
    for size in sizes(scale) {
        let repeats: Result<Vec<Idle>, String> = (0..scale.repeats()).map(|_| idle(*size)).collect();
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
        Point::of(fit::median(&of(|it| it.held)), &of(|it| it.memory))
    });
    let figure = |name: &str, unit: &str, points: Vec<Point>| {
        Figure::new(name, Role::Initiator, "connections", unit, points, target::CONNECTIONS_PER_INITIATOR)
    };
    let handshake = figure("connections: open, PING and close", "us", points(|it| it.handshake));
    let closed = figure("connections: idle until closed, half of them", "s", points(|it| it.closed_half));
    let worked_out = handshakes(closed.at_target, handshake.at_target);
    let mut figures = vec![
        figure("connections: memory of those held", "bytes", by_held.collect())
            .within(target::CONTROL_MEMORY_BYTES)
            .note(
                "fresh process with clients less fresh process without, pages of files left out; by connections open when it was read",
            ),
        figure("connections: held of those opened", "of all", points(|it| it.held / it.opened)),
        figure("connections: processor at rest", "of a core", points(|it| it.rest)),
        handshake,
        closed,
        figure("connections: idle until closed, the last", "s", points(|it| it.closed_last)),
    ];
    figures.extend(worked_out);
    Ok(figures)
}

/// What follows for a fleet whose clients ask at random times, with as many connections and requests as the target has.
fn handshakes(closed_after: f64, cost_us: f64) -> Vec<Figure> {
    let share = new_share(closed_after, target::REQUESTS_PER_SECOND / target::CONNECTIONS);
    let each = share * target::REQUESTS_PER_INITIATOR;
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
            each,
            "their share of 1,391 requests a second",
        ),
        of(
            "connections: processor of handshakes",
            "of a core",
            each * cost_us / 1e6,
            "handshakes a second, times the cost of one",
        )
        .within(target::REQUEST_CORES),
        of("connections: handshakes of the fleet", "a second", each * target::INITIATORS, "460 initiators"),
    ]
}

/// Part of the requests that find their connection closed: those that come later than that after the one before, where
/// requests of a connection come at random times at this rate.
pub fn new_share(closed_after_s: f64, rate: f64) -> f64 {
    (-closed_after_s * rate).exp()
}

/// Opens connections to a fresh process, asks once on each, and watches them until all are closed.
fn idle(size: usize) -> Result<Idle, String> {
    let empty = {
        let (_discovery, initiator) = start()?;
        meter::anonymous(initiator.process())?
    };
    let (_discovery, initiator) = start()?;
    let before = initiator.processor();
    let mut clients = Vec::with_capacity(size);
    for _ in 0..size {
        clients.push(Some(open(initiator.listen)?));
    }
    let (opened, start) = (initiator.processor(), Instant::now());
    let memory = meter::anonymous(initiator.process())? - empty;
    let mut closed = Vec::with_capacity(size);
    look(&mut clients, &mut closed);
    let held = (size - closed.len()) as f64;
    std::thread::sleep(REST);
    let rest = (initiator.processor() - opened) / start.elapsed().as_secs_f64();
    while closed.len() < size {
        if start.elapsed() > PATIENCE {
            return Err(format!(
                "{} of {size} idle connections were not closed within 30 s",
                size - closed.len()
            ));
        }
        std::thread::sleep(LOOK);
        look(&mut clients, &mut closed);
    }
    let handshake = (initiator.processor() - before) * 1e6 / size as f64;
    let closed_last = closed.iter().copied().fold(0.0, f64::max);
    let closed_half = fit::median(&closed);
    Ok(Idle { opened: size as f64, held, memory, rest, handshake, closed_half, closed_last })
}

fn start() -> Result<(Discovery, Initiator), String> {
    let discovery = Discovery::start(own_address(2), unreachable_nodes(NODES, 1), Answers::Changes)
        .map_err(|error| format!("discovery: {error}"))?;
    let initiator = Initiator::start(&Setup::of(discovery.address, 1))?;
    discovery.wait_until_taken(Duration::from_secs(20))?;
    Ok((discovery, initiator))
}

/// A connection that has asked once, and when it was answered.
fn open(address: SocketAddr) -> Result<(TcpStream, Instant), String> {
    let open = || -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(&topazpath::resp::command(&[b"PING"]))?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer)?;
        if answer != *b"+PONG\r\n" {
            return Err(std::io::Error::other("PING was not answered with PONG"));
        }
        stream.set_nonblocking(true)?;
        Ok(stream)
    };
    open().map(|stream| (stream, Instant::now())).map_err(|error| format!("an idle connection: {error}"))
}

/// Takes out the connections that were closed, with how long each was idle.
fn look(clients: &mut [Option<(TcpStream, Instant)>], closed: &mut Vec<f64>) {
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

/// Descriptors that the part needs: a client has one here, and one in the initiator.
pub fn check(scale: &Scale) -> Result<(), String> {
    let most = sizes(scale).iter().max().copied().unwrap_or(0);
    meter::need_descriptors(most).map_err(|why| format!("connections: {why}"))
}

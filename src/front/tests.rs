use super::*;
use crate::config::Wire;
use mio::Poll;
use room::MIN_SILENCE_BEFORE_EVICTION;
use std::io::{Read, Write};
use std::net::SocketAddr;

/// A front on a port chosen by the system.
fn front(poll: &Poll, clock: Clock, limits: ClientLimits) -> Front<resp::Resp> {
    let second = Duration::from_secs(1);
    let wire = Wire {
        classes: vec![],
        deadlines: vec![],
        plans: vec![],
        zones: vec![],
        connect_timeout: second,
        conn_idle: second,
        peers: false,
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let budget = Budget::unlimited();
    let resp = resp::Resp { wire, retry_after: second, max_pending: 64, budget };
    Front::new(
        resp,
        Listener::open(any).unwrap(),
        Token(0),
        poll.registry(),
        clock,
        limits,
        Budget::unlimited(),
    )
    .unwrap()
}

#[test]
fn commands_of_one_client_are_limited_per_iteration() {
    let poll = Poll::new().unwrap();
    let (clock, second, now) = (Clock::start(), Duration::from_secs(1), Instant::now());
    let limits = ClientLimits { evict_idle_above: 4, clients: 4, overflow: 0, lingering: 1 };
    let mut front = front(&poll, clock, limits);
    let mut core = Core::new(clock, second, Budget::unlimited());
    let mut client = std::net::TcpStream::connect(front.address().unwrap()).unwrap();
    let ping = b"*1\r\n$4\r\nPING\r\n";
    client.write_all(&ping.repeat(3 * MAX_COMMANDS_PER_ITERATION)).unwrap();
    while front.connection_count() == 0 {
        front.connections_pending();
        front.run_iteration(now, poll.registry(), || Token(16), &mut core);
    }
    let mut pongs = |front: &mut Front<resp::Resp>, step: &mut dyn FnMut(&mut Front<resp::Resp>)| {
        step(front);
        let mut bytes = [0; 4096];
        client.set_read_timeout(Some(second)).unwrap();
        client.read(&mut bytes).unwrap() / b"+PONG\r\n".len()
    };
    let first = pongs(&mut front, &mut |front| front.process(now, 16, &mut core));
    assert_eq!(first, MAX_COMMANDS_PER_ITERATION);
    assert_eq!(front.next_timer(now), now, "it continues at once");
    let next = &mut |front: &mut Front<resp::Resp>| {
        front.run_iteration(now, poll.registry(), || Token(20), &mut core);
    };
    assert_eq!(pongs(&mut front, next), MAX_COMMANDS_PER_ITERATION);
}

#[test]
fn clients_are_limited_per_iteration_and_queued_ones_are_not_evicted() {
    let poll = Poll::new().unwrap();
    let (clock, second, start) = (Clock::start(), Duration::from_secs(1), Instant::now());
    let count = MAX_CLIENTS_PER_ITERATION + 6;
    let limits = ClientLimits { evict_idle_above: count, clients: count, overflow: 0, lingering: 1 };
    let mut front = front(&poll, clock, limits);
    let (mut core, mut token) = (Core::new(clock, second, Budget::unlimited()), 0);
    let address = front.address().unwrap();
    let mut clients: Vec<_> = (0..count).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    let mut next = || {
        token += 16;
        Token(token)
    };
    while front.connection_count() < count {
        front.connections_pending();
        front.run_iteration(start, poll.registry(), &mut next, &mut core);
    }
    clients.iter_mut().for_each(|client| client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap());
    let ids: Vec<usize> = front.clients.keys().copied().collect();
    ids.iter().for_each(|id| front.readable(start, *id, &mut core));
    // The loop processes them late: their input is waiting, so they are not silent.
    let late = start + MIN_SILENCE_BEFORE_EVICTION * 2;
    assert!(!front.evict_idle_client(late, true));
    let processed = |front: &Front<resp::Resp>| front.clients.values().filter(|it| !it.queued).count();
    front.run_iteration(late, poll.registry(), &mut next, &mut core);
    assert_eq!(processed(&front), MAX_CLIENTS_PER_ITERATION);
    assert_eq!(front.next_timer(late), late, "it continues at once");
    front.run_iteration(late, poll.registry(), &mut next, &mut core);
    assert_eq!((processed(&front), front.connection_count()), (count, count));
    for client in &mut clients {
        let mut answer = [0; 7];
        client.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        client.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"+PONG\r\n");
    }
}

/// A front with a client in each slot, none of which has sent anything.
fn front_full_of_silent_clients(
    poll: &Poll,
    limits: ClientLimits,
) -> (Front<resp::Resp>, Vec<std::net::TcpStream>, Core) {
    let clock = Clock::start();
    let mut front = front(poll, clock, limits);
    let mut core = Core::new(clock, Duration::from_secs(1), Budget::unlimited());
    let silent = (0..limits.clients)
        .map(|_| std::net::TcpStream::connect(front.address().unwrap()).unwrap())
        .collect();
    accept_until(&mut front, poll, &mut core, |front| front.connection_count() >= limits.clients);
    (front, silent, core)
}

fn accept_until(
    front: &mut Front<resp::Resp>,
    poll: &Poll,
    core: &mut Core,
    done: impl Fn(&Front<resp::Resp>) -> bool,
) {
    let limit = Instant::now() + Duration::from_secs(20);
    while !done(front) {
        assert!(Instant::now() < limit, "{} clients", front.connection_count());
        let now = Instant::now();
        let mut last = front.clients.keys().copied().max().unwrap_or(0);
        front.begin_iteration(now, false);
        front.connections_pending();
        let next = || {
            last += 16;
            Token(last)
        };
        front.run_iteration(now, poll.registry(), next, core);
    }
}

const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Connects, sends a PING and waits until it is answered.
fn connect_and_ping(front: &mut Front<resp::Resp>, poll: &Poll, core: &mut Core) -> std::net::TcpStream {
    let mut client = std::net::TcpStream::connect(front.address().unwrap()).unwrap();
    client.write_all(PING).unwrap();
    let ids: Vec<usize> = front.clients.keys().copied().collect();
    accept_until(front, poll, core, |front| {
        front.clients.iter().any(|(id, it)| !ids.contains(id) && it.was_answered())
    });
    client
}

impl Client<<resp::Resp as Protocol>::Session> {
    fn was_answered(&self) -> bool {
        // PING is answered at once, so the connection is idle afterwards.
        matches!(self.idle_position, Some((idle::IdleKind::Probed, _)))
    }
}

#[test]
fn silent_clients_are_evicted_and_answered_ones_stay() {
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 20, clients: 20, overflow: 4, lingering: 4 };
    let (mut front, _silent, mut core) = front_full_of_silent_clients(&poll, limits);
    let served: Vec<_> = (0..6).map(|_| connect_and_ping(&mut front, &poll, &mut core)).collect();
    let ids: Vec<usize> =
        front.clients.iter().filter(|(_, it)| it.was_answered()).map(|(id, _)| *id).collect();
    assert_eq!(ids.len(), served.len(), "each found a slot at once");
    // A burst of new connections, while those that were answered have been idle for long.
    std::thread::sleep(Duration::from_millis(300));
    let address = front.address().unwrap();
    let burst: Vec<_> = (0..100).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    let newest = ids.iter().max().copied().unwrap() + 16 * burst.len();
    accept_until(&mut front, &poll, &mut core, |front| front.clients.keys().any(|id| *id >= newest));
    assert!(
        ids.iter().all(|id| front.clients.contains_key(id)),
        "a burst of connections evicts no client that was answered"
    );
    assert!(front.connection_count() <= limits.clients + limits.overflow);
}

/// Configures one class and one plan.
fn configure_class_and_plan(front: &mut Front<resp::Resp>) {
    let wire = &mut front.protocol_mut().wire;
    wire.classes = vec!["c".into()];
    wire.deadlines = vec![Duration::from_secs(1)];
    wire.plans = vec!["t".into()];
}

/// A request whose client waits for this many milliseconds.
fn request_with_deadline(deadline_ms: &str) -> Vec<u8> {
    request_with_id("0000000000000002", deadline_ms)
}

fn request_with_id(id: &str, deadline_ms: &str) -> Vec<u8> {
    let attributes = format!("c=c,t=t,d={deadline_ms},volume=0000000000000001,units=1,shard=0,hosts=1");
    crate::resp::command(&[b"OBJ.GET", b"0000000000000001", id.as_bytes(), attributes.as_bytes()])
}

#[test]
fn a_request_is_declined_if_half_its_time_passed_before_accept() {
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 4, clients: 4, overflow: 1, lingering: 1 };
    let (mut front, _silent, mut core) = front_full_of_silent_clients(&poll, limits);
    configure_class_and_plan(&mut front);
    let mut client = std::net::TcpStream::connect(front.address().unwrap()).unwrap();
    client.write_all(&request_with_deadline("400")).unwrap();
    let arrival = Instant::now();
    std::thread::sleep(Duration::from_millis(260));
    front.begin_iteration(arrival, false);
    front.connections_pending();
    accept_until(&mut front, &poll, &mut core, |_| arrival.elapsed() > Duration::from_millis(300));
    assert_eq!(
        (core.counters.requests_read_late, core.counters.requests_accepted),
        (1, 0),
        "{:?}",
        core.counters
    );
}

/// A process that is stopped just as its poll ends counts the whole stop as polling, and takes input that
/// arrived during the stop for new: under load, a request of 1 s that arrived in a stop of 0.4 s was answered
/// after 1.41 to 1.48 s (3 runs of 6). Here the loop reports no wait, and the client's input is 260 ms old.
#[test]
fn request_age_comes_from_the_kernel_if_the_process_may_have_been_stopped() {
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 4, clients: 4, overflow: 1, lingering: 1 };
    let (mut front, mut clients, mut core) = front_full_of_silent_clients(&poll, limits);
    let id = *front.clients.keys().min().unwrap();
    configure_class_and_plan(&mut front);
    clients[0].write_all(&request_with_deadline("400")).unwrap();
    std::thread::sleep(Duration::from_millis(260));
    let now = Instant::now();
    front.begin_iteration(now, true);
    front.readable(now, id, &mut core);
    assert_eq!(
        (core.counters.requests_read_late, core.counters.requests_accepted),
        (1, 0),
        "{:?}",
        core.counters
    );
}

/// Silent clients were closed for new connections while the slots for declined clients stayed empty, so a
/// client that sent its command a moment after connecting got a reset. Of 400 clients against 76 slots the
/// process held 88 descriptors, 12 of them its own, with 10 more reserved for declined clients.
#[test]
fn a_silent_client_that_lost_its_slot_is_answered_and_not_reset() {
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 4, clients: 4, overflow: 2, lingering: 2 };
    let (mut front, mut silent, mut core) = front_full_of_silent_clients(&poll, limits);
    connect_and_ping(&mut front, &poll, &mut core);
    assert_eq!((front.served_count(), front.overflow_count), (limits.clients, 1));
    silent[0].write_all(PING).unwrap();
    let demoted = *front.clients.iter().find(|(_, client)| client.is_overflow).unwrap().0;
    let limit = Instant::now() + Duration::from_secs(20);
    while front.clients.contains_key(&demoted) {
        assert!(Instant::now() < limit, "it is answered and closed");
        front.readable(Instant::now(), demoted, &mut core);
    }
    silent[0].set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut answers = Vec::new();
    silent[0].read_to_end(&mut answers).unwrap();
    assert_eq!((answers.as_slice(), front.overflow_count), (&b"+PONG\r\n"[..], 0));
}

/// At an initiator whose slots are taken a client that sent 60 commands at once got 32 answers, and its connection was closed
/// over the other 28, which had been read (review/tried-2/overflow.py).
#[test]
fn a_client_without_a_slot_is_answered_to_the_last_of_its_commands() {
    const COMMANDS: usize = 2 * MAX_COMMANDS_PER_ITERATION + 6;
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 4, clients: 4, overflow: 2, lingering: 2 };
    let (mut front, mut silent, mut core) = front_full_of_silent_clients(&poll, limits);
    connect_and_ping(&mut front, &poll, &mut core);
    let demoted = *front.clients.iter().find(|(_, client)| client.is_overflow).unwrap().0;
    silent[0].write_all(&PING.repeat(COMMANDS)).unwrap();
    let limit = Instant::now() + Duration::from_secs(20);
    while front.clients.contains_key(&demoted) {
        assert!(Instant::now() < limit, "it is answered and closed");
        front.readable(Instant::now(), demoted, &mut core);
        front.run_iteration(Instant::now(), poll.registry(), || Token(4096), &mut core);
    }
    silent[0].set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut answers = Vec::new();
    silent[0].read_to_end(&mut answers).unwrap();
    assert_eq!(answers, b"+PONG\r\n".repeat(COMMANDS));
}

/// Guards against commands that were read when the process ends and whose connection is closed over them: more of them came at
/// once than are handled in a turn.
#[test]
fn all_commands_that_were_sent_at_once_are_answered_when_the_front_shuts_down() {
    const COMMANDS: usize = 3 * MAX_COMMANDS_PER_ITERATION + 6;
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 4, clients: 1, overflow: 1, lingering: 1 };
    let (mut front, mut clients, mut core) = front_full_of_silent_clients(&poll, limits);
    clients[0].write_all(&PING.repeat(COMMANDS)).unwrap();
    let limit = Instant::now() + Duration::from_secs(20);
    while !front.clients.is_empty() {
        assert!(Instant::now() < limit, "it is answered and closed");
        front.shut_down(Instant::now(), false, &mut core);
        front.run_iteration(Instant::now(), poll.registry(), || Token(4096), &mut core);
    }
    clients[0].set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut answers = Vec::new();
    clients[0].read_to_end(&mut answers).unwrap();
    assert_eq!(answers.len(), b"+PONG\r\n".len() * COMMANDS);
}

/// If clients with incomplete commands held all slots for declined clients, a silent served client was closed
/// but the new connection was counted among the declined ones, so the freed slot was given away twice: 261 to
/// 1,132 descriptors where 256 to 1,024 are allowed, in 22 of 52 seeds of the extended soak.
#[test]
fn connections_stay_within_the_client_and_overflow_limits() {
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 4, clients: 4, overflow: 1, lingering: 1 };
    let clock = Clock::start();
    let mut front = front(&poll, clock, limits);
    let mut core = Core::new(clock, Duration::from_secs(1), Budget::unlimited());
    let address = front.address().unwrap();
    let connect_with_partial_command = || {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(&PING[..6]).unwrap();
        client
    };
    let mut clients = vec![connect_with_partial_command(), connect_with_partial_command()];
    clients.extend((0..2).map(|_| std::net::TcpStream::connect(address).unwrap()));
    accept_until(&mut front, &poll, &mut core, |front| front.connection_count() == 4);
    // At once, so that some are accepted before any of them is processed.
    clients.extend((0..8).map(|_| connect_with_partial_command()));
    let (start, mut max_clients) = (Instant::now(), 0);
    while start.elapsed() < Duration::from_millis(20) {
        let iterated = std::cell::Cell::new(false);
        accept_until(&mut front, &poll, &mut core, |_| iterated.replace(true));
        max_clients = max_clients.max(front.clients.len());
    }
    assert!(max_clients <= limits.clients + limits.overflow, "{max_clients} clients");
}

/// A new connection is writable at once. If more connections arrived together than an iteration processes, the
/// rest were queued without having sent anything, were not evicted, and a client with a request was declined
/// ("BUSY 500", one run in two of the test with hundreds of silent connections).
#[test]
fn a_connection_that_is_only_writable_counts_as_silent() {
    let poll = Poll::new().unwrap();
    let count = MAX_CLIENTS_PER_ITERATION + 20;
    let limits = ClientLimits { evict_idle_above: count, clients: count, overflow: 1, lingering: 1 };
    let (mut front, _silent, mut core) = front_full_of_silent_clients(&poll, limits);
    let now = Instant::now();
    let ids: Vec<usize> = front.clients.keys().copied().collect();
    ids.iter().for_each(|id| front.writable(now, *id, &mut core));
    assert_eq!(front.idle_order.len(idle::IdleKind::Silent), count);
    connect_and_ping(&mut front, &poll, &mut core);
}

/// A silent client that was evicted for a new connection leaves a free slot as soon as that connection ends.
/// `INFO VRRP` therefore reported enough descriptors in the middle of a connection burst (one run in four of a
/// net test, under load).
#[test]
fn the_front_counts_as_at_capacity_for_a_while_after_a_connection_found_no_slot() {
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 20, clients: 20, overflow: 4, lingering: 4 };
    let (mut front, _silent, mut core) = front_full_of_silent_clients(&poll, limits);
    drop(connect_and_ping(&mut front, &poll, &mut core));
    let newest = front.clients.keys().copied().max().unwrap();
    front.peer_closed(Instant::now(), newest, &mut core);
    assert!(front.served_count() < limits.clients, "the client has gone");
    let now = Instant::now();
    assert!(front.is_at_capacity(now));
    assert!(!front.is_at_capacity(now + room::AT_CAPACITY_HOLD), "no connection arrived since");
}

/// Guards against a part of a long value before another answer to the same request (found by the soak, extended seed
/// 13, short: "a long value is not followed by CRLF"). The value broke off in the same turn of the loop in which the
/// answer before it came: the core had given it up, and the front began to pass it on.
#[test]
fn a_long_value_that_the_core_has_given_up_is_not_begun_by_the_answer_before_it() {
    use crate::core::{AttemptId, AttemptResult, Effect};
    use crate::interface::{Action, NodeId, Outcome};
    let poll = Poll::new().unwrap();
    let limits = ClientLimits { evict_idle_above: 4, clients: 1, overflow: 1, lingering: 1 };
    let (mut front, mut clients, mut core) = front_full_of_silent_clients(&poll, limits);
    let id = *front.clients.keys().min().unwrap();
    configure_class_and_plan(&mut front);
    clients[0].write_all(&[request_with_id("1", "900"), request_with_id("2", "900")].concat()).unwrap();
    let now = Instant::now();
    let both = |core: &Core| core.open_requests() == 2;
    while !both(&core) {
        front.readable(now, id, &mut core);
    }
    let [first, long] = [1, 2].map(crate::interface::RequestId);
    let give_up_at = front.clock.unix(now) + Duration::from_millis(800);
    let sends =
        [first, long].map(|id| Action::Send { id, node: NodeId(1), give_up_at, begin_by: give_up_at });
    core.carry_out(now, sends.to_vec());
    core.drain_effects();
    let attempt = AttemptId { request: long, number: 0 };
    let origin = core.begin_stream(attempt).unwrap();
    let memory = StreamMemory::Window(Budget::unlimited().hold(Purpose::Window, 0));
    front.begin_answer(now, origin, 100_000, memory, &mut core);
    front.write_piece(now, origin, b"a part of the value", &mut core);
    // Both attempts end before any effect is applied.
    let served = AttemptResult { value: b"v".to_vec(), ..AttemptResult::without_reply(Outcome::Served) };
    core.attempt_ended(now, AttemptId { request: first, number: 0 }, served);
    core.attempt_ended(now, attempt, AttemptResult::without_reply(Outcome::Reset));
    core.carry_out(now, vec![Action::Fail { id: long }]);
    for effect in core.drain_effects() {
        match effect {
            Effect::Answer { origin, answer } => front.answer(now, origin, answer, &mut core),
            Effect::DiscardStream { origin } => front.discard_answer(now, origin, &mut core),
            other => panic!("{other:?}"),
        }
    }
    let expected = b"$1\r\nv\r\n-ERR failed\r\n";
    let mut received = vec![0; expected.len()];
    clients[0].set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    clients[0].read_exact(&mut received).unwrap();
    assert_eq!(received, expected);
}

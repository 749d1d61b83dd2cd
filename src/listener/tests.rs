use super::queue::AcceptQueue;
use super::*;
use std::io::Write;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn listener() -> (Listener, SocketAddr) {
    let listener = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn next(listener: &mut Listener) -> Accepted {
    let limit = Instant::now() + Duration::from_secs(10);
    while Instant::now() < limit {
        match listener.accept() {
            Pending::Connection(accepted) => return accepted,
            Pending::Empty => std::thread::sleep(ms(1)),
            Pending::Failed(error) => panic!("{error}"),
        }
    }
    panic!("no connection arrived");
}

#[test]
fn the_age_of_a_queued_connection_is_that_of_its_data() {
    let (mut listener, address) = listener();
    let before = Instant::now();
    let mut early = std::net::TcpStream::connect(address).unwrap();
    early.write_all(b"a request").unwrap();
    let _silent = std::net::TcpStream::connect(address).unwrap();
    let sent = Instant::now();
    std::thread::sleep(ms(200));
    let (first, second) = (next(&mut listener), next(&mut listener));
    // The kernel counts in ticks, of 10 ms at most.
    assert!(
        first.has_sent && first.received + ms(10) >= before && first.received <= sent,
        "as old as its data"
    );
    assert!(!second.has_sent && second.received >= sent + ms(200), "it has sent no data");
}

#[test]
fn statistics_are_read_without_accepting() {
    let (mut listener, address) = listener();
    let _clients: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    listener.inspect(Instant::now());
    let stats = listener.stats();
    assert_eq!((stats.length, stats.longest, stats.drops), (3, 3, 0));
    assert!(stats.limit >= 3);
    (0..3).for_each(|_| drop(next(&mut listener)));
    assert_eq!((listener.stats().length, listener.stats().longest), (0, 3));
}

/// 460 initiators connect to a restarted planner at once, before it has accepted the first.
#[test]
fn simultaneous_connections_lose_no_handshake() {
    const INITIATORS: u32 = 460;
    let (mut listener, address) = listener();
    let clients: Vec<_> = (0..INITIATORS).map(|_| TcpStream::connect(address).unwrap()).collect();
    let limit = Instant::now() + Duration::from_secs(10);
    while listener.stats().length < INITIATORS && Instant::now() < limit {
        std::thread::sleep(ms(1));
    }
    listener.inspect(Instant::now());
    let stats = listener.stats();
    assert_eq!((stats.length, stats.drops), (clients.len() as u32, 0));
}

#[test]
fn an_adopted_listener_gets_the_full_queue_length() {
    let short = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    short.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    short.listen(8).unwrap();
    let opened = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let mut adopted = Listener::adopt(TcpListener::from_std(short.into()), None);
    adopted.inspect(Instant::now());
    let wanted = TcpInfo::of(opened.socket().as_fd()).unwrap().accept_queue_limit();
    assert_eq!(adopted.stats().limit, wanted);
    assert!(wanted > 8);
}

#[test]
fn no_arrival_is_older_than_the_last_time_the_queue_was_empty() {
    let start = Instant::now();
    let (found, now) = (start + ms(100), start + ms(150));
    let mut queue = AcceptQueue::new(Some(start));
    queue.emptied();
    queue.ready(found);
    queue.ready(now);
    // The kernel counts in ticks.
    let old = TcpInfo::with_segments(1, 60, 100, 0);
    assert_eq!(queue.arrival(now, Some(&old)), (found, true));
    assert_eq!(queue.arrival(now, None), (found, true), "without kernel data the earlier bound is used");
    let fresh = TcpInfo::with_segments(1, 0, 100, 0);
    let (received, _) = queue.arrival(now, Some(&fresh));
    assert!(received >= found && received < now, "the kernel counts in ticks");
    // The age of the last of several segments does not tell the age of the first.
    let several = TcpInfo::with_segments(3, 0, 100, 0);
    assert_eq!(queue.arrival(now, Some(&several)), (found, true));
    queue.forget_age();
    let old = TcpInfo::with_segments(1, 5_000, 100, 0);
    let (received, _) = queue.arrival(start + ms(6_000), Some(&old));
    assert!(received <= start + ms(1_000), "another process had the queue before");
}

/// A process that was stopped just as its wait ended believes that no data arrived before it continued
/// (`may_have_been_stopped`); the kernel's receive time is right.
#[test]
fn data_received_during_an_unnoticed_stop_has_the_age_that_the_kernel_tells() {
    let start = Instant::now();
    let now = start + ms(1_000);
    let mut queue = AcceptQueue::new(Some(start));
    queue.emptied();
    queue.ready(now);
    let waited = TcpInfo::with_segments(1, 400, 100, 0);
    let (received, has_sent) = queue.arrival(now, Some(&waited));
    assert!(has_sent && received <= now - ms(400) && received >= now - ms(420), "{:?}", now - received);
}

#[test]
fn a_handshake_delayed_by_an_overflow_counts_from_its_first_try() {
    let start = Instant::now();
    let now = start + ms(2_000);
    let mut queue = AcceptQueue::new(Some(start));
    queue.emptied();
    queue.ready(now);
    let again = TcpInfo::with_segments(1, 0, 400_000, 0);
    let again_by_server = TcpInfo::with_segments(1, 0, 100, 1);
    assert_eq!(queue.arrival(now, Some(&again)).0, now, "a long round trip is not an overflow");
    queue.update(now, &TcpInfo::with_accept_queue(128, 128), 7);
    assert_eq!(queue.stats(0), QueueStats { length: 0, limit: 128, longest: 128, drops: 7 });
    assert_eq!(queue.arrival(now, Some(&again)).0, now - ms(400));
    assert_eq!(queue.arrival(now, Some(&again_by_server)).0, now - ms(1_000));
    let later = now + ms(5_000);
    queue.emptied();
    queue.ready(later);
    assert_eq!(queue.arrival(later, Some(&again)).0, later, "it was long ago");
}

/// A listener's readiness is notified only once. The admin endpoint and the planner took any accept error for an empty
/// queue: a connection that arrived while the process was out of descriptors waited until another one arrived, if ever.
#[test]
fn accepting_is_retried_after_a_failure() {
    let (mut listener, _) = listener();
    // accept(2) fails from now on, as it does without free descriptors.
    SockRef::from(listener.socket()).shutdown(std::net::Shutdown::Both).unwrap();
    let before = Instant::now();
    assert!(matches!(listener.accept(), Pending::Failed(_)));
    let again = listener.accept_at(before).expect("accepting is retried");
    assert!(again >= before + RETRY_PAUSE && again <= Instant::now() + RETRY_PAUSE);
}

#[test]
fn an_empty_queue_is_not_polled_until_it_is_ready() {
    let (mut listener, address) = listener();
    assert!(matches!(listener.accept(), Pending::Empty));
    assert_eq!(listener.accept_at(Instant::now()), None);
    let _client = std::net::TcpStream::connect(address).unwrap();
    let now = Instant::now();
    listener.ready(now);
    assert_eq!(listener.accept_at(now), Some(now));
    next(&mut listener);
    assert!(listener.is_due(now), "there may be more");
}

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
    panic!("nobody received");
}

#[test]
fn what_waited_to_be_accepted_is_as_old_as_its_bytes() {
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
        "as old as the bytes"
    );
    assert!(!second.has_sent && second.received >= sent + ms(200), "nothing has come that could be old");
}

#[test]
fn the_queue_is_looked_at_without_being_emptied() {
    let (mut listener, address) = listener();
    let _clients: Vec<_> = (0..3).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    listener.inspect(Instant::now());
    let figures = listener.figures();
    assert_eq!((figures.length, figures.longest, figures.drops), (3, 3, 0));
    assert!(figures.limit >= 3);
    (0..3).for_each(|_| drop(next(&mut listener)));
    assert_eq!((listener.figures().length, listener.figures().longest), (0, 3));
}

/// A planner that 460 initiators reach at once after its restart, before it has accepted the first.
#[test]
fn a_crowd_that_comes_in_one_moment_loses_no_handshake() {
    const INITIATORS: u32 = 460;
    let (mut listener, address) = listener();
    let clients: Vec<_> = (0..INITIATORS).map(|_| TcpStream::connect(address).unwrap()).collect();
    let limit = Instant::now() + Duration::from_secs(10);
    while listener.figures().length < INITIATORS && Instant::now() < limit {
        std::thread::sleep(ms(1));
    }
    listener.inspect(Instant::now());
    let figures = listener.figures();
    assert_eq!((figures.length, figures.drops), (clients.len() as u32, 0));
}

#[test]
fn a_listener_of_another_process_gets_the_longer_queue_too() {
    let short = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    short.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    short.listen(8).unwrap();
    let opened = Listener::open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let mut adopted = Listener::adopt(TcpListener::from_std(short.into()), None);
    adopted.inspect(Instant::now());
    let wanted = TcpInfo::of(opened.socket().as_fd()).unwrap().accept_queue_limit();
    assert_eq!(adopted.figures().limit, wanted);
    assert!(wanted > 8);
}

#[test]
fn nothing_is_older_than_the_moment_the_queue_was_known_to_be_empty() {
    let start = Instant::now();
    let (found, now) = (start + ms(100), start + ms(150));
    let mut queue = AcceptQueue::new(Some(start));
    queue.emptied();
    queue.ready(found);
    queue.ready(now);
    // The kernel counts in ticks.
    let old = TcpInfo::with_segments(1, 60, 100, 0);
    assert_eq!(queue.arrival(now, Some(&old)), (found, true));
    assert_eq!(queue.arrival(now, None), (found, true), "where the system tells nothing, the earlier bound");
    let fresh = TcpInfo::with_segments(1, 0, 100, 0);
    let (received, _) = queue.arrival(now, Some(&fresh));
    assert!(received >= found && received < now, "the kernel counts in ticks");
    // The age of the last of several segments says little of the first.
    let several = TcpInfo::with_segments(3, 0, 100, 0);
    assert_eq!(queue.arrival(now, Some(&several)), (found, true));
    queue.forget_age();
    let old = TcpInfo::with_segments(1, 5_000, 100, 0);
    let (received, _) = queue.arrival(start + ms(6_000), Some(&old));
    assert!(received <= start + ms(1_000), "others had the queue before");
}

/// A process that was stopped just as its wait ended believes that nothing came before it went on (`may_have_been_stopped`); the
/// kernel knows better.
#[test]
fn what_came_while_the_process_was_stopped_unnoticed_is_as_old_as_the_kernel_says() {
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
fn handshakes_that_a_full_queue_dropped_began_earlier() {
    let start = Instant::now();
    let now = start + ms(2_000);
    let mut queue = AcceptQueue::new(Some(start));
    queue.emptied();
    queue.ready(now);
    let again = TcpInfo::with_segments(1, 0, 400_000, 0);
    let again_by_server = TcpInfo::with_segments(1, 0, 100, 1);
    assert_eq!(queue.arrival(now, Some(&again)).0, now, "a long way is no overflow");
    queue.inspected(now, &TcpInfo::with_accept_queue(128, 128), 7);
    assert_eq!(queue.figures(0), QueueFigures { length: 0, limit: 128, longest: 128, drops: 7 });
    assert_eq!(queue.arrival(now, Some(&again)).0, now - ms(400));
    assert_eq!(queue.arrival(now, Some(&again_by_server)).0, now - ms(1_000));
    let later = now + ms(5_000);
    queue.emptied();
    queue.ready(later);
    assert_eq!(queue.arrival(later, Some(&again)).0, later, "it was long ago");
}

/// A listener's readiness is notified once. The admin endpoint and the planner took any error of accept for an empty queue:
/// a call that had come while the process was out of descriptors waited until another one came, if ever.
#[test]
fn after_a_failure_the_queue_is_looked_at_again() {
    let (mut listener, _) = listener();
    // accept(2) fails from now on, as it does where descriptors are lacking.
    SockRef::from(listener.socket()).shutdown(std::net::Shutdown::Both).unwrap();
    let before = Instant::now();
    assert!(matches!(listener.accept(), Pending::Failed(_)));
    let again = listener.accept_at(before).expect("it is not given up");
    assert!(again >= before + RETRY_PAUSE && again <= Instant::now() + RETRY_PAUSE);
}

#[test]
fn an_empty_queue_is_not_looked_at_until_it_is_ready() {
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

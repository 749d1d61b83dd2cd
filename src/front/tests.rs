use super::*;
use crate::config::Wire;
use mio::Poll;
use room::SILENT_BEFORE_ROOM;
use std::io::{Read, Write};
use std::net::SocketAddr;

/// A front on a port of the system's choice.
fn front(poll: &Poll, clock: Clock, room: Room) -> Front<resp::Resp> {
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
    let budget = crate::flow::Budget::new(0);
    let resp = resp::Resp { wire, retry_after: second, most_pending: 64, budget };
    Front::new(resp, listen(any).unwrap(), Token(0), poll.registry(), clock, room).unwrap()
}

#[test]
fn one_client_has_a_bounded_say_in_a_turn_of_the_loop() {
    let poll = Poll::new().unwrap();
    let (clock, second, now) = (Clock::start(), Duration::from_secs(1), Instant::now());
    let room = Room { easy: 4, clients: 4, crowd: 0, leaving: 1, bytes: 1 << 20 };
    let mut front = front(&poll, clock, room);
    let mut core = Core::new(clock, second);
    let mut client = std::net::TcpStream::connect(front.address().unwrap()).unwrap();
    let ping = b"*1\r\n$4\r\nPING\r\n";
    client.write_all(&ping.repeat(3 * MOST_TAKEN)).unwrap();
    while front.len() == 0 {
        front.knock(now);
        front.turn(now, poll.registry(), || Token(16), &mut core);
    }
    let mut answered = |front: &mut Front<resp::Resp>, turn: &mut dyn FnMut(&mut Front<resp::Resp>)| {
        turn(front);
        let mut bytes = [0; 4096];
        client.set_read_timeout(Some(second)).unwrap();
        client.read(&mut bytes).unwrap() / b"+PONG\r\n".len()
    };
    let first = answered(&mut front, &mut |front| front.ready(now, 16, &mut core));
    assert_eq!(first, MOST_TAKEN);
    assert_eq!(front.next_timer(now), now, "it goes on at once");
    let next = &mut |front: &mut Front<resp::Resp>| {
        front.turn(now, poll.registry(), || Token(20), &mut core);
    };
    assert_eq!(answered(&mut front, next), MOST_TAKEN);
}

#[test]
fn a_turn_hears_a_bounded_number_of_clients_and_no_client_that_waits_makes_room() {
    let poll = Poll::new().unwrap();
    let (clock, second, start) = (Clock::start(), Duration::from_secs(1), Instant::now());
    let count = MOST_HEARD + 6;
    let room = Room { easy: count, clients: count, crowd: 0, leaving: 1, bytes: 1 << 20 };
    let mut front = front(&poll, clock, room);
    let (mut core, mut token) = (Core::new(clock, second), 0);
    let address = front.address().unwrap();
    let mut clients: Vec<_> = (0..count).map(|_| std::net::TcpStream::connect(address).unwrap()).collect();
    let mut next = || {
        token += 16;
        Token(token)
    };
    while front.len() < count {
        front.knock(start);
        front.turn(start, poll.registry(), &mut next, &mut core);
    }
    clients.iter_mut().for_each(|client| client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap());
    let ids: Vec<usize> = front.clients.keys().copied().collect();
    ids.iter().for_each(|id| front.told(start, *id, false, &mut core));
    // A loop that comes to it late: they have said something, and are not the silent ones.
    let late = start + SILENT_BEFORE_ROOM * 2;
    assert!(!front.close_an_idle_one(late, true));
    let heard = |front: &Front<resp::Resp>| front.clients.values().filter(|it| !it.queued).count();
    front.turn(late, poll.registry(), &mut next, &mut core);
    assert_eq!(heard(&front), MOST_HEARD);
    assert_eq!(front.next_timer(late), late, "it goes on at once");
    front.turn(late, poll.registry(), &mut next, &mut core);
    assert_eq!((heard(&front), front.len()), (count, count));
    for client in &mut clients {
        let mut answer = [0; 7];
        client.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        client.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"+PONG\r\n");
    }
}

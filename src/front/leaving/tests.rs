use super::super::reading::READ_TIMEOUT;
use super::*;
use mio::{Poll, Token};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Bytes that the buffers of one connection hold, and more than its peer's buffer does.
const LONG: usize = 1 << 20;

/// A connection on which a long answer was written that its client has not read, and the client.
fn unread_answer(poll: &Poll) -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    client.set_recv_buffer_size(64 * 1024).unwrap();
    client.connect(&listener.local_addr().unwrap().into()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    let mut conn = Conn::new(mio::net::TcpStream::from_std(stream), Token(0), poll.registry()).unwrap();
    conn.push(&vec![b'x'; LONG]);
    conn.flush().unwrap();
    assert!(conn.unwritten() == 0 && conn.undelivered() > 0, "the answer is with the kernel");
    (conn, client.into())
}

/// Waits until the client's system has acknowledged everything, which it may do with a delay.
fn wait_until_delivered(lingering: &LingeringConns, id: usize) {
    let limit = Instant::now() + Duration::from_secs(20);
    while lingering.conns[&id].conn.undelivered() > 0 {
        assert!(Instant::now() < limit);
    }
}

/// Guards against a long answer that is cut off while its client reads it (review/9): the connection was dropped a second
/// after the close, and the next bytes from the client reset it.
#[test]
fn a_connection_lingers_as_long_as_its_client_goes_on_reading() {
    let poll = Poll::new().unwrap();
    let (conn, mut client) = unread_answer(&poll);
    let start = Instant::now();
    let mut lingering = LingeringConns::default();
    lingering.add(start, 1, conn, 1);
    let mut at = start;
    for _ in 0..4 {
        at += READ_TIMEOUT / 2;
        client.read_exact(&mut [0; LONG / 8]).unwrap();
        lingering.run_iteration(at);
        assert_eq!(lingering.len(), 1, "the client goes on reading");
    }
    client.write_all(b"the next command").unwrap();
    lingering.run_iteration(at);
    client.read_exact(&mut [0; LONG / 2]).unwrap();
    assert_eq!(client.read(&mut [0; 1]).unwrap(), 0, "an orderly end");
    wait_until_delivered(&lingering, 1);
    lingering.run_iteration(at + LINGER_TIMEOUT);
    assert!(lingering.is_empty(), "it has received everything");
}

#[test]
fn a_connection_whose_client_reads_nothing_is_dropped_in_the_end() {
    let poll = Poll::new().unwrap();
    let (conn, _client) = unread_answer(&poll);
    let start = Instant::now();
    let mut lingering = LingeringConns::default();
    lingering.add(start, 1, conn, 1);
    lingering.run_iteration(start + LINGER_TIMEOUT);
    assert_eq!(lingering.len(), 1, "it may still read");
    lingering.run_iteration(start + 2 * LINGER_TIMEOUT + READ_TIMEOUT);
    assert!(lingering.is_empty());
}

#[test]
fn above_the_limit_a_connection_that_is_still_read_is_not_the_first_to_be_dropped() {
    let poll = Poll::new().unwrap();
    let (mut lingering, now) = (LingeringConns::default(), Instant::now());
    let (conn, _reader) = unread_answer(&poll);
    lingering.add(now, 1, conn, 2);
    let (conn, mut done) = unread_answer(&poll);
    done.read_exact(&mut [0; LONG]).unwrap();
    lingering.add(now, 2, conn, 2);
    assert_eq!(done.read(&mut [0; 1]).unwrap(), 0);
    wait_until_delivered(&lingering, 2);
    let (conn, _third) = unread_answer(&poll);
    lingering.add(now, 3, conn, 2);
    assert!(lingering.conns.contains_key(&1) && lingering.conns.contains_key(&3));
}

use super::*;
use mio::net::UnixStream;
use mio::Interest;
use std::io::Write;

fn watched(poll: &Poll, token: Token) -> (UnixStream, UnixStream) {
    let (mut watched, other) = UnixStream::pair().unwrap();
    poll.registry().register(&mut watched, token, Interest::READABLE).unwrap();
    (watched, other)
}

/// What comes between the end of a wait and the reading of the clock belongs to that turn: its timers are judged by that clock.
#[test]
fn what_became_ready_after_the_wait_is_found_before_the_timers() {
    let mut poll = Poll::new().unwrap();
    let (_first, mut one) = watched(&poll, Token(1));
    let (_second, mut two) = watched(&poll, Token(2));
    let mut readiness = Readiness::new();
    one.write_all(b"x").unwrap();
    readiness.wait(&mut poll, Duration::from_secs(20)).unwrap();
    two.write_all(b"x").unwrap();
    assert!(readiness.contains(Token(1)) && !readiness.contains(Token(2)));
    readiness.poll_again(&mut poll).unwrap();
    let found: Vec<_> = readiness.iter().collect();
    assert_eq!(found, [(Token(1), Ready::Readable), (Token(2), Ready::Readable)]);
    readiness.wait(&mut poll, Duration::ZERO).unwrap();
    assert_eq!(readiness.iter().count(), 0, "each is told of once");
}

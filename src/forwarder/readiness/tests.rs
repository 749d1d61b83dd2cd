use super::*;
use mio::net::UnixStream;
use mio::Interest;
use std::io::Write;

fn registered_stream(poll: &Poll, token: Token) -> (UnixStream, UnixStream) {
    let (mut watched, other) = UnixStream::pair().unwrap();
    poll.registry().register(&mut watched, token, Interest::READABLE).unwrap();
    (watched, other)
}

/// An event that arrives between the end of the wait and the reading of the clock belongs to the same iteration as
/// the timers judged by that clock.
#[test]
fn polling_again_adds_events_that_occurred_after_the_wait() {
    let mut poll = Poll::new().unwrap();
    let (_first, mut one) = registered_stream(&poll, Token(1));
    let (_second, mut two) = registered_stream(&poll, Token(2));
    let mut readiness = Readiness::new();
    one.write_all(b"x").unwrap();
    readiness.wait(&mut poll, Duration::from_secs(20)).unwrap();
    two.write_all(b"x").unwrap();
    assert!(readiness.contains(Token(1)) && !readiness.contains(Token(2)));
    readiness.poll_again(&mut poll).unwrap();
    let found: Vec<_> = readiness.iter().collect();
    assert_eq!(found, [(Token(1), Ready::Readable), (Token(2), Ready::Readable)]);
    readiness.wait(&mut poll, Duration::ZERO).unwrap();
    assert_eq!(readiness.iter().count(), 0, "each event is reported once");
}

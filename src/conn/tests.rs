use super::*;

/// Results of successive reads; after them reads would block.
struct Reads(VecDeque<std::io::Result<&'static [u8]>>);

impl Read for Reads {
    fn read(&mut self, space: &mut [u8]) -> std::io::Result<usize> {
        let bytes = self.0.pop_front().unwrap_or_else(|| Err(ErrorKind::WouldBlock.into()))?;
        space[..bytes.len()].copy_from_slice(bytes);
        Ok(bytes.len())
    }
}

#[test]
fn reading_goes_on_after_short_and_interrupted_reads() {
    let reads = [Ok(&b"a"[..]), Err(ErrorKind::Interrupted.into()), Ok(b"bc"), Ok(b"d")];
    let (mut reads, mut input) = (Reads(reads.into()), Vec::new());
    assert_eq!(read_all(&mut reads, &mut input, 100), ReadEnd::Blocked);
    assert_eq!(input, b"abcd");
}

#[test]
fn close_and_failure_after_a_short_read_are_seen_at_once() {
    for (last, end) in [(Ok(&b""[..]), ReadEnd::Closed), (Err(ErrorKind::TimedOut.into()), ReadEnd::Broken)] {
        let (mut reads, mut input) = (Reads([Ok(&b"ab"[..]), last].into()), Vec::new());
        assert_eq!(read_all(&mut reads, &mut input, 100), end);
        assert_eq!(input, b"ab");
    }
}

#[test]
fn reading_pauses_at_the_limit() {
    let (mut reads, mut input) = (Reads([Ok(&b"ab"[..]), Ok(b"c")].into()), Vec::new());
    assert_eq!(read_all(&mut reads, &mut input, 2), ReadEnd::Paused);
    assert_eq!(input, b"ab");
}

/// Guards against an answer that counts as begun although its client has no byte of it.
#[test]
fn output_that_a_full_socket_does_not_accept_is_not_begun_and_stays_with_the_caller() {
    let poll = mio::Poll::new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    let mut sent = 0;
    while let Ok(count) = stream.write(&[b'a'; CHUNK_BYTES]) {
        sent += count;
    }
    let mut conn = Conn::new(TcpStream::from_std(stream), Token(0), poll.registry()).unwrap();
    let length = sent + 8 * CHUNK_BYTES;
    let mut bytes = vec![b'b'; length];
    assert!(!conn.begin(&mut bytes).unwrap());
    assert_eq!((bytes.len(), conn.unwritten()), (length, 0));
    let reader = std::thread::spawn(move || {
        let mut received = vec![0; sent + length];
        peer.read_exact(&mut received).unwrap();
        received
    });
    while !conn.begin(&mut bytes).unwrap() {}
    assert!(bytes.is_empty());
    while conn.unwritten() > 0 {
        conn.flush().unwrap();
    }
    assert_eq!(reader.join().unwrap(), [vec![b'a'; sent], vec![b'b'; length]].concat());
}

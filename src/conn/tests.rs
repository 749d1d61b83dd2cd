use super::*;

/// What a stream's reads give, one after another; then nothing more for now.
struct Reads(VecDeque<std::io::Result<&'static [u8]>>);

impl Read for Reads {
    fn read(&mut self, room: &mut [u8]) -> std::io::Result<usize> {
        let bytes = self.0.pop_front().unwrap_or_else(|| Err(ErrorKind::WouldBlock.into()))?;
        room[..bytes.len()].copy_from_slice(bytes);
        Ok(bytes.len())
    }
}

#[test]
fn short_and_interrupted_reads_are_followed_until_nothing_is_left() {
    let reads = [Ok(&b"a"[..]), Err(ErrorKind::Interrupted.into()), Ok(b"bc"), Ok(b"d")];
    let (mut reads, mut input) = (Reads(reads.into()), Vec::new());
    assert_eq!(read_all(&mut reads, &mut input, 100), ReadEnd::Blocked);
    assert_eq!(input, b"abcd");
}

#[test]
fn an_end_and_a_break_after_a_short_read_are_seen_at_once() {
    for (last, end) in [(Ok(&b""[..]), ReadEnd::Closed), (Err(ErrorKind::TimedOut.into()), ReadEnd::Broken)] {
        let (mut reads, mut input) = (Reads([Ok(&b"ab"[..]), last].into()), Vec::new());
        assert_eq!(read_all(&mut reads, &mut input, 100), end);
        assert_eq!(input, b"ab");
    }
}

#[test]
fn no_more_is_read_than_may_lie_there() {
    let (mut reads, mut input) = (Reads([Ok(&b"ab"[..]), Ok(b"c")].into()), Vec::new());
    assert_eq!(read_all(&mut reads, &mut input, 2), ReadEnd::Paused);
    assert_eq!(input, b"ab");
}

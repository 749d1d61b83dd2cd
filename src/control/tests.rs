use super::*;

#[test]
fn only_complete_and_exact_calls_are_accepted() {
    for (line, call) in [
        ("ready\n", Call::Ready),
        ("ready\r\n", Call::Ready),
        (" disable-server  s-1 \n", Call::DisableServer("s-1".into())),
        ("enable-server s-1\r\nrest", Call::EnableServer("s-1".into())),
        ("drain\n", Call::Drain),
        ("resume\n", Call::Resume),
    ] {
        let end = line.find('\n').unwrap();
        assert!((0..=end).all(|cut| parse(&line.as_bytes()[..cut]).is_none()), "{line:?} cut short");
        assert_eq!(parse(line.as_bytes()), Some(Ok(call)), "{line:?}");
    }
    let long = [&b"disable-server "[..], &[b'x'; MAX_LINE_BYTES]].concat();
    for bad in [
        &b"\n"[..],
        b"Ready\n",
        b"ready now\n",
        b"disable-server\n",
        b"enable-server a b\n",
        b"disable-server \xff\n",
        b"drain\x00\n",
        b"*1\r\n$4\r\nPING\r\n",
        &long,
    ] {
        assert!(matches!(parse(bad), Some(Err(_))), "{bad:?}");
    }
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_get_a_reply_of_one_line(bytes: Vec<u8>) {
        let padded = [&bytes[..], &[b'x'; MAX_LINE_BYTES]].concat();
        let answer = reply(&parse(&padded).unwrap().map(|call| format!("{call:?}")));
        proptest::prop_assert!(answer.starts_with(b"200 ") || answer.starts_with(b"400 "));
        proptest::prop_assert_eq!(answer.iter().filter(|byte| **byte == b'\n').count(), 1);
    }
}

use super::*;

#[test]
fn an_incomplete_value_is_not_parsed() {
    let mut whole = command(&[b"OBJ.PUT", b"", b"\r\n$-1\r\n\x00\xff"]);
    let length = whole.len();
    whole.extend(b"*1");
    for cut in 0..length {
        assert_eq!(parse(&whole[..cut]), Ok(None), "cut at {cut}");
    }
    let words = [&b"OBJ.PUT"[..], b"", b"\r\n$-1\r\n\x00\xff"].map(|word| Value::Bulk(Some(word.to_vec())));
    assert_eq!(parse(&whole), Ok(Some((Value::Array(Some(words.to_vec())), length))));
}

#[test]
fn malformed_input_is_an_error_and_no_panic() {
    let bad: [&[u8]; 11] = [
        b"PING\r\n",
        b"*x\r\n",
        b"*-2\r\n",
        b"*65\r\n",
        b"$65537\r\n",
        b"$99999999999999999999\r\n",
        b"$+2\r\nab\r\n",
        b"$2\r\nabcd",
        b"*1\r\n*1\r\n",
        b"+a\n",
        &[b'+'; MAX_LINE_BYTES + 2],
    ];
    for input in bad {
        assert!(parse(input).is_err(), "{:?}", String::from_utf8_lossy(input));
    }
}

#[test]
fn a_head_is_parsed_before_its_bytes_and_only_at_its_index() {
    let whole = command(&[b"OBJ.PUT", b"x", &[7; 100]]);
    let start = whole.len() - 102;
    for cut in 0..start {
        assert_eq!(parse_head(&whole[..cut], 2, 100), Ok(None), "cut at {cut}");
    }
    let words = vec![b"OBJ.PUT".to_vec(), b"x".to_vec()];
    assert_eq!(
        parse_head(&whole[..start], 2, 100),
        Ok(Some(Head { elements: 3, words, length: 100, start }))
    );
    assert_eq!(parse_head(&whole, 3, 100), Ok(None), "there is no such element");
    assert!(parse_head(&whole, 2, 99).is_err(), "too long");
    assert_eq!(parse_head(b"+OK\r\n", 0, 100), Ok(None));
    assert_eq!(parse_head(b"*1\r\n$-1\r\n", 0, 100), Ok(None));
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected(bytes: Vec<u8>) {
        if let Ok(Some(head)) = parse_head(&bytes, 2, 100) {
            proptest::prop_assert!(head.start <= bytes.len());
        }
        if let Ok(Some((_, length))) = parse(&bytes) {
            proptest::prop_assert!(length <= bytes.len());
        }
    }
}

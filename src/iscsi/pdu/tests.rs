use super::*;

#[test]
fn a_pdu_is_encoded_as_in_the_rfc() {
    let mut bytes = Vec::new();
    Pdu::new(Opcode::NopOut, 0x01020304).with(24, 7).with_data(*b"abcde").write(&mut bytes);
    let mut wanted = [0u8; HEADER + 8];
    wanted[1] = 0x80;
    wanted[7] = 5;
    wanted[16..20].copy_from_slice(&[1, 2, 3, 4]);
    wanted[27] = 7;
    wanted[HEADER..HEADER + 5].copy_from_slice(b"abcde");
    assert_eq!(bytes, wanted);
}

#[test]
fn an_incomplete_pdu_is_not_parsed() {
    let pdu = Pdu::new(Opcode::DataIn, 9).with_data(vec![7; 13]);
    let mut bytes = Vec::new();
    pdu.write(&mut bytes);
    for cut in 0..bytes.len() {
        assert_eq!(Pdu::parse(&bytes[..cut], 16), Ok(None));
    }
    let (read, length) = Pdu::parse(&bytes, 16).unwrap().unwrap();
    assert_eq!((read.opcode(), read.task_tag(), read.data, length), (Some(Opcode::DataIn), 9, pdu.data, 64));
    assert!(Pdu::parse(&bytes, 12).is_err());
}

#[test]
fn sequence_numbers_wrap_around() {
    assert!(is_before(u32::MAX, 0) && is_before(1, 2) && !is_before(2, 2) && !is_before(0, u32::MAX));
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected(bytes in proptest::collection::vec(0u8.., 0..200)) {
        if let Ok(Some((_, length))) = Pdu::parse(&bytes, 100) {
            proptest::prop_assert!(length <= bytes.len());
        }
    }
}

use super::*;

#[test]
fn transfers_are_decoded_as_encoded() {
    let cdb = Cdb::transfer(true, 0x1_0000_0002, 3);
    assert_eq!(Cdb::parse(&cdb), Ok(Cdb::Transfer { write: true, block: 0x1_0000_0002, blocks: 3 }));
    let read_10 = [0x28, 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(Cdb::parse(&read_10), Ok(Cdb::Transfer { write: false, block: 256, blocks: 2 }));
    assert_eq!(Cdb::parse(&[0xff; 16]), Err(INVALID_OPCODE));
}

#[test]
fn unit_numbers_and_retry_delays_stay_in_range() {
    for lun in [0, 1, 255, 256, 16383] {
        assert_eq!(parse_lun_field(lun_field(lun)), Some(lun));
    }
    assert_eq!(parse_lun_field([0xc1, 0, 0, 0, 0, 0, 0, 0]), None);
    assert_eq!(
        [0, 1, 100, 101, 9_999_999].map(|ms| retry_delay(Duration::from_millis(ms))),
        [0, 1, 1, 2, 0x3fef]
    );
}

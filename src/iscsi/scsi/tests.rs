use super::*;

#[test]
fn transfers_are_read_as_written() {
    let cdb = Cdb::transfer(true, 0x1_0000_0002, 3);
    assert_eq!(Cdb::parse(&cdb), Ok(Cdb::Transfer { write: true, block: 0x1_0000_0002, blocks: 3 }));
    let read_10 = [0x28, 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(Cdb::parse(&read_10), Ok(Cdb::Transfer { write: false, block: 256, blocks: 2 }));
    assert_eq!(Cdb::parse(&[0xff; 16]), Err(INVALID_OPCODE));
}

#[test]
fn unit_numbers_and_delays_keep_their_bounds() {
    for lun in [0, 1, 255, 256, 16383] {
        assert_eq!(lun_of(lun_field(lun)), Some(lun));
    }
    assert_eq!(lun_of([0xc1, 0, 0, 0, 0, 0, 0, 0]), None);
    assert_eq!(
        [0, 1, 100, 101, 9_999_999].map(|ms| retry_delay(Duration::from_millis(ms))),
        [0, 1, 1, 2, 0x3fef]
    );
}

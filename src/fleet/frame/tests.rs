mod recorded;

use super::*;
use crate::fleet::update::MemberState;

fn frame(message: Message) -> Frame {
    let address = SocketAddr::from(([127, 0, 0, 1], 7200));
    let by = "w".to_string();
    let update = Update {
        name: "b".into(),
        address,
        generation: Generation(3),
        incarnation: 1,
        state: MemberState::Suspect { by },
    };
    Frame {
        from: "a".into(),
        generation: Generation(7),
        view: ViewId::default(),
        message,
        updates: vec![update],
    }
}

#[test]
fn a_frame_is_read_back_and_malformed_datagrams_are_rejected() {
    let tag = tag("palermo");
    let whole = frame(Message::Ping(7));
    let bytes = whole.write(tag);
    assert_eq!(Frame::read(&bytes, tag), Ok(whole.clone()));
    assert_eq!(Frame::read(&bytes, super::tag("other")), Err("another fleet"));
    for cut in 1..bytes.len() {
        assert!(Frame::read(&bytes[..cut], tag).is_err(), "cut at {cut}");
    }
    assert_eq!(Frame::read(&[bytes.clone(), vec![0]].concat(), tag), Err("more than a frame"));
    assert_eq!(Frame::read(&[&[9], &bytes[1..]].concat(), tag), Err("another version"));
    assert_eq!(Frame::read(&[0; MAX_DATAGRAM_BYTES + 1], tag), Err("too long"));
    let long = Frame { from: "x".repeat(MAX_NAME_BYTES + 1), ..whole.clone() };
    assert_eq!(Frame::read(&long.write(tag), tag), Err("out of bounds"));
    let none = frame(Message::Page { page: 1, pages: 1, entries: vec![] });
    assert_eq!(Frame::read(&none.write(tag), tag), Err("out of bounds"));
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_panic(bytes: Vec<u8>) {
        let bytes = [&[VERSION][..], &bytes].concat();
        proptest::prop_assert!(Frame::read(&bytes, 0).is_err() || bytes.len() > 8);
    }
}

use super::*;
use crate::fleet::life::Standing;

fn frame(word: Word) -> Frame {
    let address = SocketAddr::from(([127, 0, 0, 1], 7200));
    let by = "w".to_string();
    let rumor =
        Rumor { name: "b".into(), address, life: Life(3), claim: 1, standing: Standing::Suspect { by } };
    Frame { from: "a".into(), life: Life(7), view: ViewId::default(), word, rumors: vec![rumor] }
}

#[test]
fn what_is_written_is_read_and_nothing_else_is() {
    let tag = tag("palermo");
    let whole = frame(Word::Ping(7));
    let bytes = whole.write(tag);
    assert_eq!(Frame::read(&bytes, tag), Ok(whole.clone()));
    assert_eq!(Frame::read(&bytes, super::tag("other")), Err("another fleet"));
    for cut in 1..bytes.len() {
        assert!(Frame::read(&bytes[..cut], tag).is_err(), "cut at {cut}");
    }
    assert_eq!(Frame::read(&[bytes.clone(), vec![0]].concat(), tag), Err("more than a frame"));
    assert_eq!(Frame::read(&[&[9], &bytes[1..]].concat(), tag), Err("another version"));
    assert_eq!(Frame::read(&[0; MOST_BYTES + 1], tag), Err("too long"));
    let long = Frame { from: "x".repeat(LONGEST_NAME + 1), ..whole.clone() };
    assert_eq!(Frame::read(&long.write(tag), tag), Err("out of bounds"));
    let none = frame(Word::Page { page: 1, pages: 1, lines: vec![] });
    assert_eq!(Frame::read(&none.write(tag), tag), Err("out of bounds"));
}

proptest::proptest! {
    #[test]
    fn any_bytes_are_read_or_passed_over(bytes: Vec<u8>) {
        let bytes = [&[VERSION][..], &bytes].concat();
        proptest::prop_assert!(Frame::read(&bytes, 0).is_err() || bytes.len() > 8);
    }
}

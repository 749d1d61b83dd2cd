//! Datagrams recorded from an earlier build: during an upgrade members of both builds are in one fleet and have to
//! understand each other.

use super::*;
use crate::fixtures::{hex, records};

const DATAGRAMS: &str = include_str!("../../../../tests/fixtures/fleet/datagrams.hex");
/// The fleet's tag in each recorded datagram.
const LIGHTS: u64 = 0x3a89_8b8a_64d2_b3b4;
const BOOTSTRAP: u64 = 1_700_000_000_000 << 10 | 7;

fn frames() -> Vec<Frame> {
    records(DATAGRAMS).iter().map(|(_, bytes)| Frame::read(bytes, tag("lights")).unwrap()).collect()
}

#[test]
fn recorded_datagrams_are_read_and_written_back_unchanged() {
    for (name, bytes) in records(DATAGRAMS) {
        assert_eq!(bytes[0], 1, "{name}");
        let frame = Frame::read(&bytes, tag("lights")).unwrap();
        assert_eq!(hex(&frame.write(tag("lights"))), hex(&bytes), "{name}");
    }
    assert_eq!((VERSION, tag("lights")), (1, LIGHTS));
}

#[test]
fn recorded_headers_and_updates_are_decoded_to_the_recorded_values() {
    let frames = frames();
    for frame in &frames {
        assert_eq!((frame.from.as_str(), frame.generation), ("n7", Generation(27)));
        assert_eq!((frame.view.bootstrap, frame.view.number), (BOOTSTRAP, 5));
    }
    let updates: Vec<_> = frames[0]
        .updates
        .iter()
        .map(|update| (&update.name[..], update.address.to_string(), update.generation.0, update.incarnation))
        .collect();
    let (v4, v6) = ("127.0.0.1:7201".to_string(), "[fd00::2]:7202".to_string());
    let expected =
        [("n1", v4.clone(), 31, 41), ("n2", v6, 32, 42), ("n3", v4.clone(), 33, 43), ("n4", v4, 34, 44)];
    assert_eq!(updates, expected);
    let states: Vec<_> = frames[0].updates.iter().map(|update| &update.state).collect();
    let [MemberState::Joining, MemberState::Alive, MemberState::Suspect { by }, MemberState::Leaving] =
        states[..]
    else {
        panic!("{states:?}")
    };
    assert_eq!(by, "n1");
}

#[test]
fn recorded_messages_are_decoded_to_the_recorded_values() {
    let frames = frames();
    let messages: Vec<_> = frames.iter().map(|frame| &frame.message).collect();
    let [Message::Ping(101), Message::Ack(102), Message::IndirectProbe { number: 103, name, address }, Message::IndirectResult { number: 104, reachable: true }, Message::Join, Message::NameTaken(Generation(105)), Message::Fetch(3), Message::Page { page: 1, pages: 2, entries }, Message::Prepare { ballot: prepare, leaves }, Message::Promise { ballot: promise, accepted: Some((before, kept)), objections }, Message::Promise { ballot: bare, accepted: None, .. }, Message::Propose { ballot: propose, change: first }, Message::Accepted(accepted), Message::Decided { after, change: later }] =
        messages[..]
    else {
        panic!("{messages:?}")
    };
    assert_eq!((name.as_str(), address.to_string().as_str()), ("n2", "[fd00::2]:7202"));
    assert!(matches!(&entries[0], ViewEntry::Member(it) if it.name == "n1" && it.generation.0 == 21));
    assert!(matches!(&entries[1], ViewEntry::Ended(name, Generation(19)) if name == "n9"));
    let rounds = [prepare, promise, before, bare, propose, accepted].map(|it| (it.round, it.by.as_str()));
    let expected = [(106, "n1"), (107, "n1"), (100, "n2"), (108, "n1"), (109, "n1"), (110, "n1")];
    assert_eq!(rounds, expected);
    assert_eq!((&leaves[..], &objections[..]), (&["n3".to_string()][..], &["n5".to_string()][..]));
    assert_eq!((after.bootstrap, after.number), (BOOTSTRAP, 4));
    assert_eq!(kept, later);
    let joins = |change: &Change| -> Vec<_> {
        change.joins.iter().map(|it| format!("{} {} {}", it.name, it.generation.0, it.address)).collect()
    };
    assert_eq!((first.bootstrap, first.leaves.len()), (Some(BOOTSTRAP), 0));
    assert_eq!(joins(first), ["n1 21 127.0.0.1:7201", "n2 22 [fd00::2]:7202"]);
    assert_eq!((later.bootstrap, &later.leaves[..]), (None, &["n2".to_string(), "n3".to_string()][..]));
    assert_eq!(joins(later), ["n4 24 127.0.0.1:7201"]);
}

//! Compatibility with recorded frames: a process of an earlier build may still write and read them.

use super::*;
use crate::fixtures::{hex, record, records};
use std::io::Read;

const FRAMES: &str = include_str!("../../../tests/fixtures/upgrade/frames.hex");
const STATES: &str = include_str!("../../../tests/fixtures/upgrade/states.hex");

fn frame(bytes: &[u8]) -> Frame {
    let (head, payload) = bytes.split_at(4);
    assert_eq!(u32::from_le_bytes(head.try_into().unwrap()) as usize, payload.len());
    let (frame, rest) = postcard::take_from_bytes(payload).unwrap();
    assert!(rest.is_empty(), "{} bytes too many", rest.len());
    frame
}

/// The greeting and these frames, as a link writes them.
fn written(frames: &[Frame]) -> Vec<u8> {
    let (mut link, mut other) = pair();
    frames.iter().for_each(|frame| link.send(frame, vec![]).unwrap());
    link.flush().unwrap();
    drop(link);
    let mut bytes = Vec::new();
    other.read_to_end(&mut bytes).unwrap();
    bytes
}

#[test]
fn a_link_sends_the_recorded_greeting_first() {
    assert_eq!(hex(&written(&[])), hex(&record(FRAMES, "greeting")));
    assert_eq!(record(FRAMES, "greeting"), b"tpz-upgr\x02\x00");
}

#[test]
fn recorded_frames_are_read_and_written_back_unchanged() {
    let greeting = record(FRAMES, "greeting");
    let all: Vec<_> = records(FRAMES).into_iter().skip(1).chain(records(STATES)).collect();
    assert_eq!(all.len(), 13);
    for (name, bytes) in all {
        let frame = frame(&bytes);
        assert_eq!(hex(&written(&[frame])), hex(&[&greeting[..], &bytes].concat()), "{name}");
    }
}

#[test]
fn recorded_frames_are_received_by_a_link() {
    let (mut link, mut other) = pair();
    other.write_all(&record(FRAMES, "greeting")).unwrap();
    for name in ["ask", "take", "ban", "holds", "ends", "state-empty"] {
        other.write_all(&record(FRAMES, name)).unwrap();
    }
    other.write_all(&record(STATES, "state")).unwrap();
    let mut received = Vec::new();
    while received.len() < 7 {
        assert!(link.read().unwrap());
        while let Some((frame, _)) = link.next().unwrap() {
            received.push(frame);
        }
    }
    assert!(matches!(received[0], Frame::RequestListeners));
    assert!(matches!(received[1], Frame::TakeOver { admin: false }));
    assert!(matches!(received[4], Frame::Closing));
    assert!(matches!(received[6], Frame::State(_)));
}

#[test]
fn recorded_frames_decode_to_their_meaning() {
    let frames: Vec<Frame> = records(FRAMES).iter().skip(1).map(|(_, bytes)| frame(bytes)).collect();
    let [Frame::RequestListeners, Frame::Listeners(addresses), Frame::TakeOver { admin: true }, Frame::TakeOver { admin: false }, Frame::Refused, Frame::Client(input), Frame::Ban { name, unix, out: true }, Frame::Ban { out: false, .. }, Frame::Usage(descriptors, bytes), Frame::Closing, Frame::State(empty)] =
        &frames[..]
    else {
        panic!("unexpected frames")
    };
    let addresses: Vec<String> = addresses.iter().map(|address| format!("{address:?}")).collect();
    assert_eq!(addresses, ["Resp(127.0.0.1:6379)", "Iscsi([::1]:3260)", "Control(127.0.0.2:9000)"]);
    assert_eq!(input, b"*1\r\n$4\r\nPI");
    assert_eq!((name.as_str(), *unix), ("s-2", Duration::new(1_700_000_000, 5)));
    assert_eq!((*descriptors, *bytes), (12, 345_678));
    assert!(!empty.drained && empty.scheduler.is_none() && empty.fleet.is_none() && empty.list.is_none());
}

/// The names are those that [`frame::SCHEMA`] is checked by. Each number in `state-spread` is different, so that two
/// fields of the same type that are swapped show up.
#[test]
fn recorded_states_decode_to_the_recorded_fields() {
    for (name, text) in [
        ("state", include_str!("../../../tests/fixtures/upgrade/state.json")),
        ("state-spread", include_str!("../../../tests/fixtures/upgrade/state-spread.json")),
    ] {
        let recorded: serde_json::Value = serde_json::from_str(text).unwrap();
        let state = frame(&record(STATES, name));
        assert_eq!(serde_json::to_value(&state).unwrap(), recorded, "{name}");
    }
}

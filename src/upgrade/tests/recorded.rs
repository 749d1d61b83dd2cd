//! Compatibility with recorded frames: a process of an earlier build may still write and read them.

use super::*;
use crate::fixtures::{hex, record, records};
use serde_json::Value;
use std::collections::BTreeSet;
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
        assert_ne!(link.read().unwrap(), LinkRead::Ended);
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
    assert_eq!(input.bytes, b"*1\r\n$4\r\nPI");
    assert_eq!((name.as_str(), *unix), ("s-2", Duration::new(1_700_000_000, 5)));
    assert_eq!((*descriptors, *bytes), (12, 345_678));
    assert!(!empty.drained && empty.scheduler.is_none() && empty.fleet.is_none() && empty.list.is_none());
}

/// Names in the recorded JSON that differ from the present ones: path of the object, recorded name, present name. The
/// paths are recorded names too; `N` stands for any number, `[]` for an array's elements.
const RENAMED: &[(&str, &str, &str)] = &[
    (".State.nodes.nodes[][]", "fixed", "no_new_objects"),
    (".State.scheduler", "ask_list_at", "list_request_at"),
    (".State.scheduler", "further", "retry_times"),
    (".State.scheduler", "held", "queue"),
    (".State.scheduler", "keys", "key_queues"),
    (".State.scheduler", "level", "admission_level"),
    (".State.scheduler", "level_at", "admission_level_at"),
    (".State.scheduler", "look", "check_interval"),
    (".State.scheduler", "powers", "shard_rates"),
    (".State.scheduler", "shares", "limit_shares"),
    (".State.scheduler", "taken", "accepted_times"),
    (".State.scheduler", "try_wait", "longest_first_wait"),
    (".State.scheduler.classes[]", "ask", "requested"),
    (".State.scheduler.keys.N", "rest_until", "settle_until"),
    (".State.scheduler.keys.N", "turn", "last_attempted"),
    (".State.scheduler.nodes.N", "answered", "newest_answered"),
    (".State.scheduler.nodes.N", "bounds", "slots"),
    (".State.scheduler.nodes.N", "cold", "slow_start"),
    (".State.scheduler.nodes.N", "cold_share", "slow_start_share"),
    (".State.scheduler.nodes.N", "errors", "error_share"),
    (".State.scheduler.nodes.N", "level", "level_offset"),
    (".State.scheduler.nodes.N", "out", "in_flight"),
    (".State.scheduler.nodes.N.cold", "at", "updated_at"),
    (".State.scheduler.nodes.N.entry", "fixed", "no_new_objects"),
    (".State.scheduler.nodes.N.level", "at", "updated_at"),
    (".State.scheduler.powers.N", "at", "listed_at"),
    (".State.scheduler.powers.N", "served", "interval_units"),
    (".State.scheduler.requests.N", "asked", "first_asked_at"),
    (".State.scheduler.requests.N", "new", "spec"),
    (".State.scheduler.requests.N", "out", "in_flight"),
    (".State.scheduler.requests.N", "place", "position"),
    (".State.scheduler.requests.N", "taken", "accepted_at"),
    (".State.scheduler.requests.N", "withdrawn", "cancelled"),
    (".State.scheduler.requests.N.new", "volume_hosts", "volume_initiators"),
    (".State.scheduler.settings", "hosts", "initiators"),
    (".State.scheduler.settings.classes[]", "aim", "latency_target"),
    (".State.scheduler.settings.classes[]", "window", "dedup_window"),
    (".State.scheduler.settings.limits", "cancel", "allow_cancel"),
    (".State.scheduler.settings.limits", "most_held", "max_queued"),
    (".State.scheduler.settings.plans[]", "price", "worth_factor"),
    (".State.scheduler.settings.plans[].limit", "slack", "overdraft"),
    (".State.scheduler.settings.rules", "answer_slack", "answer_grace"),
    (".State.scheduler.settings.rules", "budget", "retry_budget"),
    (".State.scheduler.settings.rules", "cold", "slow_start_time"),
    (".State.scheduler.settings.rules", "cold_share", "slow_start_min_share"),
    (".State.scheduler.settings.rules", "fall", "overload_window"),
    (".State.scheduler.settings.rules", "fall_multiple", "overload_factor"),
    (".State.scheduler.settings.rules", "order_settle", "key_settle_time"),
    (".State.scheduler.settings.rules.budget", "free", "min_retries"),
    (".State.scheduler.settings.rules.budget", "share", "retry_ratio"),
    (".State.scheduler.settings.units", "cold_units", "slow_start_units"),
    (".State.scheduler.settings.units", "meter", "usage_period"),
    (".State.scheduler.volumes.N", "elsewhere", "served_elsewhere"),
    (".State.scheduler.volumes.N", "place", "position"),
    (".State.scheduler.volumes.N", "terms", "plan_and_initiators"),
    (".State.scheduler.volumes.N", "told", "reported_rate"),
    (".State.scheduler.volumes.N.asked", "at", "updated_at"),
    (".State.scheduler.volumes.N.elsewhere", "at", "updated_at"),
    (".State.scheduler.volumes.N.limit", "at", "updated_at"),
    (".State.scheduler.volumes.N.served", "at", "updated_at"),
];

/// The recorded value with its present names. Two names of one object never become one. Adds the rows of `RENAMED`
/// that were applied to `applied`.
fn renamed(value: &Value, path: &str, applied: &mut BTreeSet<usize>) -> Value {
    match value {
        Value::Object(fields) => {
            let mut result = serde_json::Map::new();
            for (name, field) in fields {
                let step = if name.parse::<u64>().is_ok() { "N" } else { name };
                let row = RENAMED.iter().position(|(object, old, _)| *object == path && old == name);
                applied.extend(row);
                let present = row.map_or(name.as_str(), |row| RENAMED[row].2);
                let field = renamed(field, &format!("{path}.{step}"), applied);
                assert!(result.insert(present.to_string(), field).is_none(), "{path}.{present} twice");
            }
            Value::Object(result)
        }
        Value::Array(elements) => {
            elements.iter().map(|element| renamed(element, &format!("{path}[]"), applied)).collect()
        }
        other => other.clone(),
    }
}

/// The names are those that [`frame::SCHEMA`] is checked by. Each number in `state-spread` is different, so that two
/// fields of the same type that are swapped show up.
#[test]
fn recorded_states_decode_to_the_recorded_fields() {
    let mut applied = BTreeSet::new();
    for (name, text) in [
        ("state", include_str!("../../../tests/fixtures/upgrade/state.json")),
        ("state-spread", include_str!("../../../tests/fixtures/upgrade/state-spread.json")),
    ] {
        let recorded: Value = serde_json::from_str(text).unwrap();
        let recorded = renamed(&recorded, "", &mut applied);
        let state = frame(&record(STATES, name));
        assert_eq!(serde_json::to_value(&state).unwrap(), recorded, "{name}");
    }
    assert_eq!(applied.len(), RENAMED.len(), "a renamed field that is not recorded");
}

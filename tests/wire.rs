//! The frames of the simulator's adapter: what it reads and writes, and how it exits on malformed input.

#[path = "../src/bin/topazpath-wirehost/frames.rs"]
mod frames;

use frames::{read_header, read_records, BatchHeader, Record, Reply, HEADER_BYTES};
use proptest::prelude::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::Duration;
use topazpath::interface::*;

const SETTINGS: &str = r#"{"siblings": 2, "tick_ms": 1.0, "discovery": "pushed", "never_seen": [1],
    "classes": [{"aim_ms": 300, "hard_limit_ms": 2000, "worth": 1, "late_worth": 0.1, "effect": "read_like"}],
    "contract": {"grace_to_answer_ms": 8, "drain_grace_ms": 1000, "cold_from": 0.2, "warm_after_ms": 9000,
                 "tip_multiple": 3, "fall_ms": 1000},
    "limits": {"attempts_cap": 3, "connect_timeout_ms": 200, "retry_after": true, "max_retry_after_ms": 500}}"#;

fn record(code: u8, parts: &[&[u8]]) -> Vec<u8> {
    let fields = parts.concat();
    [&[code][..], &(fields.len() as u32).to_le_bytes(), &fields].concat()
}

fn batch(sequence: u32, now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let count = (records.len() as u32).to_le_bytes();
    let head = [&sequence.to_le_bytes()[..], &(body.len() as u32).to_le_bytes(), &now.to_le_bytes(), &count];
    [&head.concat()[..], &body].concat()
}

fn select(instance: u32) -> Vec<u8> {
    record(7, &[&instance.to_le_bytes()])
}

fn start_record(settings: &str) -> Vec<u8> {
    record(10, &[&7u64.to_le_bytes(), &(settings.len() as u32).to_le_bytes(), settings.as_bytes()])
}

fn list(kind: u8, node: u32) -> Vec<u8> {
    let entry = [
        &0u16.to_le_bytes()[..],
        &0f64.to_le_bytes(),
        &1f32.to_le_bytes(),
        &[0],
        &0u16.to_le_bytes(),
        &node.to_le_bytes(),
        &[1],
    ];
    record(1, &[&[kind], &1u64.to_le_bytes(), &1u32.to_le_bytes(), &entry.concat()])
}

fn request_record(id: u64, deadline: f64, shard: f32) -> Vec<u8> {
    let head =
        [&id.to_le_bytes()[..], &[0], &0u32.to_le_bytes(), &5u64.to_le_bytes(), &deadline.to_le_bytes()];
    let tail =
        [&9u64.to_le_bytes()[..], &2f32.to_le_bytes(), &shard.to_le_bytes(), &1f32.to_le_bytes(), &[0]];
    record(5, &[&head.concat(), &tail.concat()])
}

fn outcome_record(id: u64, code: u16) -> Vec<u8> {
    let head =
        [&id.to_le_bytes()[..], &3u16.to_le_bytes(), &code.to_le_bytes(), &[1, 0], &251u16.to_le_bytes()];
    let tail = [&4u32.to_le_bytes()[..], &12.5f64.to_le_bytes(), &[1], &0.5f32.to_le_bytes()];
    record(11, &[&head.concat(), &tail.concat()])
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_topazpath-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may end before it has read everything.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn assert_exits_with_one_message(input: &[u8]) {
    let output = run(input);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("plain text");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.starts_with("topazpath-wirehost: "), "{text}");
}

fn parse(frame: &[u8]) -> Result<Vec<Record>, String> {
    let head: &[u8; HEADER_BYTES] = frame[..HEADER_BYTES].try_into().expect("a whole header");
    read_records(&read_header(head)?, &frame[HEADER_BYTES..])
}

#[test]
fn a_request_is_sent_and_an_empty_batch_gets_an_empty_reply() {
    let start = [select(3), start_record(SETTINGS), list(1, 4), request_record(77, 2500.0, 0.0)];
    let output = run(&[batch(1, 500.0, &[]), batch(2, 501.0, &start)].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout[..8], [1, 0, 0, 0, 0, 0, 0, 0]);
    let send = record(1, &[&77u64.to_le_bytes(), &4u32.to_le_bytes(), &2500f64.to_le_bytes()]);
    let instance = record(13, &[&3u32.to_le_bytes()]);
    let expected = [instance, send].concat();
    assert_eq!(output.stdout[8..12], 2u32.to_le_bytes());
    assert_eq!(output.stdout[16..16 + expected.len()], expected);
}

#[test]
fn a_restarted_or_stopped_instance_ignores_earlier_requests() {
    let start = [select(0), start_record(SETTINGS), list(1, 4)];
    let again = [select(0), record(9, &[]), start_record(SETTINGS), list(1, 4), outcome_record(77, 200)];
    let stop = [select(0), record(9, &[]), outcome_record(77, 200)];
    let input = [batch(1, 1.0, &start), batch(2, 2.0, &again), batch(3, 3.0, &stop)].concat();
    let output = run(&input);
    assert!(output.status.success());
    assert!(output.stdout.ends_with(&[3, 0, 0, 0, 0, 0, 0, 0]), "nothing is done for a stopped instance");
}

#[test]
fn malformed_input_ends_the_adapter_with_one_message() {
    let good = batch(1, 5.0, &[select(0), start_record(SETTINGS)]);
    assert_exits_with_one_message(&good[..good.len() - 3]);
    assert_exits_with_one_message(&good[..HEADER_BYTES - 5]);
    assert_exits_with_one_message(&batch(1, 5.0, &[start_record(SETTINGS)]));
    assert_exits_with_one_message(&batch(1, 5.0, &[select(0), record(99, &[&[1, 2]])]));
    assert_exits_with_one_message(&batch(1, 5.0, &[record(7, &[&[1, 2]])]));
    assert_exits_with_one_message(&batch(1, 5.0, &[record(7, &[&[1, 2, 3, 4, 5]])]));
    assert_exits_with_one_message(&batch(1, 5.0, &[select(0), start_record("{}")]));
    assert_exits_with_one_message(&batch(1, 5.0, &[select(0), start_record("not json")]));
    assert_exits_with_one_message(&batch(
        1,
        5.0,
        &[select(0), start_record(&SETTINGS.replace("read_like", "whatever"))],
    ));
    assert_exits_with_one_message(&batch(1, 5.0, &[select(0), start_record(SETTINGS), list(9, 4)]));
}

#[test]
fn outcome_codes_are_read_and_other_codes_are_unknown() {
    for (code, outcome) in [
        (200, Outcome::Served),
        (500, Outcome::Error),
        (503, Outcome::Rejected),
        (504, Outcome::TimedOut),
        (502, Outcome::NotConnected),
        (598, Outcome::Reset),
        (499, Outcome::Cancelled),
        (410, Outcome::NotSent),
        (777, Outcome::Unknown),
    ] {
        let end = AttemptEnd {
            id: RequestId(77),
            attempt: 1,
            node: NodeId(4),
            outcome,
            finished: false,
            latency: Duration::from_micros(12_500),
            volume_usage: Some(2.5),
            served_elsewhere: 3.0,
        };
        let records = parse(&batch(1, 1.0, &[outcome_record(77, code)])).expect("well formed");
        assert_eq!(records, [Record::Event(Event::AttemptEnded(end))]);
    }
}

#[test]
fn every_action_is_written_as_specified() {
    let mut reply = Reply::default();
    reply.select(5);
    reply.internal_error("why");
    let actions = [
        Action::Refuse { id: RequestId(1), retry_after: Duration::from_millis(250) },
        Action::Fail { id: RequestId(2) },
        Action::Cancel { id: RequestId(3), attempt: 1 },
        Action::WakeAt(Duration::from_millis(9)),
        Action::Subscribe,
    ];
    actions.iter().for_each(|action| reply.action(action));
    let expected = [
        record(13, &[&5u32.to_le_bytes()]),
        record(10, &[&3u16.to_le_bytes(), b"why"]),
        record(2, &[&1u64.to_le_bytes(), &250f64.to_le_bytes()]),
        record(3, &[&2u64.to_le_bytes()]),
        record(4, &[&3u64.to_le_bytes(), &[1]]),
        record(5, &[&9f64.to_le_bytes(), &0u64.to_le_bytes()]),
        record(11, &[&[1]]),
    ];
    assert_eq!(reply.into_frame(6)[8..], expected.concat());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_are_read_as_they_were_written(id in 0u64..1 << 52, deadline in 0u32.., shard in -1i32..65536) {
        let records = parse(&batch(1, 1.0, &[request_record(id, deadline.into(), shard as f32)])).expect("well formed");
        let expected = NewRequest {
            id: RequestId(id),
            class: 0,
            plan: 0,
            volume: VolumeId(9),
            key: 5,
            deadline: Duration::from_millis(deadline.into()),
            units: 2.0,
            shard: u32::try_from(shard).ok(),
            volume_initiators: 1.0,
        };
        prop_assert_eq!(records, [Record::Event(Event::Request(expected))]);
    }

    #[test]
    fn no_bytes_make_the_reader_panic(body in prop::collection::vec(any::<u8>(), 0..200), records in 0u32..9) {
        let header = BatchHeader { sequence: 1, length: body.len() as u32, now: Duration::from_millis(1), records };
        if let Ok(read) = read_records(&header, &body) {
            prop_assert_eq!(read.len(), records as usize);
        }
    }
}

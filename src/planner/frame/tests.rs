//! Encoding and decoding of messages.

mod recorded;

use super::*;

#[test]
fn messages_are_decoded_once_complete_and_malformed_ones_are_refused() {
    let hello = ToPlanner::Hello { schema: SCHEMA, forwarder: "n1".into() };
    let mut bytes = Vec::new();
    encode(&hello, &mut bytes);
    encode(&hello, &mut bytes);
    let mut received = Vec::new();
    let mut count = 0;
    for byte in &bytes {
        received.push(*byte);
        if let Some(message) = decode::<ToPlanner>(&mut received).unwrap() {
            assert_eq!(message, hello);
            count += 1;
        }
    }
    assert_eq!((count, received.len()), (2, 0));
    assert!(decode::<ToPlanner>(&mut vec![0xc0, 0, 0, 0]).unwrap_err().contains("at most"));
    assert!(decode::<ToPlanner>(&mut vec![0, 0, 0, 1, 77]).is_err());
}

/// A planner of this schema must be able to read the schema number in the greeting of any other.
#[test]
fn the_schema_number_has_a_fixed_position_in_the_greeting() {
    let mut bytes = Vec::new();
    encode(&ToPlanner::Hello { schema: 300, forwarder: "x".into() }, &mut bytes);
    assert_eq!(bytes, [0, 0, 0, 5, 0, 0xac, 0x02, 1, b'x']);
}

/// The schema number is at the same position in the first message of a planner, an operator or an initiator.
#[test]
fn each_first_message_begins_with_its_kind_and_the_schema() {
    let mut peer = Vec::new();
    encode(&ToPlanner::PeerHello { schema: 300, planner: "x".into() }, &mut peer);
    assert_eq!(peer, [0, 0, 0, 5, 6, 0xac, 0x02, 1, b'x']);
    let mut operator = Vec::new();
    encode(&ToPlanner::Operator { schema: 300, request: OperatorRequest::Status }, &mut operator);
    assert_eq!(operator, [0, 0, 0, 4, 8, 0xac, 0x02, 2]);
}

#[test]
fn a_message_over_the_limit_is_refused_by_its_length_alone() {
    let mut bytes = Vec::new();
    encode(&ToPlanner::Hello { schema: SCHEMA, forwarder: "x".repeat(100) }, &mut bytes);
    assert!(decode_bounded::<ToPlanner>(&mut bytes.clone(), 100).unwrap_err().contains("at most 100"));
    assert!(decode_bounded::<ToPlanner>(&mut bytes[..LENGTH_BYTES].to_vec(), 100).is_err());
    assert!(decode_bounded::<ToPlanner>(&mut bytes, 200).unwrap().is_some());
}

//! Messages as bytes.

mod recorded;

use super::*;

#[test]
fn messages_are_taken_whole_and_nothing_else_is() {
    let hello = ToPlanner::Hello { schema: SCHEMA, forwarder: "n1".into() };
    let mut bytes = Vec::new();
    encode(&hello, &mut bytes);
    encode(&hello, &mut bytes);
    let mut came = Vec::new();
    let mut taken = 0;
    for byte in &bytes {
        came.push(*byte);
        if let Some(message) = decode::<ToPlanner>(&mut came).unwrap() {
            assert_eq!(message, hello);
            taken += 1;
        }
    }
    assert_eq!((taken, came.len()), (2, 0));
    assert!(decode::<ToPlanner>(&mut vec![0xc0, 0, 0, 0]).unwrap_err().contains("at most"));
    assert!(decode::<ToPlanner>(&mut vec![0, 0, 0, 1, 77]).is_err());
}

/// A planner of this schema reads the number in a greeting of any other.
#[test]
fn the_number_of_the_schema_is_where_it_always_is() {
    let mut bytes = Vec::new();
    encode(&ToPlanner::Hello { schema: 300, forwarder: "x".into() }, &mut bytes);
    assert_eq!(bytes, [0, 0, 0, 5, 0, 0xac, 0x02, 1, b'x']);
}

/// A message of a planner, an operator or an initiator of another schema shows its number at the same place.
#[test]
fn first_messages_begin_with_their_kind_and_the_schema() {
    let mut peer = Vec::new();
    encode(&ToPlanner::PeerHello { schema: 300, planner: "x".into() }, &mut peer);
    assert_eq!(peer, [0, 0, 0, 5, 6, 0xac, 0x02, 1, b'x']);
    let mut operator = Vec::new();
    encode(&ToPlanner::Operator { schema: 300, request: OperatorRequest::Status }, &mut operator);
    assert_eq!(operator, [0, 0, 0, 4, 8, 0xac, 0x02, 2]);
}

#[test]
fn a_message_beyond_what_is_awaited_is_refused_before_it_has_come() {
    let mut bytes = Vec::new();
    encode(&ToPlanner::Hello { schema: SCHEMA, forwarder: "x".repeat(100) }, &mut bytes);
    assert!(decode_bounded::<ToPlanner>(&mut bytes.clone(), 100).unwrap_err().contains("at most 100"));
    assert!(decode_bounded::<ToPlanner>(&mut bytes[..LENGTH_BYTES].to_vec(), 100).is_err());
    assert!(decode_bounded::<ToPlanner>(&mut bytes, 200).unwrap().is_some());
}

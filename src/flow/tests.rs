use super::*;
use crate::memory::{Budget, Limits};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_body_is_read_back_as_pushed_within_its_buffer_limit(
        length in 1usize..300_000,
        granted: bool,
        steps in prop::collection::vec((1usize..70_000, 1usize..70_000), 1..200),
    ) {
        let long_values = if granted { length } else { 0 };
        let budget = Budget::new(Limits { long_values, ..Limits::NONE });
        let (body_stream, body) = (BodyStream::take(&budget, length), (0..length).map(|at| (at % 251) as u8).collect::<Vec<_>>());
        let mut sent: Vec<u8> = Vec::new();
        for (read, write) in steps.iter().cycle().take(10_000) {
            let received = body_stream.received();
            let count = body_stream.capacity().min(*read);
            body_stream.push(&body[received..received + count]);
            let max = if granted { length } else { WINDOW };
            prop_assert!(body_stream.0.borrow().buffered.len() <= max);
            let bytes = body_stream.copy(sent.len(), *write);
            sent.extend(&bytes);
            body_stream.release(sent.len());
            prop_assert!(granted == body_stream.is_replayable() || sent.is_empty() == body_stream.is_replayable());
            if sent.len() == length {
                break;
            }
        }
        prop_assert_eq!(sent, body);
        prop_assert!(body_stream.is_complete());
        drop(body_stream);
        prop_assert_eq!(budget.total(), 0);
    }
}

#[test]
fn a_discarded_body_drops_further_bytes_and_returns_its_grant() {
    let budget = Budget::new(Limits::NONE);
    let body_stream = BodyStream::take(&budget, 200_000);
    body_stream.push(&[1; 1000]);
    body_stream.discard();
    assert_eq!((budget.total(), body_stream.capacity(), body_stream.is_replayable()), (0, 199_000, false));
    body_stream.push(&[1; 199_000]);
    assert!(body_stream.is_complete() && body_stream.copy(0, 9).is_empty());
}

#[test]
fn a_body_without_memory_is_dropped_as_it_comes() {
    let budget = Budget::new(Limits { long_values: 0, windows: WINDOW, ..Limits::NONE });
    let window = BodyStream::take(&budget, 200_000);
    let dropped = BodyStream::take(&budget, 200_000);
    assert_eq!((window.capacity(), window.is_discarded()), (WINDOW, false));
    assert_eq!((dropped.capacity(), dropped.is_discarded(), budget.total()), (200_000, true, WINDOW));
}

use super::*;

#[test]
fn tokens_are_unique_and_tell_their_kind() {
    let mut tokens = Tokens::new();
    let given: Vec<_> = ALL.iter().chain(&ALL).map(|kind| (tokens.next(*kind).0, *kind)).collect();
    for (at, (token, kind)) in given.iter().enumerate() {
        assert_eq!(Kind::of(*token), Some(*kind));
        assert!(given[..at].iter().all(|(other, _)| other != token));
    }
    assert_eq!((Kind::of(0), Kind::of(FIRST_FREE + STRIDE - 1)), (None, None));
}

use super::*;

fn update(generation: u64, incarnation: u32, state: MemberState) -> Update {
    let address = SocketAddr::from(([127, 0, 0, 1], 7200));
    Update { name: "a".into(), address, generation: Generation(generation), incarnation, state }
}

#[test]
fn updates_are_ordered_by_generation_then_incarnation_then_state_and_leaving_is_final() {
    let suspicion = || MemberState::Suspect { by: "b".into() };
    let order = [
        update(1, 0, MemberState::Joining),
        update(1, 0, MemberState::Alive),
        update(1, 0, suspicion()),
        update(1, 1, MemberState::Alive),
        update(1, 1, suspicion()),
        update(1, 0, MemberState::Leaving),
        update(2, 0, MemberState::Joining),
    ];
    for (at, earlier) in order.iter().enumerate() {
        assert!(!earlier.replaces(earlier), "{earlier:?}");
        for later in &order[at + 1..] {
            assert!(later.replaces(earlier) && !earlier.replaces(later), "{later:?} after {earlier:?}");
        }
    }
}

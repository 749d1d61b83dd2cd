use super::*;

fn update(generation: u64, incarnation: u32, standing: Standing) -> Update {
    let address = SocketAddr::from(([127, 0, 0, 1], 7200));
    Update { name: "a".into(), address, generation: Generation(generation), incarnation, standing }
}

#[test]
fn a_suspicion_beats_its_incarnation_a_higher_one_beats_the_suspicion_and_leaving_is_final() {
    let suspicion = || Standing::Suspect { by: "b".into() };
    let order = [
        update(1, 0, Standing::Joining),
        update(1, 0, Standing::Alive),
        update(1, 0, suspicion()),
        update(1, 1, Standing::Alive),
        update(1, 1, suspicion()),
        update(1, 0, Standing::Leaving),
        update(2, 0, Standing::Joining),
    ];
    for (at, earlier) in order.iter().enumerate() {
        assert!(!earlier.replaces(earlier), "{earlier:?}");
        for later in &order[at + 1..] {
            assert!(later.replaces(earlier) && !earlier.replaces(later), "{later:?} after {earlier:?}");
        }
    }
}

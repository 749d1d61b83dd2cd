use super::*;

fn rumor(life: u64, claim: u32, standing: Standing) -> Rumor {
    let address = SocketAddr::from(([127, 0, 0, 1], 7200));
    Rumor { name: "a".into(), address, life: Life(life), claim, standing }
}

#[test]
fn a_doubt_beats_its_claim_a_higher_claim_beats_the_doubt_and_a_life_that_leaves_has_left() {
    let doubt = || Standing::Suspect { by: "b".into() };
    let order = [
        rumor(1, 0, Standing::Joining),
        rumor(1, 0, Standing::Alive),
        rumor(1, 0, doubt()),
        rumor(1, 1, Standing::Alive),
        rumor(1, 1, doubt()),
        rumor(1, 0, Standing::Leaving),
        rumor(2, 0, Standing::Joining),
    ];
    for (at, earlier) in order.iter().enumerate() {
        assert!(!earlier.replaces(earlier), "{earlier:?}");
        for later in &order[at + 1..] {
            assert!(later.replaces(earlier) && !earlier.replaces(later), "{later:?} after {earlier:?}");
        }
    }
}

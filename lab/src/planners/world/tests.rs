use super::*;

fn faulty(planted: Planted, seed: u64) -> Play {
    Play {
        forwarders: 4,
        planners: 3,
        volumes: 2,
        time: Duration::from_secs(60),
        faults: true,
        lead: (2.0, 8.0),
        load: 1.5,
        division: Division::Planned,
        planted,
        seed,
        outage: None,
    }
}

#[test]
fn under_faults_no_limit_is_exceeded() {
    let _processor = crate::sync::processor::shared();
    for seed in 0..60 {
        let played = play(faulty(Planted::Nothing, seed));
        assert_eq!((played.oversummed, played.excess <= 1e-6), (0, true), "seed {seed}: {played:?}");
        assert!(played.faults > 20 && played.plans > 200 && played.sent > 100.0, "{played:?}");
    }
}

#[test]
fn deliberate_faults_are_found() {
    let _processor = crate::sync::processor::shared();
    for planted in [Planted::ReclaimsEarly, Planted::NotYoung] {
        let found = (0..60).any(|seed| play(faulty(planted, seed)).oversummed > 0);
        assert!(found, "{planted:?}");
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    let _processor = crate::sync::processor::shared();
    let [one, other] = [1, 1].map(|seed| play(faulty(Planted::Nothing, seed)));
    assert_eq!((one.sent, one.plans, one.faults), (other.sent, other.plans, other.faults));
}

#[test]
fn planned_parts_serve_skewed_use_better_than_even_ones() {
    let _processor = crate::sync::processor::shared();
    let calm = |division| {
        let skewed =
            Play { faults: false, lead: (6.0, 24.0), division, load: 0.9, ..faulty(Planted::Nothing, 1) };
        play(skewed).sent
    };
    let (even, planned, oracle) = (calm(Division::Even), calm(Division::Planned), calm(Division::Oracle));
    assert!(even < planned && planned <= oracle, "{even} {planned} {oracle}");
    assert!((planned - even) / (oracle - even) > 0.8, "{even} {planned} {oracle}");
}

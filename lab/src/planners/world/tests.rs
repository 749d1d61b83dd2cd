use super::*;

fn faulty(planted: Planted, seed: u64) -> Scenario {
    Scenario {
        forwarders: 4,
        planners: 3,
        volumes: 2,
        time: Duration::from_secs(60),
        faults: true,
        lead_duration: (2.0, 8.0),
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
        let outcome = simulate(faulty(Planted::Nothing, seed));
        assert_eq!((outcome.oversubscribed, outcome.excess <= 1e-6), (0, true), "seed {seed}: {outcome:?}");
        assert!(outcome.faults > 20 && outcome.plans > 200 && outcome.sent > 100.0, "{outcome:?}");
    }
}

#[test]
fn deliberate_faults_are_found() {
    let _processor = crate::sync::processor::shared();
    for planted in [Planted::ReclaimsEarly, Planted::NotYoung] {
        let found = (0..60).any(|seed| simulate(faulty(planted, seed)).oversubscribed > 0);
        assert!(found, "{planted:?}");
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    let _processor = crate::sync::processor::shared();
    let [one, other] = [1, 1].map(|seed| simulate(faulty(Planted::Nothing, seed)));
    assert_eq!((one.sent, one.plans, one.faults), (other.sent, other.plans, other.faults));
}

#[test]
fn planned_parts_serve_skewed_use_better_than_even_ones() {
    let _processor = crate::sync::processor::shared();
    let skewed_sent = |division| {
        let skewed = Scenario {
            faults: false,
            lead_duration: (6.0, 24.0),
            division,
            load: 0.9,
            ..faulty(Planted::Nothing, 1)
        };
        simulate(skewed).sent
    };
    let (even, planned, oracle) =
        (skewed_sent(Division::Even), skewed_sent(Division::Planned), skewed_sent(Division::Oracle));
    assert!(even < planned && planned <= oracle, "{even} {planned} {oracle}");
    assert!((planned - even) / (oracle - even) > 0.8, "{even} {planned} {oracle}");
}

use super::*;
use crate::sync::processor::{alone, steady};

fn arguments() -> Common {
    Common { short: true, json: false, seed: 7 }
}

#[test]
fn takeovers_of_every_kind_break_no_rule() {
    let _processor = alone();
    let program = program().unwrap();
    let (part, breaches) = steady(|| takeovers(&program, &arguments()).unwrap());
    assert!(breaches.none(), "{breaches:?}");
    for kind in ["kill", "freeze", "term", "return", "cut", "lossy"] {
        let gap = part[kind]["gap_ms"]["max"].as_f64().unwrap();
        // The guarantee for dashboards, which holds on any machine that runs this.
        assert!(gap > 0.0 && gap < 3000.0, "{kind}: {gap} ms");
    }
}

#[test]
fn two_machines_with_undivided_limits_are_found() {
    let _processor = alone();
    let program = program().unwrap();
    let (_, found) = steady(|| planted(&program, &arguments()).unwrap());
    assert!(found);
}

#[test]
fn percentiles_are_of_the_sorted_spans() {
    let spans: Vec<Duration> = (1..=200).rev().map(Duration::from_millis).collect();
    assert_eq!(percentiles_ms(&spans), [100.0, 198.0, 200.0]);
    assert_eq!(percentiles_ms(&spans[..1]), [200.0; 3]);
}

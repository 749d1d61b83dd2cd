use super::*;
use crate::revisions::document::PlanOverrides;

fn with_ceiling(ceiling: f64) -> Document {
    let figures = PlanOverrides { ceiling_rate: Some(ceiling), ..PlanOverrides::default() };
    Document { plans: [("base".to_string(), figures)].into(), ..Document::default() }
}

#[test]
fn a_time_is_written_as_a_date() {
    assert_eq!(utc(0), "1970-01-01T00:00:00Z");
    assert_eq!(utc(951_782_400_000), "2000-02-29T00:00:00Z");
    assert_eq!(utc(1_796_187_599_999), "2026-12-02T04:59:59Z");
}

#[test]
fn only_keys_that_differ_are_compared() {
    let mut other = with_ceiling(20.0);
    other.nodes_out.insert("s-1".into());
    assert_eq!(compare(&with_ceiling(40.0), &with_ceiling(40.0)), "");
    let text = compare(&with_ceiling(40.0), &other);
    assert!(text.contains("plans.base.ceiling_rate: 40.0 -> 20.0\n"), "{text}");
    assert!(text.contains("nodes_out: ") && text.contains("-> [\"s-1\"]\n"), "{text}");
    assert_eq!(text.lines().count(), 2, "{text}");
    let back = compare(&other, &Document::default());
    assert!(back.contains("plans.base.ceiling_rate: 20.0 -> (not stated)\n"), "{back}");
}

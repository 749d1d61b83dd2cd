use super::*;

fn attempt(at: Instant, item: &str, class: &str, units: f64) -> Attempt {
    let (plan, volume) = ("base".to_string(), "1".to_string());
    Attempt { at, node: 1, request_id: item.into(), class: class.into(), plan, volume, units }
}

fn item(sent: Instant, end: RequestEnd, machine: Option<usize>) -> SentRequest {
    let (answers, ended) = (usize::from(end == RequestEnd::Served), sent + Duration::from_millis(500));
    SentRequest { sent, ended, end, answers, machine }
}

fn conditions() -> Conditions {
    Conditions { limit: (10.0, 20.0), ..Conditions::default() }
}

#[test]
fn a_duplicate_answer_and_an_orphaned_item_are_counted() {
    let now = Instant::now();
    let twice = SentRequest { answers: 2, ..item(now, RequestEnd::Served, Some(0)) };
    let lost = item(now, RequestEnd::Closed, Some(0));
    let items =
        [twice, lost.clone(), item(now, RequestEnd::Served, Some(0)), item(now, RequestEnd::Closed, None)];
    let breaches = check(&items, &[], &conditions());
    assert_eq!((breaches.duplicates, breaches.orphans, breaches.none()), (1, 1, false));
    let dead = |initiator| Outage { initiator, from: now + Duration::from_millis(100), to: None };
    assert!(!is_orphan(&lost, &[dead(0)]));
    assert!(is_orphan(&lost, &[dead(1)]), "the outage was another initiator's");
    let ended =
        Outage { initiator: 0, from: now - Duration::from_secs(9), to: Some(now - Duration::from_secs(1)) };
    assert!(is_orphan(&lost, &[ended]));
}

#[test]
fn units_beyond_the_limit_are_counted_in_any_window() {
    let now = Instant::now();
    let sent = |count: u64, apart: u64| -> Vec<Attempt> {
        let at = |number| now + Duration::from_millis(apart * number);
        (0..count).map(|number| attempt(at(number), &number.to_string(), "read", 1.0)).collect()
    };
    assert_eq!(count_limit_breaches(&sent(500, 100), (10.0, 20.0)), 0, "at the rate");
    assert_eq!(count_limit_breaches(&sent(21, 0), (10.0, 20.0)), 0, "a burst");
    assert_eq!(count_limit_breaches(&sent(24, 0), (10.0, 20.0)), 3);
    assert!(count_limit_breaches(&sent(500, 90), (10.0, 20.0)) > 0, "a tenth too fast shows after a while");
}

#[test]
fn a_late_attempt_at_a_draining_node_and_a_repeated_append_are_counted() {
    let now = Instant::now();
    let drains = vec![Drain { node: 1, since: now, until: None }];
    let conditions = Conditions { drains, ..conditions() };
    let late = now + DRAIN_GRACE + DRAIN_TOLERANCE * 2;
    let attempts = [attempt(now, "a", "append", 1.0), attempt(late, "a", "append", 1.0)];
    let breaches = check(&[], &attempts, &conditions);
    assert_eq!((breaches.drain_breaches, breaches.attempts_twice), (1, 1));
    let reads: Vec<Attempt> = (0..4).map(|_| attempt(now, "b", "read", 1.0)).collect();
    assert_eq!(count_excess_attempts(&reads), 0);
}

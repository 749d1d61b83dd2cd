use super::*;

fn attempt(at: Instant, item: &str, class: &str, units: f64) -> Attempt {
    let (plan, volume) = ("base".to_string(), "1".to_string());
    Attempt { at, node: 1, request_id: item.into(), class: class.into(), plan, volume, units }
}

fn item(sent: Instant, end: RequestEnd, machine: Option<usize>) -> SentRequest {
    let (answers, ended) = (usize::from(end == RequestEnd::Served), sent + Duration::from_millis(500));
    SentRequest { sent, ended, end, answers, machine }
}

fn terms() -> Terms {
    Terms { limit: (10.0, 20.0), ..Terms::default() }
}

#[test]
fn a_planted_duplicate_and_an_orphan_are_found() {
    let now = Instant::now();
    let twice = SentRequest { answers: 2, ..item(now, RequestEnd::Served, Some(0)) };
    let lost = item(now, RequestEnd::Closed, Some(0));
    let items =
        [twice, lost.clone(), item(now, RequestEnd::Served, Some(0)), item(now, RequestEnd::Closed, None)];
    let breaches = check(&items, &[], &terms());
    assert_eq!((breaches.duplicates, breaches.orphans, breaches.none()), (1, 1, false));
    let dead = |machine| Trouble { machine, from: now + Duration::from_millis(100), to: None };
    assert!(!is_orphan(&lost, &[dead(0)]));
    assert!(is_orphan(&lost, &[dead(1)]), "another machine's trouble");
    let over =
        Trouble { machine: 0, from: now - Duration::from_secs(9), to: Some(now - Duration::from_secs(1)) };
    assert!(is_orphan(&lost, &[over]));
}

#[test]
fn a_planted_excess_is_found_in_whatever_window() {
    let now = Instant::now();
    let sent = |count: u64, apart: u64| -> Vec<Attempt> {
        let at = |number| now + Duration::from_millis(apart * number);
        (0..count).map(|number| attempt(at(number), &number.to_string(), "read", 1.0)).collect()
    };
    assert_eq!(beyond_limit(&sent(500, 100), (10.0, 20.0)), 0, "at the rate");
    assert_eq!(beyond_limit(&sent(21, 0), (10.0, 20.0)), 0, "at once");
    assert_eq!(beyond_limit(&sent(24, 0), (10.0, 20.0)), 3);
    assert!(beyond_limit(&sent(500, 90), (10.0, 20.0)) > 0, "a tenth too fast shows after a while");
}

#[test]
fn a_planted_late_send_and_a_second_run_are_found() {
    let now = Instant::now();
    let drains = vec![Drain { node: 1, since: now, until: None }];
    let terms = Terms { drains, ..terms() };
    let late = now + DRAIN_GRACE + LATE * 2;
    let attempts = [attempt(now, "a", "append", 1.0), attempt(late, "a", "append", 1.0)];
    let breaches = check(&[], &attempts, &terms);
    assert_eq!((breaches.drain_breaches, breaches.attempts_twice), (1, 1));
    let reads: Vec<Attempt> = (0..4).map(|_| attempt(now, "b", "read", 1.0)).collect();
    assert_eq!(sent_again(&reads), 0);
}

use super::*;
use topazpath::fleet::view::ViewMember;

fn settled() -> Simulation {
    let mut simulation = Simulation::new(Settings::default(), 4, 1);
    simulation.run(Duration::from_secs(20));
    assert!(simulation.is_settled());
    simulation
}

#[test]
fn each_check_finds_the_fault_that_is_planted_for_it() {
    let mut simulation = settled();
    let view = simulation.views.values().next_back().cloned().unwrap();
    let next = |number: u64, without: Option<&str>| {
        let mut next = view.clone();
        next.id.number += number;
        without.into_iter().for_each(|name| next.members.retain(|known, _| known != name));
        next
    };
    simulation.check_view(next(1, None));
    assert_eq!(simulation.breaches, Breaches::default());
    simulation.check_view(next(1, Some("n0001")));
    assert_eq!(simulation.breaches.split_views, 1);
    simulation.check_view(next(2, Some("n0001")));
    assert_eq!(simulation.breaches.false_gone, 1, "it was there all the time");
    simulation.check_view(next(3, None));
    assert_eq!(simulation.breaches.revived, 1);
    let mut later = next(4, None);
    let line = ViewMember { generation: Generation(u64::MAX), ..later.members["n0001"].clone() };
    later.members.insert("n0001".into(), line);
    let before = simulation.breaches;
    simulation.check_view(later);
    assert_eq!(simulation.breaches.revived, before.revived, "another generation may come");
}

#[test]
fn a_killed_member_that_is_still_in_the_view_is_found() {
    let mut simulation = settled();
    let at = simulation.now + Duration::from_secs(1);
    simulation.schedule(TimedFault { at, lasts: Duration::from_secs(600), fault: Fault::Kill(vec![2]) });
    simulation.run(at + Duration::from_millis(100));
    assert!(!simulation.is_settled());
    simulation.run(at + Duration::from_secs(30));
    assert!(simulation.is_settled());
    assert_eq!(simulation.breaches, Breaches::default());
}

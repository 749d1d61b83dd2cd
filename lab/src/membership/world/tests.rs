use super::*;
use topazpath::fleet::view::ViewMember;

fn settled() -> World {
    let mut world = World::new(Terms::default(), 4, 1);
    world.run(Duration::from_secs(20));
    assert!(world.is_settled());
    world
}

#[test]
fn each_check_finds_the_fault_that_is_planted_for_it() {
    let mut world = settled();
    let view = world.views.values().next_back().cloned().unwrap();
    let next = |number: u64, without: Option<&str>| {
        let mut next = view.clone();
        next.id.number += number;
        without.into_iter().for_each(|name| next.members.retain(|known, _| known != name));
        next
    };
    world.entered(next(1, None));
    assert_eq!(world.breaches, Breaches::default());
    world.entered(next(1, Some("n0001")));
    assert_eq!(world.breaches.split_views, 1);
    world.entered(next(2, Some("n0001")));
    assert_eq!(world.breaches.false_gone, 1, "it was there all the time");
    world.entered(next(3, None));
    assert_eq!(world.breaches.revived, 1);
    let mut later = next(4, None);
    let line = ViewMember { generation: Generation(u64::MAX), ..later.members["n0001"].clone() };
    later.members.insert("n0001".into(), line);
    let before = world.breaches;
    world.entered(later);
    assert_eq!(world.breaches.revived, before.revived, "another generation may come");
}

#[test]
fn who_is_dead_and_still_in_the_view_is_found() {
    let mut world = settled();
    let at = world.now + Duration::from_secs(1);
    world.plan(Timed { at, lasts: Duration::from_secs(600), fault: Fault::Kill(vec![2]) });
    world.run(at + Duration::from_millis(100));
    assert!(!world.is_settled());
    world.run(at + Duration::from_secs(30));
    assert!(world.is_settled());
    assert_eq!(world.breaches, Breaches::default());
}

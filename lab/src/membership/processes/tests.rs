use super::*;
use crate::sync::processor::{alone, steady};

fn status(number: u64, members: &[(&str, u64)]) -> MemberStatus {
    let members = members.iter().map(|(name, generation)| (name.to_string(), *generation)).collect();
    MemberStatus {
        phase: "member".into(),
        generation: 1,
        quorate: true,
        view: Some(((1, number), members)),
        states: BTreeMap::new(),
    }
}

#[test]
fn each_check_finds_the_fault_that_is_planted_for_it() {
    let check = |history: &[MemberStatus], allowed: &[&str]| {
        let mut recorded = History::default();
        history.iter().for_each(|status| recorded.add(status));
        let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
        recorded.check(&names(allowed), &names(&["a", "b"]))
    };
    let whole = status(1, &[("a", 1), ("b", 1)]);
    let without = status(2, &[("a", 1)]);
    assert!(check(&[whole.clone(), without.clone()], &["b"]).none());
    assert_eq!(check(&[whole.clone(), without.clone()], &[]).false_gone, 1);
    assert_eq!(check(&[whole.clone(), status(1, &[("a", 1)])], &["b"]).split_views, 1);
    let dead = status(2, &[("a", 1), ("b", 1), ("c", 1)]);
    assert_eq!(check(&[whole.clone(), dead], &[]).missed_gone, 1);
    let back = status(3, &[("a", 1), ("b", 1)]);
    assert_eq!(check(&[whole.clone(), without.clone(), back], &["b"]).revived, 1);
    assert!(check(&[whole, without, status(3, &[("a", 1), ("b", 2)])], &["b"]).none());
}

#[test]
fn processes_agree_on_the_members_under_stops_cuts_kills_and_forged_datagrams() {
    let _processor = alone();
    let program = crate::vrrp::experiments::program().unwrap();
    let scenes = [
        Scene::ShortPause,
        Scene::LongPause,
        Scene::KilledAndBack,
        Scene::OneWay,
        Scene::Split,
        Scene::Noise,
    ];
    let result = steady(|| {
        std::thread::scope(|scope| {
            let running: Vec<_> = scenes
                .iter()
                .enumerate()
                .map(|(place, scene)| (scene, place as u8 + 40, &program))
                .map(|(scene, place, program)| scope.spawn(move || run_scene(program, *scene, place, 7)))
                .collect();
            running.into_iter().map(|it| it.join().unwrap()).collect::<Vec<_>>()
        })
    });
    for result in result {
        let result = result.unwrap();
        assert!(result.breaches.none(), "{result:?}");
        assert_eq!(result.knew, if result.scene == Scene::Split { 2 } else { 0 });
    }
}

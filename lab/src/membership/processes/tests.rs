use super::*;
use crate::sync::processor::{alone, steady};

fn said(number: u64, members: &[(&str, u64)]) -> Said {
    let members = members.iter().map(|(name, generation)| (name.to_string(), *generation)).collect();
    Said {
        phase: "member".into(),
        generation: 1,
        quorate: true,
        view: Some(((1, number), members)),
        states: BTreeMap::new(),
    }
}

#[test]
fn each_check_finds_the_fault_that_is_planted_for_it() {
    let check = |history: &[Said], allowed: &[&str]| {
        let mut recorded = History::default();
        history.iter().for_each(|said| recorded.add(said));
        let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
        recorded.check(&names(allowed), &names(&["a", "b"]))
    };
    let whole = said(1, &[("a", 1), ("b", 1)]);
    let without = said(2, &[("a", 1)]);
    assert!(check(&[whole.clone(), without.clone()], &["b"]).none());
    assert_eq!(check(&[whole.clone(), without.clone()], &[]).false_gone, 1);
    assert_eq!(check(&[whole.clone(), said(1, &[("a", 1)])], &["b"]).split_views, 1);
    let dead = said(2, &[("a", 1), ("b", 1), ("c", 1)]);
    assert_eq!(check(&[whole.clone(), dead], &[]).missed_gone, 1);
    let back = said(3, &[("a", 1), ("b", 1)]);
    assert_eq!(check(&[whole.clone(), without.clone(), back], &["b"]).revived, 1);
    assert!(check(&[whole, without, said(3, &[("a", 1), ("b", 2)])], &["b"]).none());
}

#[test]
fn processes_that_are_stopped_cut_killed_and_lied_to_agree_on_who_is_there() {
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
    let played = steady(|| {
        std::thread::scope(|scope| {
            let running: Vec<_> = scenes
                .iter()
                .enumerate()
                .map(|(place, scene)| (scene, place as u8 + 40, &program))
                .map(|(scene, place, program)| scope.spawn(move || play(program, *scene, place, 7)))
                .collect();
            running.into_iter().map(|it| it.join().unwrap()).collect::<Vec<_>>()
        })
    });
    for played in played {
        let played = played.unwrap();
        assert!(played.breaches.none(), "{played:?}");
        assert_eq!(played.knew, if played.scene == Scene::Split { 2 } else { 0 });
    }
}

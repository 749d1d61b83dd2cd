use super::*;
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    Drain,
    Resume,
    Replace,
    UndoReplace,
    End,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop::sample::select(vec![
        Step::Start,
        Step::Drain,
        Step::Resume,
        Step::Replace,
        Step::UndoReplace,
        Step::End,
    ]);
    prop::collection::vec(one, 0..20)
}

#[test]
fn idle_clients_are_closed_only_after_a_drain_has_become_known() {
    let now = Instant::now();
    let mut state = State::default();
    assert_eq!(state.phase(), Phase::Starting);
    state.start();
    assert_eq!((state.phase(), state.client_policy().ready), (Phase::Serving, true));
    state.drain(now).unwrap();
    state.drain(now + Duration::from_secs(1)).unwrap();
    let shed = state.client_policy().shed_from.unwrap();
    assert_eq!((state.phase(), state.client_policy().ready), (Phase::Drained, false));
    assert!(shed > now + Duration::from_millis(300) && shed < now + Duration::from_secs(1));
    state.resume().unwrap();
    assert_eq!(
        state.client_policy(),
        ClientPolicy { ready: true, keep_idle: false, shed_from: None, hand_over: false }
    );
}

proptest! {
    #[test]
    fn a_shutdown_is_final_and_a_drained_process_is_never_ready(steps in steps()) {
        let (mut state, now) = (State::default(), Instant::now());
        let (mut ended, mut replaced) = (false, false);
        for step in steps {
            match step {
                Step::Start => state.start(),
                Step::Drain => prop_assert_eq!(state.drain(now).is_ok(), !replaced),
                Step::Resume => prop_assert_eq!(state.resume().is_ok(), !ended && !replaced),
                Step::Replace => { state.replace(now); replaced = true; }
                Step::UndoReplace => { state.undo_replace(); replaced = false; }
                Step::End => { state.end(now); ended = true; }
            }
            let (phase, client_policy) = (state.phase(), state.client_policy());
            prop_assert_eq!(phase == Phase::Ending, ended);
            prop_assert!(
                client_policy.ready != state.is_drained()
                    && (phase != Phase::Drained || !client_policy.ready)
            );
            prop_assert!(
                !client_policy.keep_idle || (ended && !replaced),
                "only a shutdown without a successor keeps idle clients"
            );
            prop_assert_eq!(client_policy.hand_over, replaced);
            let session_policy = state.session_policy();
            prop_assert!(!session_policy.hand_over);
            prop_assert_eq!(session_policy.shed_from.is_some(), state.is_drained(), "served in a replaced process");
        }
    }
}

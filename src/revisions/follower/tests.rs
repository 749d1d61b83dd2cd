use super::*;
use crate::interface::{Limit, Plan};
use crate::revisions::delta::Delta;
use crate::revisions::document::PlanOverrides;

fn follower() -> Follower {
    let limit = Limit { rate: 20.0, burst: 40.0, overdraft: 8.0 };
    let plan = Plan { reserve: 1.0, limit: Some(limit), weight: 1.0, worth_factor: 1.0 };
    let base = Settings { plans: vec![plan], ..Settings::default() };
    Follower::new(base, Names { classes: Vec::new(), plans: vec!["base".into()] })
}

fn document(rate: f64) -> Document {
    let figures = PlanOverrides { ceiling_rate: Some(rate), ..PlanOverrides::default() };
    Document { plans: BTreeMap::from([("base".to_string(), figures)]), ..Document::default() }
}

fn id(number: u64, document: &Document) -> RevisionId {
    RevisionId { number: RevisionNumber(number), hash: document.hash() }
}

fn full_update(number: u64, document: &Document) -> Update {
    Update { id: id(number, document), content: UpdateContent::Full(document.clone()) }
}

fn changes_update(older: (u64, &Document), newer: (u64, &Document)) -> Update {
    let (base, delta) = (id(older.0, older.1), Delta::between(older.1, newer.1));
    Update { id: id(newer.0, newer.1), content: UpdateContent::Changes { base, delta } }
}

fn in_force(id: RevisionId) -> Acknowledgement {
    Acknowledgement { id, outcome: AcknowledgementOutcome::InForce }
}

/// Prepares an update and confirms it as applied. Returns the new settings.
fn prepare_and_apply(follower: &mut Follower, update: Update) -> Settings {
    let id = update.id;
    let prepared = follower.prepare(update).unwrap();
    assert_eq!(follower.confirm_applied(&prepared), in_force(id));
    assert_eq!(follower.in_force(), id);
    prepared.settings
}

fn rate(settings: &Settings) -> f64 {
    settings.plans[0].limit.unwrap().rate
}

#[test]
fn a_full_update_and_then_changes_are_applied_to_the_settings_from_the_files() {
    let mut follower = follower();
    assert_eq!(follower.in_force(), RevisionId::none());
    assert_eq!(rate(&prepare_and_apply(&mut follower, full_update(3, &document(30.0)))), 30.0);
    assert_eq!(
        rate(&prepare_and_apply(&mut follower, changes_update((3, &document(30.0)), (4, &document(40.0))))),
        40.0
    );
    // A key that a later document leaves out has the value from the files again.
    let emptied = changes_update((4, &document(40.0)), (5, &Document::default()));
    assert_eq!(rate(&prepare_and_apply(&mut follower, emptied)), 20.0);
}

#[test]
fn a_prepared_revision_names_the_nodes_that_are_out() {
    let mut follower = follower();
    let out = Document { nodes_out: BTreeSet::from(["s-7".to_string()]), ..document(30.0) };
    let prepared = follower.prepare(full_update(1, &out)).unwrap();
    assert_eq!(prepared.nodes_out, out.nodes_out);
}

#[test]
fn a_prepared_revision_is_not_in_force_and_a_later_one_supersedes_it() {
    let mut follower = follower();
    let first = follower.prepare(full_update(1, &document(30.0))).unwrap();
    assert_eq!(follower.in_force(), RevisionId::none());
    let second = follower.prepare(full_update(2, &document(40.0))).unwrap();
    assert_eq!(
        follower.prepare(full_update(1, &document(30.0))),
        Ok(first.clone()),
        "the first is still prepared"
    );
    assert_eq!(
        follower.prepare(full_update(1, &document(50.0))),
        Err(in_force(RevisionId::none())),
        "same number, other content"
    );
    assert_eq!(follower.confirm_applied(&second).id, second.id);
    assert_eq!(follower.confirm_applied(&first), in_force(second.id), "an older revision changes nothing");
    assert_eq!(
        rate(&prepare_and_apply(&mut follower, changes_update((2, &document(40.0)), (3, &document(50.0))))),
        50.0
    );
}

#[test]
fn a_revision_fetched_before_a_later_one_arrived_can_still_be_applied() {
    let mut follower = follower();
    let first = follower.prepare(full_update(1, &document(30.0))).unwrap();
    let second = follower.prepare(full_update(2, &document(40.0))).unwrap();
    assert_eq!(follower.confirm_applied(&first), in_force(first.id));
    assert_eq!(follower.confirm_applied(&second), in_force(second.id));
}

#[test]
fn a_revision_that_was_not_prepared_here_does_not_come_into_force() {
    let mut follower = follower();
    let mut other = self::follower();
    let foreign = other.prepare(full_update(1, &document(30.0))).unwrap();
    assert_eq!(follower.confirm_applied(&foreign), in_force(RevisionId::none()));
    assert_eq!(follower.in_force(), RevisionId::none());
}

#[test]
fn older_and_repeated_updates_and_another_content_under_the_same_number_change_nothing() {
    let mut follower = follower();
    prepare_and_apply(&mut follower, full_update(3, &document(30.0)));
    let now = id(3, &document(30.0));
    for update in [
        full_update(3, &document(30.0)),
        full_update(2, &document(10.0)),
        full_update(3, &document(10.0)),
        changes_update((2, &document(10.0)), (3, &document(30.0))),
    ] {
        assert_eq!(follower.prepare(update), Err(in_force(now)));
    }
    assert_eq!((follower.in_force(), follower.refused()), (now, None));
}

#[test]
fn changes_to_another_base_are_answered_with_the_revision_in_force() {
    let mut follower = follower();
    prepare_and_apply(&mut follower, full_update(3, &document(30.0)));
    let now = id(3, &document(30.0));
    let gap = changes_update((4, &document(40.0)), (5, &document(50.0)));
    assert_eq!(follower.prepare(gap), Err(in_force(now)));
    // The base has the number of the revision in force and another content.
    let foreign = changes_update((3, &document(10.0)), (4, &document(40.0)));
    assert_eq!(follower.prepare(foreign), Err(in_force(now)));
    assert_eq!(follower.refused(), None);
    assert_eq!(rate(&prepare_and_apply(&mut follower, full_update(5, &document(50.0)))), 50.0);
}

#[test]
fn changes_whose_result_has_another_hash_are_answered_with_the_revision_in_force() {
    let mut follower = follower();
    prepare_and_apply(&mut follower, full_update(3, &document(30.0)));
    let mut corrupt = changes_update((3, &document(30.0)), (4, &document(40.0)));
    corrupt.id.hash.0[7] ^= 1;
    assert_eq!(follower.prepare(corrupt), Err(in_force(id(3, &document(30.0)))));
}

#[test]
fn a_full_update_with_a_wrong_hash_is_refused_and_the_right_one_is_still_applied() {
    let mut follower = follower();
    let mut corrupt = full_update(1, &document(30.0));
    corrupt.content = UpdateContent::Full(document(31.0));
    let refused = follower.prepare(corrupt.clone()).unwrap_err();
    assert_eq!(refused.id, corrupt.id);
    let AcknowledgementOutcome::Refused(why) = refused.outcome else { panic!("the update was not refused") };
    assert!(why.contains("hash"), "{why}");
    assert_eq!(follower.refused(), Some(&(corrupt.id, why)));
    assert_eq!(follower.in_force(), RevisionId::none());
    prepare_and_apply(&mut follower, full_update(1, &document(30.0)));
    assert_eq!(follower.refused(), None, "the refused revision is in force now");
}

#[test]
fn a_revision_that_does_not_fit_the_settings_is_refused_and_a_later_one_is_applied() {
    let mut follower = follower();
    prepare_and_apply(&mut follower, full_update(1, &document(30.0)));
    let with_unknown_plan = Document {
        plans: BTreeMap::from([("no-such".to_string(), PlanOverrides::default())]),
        ..Document::default()
    };
    let refused = follower.prepare(full_update(2, &with_unknown_plan)).unwrap_err();
    assert_eq!(refused.id, id(2, &with_unknown_plan));
    assert!(matches!(&refused.outcome, AcknowledgementOutcome::Refused(why) if why.contains("no-such")));
    assert_eq!(follower.in_force(), id(1, &document(30.0)));
    // Changes still apply to the revision in force, not to the refused one.
    prepare_and_apply(&mut follower, changes_update((1, &document(30.0)), (3, &document(40.0))));
    assert_eq!(follower.refused(), None);
}

#[test]
fn a_revision_that_cannot_be_applied_is_refused_and_the_next_is_applied() {
    let mut follower = follower();
    prepare_and_apply(&mut follower, full_update(1, &document(30.0)));
    let prepared = follower.prepare(full_update(2, &document(40.0))).unwrap();
    let outcome = AcknowledgementOutcome::Refused("it does not fit".into());
    let refused = follower.reject_prepared(&prepared, "it does not fit".into());
    assert_eq!(refused, Acknowledgement { id: prepared.id, outcome });
    assert_eq!(follower.refused(), Some(&(prepared.id, "it does not fit".to_string())));
    assert_eq!(follower.confirm_applied(&prepared), in_force(id(1, &document(30.0))));
    prepare_and_apply(&mut follower, changes_update((1, &document(30.0)), (3, &document(40.0))));
    assert_eq!(follower.refused(), None);
}

#[test]
fn values_out_of_range_are_refused() {
    let mut follower = follower();
    let refused = follower.prepare(full_update(1, &document(-1.0))).unwrap_err();
    assert!(matches!(&refused.outcome, AcknowledgementOutcome::Refused(why) if why.contains("ceiling_rate")));
    assert_eq!(follower.in_force(), RevisionId::none());
}

#[test]
fn prepared_revisions_are_bounded() {
    let mut follower = follower();
    for number in 1..=100 {
        follower.prepare(full_update(number, &document(number as f64))).unwrap();
        assert!(follower.prepared.len() <= MAX_PREPARED);
    }
}

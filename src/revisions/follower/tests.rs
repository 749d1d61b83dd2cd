use super::*;
use crate::interface::{Limit, Plan};
use crate::revisions::delta::Delta;
use crate::revisions::document::PlanOverrides;

fn follower() -> Follower {
    let limit = Limit { rate: 20.0, burst: 40.0, slack: 8.0 };
    let plan = Plan { reserve: 1.0, limit: Some(limit), weight: 1.0, price: 1.0 };
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

fn whole(number: u64, document: &Document) -> Update {
    Update { id: id(number, document), content: UpdateContent::Full(document.clone()) }
}

fn changes(older: (u64, &Document), newer: (u64, &Document)) -> Update {
    let (base, delta) = (id(older.0, older.1), Delta::between(older.1, newer.1));
    Update { id: id(newer.0, newer.1), content: UpdateContent::Changes { base, delta } }
}

fn in_force(id: RevisionId) -> Acknowledgement {
    Acknowledgement { id, outcome: AcknowledgementOutcome::InForce }
}

/// Takes an update over at once.
fn take(follower: &mut Follower, update: Update) -> Settings {
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
fn the_whole_and_then_changes_are_taken_over_on_the_settings_of_the_files() {
    let mut follower = follower();
    assert_eq!(follower.in_force(), RevisionId::none());
    assert_eq!(rate(&take(&mut follower, whole(3, &document(30.0)))), 30.0);
    assert_eq!(rate(&take(&mut follower, changes((3, &document(30.0)), (4, &document(40.0))))), 40.0);
    // What a later document leaves out has the value of the files again.
    let emptied = changes((4, &document(40.0)), (5, &Document::default()));
    assert_eq!(rate(&take(&mut follower, emptied)), 20.0);
}

#[test]
fn nodes_that_are_out_come_with_the_settings() {
    let mut follower = follower();
    let out = Document { nodes_out: BTreeSet::from(["s-7".to_string()]), ..document(30.0) };
    let prepared = follower.prepare(whole(1, &out)).unwrap();
    assert_eq!(prepared.nodes_out, out.nodes_out);
}

#[test]
fn what_is_prepared_is_not_in_force_and_a_later_one_replaces_it() {
    let mut follower = follower();
    let first = follower.prepare(whole(1, &document(30.0))).unwrap();
    assert_eq!(follower.in_force(), RevisionId::none());
    let second = follower.prepare(whole(2, &document(40.0))).unwrap();
    assert_eq!(follower.prepare(whole(1, &document(30.0))), Ok(first.clone()), "still prepared as well");
    assert_eq!(follower.prepare(whole(1, &document(50.0))), Err(in_force(RevisionId::none())), "another");
    assert_eq!(follower.confirm_applied(&second).id, second.id);
    assert_eq!(follower.confirm_applied(&first), in_force(second.id), "an older one changes nothing");
    assert_eq!(rate(&take(&mut follower, changes((2, &document(40.0)), (3, &document(50.0))))), 50.0);
}

#[test]
fn one_that_was_fetched_before_a_later_one_came_can_still_be_taken_over() {
    let mut follower = follower();
    let first = follower.prepare(whole(1, &document(30.0))).unwrap();
    let second = follower.prepare(whole(2, &document(40.0))).unwrap();
    assert_eq!(follower.confirm_applied(&first), in_force(first.id));
    assert_eq!(follower.confirm_applied(&second), in_force(second.id));
}

#[test]
fn what_was_not_prepared_here_is_not_in_force() {
    let mut follower = follower();
    let mut other = self::follower();
    let foreign = other.prepare(whole(1, &document(30.0))).unwrap();
    assert_eq!(follower.confirm_applied(&foreign), in_force(RevisionId::none()));
    assert_eq!(follower.in_force(), RevisionId::none());
}

#[test]
fn older_and_repeated_updates_and_another_content_of_the_number_change_nothing() {
    let mut follower = follower();
    take(&mut follower, whole(3, &document(30.0)));
    let now = id(3, &document(30.0));
    for update in [
        whole(3, &document(30.0)),
        whole(2, &document(10.0)),
        whole(3, &document(10.0)),
        changes((2, &document(10.0)), (3, &document(30.0))),
    ] {
        assert_eq!(follower.prepare(update), Err(in_force(now)));
    }
    assert_eq!((follower.in_force(), follower.refused()), (now, None));
}

#[test]
fn changes_to_another_revision_are_answered_with_what_is_in_force() {
    let mut follower = follower();
    take(&mut follower, whole(3, &document(30.0)));
    let now = id(3, &document(30.0));
    let gap = changes((4, &document(40.0)), (5, &document(50.0)));
    assert_eq!(follower.prepare(gap), Err(in_force(now)));
    // The number is the same, and the content is not.
    let foreign = changes((3, &document(10.0)), (4, &document(40.0)));
    assert_eq!(follower.prepare(foreign), Err(in_force(now)));
    assert_eq!(follower.refused(), None);
    assert_eq!(rate(&take(&mut follower, whole(5, &document(50.0)))), 50.0);
}

#[test]
fn changes_that_lead_to_another_content_ask_for_the_whole() {
    let mut follower = follower();
    take(&mut follower, whole(3, &document(30.0)));
    let mut spoilt = changes((3, &document(30.0)), (4, &document(40.0)));
    spoilt.id.hash.0[7] ^= 1;
    assert_eq!(follower.prepare(spoilt), Err(in_force(id(3, &document(30.0)))));
}

#[test]
fn a_spoilt_whole_is_refused_and_the_right_one_is_still_taken() {
    let mut follower = follower();
    let mut spoilt = whole(1, &document(30.0));
    spoilt.content = UpdateContent::Full(document(31.0));
    let refused = follower.prepare(spoilt.clone()).unwrap_err();
    assert_eq!(refused.id, spoilt.id);
    let AcknowledgementOutcome::Refused(why) = refused.outcome else { panic!("it was taken") };
    assert!(why.contains("hash"), "{why}");
    assert_eq!(follower.refused(), Some(&(spoilt.id, why)));
    assert_eq!(follower.in_force(), RevisionId::none());
    take(&mut follower, whole(1, &document(30.0)));
    assert_eq!(follower.refused(), None, "it is in force now");
}

#[test]
fn what_does_not_fit_the_settings_here_is_refused_until_a_later_one_fits() {
    let mut follower = follower();
    take(&mut follower, whole(1, &document(30.0)));
    let unknown = Document {
        plans: BTreeMap::from([("no-such".to_string(), PlanOverrides::default())]),
        ..Document::default()
    };
    let refused = follower.prepare(whole(2, &unknown)).unwrap_err();
    assert_eq!(refused.id, id(2, &unknown));
    assert!(matches!(&refused.outcome, AcknowledgementOutcome::Refused(why) if why.contains("no-such")));
    assert_eq!(follower.in_force(), id(1, &document(30.0)));
    // Changes are still made to what is in force, not to what was refused.
    take(&mut follower, changes((1, &document(30.0)), (3, &document(40.0))));
    assert_eq!(follower.refused(), None);
}

#[test]
fn what_cannot_be_taken_over_is_refused_and_the_next_is_taken() {
    let mut follower = follower();
    take(&mut follower, whole(1, &document(30.0)));
    let prepared = follower.prepare(whole(2, &document(40.0))).unwrap();
    let outcome = AcknowledgementOutcome::Refused("it does not fit".into());
    let refused = follower.reject_prepared(&prepared, "it does not fit".into());
    assert_eq!(refused, Acknowledgement { id: prepared.id, outcome });
    assert_eq!(follower.refused(), Some(&(prepared.id, "it does not fit".to_string())));
    assert_eq!(follower.confirm_applied(&prepared), in_force(id(1, &document(30.0))));
    take(&mut follower, changes((1, &document(30.0)), (3, &document(40.0))));
    assert_eq!(follower.refused(), None);
}

#[test]
fn figures_out_of_range_are_refused() {
    let mut follower = follower();
    let refused = follower.prepare(whole(1, &document(-1.0))).unwrap_err();
    assert!(matches!(&refused.outcome, AcknowledgementOutcome::Refused(why) if why.contains("ceiling_rate")));
    assert_eq!(follower.in_force(), RevisionId::none());
}

#[test]
fn little_is_kept_however_many_are_prepared() {
    let mut follower = follower();
    for number in 1..=100 {
        follower.prepare(whole(number, &document(number as f64))).unwrap();
        assert!(follower.prepared.len() <= MAX_PREPARED);
    }
}

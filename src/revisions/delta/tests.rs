use super::*;
use crate::revisions::document::tests::any_document;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_difference_leads_from_the_one_to_the_other(older in any_document(), newer in any_document()) {
        let delta = Delta::between(&older, &newer);
        let there = delta.apply(&older);
        prop_assert_eq!(&there, &newer);
        prop_assert_eq!(there.hash(), newer.hash());
        let taken: Delta = postcard::from_bytes(&postcard::to_stdvec(&delta).unwrap()).unwrap();
        prop_assert_eq!(taken, delta);
    }

    #[test]
    fn what_is_the_same_is_not_sent(document in any_document()) {
        prop_assert_eq!(Delta::between(&document, &document), Delta::default());
        prop_assert_eq!(Delta::default().apply(&document), document);
    }
}

#[test]
fn a_difference_holds_only_what_changed() {
    let parse = |text| Document::parse(text).unwrap();
    let older =
        parse("nodes_out = ['a', 'b']\n[classes.x]\nworth = 1\n[classes.y]\nworth = 2\n[classes.z]\n");
    let newer = parse(
        "nodes_out = ['b', 'c']\n[classes.x]\nworth = 1\n[classes.y]\nworth = 3\n[costs]\nlargest = 4\n",
    );
    let delta = Delta::between(&older, &newer);
    let worth = |worth| Some(ClassOverrides { worth: Some(worth), ..ClassOverrides::default() });
    assert_eq!(delta.classes, BTreeMap::from([("y".into(), worth(3.0)), ("z".into(), None)]));
    assert_eq!((delta.plans.len(), delta.limits), (0, None));
    assert_eq!(delta.costs.and_then(|costs| costs.largest), Some(4.0));
    assert_eq!(delta.nodes_added, BTreeSet::from(["c".to_string()]));
    assert_eq!(delta.nodes_removed, BTreeSet::from(["a".to_string()]));
}

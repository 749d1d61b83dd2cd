use super::*;
use crate::revisions::document::tests::any_document;
use proptest::prelude::*;

proptest! {
    #[test]
    fn applying_a_delta_to_the_older_document_gives_the_newer_one(older in any_document(), newer in any_document()) {
        let delta = Delta::between(&older, &newer);
        let applied = delta.apply(&older);
        prop_assert_eq!(&applied, &newer);
        prop_assert_eq!(applied.hash(), newer.hash());
        let decoded: Delta = postcard::from_bytes(&postcard::to_stdvec(&delta).unwrap()).unwrap();
        prop_assert_eq!(decoded, delta);
    }

    #[test]
    fn the_delta_between_equal_documents_is_empty(document in any_document()) {
        prop_assert_eq!(Delta::between(&document, &document), Delta::default());
        prop_assert_eq!(Delta::default().apply(&document), document);
    }
}

#[test]
fn a_delta_holds_only_the_entries_that_changed() {
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

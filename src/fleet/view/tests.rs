use super::*;
use crate::fleet::update::Generation;

fn listed(name: &str) -> ViewMember {
    ViewMember {
        name: name.into(),
        generation: Generation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

fn view(names: &[&str]) -> View {
    let members = names.iter().map(|name| (name.to_string(), listed(name))).collect();
    View { id: ViewId { bootstrap: 1, number: 1 }, members, ..View::default() }
}

fn ballot(round: u32, by: &str) -> Ballot {
    Ballot { round, by: by.into() }
}

fn removal_of(name: &str) -> Change {
    Change { leaves: vec![name.into()], ..Change::default() }
}

#[test]
fn a_member_is_removed_only_if_a_majority_of_the_view_agrees() {
    let view = view(&["a", "b", "c", "d", "e"]);
    let mut proposal = Proposal::new(ballot(1, "a"), removal_of("e"));
    assert_eq!(proposal.add_vote(&view, "x", None, []), None, "not a member");
    assert_eq!(proposal.add_vote(&view, "a", None, []), None);
    assert_eq!(proposal.add_vote(&view, "b", None, []), None);
    assert_eq!(
        proposal.add_vote(&view, "c", None, ["e".to_string()]),
        None,
        "two agree, three are a majority"
    );
    assert_eq!(proposal.add_vote(&view, "d", None, []), Some(removal_of("e")));
    assert_eq!(proposal.add_accepted(&view, "a"), None);
    assert_eq!(proposal.add_accepted(&view, "a"), None, "a repeated acceptance counts once");
    assert_eq!(proposal.add_accepted(&view, "b"), None);
    let decided = proposal.add_accepted(&view, "c").unwrap();
    let next = view.after(&decided);
    assert_eq!((next.id.number, next.members.len(), next.majority()), (2, 4, 3));
}

#[test]
fn an_ended_generation_cannot_join_again_and_a_later_one_can() {
    let view = view(&["a", "b", "c"]);
    let next = view.after(&removal_of("c"));
    let joining = |generation| Change {
        joins: vec![ViewMember { generation: Generation(generation), ..listed("c") }],
        ..Change::default()
    };
    assert_eq!(next.after(&joining(1)).members.len(), 2);
    let again = next.after(&joining(2));
    assert_eq!((again.members["c"].generation, again.ended["c"]), (Generation(2), Generation(1)));
    assert_eq!(View::from_entries(again.id, again.entries()), again);
    assert!(!again.admits("c", Generation(2)) && again.admits("c", Generation(3)));
}

#[test]
fn a_possibly_decided_change_is_proposed_again_at_a_higher_ballot() {
    let view = view(&["a", "b", "c"]);
    let (mut a, mut b, mut c) = (Acceptor::default(), Acceptor::default(), Acceptor::default());
    let (first, second) = (ballot(1, "a"), ballot(2, "b"));
    let mut proposal = Proposal::new(first.clone(), removal_of("c"));
    proposal.add_vote(&view, "a", a.prepare(&first).unwrap(), []);
    let change = proposal.add_vote(&view, "b", b.prepare(&first).unwrap(), []).unwrap();
    assert!(a.accept(&first, &change));
    // Another proposer does not know of it and learns it from an acceptor of its own majority.
    let mut other = Proposal::new(second.clone(), removal_of("a"));
    other.add_vote(&view, "c", c.prepare(&second).unwrap(), []);
    assert_eq!(other.add_vote(&view, "a", a.prepare(&second).unwrap(), []), Some(removal_of("c")));
    assert!(!a.accept(&first, &change), "a higher ballot is promised");
    assert_eq!(b.prepare(&second), Some(None));
    assert_eq!(b.prepare(&first), None);
}

//! Messages that no correct replica sends: they change nothing and don't make a replica panic.

use super::*;
use crate::random::Random;
use protobuf::ProtobufEnum;
use raft::eraftpb::{EntryType, MessageType};

fn group_with_history() -> Group {
    let mut group = Group::new(3);
    group.run(60);
    for id in 1..=5 {
        let leader = group.leader();
        group.submit(leader, id).unwrap();
    }
    group
}

/// The state that a message could change: term, vote, commit index, last index and number of writes.
fn state(group: &Group, voter: u64) -> (u64, u64, u64, u64, u64) {
    let raft = &group.replica(voter).node.raft;
    (
        raft.term,
        raft.vote,
        raft.raft_log.committed,
        raft.raft_log.last_index(),
        group.stores[voter as usize - 1].writes(),
    )
}

fn valid_heartbeat(group: &Group, from: u64, to: u64) -> Message {
    let raft = &group.replica(from).node.raft;
    Message { msg_type: MessageType::MsgHeartbeat, from, to, term: raft.term, ..Message::default() }
}

fn deliver(group: &mut Group, to: u64, message: &Message) {
    let bytes = wire::encode(&identity(1, 3).group, message);
    group.handle(to, Event::Message(bytes));
    group.messages.clear();
}

#[test]
fn corrupt_messages_and_those_of_other_groups_change_nothing() {
    let mut group = group_with_history();
    let (leader, follower) = (group.leader(), group.follower());
    let mut vote = valid_heartbeat(&group, leader, follower);
    vote.msg_type = MessageType::MsgAppend;
    vote.term += 1;
    let bytes = wire::encode(&identity(1, 3).group, &vote);
    let before = state(&group, follower);
    let mut wrong = vec![Vec::new(), vec![0; 10], vec![1; 500], bytes[..bytes.len() - 1].to_vec()];
    wrong.push(wire::encode(&GroupId::from_names(["x"]), &vote));
    wrong.push([bytes.clone(), vec![0; MAX_MESSAGE_BYTES]].concat());
    for position in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[position] ^= 0x10;
        wrong.push(corrupt);
    }
    for bytes in wrong {
        group.handle(follower, Event::Message(bytes));
        assert_eq!(state(&group, follower), before);
    }
    group.handle(follower, Event::Message(bytes));
    assert_eq!(state(&group, follower).0, before.0 + 1, "the valid message does change it");
}

#[test]
fn messages_that_no_correct_replica_sends_change_nothing() {
    let mut group = group_with_history();
    let (leader, follower) = (group.leader(), group.follower());
    let last = group.replica(leader).node.raft.raft_log.last_index();
    let base = valid_heartbeat(&group, leader, follower);
    let changed = |change: &dyn Fn(&mut Message)| {
        let mut message = base.clone();
        change(&mut message);
        message
    };
    let entry = |index, term| Entry { index, term, ..Entry::default() };
    let append = |message: &mut Message, entries: Vec<Entry>| {
        message.msg_type = MessageType::MsgAppend;
        message.index = last;
        message.log_term = message.term;
        message.entries = entries.into();
    };
    let term = base.term;
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = last + 9;
    snapshot.mut_metadata().term = term;
    let wrong = [
        changed(&|it| it.from = 9),
        changed(&|it| it.from = follower),
        changed(&|it| it.to = leader),
        changed(&|it| it.term = 0),
        changed(&|it| it.term = u64::MAX),
        changed(&|it| it.commit = last + 1),
        changed(&|it| it.context = vec![1].into()),
        changed(&|it| it.msg_type = MessageType::MsgTimeoutNow),
        changed(&|it| it.msg_type = MessageType::MsgTransferLeader),
        changed(&|it| it.msg_type = MessageType::MsgHup),
        changed(&|it| it.msg_type = MessageType::MsgReadIndex),
        changed(&|it| append(it, vec![entry(last + 2, term)])),
        changed(&|it| append(it, vec![entry(last + 1, term + 1)])),
        changed(&|it| append(it, vec![entry(last + 1, term), entry(last + 1, term)])),
        changed(&|it| {
            append(it, vec![entry(last + 100, term)]);
            (it.index, it.log_term) = (last + 99, 0);
        }),
        changed(&|it| {
            append(it, vec![entry(last + 1, term)]);
            it.entries[0].entry_type = EntryType::EntryConfChange;
        }),
        changed(&|it| {
            append(it, vec![entry(last + 1, term)]);
            it.entries[0].data = vec![0; MAX_PROPOSAL_BYTES + 1].into();
        }),
        changed(&|it| {
            it.msg_type = MessageType::MsgSnapshot;
            it.set_snapshot(snapshot.clone());
        }),
        changed(&|it| {
            it.msg_type = MessageType::MsgSnapshot;
            let mut snapshot = snapshot.clone();
            snapshot.mut_metadata().mut_conf_state().voters = vec![1, 2, 3];
            snapshot.data = vec![1, 2, 3].into();
            it.set_snapshot(snapshot);
        }),
        changed(&|it| {
            it.msg_type = MessageType::MsgPropose;
            it.term = 0;
            it.entries = vec![entry(0, 0)].into();
        }),
    ];
    let before = state(&group, follower);
    for message in wrong {
        deliver(&mut group, follower, &message);
        assert_eq!(state(&group, follower), before, "{message:?}");
    }
    // To a leader: a response beyond its log, and a proposal that can't be decoded.
    let mut response = valid_heartbeat(&group, follower, leader);
    response.msg_type = MessageType::MsgAppendResponse;
    response.index = last + 1;
    let mut forwarded = valid_heartbeat(&group, follower, leader);
    forwarded.msg_type = MessageType::MsgPropose;
    forwarded.term = 0;
    forwarded.entries = vec![Entry { data: vec![1, 2].into(), ..Entry::default() }].into();
    let before = state(&group, leader);
    for message in [response, forwarded] {
        deliver(&mut group, leader, &message);
        assert_eq!(state(&group, leader), before, "{message:?}");
    }
}

#[test]
fn random_messages_make_no_replica_panic() {
    let mut group = group_with_history();
    let mut random = Random::new(3);
    let mut pick = move |below: u64| (random.draw() * below as f64) as u64;
    let types = MessageType::values();
    let last = group.replica(1).node.raft.raft_log.last_index();
    for _ in 0..20_000 {
        let to = 1 + pick(3);
        let term = group.replica(to).node.raft.term;
        let mut message = valid_heartbeat(&group, to, to);
        message.from = 1 + pick(4);
        message.msg_type = types[pick(types.len() as u64) as usize];
        message.term = (term + pick(4)).saturating_sub(2);
        message.log_term = pick(term + 2);
        message.index = pick(last + 4);
        message.commit = pick(last + 4);
        message.commit_term = pick(term + 2);
        message.reject = pick(2) == 0;
        message.reject_hint = pick(last + 4);
        let first = message.index + 1;
        let entry =
            |position| Entry { index: first + position, term: message.log_term.max(1), ..Entry::default() };
        message.entries = (0..pick(3)).map(entry).collect::<Vec<_>>().into();
        if pick(4) == 0 {
            let mut snapshot =
                Snapshot { data: group.replica(to).state_machine.encode().into(), ..Snapshot::default() };
            snapshot.mut_metadata().index = pick(last + 4);
            snapshot.mut_metadata().term = pick(term + 2);
            snapshot.mut_metadata().mut_conf_state().voters = vec![1, 2, 3];
            message.set_snapshot(snapshot);
        }
        deliver(&mut group, to, &message);
        if pick(50) == 0 {
            group.run(1);
        }
    }
}

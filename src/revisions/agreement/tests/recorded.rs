//! A store, messages and proposals recorded with an earlier build: a planner must be able to start with an existing
//! store.

use super::*;
use crate::fixtures::{hex, record, records};
use crate::revisions::store::{DiskStore, StoredState, FILE_NAME};
use protobuf::Message as _;
use raft::eraftpb::MessageType;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs;
use std::path::{Path, PathBuf};

const STORE: &[u8] = include_bytes!("../../../../tests/fixtures/revisions/agreement.redb");
const ROWS: &str = include_str!("../../../../tests/fixtures/revisions/rows.hex");
const MESSAGES: &str = include_str!("../../../../tests/fixtures/revisions/messages.hex");
const DOCUMENT: &str = include_str!("../../../../tests/fixtures/revisions/document.toml");
const DOCUMENT_BYTES: &str = include_str!("../../../../tests/fixtures/revisions/document.hex");

/// A directory for one test, removed on drop.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("topazpath-recorded-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// All rows of a file, in the form of [`ROWS`].
fn rows(file: &Path) -> String {
    let database = Database::open(file).unwrap();
    let read = database.begin_read().unwrap();
    let facts = read.open_table(TableDefinition::<&str, &[u8]>::new("facts")).unwrap();
    let log = read.open_table(TableDefinition::<u64, &[u8]>::new("log")).unwrap();
    let facts = facts.iter().unwrap().map(Result::unwrap);
    let log = log.iter().unwrap().map(Result::unwrap);
    let facts = facts.map(|(key, value)| format!("facts.{} {}\n", key.value(), hex(value.value())));
    let log = log.map(|(key, value)| format!("log.{} {}\n", key.value(), hex(value.value())));
    facts.chain(log).collect()
}

fn proposal_of(entry: &Entry) -> Proposal {
    let (proposal, rest) = postcard::take_from_bytes(&entry.data).unwrap();
    assert!(rest.is_empty());
    proposal
}

fn open(directory: &Directory) -> DiskStore {
    fs::write(directory.0.join("agreement.redb"), STORE).unwrap();
    assert_eq!(FILE_NAME, "agreement.redb");
    DiskStore::open(&directory.0).unwrap()
}

#[test]
fn opening_a_recorded_store_leaves_its_rows_unchanged() {
    let directory = Directory::new("open");
    let store = open(&directory);
    let identity = store.identity().clone();
    assert_eq!(identity.group.to_string(), GROUP);
    assert_eq!((identity.voter, identity.ids()), (VoterId(2), vec![1, 2, 3]));
    let StoredState { hard_state, snapshot, entries } = store.load().unwrap();
    drop(store);
    assert_eq!((hard_state.term, hard_state.vote, hard_state.commit), (4, 3, 11));
    assert_eq!((snapshot.get_metadata().index, snapshot.get_metadata().term), (9, 2));
    assert_eq!(snapshot.get_metadata().get_conf_state().voters, [1, 2, 3]);
    let positions: Vec<_> = entries.iter().map(|entry| (entry.index, entry.term)).collect();
    assert_eq!(positions, [(10, 3), (11, 3), (12, 3)]);
    assert_eq!(rows(&directory.0.join(FILE_NAME)), ROWS);
}

#[test]
fn a_new_store_with_the_content_of_the_recorded_one_has_the_same_rows() {
    let directory = Directory::new("read");
    let store = open(&directory);
    let StoredState { hard_state, snapshot, entries } = store.load().unwrap();
    let snapshot = Some(SnapshotChange::Installed(snapshot));
    let batch = Batch { snapshot, entries: entries.into(), hard_state: Some(hard_state) };
    let other = Directory::new("written");
    let mut written = DiskStore::create(&other.0, store.identity().clone()).unwrap();
    written.write(&batch).unwrap();
    drop(written);
    assert_eq!(rows(&other.0.join(FILE_NAME)), ROWS);
}

#[test]
fn recorded_rows_are_decoded_and_encoded_to_the_same_bytes() {
    assert_eq!(record(ROWS, "facts.format"), [1, 0, 0, 0]);
    let bytes = record(ROWS, "facts.identity");
    let identity: Identity = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(hex(&postcard::to_allocvec(&identity).unwrap()), hex(&bytes));
    let bytes = record(ROWS, "facts.snapshot");
    let snapshot = Snapshot::parse_from_bytes(&bytes).unwrap();
    assert_eq!(hex(&snapshot.write_to_bytes().unwrap()), hex(&bytes));
    let machine = StateMachine::decode(&snapshot.data).unwrap();
    assert_eq!(hex(&machine.encode()), hex(&snapshot.data));
    for index in 10..=12 {
        let bytes = record(ROWS, &format!("log.{index}"));
        let entry = Entry::parse_from_bytes(&bytes).unwrap();
        assert_eq!(hex(&entry.write_to_bytes().unwrap()), hex(&bytes));
        if index > 10 {
            let proposal = postcard::to_allocvec(&proposal_of(&entry)).unwrap();
            assert_eq!(hex(&proposal), hex(&entry.data), "proposal in entry {index}");
        }
    }
}

#[test]
fn recorded_proposals_and_outcomes_have_the_expected_content() {
    let snapshot = Snapshot::parse_from_bytes(&record(ROWS, "facts.snapshot")).unwrap();
    let machine = StateMachine::decode(&snapshot.data).unwrap();
    let outcomes = [1, 2, 3, 4].map(|id| machine.outcome(ProposalId(id)).unwrap().clone());
    let [Ok(first), Err(ProposalError::Conflict { newest }), Err(ProposalError::Invalid(why)), Ok(second)] =
        outcomes
    else {
        panic!("{outcomes:?}")
    };
    assert_eq!((first.number.0, newest, second.number.0), (1, first, 2));
    assert_eq!(why, "limits.attempts_cap is 0: 1 to 100 is allowed");
    let revision = machine.newest().unwrap();
    assert_eq!((revision.id, revision.author.as_str(), revision.submitted_ms), (second, "operator", 5));
    assert_eq!(revision.document.to_toml(), "[costs]\nlargest = 5.0\n");
    assert_eq!(machine.revision(RevisionNumber(1)).unwrap().document.to_toml(), "[costs]\nlargest = 2.0\n");

    let proposal = proposal_of(&Entry::parse_from_bytes(&record(ROWS, "log.11")).unwrap());
    assert_eq!(proposal.id.0, 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);
    assert_eq!((proposal.expected, proposal.author.as_str()), (second, "operator"));
    assert_eq!(proposal.submitted_ms, 1_700_000_000_123);
    assert_eq!(proposal.document.to_toml(), DOCUMENT);
}

/// Replicas of both builds reach the same state, including the reasons of refusals.
#[test]
fn applying_the_recorded_proposals_gives_the_recorded_state() {
    let snapshot = Snapshot::parse_from_bytes(&record(ROWS, "facts.snapshot")).unwrap();
    let mut machine = StateMachine::new();
    let first = machine.apply(proposal(1, RevisionId::none())).outcome.unwrap();
    machine.apply(proposal(2, RevisionId::none()));
    let mut invalid = proposal(3, first);
    invalid.document.limits.attempts_cap = Some(0);
    machine.apply(invalid);
    machine.apply(proposal(4, first));
    assert_eq!(hex(&machine.encode()), hex(&snapshot.data));
}

/// The replica applies the snapshot and the committed entry after it.
#[test]
fn a_replica_starts_from_the_recorded_store() {
    let directory = Directory::new("start");
    let replica = Replica::start(parameters(2, 3), open(&directory), Duration::ZERO).unwrap();
    let newest = replica.newest().unwrap();
    assert_eq!(newest.id.number, RevisionNumber(3));
    assert_eq!(newest.id.hash.to_string().into_bytes(), hex(&record(DOCUMENT_BYTES, "hash")).into_bytes());
    assert_eq!(newest.document.to_toml(), DOCUMENT);
    assert_eq!(replica.applied, 11);
}

#[test]
fn the_canonical_encoding_and_the_hash_of_a_document_are_the_recorded_ones() {
    let document = Document::parse(DOCUMENT).unwrap();
    assert_eq!(hex(&document.encode()), hex(&record(DOCUMENT_BYTES, "canonical")));
    assert_eq!(document.hash().to_string(), hex(&record(DOCUMENT_BYTES, "hash")));
    let decoded: Document = postcard::from_bytes(&record(DOCUMENT_BYTES, "canonical")).unwrap();
    assert_eq!(decoded.to_toml(), DOCUMENT);
}

#[test]
fn recorded_messages_are_read_and_written_back_unchanged() {
    use MessageType::*;
    let own = identity(2, 3);
    assert_eq!(own.group.to_string(), GROUP);
    let mut kinds = Vec::new();
    for (name, bytes) in records(MESSAGES) {
        let message = wire::decode(&own.group, &bytes).unwrap();
        assert_eq!(hex(&wire::encode(&own.group, &message)), hex(&bytes), "{name}");
        let is_leader = message.msg_type == MsgPropose;
        let replica_state = wire::ReplicaState { identity: &own, term: 3, last_index: 12, is_leader };
        assert_eq!(wire::check(&message, &replica_state), Ok(()), "{name}");
        kinds.push(message.msg_type);
    }
    let expected =
        [MsgAppend, MsgSnapshot, MsgRequestVote, MsgHeartbeat, MsgAppendResponse, MsgPropose].to_vec();
    assert_eq!(kinds, expected);
    let append = wire::decode(&own.group, &record(MESSAGES, "append")).unwrap();
    assert_eq!((append.from, append.to, append.term, append.index, append.log_term), (1, 2, 3, 9, 2));
    assert_eq!(append.entries.len(), 3);
    assert_eq!(proposal_of(&append.entries[1]).document.to_toml(), DOCUMENT);
}

/// The first half of the SHA-256 of the names `a`, `b` and `c`, each after its length.
const GROUP: &str = "3d10f2e96612f8284bd5233f0c75d628";

//! Tests of both stores: equal behaviour, crashes between and during writes, damaged files and files of other programs.

mod crash;
mod damage;

use super::*;
use crate::random::Random;
use std::fs;
use std::path::PathBuf;

/// A directory for one test, removed on drop.
pub(super) struct Directory(pub PathBuf);

impl Directory {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("topazpath-store-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub(super) fn identity() -> Identity {
    let voters = vec![VoterId(1), VoterId(2), VoterId(3)];
    Identity { group: GroupId::from_names(["a", "b", "c"]), voter: VoterId(2), voters }
}

fn entry(index: u64, term: u64, length: usize) -> Entry {
    Entry { index, term, data: vec![index as u8; length].into(), ..Entry::default() }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let mut snapshot = Snapshot { data: vec![7; 100 + index as usize].into(), ..Snapshot::default() };
    let metadata = snapshot.mut_metadata();
    metadata.index = index;
    metadata.term = term;
    metadata.mut_conf_state().voters = vec![1, 2, 3];
    snapshot
}

/// Random batches as a replica writes them: they append to the log, overwrite its end, compact it and replace it.
pub(super) fn batches(count: usize, seed: u64) -> Vec<Batch> {
    let mut random = Random::new(seed);
    let mut pick = move |below: u64| (random.draw() * below as f64) as u64;
    let mut stored = StoredState::default();
    let mut batches = Vec::new();
    for _ in 0..count {
        let mut batch = Batch::default();
        let mut hard_state = stored.hard_state.clone();
        hard_state.term += pick(2);
        hard_state.term = hard_state.term.max(1);
        match pick(8) {
            0 => {
                hard_state.commit = stored.last_index() + 5;
                batch.snapshot =
                    Some(SnapshotChange::Installed(snapshot(hard_state.commit, hard_state.term)));
            }
            1 | 2 if hard_state.commit > stored.snapshot_index() => {
                let term = stored.term(hard_state.commit).unwrap();
                batch.snapshot = Some(SnapshotChange::Compacted(snapshot(hard_state.commit, term)));
            }
            _ => {
                let first = hard_state.commit + 1 + pick(stored.last_index() - hard_state.commit + 1);
                let entries = first..first + 1 + pick(4);
                let length = pick(3_000) as usize;
                batch.entries = entries.map(|index| entry(index, hard_state.term, length)).collect();
                hard_state.vote = 1 + pick(3);
                hard_state.commit += pick(batch.entries.last().unwrap().index - hard_state.commit + 1);
            }
        }
        batch.hard_state = Some(hard_state);
        stored.apply(&batch);
        stored.check(&identity()).unwrap();
        batches.push(batch);
    }
    batches
}

#[test]
fn both_stores_have_the_same_state_after_each_batch_and_after_reopening() {
    let directory = Directory::new("same");
    let mut disk = DiskStore::create(&directory.0, identity()).unwrap();
    let mut memory = MemoryStore::new(identity());
    for (step, batch) in batches(120, 5).iter().enumerate() {
        disk.write(batch).unwrap();
        memory.write(batch).unwrap();
        if step % 10 == 0 {
            drop(disk);
            disk = DiskStore::open(&directory.0).unwrap();
        }
        assert_eq!(disk.load().unwrap(), memory.load().unwrap(), "after batch {step}");
    }
    assert_eq!(disk.identity(), &identity());
    assert_eq!(memory.writes(), 120);
}

#[test]
fn a_store_is_created_once_and_never_by_opening() {
    let directory = Directory::new("once");
    let missing = DiskStore::open(&directory.0).unwrap_err().0;
    assert!(
        missing.ends_with("there is no store; it is created once, when the planner is set up"),
        "{missing}"
    );
    assert!(!directory.0.exists());
    let mut store = DiskStore::create(&directory.0, identity()).unwrap();
    let batch = &batches(1, 1)[0];
    store.write(batch).unwrap();
    let again = DiskStore::create(&directory.0, identity()).unwrap_err().0;
    assert!(again.ends_with("there is a store already"), "{again}");
    let twice = DiskStore::open(&directory.0).unwrap_err().0;
    assert!(twice.contains("already open"), "{twice}");
    drop(store);
    assert_eq!(
        DiskStore::open(&directory.0).unwrap().load().unwrap().hard_state,
        batch.hard_state.clone().unwrap()
    );
}

#[test]
fn creation_succeeds_after_an_interrupted_one() {
    let directory = Directory::new("cut-off");
    fs::create_dir_all(&directory.0).unwrap();
    fs::write(directory.0.join("agreement.redb.new"), "half").unwrap();
    assert!(DiskStore::open(&directory.0).is_err());
    DiskStore::create(&directory.0, identity()).unwrap();
    assert!(!directory.0.join("agreement.redb.new").exists());
}

#[test]
fn an_identity_needs_one_three_or_five_voters_in_ascending_order() {
    let with = |voter: u64, voters: &[u64]| {
        let voters = voters.iter().copied().map(VoterId).collect();
        Identity { group: GroupId([0; 16]), voter: VoterId(voter), voters }.check()
    };
    assert_eq!(with(1, &[1]), Ok(()));
    assert_eq!(with(5, &[1, 2, 3, 4, 5]), Ok(()));
    let wrong: [(u64, &[u64]); 6] =
        [(1, &[]), (1, &[1, 2]), (4, &[1, 2, 3]), (1, &[3, 2, 1]), (1, &[1, 1, 2]), (0, &[0, 1, 2])];
    for (voter, voters) in wrong {
        assert!(with(voter, voters).is_err(), "{voter} of {voters:?}");
    }
}

#[test]
fn the_group_id_does_not_depend_on_the_order_of_names() {
    assert_eq!(GroupId::from_names(["a", "b", "c"]), GroupId::from_names(["c", "a", "b"]));
    assert_ne!(GroupId::from_names(["a", "bc"]), GroupId::from_names(["ab", "c"]));
}

#[test]
fn a_store_in_memory_fails_at_the_planned_write_until_restarted() {
    let batches = batches(4, 3);
    for (failure, kept) in [(Failure::Before(2), 2), (Failure::After(2), 3)] {
        let store = MemoryStore::new(identity());
        store.inject_failure(Some(failure));
        let mut handle = store.clone();
        let results: Vec<bool> = batches.iter().map(|batch| handle.write(batch).is_ok()).collect();
        assert_eq!(results, [true, true, false, false], "{failure:?}");
        let mut expected = StoredState::default();
        batches[..kept].iter().for_each(|batch| expected.apply(batch));
        store.restart();
        assert_eq!(store.load().unwrap(), expected, "{failure:?}");
    }
}

#[test]
fn an_inconsistent_state_is_refused() {
    let mut valid = StoredState::default();
    batches(30, 9).iter().for_each(|batch| valid.apply(batch));
    let entries = vec![
        entry(valid.last_index() + 1, valid.hard_state.term, 5),
        entry(valid.last_index() + 2, valid.hard_state.term, 5),
    ];
    valid.apply(&Batch { entries, ..Batch::default() });
    type Change = fn(&mut StoredState);
    let changes: [(&str, Change); 6] = [
        ("a vote for 9", |it| it.hard_state.vote = 9),
        ("commit index", |it| it.hard_state.commit = it.last_index() + 1),
        ("in the place of", |it| it.entries.back_mut().unwrap().index += 1),
        ("in the place of", |it| drop(it.entries.pop_front())),
        ("older term", |it| it.entries.back_mut().unwrap().term = 0),
        ("in term 0", |it| it.hard_state.term = 0),
    ];
    let store = MemoryStore::new(identity());
    for (expected, change) in changes {
        let mut stored = valid.clone();
        change(&mut stored);
        store.replace(stored);
        let error = store.load().unwrap_err().0;
        assert!(error.contains(expected), "{error}");
    }
    store.replace(valid);
    store.load().unwrap();
}

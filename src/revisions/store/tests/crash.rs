//! Crashes at each write that the database makes to its file: reopening finds the state before the batch or after it.

use super::*;
use redb::{Database, StorageBackend};
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug)]
enum Operation {
    Write { offset: u64, data: Vec<u8> },
    SetLength(u64),
    Sync,
}

/// A file in memory that records its operations.
#[derive(Clone, Debug, Default)]
struct Recorder {
    image: Arc<Mutex<Vec<u8>>>,
    operations: Arc<Mutex<Vec<Operation>>>,
}

impl Recorder {
    fn record(&self, operation: Operation) {
        apply(&mut self.image.lock().unwrap(), &operation);
        self.operations.lock().unwrap().push(operation);
    }
}

fn apply(image: &mut Vec<u8>, operation: &Operation) {
    match operation {
        Operation::Write { offset, data } => {
            let end = *offset as usize + data.len();
            if image.len() < end {
                image.resize(end, 0);
            }
            image[*offset as usize..end].copy_from_slice(data);
        }
        Operation::SetLength(length) => image.resize(*length as usize, 0),
        Operation::Sync => {}
    }
}

impl StorageBackend for Recorder {
    fn len(&self) -> io::Result<u64> {
        Ok(self.image.lock().unwrap().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let image = self.image.lock().unwrap();
        out.copy_from_slice(&image[offset as usize..offset as usize + out.len()]);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.record(Operation::SetLength(length));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.record(Operation::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.record(Operation::Write { offset, data: data.to_vec() });
        Ok(())
    }
}

/// A possible content of the disk after a crash: everything up to the last sync, and a random part of the later writes.
/// `loss` is the probability that a later write is lost; 0 means that only the process crashed.
fn image_after_crash(operations: &[Operation], loss: f64, random: &mut Random) -> Vec<u8> {
    let last_sync =
        operations.iter().rposition(|operation| matches!(operation, Operation::Sync)).unwrap_or(0);
    let mut image = Vec::new();
    for (position, operation) in operations.iter().enumerate() {
        let lost =
            position > last_sync && matches!(operation, Operation::Write { .. }) && random.draw() < loss;
        if !lost {
            apply(&mut image, operation);
        }
    }
    image
}

#[test]
fn a_crash_at_any_write_leaves_the_state_before_the_batch_or_after_it() {
    let recorder = Recorder::default();
    let database = Database::builder().create_with_backend(recorder.clone()).unwrap();
    let mut store = DiskStore::create_in(database, identity()).unwrap();
    let created = recorder.operations.lock().unwrap().len();
    // Each state with the number of operations done when its write returned as durable.
    let mut states = vec![(created, StoredState::default())];
    for batch in batches(14, 11) {
        store.write(&batch).unwrap();
        let mut stored = states.last().unwrap().1.clone();
        stored.apply(&batch);
        states.push((recorder.operations.lock().unwrap().len(), stored));
    }
    let operations = recorder.operations.lock().unwrap().clone();
    let directory = Directory::new("crash");
    fs::create_dir_all(&directory.0).unwrap();
    let mut random = Random::new(1);
    let mut found_after = 0;
    let crashes = (created..operations.len()).flat_map(|length| [(length, 0.0), (length, 0.3)]);
    for (length, loss) in crashes {
        let image = image_after_crash(&operations[..length], loss, &mut random);
        fs::write(directory.0.join(FILE_NAME), image).unwrap();
        let found = DiskStore::open(&directory.0).unwrap().load().unwrap();
        let durable = states.iter().rposition(|(done, _)| *done <= length).unwrap();
        let before = found == states[durable].1;
        let after = states.get(durable + 1).is_some_and(|(_, stored)| found == *stored);
        assert!(before || after, "after {length} operations of {}", operations.len());
        found_after += usize::from(after);
    }
    assert!(operations.len() - created > 50 && found_after > 0, "{} operations", operations.len());
}

#[test]
fn a_copy_of_the_file_after_each_batch_holds_all_that_was_written() {
    let directory = Directory::new("copy");
    let copy = Directory::new("copy-of");
    fs::create_dir_all(&copy.0).unwrap();
    let mut store = DiskStore::create(&directory.0, identity()).unwrap();
    let mut expected = StoredState::default();
    for (step, batch) in batches(25, 13).iter().enumerate() {
        store.write(batch).unwrap();
        expected.apply(batch);
        // The store is still open: the copy is what a killed process leaves.
        fs::copy(directory.0.join(FILE_NAME), copy.0.join(FILE_NAME)).unwrap();
        let found = DiskStore::open(&copy.0).unwrap().load().unwrap();
        assert_eq!(found, expected, "after batch {step}");
    }
}

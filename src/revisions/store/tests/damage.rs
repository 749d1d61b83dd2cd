//! Damaged files, and files that are not stores: opening gives a one-line error or exactly the state that was written.

use super::*;

fn is_one_line(error: &StoreError) -> bool {
    !error.0.is_empty() && !error.0.contains('\n')
}

#[test]
fn a_damaged_file_gives_a_one_line_error_or_the_state_that_was_written() {
    let directory = Directory::new("damage");
    let mut store = DiskStore::create(&directory.0, identity()).unwrap();
    batches(20, 17).iter().for_each(|batch| store.write(batch).unwrap());
    let expected = store.load().unwrap();
    drop(store);
    let file = directory.0.join(FILE_NAME);
    let original = fs::read(&file).unwrap();
    let mut random = Random::new(4);
    let mut refused = 0;
    for attempt in 0..150 {
        let mut damaged = original.clone();
        match attempt % 3 {
            0 => damaged.truncate((random.draw() * original.len() as f64) as usize),
            1 => {
                let position = (random.draw() * original.len() as f64) as usize;
                damaged[position] ^= 1 << (attempt % 8);
            }
            _ => {
                let start = (random.draw() * original.len() as f64) as usize;
                let end = original.len().min(start + 4096);
                damaged[start..end].fill(0xA5);
            }
        }
        fs::write(&file, &damaged).unwrap();
        match DiskStore::open(&directory.0) {
            Ok(store) => assert_eq!(store.load().unwrap(), expected, "attempt {attempt}"),
            Err(error) => {
                assert!(is_one_line(&error), "{error}");
                refused += 1;
            }
        }
    }
    assert!(refused > 50, "{refused} of 150 were refused");
}

#[test]
fn a_file_that_is_not_a_store_is_refused_in_one_line() {
    let directory = Directory::new("foreign");
    fs::create_dir_all(&directory.0).unwrap();
    let file = directory.0.join(FILE_NAME);
    for content in ["", "[planner]\nname = \"a\"\n", "\0\0\0\0"] {
        fs::write(&file, content).unwrap();
        let error = DiskStore::open(&directory.0).unwrap_err();
        assert!(is_one_line(&error) && error.0.contains(FILE_NAME), "{error}");
        assert_eq!(fs::read_to_string(&file).unwrap(), content);
    }
    fs::remove_file(&file).unwrap();
    fs::create_dir(&file).unwrap();
    assert!(is_one_line(&DiskStore::open(&directory.0).unwrap_err()));
    fs::remove_dir(&file).unwrap();
    // A redb database without the store's tables.
    drop(redb::Database::create(&file).unwrap());
    let error = DiskStore::open(&directory.0).unwrap_err();
    assert!(is_one_line(&error), "{error}");
}

#[test]
fn a_store_of_another_format_is_refused() {
    let directory = Directory::new("format");
    drop(DiskStore::create(&directory.0, identity()).unwrap());
    let facts: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("facts");
    let database = redb::Database::open(directory.0.join(FILE_NAME)).unwrap();
    let transaction = database.begin_write().unwrap();
    transaction.open_table(facts).unwrap().insert("format", [9, 0, 0, 0].as_slice()).unwrap();
    transaction.commit().unwrap();
    drop(database);
    let error = DiskStore::open(&directory.0).unwrap_err().0;
    assert!(error.ends_with("format [9, 0, 0, 0], where this program has 1"), "{error}");
}

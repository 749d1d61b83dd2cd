//! The store on disk: one `redb` file with a table for the log and one for everything else. Each batch is one
//! transaction with `Durability::Immediate`.

use super::{
    Batch, Entry, HardState, Identity, ReplicaStore, Snapshot, SnapshotChange, StoreError, StoredState,
};
use protobuf::Message;
use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::{self, File};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// The name of the store's file in its directory.
pub const FILE_NAME: &str = "agreement.redb";
/// The name of the file while it is being created.
const NEW_FILE_NAME: &str = "agreement.redb.new";
/// The version of the tables' content.
const FORMAT: u32 = 1;
/// The database's page cache, in bytes. It is small because the log is only read at the start.
const CACHE_BYTES: usize = 2 << 20;

const FACTS_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const FORMAT_KEY: &str = "format";
const IDENTITY_KEY: &str = "identity";
const HARD_STATE_KEY: &str = "hard-state";
const SNAPSHOT_KEY: &str = "snapshot";

/// A store in a file, which only one process can have open.
#[derive(Debug)]
pub struct DiskStore {
    path: PathBuf,
    database: Database,
    identity: Identity,
}

impl DiskStore {
    /// Creates an empty store in a directory, which is created if it is missing. This is done once per voter: a voter
    /// that lost its disk no longer knows its votes, and must not vote again under its old id.
    ///
    /// # Errors
    ///
    /// The directory has a store already, or the file can't be written.
    pub fn create(directory: &Path, identity: Identity) -> Result<DiskStore, StoreError> {
        identity.check()?;
        let path = directory.join(FILE_NAME);
        if path.exists() {
            return Err(store_error(&path, "there is a store already"));
        }
        fs::create_dir_all(directory).map_err(|error| store_error(directory, error))?;
        let new_path = directory.join(NEW_FILE_NAME);
        create_file(&new_path, &identity)?;
        // A hard link fails if the name exists; a rename would replace an existing store.
        fs::hard_link(&new_path, &path).map_err(|error| store_error(&path, error))?;
        fs::remove_file(&new_path).map_err(|error| store_error(&new_path, error))?;
        File::open(directory).and_then(|it| it.sync_all()).map_err(|error| store_error(directory, error))?;
        DiskStore::open(directory)
    }

    /// Opens the store in a directory, and checks its content.
    ///
    /// # Errors
    ///
    /// There is no store, another process has it open, the file is damaged, or its format is not this program's.
    pub fn open(directory: &Path) -> Result<DiskStore, StoreError> {
        let path = directory.join(FILE_NAME);
        if !path.exists() {
            return Err(store_error(
                &path,
                "there is no store; it is created once, when the planner is set up",
            ));
        }
        // `redb` panics on some damaged files; the caller receives an error that names the file instead.
        let opened = catch_panic(|| open_database(&path));
        let (database, identity) =
            opened.unwrap_or_else(|_| Err(store_error(&path, "the file is damaged")))?;
        identity.check().map_err(|error| store_error(&path, error))?;
        let store = DiskStore { path, database, identity };
        store.load()?;
        Ok(store)
    }

    /// Creates an empty store in a database that a test provides.
    #[cfg(test)]
    pub(super) fn create_in(database: Database, identity: Identity) -> Result<DiskStore, redb::Error> {
        write_initial_rows(&database, &identity)?;
        Ok(DiskStore { path: PathBuf::new(), database, identity })
    }

    fn read(&self) -> Result<StoredState, redb::Error> {
        let transaction = self.database.begin_read()?;
        let facts = transaction.open_table(FACTS_TABLE)?;
        let mut stored = StoredState::default();
        if let Some(bytes) = facts.get(HARD_STATE_KEY)? {
            stored.hard_state = HardState::parse_from_bytes(bytes.value()).map_err(corrupted)?;
        }
        if let Some(bytes) = facts.get(SNAPSHOT_KEY)? {
            stored.snapshot = Snapshot::parse_from_bytes(bytes.value()).map_err(corrupted)?;
        }
        for row in transaction.open_table(LOG_TABLE)?.iter()? {
            let entry = Entry::parse_from_bytes(row?.1.value()).map_err(corrupted)?;
            stored.entries.push_back(entry);
        }
        Ok(stored)
    }

    fn commit(&self, batch: &Batch) -> Result<(), redb::Error> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        {
            let mut facts = transaction.open_table(FACTS_TABLE)?;
            let mut log = transaction.open_table(LOG_TABLE)?;
            match &batch.snapshot {
                Some(SnapshotChange::Installed(snapshot)) => {
                    log.retain(|_, _| false)?;
                    facts.insert(SNAPSHOT_KEY, bytes(snapshot)?.as_slice())?;
                }
                Some(SnapshotChange::Compacted(snapshot)) => {
                    let last_index = snapshot.get_metadata().index;
                    log.retain_in(..=last_index, |_, _| false)?;
                    facts.insert(SNAPSHOT_KEY, bytes(snapshot)?.as_slice())?;
                }
                None => {}
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in &batch.entries {
                log.insert(entry.index, bytes(entry)?.as_slice())?;
            }
            if let Some(hard_state) = &batch.hard_state {
                facts.insert(HARD_STATE_KEY, bytes(hard_state)?.as_slice())?;
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

impl ReplicaStore for DiskStore {
    fn identity(&self) -> &Identity {
        &self.identity
    }

    fn load(&self) -> Result<StoredState, StoreError> {
        let read = catch_panic(|| self.read().map_err(|error| store_error(&self.path, error)));
        let stored = read.unwrap_or_else(|_| Err(store_error(&self.path, "the file is damaged")))?;
        stored.check(&self.identity).map_err(|error| store_error(&self.path, error))?;
        Ok(stored)
    }

    fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.commit(batch).map_err(|error| store_error(&self.path, error))
    }
}

fn create_file(path: &Path, identity: &Identity) -> Result<(), StoreError> {
    if path.exists() {
        // Left over from a creation that was interrupted.
        fs::remove_file(path).map_err(|error| store_error(path, error))?;
    }
    let database = builder().create(path).map_err(|error| store_error(path, error))?;
    write_initial_rows(&database, identity).map_err(|error| store_error(path, error))
}

fn write_initial_rows(database: &Database, identity: &Identity) -> Result<(), redb::Error> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate)?;
    {
        let mut facts = transaction.open_table(FACTS_TABLE)?;
        facts.insert(FORMAT_KEY, FORMAT.to_le_bytes().as_slice())?;
        let identity = postcard::to_allocvec(identity).map_err(corrupted)?;
        facts.insert(IDENTITY_KEY, identity.as_slice())?;
        transaction.open_table(LOG_TABLE)?;
    }
    transaction.commit()?;
    Ok(())
}

fn open_database(path: &Path) -> Result<(Database, Identity), StoreError> {
    let database = builder().open(path).map_err(|error| store_error(path, error))?;
    let (format, identity) = read_identity(&database).map_err(|error| store_error(path, error))?;
    if format.as_deref() != Some(FORMAT.to_le_bytes().as_slice()) {
        let found = match format {
            Some(bytes) => format!("{bytes:?}"),
            None => "none".into(),
        };
        return Err(store_error(path, format!("format {found}, where this program has {FORMAT}")));
    }
    let identity = identity.and_then(|bytes| postcard::from_bytes(&bytes).ok());
    let identity = identity.ok_or_else(|| store_error(path, "the store has no readable identity"))?;
    Ok((database, identity))
}

type FactBytes = Option<Vec<u8>>;

fn read_identity(database: &Database) -> Result<(FactBytes, FactBytes), redb::Error> {
    let facts = database.begin_read()?.open_table(FACTS_TABLE)?;
    let fact = |key| facts.get(key).map(|found| found.map(|bytes| bytes.value().to_vec()));
    Ok((fact(FORMAT_KEY)?, fact(IDENTITY_KEY)?))
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder.set_check_integrity_on_open(true);
    builder
}

/// Calls a function that may panic on a damaged file, and returns the panic as an error.
fn catch_panic<T>(call: impl FnOnce() -> T) -> std::thread::Result<T> {
    catch_unwind(AssertUnwindSafe(call))
}

fn bytes(message: &impl Message) -> Result<Vec<u8>, redb::Error> {
    message.write_to_bytes().map_err(corrupted)
}

fn corrupted(error: impl std::fmt::Display) -> redb::Error {
    redb::Error::Corrupted(error.to_string())
}

/// An error with the path, on one line even if the cause has several.
fn store_error(path: &Path, error: impl std::fmt::Display) -> StoreError {
    let cause = error.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
    StoreError(format!("{}: {cause}", path.display()))
}

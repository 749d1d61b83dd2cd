//! The store on disk: one `redb` file, `Durability::Immediate`.

use super::{
    Batch, Entry, HardState, Identity, ReplicaStore, Snapshot, SnapshotChange, StoreError, StoredState,
};
use protobuf::Message;
use redb::{Builder, Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::{self, File};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// The name of the file in the directory that is given.
pub const FILE_NAME: &str = "agreement.redb";
/// The name of the file until it is complete.
const NEW_FILE_NAME: &str = "agreement.redb.new";
/// The version of what the tables hold.
const FORMAT: u32 = 1;
/// Memory that the database keeps pages in, in bytes: the log is read once, so little is of use.
const CACHE_BYTES: usize = 2 << 20;

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const FORMAT_KEY: &str = "format";
const IDENTITY_KEY: &str = "identity";
const HARD_STATE_KEY: &str = "hard-state";
const SNAPSHOT_KEY: &str = "snapshot";

/// A store in a file. Only one process can have it open.
#[derive(Debug)]
pub struct DiskStore {
    path: PathBuf,
    database: Database,
    identity: Identity,
}

impl DiskStore {
    /// Makes a new, empty store in a directory, which is made where it is missing. This is done once in the life of a
    /// voter: one that lost its disk has forgotten its votes, and must not vote again under its old id.
    ///
    /// # Errors
    ///
    /// There is a store already, or the file can't be written.
    pub fn create(directory: &Path, identity: Identity) -> Result<DiskStore, StoreError> {
        identity.check()?;
        let path = directory.join(FILE_NAME);
        if path.exists() {
            return Err(failed(&path, "there is a store already"));
        }
        fs::create_dir_all(directory).map_err(|error| failed(directory, error))?;
        let new = directory.join(NEW_FILE_NAME);
        write_new(&new, &identity)?;
        // A hard link fails where the name is taken, which a rename does not.
        fs::hard_link(&new, &path).map_err(|error| failed(&path, error))?;
        fs::remove_file(&new).map_err(|error| failed(&new, error))?;
        File::open(directory).and_then(|it| it.sync_all()).map_err(|error| failed(directory, error))?;
        DiskStore::open(directory)
    }

    /// Opens the store that a directory has.
    ///
    /// # Errors
    ///
    /// There is none, another process has it open, it is damaged, or it is no store of this program.
    pub fn open(directory: &Path) -> Result<DiskStore, StoreError> {
        let path = directory.join(FILE_NAME);
        if !path.exists() {
            return Err(failed(&path, "there is no store; it is created once, when the planner is set up"));
        }
        // `redb` asserts what it can't read: a damaged file must not end the process without a word.
        let opened = quietly(|| open_database(&path));
        let (database, identity) = opened.unwrap_or_else(|_| Err(failed(&path, "the file is damaged")))?;
        identity.check().map_err(|error| failed(&path, error))?;
        let store = DiskStore { path, database, identity };
        store.load()?;
        Ok(store)
    }

    /// A new store in a database that a test has made.
    #[cfg(test)]
    pub(super) fn fill(database: Database, identity: Identity) -> Result<DiskStore, redb::Error> {
        fill_new(&database, &identity)?;
        Ok(DiskStore { path: PathBuf::new(), database, identity })
    }

    fn read(&self) -> Result<StoredState, redb::Error> {
        let transaction = self.database.begin_read()?;
        let facts = transaction.open_table(FACTS)?;
        let mut stored = StoredState::default();
        if let Some(bytes) = facts.get(HARD_STATE_KEY)? {
            stored.hard_state = HardState::parse_from_bytes(bytes.value()).map_err(corrupted)?;
        }
        if let Some(bytes) = facts.get(SNAPSHOT_KEY)? {
            stored.snapshot = Snapshot::parse_from_bytes(bytes.value()).map_err(corrupted)?;
        }
        for row in transaction.open_table(LOG)?.iter()? {
            let entry = Entry::parse_from_bytes(row?.1.value()).map_err(corrupted)?;
            stored.entries.push_back(entry);
        }
        Ok(stored)
    }

    fn commit(&self, batch: &Batch) -> Result<(), redb::Error> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        {
            let mut facts = transaction.open_table(FACTS)?;
            let mut log = transaction.open_table(LOG)?;
            match &batch.snapshot {
                Some(SnapshotChange::Installed(snapshot)) => {
                    log.retain(|_, _| false)?;
                    facts.insert(SNAPSHOT_KEY, bytes(snapshot)?.as_slice())?;
                }
                Some(SnapshotChange::Compacted(snapshot)) => {
                    let end = snapshot.get_metadata().index;
                    log.retain_in(..=end, |_, _| false)?;
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
        let read = quietly(|| self.read().map_err(|error| failed(&self.path, error)));
        let stored = read.unwrap_or_else(|_| Err(failed(&self.path, "the file is damaged")))?;
        stored.check(&self.identity).map_err(|error| failed(&self.path, error))?;
        Ok(stored)
    }

    fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.commit(batch).map_err(|error| failed(&self.path, error))
    }
}

fn write_new(path: &Path, identity: &Identity) -> Result<(), StoreError> {
    if path.exists() {
        // Left by a creation that did not come to its end.
        fs::remove_file(path).map_err(|error| failed(path, error))?;
    }
    let made = builder().create(path).map_err(|error| failed(path, error))?;
    fill_new(&made, identity).map_err(|error| failed(path, error))
}

fn fill_new(database: &Database, identity: &Identity) -> Result<(), redb::Error> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate)?;
    {
        let mut facts = transaction.open_table(FACTS)?;
        facts.insert(FORMAT_KEY, FORMAT.to_le_bytes().as_slice())?;
        let identity = postcard::to_allocvec(identity).map_err(corrupted)?;
        facts.insert(IDENTITY_KEY, identity.as_slice())?;
        transaction.open_table(LOG)?;
    }
    transaction.commit()?;
    Ok(())
}

fn open_database(path: &Path) -> Result<(Database, Identity), StoreError> {
    let database = builder().open(path).map_err(|error| failed(path, error))?;
    let (format, identity) = read_identity(&database).map_err(|error| failed(path, error))?;
    if format.as_deref() != Some(FORMAT.to_le_bytes().as_slice()) {
        let found = match format {
            Some(bytes) => format!("{bytes:?}"),
            None => "none".into(),
        };
        return Err(failed(path, format!("format {found}, where this program has {FORMAT}")));
    }
    let identity = identity.and_then(|bytes| postcard::from_bytes(&bytes).ok());
    let identity = identity.ok_or_else(|| failed(path, "it does not say whose store it is"))?;
    Ok((database, identity))
}

type Fact = Option<Vec<u8>>;

fn read_identity(database: &Database) -> Result<(Fact, Fact), redb::Error> {
    let facts = database.begin_read()?.open_table(FACTS)?;
    let fact = |key| facts.get(key).map(|found| found.map(|bytes| bytes.value().to_vec()));
    Ok((fact(FORMAT_KEY)?, fact(IDENTITY_KEY)?))
}

fn builder() -> Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    builder.set_check_integrity_on_open(true);
    builder
}

/// Calls what may panic on a damaged file.
fn quietly<T>(call: impl FnOnce() -> T) -> std::thread::Result<T> {
    catch_unwind(AssertUnwindSafe(call))
}

fn bytes(message: &impl Message) -> Result<Vec<u8>, redb::Error> {
    message.write_to_bytes().map_err(corrupted)
}

fn corrupted(error: impl std::fmt::Display) -> redb::Error {
    redb::Error::Corrupted(error.to_string())
}

/// One line, whatever the cause says.
fn failed(path: &Path, error: impl std::fmt::Display) -> StoreError {
    let cause = error.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
    StoreError(format!("{}: {cause}", path.display()))
}

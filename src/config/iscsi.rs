//! The second front: what `deploy/iscsi.toml` says of listening, offered targets and block storage reached.

use super::Wire;
use crate::interface::{Class, DedupScope, Effect, NewRequest, Settings, VolumeId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Bytes of the largest transfer: what a value of the other wire holds.
const MOST_BYTES: usize = 64 * 1024;

/// The second front as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Iscsi {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Targets offered to clients.
    pub exports: Vec<Export>,
    /// Targets that hold shards.
    pub storage: Vec<Storage>,
}

/// A target offered to clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// Its iSCSI name.
    pub name: String,
    /// Its logical units.
    pub units: BTreeMap<u16, Unit>,
}

/// A logical unit and the volume that it stands for.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// Its volume.
    pub volume: VolumeId,
    /// The volume's plan, by position in the settings.
    pub plan: usize,
    /// The class of its reads, by position in the settings.
    pub read_class: usize,
    /// The class of its writes.
    pub write_class: usize,
    /// Reads of so many blocks or more are of this class.
    pub bulk: Option<(u32, usize)>,
    /// The shard that holds it.
    pub shard: u32,
    /// How many initiators its requests come through.
    pub hosts: f64,
    /// Its size.
    pub blocks: u64,
    /// Bytes of a block.
    pub block_bytes: u32,
    /// Most bytes of a transfer.
    pub most_bytes: usize,
    /// Its number at the storage that holds it.
    pub storage_lun: u16,
    unit_bytes: u32,
    names: Names,
}

#[derive(Clone, Debug, PartialEq)]
struct Names {
    classes: Vec<String>,
    plan: String,
}

/// An iSCSI target that holds a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Storage {
    /// Its iSCSI name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shard.
    pub shard: u32,
}

impl Iscsi {
    /// Another size of the largest request, in units.
    pub(crate) fn set_largest(&mut self, largest: f64) {
        for unit in self.exports.iter_mut().flat_map(|export| export.units.values_mut()) {
            unit.most_bytes = most_bytes(largest, unit.unit_bytes);
        }
    }
}

impl Unit {
    /// Units that a transfer counts.
    pub(crate) fn units_of(&self, blocks: u32) -> f64 {
        (u64::from(blocks) * u64::from(self.block_bytes)).div_ceil(self.unit_bytes.into()) as f64
    }

    /// What a node of the other wire is told of a request.
    pub(crate) fn attributes(&self, class: usize, new: &NewRequest) -> String {
        format!(
            "c={},t={},volume={:016x},units={},shard={},hosts={}",
            self.names.classes[class], self.names.plan, self.volume.0, new.units, self.shard, self.hosts
        )
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    enabled: bool,
    listen: SocketAddr,
    #[serde(default)]
    storage: Vec<FileStorage>,
    #[serde(default)]
    target: Vec<FileTarget>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileStorage {
    name: String,
    address: SocketAddr,
    shard: u32,
    /// For how long it drops repeats of a write; 0: it does not.
    #[serde(default)]
    drops_repeats_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileTarget {
    name: String,
    #[serde(default)]
    unit: Vec<FileUnit>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileUnit {
    lun: u16,
    volume: String,
    plan: String,
    read: String,
    write: String,
    bulk: Option<String>,
    #[serde(default)]
    bulk_from_blocks: u32,
    shard: u32,
    #[serde(default = "one")]
    hosts: u32,
    blocks: u64,
    #[serde(default = "sector")]
    block_bytes: u32,
    #[serde(default = "page")]
    unit_bytes: u32,
    storage_lun: Option<u16>,
}

fn one() -> u32 {
    1
}

fn sector() -> u32 {
    512
}

fn page() -> u32 {
    8192
}

impl Iscsi {
    /// Reads the file, if there is one and it is switched on. A write to storage that is not declared to drop
    /// repeats gets a class of its own that may not run twice, so classes may be added to the settings.
    pub(crate) fn read(
        path: &Path,
        settings: &mut Settings,
        wire: &mut Wire,
    ) -> Result<Option<Iscsi>, String> {
        match super::read_if_there(path)? {
            Some(text) => Iscsi::parse(&text, settings, wire),
            None => Ok(None),
        }
    }

    fn parse(text: &str, settings: &mut Settings, wire: &mut Wire) -> Result<Option<Iscsi>, String> {
        let file: File = toml::from_str(text).map_err(|error| error.message().to_string())?;
        if !file.enabled {
            return Ok(None);
        }
        let mut exports = Vec::new();
        for target in file.target {
            let mut units = BTreeMap::new();
            for unit in target.unit {
                let storage = file.storage.iter().find(|storage| storage.shard == unit.shard);
                let lun = unit.lun;
                let unit = read_unit(unit, storage, settings, wire)
                    .map_err(|why| format!("{} unit {lun}: {why}", target.name))?;
                if lun >= 1 << 14 || units.insert(lun, unit).is_some() {
                    return Err(format!("{} unit {lun}: stated twice or above 16383", target.name));
                }
            }
            exports.push(Export { name: target.name, units });
        }
        // Each unit's attributes name classes that were added after it as well.
        for unit in exports.iter_mut().flat_map(|export| export.units.values_mut()) {
            unit.names.classes = wire.classes.clone();
        }
        let storage = file.storage.into_iter();
        let storage =
            storage.map(|it| Storage { name: it.name, address: it.address, shard: it.shard }).collect();
        Ok(Some(Iscsi { listen: file.listen, exports, storage }))
    }
}

fn read_unit(
    unit: FileUnit,
    storage: Option<&FileStorage>,
    settings: &mut Settings,
    wire: &mut Wire,
) -> Result<Unit, String> {
    let position = |names: &[String], name: &str| {
        names.iter().position(|one| one == name).ok_or_else(|| format!("{name:?} is not in the settings"))
    };
    let plan = position(&wire.plans, &unit.plan)?;
    let read_class = position(&wire.classes, &unit.read)?;
    let bulk = unit.bulk.as_deref().map(|name| position(&wire.classes, name)).transpose()?;
    let write = position(&wire.classes, &unit.write)?;
    let write_class = storage.map_or(write, |storage| write_class(write, storage, settings, wire));
    let volume = u64::from_str_radix(&unit.volume, 16).map_err(|_| "its volume is not hexadecimal")?;
    if unit.blocks == 0 || unit.block_bytes == 0 || unit.unit_bytes == 0 || unit.hosts == 0 {
        return Err("blocks, block_bytes, unit_bytes and hosts must be above 0".into());
    }
    Ok(Unit {
        volume: VolumeId(volume),
        plan,
        read_class,
        write_class,
        bulk: bulk.map(|class| (unit.bulk_from_blocks, class)),
        shard: unit.shard,
        hosts: unit.hosts.into(),
        blocks: unit.blocks,
        block_bytes: unit.block_bytes,
        most_bytes: most_bytes(settings.units.largest, unit.unit_bytes),
        storage_lun: unit.storage_lun.unwrap_or(unit.lun),
        unit_bytes: unit.unit_bytes,
        names: Names { classes: Vec::new(), plan: unit.plan },
    })
}

/// Bytes of the largest transfer, given the units of the largest request and the bytes of one unit.
fn most_bytes(largest: f64, unit_bytes: u32) -> usize {
    ((largest * f64::from(unit_bytes)) as usize).min(MOST_BYTES)
}

/// The class of writes to a storage: that stated, but repeatable only as far as the storage drops repeats.
fn write_class(stated: usize, storage: &FileStorage, settings: &mut Settings, wire: &mut Wire) -> usize {
    let dedup_window = Duration::from_millis(storage.drops_repeats_ms);
    let effect = if dedup_window.is_zero() { Effect::Unsafe } else { Effect::Keyed(DedupScope::Shard) };
    let wanted = Class { effect, dedup_window, ..settings.classes[stated].clone() };
    // A class of the same name and terms serves all storage alike.
    let same =
        |class: usize| settings.classes[class] == wanted && wire.classes[class] == wire.classes[stated];
    (0..settings.classes.len()).find(|class| same(*class)).unwrap_or_else(|| {
        settings.classes.push(wanted);
        wire.classes.push(wire.classes[stated].clone());
        settings.classes.len() - 1
    })
}

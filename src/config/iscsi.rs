//! Configuration of the iSCSI front (`deploy/iscsi.toml`): listener, exported targets, and iSCSI storage nodes.

use super::Wire;
use crate::interface::{Class, DedupScope, Effect, NewRequest, Settings, VolumeId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Largest transfer in bytes: the largest value of the RESP protocol.
const MAX_TRANSFER_BYTES: usize = 64 * 1024;

/// Configuration of the iSCSI front.
#[derive(Clone, Debug, PartialEq)]
pub struct Iscsi {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Targets exported to clients.
    pub exports: Vec<Export>,
    /// iSCSI targets that store shards.
    pub storage: Vec<Storage>,
}

/// A target exported to clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// Its iSCSI name.
    pub name: String,
    /// Its logical units.
    pub units: BTreeMap<u16, Unit>,
}

/// A logical unit and the volume behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    /// The volume.
    pub volume: VolumeId,
    /// The volume's plan, as an index into the settings.
    pub plan: usize,
    /// Class of reads, as an index into the settings.
    pub read_class: usize,
    /// Class of writes.
    pub write_class: usize,
    /// Reads of at least this many blocks have this class.
    pub bulk: Option<(u32, usize)>,
    /// The shard that stores the volume.
    pub shard: u32,
    /// Number of initiators that send requests to the volume.
    pub hosts: f64,
    /// Size in blocks.
    pub blocks: u64,
    /// Bytes per block.
    pub block_bytes: u32,
    /// Largest transfer in bytes.
    pub max_transfer_bytes: usize,
    /// LUN at the storage node.
    pub storage_lun: u16,
    unit_bytes: u32,
    names: Names,
}

#[derive(Clone, Debug, PartialEq)]
struct Names {
    classes: Vec<String>,
    plan: String,
}

/// An iSCSI target that stores a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Storage {
    /// Its iSCSI name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// The shard that it stores.
    pub shard: u32,
}

impl Iscsi {
    /// Applies a changed size of the largest request, in units.
    pub(crate) fn set_largest(&mut self, largest: f64) {
        for unit in self.exports.iter_mut().flat_map(|export| export.units.values_mut()) {
            unit.max_transfer_bytes = max_transfer_bytes(largest, unit.unit_bytes);
        }
    }
}

impl Unit {
    /// Units of a transfer of this many blocks.
    pub(crate) fn units_of(&self, blocks: u32) -> f64 {
        (u64::from(blocks) * u64::from(self.block_bytes)).div_ceil(self.unit_bytes.into()) as f64
    }

    /// The request attributes sent to a RESP node.
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
    /// How long it drops repeats of a write; 0 if it does not.
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
    /// Reads the file, if it exists and is enabled. A write to storage that is not declared to drop repeats gets a
    /// class of its own that must not run twice, so classes may be added to the settings.
    pub(crate) fn read(
        path: &Path,
        settings: &mut Settings,
        wire: &mut Wire,
    ) -> Result<Option<Iscsi>, String> {
        match super::read_optional(path)? {
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
        // Includes the classes that were added after the unit was read.
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
        max_transfer_bytes: max_transfer_bytes(settings.units.largest, unit.unit_bytes),
        storage_lun: unit.storage_lun.unwrap_or(unit.lun),
        unit_bytes: unit.unit_bytes,
        names: Names { classes: Vec::new(), plan: unit.plan },
    })
}

/// Bytes of the largest transfer, from the units of the largest request and the bytes of one unit.
fn max_transfer_bytes(largest: f64, unit_bytes: u32) -> usize {
    ((largest * f64::from(unit_bytes)) as usize).min(MAX_TRANSFER_BYTES)
}

/// Class of writes to a storage node: as configured, but repeatable only as long as the storage drops repeats.
fn write_class(
    wanted_class: usize,
    storage: &FileStorage,
    settings: &mut Settings,
    wire: &mut Wire,
) -> usize {
    let dedup_window = Duration::from_millis(storage.drops_repeats_ms);
    let effect = if dedup_window.is_zero() { Effect::Unsafe } else { Effect::Keyed(DedupScope::Shard) };
    let wanted = Class { effect, dedup_window, ..settings.classes[wanted_class].clone() };
    // A class with the same name and properties is shared between storage nodes.
    let matches =
        |class: usize| settings.classes[class] == wanted && wire.classes[class] == wire.classes[wanted_class];
    (0..settings.classes.len()).find(|class| matches(*class)).unwrap_or_else(|| {
        settings.classes.push(wanted);
        wire.classes.push(wire.classes[wanted_class].clone());
        settings.classes.len() - 1
    })
}

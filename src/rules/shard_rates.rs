//! What each shard serves this host when warm, learned over the nodes that hold it one after another.

use super::node_table::NodeTable;
use super::SMOOTHING;
use crate::interface::Rules;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rates are set to nothing by whoever hands them over.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct ShardRate {
    /// Smoothed units a second, the intervals it is smoothed over, and units of this interval.
    rate: f64,
    intervals: f64,
    interval_units: f64,
    listed_at: Duration,
}

/// The rates by shard, and their sum.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
#[serde(from = "BTreeMap<u32, ShardRate>", into = "BTreeMap<u32, ShardRate>")]
pub(super) struct ShardRates {
    shards: BTreeMap<u32, ShardRate>,
    /// The sum of all rates, until one changes.
    sum: Cell<Option<f64>>,
}

impl From<BTreeMap<u32, ShardRate>> for ShardRates {
    fn from(shards: BTreeMap<u32, ShardRate>) -> Self {
        ShardRates { shards, sum: Cell::new(None) }
    }
}

impl From<ShardRates> for BTreeMap<u32, ShardRate> {
    fn from(rates: ShardRates) -> Self {
        rates.shards
    }
}

impl ShardRates {
    /// A shard has served so many units, as a warm node would count them.
    pub fn record(&mut self, shard: u32, units: f64) {
        self.shards.entry(shard).or_default().interval_units += units;
    }

    /// Units a second of a shard, or of the mean one where that is more.
    pub fn at_least_mean(&self, shard: u32) -> f64 {
        let sum = self.sum.get().unwrap_or_else(|| self.shards.values().map(|shard| shard.rate).sum());
        self.sum.set(Some(sum));
        let mean = sum / self.shards.len().max(1) as f64;
        self.shards.get(&shard).map_or(0.0, |shard| shard.rate).max(mean)
    }

    /// An interval is over. What a node in slow start served is set against its capacity_share, and weighs less by
    /// it: hosts' figures sum to what it serves. A figure stands while no node serves its shard.
    pub fn learn(&mut self, now: Duration, interval: Duration, nodes: &NodeTable, rules: &Rules) {
        let mut capacity_shares: FxHashMap<u32, f64> = FxHashMap::default();
        for node in nodes.iter() {
            self.shards.entry(node.entry.shard).or_default().listed_at = now;
            if node.is_ready() {
                let warmest = capacity_shares.entry(node.entry.shard).or_insert(f64::MIN);
                *warmest = warmest.max(node.capacity_share(now, rules));
            }
        }
        for (number, shard) in &mut self.shards {
            let rate = std::mem::take(&mut shard.interval_units) / interval.as_secs_f64();
            if let Some(capacity_share) = capacity_shares.get(number) {
                shard.intervals = (shard.intervals + capacity_share).min(1.0 / SMOOTHING);
                shard.rate += (rate - shard.rate) * capacity_share / shard.intervals;
            }
        }
        self.sum.set(None);
    }

    /// Forgets shards that no node was listed for since then.
    pub fn prune(&mut self, oldest: Duration) {
        self.shards.retain(|_, shard| shard.listed_at > oldest);
        self.sum.set(None);
    }

    /// Another process has these rates now.
    pub fn clear_rates(&mut self) {
        self.shards.values_mut().for_each(|shard| shard.rate = 0.0);
        self.sum.set(None);
    }
}

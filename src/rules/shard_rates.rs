//! The rate at which each shard serves this initiator at full capacity, learned across the nodes that store
//! the shard one after another.

use super::node_table::NodeTable;
use super::SMOOTHING;
use crate::interface::Rules;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

/// A rate is set to 0 when it is handed over to another process.
#[derive(Default, Clone, serde::Serialize, serde::Deserialize)]
struct ShardRate {
    /// Smoothed units a second, the number of intervals it is smoothed over, and the units of this interval.
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
    /// The cached sum of all rates; `None` after a change.
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
    /// Records units that a shard has served, scaled to a node's full capacity.
    pub fn record(&mut self, shard: u32, units: f64) {
        self.shards.entry(shard).or_default().interval_units += units;
    }

    /// The rate of a shard in units a second, at least the mean of all shards.
    pub fn at_least_mean(&self, shard: u32) -> f64 {
        let sum = self.sum.get().unwrap_or_else(|| self.shards.values().map(|shard| shard.rate).sum());
        self.sum.set(Some(sum));
        let mean = sum / self.shards.len().max(1) as f64;
        self.shards.get(&shard).map_or(0.0, |shard| shard.rate).max(mean)
    }

    /// Ends an interval. What a node in slow start served is weighted by its share of its full capacity, so
    /// that the rates of all initiators sum to what it serves. A shard's rate is kept while it has no ready
    /// node.
    pub fn learn(&mut self, now: Duration, interval: Duration, nodes: &NodeTable, rules: &Rules) {
        let mut capacity_shares: FxHashMap<u32, f64> = FxHashMap::default();
        for node in nodes.iter() {
            self.shards.entry(node.entry.shard).or_default().listed_at = now;
            if node.is_ready() {
                let highest = capacity_shares.entry(node.entry.shard).or_insert(f64::MIN);
                *highest = highest.max(node.capacity_share(now, rules));
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

    /// Drops shards that have had no listed node since `oldest`.
    pub fn prune(&mut self, oldest: Duration) {
        self.shards.retain(|_, shard| shard.listed_at > oldest);
        self.sum.set(None);
    }

    /// Sets all rates to 0, after they were handed over to another process.
    pub fn clear_rates(&mut self) {
        self.shards.values_mut().for_each(|shard| shard.rate = 0.0);
        self.sum.set(None);
    }
}

//! What the scheduler drops at the end of each control interval: state that no rule needs any more.

use super::node::Node;
use super::volume::Volume;
use super::{min_latency_target, Request, Scheduler, INTERVAL, LEVEL_MEMORY};
use crate::interface::*;
use rustc_hash::FxHashSet;
use std::time::Duration;

impl Scheduler {
    /// Drops state that no rule needs any more.
    pub(super) fn prune(&mut self) {
        let now = self.now;
        let window = self.settings.rules.retry_budget.map_or(Duration::ZERO, |it| it.window) + INTERVAL;
        self.accepted_times.retain(|at| *at + window > now);
        self.retry_times.retain(|at| *at + window > now);
        self.key_queues.retain(|_, queue| !queue.waiting.is_empty() || queue.settle_until >= now);
        self.shard_rates.prune(now.saturating_sub(LEVEL_MEMORY + self.settings.rules.slow_start_time));
        self.nodes.remove_gone();
        self.reset_stuck_latencies();
        self.prune_volumes();
    }

    /// Drops volumes that were not asked for lately. One that is used again starts with its limit as after a
    /// restart, never with more than it had. Volumes of open requests are kept: a long upload may be open for
    /// longer than any deadline.
    fn prune_volumes(&mut self) {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let volume_of = |request: &Request| request.spec.volume;
        let in_use: FxHashSet<VolumeId> = self.requests.values().map(volume_of).collect();
        let now = self.now;
        let is_recent =
            |volume: &Volume| now.saturating_sub(volume.asked.updated_at) < longest + LEVEL_MEMORY;
        self.volumes.retain(|id, volume| is_recent(volume) || in_use.contains(id));
    }

    /// Resets latencies that are so high that no request is sent: without answers they would never change.
    fn reset_stuck_latencies(&mut self) {
        let (target, old) = (min_latency_target(&self.settings), self.now.saturating_sub(2 * LEVEL_MEMORY));
        let stuck = |it: &&Node| {
            it.in_flight.is_empty() && it.optimistic_latency() > target && it.level_offset.updated_at < old
        };
        let ids: Vec<NodeId> = self.nodes.iter().filter(stuck).map(|node| node.entry.node).collect();
        for id in ids {
            self.nodes.change(id, |node| node.latency = None);
        }
    }
}

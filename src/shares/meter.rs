//! What clients ask of a forwarder for volumes with a limit, as its reports tell it: the rate, smoothed, as a part of
//! the limit. Volumes that are not asked for are forgotten after a while.

use super::{Demand, Resource, Share};
use crate::interface::{NewRequest, Settings, VolumeId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A rate is smoothed over so much time.
const MEMORY: Duration = Duration::from_millis(500);
/// A volume that nobody asks for is told of for so long, so that it can be reclaimed.
const KEPT: Duration = Duration::from_secs(60);
/// Volumes that are metered; those beyond go by even parts.
const MOST: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct Metered {
    /// Units a second, as of when it was asked last.
    rate: f64,
    at: Duration,
    even_share: Share,
    limit: f64,
}

/// Demand by volume.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    volumes: BTreeMap<VolumeId, Metered>,
}

impl Meter {
    /// Counts a request.
    pub fn record(&mut self, now: Duration, new: &NewRequest, settings: &Settings) {
        let limit = settings.plans.get(new.plan).and_then(|plan| plan.limit);
        let Some(limit) = limit.filter(|limit| limit.rate > 0.0) else { return };
        if self.volumes.len() >= MOST && !self.volumes.contains_key(&new.volume) {
            return;
        }
        let even_share = Share::even(new.volume_hosts);
        let fresh = Metered { rate: 0.0, at: now, even_share, limit: limit.rate };
        let volume = self.volumes.entry(new.volume).or_insert(fresh);
        volume.rate = volume.faded(now) + new.units.max(0.0) / MEMORY.as_secs_f64();
        // Of two numbers of hosts that clients tell the greater counts: it claims less.
        (volume.at, volume.even_share) = (now, volume.even_share.min(even_share));
        // Live configuration may have changed it since the last request.
        volume.limit = limit.rate;
    }

    /// The even part of a volume that is metered.
    pub fn even_share(&self, volume: VolumeId) -> Option<Share> {
        self.volumes.get(&volume).map(|volume| volume.even_share)
    }

    /// Volumes that are metered.
    pub fn volumes(&self) -> impl Iterator<Item = (VolumeId, Share)> + '_ {
        self.volumes.iter().map(|(id, volume)| (*id, volume.even_share))
    }

    /// What is wanted of the volumes that `is_of` names.
    pub fn demands(&mut self, now: Duration, is_of: impl Fn(VolumeId) -> bool) -> Vec<Demand> {
        self.volumes.retain(|_, volume| now.saturating_sub(volume.at) < KEPT);
        let demand = |(id, volume): (&VolumeId, &Metered)| Demand {
            resource: Resource::Limit(id.0),
            even_share: volume.even_share,
            wanted: (volume.faded(now) / volume.limit) as f32,
        };
        self.volumes.iter().filter(|(id, _)| is_of(**id)).map(demand).collect()
    }
}

impl Metered {
    fn faded(&self, now: Duration) -> f64 {
        self.rate * (-now.saturating_sub(self.at).div_duration_f64(MEMORY)).exp()
    }
}

#[cfg(test)]
mod tests;

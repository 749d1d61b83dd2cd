//! What clients ask of a forwarder for volumes with a limit, as its reports tell it: the rate, smoothed, as a part of
//! the limit. Volumes that are not asked for are forgotten after a while.

use super::{Demand, Resource, Share};
use crate::interface::{NewRequest, Settings, VolumeId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the exponential smoothing of rates.
const SMOOTHING_TIME: Duration = Duration::from_millis(500);
/// A volume without requests is still reported for this time, so that its share can be reclaimed.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum of metered volumes; further ones keep their even shares.
const MAX_VOLUMES: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct VolumeDemand {
    /// Units per second at the time of the last request.
    rate: f64,
    updated_at: Duration,
    even_share: Share,
    limit: f64,
}

/// The demand of all metered volumes.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    volumes: BTreeMap<VolumeId, VolumeDemand>,
}

impl Meter {
    /// Records a request.
    pub fn record(&mut self, now: Duration, new: &NewRequest, settings: &Settings) {
        let limit = settings.plans.get(new.plan).and_then(|plan| plan.limit);
        let Some(limit) = limit.filter(|limit| limit.rate > 0.0) else { return };
        if self.volumes.len() >= MAX_VOLUMES && !self.volumes.contains_key(&new.volume) {
            return;
        }
        let even_share = Share::even(new.volume_initiators);
        let initial = VolumeDemand { rate: 0.0, updated_at: now, even_share, limit: limit.rate };
        let volume = self.volumes.entry(new.volume).or_insert(initial);
        volume.rate = volume.decayed_rate(now) + new.units.max(0.0) / SMOOTHING_TIME.as_secs_f64();
        // If clients state different numbers of initiators, the greatest counts, since it gives the smallest share.
        (volume.updated_at, volume.even_share) = (now, volume.even_share.min(even_share));
        // Live configuration may have changed the limit since the last request.
        volume.limit = limit.rate;
    }

    /// The even share of a metered volume.
    pub fn even_share(&self, volume: VolumeId) -> Option<Share> {
        self.volumes.get(&volume).map(|volume| volume.even_share)
    }

    /// The metered volumes and their even shares.
    pub fn volumes(&self) -> impl Iterator<Item = (VolumeId, Share)> + '_ {
        self.volumes.iter().map(|(id, volume)| (*id, volume.even_share))
    }

    /// The demand for the volumes that `is_included` accepts.
    pub fn demands(&mut self, now: Duration, is_included: impl Fn(VolumeId) -> bool) -> Vec<Demand> {
        self.volumes.retain(|_, volume| now.saturating_sub(volume.updated_at) < RETENTION);
        let demand = |(id, volume): (&VolumeId, &VolumeDemand)| Demand {
            resource: Resource::Limit(id.0),
            even_share: volume.even_share,
            wanted: (volume.decayed_rate(now) / volume.limit) as f32,
        };
        self.volumes.iter().filter(|(id, _)| is_included(**id)).map(demand).collect()
    }
}

impl VolumeDemand {
    fn decayed_rate(&self, now: Duration) -> f64 {
        self.rate * (-now.saturating_sub(self.updated_at).div_duration_f64(SMOOTHING_TIME)).exp()
    }
}

#[cfg(test)]
mod tests;

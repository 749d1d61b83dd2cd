//! Changes the settings between two calls of [`Scheduler::handle`], all at once or not at all. Learned state
//! and open requests are kept.

use super::*;
use std::fmt;

/// The new settings differ in fields that must not change during a scheduler's lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FixedSettings;

impl fmt::Display for FixedSettings {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("the settings differ in what can't change while running")
    }
}

impl std::error::Error for FixedSettings {}

impl Scheduler {
    /// Applies new settings from `now` on. Token buckets are filled up to `now` at the old rates.
    ///
    /// # Errors
    ///
    /// Fails, without any change, if the settings differ in more than classes' latency target, worth and late
    /// worth, plans, units (except the usage period), the maximum number of attempts, the retry-after time,
    /// and whether attempts may be cancelled.
    pub fn reconfigure(&mut self, now: Duration, settings: Settings) -> Result<(), FixedSettings> {
        if !differs_only_in_changeable(&self.settings, &settings) {
            return Err(FixedSettings);
        }
        let now = now.max(self.now);
        self.change_limits(now, &settings);
        self.change_slow_start(now, &settings);
        self.rescale_history(&settings);
        self.change_level(&settings);
        self.settings = settings;
        self.check_interval = check_interval(&self.settings);
        self.nodes.rebuild(min_latency_target(&self.settings), self.now);
        self.volumes.values().for_each(|volume| volume.cached_demand.set(None));
        self.expire_exhausted(now);
        Ok(())
    }

    /// A lowered burst caps buckets at once. If a plan gains a limit, its volumes' buckets start as those of
    /// new volumes.
    fn change_limits(&mut self, now: Duration, settings: &Settings) {
        for (id, volume) in &mut self.volumes {
            let (terms, share) = (volume.plan_and_initiators, self.limit_shares.get(id));
            let before = limit_share(&self.settings, terms, share);
            match (before, limit_share(settings, terms, share)) {
                (Some(before), Some(after)) if before == after => {}
                (Some((rate, burst)), after) => {
                    volume.limit.fill(now, rate, burst);
                    volume.limit.level = volume.limit.level.min(after.map_or(0.0, |(_, burst)| burst));
                }
                (None, _) => {
                    let fresh = Volume::new(settings.plans.get(terms.0), terms.1, now, volume.position);
                    volume.limit = fresh.limit;
                }
            }
        }
    }

    /// Fills the buckets of nodes in slow start at the old rates, and does not cap them: initiators apply a
    /// change at the same time, and none may send because of it.
    fn change_slow_start(&mut self, now: Duration, settings: &Settings) {
        if self.settings.units.slow_start_units == settings.units.slow_start_units {
            return;
        }
        let rates: Vec<_> =
            self.nodes.iter().map(|node| (node.entry.node, self.slow_start_rate(node))).collect();
        for (id, rate) in rates {
            self.nodes.change_figures(id, |node| {
                node.slow_start.fill(now, rate, f64::INFINITY);
            });
        }
    }

    /// Rescales past performance to the new latency target.
    fn rescale_history(&mut self, settings: &Settings) {
        let classes = self.settings.classes.iter().zip(&settings.classes);
        for (control, (old, new)) in
            self.classes.iter_mut().zip(classes).filter(|(_, (a, b))| a.latency_target != b.latency_target)
        {
            let ratio = new.latency_target.div_duration_f64(old.latency_target);
            control.history.iter_mut().for_each(|(performance, _)| *performance *= ratio);
        }
    }

    /// The level keeps its distance from the highest one, so that the least valuable requests are admitted to
    /// the same depth as before.
    fn change_level(&mut self, settings: &Settings) {
        let (old, new) = (top_level(&self.settings), top_level(settings));
        if old != new {
            let below_top = (self.admission_level - old).min(0.0);
            self.admission_level = (new + below_top).clamp(MIN_LEVEL, new.max(MIN_LEVEL));
        }
    }

    /// Queued requests that must not be sent again under the new settings are denied at the next call instead
    /// of at their deadline.
    fn expire_exhausted(&mut self, now: Duration) {
        let max_attempts = self.settings.limits.max_attempts;
        for id in self.queue.iter() {
            let request = self.requests.get_mut(&id).filter(|request| request.attempts >= max_attempts);
            request.into_iter().for_each(|request| request.spec.deadline = request.spec.deadline.min(now));
        }
    }
}

/// Interval of the periodic check of queued requests, at least a tick.
fn check_interval(settings: &Settings) -> Duration {
    min_latency_target(settings).div_f64(CHECKS_PER_TARGET).max(settings.tick)
}

/// Whether two settings differ only in fields that may change.
fn differs_only_in_changeable(old: &Settings, new: &Settings) -> bool {
    if old.classes.len() != new.classes.len() || old.plans.len() != new.plans.len() {
        return false;
    }
    let class = |(old, new): (&Class, &Class)| Class {
        latency_target: old.latency_target,
        worth: old.worth,
        late_worth: old.late_worth,
        ..new.clone()
    };
    let limits = &old.limits;
    let unchangeable = Settings {
        classes: old.classes.iter().zip(&new.classes).map(class).collect(),
        plans: old.plans.clone(),
        units: Units { usage_period: new.units.usage_period, ..old.units.clone() },
        limits: Limits {
            max_attempts: limits.max_attempts,
            max_retry_after: limits.max_retry_after,
            allow_cancel: limits.allow_cancel,
            ..new.limits.clone()
        },
        ..new.clone()
    };
    unchangeable == *old
}

#[cfg(test)]
mod tests;

//! Applies a revision of the live configuration: every part of the process that keeps a copy of a setting gets the
//! new value, between two decision rounds.

use super::Forwarder;
use crate::config::Wire;
use crate::interface::Settings;
use crate::planner::client::Planners;
use crate::revisions::follower::Prepared;
use crate::rules::reconfigure::FixedSettings;
use std::collections::BTreeSet;
use std::time::Instant;

impl Forwarder {
    /// Applies the newest revision received from the planners, if there is one, and reports the result to them.
    pub(super) fn follow_configuration(&mut self, now: Instant) {
        let Some(prepared) = self.planners.as_mut().and_then(Planners::prepared_configuration) else {
            return;
        };
        let taken = self.take_over_configuration(now, &prepared);
        let Some(planners) = &mut self.planners else { return };
        match taken {
            Ok(()) => planners.configuration_taken_over(now, &prepared),
            Err(why) => planners.configuration_not_taken_over(&prepared, why.to_string()),
        }
    }

    /// Applies a revision. Values that the process itself set at its start stay, because the revision was prepared
    /// from the settings that were in force then.
    ///
    /// # Errors
    ///
    /// The revision changes settings that are fixed while the process runs. Nothing has changed then.
    pub(super) fn take_over_configuration(
        &mut self,
        now: Instant,
        prepared: &Prepared,
    ) -> Result<(), FixedSettings> {
        // The only step that can fail comes first, so that a rejected revision changes nothing.
        self.planner.reconfigure(now, prepared.settings.clone())?;
        let before = std::mem::replace(&mut self.config.settings, prepared.settings.clone());
        let retry_after = self.config.settings.limits.max_retry_after;
        self.core.set_retry_after(retry_after);
        self.core.set_classes(&self.config.settings.classes);
        self.resp.protocol_mut().retry_after = retry_after;
        if let Some(front) = &mut self.iscsi {
            front.protocol_mut().reconfigure(&self.config.settings);
        }
        self.take_nodes_out(now, &prepared.nodes_out);
        let changed = changes(&before, &self.config.settings, &self.config.wire);
        let nodes_out = &prepared.nodes_out;
        tracing::info!(revision = %prepared.id, ?changed, ?nodes_out, "live configuration taken over");
        Ok(())
    }

    /// Drains the nodes that the revision takes out: they get no new attempts after the grace period.
    fn take_nodes_out(&mut self, now: Instant, names: &BTreeSet<String>) {
        let event = self.nodes.set_configured_out(now, self.clock.unix(now), names);
        if let Some(event) = event {
            self.close_draining(&event);
            self.core.push_event(event);
        }
    }
}

/// Names of the document's sections and entries whose values changed.
fn changes(before: &Settings, after: &Settings, wire: &Wire) -> Vec<String> {
    let classes = before.classes.iter().zip(&after.classes).enumerate();
    let classes = classes.filter(|(_, (old, new))| old != new);
    let classes = classes.map(|(position, _)| named("classes", &wire.classes, position));
    let rate = |settings: &Settings, plan: usize| settings.units.base_rates.get(plan).copied().unwrap_or(0.0);
    let plans = before.plans.iter().zip(&after.plans).enumerate();
    let plans = plans
        .filter(|(position, (old, new))| old != new || rate(before, *position) != rate(after, *position));
    let plans = plans.map(|(position, _)| named("plans", &wire.plans, position));
    let costs = |settings: &Settings| {
        let units = &settings.units;
        (units.mean, units.largest, units.share_worth, units.spare_worth, units.slow_start_units)
    };
    let costs = (costs(before) != costs(after)).then(|| "costs".to_string());
    let limits = (before.limits != after.limits).then(|| "limits".to_string());
    classes.chain(plans).chain(costs).chain(limits).collect()
}

fn named(section: &str, names: &[String], position: usize) -> String {
    let name = names.get(position).map_or("?", String::as_str);
    format!("{section}.{name}")
}

#[cfg(test)]
mod tests;

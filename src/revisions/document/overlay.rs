//! A document's figures in place of those of settings, and whether they fit together.

use super::figures::quoted;
use super::{ClassOverrides, Document, DocumentError, LimitOverrides, Names, PlanOverrides};
use crate::interface::{Class, Settings};
use crate::settings::{limit, millis};

/// Returns the settings with the overrides of a document that has passed [`Document::check`].
pub(super) fn apply(document: &Document, base: &Settings, names: &Names) -> Result<Settings, DocumentError> {
    let mut settings = base.clone();
    for (name, overrides) in &document.classes {
        for class in positions("class", name, &names.classes)? {
            let class = settings.classes.get_mut(class).ok_or_else(|| unknown("class", name))?;
            overrides.apply(name, class)?;
        }
    }
    for (name, overrides) in &document.plans {
        for plan in positions("plan", name, &names.plans)? {
            overrides.apply(name, plan, &mut settings)?;
        }
    }
    document.apply_costs(&mut settings);
    document.limits.apply(&mut settings)?;
    check_consistency(&settings, base, names)?;
    Ok(settings)
}

/// The positions of a name in the settings. There may be two: the iSCSI front may add a class of the same name as one
/// of the settings.
fn positions(kind: &str, name: &str, names: &[String]) -> Result<Vec<usize>, DocumentError> {
    let found: Vec<usize> = (0..names.len()).filter(|position| names[*position] == name).collect();
    match found.is_empty() {
        true => Err(unknown(kind, name)),
        false => Ok(found),
    }
}

fn unknown(kind: &str, name: &str) -> DocumentError {
    DocumentError::new(format!("the settings have no {kind} {name:?}"))
}

fn replace<T: Copy>(value: &mut T, with: Option<T>) {
    *value = with.unwrap_or(*value);
}

impl ClassOverrides {
    fn apply(&self, name: &str, class: &mut Class) -> Result<(), DocumentError> {
        if let Some(aim_ms) = self.aim_ms {
            class.latency_target = millis(aim_ms).map_err(DocumentError::new)?;
            if class.latency_target > class.deadline {
                let deadline = class.deadline.as_secs_f64() * 1000.0;
                let why = format!("at most the class's deadline, {deadline} ms, is allowed");
                return Err(DocumentError::new(format!(
                    "classes.{}.aim_ms is {aim_ms}: {why}",
                    quoted(name)
                )));
            }
        }
        replace(&mut class.worth, self.worth);
        replace(&mut class.late_worth, self.late_worth);
        Ok(())
    }
}

impl PlanOverrides {
    fn apply(&self, name: &str, position: usize, settings: &mut Settings) -> Result<(), DocumentError> {
        let plan = settings.plans.get_mut(position).ok_or_else(|| unknown("plan", name))?;
        let (rate, burst, slack) = plan.limit.map_or((0.0, 0.0, 0.0), |it| (it.rate, it.burst, it.overdraft));
        let sets_limit_details = self.limit_burst.is_some() || self.tolerance.is_some();
        if sets_limit_details && self.ceiling_rate.is_none() && plan.limit.is_none() {
            let why = "the plan has no limit, and limit_burst and tolerance are nothing without ceiling_rate";
            return Err(DocumentError::new(format!("plans.{}: {why}", quoted(name))));
        }
        plan.limit = limit(
            self.ceiling_rate.unwrap_or(rate),
            self.limit_burst.unwrap_or(burst),
            self.tolerance.unwrap_or(slack),
        );
        replace(&mut plan.reserve, self.guaranteed);
        replace(&mut plan.weight, self.parts);
        replace(&mut plan.worth_factor, self.value_factor);
        if let Some(base_rate) = self.base_rate {
            let rates = &mut settings.units.base_rates;
            // A plan without an entry has a base rate of 0.
            rates.resize(rates.len().max(position + 1), 0.0);
            rates[position] = base_rate;
        }
        Ok(())
    }
}

impl Document {
    fn apply_costs(&self, settings: &mut Settings) {
        let (units, costs) = (&mut settings.units, &self.costs);
        replace(&mut units.spare_worth, costs.idle_worth);
        replace(&mut units.share_worth, costs.share_worth);
        replace(&mut units.largest, costs.largest);
        replace(&mut units.mean, costs.unit_mean);
        replace(&mut units.slow_start_units, costs.young_limit);
    }
}

impl LimitOverrides {
    fn apply(&self, settings: &mut Settings) -> Result<(), DocumentError> {
        let limits = &mut settings.limits;
        replace(&mut limits.max_attempts, self.attempts_cap);
        replace(&mut limits.allow_cancel, self.may_cancel);
        if let Some(retry_after_ms) = self.max_retry_after_ms {
            let retry_after = millis(retry_after_ms).map_err(DocumentError::new)?;
            if limits.max_retry_after.is_zero() && !retry_after.is_zero() {
                let why = "the settings let no client be asked to wait, so only 0 is allowed";
                return Err(DocumentError::new(format!(
                    "limits.max_retry_after_ms is {retry_after_ms}: {why}"
                )));
            }
            limits.max_retry_after = retry_after;
        }
        Ok(())
    }
}

/// Refuses values that contradict each other where the document has changed one of them. Contradictions in the settings
/// themselves are not refused: they are in force already.
fn check_consistency(settings: &Settings, base: &Settings, names: &Names) -> Result<(), DocumentError> {
    let (units, before) = (&settings.units, &base.units);
    if (units.mean, units.largest) != (before.mean, before.largest) && units.mean > units.largest {
        let why = format!("at most costs.largest, {}, is allowed", units.largest);
        return Err(DocumentError::new(format!("costs.unit_mean is {}: {why}", units.mean)));
    }
    for (position, (plan, old)) in settings.plans.iter().zip(&base.plans).enumerate() {
        let changed = plan.limit != old.limit || units.largest != before.largest;
        let limit = plan.limit.filter(|limit| changed && limit.burst < units.largest);
        if let Some(limit) = limit {
            let name = names.plans.get(position).map_or_else(|| position.to_string(), |name| quoted(name));
            let why = format!("at least costs.largest, {}, is needed", units.largest);
            return Err(DocumentError::new(format!("plans.{name}.limit_burst is {}: {why}", limit.burst)));
        }
    }
    Ok(())
}

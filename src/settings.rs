//! Parser of the JSON settings of an initiator.

use crate::interface::{Class, DedupScope, Effect, Limit, Limits, Plan, RetryBudget, Rules, Settings, Units};
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize)]
struct Boot {
    siblings: u32,
    tick_ms: f64,
    discovery: String,
    classes: Vec<BootClass>,
    #[serde(default)]
    service_levels: Vec<Level>,
    #[serde(default)]
    domain: Domain,
    contract: Contract,
    limits: BootLimits,
}

#[derive(Deserialize)]
struct BootClass {
    aim_ms: f64,
    hard_limit_ms: f64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    key_scope: Option<String>,
    #[serde(default)]
    window_ms: f64,
    #[serde(default)]
    one_at_a_time: bool,
}

#[derive(Deserialize)]
#[serde(default)]
struct Level {
    base_rate: f64,
    ceiling_rate: f64,
    limit_burst: f64,
    tolerance: f64,
    guaranteed: f64,
    parts: f64,
    value_factor: f64,
}

impl Default for Level {
    fn default() -> Self {
        let (base_rate, ceiling_rate, limit_burst, tolerance, guaranteed) = (0.0, 0.0, 0.0, 0.0, 0.0);
        Level { base_rate, ceiling_rate, limit_burst, tolerance, guaranteed, parts: 1.0, value_factor: 1.0 }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Domain {
    idle_worth: f64,
    share_worth: f64,
    largest: f64,
    unit_mean: f64,
    young_limit: f64,
    metering_ms: f64,
}

impl Default for Domain {
    fn default() -> Self {
        let (young_limit, metering_ms) = (0.0, 0.0);
        Domain { idle_worth: 1.0, share_worth: 1.0, largest: 1.0, unit_mean: 1.0, young_limit, metering_ms }
    }
}

#[derive(Deserialize)]
struct Contract {
    grace_to_answer_ms: f64,
    drain_grace_ms: f64,
    cold_from: f64,
    warm_after_ms: f64,
    tip_multiple: f64,
    fall_ms: f64,
    #[serde(default)]
    order_settle_ms: f64,
    spare_attempts: Option<f64>,
    repeat_ratio: Option<f64>,
    budget_span_ms: Option<f64>,
}

#[derive(Deserialize)]
struct BootLimits {
    attempts_cap: u32,
    connect_timeout_ms: f64,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    may_cancel: bool,
}

/// Converts JSON settings to the scheduler's settings.
pub fn parse(text: &[u8]) -> Result<Settings, String> {
    let boot: Boot = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    if boot.classes.is_empty() {
        return Err("no request classes".into());
    }
    if boot.siblings == 0 {
        return Err("no hosts".into());
    }
    let contract = boot.contract;
    let retry_budget = match (contract.spare_attempts, contract.repeat_ratio, contract.budget_span_ms) {
        (None, None, None) => None,
        (free, share, Some(window_ms)) => Some(RetryBudget {
            min_retries: free.unwrap_or(0.0),
            retry_ratio: share.unwrap_or(0.0),
            window: millis(window_ms)?,
        }),
        _ => return Err("an attempt budget without its span".into()),
    };
    Ok(Settings {
        initiators: boot.siblings,
        tick: millis(boot.tick_ms)?,
        list_on_request: match boot.discovery.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("discovery mode {other:?} is not known")),
        },
        classes: boot.classes.into_iter().map(class).collect::<Result<_, _>>()?,
        units: Units {
            mean: boot.domain.unit_mean,
            largest: boot.domain.largest,
            share_worth: boot.domain.share_worth,
            spare_worth: boot.domain.idle_worth,
            slow_start_units: boot.domain.young_limit,
            usage_period: millis(boot.domain.metering_ms)?,
            base_rates: boot.service_levels.iter().map(|level| level.base_rate).collect(),
        },
        plans: boot.service_levels.iter().map(plan).collect(),
        rules: Rules {
            answer_grace: millis(contract.grace_to_answer_ms)?,
            drain_grace: millis(contract.drain_grace_ms)?,
            slow_start_min_share: contract.cold_from,
            slow_start_time: millis(contract.warm_after_ms)?,
            overload_factor: contract.tip_multiple,
            overload_window: millis(contract.fall_ms)?,
            key_settle_time: millis(contract.order_settle_ms)?,
            retry_budget,
        },
        limits: Limits {
            max_attempts: boot.limits.attempts_cap,
            connect_timeout: millis(boot.limits.connect_timeout_ms)?,
            max_retry_after: millis(if boot.limits.retry_after {
                boot.limits.max_retry_after_ms
            } else {
                0.0
            })?,
            allow_cancel: boot.limits.may_cancel,
            max_queued: None,
        },
    })
}

fn class(class: BootClass) -> Result<Class, String> {
    let group = match class.key_scope.as_deref() {
        Some("cell") => DedupScope::Shard,
        Some("zone") => DedupScope::Zone,
        Some("all") | None => DedupScope::All,
        Some(other) => return Err(format!("key scope {other:?} is not known")),
    };
    Ok(Class {
        latency_target: millis(class.aim_ms)?,
        deadline: millis(class.hard_limit_ms)?,
        worth: class.worth,
        late_worth: class.late_worth,
        effect: match class.effect.as_str() {
            "read_like" => Effect::Safe,
            "idempotency_key" => Effect::Keyed(group),
            "non_idempotent" => Effect::Unsafe,
            other => return Err(format!("effect {other:?} is not known")),
        },
        dedup_window: millis(class.window_ms)?,
        in_order: class.one_at_a_time,
    })
}

fn plan(level: &Level) -> Plan {
    Plan {
        reserve: level.guaranteed,
        limit: limit(level.ceiling_rate, level.limit_burst, level.tolerance),
        weight: level.parts,
        worth_factor: level.value_factor,
    }
}

/// The rate limit of a plan; a rate of 0 means no limit.
pub(crate) fn limit(ceiling_rate: f64, limit_burst: f64, tolerance: f64) -> Option<Limit> {
    let limit = Limit { rate: ceiling_rate, burst: limit_burst, overdraft: tolerance };
    (ceiling_rate > 0.0).then_some(limit)
}

/// A duration given in milliseconds.
pub(crate) fn millis(span: f64) -> Result<Duration, String> {
    Duration::try_from_secs_f64(span / 1000.0).map_err(|_| format!("{span} ms is no span"))
}

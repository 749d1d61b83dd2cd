//! Who is to have which part of a resource: a pure function of what each wants.

use super::Share;

/// What one forwarder wants of a resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderDemand {
    /// Its even part.
    pub even_share: Share,
    /// What it would use, as a part of the whole.
    pub wanted: f64,
    /// Whether it can give back now: one that has just started cannot.
    pub gives_back: bool,
}

/// Part of what is wanted that is given beyond it, where there is enough: demand grows between two reports.
const HEADROOM: f64 = 0.25;

/// The part that each is to have. All of them sum to at most what their even parts sum to, and none is below its floor.
///
/// Everybody gets its floor. Where the rest covers what is wanted beyond, with some headroom, what is over goes to all
/// by their even parts; where it does not, it goes by what is wanted.
pub fn divide(all: &[HolderDemand]) -> Vec<Share> {
    let keeps = |one: &HolderDemand| {
        f64::from(if one.gives_back { one.even_share.floor() } else { one.even_share }.0)
    };
    let whole = f64::from(Share::WHOLE.0);
    let evens: f64 = all.iter().map(|one| f64::from(one.even_share.0)).sum();
    let kept: f64 = all.iter().map(keeps).sum();
    let beyond = |one: &HolderDemand| (sane(one.wanted) * whole * (1.0 + HEADROOM) - keeps(one)).max(0.0);
    let wanted: f64 = all.iter().map(beyond).sum();
    let rest = evens - kept;
    let scale = if wanted > rest { rest / wanted } else { 1.0 };
    let over = (rest - wanted * scale).max(0.0);
    let share = |one: &HolderDemand| {
        let part = keeps(one) + beyond(one) * scale + over * f64::from(one.even_share.0) / evens.max(1.0);
        // Rounded down, so that no sum exceeds the whole.
        Share(part as u32)
    };
    all.iter().map(share).collect()
}

/// Guards the sums against a report that says nonsense.
fn sane(wanted: f64) -> f64 {
    if wanted.is_finite() {
        wanted.clamp(0.0, 1000.0)
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;

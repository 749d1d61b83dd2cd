//! The division of a resource among forwarders: a pure function of their demands.

use super::Share;

/// The demand of one forwarder's process for a resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderDemand {
    /// Its even share.
    pub even_share: Share,
    /// What it would use, as a fraction of the whole.
    pub wanted: f64,
    /// Whether it can give back some of its even share; false for a while after its start.
    pub gives_back: bool,
}

/// Fraction of the demand that is given in addition, if there is enough, since demand may grow between two reports.
const HEADROOM: f64 = 0.25;

/// The share that each should have, in the order of `holders`. They sum to at most the sum of the even shares, and
/// none is below its floor (one that can't give back keeps its even share).
///
/// If the rest after these reserved shares covers the excess demand with some headroom, the surplus is divided in
/// proportion to the even shares. Otherwise the rest is divided in proportion to the excess demand.
pub fn divide(holders: &[HolderDemand]) -> Vec<Share> {
    let reserved = |holder: &HolderDemand| {
        f64::from(if holder.gives_back { holder.even_share.floor() } else { holder.even_share }.0)
    };
    let whole = f64::from(Share::WHOLE.0);
    let even_sum: f64 = holders.iter().map(|holder| f64::from(holder.even_share.0)).sum();
    let reserved_sum: f64 = holders.iter().map(reserved).sum();
    let excess_demand = |holder: &HolderDemand| {
        (sanitized(holder.wanted) * whole * (1.0 + HEADROOM) - reserved(holder)).max(0.0)
    };
    let excess_sum: f64 = holders.iter().map(excess_demand).sum();
    let rest = even_sum - reserved_sum;
    let scale = if excess_sum > rest { rest / excess_sum } else { 1.0 };
    let surplus = (rest - excess_sum * scale).max(0.0);
    let share = |holder: &HolderDemand| {
        let millionths = reserved(holder)
            + excess_demand(holder) * scale
            + surplus * f64::from(holder.even_share.0) / even_sum.max(1.0);
        // Rounded down, so that no sum exceeds the whole.
        Share(millionths as u32)
    };
    holders.iter().map(share).collect()
}

/// The demand without NaN, infinities and extreme values that a faulty report may have.
fn sanitized(wanted: f64) -> f64 {
    if wanted.is_finite() {
        wanted.clamp(0.0, 1000.0)
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;

//! Worth of the units served of one volume in a second: units within the reserve count fully, units within the volume's
//! share of spare capacity less, all others little.

/// Worth of one unit within the reserve, within the share, and beyond both.
const UNIT_WORTH: [f64; 3] = [1.0, 0.35, 0.05];

/// A volume's reserve, and its share in addition to it, in units per second.
#[derive(Clone, Copy, Debug)]
pub struct Entitlement {
    pub reserve: f64,
    pub share: f64,
}

/// Values of plan `base` at `palermo-centro`.
pub const BASE: Entitlement = Entitlement { reserve: 1.4, share: 4.2 };

impl Entitlement {
    /// Worth of units served in one second.
    pub fn worth(&self, units: f64) -> f64 {
        let reserved = units.min(self.reserve);
        let shared = (units - reserved).min(self.share);
        reserved * UNIT_WORTH[0] + shared * UNIT_WORTH[1] + (units - reserved - shared) * UNIT_WORTH[2]
    }
}

#[cfg(test)]
mod tests;

//! Worth of what is served of one volume in a second: the reserve counts whole, the share of what is spare less, the
//! rest little.

/// Worth of a unit within the reserve, within the share, and beyond both.
const WORTH: [f64; 3] = [1.0, 0.35, 0.05];

/// Units a second of a volume's reserve, and of its share besides.
#[derive(Clone, Copy, Debug)]
pub struct Prices {
    pub reserve: f64,
    pub share: f64,
}

/// The terms of plan `base` at `palermo-centro`.
pub const BASE: Prices = Prices { reserve: 1.4, share: 4.2 };

impl Prices {
    /// Worth of so many units in a second.
    pub fn worth(&self, units: f64) -> f64 {
        let reserved = units.min(self.reserve);
        let shared = (units - reserved).min(self.share);
        reserved * WORTH[0] + shared * WORTH[1] + (units - reserved - shared) * WORTH[2]
    }
}

#[cfg(test)]
mod tests;

//! A linear congruential generator with the same sequence on all machines. It spreads actions that initiators would
//! otherwise take at the same time; it is not fit for secrets.

#[derive(Clone, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// A uniformly distributed number in [0, 1).
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

//! Sizes and repeats of a run, in the full and the short variant.

use std::time::Duration;

/// Scale of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Whether to use few repeats and small sizes.
    pub short: bool,
    /// Seed of all random choices.
    pub seed: u64,
    /// Repeats of each figure, if given on the command line.
    pub repeats: Option<usize>,
}

impl Scale {
    /// Repeats of each figure.
    pub fn repeats(&self) -> usize {
        self.repeats.unwrap_or(self.pick(1, 3))
    }

    /// Picks the value for the short or the full variant.
    pub fn pick<T>(&self, short: T, full: T) -> T {
        if self.short {
            short
        } else {
            full
        }
    }

    /// Sizes of the node list.
    pub fn nodes(&self) -> &'static [usize] {
        self.pick(&[8, 30, 60, 120], &[8, 60, 200, 460, 730, 1000])
    }

    /// Duration of a measurement at rest.
    pub fn rest_duration(&self) -> Duration {
        self.pick(Duration::from_millis(1600), Duration::from_secs(6))
    }
}

//! How large a run is: sizes and repeats, in full and in short.

use std::time::Duration;

/// What a run measures with.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Few repeats and small sizes.
    pub short: bool,
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// How often each figure is measured, where that is said.
    pub repeats: Option<usize>,
}

impl Scale {
    /// How often each figure is measured.
    pub fn repeats(&self) -> usize {
        self.repeats.unwrap_or(self.pick(1, 3))
    }

    /// One of two, by the length of the run.
    pub fn pick<T>(&self, short: T, full: T) -> T {
        if self.short {
            short
        } else {
            full
        }
    }

    /// Nodes listed.
    pub fn nodes(&self) -> &'static [usize] {
        self.pick(&[8, 30, 60, 120], &[8, 60, 200, 460, 730, 1000])
    }

    /// How long something is watched at rest.
    pub fn watch(&self) -> Duration {
        self.pick(Duration::from_millis(1600), Duration::from_secs(6))
    }
}

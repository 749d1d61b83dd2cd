//! Fit of a power law to measured costs: least squares on the logarithms of size and cost.

use super::figure::Point;

/// `cost = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    /// The cost at size 1.
    pub factor: f64,
    /// 0: constant; 1: linear; 2: quadratic.
    pub exponent: f64,
    /// Root mean square deviation of the logarithms; 0.1 is about a tenth of the cost.
    pub residual: f64,
}

impl PowerLaw {
    /// The cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }

    /// Fits the law; `None` unless there are points of at least two sizes. Points whose size or cost is not above
    /// zero are ignored, since they have no logarithm.
    pub fn through(points: &[(f64, f64)]) -> Option<PowerLaw> {
        let logarithms: Vec<(f64, f64)> = points
            .iter()
            .filter(|(size, cost)| *size > 0.0 && *cost > 0.0)
            .map(|(size, cost)| (size.ln(), cost.ln()))
            .collect();
        let count = logarithms.len() as f64;
        let mean_size = logarithms.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_cost = logarithms.iter().map(|(_, cost)| cost).sum::<f64>() / count;
        let spread: f64 = logarithms.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if logarithms.len() < 2 || spread <= 0.0 {
            return None;
        }
        let covariance: f64 =
            logarithms.iter().map(|(size, cost)| (size - mean_size) * (cost - mean_cost)).sum();
        let exponent = covariance / spread;
        let offset = mean_cost - exponent * mean_size;
        let squares: f64 =
            logarithms.iter().map(|(size, cost)| (cost - offset - exponent * size).powi(2)).sum();
        Some(PowerLaw { factor: offset.exp(), exponent, residual: (squares / count).sqrt() })
    }
}

/// Median; the mean of the middle two for an even count, 0 without values.
pub fn median(repeats: &[f64]) -> f64 {
    let mut sorted = repeats.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        count if count % 2 == 1 => sorted[count / 2],
        count => (sorted[count / 2 - 1] + sorted[count / 2]) / 2.0,
    }
}

/// Maximum minus minimum; 0 without values.
pub fn spread(repeats: &[f64]) -> f64 {
    let max = repeats.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let min = repeats.iter().copied().fold(f64::INFINITY, f64::min);
    if repeats.is_empty() {
        0.0
    } else {
        max - min
    }
}

/// How a cost at a size was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Measured at that size or interpolated between two points.
    Measured,
    /// Extrapolated beyond the points.
    WorkedOut,
}

/// Relative difference up to which a point counts as measured at a size.
const SAME_SIZE_TOLERANCE: f64 = 0.02;
/// Number of nearest points used for extrapolation. Farther ones are left out because at small sizes fixed costs
/// dominate.
const NEAREST_POINTS: usize = 3;

/// The cost at a size: that of the point there, else linear interpolation between the neighbours, else the power law
/// through the nearest points. `points` are in ascending order of size; `None` if there are none.
pub fn cost_at(points: &[Point], size: f64) -> Option<(f64, Origin)> {
    let same_size = points.iter().find(|point| (point.size - size).abs() <= SAME_SIZE_TOLERANCE * size);
    if let Some(same_size) = same_size {
        return Some((same_size.median, Origin::Measured));
    }
    let below = points.iter().filter(|point| point.size <= size).max_by(|a, b| a.size.total_cmp(&b.size));
    let above = points.iter().filter(|point| point.size >= size).min_by(|a, b| a.size.total_cmp(&b.size));
    if let (Some(below), Some(above)) = (below, above) {
        let width = above.size - below.size;
        let fraction = if width > 0.0 { (size - below.size) / width } else { 0.0 };
        return Some((below.median + fraction * (above.median - below.median), Origin::Measured));
    }
    let below_all = points.first().is_some_and(|first| size < first.size);
    let nearest = if below_all {
        &points[..points.len().min(NEAREST_POINTS)]
    } else {
        &points[points.len().saturating_sub(NEAREST_POINTS)..]
    };
    let pairs: Vec<(f64, f64)> = nearest.iter().map(|point| (point.size, point.median)).collect();
    match PowerLaw::through(&pairs) {
        Some(law) => Some((law.at(size), Origin::WorkedOut)),
        None => points.last().map(|point| (point.median, Origin::WorkedOut)),
    }
}

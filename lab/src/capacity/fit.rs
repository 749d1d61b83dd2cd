//! The power law through measured costs: least squares in the logarithms of size and cost.

use super::figure::Point;

/// `cost = factor * size ^ exponent`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PowerLaw {
    /// The cost at size 1.
    pub factor: f64,
    /// 0: the same at all sizes; 1: in proportion; 2: with the square.
    pub exponent: f64,
    /// Root mean square of the logarithms' deviations: 0.1 is about a tenth of the cost.
    pub residual: f64,
}

impl PowerLaw {
    /// The cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }

    /// The law through points of at least two sizes. Sizes and costs that are not above zero have no logarithm and count
    /// for nothing.
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
        let both: f64 = logarithms.iter().map(|(size, cost)| (size - mean_size) * (cost - mean_cost)).sum();
        let exponent = both / spread;
        let offset = mean_cost - exponent * mean_size;
        let squares: f64 =
            logarithms.iter().map(|(size, cost)| (cost - offset - exponent * size).powi(2)).sum();
        Some(PowerLaw { factor: offset.exp(), exponent, residual: (squares / count).sqrt() })
    }
}

/// The middle of the repeats, or the mean of the two in the middle. Zero without any.
pub fn median(repeats: &[f64]) -> f64 {
    let mut sorted = repeats.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        count if count % 2 == 1 => sorted[count / 2],
        count => (sorted[count / 2 - 1] + sorted[count / 2]) / 2.0,
    }
}

/// Largest less smallest of the repeats.
pub fn spread(repeats: &[f64]) -> f64 {
    let most = repeats.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let least = repeats.iter().copied().fold(f64::INFINITY, f64::min);
    if repeats.is_empty() {
        0.0
    } else {
        most - least
    }
}

/// How a cost at a size came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A point lies at it, or points on both sides of it.
    Measured,
    /// It lies beyond the points.
    WorkedOut,
}

/// A point lies at a size that differs from its own by no more than this part.
const SAME_SIZE: f64 = 0.02;
/// What lies beyond the points is worked out from so many of those nearest to it: small sizes show costs that do not grow.
const NEAREST: usize = 3;

/// The cost at a size: the point there, else on the line between the two points beside it, else by the law through the
/// sizes nearest to it. None without points, which are in the order of their sizes.
pub fn cost_at(points: &[Point], size: f64) -> Option<(f64, Origin)> {
    let there = points.iter().find(|point| (point.size - size).abs() <= SAME_SIZE * size);
    if let Some(there) = there {
        return Some((there.median, Origin::Measured));
    }
    let below = points.iter().filter(|point| point.size <= size).max_by(|a, b| a.size.total_cmp(&b.size));
    let above = points.iter().filter(|point| point.size >= size).min_by(|a, b| a.size.total_cmp(&b.size));
    if let (Some(below), Some(above)) = (below, above) {
        let width = above.size - below.size;
        let part = if width > 0.0 { (size - below.size) / width } else { 0.0 };
        return Some((below.median + part * (above.median - below.median), Origin::Measured));
    }
    let below_all = points.first().is_some_and(|first| size < first.size);
    let nearest = if below_all {
        &points[..points.len().min(NEAREST)]
    } else {
        &points[points.len().saturating_sub(NEAREST)..]
    };
    let plain: Vec<(f64, f64)> = nearest.iter().map(|point| (point.size, point.median)).collect();
    match PowerLaw::through(&plain) {
        Some(law) => Some((law.at(size), Origin::WorkedOut)),
        None => points.last().map(|point| (point.median, Origin::WorkedOut)),
    }
}

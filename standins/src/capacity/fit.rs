//! A line through measured points.

use super::Point;

/// Returns the base and the growth of the least-squares line.
pub fn line(points: &[Point]) -> (f64, f64) {
    let n = points.len() as f64;
    if points.is_empty() {
        return (0.0, 0.0);
    }
    let mean_size = points.iter().map(|p| p.size).sum::<f64>() / n;
    let mean_value = points.iter().map(|p| p.value).sum::<f64>() / n;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for p in points {
        covariance += (p.size - mean_size) * (p.value - mean_value);
        variance += (p.size - mean_size).powi(2);
    }
    if variance == 0.0 {
        return (mean_value, 0.0);
    }
    let each = covariance / variance;
    (mean_value - each * mean_size, each)
}

//! Least-squares line through measurements at several sizes.

/// A least-squares line through points.
struct LineFit {
    base: f64,
    slope: f64,
    /// The maximum distance of a point from the line, as a fraction of the maximum value.
    residual: f64,
}

fn fit(points: &[(f64, f64)]) -> LineFit {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x) * (x - mean_x)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let max = points.iter().map(|point| point.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &(f64, f64)| (y - (base + slope * x)).abs();
    let residual = points.iter().map(distance).fold(0.0, f64::max) / max;
    LineFit { base, slope, residual }
}

/// Prints points and the least-squares line through them.
pub fn print_fit(what: &str, unit: &str, points: &[(f64, f64)]) {
    let LineFit { base, slope, residual } = fit(points);
    let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x:.0}: {y:.2}")).collect();
    println!("{what}\n    {}", shown.join(", "));
    println!("    = {base:.3} + {slope:.6} x ({unit}); max residual {:.1} %", residual * 100.0);
}

//! `nutmegbay-load slopes`: measures costs of each role at several sizes of its state, and their
//! growth per unit of size.

mod policy;
mod replica;

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Minimum time over which a cost is measured.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(20);

/// Costs at several sizes, with a fitted line.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// Name of the measured cost.
    pub name: Box<str>,
    /// Unit of the sizes, such as `upstream`.
    pub per: &'static str,
    /// Unit of the values, such as `us` or `bytes`.
    pub unit: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
    /// Growth of the value per unit of size, by least squares.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
}

impl Slope {
    /// Fits a line to `points` by least squares.
    pub fn fit(name: &str, per: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        let n = points.len() as f64;
        let (x, y) = points
            .iter()
            .fold((0.0, 0.0), |sum, p| (sum.0 + p.0, sum.1 + p.1));
        let (mean_x, mean_y) = (x / n, y / n);
        let (xy, xx) = points.iter().fold((0.0, 0.0), |sum, p| {
            let dx = p.0 - mean_x;
            (sum.0 + dx * (p.1 - mean_y), sum.1 + dx * dx)
        });
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        Self {
            name: name.into(),
            per,
            unit,
            points,
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }
}

/// Runs all measurements. `seed` makes the random choices reproducible. The measured times still
/// depend on the machine.
pub fn run(seed: u64) -> Vec<Slope> {
    let mut slopes = replica::slopes();
    slopes.extend(policy::slopes(seed));
    slopes
}

/// Prints each slope and its points.
pub fn print(slopes: &[Slope]) {
    for slope in slopes {
        println!(
            "{}: {:.4} {} per {} + {:.4}",
            slope.name, slope.slope, slope.unit, slope.per, slope.intercept
        );
        let points = slope.points.iter();
        let points: Vec<_> = points.map(|(x, y)| format!("{x}: {y:.3}")).collect();
        println!("    {}", points.join(", "));
    }
}

/// Returns the mean microseconds of one `step`, which is repeated at least three times and for
/// `MIN_MEASURE_TIME`.
fn measure_us(mut step: impl FnMut()) -> f64 {
    let start = Instant::now();
    let mut count = 0_u32;
    while start.elapsed() < MIN_MEASURE_TIME || count < 3 {
        step();
        count += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

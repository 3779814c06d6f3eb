//! `nutmegbay-load slopes`: what a role costs as its state grows, at several sizes each.

mod policy;
mod replica;

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Shortest time over which a cost is measured.
const MEASURE: Duration = Duration::from_millis(20);

/// Cost at several sizes, with the line through them.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// What was measured.
    pub name: Box<str>,
    /// Unit of the sizes.
    pub per: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// Growth of the value with the size, by least squares.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
}

impl Slope {
    /// Fits a line through `points`.
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

/// Measures everything; `seed` fixes random choices, not the machine's speed.
pub fn run(seed: u64) -> Vec<Slope> {
    let mut slopes = replica::slopes();
    slopes.extend(policy::slopes(seed));
    slopes
}

/// Prints sizes, values and slopes.
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

/// Microseconds of one `step`, repeated until the clock can tell.
fn micros_of(mut step: impl FnMut()) -> f64 {
    let start = Instant::now();
    let mut count = 0_u32;
    while start.elapsed() < MEASURE || count < 3 {
        step();
        count += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

/// Resident memory of this process in bytes.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

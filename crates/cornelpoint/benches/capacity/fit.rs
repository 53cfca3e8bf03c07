//! Straight lines fitted through measured points by least squares.

/// One measurement: a size and the value measured at that size.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    pub size: f64,
    pub value: f64,
}

/// Value at size zero, and growth per unit of size.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
}

impl Line {
    /// Returns the line with the least sum of squared distances.
    pub fn through(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let sum_of_squares: f64 = points
            .iter()
            .map(|point| (point.size - mean_size).powi(2))
            .sum();
        let sum_of_products: f64 = points
            .iter()
            .map(|point| (point.size - mean_size) * (point.value - mean_value))
            .sum();
        let slope = sum_of_products / sum_of_squares;
        Self {
            intercept: mean_value - slope * mean_size,
            slope,
        }
    }
}

/// Prints one row of a table of fitted lines.
pub fn print_line(what: &str, unit: &str, size: &str, points: &[Point]) {
    let line = Line::through(points);
    println!(
        "| {what} | {unit} | {size} | {:.4} | {:.2} |",
        line.slope, line.intercept
    );
}

/// Prints the header of a table of fitted lines.
pub fn print_line_head() {
    println!();
    println!("| least squares of | unit | per | slope | intercept |");
    println!("|---|---|---|---:|---:|");
}

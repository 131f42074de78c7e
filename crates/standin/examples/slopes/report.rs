//! Collects slopes, prints them and writes them as JSON.

use std::{fs, io, path::Path};

use serde::Serialize;

use crate::fit::{Line, Point};

/// How one cost grows with one size.
#[derive(Debug, Serialize)]
pub struct Slope {
    /// Name of the measured cost.
    pub name: &'static str,
    /// Unit of the size.
    pub size: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Measured points.
    pub points: Vec<Point>,
    /// Line fitted to the points.
    pub line: Line,
    /// Target size.
    pub target: f64,
    /// Predicted cost at the target size.
    pub at_target: f64,
}

/// All slopes of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    slopes: Vec<Slope>,
}

impl Report {
    /// Fits a line to points and adds it to the report.
    pub fn add(
        &mut self,
        name: &'static str,
        size: &'static str,
        unit: &'static str,
        points: Vec<Point>,
        target: f64,
    ) {
        let line = Line::fit(&points);
        let at_target = line.cost_at(target);
        eprintln!("measured {name}");
        self.slopes.push(Slope {
            name,
            size,
            unit,
            points,
            line,
            target,
            at_target,
        });
    }

    /// Prints the report as a Markdown table.
    pub fn print(&self) {
        println!("| cost | base | slope, with its error | R² | target | at target |");
        println!("| --- | --- | --- | --- | --- | --- |");
        for s in &self.slopes {
            println!(
                "| {}, {} | {:.3} | {:.5} ± {:.5} per {} | {:.3} | {} | {:.3} |",
                s.name,
                s.unit,
                s.line.base,
                s.line.slope,
                s.line.slope_error,
                s.size,
                s.line.r_squared,
                s.target,
                s.at_target,
            );
        }
    }

    /// Writes the report as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, serde_json::to_vec_pretty(self)?)
    }
}

//! Collects slopes, prints them and writes them as JSON.

use std::{fs, io, path::Path};

use serde::Serialize;

use crate::fit::{Line, Point};

/// How one cost grows with one size.
#[derive(Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// The cost's unit.
    pub unit: &'static str,
    /// The points.
    pub points: Vec<Point>,
    /// The line through them.
    pub line: Line,
    /// The size of the target.
    pub target: f64,
    /// The cost there.
    pub at_target: f64,
}

/// All slopes of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    slopes: Vec<Slope>,
}

impl Report {
    /// Fits a line through points and adds it.
    pub fn add(
        &mut self,
        name: &'static str,
        size: &'static str,
        unit: &'static str,
        points: Vec<Point>,
        target: f64,
    ) {
        let line = Line::fit(&points);
        let at_target = line.at(target);
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

    /// Prints a table.
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

    /// Writes JSON.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, serde_json::to_vec_pretty(self)?)
    }
}

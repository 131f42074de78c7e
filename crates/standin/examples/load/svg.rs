//! Plots goodput over time as SVG.

use std::fmt::Write;

use crate::report::Report;

/// Width of the plot in SVG units.
const WIDTH: f64 = 800.0;
/// Height of the plot in SVG units, without the legend.
const HEIGHT: f64 = 240.0;
/// Line colours of the reports, in their order.
const COLOURS: [&str; 2] = ["#1b6ca8", "#c0392b"];

/// Returns an SVG plot of the measured and the possible goodput over time.
pub fn plot(reports: &[Report]) -> String {
    let all = reports
        .iter()
        .flat_map(|r| r.goodput.iter().chain(&r.possible));
    let top = all.copied().fold(1.0, f64::max);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {}\">\n",
        HEIGHT + 20.0
    );
    let mut line = |values: &[f64], colour: &str| {
        let points: Vec<String> = values
            .iter()
            .enumerate()
            .map(|(n, value)| {
                let x = n as f64 / values.len() as f64 * WIDTH;
                format!("{x:.1},{:.1}", HEIGHT - value / top * HEIGHT)
            })
            .collect();
        // Writing to a `String` never fails.
        let _ = writeln!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"/>",
            points.join(" ")
        );
    };
    for (report, colour) in reports.iter().zip(COLOURS) {
        line(&report.possible, "#999999");
        line(&report.goodput, colour);
    }
    let names: Vec<&str> = reports.iter().map(|r| r.policy.as_str()).collect();
    let _ = writeln!(
        svg,
        "<text x=\"4\" y=\"{}\" font-size=\"12\">tokens/s in time, top {top:.0}; grey: possible; {}</text>\n</svg>",
        HEIGHT + 14.0,
        names.join(" and ")
    );
    svg
}

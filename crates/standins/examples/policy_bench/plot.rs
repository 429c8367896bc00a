//! Scatter plot of the results: hit rate over the 99th percentile of the time to first token.

use std::error::Error;
use std::path::Path;

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::coord::combinators::IntoLogRange;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Circle;
use plotters::element::Text;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::WHITE;
use standins::bench::table::Row;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 600);

/// Writes an SVG file with one labelled point per row.
pub fn write(file: &Path, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((100.0..100_000.0).log_scale(), 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("99th percentile of the time to first token, ms")
        .y_desc("hit rate")
        .draw()?;
    for row in rows {
        let point = (row.mean.ttft_p99_ms, row.mean.hit_rate);
        let color = color(row.scenario);
        chart.draw_series([Circle::new(point, 4, color.filled())])?;
        let label = format!("{} {}", row.policy, row.scenario);
        chart.draw_series([Text::new(label, point, ("sans-serif", 11))])?;
    }
    area.present()?;
    Ok(())
}

/// Returns the color of the points of a scenario.
fn color(scenario: &str) -> RGBColor {
    match scenario {
        "calm" => RGBColor(0, 110, 60),
        "load80" => RGBColor(0, 70, 160),
        _ => RGBColor(190, 40, 30),
    }
}

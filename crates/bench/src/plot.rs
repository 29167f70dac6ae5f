//! An SVG plot of latencies over load.

use std::io;
use std::path::Path;

use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 540);
const MARGIN: u32 = 16;
const LABELS: u32 = 48;

/// Draws a line for each series of (load in percent, milliseconds), on a logarithmic scale.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn plot_quantiles(
    path: &Path,
    title: &str,
    lines: &[(String, Vec<(f64, f64)>)],
) -> io::Result<()> {
    draw(path, title, lines).map_err(|e| io::Error::other(e.to_string()))
}

fn draw(
    path: &Path,
    title: &str,
    lines: &[(String, Vec<(f64, f64)>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter().copied());
    if points().next().is_none() {
        return Ok(());
    }
    let least = points().map(|(_, y)| y).fold(f64::MAX, f64::min).max(0.01);
    let most = points().map(|(_, y)| y).fold(least, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(MARGIN)
        .set_left_and_bottom_label_area_size(LABELS)
        .build_cartesian_2d(45.0..100.0, (least * 0.8..most * 1.3).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("load, % of the slots")
        .y_desc("latency, ms")
        .draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

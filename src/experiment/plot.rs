//! SVG plots of experiments, with one line per series over the size of the fleet.

use std::path::Path;

use plotters::prelude::*;

use crate::error::{Error, Kind, Result};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 500);

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points in ascending order of x. x is the number of routers, y the measured value.
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot of `series` with a horizontal line at `limit`.
///
/// # Errors
/// `Io` if the file cannot be written.
pub fn write(file: &Path, title: &str, series: &[Series], limit: Option<f64>) -> Result<()> {
    draw(file, title, series, limit)
        .map_err(|e| Error::new(Kind::Io, format!("{}: {e}", file.display())))
}

fn draw(
    file: &Path,
    title: &str,
    series: &[Series],
    limit: Option<f64>,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|s| &s.points);
    let max_x = points().map(|p| p.0).fold(1.0, f64::max);
    let max_y = points().map(|p| p.1).chain(limit).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart.configure_mesh().x_desc("routers").draw()?;
    for (i, s) in series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(s.points.iter().copied(), &color))?
            .label(&s.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    if let Some(limit) = limit {
        let ends = [(0.0, limit), (max_x, limit)];
        chart
            .draw_series(LineSeries::new(ends, &BLACK))?
            .label("bound")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLACK));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

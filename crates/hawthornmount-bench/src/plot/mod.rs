//! Line plots of experiments, written as SVG files.

use {
    derive_more::{Display, Error},
    plotters::prelude::*,
    std::{path::Path, sync::Arc},
};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 540);
/// Space reserved for the labels of each axis, in pixels.
const LABEL_AREA: u32 = 48;

/// Named line in a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: Arc<str>,
    /// Points ordered by their `x`.
    pub points: Vec<Point>,
}

/// Point of a line.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Position on the horizontal axis.
    pub x: f64,
    /// Position on the vertical axis.
    pub y: f64,
}

/// Line plot whose axes start at zero.
#[derive(Clone, Debug)]
pub struct Plot {
    /// Title above the plot.
    pub title: Arc<str>,
    /// Label of the horizontal axis, with its unit.
    pub x_label: Arc<str>,
    /// Label of the vertical axis, with its unit.
    pub y_label: Arc<str>,
    /// Lines of the plot, in the order of the legend.
    pub series: Vec<Series>,
}

/// Reason that a plot can't be drawn.
#[derive(Debug, Display, Error)]
#[display("the plot can't be drawn, check that the file can be written; cause={cause}")]
pub struct DrawError {
    cause: Arc<str>,
}

impl Plot {
    /// Draws the plot into an SVG file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn draw(&self, file: &Path) -> Result<(), DrawError> {
        self.try_draw(file).map_err(|error| DrawError { cause: error.to_string().into() })
    }

    fn try_draw(&self, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let x_max = self.largest(|point| point.x);
        let y_max = self.largest(|point| point.y);
        let mut chart = ChartBuilder::on(&area)
            .caption(&*self.title, ("sans-serif", 20))
            .set_label_area_size(LabelAreaPosition::Left, LABEL_AREA)
            .set_label_area_size(LabelAreaPosition::Bottom, LABEL_AREA)
            .margin(10)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
        chart.configure_mesh().x_desc(&*self.x_label).y_desc(&*self.y_label).draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = series.points.iter().map(|point| (point.x, point.y));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(&*series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }

    fn largest(&self, value: impl Fn(&Point) -> f64) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        points.map(value).fold(f64::MIN_POSITIVE, f64::max)
    }
}

//! Line charts in SVG.

use std::sync::Arc;

use plotters::backend::SVGBackend;
use plotters::chart::{ChartBuilder, SeriesLabelPosition};
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::PathElement;
use plotters::series::LineSeries;
use plotters::style::{Color, IntoFont, Palette, Palette99, WHITE};

const SIZE_PX: (u32, u32) = (900, 320);
const MARGIN_PX: u32 = 10;
const LABELS_PX: u32 = 40;
/// Maximum number of lines in the legend; more would cover the chart.
const LEGEND_LINES_MAX: usize = 16;

/// Error while drawing a chart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("failed to draw the chart: {0}")]
pub struct ChartError(Arc<str>);

/// One line of a chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Name of the line in the legend.
    pub name: Arc<str>,
    /// Points: time relative to the last sample in hours, and value.
    pub points: Vec<(f64, f64)>,
}

/// A line chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Chart {
    /// Heading of the chart.
    pub title: &'static str,
    lines: Vec<Line>,
}

impl Chart {
    /// Creates a chart of `lines`.
    pub fn new(title: &'static str, lines: Vec<Line>) -> Self {
        Self { title, lines }
    }

    /// Renders the chart as SVG.
    pub fn svg(&self) -> Result<String, ChartError> {
        let mut svg = String::new();
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        self.draw(&area).map_err(|error| ChartError(error.into()))?;
        drop(area);
        Ok(svg)
    }

    fn draw(&self, area: &DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), String> {
        let text = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|error| text(&error))?;
        let (low, high) = self.range(|point| point.1);
        let (from, to) = self.range(|point| point.0);
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN_PX)
            .x_label_area_size(LABELS_PX)
            .y_label_area_size(LABELS_PX)
            .build_cartesian_2d(from..to.max(from + 1.0), low.min(0.0)..high + 1.0)
            .map_err(|error| text(&error))?;
        let font = ("sans-serif", 12).into_font();
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("hours before the last sample").label_style(font);
        mesh.draw().map_err(|error| text(&error))?;
        for (index, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).mix(0.9);
            let series = LineSeries::new(line.points.iter().copied(), color);
            let drawn = chart.draw_series(series).map_err(|error| text(&error))?;
            if index < LEGEND_LINES_MAX {
                drawn
                    .label(&*line.name)
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 15, y)], color));
            }
        }
        let mut labels = chart.configure_series_labels();
        labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.7));
        labels.draw().map_err(|error| text(&error))?;
        area.present().map_err(|error| text(&error))
    }

    fn range(&self, value: impl Fn(&(f64, f64)) -> f64) -> (f64, f64) {
        let values = self.lines.iter().flat_map(|line| &line.points).map(value);
        values
            .fold(None, |range: Option<(f64, f64)>, value| {
                let (low, high) = range.unwrap_or((value, value));
                Some((low.min(value), high.max(value)))
            })
            .unwrap_or((0.0, 1.0))
    }
}

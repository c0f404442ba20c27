//! Plots of reports, as SVG.

use std::fmt;
use std::ops::Range;

use plotters::coord::Shift;
use plotters::coord::ranged1d::{AsRangedCoord, Ranged, ValueFormatter};
use plotters::prelude::*;

use super::number;
use super::{Curve, Plot};

/// Width of a plot, in pixels.
const WIDTH_PX: u32 = 760;
/// Height of a plot, in pixels.
const HEIGHT_PX: u32 = 420;
/// Ratio of the greatest to the smallest value from which an axis is logarithmic.
const LOGARITHMIC_RATIO: f64 = 1_000.0;
/// Values beyond this magnitude are left out: the drawing library cannot place labels on an axis
/// that spans them.
const GREATEST_VALUE: f64 = 1e15;
/// Axes that span less than this are widened, for the same reason.
const LEAST_SPAN: f64 = 1e-9;
/// Share of an axis that stays free beyond the greatest value.
const HEADROOM: f64 = 1.08;

/// Colours of curves, distinct for the colour-blind as well.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
];

/// A plot that could not be drawn.
#[derive(Debug)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plot cannot be drawn: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

fn drawing(error: impl fmt::Display) -> PlotError {
    PlotError(error.to_string())
}

/// Whether an axis is linear or logarithmic, and what it spans.
#[derive(Clone, Debug, PartialEq)]
enum Axis {
    Linear(Range<f64>),
    Logarithmic(Range<f64>),
}

/// Draws a plot; an empty one is drawn with axes alone.
///
/// # Errors
///
/// [`PlotError`] if the drawing library refuses.
pub fn render_svg(plot: &Plot) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        let x = axis(plot.curves.iter().flat_map(xs));
        let y = axis(plot.curves.iter().flat_map(ys));
        match (x, y) {
            (Axis::Linear(x), Axis::Linear(y)) => draw(&area, plot, x, y)?,
            (Axis::Linear(x), Axis::Logarithmic(y)) => draw(&area, plot, x, y.log_scale())?,
            (Axis::Logarithmic(x), Axis::Linear(y)) => draw(&area, plot, x.log_scale(), y)?,
            (Axis::Logarithmic(x), Axis::Logarithmic(y)) => {
                draw(&area, plot, x.log_scale(), y.log_scale())?;
            }
        }
        area.present().map_err(drawing)?;
    }
    Ok(svg)
}

fn xs(curve: &Curve) -> impl Iterator<Item = f64> {
    curve.points.iter().map(|point| point.x)
}

fn ys(curve: &Curve) -> impl Iterator<Item = f64> {
    curve.points.iter().map(|point| point.y)
}

/// The axis that shows these values.
fn axis(values: impl Iterator<Item = f64>) -> Axis {
    let mut least = f64::INFINITY;
    let mut greatest = f64::NEG_INFINITY;
    for value in values.filter(|value| can_be_shown(*value)) {
        least = least.min(value);
        greatest = greatest.max(value);
    }
    if least > greatest {
        return Axis::Linear(0.0..1.0);
    }
    if least >= LEAST_SPAN && greatest / least >= LOGARITHMIC_RATIO {
        return Axis::Logarithmic(least / HEADROOM..greatest * HEADROOM);
    }
    let start = least.min(0.0);
    let end = start + (greatest - start) * HEADROOM;
    if end - start < LEAST_SPAN {
        return Axis::Linear(start..start + 1.0);
    }
    Axis::Linear(start..end)
}

fn can_be_shown(value: f64) -> bool {
    value.is_finite() && value.abs() <= GREATEST_VALUE
}

fn draw<X, Y>(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    plot: &Plot,
    x: X,
    y: Y,
) -> Result<(), PlotError>
where
    X: AsRangedCoord<Value = f64>,
    Y: AsRangedCoord<Value = f64>,
    X::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
    Y::CoordDescType: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    area.fill(&WHITE).map_err(drawing)?;
    let mut chart = ChartBuilder::on(area)
        .caption(&plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(74)
        .build_cartesian_2d(x, y)
        .map_err(drawing)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(RGBColor(225, 225, 225))
        .x_desc(&plot.x_label)
        .y_desc(&plot.y_label)
        .x_label_formatter(&|value| number::format_value(*value))
        .y_label_formatter(&|value| number::format_value(*value))
        .label_style(("sans-serif", 13))
        .axis_desc_style(("sans-serif", 14))
        .draw()
        .map_err(drawing)?;
    for (curve, colour) in plot.curves.iter().zip(COLOURS.iter().cycle()) {
        let points = drawable_points(curve);
        let line = LineSeries::new(points.clone(), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(drawing)?
            .label(&curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        let marks = points
            .into_iter()
            .map(|point| Circle::new(point, 3, colour.filled()));
        chart.draw_series(marks).map_err(drawing)?;
    }
    if plot.curves.is_empty() {
        return Ok(());
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.85))
        .border_style(RGBColor(200, 200, 200))
        .label_font(("sans-serif", 13))
        .draw()
        .map_err(drawing)
}

fn drawable_points(curve: &Curve) -> Vec<(f64, f64)> {
    let points = curve.points.iter().map(|point| (point.x, point.y));
    points
        .filter(|&(x, y)| can_be_shown(x) && can_be_shown(y))
        .collect()
}

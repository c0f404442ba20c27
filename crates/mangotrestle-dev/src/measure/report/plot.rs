//! Renders plots of reports as SVG.

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
/// An axis is logarithmic if its largest value is at least this many times its smallest value.
const LOGARITHMIC_RATIO: f64 = 1_000.0;
/// Maximum magnitude of a value. Larger ones are left out, since the drawing library cannot place
/// labels on an axis that includes them.
const MAX_MAGNITUDE: f64 = 1e15;
/// Minimum span of an axis. Shorter ones are widened, since the drawing library cannot place labels
/// on them either.
const MIN_SPAN: f64 = 1e-9;
/// Factor by which an axis extends beyond the largest value.
const HEADROOM_FACTOR: f64 = 1.08;

/// Colours of curves, distinguishable with colour blindness too.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
    RGBColor(90, 90, 90),
];

/// Error of the drawing library.
#[derive(Debug)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plot cannot be drawn: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

fn plot_error(error: impl fmt::Display) -> PlotError {
    PlotError(error.to_string())
}

/// Scale and range of an axis.
#[derive(Clone, Debug, PartialEq)]
enum Axis {
    Linear(Range<f64>),
    Logarithmic(Range<f64>),
}

/// Draws a plot as SVG text. A plot without curves has only axes.
///
/// # Errors
///
/// [`PlotError`] if the drawing library fails.
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
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn xs(curve: &Curve) -> impl Iterator<Item = f64> {
    curve.points.iter().map(|point| point.x)
}

fn ys(curve: &Curve) -> impl Iterator<Item = f64> {
    curve.points.iter().map(|point| point.y)
}

/// Returns the axis for a set of values.
fn axis(values: impl Iterator<Item = f64>) -> Axis {
    let mut smallest = f64::INFINITY;
    let mut largest = f64::NEG_INFINITY;
    for value in values.filter(|value| can_be_shown(*value)) {
        smallest = smallest.min(value);
        largest = largest.max(value);
    }
    if smallest > largest {
        return Axis::Linear(0.0..1.0);
    }
    if smallest >= MIN_SPAN && largest / smallest >= LOGARITHMIC_RATIO {
        return Axis::Logarithmic(smallest / HEADROOM_FACTOR..largest * HEADROOM_FACTOR);
    }
    let start = smallest.min(0.0);
    let end = start + (largest - start) * HEADROOM_FACTOR;
    if end - start < MIN_SPAN {
        return Axis::Linear(start..start + 1.0);
    }
    Axis::Linear(start..end)
}

fn can_be_shown(value: f64) -> bool {
    value.is_finite() && value.abs() <= MAX_MAGNITUDE
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
    area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(area)
        .caption(&plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(74)
        .build_cartesian_2d(x, y)
        .map_err(plot_error)?;
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
        .map_err(plot_error)?;
    for (curve, colour) in plot.curves.iter().zip(COLOURS.iter().cycle()) {
        let points = drawable_points(curve);
        let line = LineSeries::new(points.clone(), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(plot_error)?
            .label(&curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        let marks = points
            .into_iter()
            .map(|point| Circle::new(point, 3, colour.filled()));
        chart.draw_series(marks).map_err(plot_error)?;
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
        .map_err(plot_error)
}

fn drawable_points(curve: &Curve) -> Vec<(f64, f64)> {
    let points = curve.points.iter().map(|point| (point.x, point.y));
    points
        .filter(|&(x, y)| can_be_shown(x) && can_be_shown(y))
        .collect()
}

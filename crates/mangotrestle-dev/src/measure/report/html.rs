//! Renders reports as one HTML page with plots that loads no other files.

use super::number;
use super::plot;
use super::{Figure, Report, Verdict};

const STYLE: &str = "\
body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:960px;padding:0 1em;color:#222}\
h1{font-size:1.5em}h2{font-size:1.2em;margin-top:2em;border-bottom:1px solid #ccc}\
table{border-collapse:collapse;width:100%}\
th,td{text-align:left;padding:.3em .6em;border-bottom:1px solid #e4e4e4}\
td.number{text-align:right;font-variant-numeric:tabular-nums}th.number{text-align:right}\
.pass{color:#00694c;font-weight:600}.short{color:#a33b00;font-weight:600}\
svg{max-width:100%;height:auto;margin-top:1em}";

/// Renders all reports as one page.
///
/// # Errors
///
/// [`plot::PlotError`] if a plot cannot be drawn.
pub fn render(reports: &[Report]) -> Result<String, plot::PlotError> {
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>mangotrestle measurements</title>\n<style>{STYLE}</style>\n</head>\n<body>\n\
         <h1>mangotrestle measurements</h1>\n{}",
        summary(reports)
    );
    for report in reports {
        page.push_str(&section(report)?);
    }
    page.push_str("</body>\n</html>\n");
    Ok(page)
}

fn summary(reports: &[Report]) -> String {
    let figures = || reports.iter().flat_map(|report| &report.figures);
    let count = |verdict| {
        figures()
            .filter(|figure| figure.verdict() == verdict)
            .count()
    };
    format!(
        "<p>{} experiments; of the figures with a target, {} pass and {} fall short.</p>\n",
        reports.len(),
        count(Verdict::Pass),
        count(Verdict::Short)
    )
}

fn section(report: &Report) -> Result<String, plot::PlotError> {
    let mut section = format!(
        "<h2 id=\"{name}\">{name}</h2>\n<p>Seed {seed}.</p>\n<table>\n\
         <tr><th>Figure</th><th class=\"number\">Value</th><th>Unit</th>\
         <th class=\"number\">Target</th><th class=\"number\">Naive version</th><th></th></tr>\n",
        name = escape(&report.experiment),
        seed = report.seed
    );
    for figure in &report.figures {
        section.push_str(&row(figure));
    }
    section.push_str("</table>\n");
    for plot in &report.plots {
        section.push_str(&plot::render_svg(plot)?);
        section.push('\n');
    }
    Ok(section)
}

fn row(figure: &Figure) -> String {
    let verdict = number::verdict_word(figure.verdict());
    format!(
        "<tr><td>{}</td><td class=\"number\">{}</td><td>{}</td><td class=\"number\">{}</td>\
         <td class=\"number\">{}</td><td class=\"{verdict}\">{verdict}</td></tr>\n",
        escape(&figure.name),
        number::format_value(figure.value),
        escape(&figure.unit),
        escape(&number::format_target(figure)),
        escape(&number::format_naive(figure)),
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

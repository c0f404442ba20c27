//! Tests of number formats, and of rendering reports with arbitrary names and values.

use quickcheck::quickcheck;

use super::*;

fn figure(target: Target) -> Figure {
    Figure::new("wait p99", 812.25, "ms")
        .target(target)
        .naive(4_020.0)
}

fn report(figures: Vec<Figure>, points: Vec<Point>) -> Report {
    let curve = Curve {
        name: "ours".to_owned(),
        points,
    };
    Report {
        experiment: "place".to_owned(),
        seed: 7,
        figures,
        plots: vec![Plot {
            title: "cost".to_owned(),
            x_label: "workers".to_owned(),
            y_label: "us".to_owned(),
            curves: vec![curve],
        }],
    }
}

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|&(x, y)| Point { x, y }).collect()
}

#[test]
fn fractions_are_rounded_to_four_significant_digits() {
    let formatted = [
        0.0,
        812.25,
        0.000_123_456,
        1_234_567.0,
        17_000.0,
        -2.5,
        1e12,
    ]
    .map(number::format_value);

    assert_eq!(
        formatted,
        [
            "0",
            "812.2",
            "0.0001235",
            "1234567",
            "17000",
            "-2.5",
            "1.000e12"
        ]
    );
}

#[test]
fn text_shows_target_naive_value_and_verdict() {
    let figures = vec![
        figure(Target::AtMost(1_100.0)),
        figure(Target::AtLeast(900.0)),
        Figure::new("tasks", 12.0, "1"),
    ];

    let formatted = text::render(&report(figures, Vec::new()));

    let lines: Vec<&str> = formatted.lines().collect();
    assert_eq!(lines[0], "place (seed 7)");
    assert_eq!(lines[2], "  wait p99  812.2  ms    <= 1100  4020   pass");
    assert_eq!(lines[3], "  wait p99  812.2  ms    >= 900   4020   short");
    assert_eq!(lines[4], "  tasks     12     1     -        -      -");
}

#[test]
fn page_counts_verdicts_and_holds_the_plots() {
    let figures = vec![
        figure(Target::AtMost(1_100.0)),
        figure(Target::AtLeast(900.0)),
    ];
    let curve = points(&[(1.0, 1.0), (10.0, 3.0), (100_000.0, 9.0)]);

    let page = html::render(&[report(figures, curve)]).unwrap();

    assert!(page.contains("1 pass and 1 fall short"));
    assert!(page.contains("<svg"));
    assert!(page.contains("<td class=\"short\">short</td>"));
}

#[test]
fn json_holds_the_verdict_beside_each_figure() {
    let json = write::to_json(&[report(vec![figure(Target::AtMost(1.0))], Vec::new())]).unwrap();

    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(value[0]["figures"][0]["verdict"], "short");
    assert_eq!(value[0]["figures"][0]["target"]["at-most"], 1.0);
}

quickcheck! {
    fn any_report_can_be_rendered(name: String, values: Vec<(f64, f64)>) -> bool {
        let mut report = report(vec![Figure::new(&name, 1.0, &name)], points(&values));
        report.plots[0].title = name;
        html::render(&[report]).is_ok_and(|page| page.ends_with("</html>\n"))
    }
}

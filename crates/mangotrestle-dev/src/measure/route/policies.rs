//! Measurements of routing policies in virtual time: overload, faulty targets and a total outage.

use crate::measure::report::{Curve, Figure, Plot, Point, Target};
use crate::measure::route::model::{Fault, Model, Observed, Plan, RouterKind};

/// Number of targets of the service.
const TARGETS: usize = 20;
/// Time from a request's arrival to its deadline.
const DEADLINE_US: u64 = 1_000_000;
/// Offered loads, as multiples of the targets' capacity.
const LOADS: [f64; 7] = [0.4, 0.7, 0.9, 1.0, 1.2, 1.5, 2.0];
/// Target maximum of the ratio of a figure with a faulty target to that with healthy targets.
const HEALTHY_RATIO_TARGET: f64 = 1.5;
/// Number of retries per first attempt that the retry budget allows.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// Maximum number of unused retries that each entry host's budget accumulates.
const RETRY_BUDGET_BURST: f64 = 10.0;
/// Retries per second that each entry host's budget allows regardless of the number of requests.
const MIN_RETRY_BUDGET_PER_S: f64 = 1.0;

fn plan(seed: u64, kind: RouterKind) -> Plan {
    Plan {
        seed,
        kind,
        faults: vec![Fault::None; TARGETS],
        entry_hosts: 2,
        rate_per_s: 0.0,
        counted_us: 10_000_000,
        deadline_us: DEADLINE_US,
        fault_per_mille: 0,
        idempotent_percent: 90,
    }
}

/// Results of one router over all offered loads.
struct LoadCurve {
    goodput: Vec<Point>,
    at_double_load: Observed,
    /// Goodput at double load, divided by the peak goodput.
    ratio_at_double: f64,
}

fn load_curve(seed: u64, kind: RouterKind) -> LoadCurve {
    let mut goodput = Vec::new();
    let mut last = None;
    for load in LOADS {
        let mut plan = plan(seed, kind);
        plan.rate_per_s = plan.capacity_per_s() * load;
        let observed = Model::run(&plan);
        let y = observed.goodput_per_s(&plan);
        goodput.push(Point { x: load, y });
        last = Some(observed);
    }
    let peak = goodput.iter().map(|point| point.y).fold(0.0, f64::max);
    let at_double = goodput.last().map_or(0.0, |point| point.y);
    LoadCurve {
        goodput,
        at_double_load: last.expect("LOADS is not empty"),
        ratio_at_double: at_double / peak,
    }
}

/// Measures goodput and latency under rising load.
pub fn overload(seed: u64, figures: &mut Vec<Figure>, plots: &mut Vec<Plot>) {
    let routed = load_curve(seed, RouterKind::Routed);
    let naive = load_curve(seed, RouterKind::Naive);
    let at_double_load = &routed.at_double_load;
    figures.push(
        Figure::new(
            "goodput at 2x overload, of the peak",
            routed.ratio_at_double,
            "ratio",
        )
        .target(Target::AtLeast(0.9))
        .naive(naive.ratio_at_double),
    );
    #[allow(clippy::cast_precision_loss, reason = "a small whole number")]
    let deadline_ms = DEADLINE_US as f64 / 1_000.0;
    figures.push(
        Figure::new(
            "p99 of admitted requests at 2x overload",
            at_double_load.admitted_ms(0.99),
            "ms",
        )
        .target(Target::AtMost(deadline_ms))
        .naive(naive.at_double_load.admitted_ms(0.99)),
    );
    #[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    let urgent_good_ratio =
        |observed: &Observed| observed.urgent_good as f64 / observed.urgent_arrived.max(1) as f64;
    figures.push(
        Figure::new(
            "urgent requests answered at 2x overload",
            urgent_good_ratio(at_double_load),
            "ratio",
        )
        .naive(urgent_good_ratio(&naive.at_double_load)),
    );
    #[allow(clippy::cast_precision_loss, reason = "latencies far below 2^52")]
    let refusal_ms = at_double_load.refused_us.value_at_quantile(0.99) as f64 / 1_000.0;
    figures.push(Figure::new(
        "p99 time until a refusal at 2x overload",
        refusal_ms,
        "ms",
    ));
    plots.push(Plot {
        title: "Goodput under rising load".to_owned(),
        x_label: "offered load (multiples of capacity)".to_owned(),
        y_label: "useful answers (1/s)".to_owned(),
        curves: vec![
            Curve {
                name: "mangotrestle".to_owned(),
                points: routed.goodput,
            },
            Curve {
                name: "round robin without limits".to_owned(),
                points: naive.goodput,
            },
        ],
    });
}

fn with_fault(seed: u64, kind: RouterKind, fault: Fault) -> Observed {
    let mut plan = plan(seed, kind);
    plan.rate_per_s = plan.capacity_per_s() * 0.5;
    plan.counted_us = 60_000_000;
    plan.fault_per_mille = 2;
    plan.faults[0] = fault;
    Model::run(&plan)
}

/// Measures the effect of one slow target and of one that fails every request, and compares it with
/// healthy targets.
pub fn bad_targets(seed: u64, figures: &mut Vec<Figure>) {
    let healthy = with_fault(seed, RouterKind::Routed, Fault::None);
    let naive_healthy = with_fault(seed, RouterKind::Naive, Fault::None);
    figures.push(
        Figure::new(
            "errors with healthy targets",
            healthy.error_ratio() * 100.0,
            "%",
        )
        .naive(naive_healthy.error_ratio() * 100.0),
    );
    figures.push(
        Figure::new("p99 with healthy targets", healthy.admitted_ms(0.99), "ms")
            .naive(naive_healthy.admitted_ms(0.99)),
    );
    #[allow(clippy::cast_precision_loss, reason = "a small count")]
    let false_ejections = healthy.ejections as f64;
    figures.push(Figure::new(
        "healthy targets left out",
        false_ejections,
        "1",
    ));
    for (name, fault) in [
        ("one target 10x slow", Fault::Slow(10)),
        ("one target failing everything", Fault::FailsAll),
    ] {
        let observed = with_fault(seed, RouterKind::Routed, fault);
        let naive = with_fault(seed, RouterKind::Naive, fault);
        figures.push(
            Figure::new(
                &format!("{name}: errors, of the healthy run's"),
                ratio(observed.error_ratio(), healthy.error_ratio()),
                "ratio",
            )
            .target(Target::AtMost(HEALTHY_RATIO_TARGET))
            .naive(ratio(naive.error_ratio(), healthy.error_ratio())),
        );
        figures.push(
            Figure::new(
                &format!("{name}: p99, of the healthy run's"),
                ratio(observed.admitted_ms(0.99), healthy.admitted_ms(0.99)),
                "ratio",
            )
            .target(Target::AtMost(HEALTHY_RATIO_TARGET))
            .naive(ratio(naive.admitted_ms(0.99), healthy.admitted_ms(0.99))),
        );
    }
}

fn ratio(value: f64, healthy: f64) -> f64 {
    value / healthy.max(f64::MIN_POSITIVE)
}

/// Measures the number of retries while every target is down.
#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
pub fn outage(seed: u64, figures: &mut Vec<Figure>) {
    let retry_ratio = |kind| {
        let mut plan = plan(seed, kind);
        plan.rate_per_s = 2_000.0;
        plan.faults = vec![Fault::Down; TARGETS];
        let observed = Model::run(&plan);
        let first_attempts = (observed.arrived - observed.refused) as f64;
        let retries = observed.attempts as f64 - first_attempts;
        let seconds = plan.counted_us as f64 / 1e6;
        let per_host = RETRY_BUDGET_BURST + MIN_RETRY_BUDGET_PER_S * seconds;
        let allowed = RETRY_BUDGET_RATIO * first_attempts + per_host * plan.entry_hosts as f64;
        retries / allowed
    };
    figures.push(
        Figure::new(
            "retries in a total outage, of what the budget allows",
            retry_ratio(RouterKind::Routed),
            "ratio",
        )
        .target(Target::AtMost(1.0))
        .naive(retry_ratio(RouterKind::Naive)),
    );
}

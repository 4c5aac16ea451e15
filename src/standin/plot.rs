//! Renders the results of a sweep as an HTML page with SVG plots.

use std::fmt::Write;

use plotters::prelude::*;

use super::{
    Error, Result,
    experiment::Run,
    measure::{POINT_MS, Series},
    report::{Row, name, table},
    script::Script,
};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);
const COLOURS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, CYAN, BLACK];

struct Curve {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Returns the page: the table, then goodput, latency and share of requests answered over time for
/// the first seed of each overload control, then goodput by class for each of these runs.
///
/// # Errors
/// Returns an error when a plot can't be drawn.
pub fn page(script: &Script, rows: &[Row], runs: &[Run]) -> Result<String> {
    let mut html = String::new();
    let title = &script.name;
    let _ = write!(
        html,
        "<!doctype html><meta charset=\"utf-8\"><title>{title}</title>\
         <h1>{title}</h1><pre>{}</pre>",
        table(rows)
    );
    let first_runs = rows.iter().filter_map(|row| {
        let mut control_runs = runs.iter().filter(|r| r.control == row.control);
        control_runs.next()
    });
    let first_runs: Vec<&Run> = first_runs.collect();
    let plot_total = |title: &str, pick: fn(&Series) -> &Vec<f64>, join: fn(f64, f64) -> f64| {
        let curves = first_runs.iter().map(|run| Curve {
            label: name(run.control).to_owned(),
            points: points(script, &combine_classes(run, pick, join)),
        });
        plot(title, curves.collect())
    };
    html += &plot_total("goodput, requests/s", |s| &s.goodput, |a, b| a + b)?;
    html += &plot_total(
        "99th percentile of latency, worst class, ms",
        |s| &s.p99_ms,
        f64::max,
    )?;
    html += &plot_total(
        "share of requests answered, worst class",
        |s| &s.share,
        f64::min,
    )?;
    for run in &first_runs {
        let curves = run.series.iter().map(|s| Curve {
            label: s.class.clone(),
            points: points(script, &s.goodput),
        });
        let title = format!(
            "goodput by class, control {}, requests/s",
            name(run.control)
        );
        html += &plot(&title, curves.collect())?;
    }
    Ok(html)
}

/// Combines the time lines of all classes of a run, point by point.
fn combine_classes(
    run: &Run,
    pick: fn(&Series) -> &Vec<f64>,
    join: fn(f64, f64) -> f64,
) -> Vec<f64> {
    let mut lines = run.series.iter().map(|s| pick(s).clone());
    let first = lines.next().unwrap_or_default();
    lines.fold(first, |combined, line| {
        combined
            .iter()
            .zip(&line)
            .map(|(a, b)| join(*a, *b))
            .collect()
    })
}

fn points(script: &Script, values: &[f64]) -> Vec<(f64, f64)> {
    let time = |n: usize| n as f64 * POINT_MS as f64 / 1_000.0 - script.warmup_s;
    values
        .iter()
        .enumerate()
        .map(|(n, v)| (time(n), *v))
        .collect()
}

fn plot(title: &str, curves: Vec<Curve>) -> Result<String> {
    let mut svg = String::new();
    draw(&mut svg, title, &curves).map_err(|e| Error::Plot(e.to_string()))?;
    Ok(svg)
}

fn draw(svg: &mut String, title: &str, curves: &[Curve]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || curves.iter().flat_map(|c| &c.points);
    let left = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let right = points().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    let top = points().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max);
    if left >= right {
        return Ok(());
    }
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 15))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(50)
        .build_cartesian_2d(left..right, 0.0..1.05 * top)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (curve, colour) in curves.iter().zip(COLOURS.iter().cycle()) {
        let line = LineSeries::new(curve.points.iter().copied(), colour);
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour);
        chart.draw_series(line)?.label(&curve.label).legend(legend);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

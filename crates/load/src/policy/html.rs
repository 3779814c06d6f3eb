//! HTML report with inline SVG plots.

use std::fmt::Write;

use super::Outcome;

const PLOT_WIDTH: f64 = 860.0;
const PLOT_HEIGHT: f64 = 220.0;
const PLOT_MARGIN: f64 = 48.0;

/// Number of seconds whose mean is one point of a plot.
const SMOOTHING_S: usize = 10;

const COLORS: [&str; 8] = [
    "#1b6ca8", "#d1495b", "#66a182", "#edae49", "#6a4c93", "#8d6a4f", "#00798c", "#555555",
];

/// Returns the whole page, with a table and a plot for each deployment and scenario.
pub fn render_page(outcomes: &[Outcome]) -> String {
    let mut out = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>nutmegbay policy</title>\
         <style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}\
         td,th{padding:2px 8px;border-bottom:1px solid #ddd;text-align:right}\
         td:first-child,th:first-child{text-align:left}</style><h1>Policy experiments</h1>",
    );
    let mut groups: Vec<(&str, &str)> = outcomes
        .iter()
        .map(|o| (o.deployment.as_ref(), o.scenario.as_ref()))
        .collect();
    groups.dedup();
    for (deployment, scenario) in groups {
        let group: Vec<_> = outcomes
            .iter()
            .filter(|o| (o.deployment.as_ref(), o.scenario.as_ref()) == (deployment, scenario))
            .collect();
        let _ = write!(out, "<h2>{deployment}, {scenario}</h2>");
        write_table(&mut out, &group);
        write_plot(&mut out, &group);
    }
    out.push_str("</html>\n");
    out
}

fn write_table(out: &mut String, group: &[&Outcome]) {
    out.push_str(
        "<table><tr><th>policy<th>goodput tokens/s<th>of clairvoyant<th>deadline met\
         <th>worst account<th>role changes<th>TTFT p95 s<th>ITL p95 s<th>duplicated\
         <th>cost per good token</tr>",
    );
    for outcome in group {
        let f = &outcome.metrics;
        let _ = write!(
            out,
            "<tr><td>{}<td>{:.0}<td>{:.3}<td>{:.3}<td>{:.3}<td>{:.0}<td>{:.2}<td>{:.3}<td>{:.3}\
             <td>{:.2e}</tr>",
            outcome.policy,
            f.goodput_tokens_per_s,
            f.goodput_ratio_to_clairvoyant.unwrap_or(f64::NAN),
            f.deadline_met_share,
            f.worst_account_share,
            f.role_changes,
            f.ttft_p95_s,
            f.itl_p95_s,
            f.duplicated_work_share,
            f.cost_per_good_token,
        );
    }
    out.push_str("</table>");
}

/// Writes a plot of the goodput over time, with one line per policy, for the first seed.
fn write_plot(out: &mut String, group: &[&Outcome]) {
    let smooth = |series: &[f64]| -> Vec<f64> {
        series
            .chunks(SMOOTHING_S)
            .map(|chunk| chunk.iter().sum::<f64>() / chunk.len() as f64)
            .collect()
    };
    let lines: Vec<_> = group.iter().map(|o| smooth(&o.goodput_series)).collect();
    let max_value = lines.iter().flatten().copied().fold(1.0, f64::max);
    let points = lines.iter().map(Vec::len).max().unwrap_or(1).max(2);
    let _ = write!(
        out,
        "<svg viewBox=\"0 0 {PLOT_WIDTH} {PLOT_HEIGHT}\" width=\"{PLOT_WIDTH}\" \
         height=\"{PLOT_HEIGHT}\" role=\"img\">\
         <text x=\"2\" y=\"14\" font-size=\"11\">{max_value:.0} tokens/s</text>\
         <line x1=\"{PLOT_MARGIN}\" y1=\"{0}\" x2=\"{1}\" y2=\"{0}\" stroke=\"#999\"/>",
        PLOT_HEIGHT - PLOT_MARGIN / 2.0,
        PLOT_WIDTH - PLOT_MARGIN,
    );
    let x = |index: usize| {
        PLOT_MARGIN + (PLOT_WIDTH - 2.0 * PLOT_MARGIN) * index as f64 / (points - 1) as f64
    };
    let y = |value: f64| {
        PLOT_HEIGHT - PLOT_MARGIN / 2.0 - (PLOT_HEIGHT - PLOT_MARGIN) * value / max_value
    };
    for (index, (line, outcome)) in lines.iter().zip(group).enumerate() {
        let color = COLORS[index % COLORS.len()];
        let mut path = String::new();
        for (point, &value) in line.iter().enumerate() {
            let _ = write!(path, "{:.1},{:.1} ", x(point), y(value));
        }
        let _ = write!(
            out,
            "<polyline fill=\"none\" stroke=\"{color}\" stroke-width=\"1.5\" points=\"{path}\"/>\
             <text x=\"{:.0}\" y=\"{:.0}\" font-size=\"11\" fill=\"{color}\">{}</text>",
            PLOT_MARGIN + 110.0 * index as f64,
            PLOT_HEIGHT - 6.0,
            outcome.policy,
        );
    }
    out.push_str("</svg>");
}

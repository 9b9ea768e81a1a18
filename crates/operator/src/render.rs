//! Renders reports as tables and charts.

use super::*;

/// Width and height of a chart in pixels.
const PLOT_SIZE: (u32, u32) = (800, 400);

#[derive(tabled::Tabled)]
struct ClassRow {
    tier: String,
    class: String,
    attainment: String,
    #[tabled(rename = "burn 5m")]
    burn: String,
    #[tabled(rename = "burn 1h")]
    burn_long: String,
    #[tabled(rename = "budget left")]
    budget: String,
    finished: u64,
    shed: u64,
    total: u64,
    #[tabled(rename = "first token p50/p95 ms")]
    first_token: String,
}

#[derive(tabled::Tabled)]
struct GuaranteeRow {
    promise: String,
    checked: u64,
    broken: u64,
}

/// Renders a report as text with tables.
pub(crate) fn render_table(report: &Report) -> String {
    let classes = report.classes.iter().map(|class| ClassRow {
        attainment: format!("{:.1} %", class.attainment * 100.0),
        budget: format!("{:.0} %", class.budget_left * 100.0),
        burn: format!("{:.2}", class.burn_rate),
        burn_long: format!("{:.2}", class.burn_rate_long),
        class: class.class.to_string(),
        finished: class.finished,
        first_token: format!(
            "{:.0} / {:.0}",
            class.first_token_p50_ms, class.first_token_p95_ms
        ),
        shed: class.shed,
        tier: class.tier.to_string(),
        total: class.total,
    });
    let mut text = tabled::Table::new(classes).to_string();
    let waste: Vec<String> = report
        .wasted_by_cause
        .iter()
        .map(|(cause, tokens)| format!("{cause} {tokens}"))
        .collect();
    let verdicts: Vec<String> = report
        .verdicts
        .iter()
        .map(|(verdict, count)| format!("{verdict} {count}"))
        .collect();
    let codes: Vec<String> = report
        .refused_by_code
        .iter()
        .map(|(code, count)| format!("{code} {count}"))
        .collect();
    text += &format!(
        "\ngoodput {:.1} tokens/s, {:.1} % of all computed\nwasted {:.2} % (tokens: {})\nverdicts: {}\nerrors: {}\n",
        report.goodput_tokens_per_s,
        report.goodput_share * 100.0,
        report.wasted_share * 100.0,
        waste.join(", "),
        verdicts.join(", "),
        if codes.is_empty() {
            "none".to_string()
        } else {
            codes.join(", ")
        },
    );
    if !report.promises.is_empty() {
        let promises = report.promises.iter().map(|check| GuaranteeRow {
            broken: check.broken,
            checked: check.checked,
            promise: check.name.clone(),
        });
        text += &tabled::Table::new(promises).to_string();
        text += "\n";
    }
    text
}

/// Draws the attainment by class as a bar chart in an SVG file.
pub(crate) fn render_svg(report: &Report, file: &Path) -> eyre::Result<()> {
    let root = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let classes = report.classes.len().max(1);
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Attainment by class, red line: objective",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..classes as f64, 0.0..1.0)?;
    let name = |x: &f64| {
        let class = report.classes.get(x.floor() as usize);
        class.map_or(String::new(), |class| class.class.to_string())
    };
    chart
        .configure_mesh()
        .x_labels(classes)
        .x_label_formatter(&name)
        .y_desc("share within target")
        .axis_style(BLACK)
        .draw()?;
    chart.draw_series(report.classes.iter().enumerate().map(|(index, class)| {
        let left = index as f64 + 0.15;
        Rectangle::new(
            [(left, 0.0), (left + 0.7, class.attainment)],
            BLUE.mix(0.6).filled(),
        )
    }))?;
    chart.draw_series(report.classes.iter().enumerate().map(|(index, class)| {
        let left = index as f64;
        let (low, high) = (class.objective - 0.003, class.objective);
        Rectangle::new([(left, low), (left + 1.0, high)], RED.filled())
    }))?;
    root.present()?;
    Ok(())
}

use super::*;

/// Options of `compare`.
#[derive(Bpaf, Clone, Debug)]
pub struct CompareCommand {
    /// First report, as JSON
    #[bpaf(positional("A"))]
    first: PathBuf,
    /// Second report, as JSON
    #[bpaf(positional("B"))]
    second: PathBuf,
}

#[derive(tabled::Tabled)]
struct Row {
    measure: String,
    a: String,
    b: String,
    #[tabled(rename = "b / a")]
    ratio: String,
}

impl CompareCommand {
    pub(crate) fn run(self) -> eyre::Result<()> {
        let first = read_report(&self.first)?;
        let second = read_report(&self.second)?;
        println!("{}", tabled::Table::new(rows(&first, &second)));
        Ok(())
    }
}

fn read_report(file: &Path) -> eyre::Result<Report> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is not a report", file.display()))
}

fn rows(first: &Report, second: &Report) -> Vec<Row> {
    let attainment = |report: &Report, id: &ClassId| {
        let class = report.classes.iter().find(|class| class.class == *id);
        class.map_or(f64::NAN, |class| class.attainment)
    };
    let mut rows: Vec<Row> = first
        .classes
        .iter()
        .map(|class| {
            let name = format!("attainment of {}", class.class);
            row(name, class.attainment, attainment(second, &class.class))
        })
        .collect();
    rows.push(row(
        "goodput tokens/s".to_string(),
        first.goodput_tokens_per_s,
        second.goodput_tokens_per_s,
    ));
    rows.push(row(
        "wasted share".to_string(),
        first.wasted_share,
        second.wasted_share,
    ));
    rows
}

fn row(measure: String, a: f64, b: f64) -> Row {
    Row {
        a: format!("{a:.4}"),
        b: format!("{b:.4}"),
        measure,
        ratio: format!("{:.3}", b / a),
    }
}

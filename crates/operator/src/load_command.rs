use super::*;

/// Options of `load`.
#[derive(Bpaf, Clone, Debug)]
pub struct LoadCommand {
    /// Add the faults from a file, as TOML
    #[bpaf(argument("FILE"))]
    faults: Option<PathBuf>,
    /// Write the report to a file as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Multiply every arrival rate
    #[bpaf(argument("FACTOR"), fallback(1.0), display_fallback)]
    load: f64,
    /// Run the scenario this many times, increasing the seed by 1 each time; stop at
    /// a broken guarantee
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    runs: u64,
    /// Override the seed of the scenario
    #[bpaf(argument("NUMBER"))]
    seed: Option<u64>,
    /// Draw the attainment by class to a file as SVG
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
    /// Scenario, as TOML
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl LoadCommand {
    pub(crate) async fn run(self) -> eyre::Result<()> {
        let mut scenario = Scenario::from_toml(&read(&self.file)?)
            .wrap_err_with(|| format!("{} is not valid", self.file.display()))?;
        if let Some(file) = &self.faults {
            let faults_file: FaultsFile = toml::from_str(&read(file)?)
                .wrap_err_with(|| format!("{} is not valid", file.display()))?;
            scenario.faults.extend(faults_file.faults);
        }
        if let Some(seed) = self.seed {
            scenario.seed = seed;
        }
        for _ in 0..self.runs {
            let (json, svg) = (self.json.as_deref(), self.svg.as_deref());
            run_and_report(&scenario, self.load, json, svg).await?;
            scenario.seed += 1;
        }
        Ok(())
    }
}

/// The file of `--faults`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultsFile {
    faults: Vec<Fault>,
}

fn read(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))
}

/// Runs a scenario and writes the report. Fails if a guarantee was broken.
pub(crate) async fn run_and_report(
    scenario: &Scenario,
    load: f64,
    json: Option<&Path>,
    svg: Option<&Path>,
) -> eyre::Result<()> {
    let experiment = run_experiment(scenario, load, true).await?;
    let report = history_report(scenario, &experiment);
    println!(
        "scenario {}, seed {}, load {load}",
        scenario.name, scenario.seed
    );
    print!("{}", render_table(&report));
    if let Some(file) = json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(file, text).wrap_err_with(|| format!("cannot write {}", file.display()))?;
    }
    if let Some(file) = svg {
        render_svg(&report, file)?;
    }
    let broken: Vec<&str> = report
        .promises
        .iter()
        .filter(|check| check.broken > 0)
        .map(|check| check.name.as_str())
        .collect();
    if !broken.is_empty() {
        bail!("promises broken: {}", broken.join(", "));
    }
    Ok(())
}

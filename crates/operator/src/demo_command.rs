use super::*;

/// Scenario of the demo, as TOML.
const DEMO_SCENARIO: &str = include_str!("../../../scenarios/demo.toml");

/// Options of `demo`.
#[derive(Bpaf, Clone, Debug)]
pub struct DemoCommand {
    /// Duration of the load in seconds
    #[bpaf(argument("SECONDS"), fallback(10.0), display_fallback)]
    for_s: f64,
    /// Write the report to a file as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Draw the attainment by class to a file as SVG
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
}

impl DemoCommand {
    pub(crate) async fn run(self) -> eyre::Result<()> {
        let mut scenario = Scenario::from_toml(DEMO_SCENARIO)?;
        let scale = self.for_s / scenario.duration_s;
        scenario.duration_s = self.for_s;
        for fault in &mut scenario.faults {
            fault.at_s *= scale;
            fault.for_s *= scale;
        }
        load_command::run_and_report(&scenario, 1.0, self.json.as_deref(), self.svg.as_deref())
            .await
    }
}

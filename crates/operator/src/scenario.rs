use super::*;

/// An experiment: a fleet, its classes and teams, the load and the faults.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Request classes.
    pub classes: Vec<ScenarioClass>,
    /// Length of the load in seconds.
    pub duration_s: f64,
    /// Faults on the run's timeline.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The fleet.
    pub fleet: FleetOptions,
    /// The load.
    pub flows: Vec<Flow>,
    /// Name.
    pub name: String,
    /// Seed of all random choices of the load.
    pub seed: u64,
    /// Teams.
    pub teams: Vec<ScenarioTeam>,
}

impl Scenario {
    /// Reads a scenario from TOML and checks it.
    pub fn from_toml(text: &str) -> eyre::Result<Self> {
        let scenario: Self = toml::from_str(text).wrap_err("scenario cannot be read")?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> eyre::Result<()> {
        if self.fleet.hosts == 0 || self.fleet.failure_domains.is_empty() {
            bail!("scenario needs at least one host and one failure domain");
        }
        if !(0.1..=3_600.0).contains(&self.duration_s) {
            bail!("duration_s is {}, expected 0.1 to 3600", self.duration_s);
        }
        for flow in &self.flows {
            if !self.teams.iter().any(|team| team.id == flow.team) {
                bail!(
                    "flow of class {} names unknown team {}",
                    flow.class,
                    flow.team
                );
            }
            if let Some(service) = &flow.service
                && !self.fleet.services.contains_key(service)
            {
                bail!(
                    "flow of class {} names unknown service {service}",
                    flow.class
                );
            }
            self.class(&flow.class)?;
        }
        Ok(())
    }

    /// A class by its id.
    pub fn class(&self, id: &ClassId) -> eyre::Result<&ScenarioClass> {
        self.classes
            .iter()
            .find(|class| class.id == *id)
            .ok_or_else(|| eyre!("scenario has no class {id}"))
    }

    /// A team by its id.
    pub fn team(&self, id: &TeamId) -> eyre::Result<&ScenarioTeam> {
        self.teams
            .iter()
            .find(|team| team.id == *id)
            .ok_or_else(|| eyre!("scenario has no team {id}"))
    }
}

use super::*;

/// The definition of an experiment: a fleet, its classes and teams, the load and
/// the faults.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Request classes.
    pub classes: Vec<ScenarioClass>,
    /// Duration of the load in seconds.
    pub duration_s: f64,
    /// Faults that occur during the run.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Hosts and upstreams.
    pub fleet: FleetOptions,
    /// Streams of requests that make up the load.
    pub flows: Vec<Flow>,
    /// Name of the scenario.
    pub name: String,
    /// Seed of the random number generators of the load.
    pub seed: u64,
    /// Teams that send the load.
    pub teams: Vec<ScenarioTeam>,
}

impl Scenario {
    /// Parses and validates a scenario.
    pub fn from_toml(text: &str) -> eyre::Result<Self> {
        let scenario: Self = toml::from_str(text).wrap_err("scenario cannot be parsed")?;
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

    /// Returns the class with an id.
    pub fn class(&self, id: &ClassId) -> eyre::Result<&ScenarioClass> {
        self.classes
            .iter()
            .find(|class| class.id == *id)
            .ok_or_else(|| eyre!("scenario has no class {id}"))
    }

    /// Returns the team with an id.
    pub fn team(&self, id: &TeamId) -> eyre::Result<&ScenarioTeam> {
        self.teams
            .iter()
            .find(|team| team.id == *id)
            .ok_or_else(|| eyre!("scenario has no team {id}"))
    }
}

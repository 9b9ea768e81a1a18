use super::*;

/// A team of a scenario. Its key is its id with `-key` after it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioTeam {
    /// Classes that it may use; the first is its default.
    pub classes: Vec<ClassId>,
    /// Id.
    pub id: TeamId,
    /// Requests queued or running at one moment, on each host.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
    /// Requests a second, on each host.
    #[serde(default = "default_max_requests_per_s")]
    pub max_requests_per_s: Rate,
    /// What it pays for.
    pub plan: Plan,
}

fn default_max_concurrent() -> u32 {
    10_000
}

fn default_max_requests_per_s() -> Rate {
    Rate::per_second(100_000.0).unwrap_or_default()
}

impl ScenarioTeam {
    /// Its bearer key.
    pub fn key(&self) -> String {
        format!("{}-key", self.id)
    }
}

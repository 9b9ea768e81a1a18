use super::*;

/// A team of a scenario. The key of the team is its id with the suffix `-key`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioTeam {
    /// Classes that the team may use. The first class is the default.
    pub classes: Vec<ClassId>,
    /// Id of the team.
    pub id: TeamId,
    /// Maximum number of requests queued or running at the same time, on each host.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
    /// Maximum number of requests per second, on each host.
    #[serde(default = "default_max_requests_per_s")]
    pub max_requests_per_s: Rate,
    /// Plan that the team pays for.
    pub plan: Plan,
}

fn default_max_concurrent() -> u32 {
    10_000
}

fn default_max_requests_per_s() -> Rate {
    Rate::per_second(100_000.0).unwrap_or_default()
}

impl ScenarioTeam {
    /// The bearer key of the team.
    pub fn key(&self) -> String {
        format!("{}-key", self.id)
    }
}

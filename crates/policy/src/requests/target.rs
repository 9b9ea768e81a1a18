use super::*;

/// The model or service that a request is for. Each target has its own queue.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A model, served by engines.
    Model(ModelId),
    /// A service other than a model.
    Service(ServiceId),
}

impl Target {
    /// Whether an upstream can serve the target.
    pub fn is_served_by(&self, upstream: &Upstream) -> bool {
        match (self, upstream) {
            (Self::Model(model), Upstream::Engine(engine)) => engine.models.contains(model),
            (Self::Service(service), Upstream::Service(replica)) => replica.service == *service,
            _ => false,
        }
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(f, "model {model}"),
            Self::Service(service) => write!(f, "service {service}"),
        }
    }
}

use super::*;

/// What a request asks for: it is queued with others that ask for the same.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A model, served by engines.
    Model(ModelId),
    /// A plain service.
    Service(ServiceId),
}

impl Target {
    /// Whether an upstream can serve this.
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

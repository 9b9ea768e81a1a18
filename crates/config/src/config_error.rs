use super::*;

/// Why a configuration document or patch cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigError {
    /// Two upstreams have one address.
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
        /// One upstream.
        first: UpstreamId,
        /// The other upstream.
        second: UpstreamId,
    },
    /// A team's default class is not among its classes.
    DefaultClassNotAllowed {
        /// The team.
        team: TeamId,
    },
    /// Two teams have one bearer key.
    DuplicateKey {
        /// One team.
        first: TeamId,
        /// The other team.
        second: TeamId,
    },
    /// The document has a newer format than this release understands.
    NewerFormat {
        /// Its format.
        format: u64,
    },
    /// A number lies outside its range.
    OutOfRange {
        /// What is allowed.
        expected: String,
        /// Path of the field.
        field: String,
    },
    /// The patch does not fit the document.
    PatchFailed {
        /// The library's message.
        message: String,
    },
    /// The text is not a document.
    Syntax {
        /// The library's message, with line and column where known.
        message: String,
    },
    /// A trial team may use a class that is too urgent.
    TrialClassTooUrgent {
        /// The class.
        class: ClassId,
        /// The team.
        team: TeamId,
    },
    /// A team names a class that is not defined.
    UnknownClass {
        /// The class.
        class: ClassId,
        /// The team.
        team: TeamId,
    },
    /// A replica names a service that is not defined.
    UnknownService {
        /// The service.
        service: ServiceId,
        /// The replica.
        upstream: UpstreamId,
    },
}

impl Display for ConfigError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateAddress {
                address,
                first,
                second,
            } => write!(
                f,
                "upstreams {first} and {second} both have address {address}"
            ),
            Self::DefaultClassNotAllowed { team } => {
                write!(f, "default class of team {team} is not among its classes")
            }
            Self::DuplicateKey { first, second } => {
                write!(f, "teams {first} and {second} have the same key")
            }
            Self::NewerFormat { format } => write!(
                f,
                "document has format {format}, this release reads up to {}",
                1
            ),
            Self::OutOfRange { expected, field } => {
                write!(f, "{field} is out of range, expected {expected}")
            }
            Self::PatchFailed { message } => write!(f, "patch does not apply: {message}"),
            Self::Syntax { message } => write!(f, "document cannot be read: {message}"),
            Self::TrialClassTooUrgent { class, team } => write!(
                f,
                "trial team {team} may not use class {class}, its tier is too urgent"
            ),
            Self::UnknownClass { class, team } => {
                write!(f, "team {team} names class {class}, which is not defined")
            }
            Self::UnknownService { service, upstream } => write!(
                f,
                "upstream {upstream} names service {service}, which is not defined"
            ),
        }
    }
}

impl std::error::Error for ConfigError {}

use super::*;

/// Why a configuration document or patch cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigError {
    /// A name has characters that this document's names may not have, or is too long.
    BadName {
        /// What is wrong with the name.
        error: ParseIdError,
    },
    /// Two upstreams have the same address.
    DuplicateAddress {
        /// The shared address.
        address: SocketAddr,
        /// The first upstream.
        first: UpstreamId,
        /// The second upstream.
        second: UpstreamId,
    },
    /// A team's default class is not among the classes that the team may use.
    DefaultClassNotAllowed {
        /// The team.
        team: TeamId,
    },
    /// The same bearer key occurs twice.
    DuplicateKey {
        /// The first team.
        first: TeamId,
        /// The second team; equal to `first` if one team lists the key twice.
        second: TeamId,
    },
    /// The document has a newer format than this release can read.
    NewerFormat {
        /// Format of the document.
        format: u64,
    },
    /// A number is out of range.
    OutOfRange {
        /// Description of the allowed values.
        expected: String,
        /// Path of the field.
        field: String,
    },
    /// The patch can't be applied to the document.
    PatchFailed {
        /// Message of the JSON Patch library.
        message: String,
    },
    /// The text can't be parsed as a document.
    Syntax {
        /// The parser's message, with line and column if known.
        message: String,
    },
    /// A trial team lists a class that is too urgent for trial traffic.
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
            Self::BadName { error } => Display::fmt(error, f),
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

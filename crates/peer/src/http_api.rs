//! What hosts of an installation ask each other over HTTP: paths and headers.

/// Path of the configuration; the version that the asking host has is appended.
pub const DOCUMENT_PATH: &str = "/document/newer-than/";

/// Path of the tables that few hosts read for all; a `TablesRequest` is appended.
pub const TABLES_PATH: &str = "/tables/changed-after/";

/// Path of a copy of the tables, however old; the same question is appended.
pub const TABLES_COPY_PATH: &str = "/tables/copied-after/";

/// Path of a connection to an upstream, which the header [`UPSTREAM_HEADER`] names.
pub const TRANSIT_PATH: &str = "/transit";

/// Protocol to which a connection is switched that is passed on to an upstream.
pub const TRANSIT_PROTOCOL: &str = "rhubarbcove-transit";

/// Id of the upstream to which a connection is wanted.
pub const UPSTREAM_HEADER: &str = "rhubarbcove-upstream";

/// Where the asking host serves other hosts, so that they can be referred to it.
pub const LISTEN_ADDRESS_HEADER: &str = "rhubarbcove-listens";

/// Hosts that can pass a large answer on, separated by commas, of a host that is busy with
/// sending it.
pub const REFERRAL_HEADER: &str = "rhubarbcove-referred";

/// Milliseconds since the sender's configuration was known to be the newest one.
pub const CONFIGURATION_AGE_HEADER: &str = "rhubarbcove-age-ms";

/// Present if the sender has lost the installation's store.
pub const STORE_LOST_HEADER: &str = "rhubarbcove-store-lost";

/// Milliseconds since the sender found the installation's store again, for the first
/// seconds after that: entries that are missing from the upstreams' table may only have
/// lapsed.
pub const STORE_REGAINED_HEADER: &str = "rhubarbcove-store-regained-ms";

/// Revision of the installation's store at which the configuration was written.
pub const REVISION_HEADER: &str = "rhubarbcove-revision";

/// Version of the sender's configuration.
pub const VERSION_HEADER: &str = "rhubarbcove-version";

/// The value of the header `authorization` by which hosts of one secret know each other.
pub fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}

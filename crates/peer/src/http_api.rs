//! Paths and headers of the HTTP requests between the hosts of an installation.

/// Path of the configuration. The version that the requesting host has is appended.
pub const DOCUMENT_PATH: &str = "/document/newer-than/";

/// Path of the store's tables, which only a few hosts read from the store. A `TablesRequest` is
/// appended.
pub const TABLES_PATH: &str = "/tables/changed-after/";

/// Path of a copy of the tables of any age. A `TablesRequest` is appended.
pub const TABLES_COPY_PATH: &str = "/tables/copied-after/";

/// Path for opening a connection to an upstream through another host. The header
/// [`UPSTREAM_HEADER`] names the upstream.
pub const TRANSIT_PATH: &str = "/transit";

/// Protocol name in the HTTP upgrade to a connection that is relayed to an upstream.
pub const TRANSIT_PROTOCOL: &str = "rhubarbcove-transit";

/// Id of the upstream to which the requesting host wants a connection.
pub const UPSTREAM_HEADER: &str = "rhubarbcove-upstream";

/// Address at which the requesting host serves other hosts, so that they can be referred to it.
pub const LISTEN_ADDRESS_HEADER: &str = "rhubarbcove-listens";

/// Addresses of hosts, separated by commas, that can serve a large response instead of the sender,
/// which is busy sending it to others.
pub const REFERRAL_HEADER: &str = "rhubarbcove-referred";

/// Milliseconds since the sender's configuration was last known to be the newest.
pub const CONFIGURATION_AGE_HEADER: &str = "rhubarbcove-age-ms";

/// Era of the installation's store in which the revisions of a message were given out. Hosts of the
/// previous release neither send nor read it.
pub const STORE_ERA_HEADER: &str = "rhubarbcove-store-era";

/// Present if the sender has lost its connection to the installation's store.
pub const STORE_LOST_HEADER: &str = "rhubarbcove-store-lost";

/// Milliseconds since the sender reached the installation's store again. Sent only for the first
/// seconds after that, when entries that are missing from the upstream table may merely have
/// expired during the outage.
pub const STORE_REGAINED_HEADER: &str = "rhubarbcove-store-regained-ms";

/// Revision of the installation's store at which the configuration was written.
pub const REVISION_HEADER: &str = "rhubarbcove-revision";

/// Version of the sender's configuration.
pub const VERSION_HEADER: &str = "rhubarbcove-version";

/// Value of the `authorization` header with which hosts that share a secret authenticate each
/// other.
pub fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}

use super::*;

/// Settings of one host, read from a TOML file at start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Pause between the first failed readiness check and closing the listener, so that the load
    /// balancer stops sending requests before connections are refused.
    #[serde(default = "default_balancer_pause_ms")]
    pub balancer_pause_ms: u64,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Threads that serve callers.
    #[serde(default = "default_caller_threads")]
    pub caller_threads: usize,
    /// Failure domain of this host.
    pub failure_domain: FailureDomainId,
    /// Id of this host.
    pub host: HostId,
    /// Limits that protect this host from its callers.
    #[serde(default)]
    pub limits: Limits,
    /// Address that serves only the metrics, without authentication. If absent, the metrics are
    /// served at the operator address only.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address that operators connect to, for health checks, metrics and the configuration.
    pub operator_address: SocketAddr,
    /// Bearer token that operators present; at least 16 characters.
    pub operator_token: String,
    /// Address that other hosts connect to.
    pub peer_address: SocketAddr,
    /// Secret that hosts present to each other; at least 16 characters.
    pub peer_token: String,
    /// Address of the platform's table, object store and host list.
    pub platform_address: SocketAddr,
    /// Settings for relaying requests unchanged in an installation. If absent, the host serves its
    /// own API.
    #[serde(default)]
    pub relay: Option<RelaySettings>,
}

fn default_balancer_pause_ms() -> u64 {
    2_000
}

fn default_caller_threads() -> usize {
    1
}

/// Length of the shortest token that is accepted.
const MIN_TOKEN_LEN: usize = 16;

/// Maximum number of threads that serve callers.
const MAX_CALLER_THREADS: usize = 64;

impl Settings {
    /// Parses and validates settings.
    pub fn from_toml(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Syntax {
            message: error.to_string().trim_end().to_string(),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.check_addresses()?;
        self.check_tokens()?;
        if !(1..=MAX_CALLER_THREADS).contains(&self.caller_threads) {
            return Err(SettingsError::OutOfRange {
                expected: "1 to 64".to_string(),
                field: "caller_threads".to_string(),
            });
        }
        if let Some(relay) = &self.relay {
            relay.check()?;
        }
        self.check_limits()
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let mut addresses = vec![
            ("caller_address", self.caller_address),
            ("operator_address", self.operator_address),
            ("peer_address", self.peer_address),
            ("platform_address", self.platform_address),
        ];
        addresses.extend(
            self.metrics_address
                .map(|address| ("metrics_address", address)),
        );
        for (index, (first, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[index + 1..]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((second, _)) = duplicate {
                return Err(SettingsError::DuplicateAddress {
                    address: *address,
                    first: (*first).to_string(),
                    second: (*second).to_string(),
                });
            }
        }
        Ok(())
    }

    fn check_tokens(&self) -> Result<(), SettingsError> {
        let tokens = [
            ("operator_token", &self.operator_token),
            ("peer_token", &self.peer_token),
        ];
        match tokens.iter().find(|(_, token)| token.len() < MIN_TOKEN_LEN) {
            Some((field, _)) => Err(SettingsError::OutOfRange {
                expected: "at least 16 characters".to_string(),
                field: (*field).to_string(),
            }),
            None => Ok(()),
        }
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = &self.limits;
        let fields = [
            ("limits.body_timeout_ms", limits.body_timeout_ms),
            ("limits.head_timeout_ms", limits.head_timeout_ms),
            ("limits.max_body_bytes", limits.max_body_bytes.get()),
            ("limits.max_buffered_bytes", limits.max_buffered_bytes.get()),
            ("limits.max_connections", limits.max_connections as u64),
            ("limits.max_head_bytes", limits.max_head_bytes.get()),
            ("limits.max_queued", limits.max_queued as u64),
            ("limits.max_unread_bytes", limits.max_unread_bytes.get()),
            (
                "limits.max_unread_stream_bytes",
                limits.max_unread_stream_bytes.get(),
            ),
            (
                "limits.max_whole_answer_bytes",
                limits.max_whole_answer_bytes.get(),
            ),
            (
                "limits.slow_reader_timeout_ms",
                limits.slow_reader_timeout_ms,
            ),
            (
                "limits.upstream_idle_timeout_ms",
                limits.upstream_idle_timeout_ms,
            ),
        ];
        if limits.max_caller_connections() == 0 && limits.max_connections > 0 {
            return Err(SettingsError::OutOfRange {
                expected: "402 or more".to_string(),
                field: "limits.max_descriptors".to_string(),
            });
        }
        match fields.iter().find(|(_, value)| *value == 0) {
            Some((field, _)) => Err(SettingsError::OutOfRange {
                expected: "1 or more".to_string(),
                field: (*field).to_string(),
            }),
            None => Ok(()),
        }
    }
}

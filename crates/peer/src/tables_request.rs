use super::*;

/// Request for the store's tables, which a host sends to another host instead of reading the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TablesRequest {
    /// The division that the requesting host knows, and the level that it wants.
    pub coverage: Coverage,
    /// Era of the store in which both revisions were given out; `None` if the requesting host is of
    /// the previous release. The era is sent in a header, because hosts of that release reject a
    /// path with further parts.
    pub era: Option<StoreEra>,
    /// Revision up to which the requesting host knows the host table; 0 if it does not know the
    /// table.
    pub hosts_revision: u64,
    /// Revision up to which the requesting host knows the upstream table with this coverage; 0 if
    /// it does not know the table.
    pub upstreams_revision: u64,
}

impl Display for TablesRequest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Coverage { division, level } = self.coverage;
        write!(
            f,
            "{}/{}/{division}/{level}",
            self.upstreams_revision, self.hosts_revision
        )
    }
}

impl FromStr for TablesRequest {
    type Err = MessageError;

    fn from_str(text: &str) -> Result<Self, MessageError> {
        let parts: Vec<&str> = text.split('/').collect();
        let [upstreams, hosts, division, level] = parts[..] else {
            return Err(MessageError::InvalidTablesRequest);
        };
        Ok(Self {
            coverage: Coverage {
                division: parse_number(division)?,
                level: parse_number(level)?,
            },
            era: None,
            hosts_revision: parse_number(hosts)?,
            upstreams_revision: parse_number(upstreams)?,
        })
    }
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, MessageError> {
    text.parse().map_err(|_| MessageError::InvalidTablesRequest)
}

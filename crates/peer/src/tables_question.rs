use super::*;

/// What a host asks another one for in place of the installation's store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TablesQuestion {
    /// The division that it knows, and the level that it wants.
    pub coverage: Coverage,
    /// Revision up to which it knows the hosts' table; 0 for none.
    pub hosts: u64,
    /// Revision up to which it knows the upstreams' table with that coverage; 0 for none.
    pub upstreams: u64,
}

impl Display for TablesQuestion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Coverage { division, level } = self.coverage;
        write!(f, "{}/{}/{division}/{level}", self.upstreams, self.hosts)
    }
}

impl FromStr for TablesQuestion {
    type Err = MessageError;

    fn from_str(text: &str) -> Result<Self, MessageError> {
        let parts: Vec<&str> = text.split('/').collect();
        let [upstreams, hosts, division, level] = parts[..] else {
            return Err(MessageError::NotQuestion);
        };
        Ok(Self {
            coverage: Coverage {
                division: number(division)?,
                level: number(level)?,
            },
            hosts: number(hosts)?,
            upstreams: number(upstreams)?,
        })
    }
}

fn number<T: FromStr>(text: &str) -> Result<T, MessageError> {
    text.parse().map_err(|_| MessageError::NotQuestion)
}

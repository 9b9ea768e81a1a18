use super::*;

/// What a host tells another one of a table of the installation's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableUpdate {
    /// Revision up to which the table is known with these rows.
    pub revision: u64,
    /// Rows that changed; all rows if they are the whole table.
    pub rows: Vec<TableRow>,
    /// Whether these are all rows, so that any other one is gone.
    pub whole: bool,
}

/// Bytes from which news are compressed.
const MIN_COMPRESSED_BYTES: usize = 1_024;

/// Most bytes that news have when they are decompressed: 10,000 rows of 3 KB.
const MAX_DECOMPRESSED_BYTES: u64 = 32 * 1024 * 1024;

/// First byte of encoded news: how the rest is written.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// News of all tables that few hosts read for the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesResponse {
    /// Which upstreams are announced.
    pub coverage: Coverage,
    /// How upstreams are divided, beside all rows of the upstreams.
    pub divided: Vec<ServiceDivision>,
    /// The hosts of the installation.
    pub hosts: TableUpdate,
    /// Hosts of the whole installation; where there are many, a host learns those of its own
    /// failure domain. 0 if the sender has not read them.
    pub hosts_in_all: u32,
    /// The upstreams.
    pub upstreams: TableUpdate,
}

impl TablesResponse {
    /// Rows in all tables.
    pub const fn rows(&self) -> usize {
        self.hosts.rows.len() + self.upstreams.rows.len()
    }

    /// The news as hosts send them, compressed where that is worth it.
    pub fn to_bytes(&self) -> Result<Vec<u8>, MessageError> {
        let plain = postcard::to_allocvec(self).map_err(|_| MessageError::InvalidTablesResponse)?;
        if plain.len() < MIN_COMPRESSED_BYTES {
            return Ok([&[PLAIN], &plain[..]].concat());
        }
        let mut encoder = GzEncoder::new(vec![COMPRESSED], Compression::fast());
        encoder
            .write_all(&plain)
            .and_then(|()| encoder.finish())
            .map_err(|_| MessageError::InvalidTablesResponse)
    }

    /// Reads news of another host.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        let (kind, rest) = bytes
            .split_first()
            .ok_or(MessageError::InvalidTablesResponse)?;
        let mut decompressed = Vec::new();
        let plain = match *kind {
            PLAIN => rest,
            COMPRESSED => {
                let decoder = GzDecoder::new(rest);
                decoder
                    .take(MAX_DECOMPRESSED_BYTES)
                    .read_to_end(&mut decompressed)
                    .map_err(|_| MessageError::InvalidTablesResponse)?;
                &decompressed
            }
            _ => return Err(MessageError::InvalidTablesResponse),
        };
        postcard::from_bytes(plain).map_err(|_| MessageError::InvalidTablesResponse)
    }
}

use super::*;

/// Changes or the whole content of a table of the installation's store, as sent between hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableUpdate {
    /// Revision of the table once these rows are applied.
    pub revision: u64,
    /// Rows that changed, or all rows if `whole` is set.
    pub rows: Vec<TableRow>,
    /// Whether these are all rows of the table, so that any other row has been removed.
    pub whole: bool,
}

/// Minimum size from which responses are compressed.
const MIN_COMPRESSED_BYTES: usize = 1_024;

/// Maximum size of a decompressed response: 10,000 rows of 3 KB.
const MAX_DECOMPRESSED_BYTES: u64 = 32 * 1024 * 1024;

/// First byte of an encoded response, which names the encoding of the remaining bytes.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Answers a [`TablesRequest`] with the changes of all tables that only a few hosts read from the
/// store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesResponse {
    /// Which upstreams the response covers.
    pub coverage: Coverage,
    /// How the upstreams are divided. Sent with all rows of the upstream table.
    pub divided: Vec<ServiceDivision>,
    /// Update of the host table.
    pub hosts: TableUpdate,
    /// Number of hosts in the whole installation; 0 if the sender has not read the number. In a
    /// large installation, `hosts` contains only the receiver's failure domain.
    pub hosts_in_all: u32,
    /// Update of the upstream table.
    pub upstreams: TableUpdate,
}

impl TablesResponse {
    /// Number of rows in all tables.
    pub const fn rows(&self) -> usize {
        self.hosts.rows.len() + self.upstreams.rows.len()
    }

    /// Encodes the response, and compresses it if it is large enough.
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

    /// Decodes a response of another host.
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

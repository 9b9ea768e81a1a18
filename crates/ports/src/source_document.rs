use super::*;

/// Maximum size of a decompressed document. The router is designed for documents of 886 KB, which
/// is far less.
const MAX_DOCUMENT_BYTES: u64 = 64 * 1024 * 1024;

/// The configuration document as stored by the installation, compressed for other hosts.
///
/// Hosts send each other the original document rather than the parsed configuration, so that every
/// version is parsed, validated and applied in the same way, whatever its source.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SourceDocument {
    /// The document in gzip format. A document of 1.7 MB with 7,000 routes takes 0.13 MB.
    pub packed: Bytes,
    /// Position in the installation's store at which the document was written. Changes are
    /// requested from this position on.
    pub position: StorePosition,
    /// Version of the configuration.
    pub version: ConfigVersion,
}

impl SourceDocument {
    /// Compresses a document. The fastest level is used: the next levels save a fifth of the bytes
    /// but take twice the processor time, and small hosts have only 0.12 of a core.
    pub fn pack(
        document: &[u8],
        position: StorePosition,
        version: ConfigVersion,
    ) -> std::io::Result<Self> {
        let mut packer = GzEncoder::new(Vec::new(), Compression::fast());
        packer.write_all(document)?;
        Ok(Self {
            packed: packer.finish()?.into(),
            position,
            version,
        })
    }

    /// Decompresses the document.
    pub fn unpack(&self) -> std::io::Result<Vec<u8>> {
        let mut document = Vec::new();
        let unpacker = GzDecoder::new(&self.packed[..]);
        unpacker
            .take(MAX_DOCUMENT_BYTES)
            .read_to_end(&mut document)?;
        Ok(document)
    }
}

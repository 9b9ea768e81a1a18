use super::*;

/// Bytes of an answer that the caller has not read. They are released on drop, whichever task or
/// library drops them.
#[derive(Debug)]
pub(crate) struct UnreadPart {
    bytes: Bytes,
    reader: Arc<AnswerReader>,
}

impl UnreadPart {
    pub(crate) const fn new(bytes: Bytes, reader: Arc<AnswerReader>) -> Self {
        Self { bytes, reader }
    }

    pub(crate) fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Converts the part for the HTTP library, which drops the bytes once they are written.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for UnreadPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for UnreadPart {
    fn drop(&mut self) {
        self.reader.release(self.bytes.len() as u64);
    }
}

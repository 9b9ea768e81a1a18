//! Datagrams between hosts, with an authentication tag that only hosts with the same secret can
//! compute.

use super::*;

/// Length in bytes of the tag that authenticates the sender.
const TAG_LEN: usize = 16;

/// What a datagram holds. The kind is covered by the authentication tag, so that a datagram of one
/// kind is never decoded as another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Crash,
    Duty,
    Load,
    Stream,
    TokenRequest,
    TokenGrant,
    Upstream,
    Usage,
    Version,
}

impl Kind {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Crash => b"crash",
            Self::Duty => b"duty",
            Self::Load => b"",
            Self::Stream => b"stream",
            Self::TokenRequest => b"token ask",
            Self::TokenGrant => b"token grant",
            Self::Upstream => b"upstream",
            Self::Usage => b"usage",
            Self::Version => b"version",
        }
    }
}

pub(crate) fn encode<T: Serialize>(kind: Kind, token: &str, content: &T) -> Vec<u8> {
    let body = postcard::to_allocvec(content).expect("messages contain only serializable fields");
    let mut datagram = authentication_tag(kind, token, &body).to_vec();
    datagram.extend_from_slice(&body);
    datagram
}

/// Decodes a datagram. Fails unless the datagram has a valid authentication tag for `kind`.
pub(crate) fn decode<T: DeserializeOwned>(
    kind: Kind,
    token: &str,
    datagram: &[u8],
) -> Result<T, MessageError> {
    decode_prefix(kind, token, datagram).map(|(content, _)| content)
}

/// Decodes a datagram and also returns the bytes that follow the decoded content.
pub(crate) fn decode_prefix<'a, T: DeserializeOwned>(
    kind: Kind,
    token: &str,
    datagram: &'a [u8],
) -> Result<(T, &'a [u8]), MessageError> {
    let (found, body) = datagram
        .split_at_checked(TAG_LEN)
        .ok_or(MessageError::InvalidDatagram)?;
    if !bool::from(found.ct_eq(&authentication_tag(kind, token, body))) {
        return Err(MessageError::InvalidDatagram);
    }
    postcard::take_from_bytes(body).map_err(|_| MessageError::InvalidDatagram)
}

fn authentication_tag(kind: Kind, token: &str, body: &[u8]) -> [u8; TAG_LEN] {
    let mut hasher = Sha256::new();
    hasher.update(kind.label());
    hasher.update((token.len() as u64).to_be_bytes());
    hasher.update(token.as_bytes());
    hasher.update(body);
    let digest: [u8; 32] = hasher.finalize().into();
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&digest[..TAG_LEN]);
    tag
}

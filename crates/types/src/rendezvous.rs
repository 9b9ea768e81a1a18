use super::*;

/// Weight of a host for a key in rendezvous hashing. The host with the largest weight owns the key.
/// Every host computes the same weights, on any machine.
pub fn rendezvous_weight(key: &str, host: &HostId) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update((key.len() as u64).to_be_bytes());
    hasher.update(key.as_bytes());
    hasher.update(host.as_str().as_bytes());
    let digest: [u8; 32] = hasher.finalize().into();
    digest[..8]
        .iter()
        .fold(0, |weight, byte| weight << 8 | u64::from(*byte))
}

use super::*;

/// Parses a header as an integer. Returns `None` if the header is missing or not an integer.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

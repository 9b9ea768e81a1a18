use super::*;

/// A whole number in a header; `None` if it is missing or says something else.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

//! The decisions of a host in an installation, without a network.

#![allow(clippy::unwrap_used, missing_docs)]

mod decisions;
mod placement;
mod support;

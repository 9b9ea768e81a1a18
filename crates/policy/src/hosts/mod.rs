//! Cooperation between hosts: domain membership, shares of upstream slots, load gossip, and
//! fetching newer configurations from other hosts.

use super::*;

mod coordinator;
mod host_group;
mod load_notes;
mod member;
mod membership;
pub(crate) mod neighbors;
mod newer_configuration;
mod peering;
mod share;
mod shares;

pub use {host_group::own_group, neighbors::are_grouped};

pub(crate) use {
    coordinator::{Coordinator, GroupCapacity},
    member::Member,
    membership::Membership,
    neighbors::Neighbors,
    newer_configuration::NewerConfiguration,
    peering::Peering,
    share::Share,
    shares::Shares,
};

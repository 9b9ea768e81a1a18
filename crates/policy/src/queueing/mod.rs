//! Which requests are admitted, in which order they wait, and which one is sent next.

use super::*;

mod admission;
mod dispatch;
mod fair_queue;
mod lane;
mod length_estimate;
mod minimum_share;
mod overdraft;
mod queued_item;
mod rank;
mod rank_queue;
mod room_rules;
mod service_rate;
mod team_limits;
mod urgency;

pub use {overdraft::Overdraft, room_rules::RoomRules};

pub(crate) use {
    fair_queue::FairQueue,
    lane::Lane,
    length_estimate::LengthEstimate,
    minimum_share::MinimumShare,
    queued_item::QueuedItem,
    rank::{PRESSING_TIERS, Rank},
    rank_queue::RankQueue,
    service_rate::ServiceRate,
    team_limits::TeamLimits,
    urgency::Urgency,
};

//! Admission, queueing and dispatch: which requests are admitted, in which order they are queued,
//! and which one is sent next.

use super::*;

mod admission;
mod dispatch;
mod fair_queue;
mod length_estimate;
mod minimum_share;
mod queued_item;
mod rank;
mod rank_queue;
mod service_rate;
mod share_overrun;
mod slot_rules;
mod target_queues;
mod team_limits;
mod urgency;

pub use {share_overrun::ShareOverrun, slot_rules::SlotRules};

pub(crate) use {
    fair_queue::FairQueue,
    length_estimate::LengthEstimate,
    minimum_share::MinimumShare,
    queued_item::QueuedItem,
    rank::{Rank, URGENT_TIERS},
    rank_queue::RankQueue,
    service_rate::ServiceRate,
    target_queues::TargetQueues,
    team_limits::TeamLimits,
    urgency::Urgency,
};

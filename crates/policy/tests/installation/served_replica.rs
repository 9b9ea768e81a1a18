//! A replica of a service: so many requests run at a time, a few wait, the others are rejected.

use {
    policy::SendOrder,
    std::{collections::VecDeque, time::Duration},
    types::prelude::*,
};

/// Span in which rejections are counted.
const REJECTIONS_SPAN: Duration = Duration::from_secs(1);

/// Time for which a replica is down that fell over.
const DOWN: Duration = Duration::from_secs(4);

/// A request at a replica.
#[derive(Clone, Debug)]
pub struct Visit {
    pub host: usize,
    pub order: Box<SendOrder>,
    pub request: RequestId,
}

/// What becomes of a request that arrives.
pub enum Arrived {
    /// The replica has fallen over; these requests were there.
    Falls(Vec<Visit>),
    Rejected(Visit),
    Runs,
    Waits,
}

#[derive(Debug, Default)]
pub struct ServedReplica {
    /// Rejections a second that it bears, if it is brittle.
    pub brittle: Option<f64>,
    pub down_until: Time,
    pub falls: usize,
    pub max_waiting: usize,
    rejections: VecDeque<Time>,
    pub running: Vec<Visit>,
    pub slots: usize,
    waiting: VecDeque<Visit>,
}

impl ServedReplica {
    pub fn new(slots: usize, max_waiting: usize) -> Self {
        Self {
            max_waiting,
            slots,
            ..Self::default()
        }
    }

    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    pub fn arrive(&mut self, visit: Visit, now: Time) -> Arrived {
        if self.running.len() < self.slots {
            self.running.push(visit);
            return Arrived::Runs;
        }
        if self.waiting.len() < self.max_waiting {
            self.waiting.push_back(visit);
            return Arrived::Waits;
        }
        self.rejections.push_back(now);
        self.rejections
            .retain(|at| now.since(*at) < REJECTIONS_SPAN);
        let falls = self
            .brittle
            .is_some_and(|brittle| self.rejections.len() as f64 > brittle);
        if !falls {
            return Arrived::Rejected(visit);
        }
        self.falls += 1;
        self.down_until = now + DOWN;
        self.rejections.clear();
        let mut there = std::mem::take(&mut self.running);
        there.extend(std::mem::take(&mut self.waiting));
        there.push(visit);
        Arrived::Falls(there)
    }

    /// Ends a request that runs; gives the one that runs in its place.
    pub fn finish(&mut self, host: usize, attempt: AttemptId) -> Option<(Visit, Option<Visit>)> {
        let mut running = self.running.iter();
        let is_meant = |visit: &Visit| visit.host == host && visit.order.attempt == attempt;
        let place = running.position(is_meant)?;
        let ended = self.running.swap_remove(place);
        let next = self.waiting.pop_front();
        self.running.extend(next.clone());
        Some((ended, next))
    }
}

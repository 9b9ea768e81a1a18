//! A simulated replica of a service: it runs a fixed number of requests at a time, queues a few,
//! and rejects the others.

use {
    policy::SendOrder,
    std::{collections::VecDeque, time::Duration},
    types::prelude::*,
};

/// Window in which rejections are counted.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a replica is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(4);

/// A request that runs or waits at a replica.
#[derive(Clone, Debug)]
pub struct ReplicaRequest {
    pub host: usize,
    pub order: Box<SendOrder>,
    pub request: RequestId,
}

/// What a replica does with a request that arrives.
pub enum Admission {
    /// The replica has crashed; these requests were running or waiting there, or had just arrived.
    Crashed(Vec<ReplicaRequest>),
    Rejected(ReplicaRequest),
    Started,
    Queued,
}

#[derive(Debug, Default)]
pub struct ServedReplica {
    /// Rejections per second above which the replica crashes, if there is such a limit.
    pub rejection_limit_per_s: Option<f64>,
    pub down_until: Time,
    pub crashes: usize,
    pub max_waiting: usize,
    rejections: VecDeque<Time>,
    pub running: Vec<ReplicaRequest>,
    pub slots: usize,
    waiting: VecDeque<ReplicaRequest>,
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

    pub fn arrive(&mut self, request: ReplicaRequest, now: Time) -> Admission {
        if self.running.len() < self.slots {
            self.running.push(request);
            return Admission::Started;
        }
        if self.waiting.len() < self.max_waiting {
            self.waiting.push_back(request);
            return Admission::Queued;
        }
        self.rejections.push_back(now);
        self.rejections
            .retain(|at| now.since(*at) < REJECTION_WINDOW);
        let crashes = self
            .rejection_limit_per_s
            .is_some_and(|limit| self.rejections.len() as f64 > limit);
        if !crashes {
            return Admission::Rejected(request);
        }
        self.crashes += 1;
        self.down_until = now + DOWNTIME;
        self.rejections.clear();
        let mut interrupted = std::mem::take(&mut self.running);
        interrupted.extend(std::mem::take(&mut self.waiting));
        interrupted.push(request);
        Admission::Crashed(interrupted)
    }

    /// Ends a running request, and returns it with the queued request that starts in its place.
    pub fn finish(
        &mut self,
        host: usize,
        attempt: AttemptId,
    ) -> Option<(ReplicaRequest, Option<ReplicaRequest>)> {
        let mut running = self.running.iter();
        let is_same =
            |request: &ReplicaRequest| request.host == host && request.order.attempt == attempt;
        let place = running.position(is_same)?;
        let ended = self.running.swap_remove(place);
        let next = self.waiting.pop_front();
        self.running.extend(next.clone());
        Some((ended, next))
    }
}

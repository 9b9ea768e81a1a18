use super::*;

impl Controller {
    /// Handles the brittleness that an upstream reported in a response. Other upstreams of the same
    /// service are assumed to be alike until they report their own.
    pub(crate) fn on_brittleness_answered(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        answered: &AdvertisedLimit,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let rejection_limit = match answered {
            AdvertisedLimit::Absent => None,
            AdvertisedLimit::Invalid(_) => return,
            AdvertisedLimit::Valid(rejection_limit) => Some(*rejection_limit),
        };
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        if !state.brittleness.note_reported(rejection_limit, sent) {
            return;
        }
        actions.push(Action::NoteBrittleness(BrittlenessChange {
            rejection_limit,
            upstream: upstream.clone(),
        }));
        self.assume_for_same_service(upstream, rejection_limit);
        self.divide_brittle_slots(now);
    }

    /// Applies the reported brittleness to newly listed upstreams of the same services.
    pub(crate) fn update_assumed_brittleness(&mut self, now: Time) {
        let states = self.pool.states.iter();
        let brittle: Vec<(UpstreamId, Option<Rate>)> = states
            .filter(|state| state.brittleness.rejection_limit().is_some())
            .map(|state| (state.id.clone(), state.brittleness.rejection_limit()))
            .collect();
        for (upstream, rejection_limit) in brittle {
            self.assume_for_same_service(&upstream, rejection_limit);
        }
        self.divide_brittle_slots(now);
    }

    fn assume_for_same_service(&mut self, upstream: &UpstreamId, rejection_limit: Option<Rate>) {
        let targets = self.pool.targets_of(upstream);
        for state in &mut self.pool.states {
            let same_service = pool::targets_of(&state.definition);
            if same_service.iter().any(|target| targets.contains(target)) {
                state.brittleness.assume(rejection_limit);
            }
        }
    }

    /// Handles a rejection of a request of this host by an upstream that had no free slot.
    pub(crate) fn note_rejected(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        if state.brittleness.rejection_limit().is_none() {
            return;
        }
        state.brittleness.note_rejected(now);
        let to: Vec<SocketAddr> = self.neighbors.addresses(&self.options.host).collect();
        if !to.is_empty() {
            let note = UpstreamNote {
                host: self.options.host.clone(),
                leaving: Vec::new(),
                limits: Vec::new(),
                protocol: peer::PROTOCOL,
                rejected: vec![upstream.clone()],
            };
            actions.push(Action::SendUpstreamNote { note, to });
        }
    }

    /// Handles a rejection of another host's request by an upstream that had no free slot.
    pub(crate) fn note_peer_rejection(&mut self, now: Time, upstream: &UpstreamId) {
        if let Some(state) = self.pool.get_mut(upstream) {
            state.brittleness.note_rejected(now);
        }
    }
}

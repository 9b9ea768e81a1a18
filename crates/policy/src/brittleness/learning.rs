use super::*;

impl Controller {
    /// An upstream said in an answer whether it is brittle. Those of its service that have not
    /// answered are taken for the same.
    pub(crate) fn on_brittle_answered(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        answered: &AdvertisedLimit,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let rate = match answered {
            AdvertisedLimit::Absent => None,
            AdvertisedLimit::Invalid(_) => return,
            AdvertisedLimit::Valid(rate) => Some(*rate),
        };
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        if !state.brittleness.note_named(rate, sent) {
            return;
        }
        actions.push(Action::NoteBrittle(BrittleNoted {
            rejections: rate,
            upstream: upstream.clone(),
        }));
        self.assume_alike(upstream, rate);
        self.divide_brittle(now);
    }

    /// Takes upstreams that are newly listed for what others of their service say.
    pub(crate) fn follow_brittle(&mut self, now: Time) {
        let states = self.pool.states.iter();
        let brittle: Vec<(UpstreamId, Option<Rate>)> = states
            .filter(|state| state.brittleness.rate().is_some())
            .map(|state| (state.id.clone(), state.brittleness.rate()))
            .collect();
        for (upstream, rate) in brittle {
            self.assume_alike(&upstream, rate);
        }
        self.divide_brittle(now);
    }

    fn assume_alike(&mut self, upstream: &UpstreamId, rate: Option<Rate>) {
        let targets = self.pool.targets_of(upstream);
        for state in &mut self.pool.states {
            let alike = pool::targets_of(&state.definition);
            if alike.iter().any(|target| targets.contains(target)) {
                state.brittleness.assume(rate);
            }
        }
    }

    /// A request of this host was rejected for want of room.
    pub(crate) fn note_rejected(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        if state.brittleness.rate().is_none() {
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
            actions.push(Action::TellUpstreams { note, to });
        }
    }

    /// Another host's request was rejected for want of room.
    pub(crate) fn learn_rejected(&mut self, now: Time, upstream: &UpstreamId) {
        if let Some(state) = self.pool.get_mut(upstream) {
            state.brittleness.note_rejected(now);
        }
    }
}

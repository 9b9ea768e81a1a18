//! Detection of lost and restored paths to upstreams.

use super::*;

/// Time between two checks while this host receives nothing from any upstream.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of upstreams per target that are checked while no upstream responds.
const CHECKS_PER_TARGET: usize = 2;

impl Controller {
    /// Updates the known lost paths by the connection attempts to an upstream. A path counts as
    /// lost if the direct attempt failed while another host connected.
    pub(crate) fn on_paths_tried(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        tries: Vec<PathAttempt>,
        actions: &mut Vec<Action>,
    ) {
        self.transit_hosts.note_tries(&tries, now);
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        let targets = pool::targets_of(&state.definition);
        let was_open = self.own_paths.is_open(upstream, &targets);
        let direct = tries.iter().find(|tried| tried.path == Path::Direct);
        let is_reached = tries
            .iter()
            .any(|tried| tried.outcome == PathOutcome::Connected);
        match direct.map(|tried| tried.outcome) {
            Some(PathOutcome::Connected) => self.own_paths.note_direct(upstream, &targets, now),
            Some(_) if is_reached => {
                let targets = targets.iter().map(|target| {
                    let copies = self.pool.upstreams_of(target).count();
                    (target.clone(), copies)
                });
                let targets = targets.collect();
                self.own_paths.note_lost(upstream, targets, now);
            }
            Some(_) => self.own_paths.note_still_lost(upstream, now),
            None => {}
        }
        let is_open = self.own_paths.is_open(upstream, &targets);
        if is_open != was_open {
            actions.push(Action::NotePathChange(PathChange {
                cut_off: self.own_paths.cut_off().iter().cloned().collect(),
                is_open,
                lost: self.own_paths.lost().count(),
                tries,
                upstream: upstream.clone(),
            }));
        }
    }

    /// Records that a request goes through another host, if the connection was made that way.
    pub(crate) fn note_request_path(&mut self, request: Option<RequestId>, tries: &[PathAttempt]) {
        let is_through = tries.iter().any(|tried| {
            tried.outcome == PathOutcome::Connected && matches!(tried.path, Path::Through(_))
        });
        let request = request.and_then(|request| self.requests.get_mut(&request));
        if let Some(Stage::Running(request)) = request
            && is_through
        {
            request.stage.is_direct = false;
        }
    }

    /// Records that an upstream answered a request. Only a direct path counts.
    pub(crate) fn note_path_answered(&mut self, now: Time, upstream: &UpstreamId, is_direct: bool) {
        if !is_direct || self.own_paths.all_open() {
            return;
        }
        let targets = self.pool.targets_of(upstream);
        // An answer does not show that a lost path is restored: a connection that was established
        // before the loss may still work.
        if self.own_paths.is_open(upstream, &targets) {
            self.own_paths.note_direct(upstream, &targets, now);
        }
    }

    /// Whether the direct path that a request took to its upstream has since been found lost.
    pub(crate) fn is_path_lost(&self, request: &Running) -> bool {
        let targets = self.pool.targets_of(&request.upstream);
        request.is_direct && !self.own_paths.is_open(&request.upstream, &targets)
    }

    /// Checks whether lost paths are restored, and abandons attempts that are stalled on lost
    /// paths. If no upstream responds, also checks for further lost paths.
    pub(crate) fn tick_paths(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.transit_hosts.expire(now);
        if !self.own_paths.all_open() {
            let pool = &self.pool;
            self.own_paths
                .retain_known(|upstream| pool.get(upstream).is_some_and(|state| !state.removed));
        }
        if let Some(upstream) = self.own_paths.take_due_check(now)
            && let Some(state) = self.pool.get(&upstream)
        {
            actions.push(Action::CheckPath {
                address: state.definition.address(),
                paths: vec![Path::Direct],
                upstream,
            });
        }
        self.abandon_stalled(now, actions);
        if self.options.relay.is_some()
            && now >= self.next_silence_check
            && self
                .pool
                .silent_domains
                .are_all_silent(&self.pool.states, now)
        {
            self.next_silence_check = now + SILENCE_CHECK_INTERVAL;
            self.check_silent_upstreams(now, actions);
        }
    }

    /// Checks the paths to some upstreams that have requests in flight but do not respond.
    fn check_silent_upstreams(&self, now: Time, actions: &mut Vec<Action>) {
        for target in self.pool.targets.keys() {
            let busy = self.pool.upstreams_of(target).filter(|state| {
                state.in_flight > 0 && !state.removed && self.own_paths.is_open(&state.id, &[])
            });
            actions.extend(busy.take(CHECKS_PER_TARGET).map(|state| Action::CheckPath {
                address: state.definition.address(),
                paths: self.paths_to(now, state),
                upstream: state.id.clone(),
            }));
        }
    }
}

//! How a host learns that a path is lost or restored.

use super::*;

/// Time between two checks of a host that observes no upstream any more.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);

/// Upstreams of each target that such a host checks.
const SUSPECTED: usize = 2;

impl Controller {
    pub(crate) fn on_paths_tried(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        tries: Vec<PathTry>,
        actions: &mut Vec<Action>,
    ) {
        self.transit.note(&tries, now);
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        let targets = pool::targets_of(&state.definition);
        let was_open = self.own_paths.is_open(upstream, &targets);
        let direct = tries.iter().find(|tried| tried.path == Path::Direct);
        let is_reached = tries.iter().any(|tried| tried.end == PathEnd::Connected);
        match direct.map(|tried| tried.end) {
            Some(PathEnd::Connected) => self.own_paths.note_direct(upstream, &targets, now),
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
            actions.push(Action::NoteReach(ReachNoted {
                cut_off: self.own_paths.cut_off().iter().cloned().collect(),
                is_open,
                lost: self.own_paths.lost().count(),
                tries,
                upstream: upstream.clone(),
            }));
        }
    }

    /// Notes that a request goes through another host.
    pub(crate) fn note_path_of(&mut self, request: Option<RequestId>, tries: &[PathTry]) {
        let is_through = tries
            .iter()
            .any(|tried| tried.end == PathEnd::Connected && matches!(tried.path, Path::Through(_)));
        let request = request.and_then(|request| self.requests.get_mut(&request));
        if let Some(Stage::Running(request)) = request
            && is_through
        {
            request.stage.is_direct = false;
        }
    }

    /// Notes that an upstream answered a request that was sent over a path of this host's own.
    pub(crate) fn note_path_answered(&mut self, now: Time, upstream: &UpstreamId, is_direct: bool) {
        if !is_direct || self.own_paths.is_whole() {
            return;
        }
        let targets = self.pool.targets_of(upstream);
        // A connection established before its path was lost may live on.
        if self.own_paths.is_open(upstream, &targets) {
            self.own_paths.note_direct(upstream, &targets, now);
        }
    }

    /// Whether the path that a request took to its upstream has been found lost since.
    pub(crate) fn is_path_lost(&self, request: &Running) -> bool {
        let targets = self.pool.targets_of(&request.upstream);
        request.is_direct && !self.own_paths.is_open(&request.upstream, &targets)
    }

    /// Checks whether lost paths are restored, and for lost ones where no upstream is observed.
    pub(crate) fn tick_reach(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.transit.forget(now);
        if !self.own_paths.is_whole() {
            let pool = &self.pool;
            self.own_paths
                .retain(|upstream| pool.get(upstream).is_some_and(|state| !state.removed));
        }
        if let Some(upstream) = self.own_paths.take_check(now)
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
            && now >= self.next_suspicion
            && self
                .pool
                .silent_domains
                .is_all_silent(&self.pool.states, now)
        {
            self.next_suspicion = now + SUSPICION_INTERVAL;
            self.check_suspected(now, actions);
        }
    }

    /// Checks the paths to some upstreams that should be observed and are not.
    fn check_suspected(&self, now: Time, actions: &mut Vec<Action>) {
        for target in self.pool.targets.keys() {
            let busy = self.pool.upstreams_of(target).filter(|state| {
                state.in_flight > 0 && !state.removed && self.own_paths.is_open(&state.id, &[])
            });
            actions.extend(busy.take(SUSPECTED).map(|state| Action::CheckPath {
                address: state.definition.address(),
                paths: self.paths_to(now, state),
                upstream: state.id.clone(),
            }));
        }
    }
}

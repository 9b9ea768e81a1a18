use super::*;

/// Retries allowed for each first attempt, where nothing else is set.
const RATIO: f64 = 0.1;

/// Retries allowed beyond the ratio in one window, where nothing else is set.
const EXTRA: u32 = 20;

/// Window, where nothing else is set.
const WINDOW: Duration = Duration::from_secs(10);

/// The retry budget of one target on this host: a part of its requests in a
/// sliding window, and a few more.
#[derive(Debug, Default)]
struct Window {
    firsts: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Window {
    fn forget(&mut self, now: Time, span: Duration) {
        for times in [&mut self.firsts, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) >= span) {
                times.pop_front();
            }
        }
    }
}

/// Budgets of retries by target.
///
/// What goes wrong without them: when an upstream fails, every request is sent
/// two or three times, and the retries overload the upstreams that are left.
/// One would notice attempts growing while finished requests fall. Each host
/// spends only by its own requests and its own part of the extra, so that the
/// sum over all hosts holds although none can hear the others.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    extra: u32,
    ratio: f64,
    targets: HashMap<Target, Window>,
    window: Duration,
}

impl RetryBudgets {
    pub(crate) fn new(rules: Option<&RelayRules>) -> Self {
        Self {
            extra: rules.map_or(EXTRA, |rules| rules.retry_extra),
            ratio: rules.map_or(RATIO, |rules| rules.retry_ratio),
            targets: HashMap::default(),
            window: rules.map_or(WINDOW, |rules| rules.retry_window),
        }
    }

    /// Follows changed figures; what was spent stays spent.
    pub(crate) fn follow(&mut self, rules: &RelayRules) {
        self.extra = rules.retry_extra;
        self.ratio = rules.retry_ratio;
        self.window = rules.retry_window;
    }

    /// Notes a request's first attempt.
    pub(crate) fn note_first_attempt(&mut self, target: &Target, now: Time) {
        self.current(target, now).firsts.push_back(now);
    }

    /// Takes one retry from the budget; false if none is left.
    pub(crate) fn take(&mut self, target: &Target, now: Time) -> bool {
        let (ratio, extra) = (self.ratio, self.extra);
        let window = self.current(target, now);
        let allowed = ratio * window.firsts.len() as f64 + f64::from(extra);
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }

    fn current(&mut self, target: &Target, now: Time) -> &mut Window {
        let span = self.window;
        if !self.targets.contains_key(target) {
            self.targets.insert(target.clone(), Window::default());
        }
        let window = self.targets.get_mut(target).expect("it was just inserted");
        window.forget(now, span);
        window
    }
}

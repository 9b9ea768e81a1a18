use super::*;

/// Retries allowed for each first attempt, where nothing else is set.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Retries allowed beyond the ratio in one window, where nothing else is set.
const DEFAULT_EXTRA_RETRIES: u32 = 20;

/// Parts into which the extra retries of an installation are divided, for each
/// host that is listed: a host that is killed and starts again does not know what
/// it has spent, and hosts may start that are not listed yet.
const EXTRA_PARTS_PER_HOST: u32 = 2;

/// Retries beyond the ratio that a host must be able to make in a window at least, where there
/// is about one for each host: with less than one, requests that fail are never repeated on
/// most hosts, although the installation's budget is hardly used.
const MIN_EXTRA_RETRIES: f64 = 1.0;

/// Window, where nothing else is set.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

/// Spans in which the ratio holds, as parts of the window.
///
/// What goes wrong with the whole window alone: a burst ends while upstreams refuse much.
/// Each host's window ends with its last retry and still holds the burst; a later one no
/// longer does, and holds all the retries. One would notice more retries in 10 s than the
/// installation allows. In half of it the ratio follows the load.
const WINDOW_FRACTIONS: [f64; 2] = [1.0, 0.5];

/// Part of a budget that the least urgent of a target's requests leave to the others; those
/// between them leave less.
///
/// What goes wrong without it: full engines refuse, long prompts of the least urgent class
/// spend all retries, and a more urgent request is refused with the first engine that it
/// meets: where hosts are many, each has a few retries only.
const URGENT_RESERVE: f64 = 0.5;

/// The retry budget of one target on this host: a part of its requests in a
/// sliding window, and a few more.
#[derive(Debug, Default)]
struct RetryWindow {
    first_attempts: VecDeque<Time>,
    /// Priorities of all requests that ever came, 0 the most urgent.
    priorities: BTreeSet<u8>,
    retries: VecDeque<Time>,
}

impl RetryWindow {
    /// Part of the budget that requests of a priority may spend.
    fn share(&self, priority: u8) -> f64 {
        let more_urgent = self.priorities.range(..priority).count();
        let others = self.priorities.len().saturating_sub(1).max(1);
        1.0 - URGENT_RESERVE * more_urgent as f64 / others as f64
    }

    /// First attempts and retries of the last time.
    fn counts_within(&self, now: Time, span: Duration) -> (usize, usize) {
        let is_old = |time: &Time| now.since(*time) >= span;
        // Times are in order.
        let recent = |times: &VecDeque<Time>| times.len() - times.partition_point(is_old);
        (recent(&self.first_attempts), recent(&self.retries))
    }

    fn drop_older_than(&mut self, now: Time, span: Duration) {
        for times in [&mut self.first_attempts, &mut self.retries] {
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
/// sum over all hosts holds although none can observe the others.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    extra: f64,
    /// The same once no incarnation of this host can have spent any in the same window.
    extra_sole_incarnation: f64,
    /// Extra retries of all hosts of an installation.
    total_extra: Option<u32>,
    /// Hosts of the installation.
    host_count: u32,
    /// Whether this is the first incarnation of this host.
    is_first: bool,
    ratio: f64,
    /// When this host learned first how many hosts there are.
    started: Option<Time>,
    targets: HashMap<Target, RetryWindow>,
    window: Duration,
}

impl RetryBudgets {
    pub(crate) fn new(rules: Option<&RelayRules>) -> Self {
        let extra = if rules.is_some() {
            0.0
        } else {
            f64::from(DEFAULT_EXTRA_RETRIES)
        };
        Self {
            extra,
            extra_sole_incarnation: extra,
            total_extra: rules.map(|rules| rules.retry_extra),
            host_count: 0,
            is_first: rules.is_some_and(|rules| rules.first_start),
            ratio: rules.map_or(DEFAULT_RETRY_RATIO, |rules| rules.retry_ratio),
            started: None,
            targets: HashMap::default(),
            window: rules.map_or(DEFAULT_WINDOW, |rules| rules.retry_window),
        }
    }

    /// Follows changed figures; what was spent stays spent.
    pub(crate) fn update_rules(&mut self, rules: &RelayRules) {
        self.total_extra = Some(rules.retry_extra);
        self.ratio = rules.retry_ratio;
        self.window = rules.retry_window;
        self.divide_extra();
    }

    /// Takes the number of hosts that are listed. It never falls: one that is no
    /// longer listed may still run.
    ///
    /// The extra retries are divided by it, and not by the hosts that are observed:
    /// where hosts cannot observe each other, each would take more, and the sum would
    /// exceed the installation's budget when it matters most.
    pub(crate) fn update_host_count(&mut self, now: Time, hosts: usize) {
        self.started.get_or_insert(now);
        self.host_count = self.host_count.max(hosts as u32);
        self.divide_extra();
    }

    /// The hosts that the extra retries are divided among.
    pub(crate) const fn host_count(&self) -> u32 {
        self.host_count
    }

    fn divide_extra(&mut self) {
        if let (Some(extra), 1..) = (self.total_extra, self.host_count) {
            let host_extra = f64::from(extra) / f64::from(self.host_count);
            self.extra = host_extra / f64::from(EXTRA_PARTS_PER_HOST);
            self.extra_sole_incarnation = host_extra.min(MIN_EXTRA_RETRIES).max(self.extra);
        }
    }

    /// Notes a request's first attempt.
    pub(crate) fn record_first_attempt(&mut self, target: &Target, priority: u8, now: Time) {
        let window = self.current_window(target, now);
        window.first_attempts.push_back(now);
        window.priorities.insert(priority);
    }

    /// Takes one retry from the budget, for a request of a priority; false if none is left
    /// for it.
    pub(crate) fn take_retry(&mut self, target: &Target, priority: u8, now: Time) -> bool {
        if self.remaining_in(self.targets.get(target), priority, now) < 1.0 {
            return false;
        }
        self.current_window(target, now).retries.push_back(now);
        true
    }

    /// Retries that a window leaves now to requests of a priority.
    fn remaining_in(&self, window: Option<&RetryWindow>, priority: u8, now: Time) -> f64 {
        let share = window.map_or(1.0, |window| window.share(priority));
        let extra = self.extra_at(now);
        let spans = WINDOW_FRACTIONS.map(|part| self.window.mul_f64(part));
        let remaining = spans.map(|span| {
            let (first_attempts, retries) =
                window.map_or((0, 0), |window| window.counts_within(now, span));
            let all = self.ratio * first_attempts as f64 + extra;
            (share * all).max(all.min(MIN_EXTRA_RETRIES)) - retries as f64
        });
        remaining.into_iter().fold(f64::INFINITY, f64::min)
    }

    /// Retries beyond the ratio that this host may make in a window. One that has started again
    /// does not know what it spent before.
    fn extra_at(&self, now: Time) -> f64 {
        let has_window_passed = |started: Time| now.since(started) >= self.window;
        if self.is_first || self.started.is_some_and(has_window_passed) {
            self.extra_sole_incarnation
        } else {
            self.extra
        }
    }

    /// Retries that may be made now, for each target that was asked for.
    pub(crate) fn remaining(&self, now: Time) -> impl Iterator<Item = (&Target, f64)> {
        let targets = self.targets.iter();
        targets
            .map(move |(target, window)| (target, self.remaining_in(Some(window), 0, now).max(0.0)))
    }

    fn current_window(&mut self, target: &Target, now: Time) -> &mut RetryWindow {
        let span = self.window;
        if !self.targets.contains_key(target) {
            self.targets.insert(target.clone(), RetryWindow::default());
        }
        let window = self.targets.get_mut(target).expect("it was just inserted");
        window.drop_older_than(now, span);
        window
    }
}

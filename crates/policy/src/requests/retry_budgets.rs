use super::*;

/// Retries allowed for each first attempt if no relay rules are set.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Retries allowed beyond the ratio in one window if no relay rules are set.
const DEFAULT_EXTRA_RETRIES: u32 = 20;

/// Number of parts for each listed host into which the extra retries of an installation are
/// divided. Each host uses one part; the others are reserved, because a host that was killed and
/// restarted does not know how many retries it has used, and because hosts may be running that are
/// not listed yet.
const EXTRA_PARTS_PER_HOST: u32 = 2;

/// Extra retries that a host should have in a window at least, if the installation allows about
/// one for each host. With less than one, most hosts never retry a failed request, although the
/// budget of the installation is hardly used.
const MIN_EXTRA_RETRIES: f64 = 1.0;

/// Length of the sliding window if no relay rules are set.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);

/// Time spans in which the retry ratio must hold, as fractions of the window.
///
/// The whole window alone is not enough. When a burst of requests ends while the upstreams reject
/// many of them, the window that precedes a retry still contains the first attempts of the burst
/// and allows the retry. A window that starts a little later contains all those retries but not
/// the burst, so the installation makes more retries in 10 s than its limit allows. The shorter
/// span makes the ratio follow the load.
const WINDOW_FRACTIONS: [f64; 2] = [1.0, 0.5];

/// Fraction of a budget that the least urgent requests of a target leave to more urgent ones.
/// Requests of a priority in between leave a smaller fraction.
///
/// Without this reserve, long prompts of the least urgent class use up all retries while the
/// engines are full and reject requests. More urgent requests are then refused after a single
/// rejection, because each of many hosts has only a few retries.
const URGENT_RESERVE: f64 = 0.5;

/// First attempts and retries of one target on this host in a sliding window.
#[derive(Debug, Default)]
struct RetryWindow {
    first_attempts: VecDeque<Time>,
    /// Priorities of all first attempts since the start of this host; 0 is the most urgent.
    priorities: BTreeSet<u8>,
    retries: VecDeque<Time>,
}

impl RetryWindow {
    /// Fraction of the budget that requests of a priority may use.
    fn share(&self, priority: u8) -> f64 {
        let more_urgent = self.priorities.range(..priority).count();
        let others = self.priorities.len().saturating_sub(1).max(1);
        1.0 - URGENT_RESERVE * more_urgent as f64 / others as f64
    }

    /// Numbers of first attempts and of retries in the last `span`.
    fn counts_within(&self, now: Time, span: Duration) -> (usize, usize) {
        let is_old = |time: &Time| now.since(*time) >= span;
        // The times are in ascending order.
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

/// Retry budgets of all targets on this host. A budget allows a ratio of the first attempts in a
/// sliding window, and some extra retries.
///
/// Without budgets, every request is sent two or three times when an upstream fails, and the
/// retries overload the remaining upstreams: the number of attempts rises while the number of
/// completed requests falls. Each host limits its retries by its own requests and its own part of
/// the extra retries, so the sum over all hosts stays within the budget of the installation even
/// if the hosts cannot observe each other.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    /// Extra retries of this host in a window in which an earlier incarnation of the host may have
    /// made retries.
    extra: f64,
    /// Extra retries of this host in a window in which no earlier incarnation of the host can have
    /// made retries.
    extra_sole_incarnation: f64,
    /// Extra retries of all hosts of the installation together; `None` if no relay
    /// rules are set.
    total_extra: Option<u32>,
    /// Number of hosts of the installation; 0 until it is known.
    host_count: u32,
    /// Whether the installation starts for the first time, so that this host had no earlier
    /// incarnation.
    is_first: bool,
    ratio: f64,
    /// When this host first learned the number of hosts.
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

    /// Applies changed rules. Retries that were made under the old rules still count.
    pub(crate) fn update_rules(&mut self, rules: &RelayRules) {
        self.total_extra = Some(rules.retry_extra);
        self.ratio = rules.retry_ratio;
        self.window = rules.retry_window;
        self.divide_extra();
    }

    /// Updates the number of listed hosts. The number never decreases, because a host that is no
    /// longer listed may still be running.
    ///
    /// The extra retries are divided by the number of listed hosts, not of observed hosts. During a
    /// network partition each host observes fewer hosts and would use a larger part, so the sum
    /// would exceed the budget of the installation just when retries are most frequent.
    pub(crate) fn update_host_count(&mut self, now: Time, hosts: usize) {
        self.started.get_or_insert(now);
        self.host_count = self.host_count.max(hosts as u32);
        self.divide_extra();
    }

    /// Number of hosts among which the extra retries are divided.
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

    /// Records the first attempt of a request.
    pub(crate) fn record_first_attempt(&mut self, target: &Target, priority: u8, now: Time) {
        let window = self.current_window(target, now);
        window.first_attempts.push_back(now);
        window.priorities.insert(priority);
    }

    /// Takes one retry from the budget of a target for a request of a priority. Returns false if
    /// the budget is used up.
    pub(crate) fn take_retry(&mut self, target: &Target, priority: u8, now: Time) -> bool {
        if self.remaining_in(self.targets.get(target), priority, now) < 1.0 {
            return false;
        }
        self.current_window(target, now).retries.push_back(now);
        true
    }

    /// Number of retries that the budget of a target currently allows to requests of a priority.
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

    /// Number of extra retries that this host may make in a window. For the first window after a
    /// restart the number is lower, because the host does not know how many retries it made before.
    fn extra_at(&self, now: Time) -> f64 {
        let has_window_passed = |started: Time| now.since(started) >= self.window;
        if self.is_first || self.started.is_some_and(has_window_passed) {
            self.extra_sole_incarnation
        } else {
            self.extra
        }
    }

    /// Number of retries that the budget of each target currently allows to the most urgent
    /// requests.
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

use {super::*, std::sync::atomic::AtomicUsize};

/// A drain that counts log lines.
struct LineCounter(Arc<AtomicUsize>);

impl Drain for LineCounter {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, _: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Guards against a log of which nine in ten lines are about observed hosts. In a fleet of 195
/// hosts each host is observed only occasionally and counts as not observed between two notes. With
/// one line per change, the number of lines grows with the square of the number of hosts.
#[test]
fn the_rate_of_observed_host_lines_does_not_grow_with_the_host_count() {
    for hosts in [7, 195] {
        let lines = Arc::new(AtomicUsize::new(0));
        let mut log = DecisionLog::new(Logger::root(LineCounter(Arc::clone(&lines)), o!()));
        for change in 0..1_200 {
            let now = Time::from_ms(50 * change);
            let observed = (0..hosts).filter(|host| (host + change) % 11 == 0);
            let observed: Vec<HostId> = observed
                .map(|host| format!("host-{host}").parse().expect("a name"))
                .collect();
            log.log_observed_changes(now, &observed);
        }
        let count = lines.load(Ordering::Relaxed);
        assert!(
            (6..=12).contains(&count),
            "{count} lines of {hosts} hosts in a minute"
        );
    }
}

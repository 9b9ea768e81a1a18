use super::*;

/// Fraction of the stop that a request is assumed to take if none of its class has ended.
const UNKNOWN_DURATION_SHARE: f64 = 0.5;

/// The graceful stop of this host, and what is needed to tell which requests can end before it.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    durations: BTreeMap<Target, BTreeMap<ClassId, UsualDuration>>,
    /// Begin and end of the stop; `None` if it has not begun or has no end.
    span: Option<(Time, Time)>,
}

impl Drain {
    pub(crate) fn start(&mut self, now: Time, end: Option<Time>) {
        self.span = end.map(|end| (now, end));
    }

    pub(crate) fn note_duration(&mut self, target: &Target, class: &ClassId, duration: Duration) {
        let classes = self.durations.entry(target.clone()).or_default();
        classes.entry(class.clone()).or_default().note(duration);
    }

    /// Drops the durations of classes that the configuration no longer has.
    pub(crate) fn retain(&mut self, document: &Document) {
        self.durations.retain(|_, classes| {
            classes.retain(|class, _| document.classes.contains_key(class));
            !classes.is_empty()
        });
    }

    /// Whether the host stops at a known time.
    pub(crate) const fn is_limited(&self) -> bool {
        self.span.is_some()
    }

    /// Whether the time for requests is over.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        self.span.is_some_and(|(_, end)| now >= end)
    }

    /// Whether a request that is sent now is expected to end before the host stops. It ends at its
    /// deadline at the latest.
    pub(crate) fn can_end(&self, now: Time, facts: &RequestFacts) -> bool {
        let Some((began, end)) = self.span else {
            return true;
        };
        let classes = self.durations.get(&facts.target);
        let usual = classes.and_then(|classes| classes.get(&facts.class)?.get());
        let expected = usual.unwrap_or_else(|| end.since(began).mul_f64(UNKNOWN_DURATION_SHARE));
        expected.min(facts.deadline.since(now)) < end.since(now)
    }
}

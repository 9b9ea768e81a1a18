//! Handling of load notes received from other hosts.

use super::*;

/// How much older the sender's confirmation of its configuration must be than this host's for this
/// host to send its next note immediately.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(200);

impl Controller {
    pub(crate) fn on_load_note(
        &mut self,
        now: Time,
        from: SocketAddr,
        note: LoadNote,
        actions: &mut Vec<Action>,
    ) {
        if note.host == self.options.host {
            return;
        }
        self.update_confirmed(&note);
        self.expedite_next_note(now, &note);
        self.apply_leaving_notices(now, &note, actions);
        self.record_prompt_reads(&note);
        self.pool.note_speed_votes(&note.host, &note.speeds, now);
        if let Some(version) = note.version {
            self.on_version_advertised(now, from, version, actions);
        }
        if self
            .neighbors
            .record_note(now, &self.options.host, from, note)
        {
            self.apply_neighbor_loads(now);
        }
    }

    /// Updates the time at which the configuration in force here was last known to be the newest,
    /// if the sender has the same version, and this host knows of no newer one.
    ///
    /// The age that the sender reports is counted back from the time at which this host sent the
    /// note that the sender echoes. A note that was delayed in the network, or waited while this
    /// host was frozen, therefore never makes the configuration look more recently confirmed than
    /// it is.
    fn update_confirmed(&mut self, note: &LoadNote) {
        let own_echo = note
            .echo
            .filter(|echo| echo.incarnation == self.options.incarnation);
        let same_version = note.version.is_some() && note.version == self.version();
        let is_evidence = same_version && !self.is_behind();
        let (Some(echo), Some(age_ms), true) = (own_echo, note.confirmed_age_ms, is_evidence)
        else {
            return;
        };
        let age = Duration::from_millis(u64::from(age_ms));
        let as_of = Time::from_us(echo.sent_us) - age;
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Makes the next note due immediately if the sender's configuration was confirmed much longer
    /// ago than this host's.
    ///
    /// An idle host that the store refuses to serve receives the notes of other hosts only once a
    /// second. It counts their confirmations from the time of its own note that they echo, which is
    /// up to a second older. On top of the up to 3.6 s for which the other hosts' configuration has
    /// been unconfirmed, this would exceed the time for which API keys may be accepted without a
    /// confirmation, and the host would reject valid keys from time to time.
    fn expedite_next_note(&mut self, now: Time, note: &LoadNote) {
        let Some(own_age) = self.config_age(now) else {
            return;
        };
        let sender_age = note.confirmed_age_ms.map(u64::from);
        let sender_age = sender_age.map_or(Duration::MAX, Duration::from_millis);
        if own_age.saturating_add(MIN_AGE_DIFFERENCE) < sender_age {
            self.neighbors.next_idle_note = now;
        }
    }

    /// Marks the upstreams as leaving that the sender reports as leaving.
    fn apply_leaving_notices(&mut self, now: Time, note: &LoadNote, actions: &mut Vec<Action>) {
        for upstream in &note.leaving {
            let source = NoticeSource::Host(note.host.clone());
            self.note_leaving(now, upstream, source, actions);
        }
    }

    /// Records which prompt prefixes engines have cached for requests of the sender.
    ///
    /// Without this, only one host knows that a second engine has read a popular document. The
    /// other hosts keep sending requests for it to the first engine, where they wait, or have each
    /// a further engine read the document again.
    fn record_prompt_reads(&mut self, note: &LoadNote) {
        for read in &note.reads {
            if let Some(state) = self.pool.get_mut(&read.upstream) {
                state.cache.confirm_part(read.chain, read.tokens);
            }
        }
    }
}

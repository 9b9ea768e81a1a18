//! What a host learns from the notes of the others.

use super::*;

/// How much younger a host's knowledge must be to be sent at once to one that asks.
const WORTH_TELLING: Duration = Duration::from_millis(200);

impl Controller {
    pub(crate) fn on_note(
        &mut self,
        now: Time,
        from: SocketAddr,
        note: LoadNote,
        actions: &mut Vec<Action>,
    ) {
        if note.host == self.options.host {
            return;
        }
        self.learn_confirmed(&note);
        self.answer_soon(now, &note);
        self.learn_leaving(now, &note, actions);
        self.learn_reads(&note);
        self.pool.note_speed_votes(&note.host, &note.speeds, now);
        if let Some(version) = note.version {
            self.on_version_advertised(now, from, version, actions);
        }
        if self.neighbors.take(now, &self.options.host, from, note) {
            self.apply_neighbors(now);
        }
    }

    /// Learns from another host that the configuration in force here is still
    /// the newest. Its word counts from the moment at which this host sent the
    /// note that it answers, so that a note that was long under way, or waited
    /// while this host was frozen, makes nothing look newer than it is.
    fn learn_confirmed(&mut self, note: &LoadNote) {
        let own = note
            .echo
            .filter(|echo| echo.incarnation == self.options.incarnation);
        let same = note.version.is_some() && note.version == self.version();
        let (Some(echo), Some(age_ms), true) = (own, note.confirmed_age_ms, same) else {
            return;
        };
        let age = Duration::from_millis(u64::from(age_ms));
        let as_of = Time::from_us(echo.sent_us) - age;
        self.confirmed = self.confirmed.max(Some(as_of));
    }

    /// Lets the next note go out at once if the sender's knowledge is much older.
    ///
    /// What goes wrong otherwise: a host that the store turns away and that has
    /// little to do observes the others once a second, and counts their word from the
    /// note of its own that they answer, which is up to a second older. Together
    /// with the 3.6 s of the others' knowledge that is more than keys may be taken
    /// for, and it refuses them now and then.
    fn answer_soon(&mut self, now: Time, note: &LoadNote) {
        let Some(own) = self.config_age(now) else {
            return;
        };
        let theirs = note.confirmed_age_ms.map(u64::from);
        let theirs = theirs.map_or(Duration::MAX, Duration::from_millis);
        if own.saturating_add(WORTH_TELLING) < theirs {
            self.neighbors.next_idle = now;
        }
    }

    /// Believes another host that upstreams leave.
    fn learn_leaving(&mut self, now: Time, note: &LoadNote, actions: &mut Vec<Action>) {
        for upstream in &note.leaving {
            let source = NoticeSource::Host(note.host.clone());
            self.note_leaving(now, upstream, source, actions);
        }
    }

    /// Takes over what engines keep of other hosts' prompts.
    ///
    /// What goes wrong without it: a document that many ask for is read by a second
    /// engine, but only one host knows; the others stay with the first engine and
    /// wait, or have it read once more each.
    fn learn_reads(&mut self, note: &LoadNote) {
        for read in &note.reads {
            if let Some(state) = self.pool.get_mut(&read.upstream) {
                state.cache.confirm_part(read.chain, read.tokens);
            }
        }
    }
}

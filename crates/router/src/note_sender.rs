use super::*;

/// Sends notes to other hosts.
pub(crate) struct NoteSender {
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) token: String,
}

impl NoteSender {
    /// Sends what can be sent at once. A datagram that is lost, here or on its
    /// way, is made good by the next one, so failures are not looked at.
    pub(crate) fn send_load_notes(&self, notes: &[(SocketAddr, LoadNote)]) {
        for (address, note) in notes {
            self.send_to("load", &note.to_datagram(&self.token), *address);
        }
    }

    /// Tells hosts of a version that this one can hand over; lost ones learn it from others.
    pub(crate) fn send_version_note(&self, note: &VersionNote, to: &[SocketAddr]) {
        self.send_to_all("version", &note.to_datagram(&self.token), to);
    }

    /// Tells hosts which requests were on upstreams that ended.
    pub(crate) fn send_crash_note(&self, note: &CrashNote, to: &[SocketAddr]) {
        self.send_to_all("crashes", &note.to_datagram(&self.token), to);
    }

    /// Tells hosts that this one holds the duties; lost ones learn it with the next one.
    pub(crate) fn send_duty_note(&self, note: &DutyNote, to: &[SocketAddr]) {
        self.send_to_all("duty", &note.to_datagram(&self.token), to);
    }

    /// Tells the holder of the duties what began here.
    pub(crate) fn send_usage_note(&self, note: &UsageNote, to: SocketAddr) {
        self.send_to("usage", &note.to_datagram(&self.token), to);
    }

    /// Tells hosts what upstreams say of themselves.
    pub(crate) fn send_upstream_note(&self, note: &UpstreamNote, to: &[SocketAddr]) {
        self.send_to_all("upstreams", &note.to_datagram(&self.token), to);
    }

    /// Asks the keeper of an upstream's limit; a lost question is asked again.
    pub(crate) fn send_token_request(&self, request: &TokenRequest, to: SocketAddr) {
        self.send_to("ask", &request.to_datagram(&self.token), to);
    }

    /// Answers a host that asks for tokens; lost ones are not given again.
    pub(crate) fn send_token_grant(&self, grant: &TokenGrant, to: SocketAddr) {
        self.send_to("grant", &grant.to_datagram(&self.token), to);
    }

    fn send_to_all(&self, kind: &'static str, datagram: &[u8], to: &[SocketAddr]) {
        for address in to {
            self.send_to(kind, datagram, *address);
        }
    }

    fn send_to(&self, kind: &'static str, datagram: &[u8], to: SocketAddr) {
        counter!("rhubarbcove_datagrams_sent_total", "kind" => kind).increment(1);
        counter!("rhubarbcove_datagram_bytes_sent_total", "kind" => kind)
            .increment(datagram.len() as u64);
        let _ = self.socket.send_to(datagram, to);
    }
}

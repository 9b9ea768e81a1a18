use super::*;

/// Sends notes to other hosts as UDP datagrams.
pub(crate) struct NoteSender {
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) token: String,
}

impl NoteSender {
    /// Sends load notes without waiting. Send errors are ignored, as the next note replaces one
    /// that is lost on this host or on the network.
    pub(crate) fn send_load_notes(&self, notes: &[(SocketAddr, LoadNote)]) {
        for (address, note) in notes {
            self.send_to("load", &note.to_datagram(&self.token), *address);
        }
    }

    /// Announces a configuration version that this host can serve. A host that misses the note
    /// learns the version from other hosts.
    pub(crate) fn send_version_note(&self, note: &VersionNote, to: &[SocketAddr]) {
        self.send_to_all("version", &note.to_datagram(&self.token), to);
    }

    /// Reports the requests that were running on upstreams that crashed.
    pub(crate) fn send_crash_note(&self, note: &CrashNote, to: &[SocketAddr]) {
        self.send_to_all("crashes", &note.to_datagram(&self.token), to);
    }

    /// Announces that this host holds the lease for the duties that one host does for all. The
    /// next note replaces a lost one.
    pub(crate) fn send_duty_note(&self, note: &DutyNote, to: &[SocketAddr]) {
        self.send_to_all("duty", &note.to_datagram(&self.token), to);
    }

    /// Reports the usage counted on this host to the holder of the duties lease.
    pub(crate) fn send_usage_note(&self, note: &UsageNote, to: SocketAddr) {
        self.send_to("usage", &note.to_datagram(&self.token), to);
    }

    /// Passes on the notices that upstreams sent about themselves.
    pub(crate) fn send_upstream_note(&self, note: &UpstreamNote, to: &[SocketAddr]) {
        self.send_to_all("upstreams", &note.to_datagram(&self.token), to);
    }

    /// Sends a message about the software version of a stream. A lost report leaves the stream's
    /// other keeper, and a lost question is repeated.
    pub(crate) fn send_stream_note(&self, note: &StreamNote, to: &[SocketAddr]) {
        self.send_to_all("stream", &note.to_datagram(&self.token), to);
    }

    /// Requests tokens from the host that keeps an upstream's rate limit. A lost request is
    /// repeated.
    pub(crate) fn send_token_request(&self, request: &TokenRequest, to: SocketAddr) {
        self.send_to("ask", &request.to_datagram(&self.token), to);
    }

    /// Grants tokens to a host that requested them. The tokens of a lost grant are not granted
    /// again.
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

//! The thread that exchanges notes with the other hosts, as datagrams.

use super::*;

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Time between two looks at whether the host is to stop.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What the thread is given.
pub(crate) struct NoteThread {
    pub(crate) events: flume::Sender<RingEvent>,
    pub(crate) logger: Logger,
    pub(crate) shutdown: Shutdown,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) token: String,
    /// Where counts for the usage reports go.
    pub(crate) usage: flume::Sender<UsageNote>,
}

impl NoteThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        self.socket.set_nonblocking(false)?;
        self.socket.set_read_timeout(Some(SHUTDOWN_POLL_INTERVAL))?;
        std::thread::Builder::new()
            .name("notes".to_string())
            .spawn(move || {
                self.run();
                Ok(())
            })
            .wrap_err("cannot start the notes' thread")
    }

    fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.shutdown.is_started() {
            let Ok((len, from)) = self.socket.recv_from(&mut buffer) else {
                // Nothing came, or a host that was notified is not there.
                continue;
            };
            match parse_datagram(from, &buffer[..len], &self.token) {
                // A full ring drops either: the next one says all again.
                Ok(ReceivedNote::Usage(note)) => {
                    let _ = self.usage.try_send(note);
                }
                Ok(ReceivedNote::Event(event)) => {
                    let _ = self.events.try_send(RingEvent::Happened(event));
                }
                Err(error) => {
                    debug!(self.logger, "notes: dropped"; "error" => %error, "from" => %from);
                }
            }
        }
    }
}

/// What a datagram holds.
enum ReceivedNote {
    Event(Event),
    Usage(UsageNote),
}

fn parse_datagram(
    from: SocketAddr,
    datagram: &[u8],
    token: &str,
) -> Result<ReceivedNote, MessageError> {
    if let Ok(note) = LoadNote::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Event(Event::LoadNoteReceived { from, note }));
    }
    if let Ok(ask) = TokenRequest::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Event(Event::TokensRequested { ask, from }));
    }
    if let Ok(grant) = TokenGrant::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Event(Event::TokensGranted(grant)));
    }
    if let Ok(note) = UsageNote::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Usage(note));
    }
    if let Ok(note) = DutyNote::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Event(Event::DutyAdvertised { from, note }));
    }
    if let Ok(note) = CrashNote::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Event(Event::CrashesReceived(note)));
    }
    if let Ok(note) = UpstreamNote::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Event(Event::UpstreamNoticesReceived(note)));
    }
    let note = VersionNote::from_datagram(datagram, token)?;
    Ok(ReceivedNote::Event(Event::VersionAdvertised { from, note }))
}

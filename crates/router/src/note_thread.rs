//! The thread that receives notes of other hosts as UDP datagrams.

use super::*;

/// Size of the receive buffer; no UDP datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Time between two checks whether the host is stopping.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// State of the thread that receives notes.
pub(crate) struct NoteThread {
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) logger: Logger,
    pub(crate) shutdown: Shutdown,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) token: String,
    /// Receives the usage counts of other hosts for the usage reports.
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
            .wrap_err("cannot start the note thread")
    }

    fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.shutdown.is_started() {
            let Ok((len, from)) = self.socket.recv_from(&mut buffer) else {
                // The read timed out, or a host to which a note was sent is unreachable.
                continue;
            };
            match parse_datagram(from, &buffer[..len], &self.token) {
                // A full channel drops the note: the next one repeats its content.
                Ok(ReceivedNote::Usage(note)) => {
                    let _ = self.usage.try_send(note);
                }
                Ok(ReceivedNote::Event(event)) => {
                    let _ = self.events.try_send(ControllerMessage::Event(event));
                }
                Err(error) => {
                    debug!(self.logger, "notes: dropped"; "error" => %error, "from" => %from);
                }
            }
        }
    }
}

/// Content of a datagram.
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
    if let Ok(note) = StreamNote::from_datagram(datagram, token) {
        return Ok(ReceivedNote::Event(Event::StreamNoteReceived {
            from,
            note,
        }));
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

use super::*;

/// Longest time between two parts of an answer's body. At 10 Mbit/s, the thinnest links of
/// today's installations, 16 KB take 13 ms; a store that stalls for so long is silent.
const MAX_PART_PAUSE: Duration = Duration::from_millis(1_000);

/// Rate below which an answer is given up although bytes keep coming, so that a trickle
/// does not hold a caller for ever: 5 in 100 of a link of 10 Mbit/s.
const LEAST_BYTES_PER_S: u64 = 64_000;

/// Largest body that is read: many times the 886 KB of the largest configuration that is
/// designed for.
const MAX_BODY: u64 = 64 * 1024 * 1024;

/// An answer whose head has come, and whose body is still to be read.
///
/// The time for a body follows from what arrives, and not from a constant. What goes wrong
/// with a constant: a document that grew beyond what the link carries in that time is cut
/// off and asked for anew for ever, and each try uses the link up. One would notice readings
/// that end after the same time with most of their bytes there, and a version that some
/// hosts never get. With constants of 0.4 to 1 s, 265 readings of one day with a
/// document of 1.9 MB on links of 10 Mbit/s ended so, on 14 of 66 hosts; this way none did.
#[derive(Debug)]
pub struct PendingAnswer<'a> {
    body: Incoming,
    calls: &'a HttpCalls,
    head: Parts,
    received: u64,
    sender: SendRequest<Full<Bytes>>,
}

impl<'a> PendingAnswer<'a> {
    pub(crate) fn new(
        calls: &'a HttpCalls,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            body,
            calls,
            head,
            received: 0,
            sender,
        }
    }

    /// Length of the body, if the head tells it.
    pub fn announced(&self) -> Option<ByteSize> {
        self.body.size_hint().exact().map(ByteSize::new)
    }

    /// Reads the body, and keeps the connection for the next call.
    pub async fn whole(mut self) -> Result<(Parts, Bytes), PlatformError> {
        let began = Instant::now();
        let announced = self.announced();
        let mut bytes = BytesMut::new();
        while let Some(part) = self.next_part().await.map_err(|cause| {
            let announced = announced.map(|bytes| format!(" of {}", bytes.get()));
            let announced = announced.unwrap_or_default();
            lost(format!("{cause}, {}{announced} bytes came", self.received))
        })? {
            bytes.extend_from_slice(&part);
            self.check_rate(began)?;
        }
        self.calls.keep(self.sender);
        Ok((self.head, bytes.freeze()))
    }

    async fn next_part(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let frame = timeout(MAX_PART_PAUSE, self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| "it stalled".to_string())? else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| error.to_string())?;
            // Trailers are of no use here.
            if let Ok(data) = frame.into_data() {
                self.received += data.len() as u64;
                return Ok(Some(data));
            }
        }
    }

    /// A slow answer has the time for which it may stall as an advance.
    fn check_rate(&self, began: Instant) -> Result<(), PlatformError> {
        if self.received > MAX_BODY {
            return Err(lost(format!("over {MAX_BODY} bytes came")));
        }
        let earned =
            Duration::from_secs(1).mul_f64(self.received as f64 / LEAST_BYTES_PER_S as f64);
        if began.elapsed() > MAX_PART_PAUSE + earned {
            return Err(lost(format!("too slow, {} bytes came", self.received)));
        }
        Ok(())
    }
}

use super::*;

/// Longest pause between two chunks of a response body. A link of 10 Mbit/s, the slowest that is
/// expected, transfers 16 KB in 13 ms, so a pause of this length means that the sender has
/// stalled.
const MAX_CHUNK_PAUSE: Duration = Duration::from_millis(1_000);

/// Minimum average transfer rate of a response body, 5% of a link of 10 Mbit/s. Without a minimum
/// rate, a response that trickles in would block the caller forever.
const MIN_BYTES_PER_S: u64 = 64_000;

/// Largest body that is read, many times the 886 KB of the largest configuration that the design
/// supports.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// A response whose head has arrived and whose body is still unread.
///
/// The time limit for the body depends on the bytes that arrive. With a fixed limit, a document
/// that is too large for the link is cut off at every attempt: each retry saturates the link, reads
/// end after the same time with most of their bytes received, and some hosts never get the new
/// version. With fixed limits of 0.4 to 1 s, this happened to 265 reads in one day of a document of
/// 1.9 MB on links of 10 Mbit/s, on 14 of 66 hosts; with this limit, to none.
#[derive(Debug)]
pub struct PendingResponse<'a> {
    body: Incoming,
    client: &'a EndpointClient,
    head: Parts,
    received_bytes: u64,
    sender: SendRequest<Full<Bytes>>,
}

impl<'a> PendingResponse<'a> {
    pub(crate) fn new(
        client: &'a EndpointClient,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            body,
            client,
            head,
            received_bytes: 0,
            sender,
        }
    }

    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the length of the body, if the head states the length.
    pub fn content_length(&self) -> Option<ByteSize> {
        self.body.size_hint().exact().map(ByteSize::new)
    }

    /// Reads the whole body, then returns the connection to the client for the next call.
    pub async fn read_body(mut self) -> Result<(Parts, Bytes), PlatformError> {
        let started_at = Instant::now();
        let content_length = self.content_length();
        let mut bytes = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await.map_err(|cause| {
            let content_length = content_length.map(|bytes| format!(" of {}", bytes.get()));
            let content_length = content_length.unwrap_or_default();
            response_lost(format!(
                "{cause}, {}{content_length} bytes came",
                self.received_bytes
            ))
        })? {
            bytes.extend_from_slice(&chunk);
            self.check_transfer_rate(started_at)?;
        }
        self.client.return_connection(self.sender);
        Ok((self.head, bytes.freeze()))
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let frame = timeout(MAX_CHUNK_PAUSE, self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| "it stalled".to_string())? else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| error.to_string())?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                self.received_bytes += data.len() as u64;
                return Ok(Some(data));
            }
        }
    }

    /// Fails if the body is too large or arrives too slowly. The time limit is the time that the
    /// received bytes take at [`MIN_BYTES_PER_S`], plus [`MAX_CHUNK_PAUSE`], so that a response at
    /// the minimum rate may still pause.
    fn check_transfer_rate(&self, started_at: Instant) -> Result<(), PlatformError> {
        if self.received_bytes > MAX_BODY_BYTES {
            return Err(response_lost(format!("over {MAX_BODY_BYTES} bytes came")));
        }
        let allowed =
            Duration::from_secs(1).mul_f64(self.received_bytes as f64 / MIN_BYTES_PER_S as f64);
        if started_at.elapsed() > MAX_CHUNK_PAUSE + allowed {
            return Err(response_lost(format!(
                "too slow, {} bytes came",
                self.received_bytes
            )));
        }
        Ok(())
    }
}

use super::*;

/// Content type of a token stream.
const EVENT_STREAM: &str = "text/event-stream";

/// How long an idle connection is kept to an upstream that speaks the router's own protocol.
pub(crate) const IDLE_LIFETIME: Duration = Duration::from_secs(60);

/// The response of an upstream: the head has been read, the body has not.
#[derive(Debug)]
pub struct UpstreamResponse {
    pub(crate) address: SocketAddr,
    pub(crate) body: Incoming,
    pub(crate) pool: ConnectionPool,
    pub(crate) content_type: String,
    pub(crate) sender: UpstreamSender,
    pub(crate) status: StatusCode,
}

impl UpstreamResponse {
    pub(crate) fn from_response(
        pool: ConnectionPool,
        address: SocketAddr,
        response: Response<Incoming>,
        sender: UpstreamSender,
    ) -> Result<Self, CallFailure> {
        let status = response.status();
        let is_marked_not_run = response.headers().contains_key(NOT_RUN_HEADER);
        if is_marked_not_run && !status.is_success() {
            return Err(CallFailure::not_run(FailureCause::Busy));
        }
        if status.is_server_error() {
            return Err(CallFailure::may_have_run(FailureCause::ErrorStatus));
        }
        let content_type = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_string();
        Ok(Self {
            address,
            body: response.into_body(),
            pool,
            content_type,
            sender,
            status,
        })
    }

    /// HTTP status of the response.
    pub const fn status(&self) -> StatusCode {
        self.status
    }

    /// Content type of the response.
    pub fn content_type(&self) -> &str {
        &self.content_type
    }

    /// Whether the body is a stream of tokens.
    pub fn is_token_stream(&self) -> bool {
        self.status.is_success() && self.content_type.starts_with(EVENT_STREAM)
    }

    /// The body as a stream of tokens.
    pub fn into_token_stream(self) -> TokenStream {
        TokenStream::new(self)
    }

    /// Reads the whole body, which may have at most `max` bytes. Fails if no data arrives for
    /// `idle_timeout`.
    pub async fn collect(
        self,
        max: ByteSize,
        idle_timeout: Duration,
    ) -> Result<Bytes, CallFailure> {
        let max = usize::try_from(max.get()).unwrap_or(usize::MAX);
        let body = Limited::new(self.body, max);
        let mut frames = BodyDataStream::new(body);
        let mut whole = Vec::new();
        loop {
            match timeout(idle_timeout, frames.next()).await {
                Ok(Some(Ok(bytes))) => whole.extend_from_slice(&bytes),
                Ok(Some(Err(_))) => {
                    return Err(CallFailure::may_have_run(FailureCause::Truncated));
                }
                Ok(None) => break,
                Err(_) => return Err(CallFailure::may_have_run(FailureCause::Silent)),
            }
        }
        self.pool.keep(self.address, self.sender, IDLE_LIFETIME);
        Ok(whole.into())
    }
}

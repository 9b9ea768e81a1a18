//! The JSON-RPC transport over HTTP. Each call contains a secret that all hosts have in their
//! settings, and that authenticates the caller.

use {
    super::*,
    jsonrpsee::{
        core::{ClientError, RpcResult, async_trait},
        http_client::{HttpClient, HttpClientBuilder},
        proc_macros::rpc,
        server::{Server, ServerHandle},
        types::ErrorObjectOwned,
    },
    std::{future::Future, io, pin::Pin, sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
};

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: u32 = 256 * 1024;

/// Maximum number of connections of other hosts. A failure domain has far fewer.
const MAX_CONNECTIONS: u32 = 256;

/// JSON-RPC error code for a call without the right secret.
const UNAUTHORIZED: i32 = -32_001;

/// JSON-RPC error code for a message that is rejected.
const BAD_MESSAGE: i32 = -32_002;

/// JSON-RPC error code of a host that cannot answer at the moment.
const UNAVAILABLE: i32 = -32_003;

/// The remote procedure calls between hosts.
#[rpc(client, server)]
pub trait PeerRpc {
    /// Reports a host's state to the coordinator of its failure domain and returns the host's
    /// shares.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, token: String, heartbeat: Heartbeat) -> RpcResult<HeartbeatAnswer>;
}

/// Handles a heartbeat. Returns `None` if the host cannot answer at the moment.
pub type PeerHandler = Arc<
    dyn Fn(Heartbeat) -> Pin<Box<dyn Future<Output = Option<HeartbeatAnswer>> + Send>>
        + Send
        + Sync,
>;

struct RpcHandler {
    handler: PeerHandler,
    token: String,
}

#[async_trait]
impl PeerRpcServer for RpcHandler {
    async fn heartbeat(&self, token: String, heartbeat: Heartbeat) -> RpcResult<HeartbeatAnswer> {
        let is_authorized: bool = token.as_bytes().ct_eq(self.token.as_bytes()).into();
        if !is_authorized {
            return Err(error(UNAUTHORIZED, "not a known peer"));
        }
        if let Err(found) = heartbeat.check() {
            return Err(error(BAD_MESSAGE, &found.to_string()));
        }
        let answer = (self.handler)(heartbeat).await;
        answer.ok_or_else(|| error(UNAVAILABLE, "no answer now"))
    }
}

fn error(code: i32, message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message.to_string(), None::<()>)
}

/// Server for the calls of other hosts.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl PeerServer {
    /// Starts to serve other hosts on a listener.
    pub async fn start(
        listener: std::net::TcpListener,
        token: String,
        handler: PeerHandler,
    ) -> io::Result<Self> {
        let server = Server::builder()
            .http_only()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build_from_tcp(listener)?;
        let address = server.local_addr()?;
        let handle = server.start(RpcHandler { handler, token }.into_rpc());
        Ok(Self { address, handle })
    }

    /// The address on which the server listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and waits until it has ended.
    pub async fn stop(self) {
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

/// Client for calls to one other host.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: HttpClient,
    token: String,
}

impl PeerClient {
    /// Creates a client for the host at `address`. Each call is limited to `timeout`.
    pub fn new(address: SocketAddr, token: String, timeout: Duration) -> Result<Self, ClientError> {
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(timeout)
            .build(format!("http://{address}"))?;
        Ok(Self { client, token })
    }

    /// Sends a heartbeat. Returns `None` if no valid answer arrives.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<HeartbeatAnswer> {
        let answer = PeerRpcClient::heartbeat(&self.client, self.token.clone(), heartbeat).await;
        answer.ok().filter(|answer| answer.check().is_ok())
    }
}

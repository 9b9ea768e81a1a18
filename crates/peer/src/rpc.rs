//! The transport: JSON-RPC over HTTP by `jsonrpsee`. A peer is known by a
//! secret that all hosts have in their settings; it comes with each call.

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

/// Largest message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 256 * 1024;

/// Most connections of other hosts; a domain has far fewer.
const MAX_CONNECTIONS: u32 = 256;

/// JSON-RPC error code of a call without the right secret.
const UNAUTHORIZED: i32 = -32_001;

/// JSON-RPC error code of a message that is not used.
const BAD_MESSAGE: i32 = -32_002;

/// JSON-RPC error code of a host that cannot answer now.
const UNAVAILABLE: i32 = -32_003;

/// The calls between hosts.
#[rpc(client, server)]
pub trait PeerRpc {
    /// Tells the coordinator of a domain that a host lives; the answer has its
    /// shares.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, token: String, heartbeat: Heartbeat) -> RpcResult<HeartbeatAnswer>;
}

/// What answers heartbeats: `None` if it cannot now.
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

/// Listens for other hosts.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl PeerServer {
    /// Serves other hosts on a listener.
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

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops and waits for the end.
    pub async fn stop(self) {
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}

/// Calls one other host.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: HttpClient,
    token: String,
}

impl PeerClient {
    /// A client of the host at an address; each call has `timeout`.
    pub fn new(address: SocketAddr, token: String, timeout: Duration) -> Result<Self, ClientError> {
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(timeout)
            .build(format!("http://{address}"))?;
        Ok(Self { client, token })
    }

    /// Sends a heartbeat; `None` if no answer came that can be used.
    pub async fn heartbeat(&self, heartbeat: Heartbeat) -> Option<HeartbeatAnswer> {
        let answer = PeerRpcClient::heartbeat(&self.client, self.token.clone(), heartbeat).await;
        answer.ok().filter(|answer| answer.check().is_ok())
    }
}

use super::*;

/// Time for which a new connection must stand. What stands in for an upstream that has
/// ended, a balancer or a proxy, takes connections and ends them at once.
const STANDS_FOR: Duration = Duration::from_millis(50);

/// Whether anybody listens at an address; true where that cannot be told, as an upstream
/// out of reach may live.
pub async fn is_listening(address: SocketAddr) -> bool {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return !is_refusal(&error),
        Err(_) => return true,
    };
    // Nothing was asked, so whatever comes is the end of the connection.
    match timeout(STANDS_FOR, stream.peek(&mut [0])).await {
        Ok(Ok(count)) => count > 0,
        Ok(Err(error)) => !is_refusal(&error),
        Err(_) => true,
    }
}

/// Whether an error says that nobody is there to take a connection.
pub(crate) fn is_refusal(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, ConnectionReset};
    matches!(error.kind(), ConnectionRefused | ConnectionReset)
}

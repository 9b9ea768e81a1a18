use super::*;

/// Time for which a new connection must stand. What stands in for an upstream that has
/// ended, a balancer or a proxy, takes connections and ends them at once.
const MIN_OPEN_TIME: Duration = Duration::from_millis(50);

/// Whether anybody listens at an address.
pub async fn check_listening(address: SocketAddr) -> Listening {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return listening_after_error(&error),
        Err(_) => return Listening::Unknown,
    };
    // Nothing was asked, so whatever comes is the end of the connection.
    match timeout(MIN_OPEN_TIME, stream.peek(&mut [0])).await {
        Ok(Ok(0)) => Listening::No,
        Ok(Err(error)) => listening_after_error(&error),
        Ok(Ok(_)) | Err(_) => Listening::Yes,
    }
}

fn listening_after_error(error: &std::io::Error) -> Listening {
    use std::io::ErrorKind::{ConnectionRefused, ConnectionReset};
    match error.kind() {
        ConnectionRefused | ConnectionReset => Listening::No,
        _ => Listening::Unknown,
    }
}

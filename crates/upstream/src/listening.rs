use super::*;

/// How long a new connection must stay open to show that the upstream itself listens. A load
/// balancer or proxy in front of a stopped upstream accepts connections and closes them
/// immediately.
const MIN_OPEN_TIME: Duration = Duration::from_millis(50);

/// Checks whether a process listens at an address.
pub async fn check_listening(address: SocketAddr) -> Listening {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return listening_after_error(&error),
        Err(_) => return Listening::Unknown,
    };
    // No request was sent, so an upstream sends no data: `peek` normally only returns if the
    // connection ends.
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

use super::*;

/// Ports below the ephemeral range, from which the system assigns ports to outgoing
/// connections.
///
/// With a port of the ephemeral range, a connection of another test can be assigned
/// the port after the test has found it free. The host that is to listen there then
/// fails to start.
const PORT_RANGE: Range<u16> = 20_000..32_000;

/// Distance between the first ports of processes with consecutive ids, so that
/// processes that run at the same time try different ports.
const PORTS_PER_PROCESS: u32 = 400;

/// Returns a free loopback address for a program that needs a fixed address to listen
/// on. Later calls in this process return other addresses.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    loop {
        let number = first.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = PORT_RANGE.start + (number % PORT_RANGE.len() as u32) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let free = std::net::TcpListener::bind(address).is_ok()
            && std::net::UdpSocket::bind(address).is_ok();
        if free {
            return address;
        }
    }
}

use super::*;

/// Ports below those that the system gives to outgoing connections.
///
/// What goes wrong with those: a test looks for a free port, a connection of
/// another test is given it, and the host that is to listen there does not start.
const PORT_RANGE: Range<u16> = 20_000..32_000;

/// Ports between those that two processes begin with.
const PORTS_PER_PROCESS: u32 = 400;

/// An address on this machine that is free, and that nobody else in this process
/// is given: for a program that must learn where to listen.
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

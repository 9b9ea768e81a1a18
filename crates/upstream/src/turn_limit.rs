use super::*;

/// Most bytes that are read from a connection before other tasks of the thread run.
const MAX_TURN_BYTES: u64 = 16 * 1024;

/// A connection whose task gives way after [`MAX_TURN_BYTES`]. The HTTP library reads for as long
/// as bytes are ready, so a faulty server that writes without end could keep the thread.
#[derive(Debug)]
pub struct TurnLimit {
    stream: Take<TcpStream>,
}

impl TurnLimit {
    /// Limits the turns of this connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: stream.take(MAX_TURN_BYTES),
        }
    }

    fn writer(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }
}

impl AsyncRead for TurnLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.stream.limit() == 0 {
            self.stream.set_limit(MAX_TURN_BYTES);
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.stream.set_limit(MAX_TURN_BYTES);
        }
        read
    }
}

impl AsyncWrite for TurnLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_shutdown(context)
    }
}

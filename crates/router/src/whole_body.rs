use super::*;

/// A body that was read whole, and its part of the memory for bodies.
#[derive(Debug)]
pub(crate) struct WholeBody {
    pub(crate) bytes: Bytes,
    /// Given back when the request has ended.
    pub(crate) _reservation: BodyReservation,
}

impl WholeBody {
    /// Reads a caller's body whole: a request is sent again only if all of it is
    /// here.
    pub(crate) async fn read(
        body: Incoming,
        limits: &LimitsInForce,
        budget: &BodyBudget,
    ) -> Result<Self, BodyError> {
        let own = limits.own();
        let timeout_ms = own.body_timeout_ms;
        let max = limits.max_body_bytes();
        let reading = Self::collect(body, max, own.max_buffered_bytes, budget);
        match timeout(Duration::from_millis(timeout_ms), reading).await {
            Ok(read) => read,
            Err(_) => Err(BodyError::TooSlow { timeout_ms }),
        }
    }

    /// Reads a body whole, as far as it and all others stay within the limits.
    async fn collect(
        body: Incoming,
        max: ByteSize,
        max_buffered: ByteSize,
        budget: &BodyBudget,
    ) -> Result<Self, BodyError> {
        let mut body = Limited::new(body, max.get() as usize);
        let mut reservation = budget.start_reservation();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| {
                if error.is::<http_body_util::LengthLimitError>() {
                    BodyError::TooLarge { max }
                } else {
                    BodyError::Broken
                }
            })?;
            let data = frame.into_data().unwrap_or_default();
            if !reservation.add(data.len() as u64, max_buffered) {
                return Err(BodyError::NoMemory);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(Self {
            bytes: bytes.freeze(),
            _reservation: reservation,
        })
    }
}

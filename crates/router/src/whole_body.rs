use super::*;

/// A complete request body, and the memory reserved for it.
#[derive(Debug)]
pub(crate) struct WholeBody {
    pub(crate) bytes: Bytes,
    /// Released when the request has ended.
    pub(crate) _reservation: BodyReservation,
}

impl WholeBody {
    /// Reads the complete body of a caller's request. A request can be sent again only if its whole
    /// body is in memory.
    pub(crate) async fn read(
        body: Incoming,
        limits: &EffectiveLimits,
        budget: &BodyBudget,
    ) -> Result<Self, BodyError> {
        let own = limits.settings_limits();
        let timeout_ms = own.body_timeout_ms;
        let max = limits.max_body_bytes();
        let reading = Self::collect(body, max, own.max_buffered_bytes, budget);
        match timeout(Duration::from_millis(timeout_ms), reading).await {
            Ok(read) => read,
            Err(_) => Err(BodyError::TooSlow { timeout_ms }),
        }
    }

    /// Collects a body within the limits for one body and for all bodies together.
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

use super::*;

/// The interface that callers use: the OpenAI-style interface, or the relaying interface of an
/// installation.
#[derive(Clone)]
pub(crate) enum CallerInterface {
    /// OpenAI-style requests, and requests to services that are not engines.
    OpenAi(CallerService),
    /// Requests that are routed by host name and path, and relayed unchanged.
    Relay(RelayService),
}

impl CallerInterface {
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
        reader: Arc<AnswerReader>,
    ) -> Response<AnswerBody> {
        match self {
            Self::OpenAi(service) => service.answer(request, reader).await,
            Self::Relay(service) => service.answer(request, reader).await,
        }
    }

    pub(crate) const fn limits(&self) -> &EffectiveLimits {
        match self {
            Self::OpenAi(service) => &service.limits,
            Self::Relay(service) => &service.limits,
        }
    }

    /// Removes and returns the running request tasks, to be joined on shutdown.
    pub(crate) fn take_tasks(&self) -> JoinSet<()> {
        match self {
            Self::OpenAi(service) => service.tasks.take(),
            Self::Relay(service) => service.tasks.take(),
        }
    }
}

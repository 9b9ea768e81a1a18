use super::*;

/// What callers speak to: the product's own interface, or that of an
/// installation.
#[derive(Clone)]
pub(crate) enum CallerInterface {
    /// OpenAI-style requests and calls to plain services.
    OpenAi(CallerService),
    /// Requests that are relayed unchanged by route.
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

    pub(crate) const fn limits(&self) -> &LimitsInForce {
        match self {
            Self::OpenAi(service) => &service.limits,
            Self::Relay(service) => &service.limits,
        }
    }

    /// The tasks that serve requests, to be joined at the end.
    pub(crate) fn take_tasks(&self) -> JoinSet<()> {
        match self {
            Self::OpenAi(service) => service.tasks.take(),
            Self::Relay(service) => service.tasks.take(),
        }
    }
}
